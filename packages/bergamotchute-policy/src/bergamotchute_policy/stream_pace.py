"""How long a request takes from its sending to its first event, as an entry observes it.

This time depends on the duration of a group's passes, and so on the size of the group, its engines
and its load. It is measured, so that decisions on waiting fit any group.
"""

from __future__ import annotations

from dataclasses import dataclass

INITIAL_FIRST_EVENT_S = 0.25
"""Assumed until enough streams are observed."""

MAX_FIRST_EVENT_S = 0.6
"""A longer time includes a wait within the engine, or a stall."""

QUANTILE = 0.7
"""Share of the streams that the estimate is to cover."""

STEP_S = 0.005
"""Change of the estimate for each observed stream."""


@dataclass
class StreamPace:
    """An estimate that most of the recent streams of a service stayed below.

    :param first_event_s: time from sending a request to its first event, in seconds.
    """

    first_event_s: float = INITIAL_FIRST_EVENT_S

    def on_first_event(self, first_event_s: float) -> None:
        """Update the estimate by one stream."""
        if first_event_s > MAX_FIRST_EVENT_S:
            return
        # The mean of the steps is 0 once the estimate covers the quantile.
        is_above = first_event_s > self.first_event_s
        self.first_event_s += STEP_S * (QUANTILE if is_above else QUANTILE - 1.0)
