"""The limits of endpoints that this process knows, shared with others and logged when they change."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_model.rate_limits import EndpointRateLimit, RateLimitsReported
from bergamotchute_policy.rate_limit_table import UNLIMITED, RateLimitTable


@dataclass
class RateLimitLog:
    """A table of limits whose changes are logged and told to other processes.

    :param change_count: changes of limits since the start.
    """

    log: EventLog
    table: RateLimitTable = field(default_factory=RateLimitTable)
    change_count: int = 0

    def record(
        self, endpoint: str, born_ms: int, requests_per_s: float, sent_at: float, told_by: str
    ) -> RateLimitsReported | None:
        """Record a limit; return what other processes must learn, ``None`` if it is no news.

        :param requests_per_s: infinity if there is no limit.
        :param sent_at: when the request was sent whose response told it, on the runtime's clock.
        :param told_by: the identifier of that request, or ``link``.
        """
        if not self.table.record(endpoint, born_ms, requests_per_s, sent_at):
            return None
        self.change_count += 1
        age_s = anyio.current_time() - sent_at
        limit = None if requests_per_s == UNLIMITED else requests_per_s
        self.log.emit(
            events.ENDPOINT_RATE_LIMITED,
            endpoint=endpoint,
            born_ms=born_ms,
            requests_per_s=rate_for_log(requests_per_s),
            age_ms=round(1000 * age_s),
            told_by=told_by,
        )
        return RateLimitsReported((EndpointRateLimit(endpoint, born_ms, limit, age_s),))

    def merge(self, report: RateLimitsReported) -> RateLimitsReported | None:
        """Record the limits that another process reported; return those that are news."""
        now = anyio.current_time()
        news: list[EndpointRateLimit] = []
        for each in report.limits:
            limit = UNLIMITED if each.requests_per_s is None else each.requests_per_s
            recorded = self.record(
                each.endpoint, each.born_ms, limit, now - each.age_s, told_by="link"
            )
            news += recorded.limits if recorded is not None else ()
        return RateLimitsReported(tuple(news)) if news else None

    def whole(self) -> RateLimitsReported:
        """Return the limits that a process which has just started needs."""
        now = anyio.current_time()
        return RateLimitsReported(
            tuple(
                EndpointRateLimit(
                    endpoint, known.born_ms, known.requests_per_s, now - known.sent_at
                )
                for endpoint, known in self.table.limited(now).items()
            )
        )

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return {
            "rate_limited_endpoints": float(len(self.table.limited(anyio.current_time()))),
            "rate_limit_changes_total": float(self.change_count),
        }


def rate_for_log(requests_per_s: float) -> float | str:
    """Return a limit as a log line holds it."""
    return "none" if requests_per_s == UNLIMITED else requests_per_s
