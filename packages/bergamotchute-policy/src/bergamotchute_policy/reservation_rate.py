"""A bound of the reservations of one endpoint that exist in any second.

Load: an endpoint becomes cold while entries still send at their usual rate, as they learn of it with
its next heartbeat. A request is sent while its reservation exists. So the endpoint gets no more
requests in a second than reservations existed in it, whatever the entries know.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

WINDOW_S = 1.0
"""The interval in which the requests of a cold endpoint are counted."""


@dataclass
class ReservationRate:
    """Bounds the reservations that exist in any second.

    :param most_per_s: the bound; 0 for none.
    :param ended_at: when each reservation of the last second ended, on the runtime's clock.
    :param refused_count: reservations that were refused since the start.
    """

    most_per_s: int = 0
    ended_at: deque[float] = field(default_factory=deque)
    refused_count: int = 0

    def set_bound(self, most_per_s: int | None) -> None:
        """Set the bound that an entry names; ``None`` if it names none, as earlier builds."""
        if most_per_s is not None:
            self.most_per_s = most_per_s

    def may_grant(self, existing: int, now: float) -> bool:
        """Return whether another reservation keeps the bound.

        :param existing: the reservations that exist now.
        """
        while self.ended_at and self.ended_at[0] <= now - WINDOW_S:
            self.ended_at.popleft()
        return not self.most_per_s or existing + len(self.ended_at) < self.most_per_s

    def on_ended(self, count: int, now: float) -> None:
        """Record that reservations ended."""
        self.ended_at.extend([now] * count)
