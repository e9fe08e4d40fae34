"""An entry that stops answers or refuses each request that it reads whole."""

from __future__ import annotations

import asyncio
import signal
import threading
import time
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import httpx
import pytest

from support.platform_processes import WAIT_TIMEOUT_S, PlatformProcesses, wait_for_status

pytestmark = pytest.mark.processes

STOP_S = 6
"""Seconds from SIGTERM to SIGKILL."""

WORK_S = 1.5
"""Time that the endpoint works on an order."""

UPLOAD_ENDS_S = [-0.1, 0.5, 1.0, 1.5, 2.0, 3.9, 4.1, 4.3, 4.5, 4.7]
"""When the uploads of the orders end, in seconds after SIGTERM; all begin before it.

The last moment at which an order is passed on is about 3.2 s. None ends close to it, so that a busy
machine changes no outcome; ``test_response_times.py`` tests the moment itself.
"""

CONFIGURATION = {
    "version": 4,
    "routes": [
        {
            "name": "order",
            "host": "house.example",
            "pathPrefix": "/order/",
            "kind": "unsafe",
            "timeoutMs": 20_000,
            "service": "desk",
            "maxAttempts": 2,
        }
    ],
    "services": [{"name": "desk", "maxConns": 100}],
}


class SlowEndpoint(BaseHTTPRequestHandler):
    """An endpoint that works on each order for a while."""

    protocol_version = "HTTP/1.1"
    begun: set[str] = set()  # noqa: RUF012 - shared by all connections of the one test server.

    def do_POST(self) -> None:
        request_id = self.headers["Bergamotchute-Request-Id"]
        self.rfile.read(int(self.headers["Content-Length"]))
        self.begun.add(request_id)
        time.sleep(WORK_S)
        self.send_response(200)
        self.send_header("Bergamotchute-Request-Id", request_id)
        self.send_header("Bergamotchute-Server-Seal", "seal")
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"ok")

    def log_message(self, format: str, *args: object) -> None:
        """Suppress the log of requests."""


@pytest.fixture
def system(tmp_path: Path) -> Iterator[PlatformProcesses]:
    processes = PlatformProcesses(tmp_path)
    endpoint = ThreadingHTTPServer(("127.0.0.1", 0), SlowEndpoint)
    threading.Thread(target=endpoint.serve_forever, daemon=True).start()
    try:
        for number in (1, 2, 3):
            processes.start("control", number)
        processes.start("entry", 9, stop_s=STOP_S)
        control = f"http://127.0.0.1:{processes.port}/bergamotchute"
        wait_for_status(lambda: httpx.post(f"{control}/config/put", json=CONFIGURATION))
        heartbeat = {
            "service": "desk",
            "address": f"127.0.0.1:{endpoint.server_address[1]}",
            "zone": "north",
            "slots": 60,
            "state": "ready",
            "seq": 1,
            "born": 1000,
        }
        wait_for_status(lambda: httpx.post(f"{control}/instances/i-1/heartbeat", json=heartbeat))
        headers = {"Host": "house.example", "Bergamotchute-Request-Id": "first"}
        url = f"http://127.0.0.9:{processes.port}/order/1"
        wait_for_status(lambda: httpx.post(url, headers=headers, content=b"x", timeout=10))
        yield processes
    finally:
        processes.stop_all()
        endpoint.shutdown()


async def upload_order(
    system: PlatformProcesses, request_id: str, begun: asyncio.Event, ends_at: float
) -> str:
    """Send an order whose upload ends at a time; return the status, or how it ended."""
    reader, writer = await asyncio.open_connection("127.0.0.9", system.port)
    try:
        head = (
            "POST /order/1 HTTP/1.1\r\nhost: house.example\r\ncontent-length: 2\r\n"
            f"bergamotchute-request-id: {request_id}\r\n\r\nx"
        )
        writer.write(head.encode())
        await begun.wait()
        await asyncio.sleep(ends_at - time.monotonic())
        writer.write(b"y")
        line = await asyncio.wait_for(reader.readline(), STOP_S)
        return line.split()[1].decode() if line else "cut"
    except OSError:
        return "cut"
    finally:
        writer.close()


def stop_during_uploads(
    system: PlatformProcesses, disturb: Callable[[Callable[[signal.Signals], None]], None]
) -> dict[str, str]:
    """Stop the entry while orders are uploaded; return how each ended.

    :param disturb: sends further signals.
    """

    async def run() -> dict[str, str]:
        entry = system.running["entry-9"]
        begun = asyncio.Event()
        stops_at = time.monotonic() + 0.5
        uploads = {
            f"order-{ends_s}": asyncio.create_task(
                upload_order(system, f"order-{ends_s}", begun, stops_at + ends_s)
            )
            for ends_s in UPLOAD_ENDS_S
        }
        begun.set()
        await asyncio.sleep(stops_at - time.monotonic())
        entry.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        disturb(entry.send_signal)
        return {name: await task for name, task in uploads.items()}

    return asyncio.run(run())


def assert_nothing_is_lost(results: dict[str, str]) -> None:
    cut = [name for name, result in results.items() if result not in ("200", "503")]
    assert not cut
    refused = {name for name, result in results.items() if result == "503"}
    assert not refused & SlowEndpoint.begun
    assert results["order--0.1"] == "200"


def test_orders_read_late_in_a_stop_are_passed_on_and_cut(system: PlatformProcesses) -> None:
    """Callers lost orders that ran; they were read too late to be answered before the end."""
    assert_nothing_is_lost(stop_during_uploads(system, lambda _: None))
    assert system.running["entry-9"].wait(WAIT_TIMEOUT_S) == 0


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_second_signal_ends_a_stopping_entry_with_its_requests(
    system: PlatformProcesses, number: signal.Signals
) -> None:
    """A signal during the stop killed the process, as its handlers were removed by then."""
    assert_nothing_is_lost(stop_during_uploads(system, lambda send: send(number)))
    assert system.running["entry-9"].wait(WAIT_TIMEOUT_S) == 0
