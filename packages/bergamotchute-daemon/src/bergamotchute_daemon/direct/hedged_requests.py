"""Hedged requests: a request whose first send is slow is sent to a second endpoint too.

The first complete response, or first event of a stream, is used. The other send is cut off.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon.direct.admitted_request import AdmittedRequest
from bergamotchute_daemon.direct.attempt_steps import AttemptSteps
from bergamotchute_daemon.direct.endpoint_attempt import EndpointAttempt
from bergamotchute_daemon.direct.endpoint_chooser import ChosenEndpoint, EndpointChooser
from bergamotchute_daemon.direct.prompt_guard import PromptGuard
from bergamotchute_daemon.direct.read_or_replace import Received, read_or_replace
from bergamotchute_daemon.direct.request_progress import AttemptFailure
from bergamotchute_daemon.direct.retry_decisions import RetryDecisions
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_policy.hedging import (
    FirstAnswerTimes,
    HedgeLimit,
    RouteKey,
    min_delay_s,
    select_hedge_target,
)

Outcome = AttemptFailure | EndpointAttempt | None
"""How a response began: a failure, an attempt that replaced the first one, or ``None``: as it should."""


@dataclass
class HedgedRequests:
    """Sends slow requests to a second endpoint, within the limit that operators set.

    :param share: extra requests as a share of requests; 0 to send none.
    :param counts: hedged requests that were sent, won, lost and not sent since the start.
    """

    share: float
    steps: AttemptSteps
    chooser: EndpointChooser
    prompt_guard: PromptGuard
    retries: RetryDecisions
    log: EventLog
    counts: dict[str, int] = field(
        default_factory=lambda: {"sent": 0, "won": 0, "lost": 0, "not_sent": 0}
    )
    limits: dict[str, HedgeLimit] = field(default_factory=dict)
    times: FirstAnswerTimes = field(init=False)

    def __post_init__(self) -> None:
        self.times = FirstAnswerTimes(self.share)

    def covers(self, attempt: EndpointAttempt) -> bool:
        """Count the first send of a request; return whether another one may be sent beside it."""
        if not self.share or attempt.progress.sent_count != 1:
            return False
        self._limit(attempt.request).on_request(anyio.current_time())
        route = attempt.request.route
        return route.idempotent and route.max_endpoints > 1 and not attempt.writer.started

    async def begin_response(
        self, first: EndpointAttempt, begin: Callable[[EndpointAttempt], Awaitable[Outcome]]
    ) -> Outcome:
        """Read the beginning of a response; if it is slow, ask a second endpoint too.

        :param begin: reads the first event or the complete response of the first send.
        """
        request = first.request
        route: RouteKey = (request.route.name, request.service.name)
        delay_s = self.times.delay_s(route, min_delay_s(request.service.engine))
        if delay_s is None:
            outcome = await self.steps.run_step(first, begin)
        else:
            outcome = await self._race(first, begin, first.sent_at + delay_s)
        if not isinstance(outcome, AttemptFailure):
            self.times.record(route, anyio.current_time() - first.sent_at)
        return outcome

    async def _race(
        self,
        first: EndpointAttempt,
        begin: Callable[[EndpointAttempt], Awaitable[Outcome]],
        slow_at: float,
    ) -> Outcome:
        """Begin the response; from ``slow_at`` on, a second endpoint may be faster."""
        has_first_ended = anyio.Event()
        first_outcome: Outcome = None

        async def read_first() -> Outcome:
            nonlocal first_outcome
            try:
                first_outcome = await self.steps.run_step(first, begin)
                return first_outcome
            finally:
                has_first_ended.set()

        async def find_hedge() -> EndpointAttempt | None:
            with anyio.CancelScope(deadline=slow_at):
                await has_first_ended.wait()
                return None
            hedge = await self._send(first)
            if hedge is None:
                await has_first_ended.wait()
            return hedge

        outcome = await read_or_replace(
            read_first, find_hedge, self._drop, lambda each: not isinstance(each, AttemptFailure)
        )
        if isinstance(outcome, Received):
            return outcome.value
        assert outcome is not None
        if isinstance(first_outcome, AttemptFailure):
            self.steps.record_failed_attempt(first, first_outcome)
        first.progress.may_have_run = True
        self._record("won", outcome)
        return outcome

    async def _send(self, first: EndpointAttempt) -> EndpointAttempt | None:
        """Send the request to a second endpoint, and read its first event or complete response.

        :return: ``None`` if the request may not be sent, or the attempt failed.
        """
        progress = first.progress
        reason = self._reason_against(first)
        if not reason:
            progress.has_second_send = True
            try:
                chosen = await self._choose(first)
                if chosen is not None:
                    return await self._run(first, chosen)
            finally:
                progress.has_second_send = False
            reason = "no other endpoint has a free slot"
        self._log_not_sent(first, reason)
        return None

    def _log_not_sent(self, first: EndpointAttempt, reason: str) -> None:
        """Count and log why a slow request is not sent to a second endpoint."""
        self.counts["not_sent"] += 1
        self.log.emit(
            events.HEDGE_NOT_SENT,
            request_id=first.request.metadata.request_id,
            endpoint=first.endpoint.endpoint,
            reason=reason,
        )

    def _reason_against(self, first: EndpointAttempt) -> str:
        """Return why the request may not be sent to a second endpoint; empty if it may."""
        request, progress = first.request, first.progress
        if progress.has_second_send or progress.sent_count >= request.route.max_endpoints:
            return "another endpoint has the request already"
        if not self.prompt_guard.is_unsuspected(request):
            return "the request or a part of its prompt may have crashed an endpoint"
        return self._reason_by_limits(request)

    def _reason_by_limits(self, request: AdmittedRequest) -> str:
        """Return which limit forbids one more extra request; empty for none."""
        if not self._limit(request).may_send(anyio.current_time(), self.retries.entry_count):
            return "the limit of hedged requests is reached"
        if self.retries.budget(request).available_retries < 1.0:
            return "the retry budget is exhausted"
        return ""

    async def _choose(self, first: EndpointAttempt) -> ChosenEndpoint | None:
        """Reserve a free slot and get a permit without a wait; ``None`` if there is none."""
        request = first.request
        cold_limits = self.chooser.rate_permits.cold_limits
        known = [
            each
            for each in self.chooser.endpoints(request.service.name)
            if not cold_limits.left_s(each)
        ]
        target = select_hedge_target(
            self.chooser.placement,
            known,
            first.endpoint,
            first.progress.failed_endpoints,
            anyio.current_time(),
        )
        return None if target is None else await self.chooser.reserve_now(request, target)

    async def _run(self, first: EndpointAttempt, chosen: ChosenEndpoint) -> EndpointAttempt | None:
        """Run the attempt at the second endpoint; ``None`` if it failed."""
        request = first.request
        hedge = self.steps.create_attempt(request, first.writer, first.progress, chosen)
        hedge.is_hedge = True
        try:
            if reason := self._reason_by_limits(request):
                # Other requests used up what was left while this one asked for a slot.
                await hedge.close()
                self._log_not_sent(first, reason)
                return None
            self.retries.budget(request).take_retry()
            self._limit(request).on_sent(anyio.current_time())
            self._record("sent", hedge)
            outcome = await self.steps.run_step(hedge, self._begin)
        except BaseException:
            await self._drop(hedge)
            raise
        if isinstance(outcome, AttemptFailure):
            await hedge.close()
            self.steps.record_failed_attempt(hedge, outcome)
            self._record("lost", hedge)
            return None
        return hedge

    async def _begin(self, hedge: EndpointAttempt) -> AttemptFailure | None:
        """Send a hedged request, and read its first event or complete response.

        :raises EndpointFailure: if the endpoint failed.
        """
        failure = await self.steps.send_and_read_head(hedge)
        if failure is None and hedge.is_stream:
            await self.steps.read_first_event(hedge, hedge.connection.read_body_chunk)
        elif failure is None:
            hedge.body = await self.steps.calls.read_body(hedge)
        return failure

    async def _drop(self, hedge: EndpointAttempt) -> None:
        """Close a hedged request that is not needed: the first send was faster, or the request ended."""
        await hedge.close()
        self._record("lost", hedge)

    def _record(self, result: str, hedge: EndpointAttempt) -> None:
        """Count and log what became of a hedged request."""
        self.counts[result] += 1
        kinds = {"sent": events.HEDGE_SENT, "won": events.HEDGE_WON, "lost": events.HEDGE_LOST}
        self.log.emit(
            kinds[result],
            request_id=hedge.request.metadata.request_id,
            endpoint=hedge.endpoint.endpoint,
            attempt=hedge.number,
            took_ms=round((anyio.current_time() - hedge.request.arrived_at) * 1000),
        )

    def _limit(self, request: AdmittedRequest) -> HedgeLimit:
        """Return the limit of the request's service."""
        return self.limits.setdefault(request.service.name, HedgeLimit(self.share))

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return {f"hedges_{result}_total": float(count) for result, count in self.counts.items()}
