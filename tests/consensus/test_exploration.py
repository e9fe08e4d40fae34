"""Random walks over crashes, message loss, reordering, wiped disks and membership changes."""

from __future__ import annotations

import pytest

from support.consensus_walk import ChangingWalk, FailingDiskWalk, Walk, WalkTotals, WipingWalk

RUNS = 60
STEPS = 300


@pytest.mark.parametrize("kind", [Walk, WipingWalk, ChangingWalk, FailingDiskWalk])
def test_invariants_hold_on_every_walk(
    kind: type[Walk], capsys: pytest.CaptureFixture[str]
) -> None:
    totals = WalkTotals()
    for seed in range(RUNS):
        try:
            kind(seed, totals).run(STEPS)
        except Exception as error:
            error.add_note(f"seed {seed}")
            raise
    with capsys.disabled():
        print(f"\n{kind.__name__}: {totals}")
    assert totals.recovered > RUNS // 4
