"""The platform's processes for real: founded from seeds, configured, serving, stopped."""

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

BOUND_S = 30.0
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


class Desk(BaseHTTPRequestHandler):
    """An endpoint that signs its answers."""

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
        """Say nothing."""


def until(ask: Callable[[], httpx.Response], status: int = 200) -> httpx.Response:
    """Ask until an answer has the status wanted."""
    seen: object = None
    end = time.monotonic() + BOUND_S
    while time.monotonic() < end:
        try:
            answer = ask()
            if answer.status_code == status:
                return answer
            seen = answer.status_code
        except httpx.TransportError as error:
            seen = error
        time.sleep(0.1)
    raise AssertionError(f"never answered {status}; last: {seen!r}")


class System:
    """Three control processes and an entry on loopback addresses."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.link_port, self.port, self.other_port = free_ports(3)
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, role: str, number: int) -> None:
        name = f"{role}-{number}"
        host = f"127.0.0.{number}"
        listen = (
            f'control = "{host}:{self.port}"\ndirectory = "{host}:{self.other_port}"'
            if role == "control"
            else f'callers = "{host}:{self.port}"\nready = "{host}:{self.other_port}"'
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
def system(tmp_path: Path) -> Iterator[System]:
    one = System(tmp_path)
    try:
        yield one
    finally:
        one.stop_all()


def test_a_request_is_served_through_real_processes(system: System) -> None:
    for number in (1, 2, 3):
        system.start("control", number)
    system.start("entry", 9)
    control = f"http://127.0.0.1:{system.port}/bergamotchute"
    until(lambda: httpx.post(f"{control}/config/put", json=CONFIGURATION))
    other = f"http://127.0.0.2:{system.port}/bergamotchute"
    assert until(lambda: httpx.get(f"{other}/config/get")).json() == CONFIGURATION
    assert httpx.post(f"{control}/config/put", content=b"{").status_code == 400

    desk = ThreadingHTTPServer(("127.0.0.1", 0), Desk)
    threading.Thread(target=desk.serve_forever, daemon=True).start()
    beat = {
        "service": "desk",
        "address": f"127.0.0.1:{desk.server_address[1]}",
        "zone": "north",
        "slots": 6,
        "state": "ready",
        "seq": 1,
        "born": 1000,
    }
    until(lambda: httpx.post(f"{control}/instances/i-1/heartbeat", json=beat))
    until(lambda: httpx.get(f"http://127.0.0.9:{system.other_port}/bergamotchute/ready"))
    directory = f"http://127.0.0.3:{system.other_port}/bergamotchute/resolve?name=x&zone=north"
    assert until(lambda: httpx.get(directory)).json()["addresses"] == [f"127.0.0.9:{system.port}"]
    headers = {"Host": "house.example", "Bergamotchute-Request-Id": "r-1"}
    url = f"http://127.0.0.9:{system.port}/status/one"
    answer = until(lambda: httpx.get(url, headers=headers))
    assert answer.text == "ready on Friday"
    assert answer.headers["Bergamotchute-Server-Seal"] == "seal"

    entry = system.running["entry-9"]
    entry.send_signal(signal.SIGTERM)
    until(lambda: httpx.get(directory), status=503)
    assert entry.wait(BOUND_S) == 0
    desk.shutdown()
