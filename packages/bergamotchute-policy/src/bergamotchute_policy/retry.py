"""When a failed attempt may be followed by another, and how soon."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from bergamotchute_model.verdict import Verdict

MAX_ATTEMPTS = 4
BACKOFF_BASE_S = 0.02
BACKOFF_MAX_S = 1.0


@dataclass(frozen=True)
class FailedAttempt:
    """What is known after an attempt failed.

    :param verdict: whether the attempt may have run.
    :param number: the try, from 1.
    :param idempotent: whether the request may run more than once.
    :param released: for a claimed request, whether the proof that the attempt did not run is
        committed; any other request leaves it ``False``.
    :param deadline: when the caller gives up, on the runtime's clock.
    """

    verdict: Verdict
    number: int
    idempotent: bool
    deadline: float
    released: bool = False


class RetryBudget:
    """Bounds retries to a part of the first attempts, so that they can't feed an overload.

    Each first attempt puts :attr:`ratio` of a retry into the budget, each retry takes one out.
    The budget starts full and holds at most :attr:`capacity` retries.

    :param ratio: retries allowed for each first attempt, in the long run.
    :param refill_per_s: retries that come back in a second whatever the load.
    """

    def __init__(
        self, ratio: float = 0.1, capacity: float = 10.0, refill_per_s: float = 0.0
    ) -> None:
        self.ratio = ratio
        self.capacity = capacity
        self.refill_per_s = refill_per_s
        self.balance = capacity
        self.refilled_at = 0.0

    def refill(self, now: float) -> None:
        """Add what came back since the last call.

        :param now: the runtime's clock, in seconds.
        """
        added = self.refill_per_s * (now - self.refilled_at)
        self.refilled_at = now
        self.balance = min(self.capacity, self.balance + added)

    def on_first_attempt(self) -> None:
        """Count a request that is dispatched for the first time."""
        self.balance = min(self.capacity, self.balance + self.ratio)

    def take(self) -> bool:
        """Take out one retry; return whether there was one."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


def retry_delay(
    failed: FailedAttempt, budget: RetryBudget, random: Random, now: float
) -> float | None:
    """Return the seconds after which to try again, or ``None`` when the failure is final.

    A retry needs a request that may run again: an idempotent one, or one whose attempt is proved
    not to have run, with that proof committed. It also needs a try left, time before the deadline
    and a retry in the budget, of which it takes one. An attempt that did not run follows at once
    the first time, since another endpoint may be free; all others wait a random time that grows.
    """
    allowed = failed.idempotent or (failed.verdict is Verdict.NOT_RUN and failed.released)
    if not allowed or failed.verdict is Verdict.COMPLETED or failed.number >= MAX_ATTEMPTS:
        return None
    delay = _backoff(failed, random)
    if now + delay >= failed.deadline or not budget.take():
        return None
    return delay


def _backoff(failed: FailedAttempt, random: Random) -> float:
    """Return a delay drawn from zero up to a bound that doubles with each try."""
    if failed.number == 1 and failed.verdict is Verdict.NOT_RUN:
        return 0.0
    bound = BACKOFF_BASE_S * 2.0**failed.number
    return random.random() * min(BACKOFF_MAX_S, bound)
