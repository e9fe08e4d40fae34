"""How long the responses of each route took, and so when a stopping entry must send a request."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

RECENT_RESPONSES = 64
"""Responses of a route that are remembered."""

EXPECTED_TIME_RATIO = 1.2
"""Time that a response is expected to take, as a ratio of the longest recent one."""


@dataclass
class ResponseTimes:
    """The times of the recent responses of each route, in seconds, from sending to the end."""

    recent_s: dict[str, deque[float]] = field(default_factory=dict)

    def record(self, route: str, took_s: float) -> None:
        """Add the time of a complete response."""
        self.recent_s.setdefault(route, deque(maxlen=RECENT_RESPONSES)).append(took_s)

    def expected_s(self, route: str, timeout_s: float) -> float:
        """Return the time within which a response is expected; the timeout if none was seen."""
        recent = self.recent_s.get(route)
        return min(timeout_s, EXPECTED_TIME_RATIO * max(recent)) if recent else timeout_s

    def latest_send_at(
        self, route: str, timeout_s: float, deadline: float, ends_at: float
    ) -> float:
        """Return when a request must be sent to be answered before its entry ends.

        :param timeout_s: the route's timeout, in seconds.
        :param deadline: when the request is due; by then it has a final response in any case.
        :param ends_at: when the entry ends. All times are on the runtime's clock.
        :return: the deadline, if the entry ends later.
        """
        if deadline <= ends_at:
            return deadline
        return ends_at - self.expected_s(route, timeout_s)
