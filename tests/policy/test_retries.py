"""Tests of retries: allowed only when safe, and bounded in total."""

from __future__ import annotations

from random import Random

import pytest

from bergamotchute_model.verdict import Verdict
from bergamotchute_policy.retry import MAX_ATTEMPTS, FailedAttempt, RetryBudget, retry_delay_s


@pytest.mark.parametrize(
    ("verdict", "idempotent", "released", "allowed"),
    [
        (Verdict.NOT_RUN, True, False, True),
        (Verdict.MAY_HAVE_RUN, True, False, True),
        (Verdict.NOT_RUN, False, True, True),
        (Verdict.NOT_RUN, False, False, False),
        (Verdict.MAY_HAVE_RUN, False, False, False),
        (Verdict.MAY_HAVE_RUN, False, True, False),
        (Verdict.COMPLETED, True, False, False),
    ],
)
def test_a_retry_needs_a_request_that_may_run_again(
    verdict: Verdict, idempotent: bool, released: bool, allowed: bool
) -> None:
    failed = FailedAttempt(verdict, 1, idempotent, deadline=10.0, released=released)
    delay_s = retry_delay_s(failed, RetryBudget(), Random(1), now=0.0)
    assert (delay_s is not None) == allowed


def test_no_retry_past_the_deadline_or_the_last_attempt() -> None:
    past_deadline = FailedAttempt(Verdict.NOT_RUN, 1, True, deadline=1.0)
    last_attempt = FailedAttempt(Verdict.NOT_RUN, MAX_ATTEMPTS, True, deadline=100.0)
    assert retry_delay_s(past_deadline, RetryBudget(), Random(1), now=1.0) is None
    assert retry_delay_s(last_attempt, RetryBudget(), Random(1), now=0.0) is None


def test_a_partial_outage_adds_at_most_ten_percent_retries() -> None:
    budget = RetryBudget(ratio=0.1, capacity=10.0)
    random = Random(1)
    retries = 0
    for _ in range(10_000):
        budget.on_first_attempt()
        for number in range(1, MAX_ATTEMPTS + 1):
            failed = FailedAttempt(Verdict.NOT_RUN, number, True, deadline=100.0)
            if retry_delay_s(failed, budget, random, now=0.0) is None:
                break
            retries += 1
    assert retries <= 1_000 + 10


def test_a_budget_refills_over_time_up_to_its_capacity() -> None:
    budget = RetryBudget(ratio=0.0, capacity=4.0, refill_per_s=0.4)
    budget.refill(100.0)
    assert [budget.take_retry() for _ in range(5)] == [True] * 4 + [False]
    budget.refill(105.0)
    assert [budget.take_retry() for _ in range(3)] == [True, True, False]
    budget.refill(1000.0)
    assert budget.available_retries == 4.0
