"""Endpoints in the soak's own process, which speak the platform's protocol over loopback."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field
from random import Random

import anyio
import h11
import httpx
from anyio.abc import Listener, SocketStream, TaskGroup

from tools.node_processes import CONTROL_PORT
from tools.soak.history import STREAM_EVENTS, History, plain_body, stream_event

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.0
EVENT_INTERVAL_S = 0.03
PLAIN_WORK_S = 0.02
SLOTS = 6
DEADLY_PART = "dead"
PROMPT_HEADER = "bergamotchute-prompt-prefix"


@dataclass
class StandInEndpoint:
    """One endpoint: it runs requests, sends heartbeats, and can crash and start again.

    :param client: sends its heartbeats.
    :param control_hosts: the control VMs to which it may send heartbeats.
    :param born_ms: the start of its incarnation, in Unix milliseconds.
    """

    name: str
    host: str
    service: str
    client: httpx.AsyncClient
    control_hosts: list[str]
    history: History
    random: Random
    tasks: TaskGroup
    is_leaving: bool = False
    born_ms: int = 0
    sequence: int = 0
    running: int = 0
    listener: Listener[SocketStream] | None = None
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    stopped: anyio.Event | None = None

    async def start(self) -> None:
        """Listen and send heartbeats, as a new incarnation."""
        if self.stopped is not None:
            await self.stopped.wait()
        self.stopped = anyio.Event()
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence, self.running, self.is_leaving = 0, 0, False
        self.scope = anyio.CancelScope()
        self.listener = await anyio.create_tcp_listener(local_host=self.host, local_port=9000)
        self.tasks.start_soon(self._run, self.listener, self.scope, self.stopped)

    async def _run(
        self, listener: Listener[SocketStream], scope: anyio.CancelScope, stopped: anyio.Event
    ) -> None:
        try:
            with scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._send_heartbeats)
                    await listener.serve(self._serve, tasks)
        finally:
            with anyio.CancelScope(shield=True):
                await listener.aclose()
            stopped.set()

    def crash(self) -> None:
        """End all connections and refuse new ones."""
        self.scope.cancel()

    async def leave(self) -> None:
        """Report the departure until it is acknowledged."""
        self.is_leaving = True
        while not await self._call_control("heartbeat"):  # noqa: ASYNC110 - no event tells it.
            await anyio.sleep(0.1)

    async def _send_heartbeats(self) -> None:
        while True:
            await self._call_control("heartbeat")
            await anyio.sleep(HEARTBEAT_INTERVAL_S)

    async def _call_control(self, verb: str) -> bool:
        self.sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.host}:9000",
            "zone": "north",
            "version": "v1",
            "slots": SLOTS,
            "state": "draining" if self.is_leaving else "ready",
            "coldLeftMs": 0,
            "seq": self.sequence,
            "born": self.born_ms,
        }
        host = self.random.choice(self.control_hosts)
        url = f"http://{host}:{CONTROL_PORT}/bergamotchute/instances/{self.name}/{verb}"
        try:
            response = await self.client.post(
                url, content=json.dumps(body), timeout=HEARTBEAT_TIMEOUT_S
            )
        except httpx.HTTPError:
            return False
        return response.is_success

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            try:
                head = await _read_request(stream)
                if head is not None:
                    await self._answer(stream, head)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream):
                return

    async def _answer(self, stream: SocketStream, head: h11.Request) -> None:
        headers = {name.decode(): value.decode() for name, value in head.headers}
        request_id = headers.get("bergamotchute-request-id", "")
        if headers.get("bergamotchute-expect-instance", self.name) != self.name:
            await _send(stream, 421, request_id, b"", "bergamotchute-not-executed: 1\r\n")
            return
        if self.running >= SLOTS:
            await _send(stream, 503, request_id, b"", "bergamotchute-not-executed: 1\r\n")
            return
        self.running += 1
        try:
            await self._run_request(stream, head.target.decode(), request_id, headers)
        finally:
            self.running -= 1

    async def _run_request(
        self, stream: SocketStream, target: str, request_id: str, headers: dict[str, str]
    ) -> None:
        is_deadly = f"{DEADLY_PART}:" in headers.get(PROMPT_HEADER, "")
        if is_deadly:
            self.history.deadly_arrivals.append(time.monotonic())
        self.history.runs[request_id] += 1
        seal = f"bergamotchute-server-seal: {self.name}.{self.born_ms}\r\n"
        if not target.startswith("/stream/"):
            await anyio.sleep(PLAIN_WORK_S)
            await _send(stream, 200, request_id, plain_body(request_id), seal)
            return
        await stream.send(
            f"HTTP/1.1 200 OK\r\nbergamotchute-request-id: {request_id}\r\n{seal}"
            "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n".encode()
        )
        if is_deadly:
            self.history.crashes.append(time.monotonic())
            self.crash()
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, STREAM_EVENTS + 1):
            await anyio.sleep(EVENT_INTERVAL_S)
            event = stream_event(request_id, number)
            await stream.send(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await stream.send(b"0\r\n\r\n")


async def _read_request(stream: SocketStream) -> h11.Request | None:
    """Return the head of a request that was read in full, or ``None``."""
    protocol = h11.Connection(h11.SERVER)
    head: h11.Request | None = None
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive())
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.EndOfMessage):
            return head


async def _send(
    stream: SocketStream, status: int, request_id: str, body: bytes, headers: str
) -> None:
    await stream.send(
        f"HTTP/1.1 {status} X\r\nbergamotchute-request-id: {request_id}\r\n{headers}"
        f"content-length: {len(body)}\r\nconnection: close\r\n\r\n".encode() + body
    )
