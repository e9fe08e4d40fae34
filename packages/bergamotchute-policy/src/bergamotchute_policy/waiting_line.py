"""The order in which requests wait for a slot of one endpoint, and who is turned away.

Load pattern: a crest beyond what the engines can do, or the callers of an outage. Served in order of
arrival, all of it would be late. So requests that can still begin in time go first, urgent ones before
others, then those due soonest. What is late already gets the slots that are left.

Load pattern: the demand for experts turns or the group stands still, and slots become free at half of
the usual pace or not at all. What waited for its place by the usual pace would wait in vain and be
refused late. So the line goes by the pace at which it was served: who can't begin before its caller
leaves is turned away as soon as that shows.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field

PACE_SERVED = 6
"""Requests over which the pace of a line is measured: about a second of an engine of the users."""

PACE_LEAST = 3
"""Requests that were served before a line has a pace of its own."""

ARRIVALS_KNOWN = 16
"""Arrivals among which the most urgent priority of the present load is found."""

OTHERS_PART = 0.5
"""Part of a line that may be taken by less urgent requests. Those that are let in and pushed out by
urgent ones have waited in vain."""

OTHERS_TURN = 4
"""Each fourth slot goes to the one that waited longest of those that are less urgent, if any: no kind
of request may be served less than a quarter as often as all."""


ANY_NUMBER = 1_000_000
"""Requests at an endpoint that no engine holds."""


@dataclass(frozen=True)
class WaitingRequest:
    """A request that waits for a slot.

    :param most: requests at the endpoint with which it takes a slot.
    :param due_at: when it should begin at the latest to be in time, on the runtime's clock.
    :param priority: 0 is the most urgent.
    :param leaves_at: when it must have begun, as its caller leaves, on the runtime's clock.
    """

    holder: Hashable
    number: int
    most: int
    due_at: float
    priority: int = 0
    leaves_at: float = float("inf")

    def is_late(self, now: float) -> bool:
        """Return whether it can't begin in time any more."""
        return self.due_at <= now


@dataclass
class WaitingLine:
    """The requests that wait, in order of arrival.

    :param gaps: the last times between two slots while someone waited, in seconds.
    :param gap_since: when the present one began, on the runtime's clock.
    :param arrivals: priorities of the last requests that came.
    :param turns: how many were served.
    """

    waiting: list[WaitingRequest] = field(default_factory=list)
    gaps: deque[float] = field(default_factory=lambda: deque(maxlen=PACE_SERVED))
    gap_since: float = 0.0
    arrivals: deque[int] = field(default_factory=lambda: deque(maxlen=ARRIVALS_KNOWN))
    turns: int = 0

    def __len__(self) -> int:
        return len(self.waiting)

    def join(
        self, request: WaitingRequest, most_waiting: int, now: float
    ) -> tuple[bool, WaitingRequest | None]:
        """Let a request wait if it may begin before it leaves, and there is room for it.

        A full line makes room for one that is more urgent than its last.

        :param most_waiting: how many may wait, by the usual pace.
        :returns: whether it waits, and who was turned away for it.
        """
        if not most_waiting:
            return False, None
        self.arrivals.append(request.priority)
        if request.priority > min(self.arrivals):
            most_waiting = max(1, int(most_waiting * OTHERS_PART))
        if not self.waiting:
            self.gap_since = now
        order = [*self.waiting, request]
        order.sort(key=lambda each: self._rank(each, now))
        ahead = order.index(request)
        if now + (ahead + 1) * self._interval_s(now) > request.leaves_at:
            return False, None
        self.waiting.append(request)
        if len(self.waiting) <= most_waiting:
            return True, None
        last = order[-1]
        if last.priority <= request.priority:
            last = request
        self.waiting.remove(last)
        return last is not request, None if last is request else last

    def first(self, now: float) -> WaitingRequest | None:
        """Return who gets the next slot; ``None`` while nobody waits."""
        if not self.waiting:
            return None
        first = min(self.waiting, key=lambda each: self._rank(each, now))
        if (self.turns + 1) % OTHERS_TURN == 0:
            others = (each for each in self.waiting if each.priority > first.priority)
            return next(others, first)
        return first

    def serve(self, request: WaitingRequest, now: float) -> None:
        """Note that a request got its slot."""
        self.turns += 1
        self.gaps.append(now - self.gap_since)
        self.gap_since = now
        self.leave(request.holder, request.number)

    def leave(self, holder: Hashable, number: int | None = None) -> None:
        """End the wait of one request of a holder, or of all."""
        self.waiting = [
            each
            for each in self.waiting
            if each.holder != holder or (number is not None and each.number != number)
        ]

    def take_hopeless(self, now: float) -> list[WaitingRequest]:
        """Turn away who can't begin before it leaves, at the pace of the last ones."""
        hopeless: list[WaitingRequest] = []
        begins_at = now
        for request in sorted(self.waiting, key=lambda each: self._rank(each, now)):
            begins_at += self._interval_s(now)
            if begins_at > request.leaves_at:
                hopeless.append(request)
                begins_at -= self._interval_s(now)
        for request in hopeless:
            self.leave(request.holder, request.number)
        return hopeless

    def _interval_s(self, now: float) -> float:
        """Return the time between two slots, 0 while that is not known.

        While no slot becomes free for long, the next ones are taken to need as long.
        """
        if len(self.gaps) < PACE_LEAST:
            return 0.0
        present = now - self.gap_since if self.waiting else 0.0
        return max(sum(self.gaps) / len(self.gaps), present)

    def _rank(self, request: WaitingRequest, now: float) -> tuple[bool, int, float]:
        is_late = request.is_late(now)
        # Among late ones the first to have come goes first; sorting keeps their order.
        return is_late, request.priority, 0.0 if is_late else request.due_at
