"""The duration of passes, from reports of ranks that are up to 0.2 s old."""

from __future__ import annotations

from random import Random

import pytest

from bergamotchute_policy.pass_timer import INITIAL_PASS_S, PassTimer


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("pass_s", [0.05, 0.08, 0.11])
def test_old_reports_of_many_ranks_do_not_distort_the_timing(seed: int, pass_s: float) -> None:
    """A held pass comes too early if passes seem to take longer than they do."""
    random, timer = Random(seed), PassTimer()
    estimates = []
    for number in range(400):
        at = 0.01 * number
        timer.observe(1, int((at - random.uniform(0.0, 0.2)) / pass_s), at)
        if at > 1.5:
            estimates.append(timer.pass_s)
    assert max(estimates) < 1.4 * pass_s
    assert min(estimates) > 0.75 * pass_s


def test_a_new_incarnation_is_timed_anew() -> None:
    timer = PassTimer()
    for number in range(10):
        timer.observe(1, number, 0.1 * number)
    assert timer.pass_s == pytest.approx(0.1)
    timer.observe(2, 0, 1.0)
    assert timer.pass_s == INITIAL_PASS_S
    timer.observe(1, 50, 1.1)
    assert timer.epoch == 2
