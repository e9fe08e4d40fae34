"""Tests of work estimates: they use similar requests and follow a drifting mix."""

from __future__ import annotations

from bergamotchute_policy.work import RequestSize
from bergamotchute_policy.work_estimator import MAX_HISTORIES, WorkEstimator


def test_without_history_the_estimate_is_max_tokens() -> None:
    estimate = WorkEstimator().estimate("t", "draft", 0, 4_000)
    assert estimate.expected_tokens == 4_000
    assert estimate.size is RequestSize.LONG


def test_requests_with_a_high_limit_and_few_generated_tokens_become_short() -> None:
    estimator = WorkEstimator()
    for _ in range(20):
        estimator.on_finish("t", "draft", 100, 4_000, 60)
        estimator.on_finish("other", "draft", 100, 4_000, 2_000)
    assert estimator.estimate("t", "draft", 100, 4_000).size is RequestSize.SHORT
    assert estimator.estimate("other", "draft", 100, 4_000).size is RequestSize.LONG


def test_a_team_without_history_uses_the_history_of_all_teams() -> None:
    estimator = WorkEstimator()
    for _ in range(20):
        estimator.on_finish("t", "draft", 100, 4_000, 60)
    assert estimator.estimate("new", "draft", 100, 4_000).size is RequestSize.SHORT
    assert estimator.estimate("new", "draft", 9_000, 4_000).size is RequestSize.LONG


def test_an_unseen_limit_uses_the_history_of_similar_prompts() -> None:
    estimator = WorkEstimator()
    for _ in range(20):
        estimator.on_finish("t", "draft", 100, 64, 60)
    assert estimator.estimate("new", "draft", 100, 4_000).size is RequestSize.SHORT


def test_the_estimate_follows_a_mix_that_drifts() -> None:
    estimator = WorkEstimator()
    for _ in range(2_000):
        estimator.on_finish("t", "draft", 100, 4_000, 60)
    for _ in range(600):
        estimator.on_finish("t", "draft", 100, 4_000, 2_000)
    assert estimator.estimate("t", "draft", 100, 4_000).size is RequestSize.LONG


def test_histories_are_bounded() -> None:
    estimator = WorkEstimator()
    for number in range(MAX_HISTORIES + 100):
        estimator.on_finish(f"t{number}", "draft", 100, 4_000, 60)
    assert len(estimator.histories) == MAX_HISTORIES
