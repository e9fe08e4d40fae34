"""Waits between tries to reach a peer: growing, with jitter."""

from __future__ import annotations

from random import Random

BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 2.0


class Backoff:
    """Gives the waits of one series of failures.

    :param random: the source of jitter, so that many processes don't return together.
    """

    def __init__(
        self, random: Random, base_s: float = BACKOFF_BASE_S, max_s: float = BACKOFF_MAX_S
    ) -> None:
        self.random = random
        self.base_s = base_s
        self.max_s = max_s
        self.failures = 0

    def next_delay(self) -> float:
        """Return how long to wait after one more failure, in seconds."""
        bound = min(self.max_s, self.base_s * 2.0**self.failures)
        self.failures = min(self.failures + 1, 16)
        return bound * (0.5 + self.random.random() / 2)

    def reset(self) -> None:
        """Start over after a success."""
        self.failures = 0
