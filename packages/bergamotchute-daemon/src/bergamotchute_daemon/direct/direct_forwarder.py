"""Forward a request to endpoints until the caller has its final response."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random

import anyio

from bergamotchute_daemon.direct.admitted_request import AdmittedRequest, RequestRefused
from bergamotchute_daemon.direct.attempt_steps import AttemptSteps
from bergamotchute_daemon.direct.caller_stream import CallerStream, UnreadStreams
from bergamotchute_daemon.direct.endpoint_attempt import EndpointAttempt
from bergamotchute_daemon.direct.endpoint_calls import HTTP_OK, EndpointCalls
from bergamotchute_daemon.direct.endpoint_chooser import (
    RETRY_AFTER_JITTER_S,
    ChosenEndpoint,
    EndpointChooser,
)
from bergamotchute_daemon.direct.event_stream import EventStream, InvalidEventStream
from bergamotchute_daemon.direct.hedged_requests import HedgedRequests
from bergamotchute_daemon.direct.prompt_guard import PromptGuard
from bergamotchute_daemon.direct.rate_permits import RatePermits
from bergamotchute_daemon.direct.request_progress import AttemptFailure, RequestProgress
from bergamotchute_daemon.direct.retry_decisions import RetryDecisions
from bergamotchute_daemon.direct.takeover import AttemptReplaced, Takeover
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.node_metrics import NodeMetrics
from bergamotchute_model import events
from bergamotchute_model.headers import Headers
from bergamotchute_model.prompt_parts import Suspect
from bergamotchute_model.verdict import Verdict
from bergamotchute_policy.crash_suspects import SuspectAction, SuspectDecision
from bergamotchute_policy.direct_placement import DirectPlacement
from bergamotchute_policy.response_times import ResponseTimes
from bergamotchute_wire.http1_messages import (
    EndpointFailure,
    ResponseHead,
    without_hop_by_hop_headers,
)
from bergamotchute_wire.http1_server import ResponseWriter

HEAD_TIMEOUT_OBJECTIVE_RATIO = 2.5
"""Timeout for the response head of an idempotent request, as a multiple of the route's objective.

After it the request is sent to another endpoint too.
"""

MIN_HEAD_TIMEOUT_S = 0.9
"""Lower bound of the timeout for the response head of an idempotent request."""

STREAM_IDLE_TIMEOUT_S = 1.3
"""Time without data after which another endpoint is asked to resume a stream.

Callers give up after two seconds without data.
"""

STARTUP_PERIOD_S = 8.0
"""Time after its start during which an entry waits for the first endpoint of a service."""

ENDPOINT_WAIT_TIMEOUT_S = 1.3
"""Longest time that one request waits for an endpoint; endpoints send heartbeats every 1.2 s."""

MIN_RETRY_AFTER_S = 0.1
QUARANTINED_STATUS = 400
"""Status for a request that crashes endpoints; callers don't retry it, anywhere."""


