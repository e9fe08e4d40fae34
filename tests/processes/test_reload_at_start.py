"""A process that has just started is told to reload its settings."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import pytest
from tools.node_processes import Build, NodeProcesses, claim_network

START_S = 60.0


def ignores_reload(pid: int) -> bool:
    """Return whether a process ignores SIGHUP."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    ignored = next(line for line in lines if line.startswith("SigIgn:"))
    return bool(int(ignored.split()[1], 16) & 1 << (signal.SIGHUP - 1))


@pytest.mark.processes
def test_reload_ends_a_process_that_is_starting(tmp_path: Path) -> None:
    with claim_network() as network:
        nodes = NodeProcesses(tmp_path, network)
        nodes.start_control(0, Build(), found=True)
        process, log = nodes.processes["control-0"], tmp_path / "control-0.log"
        try:
            deadline = time.monotonic() + START_S
            while not ignores_reload(process.pid) and time.monotonic() < deadline:
                time.sleep(0.01)
            assert ignores_reload(process.pid)
            while "process_started" not in log.read_text() and time.monotonic() < deadline:
                process.send_signal(signal.SIGHUP)
                time.sleep(0.01)
            assert process.poll() is None
            assert "process_started" in log.read_text()
        finally:
            nodes.kill_all()
