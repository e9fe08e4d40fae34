"""Run two builds beside each other on loopback: ``python -m tools.upgrade_play COMMIT``.

Control VMs and entries of an earlier commit are replaced one after the other by those of the
working tree, all killed, and replaced by the earlier ones again on the same folders. Meanwhile
configurations are put and read back, and the entries must route by them. An evacuation is started
and ended in turn at the control VMs that know the call; its versions must go on over all
replacements. With ``--new-first`` the builds change places.
"""

from __future__ import annotations

import argparse
import http.client
import json
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from itertools import cycle
from pathlib import Path
from typing import Any

from bergamotchute_model.event_record import parse_event
from tools.node_processes import (
    CALLER_PORT,
    CONTROL_PORT,
    ROOT,
    Build,
    NodeProcesses,
    claim_network,
)

CONTROL_COUNT = 5
ROUTE_COUNT = 1_500
VERSIONS_PER_STEP = 3

ZONE = "north"
"""The availability zone of all processes."""

ACKNOWLEDGE_S = 5.0
"""The target for acknowledging a configuration, and for its way to entries and readers."""

ROUTED_REASONS = (b"no endpoint", b"the deadline has passed")
"""Why an entry refuses a request whose route it knows: nothing serves it, and an entry in its first
seconds waits for an endpoint until the route's timeout."""

CALL_TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.1
SETTLING_S = 3.0


@dataclass
class Upgrade:
    """The processes, and what was checked of them.

    :param failures: the checks that failed.
    :param evacuation_version: orders that changed whether the zone is evacuated.
    """

    nodes: NodeProcesses
    version: int = 1
    check_count: int = 0
    failures: list[str] = field(default_factory=list)
    evacuation_version: int = 0
    next_control: cycle[int] = field(default_factory=lambda: cycle(range(CONTROL_COUNT)))

    def check(self, name: str, holds: bool) -> None:
        """Count a check and print it if it failed."""
        self.check_count += 1
        if not holds:
            self.failures.append(name)
            print(f"failed: {name}", flush=True)

    def check_step(self, label: str) -> None:
        """Put versions, read the newest back at each control VM and ask each entry."""
        for _ in range(VERSIONS_PER_STEP):
            self.version += 3
            self.check(f"{label}: version {self.version} acknowledged", self._put())
        for number in range(CONTROL_COUNT):
            self.check(f"{label}: read back at control-{number}", self._is_read_back(number))
        entries = [name for name in self.nodes.processes if name.startswith("entry")]
        for number in range(len(entries)):
            self.check(f"{label}: entry-{number} routes by it", self._is_routed(number))
        self._check_evacuation(label, len(entries))

    def _check_evacuation(self, label: str, entry_count: int) -> None:
        """Start or end an evacuation, unless all control VMs are of a build without it."""
        verb = "end" if self.evacuation_version % 2 else "start"
        path = f"/bergamotchute/evacuate/{ZONE}/{verb}"
        statuses = self._order(path)
        if set(statuses) == {404}:
            print(f"{label}: no control VM knows evacuations", flush=True)
            return
        self.evacuation_version += 1
        self.check(f"{label}: evacuation {verb} acknowledged, statuses {statuses}", 200 in statuses)
        controls = [f"control-{number}" for number in range(CONTROL_COUNT)]
        versions = [
            each["version"]
            for name in controls
            for each in self._logged(name, "evacuation_ordered")
        ]
        is_next = max(versions, default=0) == self.evacuation_version
        self.check(
            f"{label}: evacuation has version {self.evacuation_version}, logged {versions}", is_next
        )
        heard = [self._has_heard(f"entry-{number}") for number in range(entry_count)]
        self.check(f"{label}: an entry knows of the evacuation, {heard}", any(heard))

    def _order(self, path: str) -> list[int]:
        """Send an order to all control VMs until one acknowledges it; return the last statuses."""
        deadline = time.monotonic() + ACKNOWLEDGE_S
        while True:
            hosts = [self.nodes.control_host(number) for number in range(CONTROL_COUNT)]
            statuses = [call(host, CONTROL_PORT, "POST", path)[0] for host in hosts]
            if 200 in statuses or set(statuses) == {404} or time.monotonic() > deadline:
                return statuses
            time.sleep(RETRY_DELAY_S)

    def _has_heard(self, entry: str) -> bool:
        """Return whether an entry logs the newest evacuation in time; earlier builds never do."""
        deadline = time.monotonic() + ACKNOWLEDGE_S
        while time.monotonic() < deadline:
            heard = self._logged(entry, "evacuation_changed")
            if any(each["version"] == self.evacuation_version for each in heard):
                return True
            time.sleep(RETRY_DELAY_S)
        return False

    def _logged(self, name: str, event: str) -> list[dict[str, Any]]:
        """Return the fields of an event in the log of a process, in order."""
        lines = (self.nodes.folder / f"{name}.log").read_bytes().splitlines()
        records = [parse_event(line) for line in lines if event.encode() in line]
        return [each.fields for each in records if each is not None and each.event == event]

    def _put(self) -> bool:
        text = configuration_text(self.version)
        deadline = time.monotonic() + ACKNOWLEDGE_S
        while time.monotonic() < deadline:
            host = self.nodes.control_host(next(self.next_control))
            if call(host, CONTROL_PORT, "POST", "/bergamotchute/config/put", text)[0] == 200:
                return True
            time.sleep(RETRY_DELAY_S)
        return False

    def _is_read_back(self, number: int) -> bool:
        deadline = time.monotonic() + ACKNOWLEDGE_S
        while time.monotonic() < deadline:
            host = self.nodes.control_host(number)
            status, body = call(host, CONTROL_PORT, "GET", "/bergamotchute/config/get")
            if status == 200:
                return body == configuration_text(self.version)
            time.sleep(RETRY_DELAY_S)
        return False

    def _is_routed(self, number: int) -> bool:
        """Return whether an entry knows the newest version's route, whose service is empty."""
        deadline = time.monotonic() + ACKNOWLEDGE_S
        while time.monotonic() < deadline:
            host, path = self.nodes.entry_host(number), f"/version{self.version}/one"
            status, body = call(host, CALLER_PORT, "GET", path)
            if status == 503 and any(reason in body for reason in ROUTED_REASONS):
                return True
            time.sleep(RETRY_DELAY_S)
        return False


