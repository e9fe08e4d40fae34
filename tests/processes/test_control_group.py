"""Three entries with voters as real processes: the leader is suspended, then all are killed."""

from __future__ import annotations

import signal
import time
from pathlib import Path
from typing import Any

import httpx
import pytest
from tools.deployment import Deployment, EntryVm
from tools.fleet import Fleet

from bergamotchute_daemon.voter import VIEW_LEASE_S

WAIT_TIMEOUT_S = 25.0
POLL_INTERVAL_S = 0.1


def limits(number: int) -> str:
    return f"file: limits\nnumber: {number}\nlimits:\n  address_lifetime_s: {10 + number}\n"


def fetch_report(deployment: Deployment, entry: EntryVm, path: str) -> dict[str, Any] | None:
    """Return a report of the admin API, or ``None`` when the entry returns none."""
    headers = {"Authorization": f"Bearer {deployment.admin_token}"}
    try:
        url = f"http://{entry.address}/v1/admin/{path}"
        answer = httpx.get(url, headers=headers, timeout=5.0, trust_env=False)
    except httpx.TransportError:
        return None
    return answer.json() if answer.status_code == 200 else None


def apply(deployment: Deployment, entry: EntryVm, text: str) -> str:
    """Apply a file, again until the entry returns an outcome; return that."""
    headers = {"Authorization": f"Bearer {deployment.admin_token}"}
    url = f"http://{entry.address}/v1/admin/files/limits"
    end = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < end:
        try:
            answer = httpx.put(url, content=text, headers=headers, timeout=12.0, trust_env=False)
        except httpx.TransportError:
            answer = None
        if answer is not None and answer.status_code in (200, 409):
            return str(answer.json()["outcome"])
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"no entry returned an outcome for the file within {WAIT_TIMEOUT_S} s")


def wait_for_leader(deployment: Deployment) -> EntryVm:
    """Wait until an entry reports the leader; return the leader."""
    end = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < end:
        for entry in deployment.entries:
            control = (fetch_report(deployment, entry, "status") or {}).get("control")
            for voter in control["voters"] if control else ():
                if voter["replica"] == control["leader"]:
                    return next(
                        member for member in deployment.entries if member.peer == voter["address"]
                    )
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"no entry reported a leader within {WAIT_TIMEOUT_S} s")


def wait_for_confirmed_view(deployment: Deployment, entry: EntryVm, number: int) -> None:
    """Wait until an entry's view is confirmed; check that it holds the file of this number."""
    end = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < end:
        status = fetch_report(deployment, entry, "status")
        if status is not None and status["view_confirmed"]:
            assert [file["number"] for file in status["files"]] == [number]
            return
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"{entry.name} confirmed no view within {WAIT_TIMEOUT_S} s")


@pytest.mark.processes
def test_a_suspended_leader_serves_no_stale_view_and_killed_voters_keep_files(
    tmp_path: Path,
) -> None:
    with Fleet(tmp_path / "logs") as fleet:
        deployment = Deployment(fleet, tmp_path)
        deployment.plan(("milano-a", "bergamo-b", "brescia-c"), 3, 0, [])
        deployment.start_all()
        assert apply(deployment, deployment.entries[0], limits(1)) in ("accepted", "repeated")
        leader = wait_for_leader(deployment)
        other = next(entry for entry in deployment.entries if entry is not leader)
        fleet.send_signal(leader.name, signal.SIGSTOP)
        stopped_at = time.monotonic()
        assert apply(deployment, other, limits(2)) in ("accepted", "repeated")
        time.sleep(max(0.0, stopped_at + VIEW_LEASE_S + POLL_INTERVAL_S - time.monotonic()))
        fleet.send_signal(leader.name, signal.SIGCONT)
        wait_for_confirmed_view(deployment, leader, 2)
        for entry in deployment.entries:
            fleet.send_signal(entry.name, signal.SIGKILL)
            fleet.processes[entry.name].process.wait()
        for entry in deployment.entries:
            deployment.start_entry(entry)
        assert apply(deployment, other, limits(2)) == "repeated"
        assert apply(deployment, other, limits(2) + "# other\n") == "conflict"
        wait_for_confirmed_view(deployment, leader, 2)
