"""Three entries with voters as real processes, of which the leader is stopped and all are killed."""

from __future__ import annotations

import signal
import time
from pathlib import Path
from typing import Any

import httpx
import pytest
from tools.deployment import Deployment, EntryVm
from tools.fleet import Fleet

from bergamotchute_daemon.voter import LEASE_S

PATIENCE_S = 25.0
POLL_S = 0.1


def limits(number: int) -> str:
    return f"file: limits\nnumber: {number}\nlimits:\n  address_lifetime_s: {10 + number}\n"


def ask(deployment: Deployment, entry: EntryVm, path: str) -> dict[str, Any] | None:
    """Return an operator's report, or ``None`` when the entry gives none."""
    headers = {"Authorization": f"Bearer {deployment.admin_token}"}
    try:
        url = f"http://{entry.address}/v1/admin/{path}"
        answer = httpx.get(url, headers=headers, timeout=5.0, trust_env=False)
    except httpx.TransportError:
        return None
    return answer.json() if answer.status_code == 200 else None


def apply(deployment: Deployment, entry: EntryVm, text: str) -> str:
    """Apply a file until it has an outcome."""
    headers = {"Authorization": f"Bearer {deployment.admin_token}"}
    url = f"http://{entry.address}/v1/admin/files/limits"
    end = time.monotonic() + PATIENCE_S
    while time.monotonic() < end:
        try:
            answer = httpx.put(url, content=text, headers=headers, timeout=12.0, trust_env=False)
        except httpx.TransportError:
            answer = None
        if answer is not None and answer.status_code in (200, 409):
            return str(answer.json()["outcome"])
        time.sleep(POLL_S)
    raise AssertionError("no outcome in time")


def leader_of(deployment: Deployment) -> EntryVm:
    """Wait until some entry knows the leader."""
    end = time.monotonic() + PATIENCE_S
    while time.monotonic() < end:
        for entry in deployment.entries:
            control = (ask(deployment, entry, "status") or {}).get("control")
            for voter in control["voters"] if control else ():
                if voter["replica"] == control["leader"]:
                    return next(one for one in deployment.entries if one.peer == voter["address"])
        time.sleep(POLL_S)
    raise AssertionError("no leader in time")


def wait_confirmed(deployment: Deployment, entry: EntryVm, number: int) -> None:
    """Wait until an entry may use its view, and see that it holds this number then."""
    end = time.monotonic() + PATIENCE_S
    while time.monotonic() < end:
        status = ask(deployment, entry, "status")
        if status is not None and status["view_confirmed"]:
            assert [file["number"] for file in status["files"]] == [number]
            return
        time.sleep(POLL_S)
    raise AssertionError("no confirmed view in time")


@pytest.mark.processes
def test_a_stopped_leader_serves_nothing_old_and_killed_voters_forget_nothing(
    tmp_path: Path,
) -> None:
    with Fleet(tmp_path / "logs") as fleet:
        deployment = Deployment(fleet, tmp_path)
        deployment.plan(("milano-a", "bergamo-b", "brescia-c"), 3, 0, [])
        deployment.start_all()
        assert apply(deployment, deployment.entries[0], limits(1)) in ("accepted", "repeated")
        leader = leader_of(deployment)
        other = next(entry for entry in deployment.entries if entry is not leader)
        fleet.send_signal(leader.name, signal.SIGSTOP)
        stopped_at = time.monotonic()
        assert apply(deployment, other, limits(2)) in ("accepted", "repeated")
        time.sleep(max(0.0, stopped_at + LEASE_S + POLL_S - time.monotonic()))
        fleet.send_signal(leader.name, signal.SIGCONT)
        wait_confirmed(deployment, leader, 2)
        for entry in deployment.entries:
            fleet.send_signal(entry.name, signal.SIGKILL)
            fleet.processes[entry.name].process.wait()
        for entry in deployment.entries:
            deployment.start_entry(entry)
        assert apply(deployment, other, limits(2)) == "repeated"
        assert apply(deployment, other, limits(2) + "# other\n") == "conflict"
        wait_confirmed(deployment, leader, 2)
