"""How much work arrives, by a rate in which the past fades."""

from __future__ import annotations

from math import exp


class DemandRate:
    """Tokens a second that arrive, weighted by how recent they are.

    :param horizon_s: time over which an arrival loses most of its weight.
    """

    def __init__(self, horizon_s: float) -> None:
        self.horizon_s = horizon_s
        self.level = 0.0
        self.at = 0.0

    def add(self, tokens: float, now: float) -> None:
        """Count work that arrives."""
        self.level = self.rate(now) + tokens / self.horizon_s
        self.at = now

    def rate(self, now: float) -> float:
        """Return the tokens a second."""
        return self.level * exp(-max(0.0, now - self.at) / self.horizon_s)
