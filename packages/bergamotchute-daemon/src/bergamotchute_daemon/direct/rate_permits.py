"""The limits of their rate that endpoints name in responses to an entry."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from bergamotchute_daemon.direct.request_format import ResponseMetadata
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.rate_limit_log import RateLimitLog
from bergamotchute_model import events
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat


@dataclass
class RatePermits:
    """Reads the limits of endpoints from their responses.

    :param limits: the limits that this entry read.
    """

    limits: RateLimitLog
    log: EventLog

    def requests_per_s(self, endpoint: EndpointHeartbeat) -> float:
        """Return the limit of an endpoint; infinity for none."""
        return self.limits.table.requests_per_s(
            endpoint.endpoint, endpoint.born_ms, anyio.current_time()
        )

    def on_response(
        self, endpoint: EndpointHeartbeat, metadata: ResponseMetadata, sent_at: float
    ) -> None:
        """Record the limit that a response names.

        :param sent_at: when the request of the response was sent, on the runtime's clock.
        """
        if metadata.rate_limit is None:
            self.log.emit(
                events.RATE_LIMIT_UNREADABLE,
                request_id=metadata.request_id,
                endpoint=endpoint.endpoint,
                born_ms=endpoint.born_ms,
            )
            return
        self.limits.record(
            endpoint.endpoint,
            endpoint.born_ms,
            metadata.rate_limit,
            sent_at,
            told_by=metadata.request_id,
        )

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return self.limits.gauges()