@dataclass
class DirectForwarder:
    """Forwards requests to endpoints, and retries where that is safe.

    :param ends_at: when this entry ends, on the runtime's clock; infinite until it stops.
    :param unsent: the requests that wait for an endpoint, by the scope of their wait.
    """

    calls: EndpointCalls
    steps: AttemptSteps
    takeover: Takeover
    hedges: HedgedRequests
    retries: RetryDecisions
    placement: DirectPlacement
    chooser: EndpointChooser
    random: Random
    log: EventLog
    metrics: NodeMetrics
    prompt_guard: PromptGuard
    rate_permits: RatePermits
    unread: UnreadStreams
    started_at: float = field(default_factory=anyio.current_time)
    ends_at: float = math.inf
    response_times: ResponseTimes = field(default_factory=ResponseTimes)
    unsent: dict[anyio.CancelScope, AdmittedRequest] = field(default_factory=dict)
    changed: anyio.Event = field(default_factory=anyio.Event)

    async def forward_request(self, request: AdmittedRequest, writer: ResponseWriter) -> None:
        """Forward a request and write the response.

        :raises RequestRefused: if no endpoint gave a response.
        """
        self.retries.budget(request).on_first_attempt()
        progress = RequestProgress(EventStream(request.metadata.resume_after))
        if not request.is_stream:
            await self._forward_until_deadline(request, writer, progress)
            return

        async def forward_stream(caller: CallerStream) -> None:
            progress.caller = caller
            await self._forward_until_deadline(request, writer, progress)

        await self.unread.run(request.metadata.request_id, writer, forward_stream)

    async def _forward_until_deadline(
        self, request: AdmittedRequest, writer: ResponseWriter, progress: RequestProgress
    ) -> None:
        with anyio.CancelScope(deadline=request.deadline) as scope:
            await self._run_attempts(request, writer, progress)
            if progress.caller is not None:
                await progress.caller.drain()
        if scope.cancelled_caught:
            self._fail_request(request, writer, progress, "the deadline has passed")

    async def _run_attempts(
        self, request: AdmittedRequest, writer: ResponseWriter, progress: RequestProgress
    ) -> None:
        while True:
            decision = await self.prompt_guard.decide(request)
            if decision.action in (SuspectAction.REJECT, SuspectAction.HOLD):
                self._refuse_suspect(request, writer, progress, decision)
                return
            chosen = await self._choose_endpoint(request, progress)
            if (
                chosen is None
                and not progress.attempt_count
                and not self.chooser.seconds_until_accepting(request)
                and await self._wait_for_endpoint(progress)
            ):
                continue
            if chosen is None and progress.last_failure is not None:
                await self._finish_with_failure(request, writer, progress, progress.last_failure)
                return
            if chosen is None:
                reason = "no endpoint is available"
                if (wait_s := self.chooser.seconds_until_accepting(request)) > 0:
                    reason += f" for another {wait_s:.2f} s"
                self._fail_request(request, writer, progress, reason)
                return
            attempt = self.steps.create_attempt(request, writer, progress, chosen)
            result = await self._run_attempt(attempt)
            if result is None:
                return
            if not self.retries.decide(request, progress, result):
                await self._finish_with_failure(request, writer, progress, result)
                return

    async def _choose_endpoint(
        self, request: AdmittedRequest, progress: RequestProgress
    ) -> ChosenEndpoint | None:
        """Choose an endpoint while there is time for its response before this entry ends.

        :raises RequestRefused: if every endpoint is overloaded, or this entry ends too soon.
        """
        is_retry = progress.attempt_count > 0
        if progress.may_have_run:
            return await self.chooser.choose(request, progress.failed_endpoints, is_retry)
        latest_send_at = self._latest_send_at(request)
        if latest_send_at > anyio.current_time():
            with anyio.CancelScope(deadline=latest_send_at) as scope:
                self.unsent[scope] = request
                try:
                    return await self.chooser.choose(request, progress.failed_endpoints, is_retry)
                finally:
                    del self.unsent[scope]
        raise RequestRefused(503, "the entry stops before it could answer", MIN_RETRY_AFTER_S)

    def stop_at(self, ends_at: float) -> None:
        """Send no request any more that can't be answered before this entry ends.

        :param ends_at: when it ends, on the runtime's clock.
        """
        self.ends_at = ends_at
        for scope, request in self.unsent.items():
            scope.deadline = self._latest_send_at(request)

    def _latest_send_at(self, request: AdmittedRequest) -> float:
        """Return when a request must be sent to be answered before this entry ends."""
        if self.ends_at == math.inf:
            return math.inf
        route = request.route
        return self.response_times.latest_send_at(
            route.name, route.timeout_s, request.deadline, self.ends_at
        )

    def _refuse_suspect(
        self,
        request: AdmittedRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        decision: SuspectDecision,
    ) -> None:
        """Refuse a request because it, or a part of its prompt, may crash endpoints.

        :raises RequestRefused: if no part of a response was written.
        """
        suspect = Suspect(request.service.name, decision.part)
        subject = "the request" if suspect.is_request else f"part {suspect.part} of the prompt"
        if decision.action is SuspectAction.REJECT and not writer.started:
            raise RequestRefused(
                QUARANTINED_STATUS,
                f"{subject} crashed {decision.crashes} endpoints;"
                f" it is rejected for another {decision.wait_s:.0f} s",
            )
        reason = f"{subject} may have crashed an endpoint"
        if progress.may_have_run or writer.started:
            self._fail_request(request, writer, progress, reason)
            return
        retry_after_s = decision.wait_s + RETRY_AFTER_JITTER_S * self.random.random()
        raise RequestRefused(503, reason, retry_after_s)

    def notify_endpoints_changed(self) -> None:
        """Wake the requests that wait for an endpoint."""
        self.changed.set()
        self.changed = anyio.Event()

    async def _wait_for_endpoint(self, progress: RequestProgress) -> bool:
        """Wait for heartbeats during the startup period; return whether any arrived in time."""
        if progress.endpoint_wait_ends_at is None:
            startup_ends_at = self.started_at + STARTUP_PERIOD_S
            wait_ends_at = anyio.current_time() + ENDPOINT_WAIT_TIMEOUT_S
            progress.endpoint_wait_ends_at = min(wait_ends_at, startup_ends_at)
        with anyio.CancelScope(deadline=progress.endpoint_wait_ends_at):
            await self.changed.wait()
            return True
        return False

    async def _run_attempt(self, attempt: EndpointAttempt) -> AttemptFailure | None:
        """Run an attempt, and those that replace it while its endpoint is silent.

        :return: ``None`` once the caller has the complete response.
        """
        while True:
            attempt.progress.stream.discard_partial_event()
            try:
                outcome = await self.steps.run_step(attempt, self._complete_response)
            finally:
                await attempt.close()
            if outcome is None:
                return None
            if isinstance(outcome, AttemptFailure):
                self.steps.record_failed_attempt(attempt, outcome)
                return outcome
            if not outcome.is_hedge:
                reason = f"no data; {outcome.endpoint.endpoint} took over"
                failure = AttemptFailure(Verdict.MAY_HAVE_RUN, reason)
                self.steps.record_failed_attempt(attempt, failure)
            attempt = outcome

    async def _complete_response(
        self, attempt: EndpointAttempt
    ) -> AttemptFailure | EndpointAttempt | None:
        """Forward an attempt's whole response, or return the attempt that took over meanwhile."""
        try:
            if attempt.head is None:
                await self.calls.send_request(attempt)
                outcome: AttemptFailure | EndpointAttempt | None
                if self.hedges.covers(attempt):
                    outcome = await self.hedges.begin_response(attempt, self._begin_response)
                else:
                    outcome = await self._read_head(attempt)
                if outcome is not None:
                    return outcome
            if attempt.is_stream:
                await self._forward_stream(attempt)
            else:
                await self._forward_buffered(attempt)
        except AttemptReplaced as replaced:
            return replaced.replacement
        self.placement.on_success(attempt.endpoint)
        self._record_completed_request(attempt)
        return None

    async def _read_head(self, attempt: EndpointAttempt) -> AttemptFailure | None:
        """Read the head of a response, or return why it can't be forwarded.

        :raises EndpointFailure: if the endpoint failed.
        :raises AttemptReplaced: if another endpoint's response has begun meanwhile.
        """
        objective_timeout_s = HEAD_TIMEOUT_OBJECTIVE_RATIO * attempt.request.route.objective_s
        head = await self.takeover.read_or_replace(
            attempt,
            max(MIN_HEAD_TIMEOUT_S, objective_timeout_s),
            attempt.connection.read_response_head,
            _answers_request,
        )
        return await self.calls.on_response_head(attempt, head)

    async def _begin_response(
        self, attempt: EndpointAttempt
    ) -> AttemptFailure | EndpointAttempt | None:
        """Read the first event of a stream, or the whole of any other response, ahead.

        :raises EndpointFailure: if the endpoint failed.
        """
        try:
            failure = await self._read_head(attempt)
            if failure is None and attempt.is_stream:
                await self.steps.read_first_event(
                    attempt,
                    lambda: self.takeover.read_or_replace(
                        attempt, STREAM_IDLE_TIMEOUT_S, attempt.connection.read_body_chunk
                    ),
                )
            elif failure is None:
                attempt.body = await self.calls.read_body(attempt)
        except AttemptReplaced as replaced:
            return replaced.replacement
        return failure

    async def _forward_buffered(self, attempt: EndpointAttempt) -> None:
        """Read a response that is no stream to its end, and forward it.

        :raises EndpointFailure: if the body is too large, or ends early.
        """
        assert attempt.head is not None
        body = await self.calls.read_body(attempt)
        attempt.progress.record_chunk(anyio.current_time())
        await self._forward_response(attempt.writer, attempt.head, body)
        if attempt.head.status < 300:
            self.prompt_guard.on_answered(attempt.request)

    async def _forward_response(
        self, writer: ResponseWriter, head: ResponseHead, body: bytes
    ) -> None:
        await writer.respond(head.status, _headers_without_length(head), body)

    async def _forward_stream(self, attempt: EndpointAttempt) -> None:
        """Forward complete events as they arrive.

        :raises EndpointFailure: if the stream breaks off, or does not continue the events that the
            caller already has.
        :raises AttemptReplaced: if the stream stalls and another endpoint has taken over.
        """
        assert attempt.head is not None
        writer, progress, caller = attempt.writer, attempt.progress, attempt.progress.caller
        assert caller is not None
        is_answered = False
        data, attempt.body = attempt.body, None
        while True:
            if data is None:
                data = await self.takeover.read_or_replace(
                    attempt, STREAM_IDLE_TIMEOUT_S, attempt.connection.read_body_chunk
                )
            if data is None:
                break
            try:
                whole = progress.stream.feed(data)
            except InvalidEventStream as error:
                raise EndpointFailure(str(error), True) from error
            data = None
            if whole:
                now = anyio.current_time()
                if not is_answered:
                    is_answered = True
                    self.prompt_guard.on_answered(attempt.request)
                if progress.response_started_at is not None:
                    pause_s = now - progress.last_chunk_at
                    self.placement.on_stream_pause(attempt.endpoint, pause_s, now)
                progress.record_chunk(now)
                if not writer.started:
                    await writer.write_head(
                        attempt.head.status, _headers_without_length(attempt.head)
                    )
                await caller.write(whole)
        if progress.stream.has_partial_event or not is_answered:
            # One that resumes without an event leaves open whether the caller has them all.
            raise EndpointFailure(
                "the stream ended before an event was complete", True, attempt.connection.has_ended
            )
        if caller.is_writing:
            await attempt.close()
            await caller.drain()
        await writer.finish()
        if progress.sent_count == 1 and progress.response_started_at is not None:
            first_event_s = progress.response_started_at - attempt.sent_at
            self.chooser.stream_pace(attempt.request).on_first_event(first_event_s)

    async def _finish_with_failure(
        self,
        request: AdmittedRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        result: AttemptFailure,
    ) -> None:
        """Forward the endpoint's own error response, or fail the request here."""
        if result.head is not None and not writer.started:
            await self._forward_response(writer, result.head, result.body)
            self._log_completed_request(request, writer, progress, progress.last_failed_endpoint)
            return
        self._fail_request(request, writer, progress, result.reason)

    def _fail_request(
        self,
        request: AdmittedRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        reason: str,
    ) -> None:
        """Refuse a request; if its response has started, log the failure and leave it incomplete.

        :raises RequestRefused: if no part of a response was written.
        """
        if writer.started:
            self.log.emit(
                events.REQUEST_FAILED,
                request_id=request.metadata.request_id,
                reason=reason,
                events_passed=progress.stream.events,
                took_ms=round((anyio.current_time() - request.arrived_at) * 1000),
                route=request.route.name,
                timeout_ms=round(request.route.timeout_s * 1000),
            )
            return
        if progress.sent_count and anyio.current_time() >= request.deadline:
            raise RequestRefused(504, reason)
        if progress.may_have_run:
            raise RequestRefused(502, reason)
        jitter_s = RETRY_AFTER_JITTER_S * self.random.random()
        pause_s = self.chooser.seconds_until_accepting(request)
        raise RequestRefused(503, reason, pause_s + MIN_RETRY_AFTER_S + jitter_s)

    def _record_completed_request(self, attempt: EndpointAttempt) -> None:
        request, progress = attempt.request, attempt.progress
        response_started_at = progress.response_started_at or request.arrived_at
        if attempt.writer.status == HTTP_OK:
            self.response_times.record(request.route.name, anyio.current_time() - attempt.sent_at)
        self.metrics.on_attempt(Verdict.COMPLETED)
        self.metrics.on_response(
            request.route.kind,
            response_started_at - request.arrived_at,
            progress.longest_pause_s,
        )
        self._log_completed_request(request, attempt.writer, progress, attempt.endpoint.endpoint)

    def _log_completed_request(
        self,
        request: AdmittedRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        endpoint: str,
    ) -> None:
        """Log the response of an endpoint that the caller was given, also a failure of its own."""
        response_started_at = progress.response_started_at or request.arrived_at
        self.log.emit(
            events.REQUEST_COMPLETED,
            request_id=request.metadata.request_id,
            endpoint=endpoint,
            status=writer.status,
            route=request.route.name,
            timeout_ms=round(request.route.timeout_s * 1000),
            objective_ms=round(request.route.objective_s * 1000),
            pause_bound_ms=round(request.route.gap_objective_s * 1000),
            attempts=progress.attempt_count,
            events_passed=progress.stream.events,
            first_ms=round((response_started_at - request.arrived_at) * 1000),
            longest_pause_ms=round(progress.longest_pause_s * 1000),
            took_ms=round((anyio.current_time() - request.arrived_at) * 1000),
        )


def _answers_request(head: ResponseHead) -> bool:
    """Return whether a response is an answer, not a refusal or a failure of the endpoint."""
    return head.status < 500 and head.status not in (408, 421, 429)


def _headers_without_length(head: ResponseHead) -> Headers:
    """Return the headers to forward; the length is set anew, as a resumed stream has another."""
    headers = without_hop_by_hop_headers(head.headers)
    return tuple((name, value) for name, value in headers if name != "content-length")
