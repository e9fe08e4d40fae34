"""Retries: allowed only where safe, and bounded as a whole."""

from __future__ import annotations

from random import Random

import pytest

from bergamotchute_model.verdict import Verdict
from bergamotchute_policy.retry import MAX_ATTEMPTS, FailedAttempt, RetryBudget, retry_delay


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
    delay = retry_delay(failed, RetryBudget(), Random(1), now=0.0)
    assert (delay is not None) == allowed


def test_no_retry_past_the_deadline_or_the_last_try() -> None:
    late = FailedAttempt(Verdict.NOT_RUN, 1, True, deadline=1.0)
    last = FailedAttempt(Verdict.NOT_RUN, MAX_ATTEMPTS, True, deadline=100.0)
    assert retry_delay(late, RetryBudget(), Random(1), now=1.0) is None
    assert retry_delay(last, RetryBudget(), Random(1), now=0.0) is None


def test_a_brown_out_adds_at_most_a_tenth_in_retries() -> None:
    budget = RetryBudget(ratio=0.1, capacity=10.0)
    random = Random(1)
    retries = 0
    for _ in range(10_000):
        budget.on_first_attempt()
        for number in range(1, MAX_ATTEMPTS + 1):
            failed = FailedAttempt(Verdict.NOT_RUN, number, True, deadline=100.0)
            if retry_delay(failed, budget, random, now=0.0) is None:
                break
            retries += 1
    assert retries <= 1_000 + 10


def test_a_budget_comes_back_with_time_up_to_its_capacity() -> None:
    budget = RetryBudget(ratio=0.0, capacity=4.0, refill_per_s=0.4)
    budget.refill(100.0)
    assert [budget.take() for _ in range(5)] == [True] * 4 + [False]
    budget.refill(105.0)
    assert [budget.take() for _ in range(3)] == [True, True, False]
    budget.refill(1000.0)
    assert budget.balance == 4.0
