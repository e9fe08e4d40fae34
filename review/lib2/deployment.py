"""A small deployment of the project's own processes on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import subprocess
import tempfile
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
CONTROL_PORT, DIRECTORY_PORT, CALLER_PORT, READY_PORT, LINK_PORT = 8229, 8230, 8227, 8220, 7340
RUNNER_PORT = 9000
SEED_COUNT = 3

# The fields of deploy/settings.toml, with the bounds of the tipjar-my-grown sheet.
SETTINGS = """name = "{name}"
availability_zone = "kl-a"
host = "{host}"
link_port = 7340
seeds = {seeds}
found = {found}
disks_to_lose = 1
zones = ["kl-a"]
heartbeat_ms = 1200
stop_s = 8
metrics_port = 9464
retry_ratio = 0.2
retry_slack = 92
cold_excess = 1.5
cold_slack = 5
{own}
[listen]
{listen}
"""


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


def free_network() -> int:
    """Return the second number of loopback addresses that nothing else uses."""
    for network in random.sample(range(20, 220), 50):
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{network}.1.1", CONTROL_PORT))
            except OSError:
                continue
            return network
    raise CannotRun("no free loopback addresses")


class Deployment:
    """Control VMs and entries as processes, started with the commands of the deploy file."""

    def __init__(self, control_count: int, entry_count: int) -> None:
        self.network = free_network()
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.control_count = control_count
        self.entry_count = entry_count
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def control_host(self, number: int) -> str:
        return f"127.{self.network}.1.{number + 1}"

    def entry_host(self, number: int) -> str:
        return f"127.{self.network}.2.{number + 1}"

    def runner_host(self, number: int) -> str:
        return f"127.{self.network}.3.{number + 1}"

    def start_all(self) -> None:
        for number in range(self.control_count):
            self.start_control(number, is_first=True)
        for number in range(self.entry_count):
            self.start_entry(number)

    def start_control(self, number: int, is_first: bool = False) -> None:
        host = self.control_host(number)
        data = Path(self.folder.name, f"control-{number}")
        data.mkdir(exist_ok=True)
        listen = f'control = "{host}:{CONTROL_PORT}"\ndirectory = "{host}:{DIRECTORY_PORT}"'
        self._start("control", number, host, f'data_folder = "{data}"', listen, is_first)

    def start_entry(self, number: int) -> None:
        host = self.entry_host(number)
        listen = f'callers = "{host}:{CALLER_PORT}"\nready = "{host}:{READY_PORT}"'
        self._start("entry", number, host, "", listen, False)

    def _start(
        self, role: str, number: int, host: str, own: str, listen: str, is_first: bool
    ) -> None:
        name = f"{role}-{number}"
        seeds = [f"{self.control_host(each)}:{CONTROL_PORT}" for each in range(SEED_COUNT)]
        settings = Path(self.folder.name, f"{name}.toml")
        settings.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                seeds=json.dumps(seeds),
                found=json.dumps(is_first),
                own=own,
                listen=listen,
            )
        )
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["BERGAMOTCHUTE_SETTINGS"] = str(settings)
        with Path(self.folder.name, f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", "-m", "bergamotchute_platform", role],
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def log_lines(self, name: str) -> list[str]:
        return Path(self.folder.name, f"{name}.log").read_text().splitlines()

    def kill(self, name: str) -> None:
        """End a process at once, as SIGKILL does."""
        self.processes[name].kill()
        self.processes[name].wait()

    def end_all(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.folder.cleanup()


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: tuple[tuple[str, str], ...] = (),
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> tuple[int, bytes] | None:
    """Make one call on a new connection; ``None`` if no whole answer comes in time."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    if not any(name == "Host" for name, _ in headers):
        lines += f"Host: {host}\r\n"
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                head = f"{method} {path} HTTP/1.1\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
                answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                length = 0
                for line in answer[1:]:
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                return int(answer[0].split()[1]), await reader.readexactly(length)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


async def put_configuration(deployment: Deployment, configuration: dict[str, object]) -> None:
    """Send a configuration to one control VM after the other until one acknowledges it."""
    body = json.dumps(configuration).encode()
    for attempt in range(100):
        host = deployment.control_host(attempt % deployment.control_count)
        answer = await call(host, CONTROL_PORT, "POST", "/bergamotchute/config/put", body=body)
        if answer is not None and answer[0] == 200:
            return
        await asyncio.sleep(0.2)
    raise CannotRun("the configuration was not acknowledged")
