"""Exponential backoff with jitter for reaching a peer."""

from __future__ import annotations

from random import Random

BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 2.0


class Backoff:
    """Computes the retry delays of one series of failures.

    :param random: the source of jitter, so that many processes don't retry at the same time.
    :param base_s: the upper limit of the first delay, in seconds.
    :param max_s: the upper limit of any delay, in seconds.
    """

    def __init__(
        self, random: Random, base_s: float = BACKOFF_BASE_S, max_s: float = BACKOFF_MAX_S
    ) -> None:
        self.random = random
        self.base_s = base_s
        self.max_s = max_s
        self.failure_count = 0

    def next_delay(self) -> float:
        """Count one more failure and return the delay before the next attempt, in seconds."""
        limit_s = min(self.max_s, self.base_s * 2.0**self.failure_count)
        self.failure_count = min(self.failure_count + 1, 16)
        return limit_s * (0.5 + self.random.random() / 2)

    def reset(self) -> None:
        """Restart with the shortest delay after a success."""
        self.failure_count = 0
