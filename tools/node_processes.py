"""Control VMs and entries as real processes on loopback addresses of their own."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

STOP_TIMEOUT_S = 15.0
SEED_COUNT = 3

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

    tree: Path = ROOT

    @property
    def python_path(self) -> str:
        """The import path of its packages."""
        sources = [self.tree / "platform", *self.tree.glob("packages/*/src")]
        return os.pathsep.join(map(str, sources))


@dataclass
class NodeProcesses:
    """Starts and ends the processes; each keeps its folder and its log.

    :param folder: where folders, settings and logs are.
    :param network: the third number of the loopback addresses, so that several deployments can run
        at the same time; entries use the next one.
    """

    folder: Path
    network: int = 1
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def control_host(self, number: int) -> str:
        """Return the address of a control VM."""
        return f"127.0.{self.network}.{number + 1}"

    def entry_host(self, number: int) -> str:
        """Return the address of an entry."""
        return f"127.0.{self.network + 1}.{number + 1}"

    def start_control(self, number: int, build: Build, found: bool = False) -> None:
        """Start a control VM on its folder."""
        host = self.control_host(number)
        listen = f'control = "{host}:{CONTROL_PORT}"\ndirectory = "{host}:{DIRECTORY_PORT}"'
        self._start(f"control-{number}", host, listen, build, found)

    def start_entry(self, number: int, build: Build) -> None:
        """Start an entry."""
        host = self.entry_host(number)
        listen = f'callers = "{host}:{CALLER_PORT}"\nready = "{host}:{READY_PORT}"'
        self._start(f"entry-{number}", host, listen, build, False)

    def _start(self, name: str, host: str, listen: str, build: Build, found: bool) -> None:
        data_folder = self.folder / name
        data_folder.mkdir(exist_ok=True)
        settings = self.folder / f"{name}.toml"
        seeds = [f"{self.control_host(number)}:{CONTROL_PORT}" for number in range(SEED_COUNT)]
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
        role = name.partition("-")[0]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "bergamotchute_platform", role, "--settings", str(settings)],
                env={**os.environ, "PYTHONPATH": build.python_path},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def stop(self, name: str) -> None:
        """Stop a process in order and wait for its end."""
        self.processes[name].terminate()
        self.processes[name].wait(STOP_TIMEOUT_S)

    def kill(self, *names: str) -> None:
        """Kill processes at once and wait for their end."""
        for name in names:
            self.processes[name].kill()
        for name in names:
            self.processes[name].wait()

    def kill_all(self) -> None:
        """Kill what still runs."""
        self.kill(*(name for name, each in self.processes.items() if each.poll() is None))
