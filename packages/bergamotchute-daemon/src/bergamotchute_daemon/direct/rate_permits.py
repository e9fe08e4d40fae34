"""An entry's permits to send requests to endpoints that name a limit of their rate."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from bergamotchute_daemon.direct.cold_limits import ColdLimits
from bergamotchute_daemon.direct.request_format import ResponseMetadata
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.rate_limit_log import RateLimitLog
from bergamotchute_model import events
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.rate_limits import PermitAnswer, RateLimitsReported, RequestPermit
from bergamotchute_policy.cold_limit import ColdLimit
from bergamotchute_policy.permit_schedule import BURST_REQUESTS, Permit, PermitSchedule
from bergamotchute_policy.rate_limit_table import UNLIMITED

PERMIT_ANSWER_TIMEOUT_S = 0.1
"""Timeout for a permit: two round trips, and the delays of a control VM with a third of a core."""

SILENT_HOST_PAUSE_S = 1.0
"""Time for which no permit is requested for an endpoint after a request was not answered.

Meanwhile the entry uses its own part of the endpoint's rate.
"""

NO_PART_PAUSE_S = 0.25
"""Time until an entry asks again that gets no answer and may not use an own part of a cold rate."""


@dataclass
class RatePermits:
    """Gets a permit for each request to an endpoint with a limit; others need none.

    A cold endpoint has the lower of the limit that it names and the one of its service.

    :param limits: the limits that this entry read or was told.
    :param post_request: requests a permit at a control VM; returns whether one is linked.
    :param post_limits: tells the control VMs of limits, which pass them on.
    :param entry_count: returns the entries among which a rate is divided when no permit comes.
    :param cold_limits: the cold endpoints and their limits.
    :param own_schedule: the permits from this entry's own part of each rate.
    :param own_cold_schedule: the same for cold endpoints, without bursts.
    :param refused_count: permits that were refused since the start.
    """

    limits: RateLimitLog
    post_request: Callable[[RequestPermit], bool]
    post_limits: Callable[[RateLimitsReported], None]
    entry_count: Callable[[], int]
    random: Random
    log: EventLog
    cold_limits: ColdLimits = field(default_factory=ColdLimits)
    own_schedule: PermitSchedule = field(default_factory=PermitSchedule)
    own_cold_schedule: PermitSchedule = field(default_factory=PermitSchedule)
    requested_count: int = 0
    refused_count: int = 0
    answer_senders: dict[int, MemoryObjectSendStream[PermitAnswer]] = field(default_factory=dict)
    paused_until: dict[str, float] = field(default_factory=dict)

    def requests_per_s(self, endpoint: EndpointHeartbeat) -> float:
        """Return the limit of an endpoint; infinity for none."""
        named = self._named_requests_per_s(endpoint)
        cold = self.cold_limits.limit(endpoint)
        return named if cold is None else min(named, cold.requests_per_s)

    def _named_requests_per_s(self, endpoint: EndpointHeartbeat) -> float:
        return self.limits.table.requests_per_s(
            endpoint.endpoint, endpoint.born_ms, anyio.current_time()
        )

    def on_response(
        self,
        endpoint: EndpointHeartbeat,
        metadata: ResponseMetadata,
        sent_at: float,
    ) -> None:
        """Record the limit that a response names, and tell other processes of a change.

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
        news = self.limits.record(
            endpoint.endpoint,
            endpoint.born_ms,
            metadata.rate_limit,
            sent_at,
            told_by=metadata.request_id,
        )
        if news is not None:
            self.post_limits(news)

    async def acquire(
        self, endpoint: EndpointHeartbeat, request_id: str, patience_s: float
    ) -> Permit:
        """Return a permit once the request may be sent, or a refusal at once.

        :param patience_s: the longest wait that is acceptable, in seconds.
        """
        rate = self.requests_per_s(endpoint)
        if rate == UNLIMITED:
            return Permit(True, 0.0)
        asked_at = anyio.current_time()
        self.requested_count += 1
        request = RequestPermit(
            self.requested_count, endpoint.endpoint, endpoint.born_ms, rate, patience_s
        )
        permit = await self._request_permit(request)
        if permit is None:
            cold = self.cold_limits.limit(endpoint)
            permit = (
                self._use_own_part(request)
                if cold is None
                else self._use_own_cold_part(request, cold, self._named_requests_per_s(endpoint))
            )
        if permit.granted:
            await anyio.sleep(permit.wait_s)
            return Permit(True, anyio.current_time() - asked_at)
        if self._named_requests_per_s(endpoint) == UNLIMITED:
            # The limit ends with the cold time.
            permit = replace(permit, wait_s=min(permit.wait_s, self.cold_limits.left_s(endpoint)))
        self.refused_count += 1
        self.log.emit(
            events.PERMIT_REFUSED,
            request_id=request_id,
            endpoint=endpoint.endpoint,
            requests_per_s=rate,
            patience_ms=round(1000 * patience_s),
            wait_ms=round(1000 * permit.wait_s),
        )
        return permit

    async def _request_permit(self, request: RequestPermit) -> Permit | None:
        """Return the answer of the process that holds the schedule; ``None`` if none comes."""
        now = anyio.current_time()
        if self.paused_until.get(request.endpoint, now) > now:
            return None
        sender, receiver = anyio.create_memory_object_stream[PermitAnswer](1)
        self.answer_senders[request.number] = sender
        try:
            if self.post_request(request):
                with anyio.move_on_after(PERMIT_ANSWER_TIMEOUT_S):
                    answer = await receiver.receive()
                    self.paused_until.pop(request.endpoint, None)
                    return Permit(answer.granted, answer.wait_s)
        finally:
            self.answer_senders.pop(request.number, None)
            sender.close()
            receiver.close()
        paused = {each: until for each, until in self.paused_until.items() if until > now}
        self.paused_until = paused | {request.endpoint: now + SILENT_HOST_PAUSE_S}
        self.log.emit(
            events.PERMITS_UNAVAILABLE,
            endpoint=request.endpoint,
            requests_per_s=request.requests_per_s,
            entries=self.entry_count(),
        )
        return None

    def _use_own_part(self, request: RequestPermit) -> Permit:
        rate = request.requests_per_s / self.entry_count()
        return self.own_schedule.request_permit(
            replace(request, requests_per_s=rate),
            anyio.current_time(),
            # Begins without a burst, and not at the same time as the other entries.
            initial_debt=BURST_REQUESTS - 1.0 + self.random.random(),
        )

    def _use_own_cold_part(
        self, request: RequestPermit, cold: ColdLimit, named_requests_per_s: float
    ) -> Permit:
        rate = min(cold.own_requests_per_s, named_requests_per_s / self.entry_count())
        if not rate:
            return Permit(False, NO_PART_PAUSE_S)
        return self.own_cold_schedule.request_permit(
            replace(request, requests_per_s=rate), anyio.current_time(), burst=1.0
        )

    def on_message(self, message: RateLimitsReported | PermitAnswer) -> None:
        """Record the limits that a control VM passes on, or deliver its answer.

        An answer to a request that no longer waits has no effect.
        """
        if isinstance(message, RateLimitsReported):
            self.limits.merge(message)
        elif (sender := self.answer_senders.pop(message.number, None)) is not None:
            sender.send_nowait(message)

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return {
            **self.limits.gauges(),
            **self.cold_limits.gauges(),
            "permits_requested_total": float(self.requested_count),
            "permits_refused_total": float(self.refused_count),
        }
