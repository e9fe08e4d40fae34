"""A clock that jumps from event to event."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class EventClock:
    """Runs callbacks in the order of their times; equal times in the order of the calls."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = count()

    def at(self, time: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` at ``time``, or now when that has passed."""
        heappush(self.events, (max(time, self.now), next(self.numbers), callback))

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` after a delay."""
        self.at(self.now + delay_s, callback)

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, callback = heappop(self.events)
            callback()
        self.now = until
