"""Forward a request to endpoints until the caller has its final response."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, field
from random import Random
from typing import TypeVar

import anyio

from bergamotchute_daemon.direct.admitted_request import AdmittedRequest, RequestRefused
from bergamotchute_daemon.direct.endpoint_chooser import (
    RETRY_AFTER_JITTER_S,
    ChosenEndpoint,
    EndpointChooser,
)
from bergamotchute_daemon.direct.event_stream import EventStream, InvalidEventStream
from bergamotchute_daemon.direct.prompt_guard import PromptGuard
from bergamotchute_daemon.direct.rate_permits import RatePermits
from bergamotchute_daemon.direct.request_format import (
    ForwardMetadata,
    RequestFormat,
    ResponseMetadata,
)
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.node_metrics import NodeMetrics
from bergamotchute_daemon.rate_limit_log import rate_for_log
from bergamotchute_model import events
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.headers import EVENT_STREAM_TYPE
from bergamotchute_model.prompt_parts import Suspect
from bergamotchute_model.verdict import Verdict
from bergamotchute_policy.crash_suspects import SuspectAction, SuspectDecision
from bergamotchute_policy.direct_placement import DirectPlacement
from bergamotchute_policy.retry import RetryBudget
from bergamotchute_wire.byte_budget import ByteBudget, ByteClaim
from bergamotchute_wire.http1_client import EndpointExchange, open_exchange
from bergamotchute_wire.http1_messages import (
    EndpointFailure,
    ResponseHead,
    without_hop_by_hop_headers,
)
from bergamotchute_wire.http1_server import ResponseWriter

ReadResult = TypeVar("ReadResult")

CONNECT_TIMEOUT_S = 0.3
"""Timeout for connecting to an endpoint; zones are 1 ms apart, and a lost packet takes longer."""

HEAD_TIMEOUT_OBJECTIVE_RATIO = 2.5
"""Timeout for the response head of an idempotent request, as a multiple of the route's objective.

After it the request is sent to another endpoint.
"""

MIN_HEAD_TIMEOUT_S = 0.9
"""Lower bound of the timeout for the response head of an idempotent request."""

STREAM_IDLE_TIMEOUT_S = 1.3
"""Time without data after which a stream is resumed at another endpoint.

Callers give up after two seconds without data.
"""

STARTUP_PERIOD_S = 8.0
"""Time after its start during which an entry waits for the first endpoint of a service."""

ENDPOINT_WAIT_TIMEOUT_S = 1.3
"""Longest time that one request waits for an endpoint; endpoints send heartbeats every 1.2 s."""

GROUP_STALL_THRESHOLD_S = 0.7
"""Time after which a failure or a *not run* response counts as a stall of the whole rank group."""

MIN_BUDGET_ENTRIES = 10
"""Entries that share the retry budget until more are known."""

MAX_REFUSED_ATTEMPTS = 3
"""Attempts that may fail, by a refused connection or request, before the caller is refused."""

MIN_RETRY_AFTER_S = 0.1
QUARANTINED_STATUS = 400
"""Status for a request that crashes endpoints; callers don't retry it, anywhere."""

MAX_RESPONSE_BYTES = 4_194_304
"""Largest response, other than a stream, that is buffered whole; a larger one is a failure.

It equals the default limit for the body of a caller's request.
"""

MAX_RESPONSE_CHUNKS = 16_384
"""Most chunks of a buffered response.

At this bound, an endpoint that sends tiny chunks without end costs 0.3 s of CPU time.
"""

MAX_BUFFERED_BYTES = 33_554_432
"""Bytes of all buffered responses together: a sixth of the memory of the smallest entry VM."""


_HTTP_OK = 200


@dataclass(frozen=True)
class AttemptFailure:
    """The outcome of an attempt that did not complete the request.

    :param head: the endpoint's own error response, sent to the caller if no attempt does better.
    """

    verdict: Verdict
    reason: str
    head: ResponseHead | None = None
    body: bytes = b""


