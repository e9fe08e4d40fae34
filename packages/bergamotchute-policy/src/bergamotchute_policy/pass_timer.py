"""Duration of a rank group's forward passes, from the pass numbers that its ranks report."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

INITIAL_PASS_S = 0.035
"""Assumed until a pass is timed: the duration of a pass with one request on production engines."""

MAX_PASS_S = 0.15
"""Upper bound of the estimate. An idle group makes no passes, so the time between two reports may
be much longer; no pass with work was observed to take longer unless the group was stalled."""

TIMING_WINDOW_S = 1.0
"""Time over which passes are timed. Reports of different ranks are up to 0.2 s old, so the time
between two of them can be twice or half of the time between the passes that they name."""

MIN_TIMED_PASSES = 3
"""Fewest passes between the reports that an estimate is based on."""


@dataclass
class PassTimer:
    """Estimates the duration of a pass in the newest incarnation of a group.

    :param epoch: the newest incarnation of the group.
    :param reports: when a higher pass number was first reported, on the runtime's clock, and that
        number; of the last second.
    :param pass_s: the estimated duration of a pass.
    """

    epoch: int = 0
    reports: deque[tuple[float, int]] = field(default_factory=deque)
    pass_s: float = INITIAL_PASS_S

    def observe(self, epoch: int, step: int, now: float) -> None:
        """Record the number of the newest pass that a rank started."""
        if epoch < self.epoch or (epoch == self.epoch and step <= self._newest_step()):
            return
        if epoch > self.epoch:
            self.epoch, self.pass_s = epoch, INITIAL_PASS_S
            self.reports.clear()
        self.reports.append((now, step))
        while now - self.reports[0][0] > TIMING_WINDOW_S and len(self.reports) > 2:
            self.reports.popleft()
        first_at, first_step = self.reports[0]
        if step - first_step >= MIN_TIMED_PASSES:
            self.pass_s = min(MAX_PASS_S, (now - first_at) / (step - first_step))

    def _newest_step(self) -> int:
        return self.reports[-1][1] if self.reports else -1

    def passes_ahead(self, min_delay_s: float) -> int:
        """Return how many passes ahead is the first pass that starts after a minimum delay.

        The result includes one extra pass because the current one may be about to end.

        :param min_delay_s: the minimum delay in seconds.
        """
        return 1 + max(1, math.ceil(min_delay_s / self.pass_s))
