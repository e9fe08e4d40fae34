"""Stand-in endpoints that cost little: ranks of a group, with expert counts, and plain ones."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from random import Random
from typing import Any

from tools.node_processes import CONTROL_PORT, ENDPOINT_PORT

HEARTBEAT_INTERVAL_S = 1.2
EVENT_INTERVAL_S = 0.05
PASS_S = 0.05
STREAM_EVENTS = 20
SLOTS = 5
LOAD_CHANGE_S = 0.4
"""How often the number of requests changes that a rank reports."""


@dataclass
class RankGroup:
    """The state that the ranks of a group share.

    :param sets: number of expert sets.
    :param experts: number of experts of a set.
    :param held: ranks that hold a pass.
    """

    name: str
    size: int
    sets: int
    experts: int
    random: Random
    step: int = 1
    held: dict[int, int] = field(default_factory=dict)
    counts: list[int] = field(default_factory=list)

    @property
    def places(self) -> int:
        """The experts of a set that a rank has room for."""
        return -(-self.experts // self.size) + 1

    async def run(self) -> None:
        """Make passes until cancelled; none while a rank holds the next one."""
        weights = [1 / (1 + index % self.experts) for index in range(self.sets * self.experts)]
        self.counts = [0] * len(weights)
        while True:
            await asyncio.sleep(PASS_S)
            if self.step + 1 in self.held.values():
                continue
            self.step += 1
            for index in self.random.choices(range(len(weights)), weights, k=64):
                self.counts[index] += 8


@dataclass
class BenchEndpoint:
    """One endpoint; it answers requests, calls of its agent and orders, and sends heartbeats.

    :param group: the group of a rank; ``None`` for an endpoint without an agent of the product.
    """

    number: int
    host: str
    control_hosts: list[str]
    random: Random
    group: RankGroup | None = None
    born_ms: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    running: int = 0
    background: int = 0
    map_version: int = 0
    prepared: int | None = None
    armed: tuple[int, int] | None = None
    experts: list[list[int]] = field(default_factory=list)
    next_experts: list[list[int]] = field(default_factory=list)

    async def run(self) -> None:
        """Serve and send heartbeats until cancelled."""
        if self.group is not None:
            held = self.group.places
            first = self.number * self.group.experts // self.group.size
            each = [(first + index) % self.group.experts for index in range(held)]
            self.experts = [sorted(each) for _ in range(self.group.sets)]
        server = await asyncio.start_server(self._serve, self.host, ENDPOINT_PORT)
        async with server:
            await asyncio.gather(self._send_heartbeats(), self._change_load())

    async def _change_load(self) -> None:
        while True:
            await asyncio.sleep(LOAD_CHANGE_S * self.random.uniform(0.5, 1.5))
            self.background = self.random.randrange(3)

    async def _send_heartbeats(self) -> None:
        await asyncio.sleep(HEARTBEAT_INTERVAL_S * self.random.random())
        sequence = 0
        while True:
            sequence += 1
            body = {
                "service": "work",
                "address": f"{self.host}:{ENDPOINT_PORT}",
                "zone": "north",
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": sequence,
                "born": self.born_ms,
            }
            path = f"/bergamotchute/instances/runner-{self.number}/heartbeat"
            host = self.random.choice(self.control_hosts)
            await post(host, CONTROL_PORT, path, json.dumps(body).encode())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                target, headers, body = await read_request(reader)
                if target.startswith("/bergamotchute/"):
                    _write_response(writer, json.dumps(self._answer_call(target, body)).encode())
                else:
                    await self._answer_stream(writer, headers)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer_stream(self, writer: asyncio.StreamWriter, headers: dict[str, str]) -> None:
        request_id = headers.get("bergamotchute-request-id", "")
        self.running += 1
        try:
            writer.write(
                f"HTTP/1.1 200 OK\r\nbergamotchute-request-id: {request_id}\r\n"
                f"bergamotchute-server-seal: runner-{self.number}.{self.born_ms}\r\n"
                f"bergamotchute-server-load: {self.running},0,{SLOTS}\r\n"
                "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n".encode()
            )
            for number in range(STREAM_EVENTS):
                await asyncio.sleep(EVENT_INTERVAL_S)
                event = f"id: {number + 1}\ndata: {request_id} token token token token\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1

    def _answer_call(self, target: str, body: bytes) -> dict[str, Any]:
        group = self.group
        if group is None:
            return {"running": self.running, "waiting": 0}
        self._switch_if_due(group)
        if target.startswith("/bergamotchute/picked"):
            own = {"map": {"experts": self.experts}} if target.endswith("lists=1") else {}
            return {"epoch": 1, "step": group.step, "counts": group.counts, **own}
        if target == "/bergamotchute/order":
            self._follow_order(group, json.loads(body))
            return {}
        return {
            "group": {"name": group.name, "rank": self.number, "epoch": 1, "state": "open"},
            "running": self.running + self.background,
            "waiting": 0,
            "size": group.size,
            "step": group.step,
            "map": self.map_version,
            "prepared": self.prepared,
            "armed": self.armed and {"version": self.armed[0], "step": self.armed[1]},
            "held": group.held.get(self.number),
            "pace": 1.0,
        }

    def _switch_if_due(self, group: RankGroup) -> None:
        if self.armed is not None and group.step >= self.armed[1]:
            self.map_version, self.experts = self.armed[0], self.next_experts
            self.armed = self.prepared = None

    def _follow_order(self, group: RankGroup, order: dict[str, Any]) -> None:
        match order["operation"]:
            case "prepare":
                self.prepared = order["version"]
                self.next_experts = [experts[self.number] for experts in order["map"]]
            case "arm":
                self.armed = (order["version"], order["step"])
            case "disarm":
                self.armed = None
            case "hold":
                group.held[self.number] = order["step"]
            case "go":
                group.held.pop(self.number, None)


async def read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return target, headers and body of the next request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    _, target, _ = head[0].split(" ")
    fields = (line.partition(":") for line in head[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return target, headers, body


def _write_response(writer: asyncio.StreamWriter, body: bytes) -> None:
    head = f"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {len(body)}\r\n"
    writer.write(head.encode() + b"\r\n" + body)


async def post(host: str, port: int, path: str, body: bytes, headers: str = "") -> int:
    """Post over a connection of its own; return the status, 0 without a whole response."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return 0
    try:
        writer.write(
            f"POST {path} HTTP/1.1\r\nhost: bench.example\r\ncontent-type: application/json\r\n"
            f"connection: close\r\n{headers}content-length: {len(body)}\r\n\r\n".encode() + body
        )
        response = await reader.read()
        return int(response.split(b" ", 2)[1]) if response else 0
    except (OSError, ValueError):
        return 0
    finally:
        writer.close()
