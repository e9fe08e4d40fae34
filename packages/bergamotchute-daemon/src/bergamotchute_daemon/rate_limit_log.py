"""The limits of endpoints that this process knows, logged when they change."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_policy.rate_limit_table import UNLIMITED, RateLimitTable


@dataclass
class RateLimitLog:
    """A table of limits whose changes are logged.

    :param change_count: changes of limits since the start.
    """

    log: EventLog
    table: RateLimitTable = field(default_factory=RateLimitTable)
    change_count: int = 0

    def record(
        self, endpoint: str, born_ms: int, requests_per_s: float, sent_at: float, told_by: str
    ) -> bool:
        """Record a limit; return whether it is news.

        :param requests_per_s: infinity if there is no limit.
        :param sent_at: when the request was sent whose response told it, on the runtime's clock.
        :param told_by: the identifier of that request, or ``link``.
        """
        if not self.table.record(endpoint, born_ms, requests_per_s, sent_at):
            return False
        self.change_count += 1
        self.log.emit(
            events.ENDPOINT_RATE_LIMITED,
            endpoint=endpoint,
            born_ms=born_ms,
            requests_per_s=rate_for_log(requests_per_s),
            age_ms=round(1000 * (anyio.current_time() - sent_at)),
            told_by=told_by,
        )
        return True

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return {
            "rate_limited_endpoints": float(len(self.table.limited(anyio.current_time()))),
            "rate_limit_changes_total": float(self.change_count),
        }


def rate_for_log(requests_per_s: float) -> float | str:
    """Return a limit as a log line holds it."""
    return "none" if requests_per_s == UNLIMITED else requests_per_s
