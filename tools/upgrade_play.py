"""Run two builds beside each other on loopback: ``python -m tools.upgrade_play COMMIT``.

Control VMs and entries of an earlier commit are replaced one after the other by those of the
working tree, all killed, and replaced by the earlier ones again on the same folders. Meanwhile
configurations are put and read back, and the entries must route by them. With ``--new-first`` the
builds change places.
"""

from __future__ import annotations

import argparse
import http.client
import json
import os
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from itertools import cycle
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CONTROL_COUNT = 5
ROUTE_COUNT = 1_500
VERSIONS_PER_STEP = 3

ACKNOWLEDGE_S = 5.0
"""The target for acknowledging a configuration, and for its way to entries and readers."""

CALL_TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.1
SETTLING_S = 3.0
STOP_TIMEOUT_S = 15.0

CONTROL_PORT, DIRECTORY_PORT, CALLER_PORT, READY_PORT, LINK_PORT = 8200, 8201, 8227, 8220, 7340

SETTINGS = """name = "{name}"
availability_zone = "north"
host = "{host}"
link_port = {link_port}
seeds = {seeds}
found = {found}
disks_to_lose = 1
heartbeat_ms = 1200
stop_s = 8
retry_ratio = 0.2
retry_slack = 90
data_folder = "{folder}"
[listen]
{listen}
"""


@dataclass(frozen=True)
class Build:
    """One build of the product.

    :param tree: its source tree.
    """

    tree: Path

    @property
    def python_path(self) -> str:
        """The import path of its packages."""
        sources = [self.tree / "platform", *self.tree.glob("packages/*/src")]
        return os.pathsep.join(map(str, sources))


@dataclass
class Deployment:
    """Processes on loopback addresses of their own, and what was checked of them.

    :param failures: the checks that failed.
    """

    folder: Path
    version: int = 1
    check_count: int = 0
    failures: list[str] = field(default_factory=list)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    next_control: cycle[int] = field(default_factory=lambda: cycle(range(CONTROL_COUNT)))

    def start_control(self, number: int, build: Build, found: bool = False) -> None:
        """Start a control VM on its folder."""
        host = control_host(number)
        listen = f'control = "{host}:{CONTROL_PORT}"\ndirectory = "{host}:{DIRECTORY_PORT}"'
        self._start(f"control-{number}", host, listen, build, found)

    def start_entry(self, number: int, build: Build) -> None:
        """Start an entry."""
        host = entry_host(number)
        listen = f'callers = "{host}:{CALLER_PORT}"\nready = "{host}:{READY_PORT}"'
        self._start(f"entry-{number}", host, listen, build, False)

    def _start(self, name: str, host: str, listen: str, build: Build, found: bool) -> None:
        role = name.partition("-")[0]
        data_folder = self.folder / name
        data_folder.mkdir(exist_ok=True)
        settings = self.folder / f"{name}.toml"
        seeds = [f"{control_host(number)}:{CONTROL_PORT}" for number in range(3)]
        settings.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                link_port=LINK_PORT,
                seeds=json.dumps(seeds),
                found=json.dumps(found),
                folder=data_folder,
                listen=listen,
            )
        )
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "bergamotchute_platform", role, "--settings", str(settings)],
                env={**os.environ, "PYTHONPATH": build.python_path},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def stop(self, name: str) -> None:
        """Stop a process in order."""
        self.processes[name].terminate()
        self.processes[name].wait(STOP_TIMEOUT_S)

    def kill_all_control(self) -> None:
        """Kill all control VMs at once."""
        killed = [self.processes[f"control-{number}"] for number in range(CONTROL_COUNT)]
        for process in killed:
            process.kill()
        for process in killed:
            process.wait()

    def kill_all(self) -> None:
        """Kill what is left."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()

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
        entries = [name for name in self.processes if name.startswith("entry")]
        for number in range(len(entries)):
            self.check(f"{label}: entry-{number} routes by it", self._is_routed(number))

    def _put(self) -> bool:
        text = configuration_text(self.version)
        deadline = time.monotonic() + ACKNOWLEDGE_S
        while time.monotonic() < deadline:
            host = control_host(next(self.next_control))
            if call(host, CONTROL_PORT, "POST", "/bergamotchute/config/put", text)[0] == 200:
                return True
            time.sleep(RETRY_DELAY_S)
        return False

    def _is_read_back(self, number: int) -> bool:
        deadline = time.monotonic() + ACKNOWLEDGE_S
        while time.monotonic() < deadline:
            host = control_host(number)
            status, body = call(host, CONTROL_PORT, "GET", "/bergamotchute/config/get")
            if status == 200:
                return body == configuration_text(self.version)
            time.sleep(RETRY_DELAY_S)
        return False

    def _is_routed(self, number: int) -> bool:
        """Return whether an entry knows the newest version's route, whose service is empty."""
        deadline = time.monotonic() + ACKNOWLEDGE_S
        while time.monotonic() < deadline:
            path = f"/version{self.version}/one"
            status, body = call(entry_host(number), CALLER_PORT, "GET", path)
            if status == 503 and b"no endpoint" in body:
                return True
            time.sleep(RETRY_DELAY_S)
        return False


def control_host(number: int) -> str:
    """Return the loopback address of a control VM."""
    return f"127.0.1.{number + 1}"


def entry_host(number: int) -> str:
    """Return the loopback address of an entry."""
    return f"127.0.2.{number + 1}"


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


def play(deployment: Deployment, first: Build, second: Build) -> None:
    """Replace the first build by the second one and go back."""
    for number in range(CONTROL_COUNT):
        deployment.start_control(number, first, found=True)
    deployment.start_entry(0, first)
    time.sleep(SETTLING_S)
    deployment.start_entry(1, second)
    deployment.check_step("first build")
    for number in range(CONTROL_COUNT):
        deployment.stop(f"control-{number}")
        deployment.start_control(number, second)
        time.sleep(SETTLING_S / 2)
        deployment.check_step(f"control-{number} replaced")
    for label, build in (("killed", second), ("killed, first build again", first)):
        deployment.kill_all_control()
        for number in range(CONTROL_COUNT):
            deployment.start_control(number, build)
        time.sleep(SETTLING_S)
        deployment.check_step(label)
    for name, process in deployment.processes.items():
        deployment.check(f"{name} still runs", process.poll() is None)


def main() -> int:
    """Play the upgrade and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("commit", help="the earlier build")
    parser.add_argument("--new-first", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder) / "earlier"
        tree.mkdir()
        archive = subprocess.run(
            ["git", "archive", options.commit], cwd=ROOT, check=True, stdout=subprocess.PIPE
        )
        subprocess.run(["tar", "xf", "-"], cwd=tree, input=archive.stdout, check=True)
        builds = [Build(tree), Build(ROOT)]
        if options.new_first:
            builds.reverse()
        deployment = Deployment(Path(folder))
        try:
            play(deployment, *builds)
        finally:
            deployment.kill_all()
    print(f"{deployment.check_count} checks, {len(deployment.failures)} failed")
    return 1 if deployment.failures else 0


if __name__ == "__main__":
    sys.exit(main())
