"""Starts real processes on loopback and ends every one of them, whatever happens."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

import anyio

ROOT = Path(__file__).resolve().parent.parent
STOP_S = 8.0
POLL_S = 0.05
LOOPBACK = "127.0.0.1"


@dataclass
class FleetProcess:
    """A process that this program started.

    :param log: file that holds what it wrote to stdout and stderr.
    """

    name: str
    process: subprocess.Popen[bytes]
    log: Path

    @property
    def running(self) -> bool:
        """Return whether it still runs."""
        return self.process.poll() is None


class Fleet:
    """Processes by name; leaving the context ends them all.

    :param folder: logs go to ``NAME.log`` in it.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: dict[str, FleetProcess] = {}
        self.started: list[FleetProcess] = []
        folder.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> Fleet:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.end_all()

    def start(
        self, name: str, arguments: list[str], environment: Mapping[str, str] | None = None
    ) -> FleetProcess:
        """Start ``arguments`` under a name that no running process has.

        A program given as ``module:NAME`` is run by this interpreter, any other from the folder
        that holds the interpreter.
        """
        log = self.folder / f"{name}.log"
        command = [*_program(arguments[0]), *arguments[1:]]
        with log.open("ab") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**os.environ, **(environment or {})},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.processes[name] = FleetProcess(name, process, log)
        self.started.append(self.processes[name])
        return self.processes[name]

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process of ours."""
        if self.processes[name].running:
            self.processes[name].process.send_signal(number)

    async def wait_end(self, name: str, bound_s: float) -> int | None:
        """Return the exit code, or ``None`` when the process still runs after ``bound_s``."""
        process = self.processes[name].process
        with anyio.move_on_after(bound_s):
            while process.poll() is None:  # noqa: ASYNC110 - a process sets no event.
                await anyio.sleep(POLL_S)
        return process.poll()

    def end_all(self) -> None:
        """End all processes: politely, then by force."""
        alive = [item.process for item in self.started if item.running]
        for process in alive:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in alive:
            try:
                process.wait(STOP_S / max(1, len(alive)))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def left(self) -> list[str]:
        """Return the names of processes that still run."""
        return [item.name for item in self.started if item.running]


def _program(name: str) -> list[str]:
    if name.startswith("module:"):
        return [sys.executable, "-m", name.removeprefix("module:")]
    return [str(Path(sys.executable).parent / name)]


def free_ports(count: int) -> list[int]:
    """Return loopback ports that nothing listens on now."""
    with _reserved(count) as ports:
        return ports


@contextmanager
def _reserved(count: int) -> Iterator[list[int]]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((LOOPBACK, 0))
        yield [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
