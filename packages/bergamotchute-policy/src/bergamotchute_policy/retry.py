"""Retry rules: whether a failed attempt may be retried, and after which delay."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from bergamotchute_model.verdict import Verdict

MAX_ATTEMPTS = 4
BACKOFF_BASE_S = 0.02
BACKOFF_MAX_S = 1.0


@dataclass(frozen=True)
class FailedAttempt:
    """The facts about a failed attempt that decide on a retry.

    :param verdict: whether the attempt may have run.
    :param number: number of the attempt, from 1.
    :param idempotent: whether the request may run more than once.
    :param released: for a claimed request, whether the proof that the attempt did not run is
        committed; ``False`` for any other request.
    :param deadline: when the caller gives up, on the runtime's clock.
    """

    verdict: Verdict
    number: int
    idempotent: bool
    deadline: float
    released: bool = False


class RetryBudget:
    """Bounds retries to a fraction of first attempts, so that they can't amplify an overload.

    Each first attempt adds :attr:`ratio` of a retry to the budget; each retry removes one. The
    budget starts full and holds at most :attr:`capacity` retries.

    :param ratio: retries allowed per first attempt in the long run.
    :param capacity: maximum number of saved retries.
    :param refill_per_s: retries added per second at any load.
    """

    def __init__(
        self, ratio: float = 0.1, capacity: float = 10.0, refill_per_s: float = 0.0
    ) -> None:
        self.ratio = ratio
        self.capacity = capacity
        self.refill_per_s = refill_per_s
        self.available_retries = capacity
        self.refilled_at = 0.0

    def set_bounds(self, capacity: float, refill_per_s: float) -> None:
        """Change the maximum number of saved retries and the refill at any load."""
        self.capacity = capacity
        self.refill_per_s = refill_per_s
        self.available_retries = min(capacity, self.available_retries)

    def refill(self, now: float) -> None:
        """Add the retries that are due for the time since the last call.

        :param now: the runtime's clock, in seconds.
        """
        added_retries = self.refill_per_s * (now - self.refilled_at)
        self.refilled_at = now
        self.available_retries = min(self.capacity, self.available_retries + added_retries)

    def on_first_attempt(self) -> None:
        """Count a request that is dispatched for the first time."""
        self.available_retries = min(self.capacity, self.available_retries + self.ratio)

    def take_retry(self) -> bool:
        """Remove one retry from the budget; return whether one was available."""
        if self.available_retries < 1.0:
            return False
        self.available_retries -= 1.0
        return True


def retry_delay_s(
    failed: FailedAttempt, budget: RetryBudget, random: Random, now: float
) -> float | None:
    """Return the seconds until the next attempt, or ``None`` when the failure is final.

    A retry requires a request that may run again: an idempotent one, or one whose attempt is proven
    not to have run, with the proof committed. It also requires an attempt left, time before the
    deadline and a retry in the budget, which it consumes. If the first attempt did not run, the
    retry follows at once, since another endpoint may be free; all others wait for a random delay
    whose bound grows exponentially.
    """
    allowed = failed.idempotent or (failed.verdict is Verdict.NOT_RUN and failed.released)
    if not allowed or failed.verdict is Verdict.COMPLETED or failed.number >= MAX_ATTEMPTS:
        return None
    delay_s = _random_backoff_s(failed, random)
    if now + delay_s >= failed.deadline or not budget.take_retry():
        return None
    return delay_s


def _random_backoff_s(failed: FailedAttempt, random: Random) -> float:
    """Return a random delay in seconds, up to a bound that doubles with each attempt."""
    if failed.number == 1 and failed.verdict is Verdict.NOT_RUN:
        return 0.0
    max_delay_s = BACKOFF_BASE_S * 2.0**failed.number
    return random.random() * min(BACKOFF_MAX_S, max_delay_s)
