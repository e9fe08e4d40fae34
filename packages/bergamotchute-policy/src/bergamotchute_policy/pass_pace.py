"""How long a rank group's passes take, from the pass numbers that its ranks tell."""

from __future__ import annotations

import math
from dataclasses import dataclass

FIRST_PASS_S = 0.035
"""Taken until a pass was timed; a pass with a single request takes as long at the users' engines."""

LONGEST_PASS_S = 0.15
"""An idle group makes no passes; no pass with work was seen to take longer, unless it stood still."""

TIMED_S = 0.15
"""Passes are timed over at least this long, as pass numbers are told a few times a second."""


@dataclass
class PassPace:
    """The time of a pass in the newest life of a group.

    :param epoch: that life.
    :param step: the newest pass that was timed.
    :param at: when it was told, on the runtime's clock.
    """

    epoch: int = 0
    step: int = 0
    at: float = 0.0
    pass_s: float = FIRST_PASS_S

    def observe(self, epoch: int, step: int, now: float) -> None:
        """Take the newest pass that a rank began."""
        if epoch > self.epoch:
            self.epoch, self.step, self.at, self.pass_s = epoch, step, now, FIRST_PASS_S
        elif epoch == self.epoch and step > self.step and now - self.at >= TIMED_S:
            self.pass_s = min(LONGEST_PASS_S, (now - self.at) / (step - self.step))
            self.step, self.at = step, now

    def passes_ahead(self, least_s: float) -> int:
        """Return how many passes ahead of the present one begins no earlier than in ``least_s``.

        The present pass may be about to end.
        """
        return 1 + max(1, math.ceil(least_s / self.pass_s))
