"""The newest limit of the rate of requests that each endpoint named.

Each response tells whether its endpoint has a limit. Responses overtake each other, so their order
is that in which their requests were sent: a late response to an earlier attempt changes nothing.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

LIMIT_TTL_S = 600.0
"""Time without a response after which a limit is forgotten."""

MAX_ENDPOINTS = 20_000
"""Bound of the table: twice the endpoints of the largest deployment."""

UNLIMITED = math.inf

REPORTED_CHANGE_RATIO = 0.05
"""Change of a limit, as a share of it, from which other processes must learn of it."""


@dataclass(frozen=True)
class KnownRateLimit:
    """What the newest response of an endpoint's incarnation named.

    :param requests_per_s: requests a second from all entries together; infinity for no limit.
    :param sent_at: when the request was sent that the response answers, on the runtime's clock.
    """

    born_ms: int
    requests_per_s: float
    sent_at: float


@dataclass
class RateLimitTable:
    """Keeps the newest limit of each endpoint, the one reported least recently first.

    :param limits: by endpoint identifier.
    """

    limits: OrderedDict[str, KnownRateLimit] = field(default_factory=OrderedDict)

    def record(self, endpoint: str, born_ms: int, requests_per_s: float, sent_at: float) -> bool:
        """Record what a response named; return whether the limit changed enough to report it.

        :param requests_per_s: infinity if the response names no limit.
        :param sent_at: when the request of the response was sent, on the runtime's clock.
        """
        known = self.limits.get(endpoint)
        if known is not None and (born_ms, sent_at) < (known.born_ms, known.sent_at):
            return False
        before = UNLIMITED if known is None else known.requests_per_s
        self.limits[endpoint] = KnownRateLimit(born_ms, requests_per_s, sent_at)
        self.limits.move_to_end(endpoint)
        if len(self.limits) > MAX_ENDPOINTS:
            self.limits.popitem(last=False)
        return not math.isclose(requests_per_s, before, rel_tol=REPORTED_CHANGE_RATIO)

    def requests_per_s(self, endpoint: str, born_ms: int, now: float) -> float:
        """Return the limit of an endpoint's incarnation; infinity for no limit."""
        known = self.limits.get(endpoint)
        if known is None or known.born_ms != born_ms or now - known.sent_at > LIMIT_TTL_S:
            return UNLIMITED
        return known.requests_per_s

    def limited(self, now: float) -> dict[str, KnownRateLimit]:
        """Return the endpoints with a limit."""
        return {
            endpoint: known
            for endpoint, known in self.limits.items()
            if known.requests_per_s < UNLIMITED and now - known.sent_at <= LIMIT_TTL_S
        }
