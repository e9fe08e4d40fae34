"""A small deployment on loopback: the project's programs, stand-in runners, clients, operator.

Needs the standard library alone, and the build of the deploy file in ``target/deps``.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "house.example"

# As deploy/settings.toml renders the settings of a small deployment (hljomur-fleet).
SETTINGS = """name = "{name}"
availability_zone = "{zone}"
host = "{host}"
link_port = {link_port}
seeds = {seeds}
found = {found}
disks_to_lose = 1
heartbeat_ms = 1200
stop_s = 8
metrics_port = 0
retry_ratio = 0.2
retry_slack = 92
{extra}
[listen]
{listen}
"""


def free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.file.flush()


class Deployment:
    """Starts the control VMs, entries and agents with the commands of the deploy file."""

    def __init__(self, record: Record, controls: int = 3) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = f"127.{random.randint(20, 120)}.{random.randint(1, 250)}"
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        first = self.control_host(0)
        self.link_port, self.control_port, self.directory_port = (
            free_port(first) for _ in range(3)
        )
        self.caller_port, self.ready_port = free_port(first), free_port(first)
        self.controls = controls

    def control_host(self, number: int) -> str:
        return f"{self.network}.{number + 1}"

    def entry_host(self, number: int) -> str:
        return f"{self.network}.{number + 51}"

    def runner_host(self, number: int) -> str:
        return f"{self.network}.{number + 101}"

    def start_control(self, number: int, found: bool) -> None:
        host = self.control_host(number)
        listen = (
            f'control = "{host}:{self.control_port}"\ndirectory = "{host}:{self.directory_port}"'
        )
        folder = self.folder / f"control-{number}"
        folder.mkdir(exist_ok=True)
        self.start(f"control-{number}", "control", host, listen, found, f'data_folder = "{folder}"')

    def start_entry(self, number: int) -> None:
        host = self.entry_host(number)
        listen = f'callers = "{host}:{self.caller_port}"\nready = "{host}:{self.ready_port}"'
        self.start(f"entry-{number}", "entry", host, listen, False)

    def start_agent(self, number: int, host: str, endpoint: str) -> None:
        self.start(f"agent-{number}", "agent", host, "", False, f'endpoint = "{endpoint}"')

    def start(
        self, name: str, role: str, host: str, listen: str, found: bool, extra: str = ""
    ) -> None:
        seeds = [f"{self.control_host(each)}:{self.control_port}" for each in range(3)]
        settings = self.folder / f"{name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=name,
                zone="north",
                host=host,
                link_port=self.link_port,
                seeds=json.dumps(seeds),
                found=json.dumps(found),
                extra=extra,
                listen=listen,
            )
        )
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BERGAMOTCHUTE_SETTINGS": str(settings),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "bergamotchute_platform", role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        self.record(f"{number.name} to {name}")
        self.processes[name].send_signal(number)

    def kill_all(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    async def call_control(
        self, number: int, method: str, target: str, value: object | None, timeout_s: float = 1.0
    ) -> tuple[int, bytes]:
        body = b"" if value is None else json.dumps(value).encode()
        return await http_call(
            (self.control_host(number), self.control_port), method, target, {}, body, timeout_s
        )

    async def put_configuration(self, configuration: dict) -> None:
        """Send a configuration until it is acknowledged, as the operator does."""
        for attempt in range(200):
            try:
                status, _ = await self.call_control(
                    attempt % self.controls, "POST", "/bergamotchute/config/put", configuration
                )
            except (OSError, asyncio.TimeoutError, EOFError):
                status = 0
            if status == 200:
                self.record(f"operator: version {configuration['version']} acknowledged")
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the configuration was not acknowledged")

    async def wait_until_ready(self, number: int) -> None:
        """Wait until an entry is ready, as the platform asks it."""
        for _ in range(150):
            try:
                status, _ = await http_call(
                    (self.entry_host(number), self.ready_port),
                    "GET",
                    "/bergamotchute/ready",
                    {},
                    b"",
                    1.0,
                )
            except (OSError, asyncio.TimeoutError, EOFError):
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"entry-{number} did not get ready")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "") == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes, host: str = HOST
) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def http_call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> tuple[int, bytes]:
    async def call() -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(encode_request(method, target, headers, body))
            first, answer = await read_head(reader)
            return int(first.split()[1]), await read_body(reader, answer)
        finally:
            writer.close()

    return await asyncio.wait_for(call(), timeout_s)


class Runner:
    """A sound runner: sends heartbeats, and runs each request for a time.

    :param work_s: returns how long a request runs.
    """

    def __init__(
        self, deployment: Deployment, name: str, service: str, number: int, work_s, slots: int = 6
    ) -> None:
        self.deployment = deployment
        self.name = name
        self.service = service
        self.host = deployment.runner_host(number)
        self.port = free_port(self.host)
        self.work_s = work_s
        self.slots = slots
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.runs: dict[str, int] = {}
        self.server: asyncio.Server | None = None
        self.tasks: list[asyncio.Task] = []
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.tasks.append(asyncio.create_task(self.send_heartbeats()))

    async def send_heartbeats(self) -> None:
        number = 0
        while True:
            self.sequence += 1
            beat = {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": "north",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": self.sequence,
                "born": self.born_ms,
            }
            path = f"/bergamotchute/instances/{self.name}/heartbeat"
            try:
                status, _ = await self.deployment.call_control(number, "POST", path, beat)
            except (OSError, asyncio.TimeoutError, EOFError):
                status = 0
            if status != 200:
                number = (number + 1) % self.deployment.controls
                await asyncio.sleep(0.1)
                continue
            await asyncio.sleep(1.2)

    def crash(self) -> None:
        """End at once: connections are reset, new ones refused, no more heartbeats."""
        self.deployment.record(f"runner {self.name} crashes")
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.answer(first, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(
        self, first: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        identifier = headers.get("bergamotchute-request-id", "")
        if headers.get("bergamotchute-expect-instance", self.name) != self.name:
            text = f"HTTP/1.1 421 Misdirected\r\nBergamotchute-Request-Id: {identifier}\r\n"
            writer.write((text + "Content-Length: 0\r\n\r\n").encode())
            return
        self.runs[identifier] = self.runs.get(identifier, 0) + 1
        self.deployment.record(f"runner {self.name}: runs {identifier} ({first})")
        await asyncio.sleep(self.work_s(headers))
        answer = f"done {identifier}".encode()
        text = (
            f"HTTP/1.1 200 OK\r\nBergamotchute-Request-Id: {identifier}\r\n"
            f"Bergamotchute-Server-Seal: {self.name}.{identifier}\r\n"
            f"Bergamotchute-Server-Load: 1,0,{self.slots}\r\n"
            f"Content-Length: {len(answer)}\r\n\r\n"
        )
        writer.write(text.encode() + answer)
        await writer.drain()
        self.deployment.record(f"runner {self.name}: answered {identifier}")


def route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 8000,
        "sloMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "noAuth": False,
        **more,
    }


LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def main(folder: Path, play) -> None:
    """Run a case and exit with 0 if the rule held, 1 if it was broken, 2 if it couldn't run.

    :param play: a coroutine function of the deployment and whether to make trouble; returns whether
        the rule was broken.
    """
    path = Path(sys.argv[1]) if len(sys.argv) > 1 else folder / "record.txt"
    record = Record(path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")
    deployment = Deployment(record)
    code = COULD_NOT_RUN
    try:
        broken = asyncio.run(asyncio.wait_for(play(deployment, trouble), 110))
        code = BROKEN if broken else HELD
    except Exception as error:  # noqa: BLE001 - any failure of the play means it couldn't run.
        record(f"could not run: {type(error).__name__}: {error}")
    finally:
        deployment.kill_all()
    record(("the rule held", "the rule was broken", "the case could not run")[code])
    print(path.read_text().splitlines()[-1], "logs:", deployment.folder)
    sys.exit(code)
