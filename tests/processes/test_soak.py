"""A short soak of real processes with faults from outside."""

from __future__ import annotations

from pathlib import Path

import pytest
from tools.node_processes import Build
from tools.soak.__main__ import run_seed

SEED = 36
FAULTS_S = 12.0


@pytest.mark.processes
def test_soak_breaks_a_promise(tmp_path: Path) -> None:
    report = run_seed(SEED, FAULTS_S, tmp_path, Build())
    assert not report.violations
    assert report.requests
    assert report.injected.total()
