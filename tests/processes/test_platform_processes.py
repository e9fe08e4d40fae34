"""Real platform processes: a cluster is founded from seeds, configured, serves and stops."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import httpx
import pytest
from tools.fleet import free_ports

pytestmark = pytest.mark.processes

WAIT_TIMEOUT_S = 30.0
"""Bound on each wait; starting takes a second or two on an idle machine."""

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


def wait_for_status(
    send_request: Callable[[], httpx.Response], status: int = 200
) -> httpx.Response:
    """Repeat a request until its response has the wanted status."""
    last_seen: object = None
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            answer = send_request()
            if answer.status_code == status:
                return answer
            last_seen = answer.status_code
        except httpx.TransportError as error:
            last_seen = error
        time.sleep(0.1)
    raise AssertionError(f"no response with status {status}; last: {last_seen!r}")


class PlatformProcesses:
    """Three control processes and an entry on loopback addresses."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.link_port, self.port, self.second_port = free_ports(3)
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, role: str, number: int) -> None:
        name = f"{role}-{number}"
        host = f"127.0.0.{number}"
        listen = (
            f'control = "{host}:{self.port}"\ndirectory = "{host}:{self.second_port}"'
            if role == "control"
            else f'callers = "{host}:{self.port}"\nready = "{host}:{self.second_port}"'
        )
        seeds = json.dumps([f"127.0.0.{seed}:{self.port}" for seed in (1, 2, 3)])
        data = f'data_folder = "{self.folder / name}"' if role == "control" else ""
        settings = self.folder / f"{name}.toml"
        settings.write_text(
            f'name = "{name}"\navailability_zone = "north"\nhost = "{host}"\n'
            f"link_port = {self.link_port}\nseeds = {seeds}\nfound = true\ndisks_to_lose = 1\n"
            "heartbeat_ms = 1200\nstop_s = 8\nretry_ratio = 0.2\n"
            f"retry_slack = 92\n{data}\n[listen]\n{listen}\n",
            encoding="utf-8",
        )
        root = Path(__file__).resolve().parents[2]
        environment = os.environ | {"PYTHONPATH": str(root / "platform")}
        log = (self.folder / f"{name}.log").open("wb")
        self.running[name] = subprocess.Popen(
            [sys.executable, "-m", "bergamotchute_platform", role, "--settings", str(settings)],
            stdout=log,
            stderr=subprocess.STDOUT,
            env=environment,
        )

    def stop_all(self) -> None:
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait()


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
