"""Runs with real processes side by side, and full disks."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import pytest
from tools.node_processes import CONTROL_PORT, NodeProcesses, claim_network

WRITER = """
import sys
for line in sys.stdin:
    try:
        with open(sys.argv[1], "a") as file:
            file.write("x")
        print("written", flush=True)
    except OSError:
        print("failed", flush=True)
"""


@pytest.mark.processes
def test_two_runs_share_a_network() -> None:
    with claim_network() as first, claim_network() as second:
        assert abs(first - second) >= 3


@pytest.mark.processes
def test_network_of_processes_that_still_run_is_claimed() -> None:
    with claim_network() as first:
        pass
    with socket.create_server((f"127.0.{first}.1", CONTROL_PORT)), claim_network() as second:
        assert second != first


@pytest.mark.processes
def test_write_succeeds_on_a_full_disk(tmp_path: Path) -> None:
    nodes = NodeProcesses(tmp_path, 1)
    with subprocess.Popen(
        [sys.executable, "-c", WRITER, str(tmp_path / "file")],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as process:
        assert process.stdin is not None
        assert process.stdout is not None
        nodes.processes["control-0"] = process

        def write() -> bytes:
            process.stdin.write(b"\n")
            process.stdin.flush()
            return process.stdout.readline()

        assert write() == b"written\n"
        nodes.fill_disk("control-0")
        assert write() == b"failed\n"
        nodes.free_disk("control-0")
        assert write() == b"written\n"
        process.stdin.close()
