"""Makes every test run the same way each time."""

from __future__ import annotations

import pytest
from trio._core import _run


@pytest.fixture(autouse=True)
def same_task_order() -> None:
    """Have trio order its tasks by a seed, so that a race shows in each run or in none."""
    setattr(_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)  # noqa: B010 - it is named final.
    _run._r.seed(0)
