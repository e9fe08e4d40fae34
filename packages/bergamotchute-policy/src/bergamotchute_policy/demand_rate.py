"""The arrival rate of work, as an exponentially weighted moving average."""

from __future__ import annotations

from math import exp


class DemandRate:
    """Arriving tokens per second, weighted by recency.

    :param horizon_s: time constant of the exponential decay.
    """

    def __init__(self, horizon_s: float) -> None:
        self.horizon_s = horizon_s
        self.level = 0.0
        self.at = 0.0

    def add(self, tokens: float, now: float) -> None:
        """Add arriving work."""
        self.level = self.tokens_per_s(now) + tokens / self.horizon_s
        self.at = now

    def tokens_per_s(self, now: float) -> float:
        """Return the current rate in tokens per second."""
        return self.level * exp(-max(0.0, now - self.at) / self.horizon_s)
