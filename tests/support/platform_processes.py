"""Real processes of the platform's deployment on loopback addresses."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import httpx
from tools.fleet import free_ports

WAIT_TIMEOUT_S = 30.0
"""Bound on each wait; starting takes a second or two on an idle machine."""


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

    def start(self, role: str, number: int, stop_s: int = 8) -> None:
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
            f"heartbeat_ms = 1200\nstop_s = {stop_s}\nretry_ratio = 0.2\n"
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
