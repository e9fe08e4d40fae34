"""Control VMs and entries as real processes on loopback addresses of their own."""

from __future__ import annotations

import errno
import json
import os
import resource
import socket
import subprocess
import sys
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

STOP_TIMEOUT_S = 15.0
SEED_COUNT = 3

CONTROL_PORT, DIRECTORY_PORT, CALLER_PORT, READY_PORT, LINK_PORT = 8200, 8201, 8227, 8220, 7340
ENDPOINT_PORT = 9000

FIRST_NETWORK, LAST_NETWORK, NETWORKS_EACH = 1, 250, 3
CLAIM_HOST_NUMBER = 254

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
{own}[listen]
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


@contextmanager
def claim_network() -> Iterator[int]:
    """Claim loopback networks that no other run on this machine uses; yield the first of three.

    :raises OSError: when all are in use.
    """
    numbers = range(FIRST_NETWORK, LAST_NETWORK, NETWORKS_EACH)
    for attempt in range(len(numbers)):
        network = numbers[(os.getpid() + attempt) % len(numbers)]
        with socket.socket() as claim, socket.socket() as probe:
            try:
                claim.bind((f"127.0.{network}.{CLAIM_HOST_NUMBER}", CONTROL_PORT))
                # Processes of a run that was killed may have outlived its claim.
                probe.bind((f"127.0.{network}.1", CONTROL_PORT))
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                continue
            probe.close()
            yield network
            return
    raise OSError(errno.EADDRINUSE, "all loopback networks are in use")


@dataclass
class NodeProcesses:
    """Starts and ends the processes; each keeps its folder and its log.

    :param folder: where folders, settings and logs are.
    :param network: the third number of the loopback addresses, so that several deployments can run
        at the same time; entries use the next one.
    :param profiled: the roles whose processes write a profile ``NAME.prof`` when they are stopped.
    :param log_writers: they write the logs, so that a full disk stops no log.
    """

    folder: Path
    network: int
    profiled: Collection[str] = ()
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    log_writers: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def control_host(self, number: int) -> str:
        """Return the address of a control VM."""
        return f"127.0.{self.network}.{number + 1}"

    def entry_host(self, number: int) -> str:
        """Return the address of an entry."""
        return f"127.0.{self.network + 1}.{number + 1}"

    def endpoint_host(self, number: int) -> str:
        """Return the address of an endpoint, and of the agent beside it."""
        return f"127.0.{self.network + 2}.{number + 1}"

    def start_control(self, number: int, build: Build, found: bool = False) -> None:
        """Start a control VM on its folder."""
        host = self.control_host(number)
        listen = f'control = "{host}:{CONTROL_PORT}"\ndirectory = "{host}:{DIRECTORY_PORT}"'
        self._start(f"control-{number}", host, listen, build, found)

    def start_entry(self, number: int, build: Build) -> None:
        """Start an entry."""
        host = self.entry_host(number)
        listen = f'callers = "{host}:{CALLER_PORT}"\nready = "{host}:{READY_PORT}"'
        self._start(f"entry-{number}", host, listen, build)

    def start_agent(self, number: int, build: Build) -> None:
        """Start the agent beside a rank."""
        host = self.endpoint_host(number)
        self._start(f"agent-{number}", host, "", build)

    def _start(self, name: str, host: str, listen: str, build: Build, found: bool = False) -> None:
        role = name.partition("-")[0]
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
                own=f'endpoint = "{host}:{ENDPOINT_PORT}"\n' if role == "agent" else "",
            )
        )
        with (self.folder / f"{name}.log").open("ab") as log:
            writer = subprocess.Popen(["cat"], stdin=subprocess.PIPE, stdout=log)
        assert writer.stdin is not None
        profiler = ("-m", "tools.node_bench.profiled", str(self.folder / f"{name}.prof"))
        prefix = profiler if role in self.profiled else ("-m",)
        program = (*prefix, "bergamotchute_platform", role, "--settings", str(settings))
        python_path = os.pathsep.join((build.python_path, str(ROOT)))
        with writer.stdin as pipe:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *program],
                env={**os.environ, "PYTHONPATH": python_path},
                stdout=pipe,
                stderr=subprocess.STDOUT,
            )
        self.log_writers.append(writer)

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

    def fill_disk(self, name: str) -> None:
        """Let each write of a process to a file fail, as on a full disk."""
        process = self.processes[name]
        if process.poll() is None:
            _, most = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, most))

    def free_disk(self, name: str) -> None:
        """Let a process write to files again."""
        process = self.processes[name]
        if process.poll() is None:
            _, most = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (most, most))

    def kill_all(self) -> None:
        """Kill what still runs, and wait until all logs are written."""
        self.kill(*(name for name, each in self.processes.items() if each.poll() is None))
        for writer in self.log_writers:
            writer.wait()