@dataclass
class _RequestProgress:
    """The state of one request across its attempts.

    :param failed_endpoints: identifiers of the endpoints whose attempts failed.
    :param sent_count: endpoints that accepted a connection for the request.
    :param attempt_count: attempts so far, including refused connections.
    :param may_have_run: whether any endpoint may have run the request.
    :param last_failure: the outcome of the last attempt.
    :param response_started_at: when the first data was sent to the caller, on the runtime's clock.
    :param last_chunk_at: when the last data was sent to the caller.
    :param longest_pause_s: the longest time between two chunks of a stream.
    """

    stream: EventStream
    failed_endpoints: set[str] = field(default_factory=set)
    sent_count: int = 0
    attempt_count: int = 0
    may_have_run: bool = False
    last_failure: AttemptFailure | None = None
    response_started_at: float | None = None
    last_chunk_at: float = 0.0
    longest_pause_s: float = 0.0

    def record_chunk(self, now: float) -> None:
        """Update the times when data is sent to the caller."""
        if self.response_started_at is None:
            self.response_started_at = now
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_chunk_at)
        self.last_chunk_at = now


@dataclass(frozen=True)
class _Attempt:
    """One request on its connection to one endpoint."""

    request: AdmittedRequest
    writer: ResponseWriter
    progress: _RequestProgress
    endpoint: EndpointHeartbeat
    exchange: EndpointExchange


