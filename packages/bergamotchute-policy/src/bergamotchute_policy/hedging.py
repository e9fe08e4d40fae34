"""When a request is sent to a second endpoint too, to which one, and how often that is allowed.

Load: a few endpoints become several times slower for seconds, while others have free slots. A
request that was placed at a slow one would answer late, although it is too early to give the
endpoint up.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.versioned_configuration import EnginePerformance
from bergamotchute_policy.direct_placement import DirectPlacement, EndpointCandidate
from bergamotchute_policy.engine_model import pass_s, usual_prefill_s

MIN_QUANTILE = 0.95
"""Lowest quantile of the recent times from which a request counts as slow."""

USED_SHARE_RATIO = 0.7
"""Share of requests that count as slow, as a ratio of the extra requests that are allowed.

The slowest requests are to use up the limit, not the first ones. In the replay of
``test_hedging.py`` with a share of 0.05, 99.9% of the answers came within 0.32 s with this ratio and
1.18 s with a ratio of 1, as the limit was used up by requests that were hardly slow.
"""

MIN_KNOWN_TIMES = 20
"""Times of a route from which its quantile is known: one of them is above :data:`MIN_QUANTILE`."""

RECENT_TIMES = 200
"""Times of a route that are remembered; an entry of a large deployment gets one or two a second."""

ROUND_TRIPS_S = 0.01
"""Time for the connection and the request: two round trips of 2 ms, and delays of event loops."""

WINDOW_S = 60
"""Length of the window over which extra requests are limited, in seconds.

An entry with five requests per second and a share of 0.02 may send six extra ones in this time. A
window of ten seconds would allow less than one.
"""

BURST_SENDS = 10.0
"""Extra requests of a service that are allowed beyond the share in each window, over all entries."""

RouteKey = tuple[str, str]
"""The names of a route and of the service that a request is sent to."""


def min_delay_s(engine: EnginePerformance | None) -> float:
    """Return the time before which no request counts as slow, in seconds.

    It is the time of the round trips and of one pass of a full engine that reads a usual prompt.
    """
    if engine is None:
        return ROUND_TRIPS_S
    return ROUND_TRIPS_S + pass_s(engine, engine.slots) + usual_prefill_s(engine)


@dataclass
class FirstAnswerTimes:
    """The times of recent first sends until the first event, or until the complete response.

    The time of a send that was cut off because another endpoint was faster is a lower bound. It is
    recorded too: without the slow ones, each extra request would lower the quantile and so cause
    more of them.

    :param share: extra requests that operators allow, as a share of requests.
    """

    share: float
    recent_s: dict[RouteKey, deque[float]] = field(default_factory=dict)

    def record(self, route: RouteKey, took_s: float) -> None:
        """Add the time of a first send, in seconds."""
        self.recent_s.setdefault(route, deque(maxlen=RECENT_TIMES)).append(took_s)

    def delay_s(self, route: RouteKey, min_s: float) -> float | None:
        """Return after how many seconds a request is slow; ``None`` until enough times are known."""
        recent = self.recent_s.get(route, ())
        if len(recent) < MIN_KNOWN_TIMES:
            return None
        quantile = max(MIN_QUANTILE, 1.0 - USED_SHARE_RATIO * self.share)
        rank = min(len(recent), math.ceil(quantile * len(recent)))
        return max(min_s, sorted(recent)[rank - 1])


@dataclass
class _Second:
    """The requests and extra requests of one second."""

    number: int
    requests: int = 0
    extra: int = 0


@dataclass
class HedgeLimit:
    """Limits the extra requests of a service in a sliding window.

    Each entry counts its own requests and gets its part of the burst. The sum over all entries is
    then at most the share of all requests and one burst.

    :param share: extra requests that operators allow, as a share of requests.
    """

    share: float
    seconds: deque[_Second] = field(default_factory=deque)

    def on_request(self, now: float) -> None:
        """Count the first send of a request. All times are on the runtime's clock, in seconds."""
        self._current(now).requests += 1

    def may_send(self, now: float, entry_count: int) -> bool:
        """Return whether one more extra request is within the limit.

        :param entry_count: entries that share the burst.
        """
        self._current(now)
        requests = sum(each.requests for each in self.seconds)
        extra = sum(each.extra for each in self.seconds)
        return extra + 1 <= self.share * requests + BURST_SENDS / max(1, entry_count)

    def on_sent(self, now: float) -> None:
        """Count an extra request."""
        self._current(now).extra += 1

    def _current(self, now: float) -> _Second:
        """Return the current second, after dropping those that left the window."""
        number = math.floor(now)
        while self.seconds and self.seconds[0].number <= number - WINDOW_S:
            self.seconds.popleft()
        if not self.seconds or self.seconds[-1].number != number:
            self.seconds.append(_Second(number))
        return self.seconds[-1]


def select_hedge_target(
    placement: DirectPlacement,
    endpoints: Iterable[EndpointHeartbeat],
    first: EndpointHeartbeat,
    avoided: Collection[str],
    now: float,
) -> EndpointCandidate | None:
    """Return the least utilized endpoint for an extra request; ``None`` if none has a free slot.

    It is healthy and not slow, and its rate leaves room now. Endpoints outside of the rank group of
    the first one come first, as all ranks of a group run at the pace of the slowest.

    :param first: the endpoint that the request was sent to.
    :param avoided: identifiers of endpoints that failed the request.
    """
    usable = [
        each
        for each in endpoints
        if each.endpoint != first.endpoint
        and each.endpoint not in avoided
        and placement.has_free_slot((each,), now)
        and not placement.load(each).is_slow(now)
    ]
    group = placement.load(first).group
    outside = [each for each in usable if not group or placement.load(each).group != group]
    chosen = placement.select_endpoint(outside or usable, (), now)
    if chosen is None:
        return None
    # The estimate of a full endpoint falls a little between two reports of its load.
    capacity = placement.capacity(chosen.heartbeat, now)
    return chosen if chosen.fullness * capacity + 1.0 <= capacity else None
