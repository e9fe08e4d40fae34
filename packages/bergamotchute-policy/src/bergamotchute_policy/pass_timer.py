"""Duration of a rank group's forward passes, from the pass numbers that its ranks report."""

from __future__ import annotations

import math
from dataclasses import dataclass

INITIAL_PASS_S = 0.035
"""Assumed until a pass is timed: the duration of a pass with one request on production engines."""

MAX_PASS_S = 0.15
"""Upper bound of the estimate. An idle group makes no passes, so the time between two reports may
be much longer; no pass with work was observed to take longer unless the group was stalled."""

MIN_TIMING_S = 0.15
"""Minimum time over which passes are timed, as pass numbers are reported a few times a second."""


@dataclass
class PassTimer:
    """Estimates the duration of a pass in the newest incarnation of a group.

    :param epoch: the newest incarnation of the group.
    :param step: number of the newest pass that was timed.
    :param at: when that pass was reported, on the runtime's clock.
    :param pass_s: the estimated duration of a pass.
    """

    epoch: int = 0
    step: int = 0
    at: float = 0.0
    pass_s: float = INITIAL_PASS_S

    def observe(self, epoch: int, step: int, now: float) -> None:
        """Record the number of the newest pass that a rank started."""
        if epoch > self.epoch:
            self.epoch, self.step, self.at, self.pass_s = epoch, step, now, INITIAL_PASS_S
        elif epoch == self.epoch and step > self.step and now - self.at >= MIN_TIMING_S:
            self.pass_s = min(MAX_PASS_S, (now - self.at) / (step - self.step))
            self.step, self.at = step, now

    def passes_ahead(self, min_delay_s: float) -> int:
        """Return how many passes ahead is the first pass that starts after a minimum delay.

        The result includes one extra pass because the current one may be about to end.

        :param min_delay_s: the minimum delay in seconds.
        """
        return 1 + max(1, math.ceil(min_delay_s / self.pass_s))
