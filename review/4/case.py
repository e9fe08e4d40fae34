"""An entry is stopped in order while runners are full and preempt their newest streams.

A preempted stream is silent for 1.7 s and then goes on; its client waits two seconds. The entry
gives it up after 1.3 s of silence and sends it to the other runner, which is full and refuses it.
The entry then ends the client's connection in the middle of the stream.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import LIMITS, Deployment, Runner, encode_request, main, read_head, route

EVENTS = 26
EVENT_S = 0.08
SLOTS = 6
QUEUE = 2
PREEMPTED_S = 1.7
PREEMPTED_EACH = 3
OTHER_CALLERS = 20
STREAMS = 6
ENTRIES = 3
PATIENCE_S = 2.0


class Engine(Runner):
    """A runner that answers with streams, refuses when full, and preempts its newest streams."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments, slots=SLOTS)
        self.held = 0
        self.free = asyncio.Semaphore(SLOTS)
        self.running: list[str] = []
        self.paused_until: dict[str, float] = {}

    def preempt_newest(self) -> None:
        until = asyncio.get_running_loop().time() + PREEMPTED_S
        for identifier in self.running[-PREEMPTED_EACH:]:
            self.deployment.record(f"runner {self.name}: preempts {identifier} for {PREEMPTED_S} s")
            self.paused_until[identifier] = until

    async def answer(self, first, headers, body, writer) -> None:
        identifier = headers.get("bergamotchute-request-id", "")
        load = f"Bergamotchute-Server-Load: {len(self.running)},{self.held - len(self.running)},6"
        if self.held >= SLOTS + QUEUE:
            self.deployment.record(f"runner {self.name}: is full, refuses {identifier}")
            writer.write(
                (
                    f"HTTP/1.1 503 Full\r\nBergamotchute-Request-Id: {identifier}\r\n{load}\r\n"
                    "Bergamotchute-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                ).encode()
            )
            return
        self.held += 1
        try:
            async with self.free:
                self.running.append(identifier)
                try:
                    await self.run(identifier, headers, load, writer)
                except ConnectionError:
                    self.deployment.record(f"runner {self.name}: caller of {identifier} has left")
                finally:
                    self.running.remove(identifier)
        finally:
            self.held -= 1

    async def run(self, identifier, headers, load, writer) -> None:
        after = int(headers.get("last-event-id", "0") or "0")
        self.runs[identifier] = self.runs.get(identifier, 0) + 1
        self.deployment.record(f"runner {self.name}: runs {identifier} from event {after + 1}")
        await asyncio.sleep(0.15)
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\nBergamotchute-Request-Id: {identifier}\r\n{load}\r\n"
                f"Bergamotchute-Server-Seal: {self.name}.{identifier}\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        loop = asyncio.get_running_loop()
        for event in range(after + 1, EVENTS + 1):
            while loop.time() < self.paused_until.get(identifier, 0.0):
                if writer.transport.is_closing():
                    raise ConnectionError
                await asyncio.sleep(0.02)
            piece = f"id: {event}\ndata: {identifier}\n\n".encode()
            writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
            await writer.drain()
            if writer.transport.is_closing():
                raise ConnectionError
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.deployment.record(f"runner {self.name}: ends {identifier}")


async def stream(deployment: Deployment, entry: int, identifier: str) -> str:
    """Ask for a stream; return how it ended."""
    headers = {
        "Bergamotchute-Request-Id": identifier,
        "Bergamotchute-Deadline-Remaining": "8050",
        "X-Api-Key": "key-1",
    }
    reader, writer = await asyncio.open_connection(
        deployment.entry_host(entry), deployment.caller_port
    )
    events = 0
    try:
        writer.write(encode_request("POST", "/draft/1", headers, identifier.encode()))
        first, _ = await asyncio.wait_for(read_head(reader), 8.0)
        status = first.split()[1]
        if status != "200":
            return f"status {status}"
        while True:
            size = int(await asyncio.wait_for(reader.readuntil(b"\r\n"), PATIENCE_S), 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return f"complete after {events} events"
            events += piece.count(b"id: ")
    except asyncio.TimeoutError:
        return f"given up by the client after {events} events"
    except (OSError, asyncio.IncompleteReadError):
        return f"cut after {events} events"
    finally:
        writer.close()


async def keep_asking(deployment: Deployment, caller: int) -> None:
    """Send one stream after the other through the entry that isn't stopped."""
    number = 0
    while True:
        number += 1
        try:
            result = await stream(deployment, 1, f"other-{caller}-{number}")
        except OSError:
            result = "not connected"
        await asyncio.sleep(0.1 if result.startswith("status") else 0.0)


async def play(deployment: Deployment, trouble: bool) -> bool:
    for number in range(3):
        deployment.start_control(number, True)
    for number in range(ENTRIES):
        deployment.start_entry(number)
    runners = [
        Engine(deployment, f"i-{number}", "bozze-llm", number, None) for number in range(2)
    ]
    for runner in runners:
        await runner.start()
    more = {"resumable": True, "gapTargetMs": 120, "sloMs": 403}
    await deployment.put_configuration(
        {
            "version": 4,
            "routes": [route("draft", "/draft/", "stream", "bozze-llm", **more)],
            "services": [{"name": "bozze-llm", "healthPath": "/health", "maxConns": 418}],
            "limits": LIMITS,
            "tenants": [{"name": "t-1", "apiKeys": ["key-1"], "priority": 1}],
        }
    )
    for number in range(ENTRIES):
        await deployment.wait_until_ready(number)
    await asyncio.sleep(4.0)

    # Six streams of other callers run first, then those of the entry that is stopped; the others
    # fill the runners' queues.
    others = [asyncio.create_task(keep_asking(deployment, caller)) for caller in range(6)]
    await asyncio.sleep(0.4)
    mine = {
        f"stream-{number}": asyncio.create_task(stream(deployment, 0, f"stream-{number}"))
        for number in range(STREAMS)
    }
    await asyncio.sleep(0.3)
    others += [
        asyncio.create_task(keep_asking(deployment, caller)) for caller in range(6, OTHER_CALLERS)
    ]
    await asyncio.sleep(0.3)
    if trouble:
        deployment.signal("entry-0", signal.SIGTERM)
    await asyncio.sleep(0.2)
    for runner in runners:
        runner.preempt_newest()
    results = {identifier: await task for identifier, task in mine.items()}
    for other in others:
        other.cancel()

    for identifier, result in results.items():
        deployment.record(f"client: {identifier} {result}")
    cut = [identifier for identifier, result in results.items() if result.startswith("cut")]
    deployment.record(f"cut by the entry in the middle of the stream: {cut}")
    # The rule asks for a complete answer only around planned work.
    return trouble and bool(cut)


main(FOLDER, play)
