"""Fixtures that make every test deterministic."""

from __future__ import annotations

import pytest
from trio._core import _run


@pytest.fixture(autouse=True)
def seeded_task_order() -> None:
    """Seed trio's task scheduling, so that a race shows in each run or in none."""
    setattr(_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)  # noqa: B010 - trio declares it Final.
    _run._r.seed(0)