def call(host: str, port: int, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    """Return status and body of a response; status 0 if none came."""
    headers = {
        "Content-Type": "application/json",
        "Host": "h.example",
        "Bergamotchute-Request-Id": "upgrade",
        "Bergamotchute-Deadline-Remaining": "1400",
    }
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error).encode()
    finally:
        connection.close()


def configuration_text(version: int) -> bytes:
    """Return a large configuration that names its version in a route."""
    usual = {
        "host": "h.example",
        "kind": "safe",
        "timeoutMs": 1000,
        "sloMs": 400,
        "service": "m",
        "maxAttempts": 2,
        "noAuth": True,
    }
    prefixes = [*(f"/{number:x}/" for number in range(ROUTE_COUNT)), f"/version{version}/"]
    routes = [{"name": prefix, "pathPrefix": prefix, **usual} for prefix in prefixes]
    services = [{"name": "m", "maxConns": 10}]
    return json.dumps({"version": version, "routes": routes, "services": services}).encode()


def play(upgrade: Upgrade, first: Build, second: Build) -> None:
    """Replace the first build by the second one and go back."""
    nodes = upgrade.nodes
    for number in range(CONTROL_COUNT):
        nodes.start_control(number, first, found=True)
    nodes.start_entry(0, first)
    time.sleep(SETTLING_S)
    nodes.start_entry(1, second)
    upgrade.check_step("first build")
    for number in range(CONTROL_COUNT):
        nodes.stop(f"control-{number}")
        nodes.start_control(number, second)
        time.sleep(SETTLING_S / 2)
        upgrade.check_step(f"control-{number} replaced")
    for label, build in (("killed", second), ("killed, first build again", first)):
        nodes.kill(*(f"control-{number}" for number in range(CONTROL_COUNT)))
        for number in range(CONTROL_COUNT):
            nodes.start_control(number, build)
        time.sleep(SETTLING_S)
        upgrade.check_step(label)
    for name, process in nodes.processes.items():
        upgrade.check(f"{name} still runs", process.poll() is None)


def main() -> int:
    """Play the upgrade and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("commit", help="the earlier build")
    parser.add_argument("--new-first", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, claim_network() as network:
        tree = Path(folder) / "earlier"
        tree.mkdir()
        archive = subprocess.run(
            ["git", "archive", options.commit], cwd=ROOT, check=True, stdout=subprocess.PIPE
        )
        subprocess.run(["tar", "xf", "-"], cwd=tree, input=archive.stdout, check=True)
        builds = [Build(tree), Build()]
        if options.new_first:
            builds.reverse()
        upgrade = Upgrade(NodeProcesses(Path(folder), network))
        try:
            play(upgrade, *builds)
        finally:
            upgrade.nodes.kill_all()
    print(f"{upgrade.check_count} checks, {len(upgrade.failures)} failed")
    return 1 if upgrade.failures else 0


if __name__ == "__main__":
    sys.exit(main())