@dataclass
class DirectForwarder:
    """Forwards requests to endpoints, and retries where that is safe.

    :param endpoints: returns the endpoints of a service, from the latest heartbeats.
    :param on_endpoint_leaving: called with an endpoint whose response announces that it is leaving.
    :param retry_ratio: retries allowed per request of a service, in the long run.
    :param retry_capacity: the largest burst of retries of a service, over all entries.
    :param retry_refill_per_s: retries added to the budget of a service per second at any load, over
        all entries.
    :param entry_count: entries that share the budget, as far as this one was told.
    """

    request_format: RequestFormat
    placement: DirectPlacement
    chooser: EndpointChooser
    endpoints: Callable[[str], Collection[EndpointHeartbeat]]
    on_endpoint_leaving: Callable[[EndpointHeartbeat], None]
    random: Random
    log: EventLog
    metrics: NodeMetrics
    prompt_guard: PromptGuard
    rate_permits: RatePermits
    retry_ratio: float
    retry_capacity: float
    retry_refill_per_s: float
    entry_count: int = MIN_BUDGET_ENTRIES
    started_at: float = field(default_factory=anyio.current_time)
    changed: anyio.Event = field(default_factory=anyio.Event)
    retry_budgets: dict[str, RetryBudget] = field(default_factory=dict)
    held: ByteBudget = field(default_factory=lambda: ByteBudget(MAX_BUFFERED_BYTES))

    async def forward_request(self, request: AdmittedRequest, writer: ResponseWriter) -> None:
        """Forward a request and write the response.

        :raises RequestRefused: if no endpoint gave a response.
        """
        self._retry_budget(request).on_first_attempt()
        progress = _RequestProgress(EventStream(request.metadata.resume_after))
        with anyio.CancelScope(deadline=request.deadline) as scope:
            await self._run_attempts(request, writer, progress)
        if scope.cancelled_caught:
            self._fail_request(request, writer, progress, "the deadline has passed")

    async def _run_attempts(
        self, request: AdmittedRequest, writer: ResponseWriter, progress: _RequestProgress
    ) -> None:
        while True:
            decision = await self.prompt_guard.decide(request)
            if decision.action in (SuspectAction.REJECT, SuspectAction.HOLD):
                self._refuse_suspect(request, writer, progress, decision)
                return
            chosen = await self.chooser.choose(
                request, progress.failed_endpoints, progress.attempt_count > 0
            )
            if (
                chosen is None
                and not progress.attempt_count
                and not self.chooser.seconds_until_accepting(request)
                and await self._wait_for_endpoint()
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
            try:
                result = await self._run_attempt(request, writer, progress, chosen)
            finally:
                if chosen.reservation is not None:
                    chosen.reservation.release()
            if result is None:
                return
            self._record_failed_attempt(request, progress, chosen.candidate.heartbeat, result)
            if not self._decide_retry(request, progress, result):
                await self._finish_with_failure(request, writer, progress, result)
                return

    def _refuse_suspect(
        self,
        request: AdmittedRequest,
        writer: ResponseWriter,
        progress: _RequestProgress,
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

    async def _wait_for_endpoint(self) -> bool:
        """Wait for heartbeats during the startup period; return whether any arrived."""
        left_s = self.started_at + STARTUP_PERIOD_S - anyio.current_time()
        with anyio.move_on_after(min(ENDPOINT_WAIT_TIMEOUT_S, left_s)):
            await self.changed.wait()
            return True
        return False

    async def _run_attempt(
        self,
        request: AdmittedRequest,
        writer: ResponseWriter,
        progress: _RequestProgress,
        chosen: ChosenEndpoint,
    ) -> AttemptFailure | None:
        """Send a request to one endpoint; ``None`` once the caller has the complete response."""
        endpoint = chosen.candidate.heartbeat
        progress.attempt_count += 1
        progress.stream.discard_partial_event()
        self.log.emit(
            events.REQUEST_DISPATCHED,
            request_id=request.metadata.request_id,
            endpoint=endpoint.endpoint,
            attempt=progress.attempt_count,
            born_ms=endpoint.born_ms,
            fullness=round(chosen.candidate.fullness, 2),
            capacity=self.placement.capacity(endpoint, anyio.current_time()),
            reserved=chosen.reservation is not None,
            refusals=chosen.refusals,
            waited_ms=round(chosen.waited_s * 1000),
            permit_waited_ms=round(chosen.permit_waited_s * 1000),
            requests_per_s=rate_for_log(self.rate_permits.requests_per_s(endpoint)),
        )
        self.placement.on_request_sent(endpoint)
        attempt_started_at = anyio.current_time()
        earlier_events = progress.stream.events
        try:
            async with open_exchange(endpoint.address, CONNECT_TIMEOUT_S) as exchange:
                progress.sent_count += 1
                attempt = _Attempt(request, writer, progress, endpoint, exchange)
                return await self._exchange_messages(attempt)
        except EndpointFailure as failure:
            self._record_endpoint_failure(endpoint, attempt_started_at)
            if failure.connection_ended and progress.stream.events == earlier_events:
                await self.prompt_guard.on_connection_ended(request, endpoint)
            verdict = Verdict.MAY_HAVE_RUN if failure.may_have_arrived else Verdict.NOT_RUN
            return AttemptFailure(verdict, failure.reason)
        finally:
            self.placement.on_request_ended(endpoint)

    def _record_endpoint_failure(
        self, endpoint: EndpointHeartbeat, attempt_started_at: float
    ) -> None:
        now = anyio.current_time()
        if now - attempt_started_at > GROUP_STALL_THRESHOLD_S:
            self.placement.on_no_progress(endpoint, now)
        else:
            self.placement.on_failure(endpoint, now)

    async def _exchange_messages(self, attempt: _Attempt) -> AttemptFailure | None:
        """Send the request on an open connection and forward the response."""
        request, progress, endpoint = attempt.request, attempt.progress, attempt.endpoint
        exchange, writer = attempt.exchange, attempt.writer
        send_started_at = anyio.current_time()
        forward_metadata = ForwardMetadata(
            endpoint=endpoint,
            time_left_s=request.deadline - send_started_at,
            team=request.team,
            resume_after=progress.stream.last_event_id,
            urgency=min(9, request.priority),
            body_bytes=len(request.body),
        )
        await exchange.send(
            self.request_format.write_request(request.head, forward_metadata), request.body
        )
        objective_timeout_s = HEAD_TIMEOUT_OBJECTIVE_RATIO * request.route.objective_s
        head_timeout_s = max(MIN_HEAD_TIMEOUT_S, objective_timeout_s)
        head = await self._read_or_fail_over(attempt, head_timeout_s, exchange.read_response_head)
        response_metadata = self.request_format.read_response(head)
        if response_metadata.request_id != request.metadata.request_id:
            return AttemptFailure(
                Verdict.MAY_HAVE_RUN, "the response has the request id of another request"
            )
        self._apply_response_metadata(endpoint, response_metadata)
        self.rate_permits.on_response(endpoint, response_metadata, send_started_at)
        failure = self._find_failure(head, response_metadata)
        if failure is not None:
            now = anyio.current_time()
            if response_metadata.not_run and now - send_started_at > GROUP_STALL_THRESHOLD_S:
                self.placement.on_no_progress(endpoint, now)
            elif response_metadata.not_run:
                self.placement.on_slots_full(endpoint, now)
            elif response_metadata.wrong_endpoint:
                self.placement.on_failure(endpoint, now)
            return failure
        if writer.started and not _is_event_stream(head):
            if head.status >= 500:
                self.placement.on_failure(endpoint, anyio.current_time())
            return AttemptFailure(
                Verdict.MAY_HAVE_RUN, f"status {head.status} does not continue the stream"
            )
        if request.is_stream and 200 <= head.status < 300:
            await self._forward_stream(attempt, head, send_started_at)
        else:
            with self.held.open_claim() as claim:
                body = await self._read_body(exchange, claim)
                if head.status >= 500:
                    self.placement.on_failure(endpoint, anyio.current_time())
                    return AttemptFailure(Verdict.MAY_HAVE_RUN, f"status {head.status}", head, body)
                progress.record_chunk(anyio.current_time())
                await self._forward_response(writer, head, body)
                if head.status < 300:
                    self.prompt_guard.on_answered(request)
        self.placement.on_success(endpoint)
        self._record_completed_request(request, progress, endpoint, head.status)
        return None

    def _apply_response_metadata(
        self, endpoint: EndpointHeartbeat, response_metadata: ResponseMetadata
    ) -> None:
        """Update what is known of an endpoint from the head of its response."""
        now = anyio.current_time()
        if response_metadata.requests is not None:
            self.placement.on_load_reported(endpoint, response_metadata.requests, now)
        if response_metadata.leaving:
            self.on_endpoint_leaving(endpoint)
        if response_metadata.retry_after_s is not None:
            self.placement.on_pause_requested(endpoint, response_metadata.retry_after_s, now)
            self.log.emit(
                events.ENDPOINT_PAUSED,
                endpoint=endpoint.endpoint,
                born_ms=endpoint.born_ms,
                retry_after_s=response_metadata.retry_after_s,
            )

    def _find_failure(
        self, head: ResponseHead, response_metadata: ResponseMetadata
    ) -> AttemptFailure | None:
        """Return why a response can't be forwarded to the caller, or ``None`` if it can."""
        if response_metadata.not_run or response_metadata.wrong_endpoint:
            return AttemptFailure(Verdict.NOT_RUN, f"status {head.status}, not run")
        if 200 <= head.status < 300 and not response_metadata.signed:
            return AttemptFailure(Verdict.MAY_HAVE_RUN, "the response is not signed")
        if head.status in (408, 421, 429, 503):
            # From this entry these statuses mean that the request has not run. The endpoint did
            # not confirm that, so they must not reach the caller.
            return AttemptFailure(
                Verdict.MAY_HAVE_RUN, f"status {head.status} without a not-run confirmation"
            )
        return None

    async def _read_or_fail_over(
        self, attempt: _Attempt, timeout_s: float, read: Callable[[], Awaitable[ReadResult]]
    ) -> ReadResult:
        """Read from an endpoint; give it up after a timeout only if another one can take over.

        The response to a request that is not idempotent is awaited without this timeout, since the
        request can't be sent again.

        :raises EndpointFailure: if the endpoint sent nothing in time and another one is available.
        """
        if not attempt.request.route.idempotent:
            return await read()
        while True:
            with anyio.move_on_after(timeout_s):
                return await read()
            self.placement.on_no_progress(attempt.endpoint, anyio.current_time())
            if self._can_fail_over(attempt):
                raise EndpointFailure(f"no data for {timeout_s:.1f} s", True)

    def _can_fail_over(self, attempt: _Attempt) -> bool:
        """Return whether another attempt is allowed and a healthy endpoint is available for it."""
        request, progress = attempt.request, attempt.progress
        if (
            progress.sent_count >= request.route.max_endpoints
            or self._retry_budget(request).available_retries < 1.0
        ):
            return False
        excluded = progress.failed_endpoints | {attempt.endpoint.endpoint}
        known = self.endpoints(request.service.name)
        return self.placement.has_healthy_endpoint(known, excluded, anyio.current_time())

    async def _read_body(self, exchange: EndpointExchange, claim: ByteClaim) -> bytes:
        body = bytearray()
        chunk_count = 0
        while (data := await exchange.read_body_chunk()) is not None:
            body += data
            chunk_count += 1
            if len(body) > MAX_RESPONSE_BYTES or chunk_count > MAX_RESPONSE_CHUNKS:
                raise EndpointFailure("the response has too many bytes or chunks", True)
            if not claim.try_grow(len(data)):
                raise EndpointFailure("the memory limit for buffered responses is reached", True)
        return bytes(body)

    async def _forward_response(
        self, writer: ResponseWriter, head: ResponseHead, body: bytes
    ) -> None:
        headers = without_hop_by_hop_headers(head.headers)
        kept = tuple((name, value) for name, value in headers if name != "content-length")
        await writer.respond(head.status, kept, body)

    async def _forward_stream(self, attempt: _Attempt, head: ResponseHead, sent_at: float) -> None:
        """Forward complete events as they arrive.

        :param sent_at: when the request was sent to the endpoint, on the runtime's clock.
        :raises EndpointFailure: if the stream breaks off, stalls, or does not continue the events
            that the caller already has.
        """
        writer, stream = attempt.writer, attempt.progress.stream
        is_answered = False
        while True:
            data = await self._read_or_fail_over(
                attempt, STREAM_IDLE_TIMEOUT_S, attempt.exchange.read_body_chunk
            )
            if data is None:
                break
            try:
                whole = stream.feed(data)
            except InvalidEventStream as error:
                raise EndpointFailure(str(error), True) from error
            if whole:
                now = anyio.current_time()
                if not is_answered:
                    is_answered = True
                    self.prompt_guard.on_answered(attempt.request)
                if attempt.progress.response_started_at is not None:
                    pause_s = now - attempt.progress.last_chunk_at
                    self.placement.on_stream_pause(attempt.endpoint, pause_s, now)
                attempt.progress.record_chunk(now)
                if not writer.started:
                    await writer.write_head(head.status, without_hop_by_hop_headers(head.headers))
                await writer.write_chunk(whole)
        if stream.has_partial_event or not is_answered:
            # One that resumes without an event leaves open whether the caller has them all.
            raise EndpointFailure(
                "the stream ended before an event was complete", True, attempt.exchange.has_ended
            )
        await writer.finish()
        if attempt.progress.sent_count == 1 and attempt.progress.response_started_at is not None:
            first_event_s = attempt.progress.response_started_at - sent_at
            self.chooser.stream_pace(attempt.request).on_first_event(first_event_s)

    def _record_failed_attempt(
        self,
        request: AdmittedRequest,
        progress: _RequestProgress,
        endpoint: EndpointHeartbeat,
        result: AttemptFailure,
    ) -> None:
        progress.failed_endpoints.add(endpoint.endpoint)
        self.metrics.on_attempt(result.verdict)
        progress.last_failure = result
        if result.verdict is Verdict.MAY_HAVE_RUN:
            progress.may_have_run = True
        self.log.emit(
            events.ATTEMPT_FAILED,
            request_id=request.metadata.request_id,
            endpoint=endpoint.endpoint,
            attempt=progress.attempt_count,
            verdict=result.verdict,
            reason=result.reason,
            events_passed=progress.stream.events,
        )

    def _decide_retry(
        self, request: AdmittedRequest, progress: _RequestProgress, result: AttemptFailure
    ) -> bool:
        """Return whether to try another endpoint; if so, take the retry from the budget."""
        reason = self._reason_against_retry(request, progress, result)
        kind = events.REQUEST_NOT_RETRIED if reason else events.REQUEST_RETRIED
        self.log.emit(
            kind,
            request_id=request.metadata.request_id,
            attempt=progress.attempt_count + 1,
            resume_after=progress.stream.last_event_id,
            reason=reason,
            budget=round(self._retry_budget(request).available_retries, 1),
        )
        return not reason

    def _reason_against_retry(
        self, request: AdmittedRequest, progress: _RequestProgress, result: AttemptFailure
    ) -> str:
        """Return why the request must not be retried, or an empty string if it may be.

        Takes the retry from the budget in the latter case.
        """
        if result.verdict is Verdict.MAY_HAVE_RUN and not request.route.idempotent:
            return "the request may have run and is not idempotent"
        if progress.sent_count >= max(1, request.route.max_endpoints):
            return "the route's limit of endpoints per request is reached"
        if progress.attempt_count > MAX_REFUSED_ATTEMPTS:
            return "too many endpoints refused the connection or the request"
        if progress.sent_count and not self._retry_budget(request).take_retry():
            return "the retry budget is exhausted"
        return ""

    async def _finish_with_failure(
        self,
        request: AdmittedRequest,
        writer: ResponseWriter,
        progress: _RequestProgress,
        result: AttemptFailure,
    ) -> None:
        """Forward the endpoint's own error response, or fail the request here."""
        if result.head is not None and not writer.started:
            await self._forward_response(writer, result.head, result.body)
            return
        self._fail_request(request, writer, progress, result.reason)

    def _fail_request(
        self,
        request: AdmittedRequest,
        writer: ResponseWriter,
        progress: _RequestProgress,
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
            )
            return
        if progress.sent_count and anyio.current_time() >= request.deadline:
            raise RequestRefused(504, reason)
        if progress.may_have_run:
            raise RequestRefused(502, reason)
        jitter_s = RETRY_AFTER_JITTER_S * self.random.random()
        pause_s = self.chooser.seconds_until_accepting(request)
        raise RequestRefused(503, reason, pause_s + MIN_RETRY_AFTER_S + jitter_s)

    def set_entry_count(self, entry_count: int) -> None:
        """Adjust this entry's part of the shared retry budget to the number of entries.

        The highest count that was told stays: entries that are not linked may still serve callers.
        """
        if entry_count <= self.entry_count:
            return
        self.entry_count = entry_count
        for budget in self.retry_budgets.values():
            budget.set_bounds(
                self.retry_capacity / entry_count, self.retry_refill_per_s / entry_count
            )

    def _retry_budget(self, request: AdmittedRequest) -> RetryBudget:
        """Return the refilled retry budget of the request's service."""
        name = request.service.name
        if name not in self.retry_budgets:
            self.retry_budgets[name] = RetryBudget(
                self.retry_ratio,
                self.retry_capacity / self.entry_count,
                self.retry_refill_per_s / self.entry_count,
            )
        self.retry_budgets[name].refill(anyio.current_time())
        return self.retry_budgets[name]

    def _record_completed_request(
        self,
        request: AdmittedRequest,
        progress: _RequestProgress,
        endpoint: EndpointHeartbeat,
        status: int,
    ) -> None:
        response_started_at = progress.response_started_at or request.arrived_at
        self.metrics.on_attempt(Verdict.COMPLETED)
        self.metrics.on_response(
            request.route.kind,
            response_started_at - request.arrived_at,
            progress.longest_pause_s,
        )
        self.log.emit(
            events.REQUEST_COMPLETED,
            request_id=request.metadata.request_id,
            endpoint=endpoint.endpoint,
            status=status,
            route=request.route.name,
            objective_ms=round(request.route.objective_s * 1000),
            pause_bound_ms=round(request.route.gap_objective_s * 1000),
            attempts=progress.attempt_count,
            events_passed=progress.stream.events,
            first_ms=round((response_started_at - request.arrived_at) * 1000),
            longest_pause_ms=round(progress.longest_pause_s * 1000),
            took_ms=round((anyio.current_time() - request.arrived_at) * 1000),
        )


def _is_event_stream(head: ResponseHead) -> bool:
    """Return whether a response can go on with a stream that has begun."""
    content_type = head.get_header("content-type")
    return head.status == _HTTP_OK and content_type.lower().startswith(EVENT_STREAM_TYPE)
