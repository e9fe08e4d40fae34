"""The queue of requests for the slots of one endpoint: its order and its rejections.

When demand exceeds the capacity of the engines, or callers return after an outage, serving in order
of arrival would make every request late. Requests that can still start in time therefore go first,
by priority and then by due time. Requests that are already late get the remaining slots.

When the demand for experts shifts or the rank group stalls, slots become free at half of the usual
rate or not at all. A queue length based on the usual rate would let requests wait without success
and reject them late. The queue therefore measures the interval at which it is served, and rejects a
request as soon as that shows that it can't start before its caller gives up.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field

INTERVAL_SAMPLE_COUNT = 6
"""Served requests over which the service interval is averaged: about a second of a production
engine."""

MIN_INTERVAL_SAMPLES = 3
"""Served requests from which the service interval counts as known."""

RECENT_ARRIVAL_COUNT = 16
"""Recent arrivals that determine the most urgent priority of the current load."""

LESS_URGENT_RATIO = 0.5
"""Share of the queue that less urgent requests may take. A higher share admits requests that more
urgent ones then displace, after a wait without success."""

LESS_URGENT_PERIOD = 4
"""Every fourth slot goes to the oldest less urgent request, if there is one, because no priority
may be served less than a quarter as often as the average."""

UNLIMITED_REQUESTS = 1_000_000
"""A limit on the requests at an endpoint that no engine reaches."""


@dataclass(frozen=True)
class WaitingRequest:
    """A request that waits for a slot.

    :param holder: the owner of the reservation, usually the link of an entry.
    :param number: identifies the request among those of its holder.
    :param most: maximum number of other requests at the endpoint for this one to take a slot.
    :param due_at: latest start that meets the objective, on the runtime's clock.
    :param priority: 0 is the most urgent.
    :param gives_up_at: when the caller gives up unless the request has started, on the runtime's
        clock.
    :param tokens: tokens of its prompt and its longest output; 0 if unknown.
    """

    holder: Hashable
    number: int
    most: int
    due_at: float
    priority: int = 0
    gives_up_at: float = float("inf")
    tokens: int = 0

    def is_late(self, now: float) -> bool:
        """Return whether the request can no longer start in time."""
        return self.due_at <= now


@dataclass
class SlotQueue:
    """A bounded priority queue of requests for a slot.

    :param waiting: the queued requests in order of arrival.
    :param intervals_s: the latest intervals between two served requests while others waited.
    :param interval_since: start of the current interval, on the runtime's clock.
    :param recent_priorities: priorities of the latest arrivals.
    :param served_count: requests served so far.
    """

    waiting: list[WaitingRequest] = field(default_factory=list)
    intervals_s: deque[float] = field(default_factory=lambda: deque(maxlen=INTERVAL_SAMPLE_COUNT))
    interval_since: float = 0.0
    recent_priorities: deque[int] = field(
        default_factory=lambda: deque(maxlen=RECENT_ARRIVAL_COUNT)
    )
    served_count: int = 0

    def __len__(self) -> int:
        return len(self.waiting)

    def enqueue(
        self, request: WaitingRequest, max_waiting: int, now: float
    ) -> tuple[bool, WaitingRequest | None]:
        """Queue a request if it can start before its caller gives up and the queue has room.

        A full queue drops its last request for a more urgent one.

        :param max_waiting: maximum queue length at the usual service rate.
        :returns: whether the request was queued, and the request that was dropped for it.
        """
        if not max_waiting:
            return False, None
        self.recent_priorities.append(request.priority)
        if request.priority > min(self.recent_priorities):
            max_waiting = max(1, int(max_waiting * LESS_URGENT_RATIO))
        if not self.waiting:
            self.interval_since = now
        order = [*self.waiting, request]
        order.sort(key=lambda each: self._sort_key(each, now))
        ahead_count = order.index(request)
        if now + (ahead_count + 1) * self._interval_s(now) > request.gives_up_at:
            return False, None
        self.waiting.append(request)
        if len(self.waiting) <= max_waiting:
            return True, None
        last = order[-1]
        if last.priority <= request.priority:
            last = request
        self.waiting.remove(last)
        return last is not request, None if last is request else last

    def first_in_order(self, now: float) -> WaitingRequest | None:
        """Return the first request by the order alone; ``None`` while the queue is empty."""
        return min(self.waiting, key=lambda each: self._sort_key(each, now), default=None)

    def next_request(self, now: float) -> WaitingRequest | None:
        """Return the request that gets the next slot; ``None`` while the queue is empty."""
        next_request = self.first_in_order(now)
        if next_request is None:
            return None
        if (self.served_count + 1) % LESS_URGENT_PERIOD == 0:
            less_urgent = (each for each in self.waiting if each.priority > next_request.priority)
            return next(less_urgent, next_request)
        return next_request

    def mark_served(self, request: WaitingRequest, now: float) -> None:
        """Remove a request that got a slot, and record the service interval."""
        self.served_count += 1
        self.intervals_s.append(now - self.interval_since)
        self.interval_since = now
        self.remove(request.holder, request.number)

    def remove(self, holder: Hashable, number: int | None = None) -> None:
        """Remove one request of a holder, or all of them."""
        self.waiting = [
            each
            for each in self.waiting
            if each.holder != holder or (number is not None and each.number != number)
        ]

    def take_unservable(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests that can't start before their callers give up.

        The expected start of a request follows from its place and the current service interval.
        """
        unservable: list[WaitingRequest] = []
        starts_at = now
        for request in sorted(self.waiting, key=lambda each: self._sort_key(each, now)):
            starts_at += self._interval_s(now)
            if starts_at > request.gives_up_at:
                unservable.append(request)
                starts_at -= self._interval_s(now)
        for request in unservable:
            self.remove(request.holder, request.number)
        return unservable

    def _interval_s(self, now: float) -> float:
        """Return the expected service interval in seconds; 0 while it is unknown.

        If the current interval is already longer than the average, it is taken as the estimate for
        the next ones.
        """
        if len(self.intervals_s) < MIN_INTERVAL_SAMPLES:
            return 0.0
        current_s = now - self.interval_since if self.waiting else 0.0
        return max(sum(self.intervals_s) / len(self.intervals_s), current_s)

    def _sort_key(self, request: WaitingRequest, now: float) -> tuple[bool, int, float]:
        is_late = request.is_late(now)
        # Late requests keep their order of arrival, since the sort is stable.
        return is_late, request.priority, 0.0 if is_late else request.due_at
