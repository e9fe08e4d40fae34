"""Real platform processes: a cluster is founded from seeds, configured, serves and stops."""

from __future__ import annotations

import signal
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import httpx
import pytest

from support.platform_processes import WAIT_TIMEOUT_S, PlatformProcesses, wait_for_status

pytestmark = pytest.mark.processes

CONFIGURATION = {
    "version": 4,
    "routes": [
        {
            "name": "status",
            "host": "house.example",
            "pathPrefix": "/status/",
            "kind": "safe",
            "timeoutMs": 5000,
            "service": "desk",
            "maxAttempts": 2,
        }
    ],
    "services": [{"name": "desk", "maxConns": 100}],
}


class SigningEndpoint(BaseHTTPRequestHandler):
    """An endpoint that signs its responses."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        body = b"ready on Friday"
        self.send_response(200)
        self.send_header("Bergamotchute-Request-Id", self.headers["Bergamotchute-Request-Id"])
        self.send_header("Bergamotchute-Server-Seal", "seal")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        """Suppress the log of requests."""


@pytest.fixture
def system(tmp_path: Path) -> Iterator[PlatformProcesses]:
    processes = PlatformProcesses(tmp_path)
    try:
        yield processes
    finally:
        processes.stop_all()


def test_a_request_is_served_through_real_processes(system: PlatformProcesses) -> None:
    for number in (1, 2, 3):
        system.start("control", number)
    system.start("entry", 9)
    control = f"http://127.0.0.1:{system.port}/bergamotchute"
    wait_for_status(lambda: httpx.post(f"{control}/config/put", json=CONFIGURATION))
    other_control = f"http://127.0.0.2:{system.port}/bergamotchute"
    assert wait_for_status(lambda: httpx.get(f"{other_control}/config/get")).json() == CONFIGURATION
    assert httpx.post(f"{control}/config/put", content=b"{").status_code == 400

    endpoint_server = ThreadingHTTPServer(("127.0.0.1", 0), SigningEndpoint)
    threading.Thread(target=endpoint_server.serve_forever, daemon=True).start()
    heartbeat = {
        "service": "desk",
        "address": f"127.0.0.1:{endpoint_server.server_address[1]}",
        "zone": "north",
        "slots": 6,
        "state": "ready",
        "seq": 1,
        "born": 1000,
    }
    wait_for_status(lambda: httpx.post(f"{control}/instances/i-1/heartbeat", json=heartbeat))
    wait_for_status(lambda: httpx.get(f"http://127.0.0.9:{system.second_port}/bergamotchute/ready"))
    directory = f"http://127.0.0.3:{system.second_port}/bergamotchute/resolve?name=x&zone=north"
    assert wait_for_status(lambda: httpx.get(directory)).json()["addresses"] == [
        f"127.0.0.9:{system.port}"
    ]
    headers = {"Host": "house.example", "Bergamotchute-Request-Id": "r-1"}
    url = f"http://127.0.0.9:{system.port}/status/one"
    answer = wait_for_status(lambda: httpx.get(url, headers=headers))
    assert answer.text == "ready on Friday"
    assert answer.headers["Bergamotchute-Server-Seal"] == "seal"

    entry = system.running["entry-9"]
    entry.send_signal(signal.SIGTERM)
    wait_for_status(lambda: httpx.get(directory), status=503)
    assert entry.wait(WAIT_TIMEOUT_S) == 0
    endpoint_server.shutdown()
