"""Estimates learn from their like and follow a drifting mix."""

from __future__ import annotations

from bergamotchute_policy.work import Size
from bergamotchute_policy.work_estimate import MAX_HISTORIES, WorkEstimator


def test_without_history_a_request_counts_as_all_that_it_asks_for() -> None:
    estimate = WorkEstimator().estimate("t", "draft", 0, 4_000)
    assert estimate.tokens == 4_000
    assert estimate.size is Size.LONG


def test_a_team_that_always_asks_for_much_and_takes_little_becomes_short() -> None:
    estimator = WorkEstimator()
    for _ in range(20):
        estimator.on_finish("t", "draft", 100, 4_000, 60)
        estimator.on_finish("other", "draft", 100, 4_000, 2_000)
    assert estimator.estimate("t", "draft", 100, 4_000).size is Size.SHORT
    assert estimator.estimate("other", "draft", 100, 4_000).size is Size.LONG


def test_a_team_without_history_counts_as_all_teams_do() -> None:
    estimator = WorkEstimator()
    for _ in range(20):
        estimator.on_finish("t", "draft", 100, 4_000, 60)
    assert estimator.estimate("new", "draft", 100, 4_000).size is Size.SHORT
    assert estimator.estimate("new", "draft", 9_000, 4_000).size is Size.LONG


def test_a_limit_never_seen_counts_as_all_with_such_a_prompt() -> None:
    estimator = WorkEstimator()
    for _ in range(20):
        estimator.on_finish("t", "draft", 100, 64, 60)
    assert estimator.estimate("new", "draft", 100, 4_000).size is Size.SHORT


def test_the_estimate_follows_a_mix_that_drifts() -> None:
    estimator = WorkEstimator()
    for _ in range(2_000):
        estimator.on_finish("t", "draft", 100, 4_000, 60)
    for _ in range(600):
        estimator.on_finish("t", "draft", 100, 4_000, 2_000)
    assert estimator.estimate("t", "draft", 100, 4_000).size is Size.LONG


def test_histories_are_bounded() -> None:
    estimator = WorkEstimator()
    for number in range(MAX_HISTORIES + 100):
        estimator.on_finish(f"t{number}", "draft", 100, 4_000, 60)
    assert len(estimator.histories) == MAX_HISTORIES
