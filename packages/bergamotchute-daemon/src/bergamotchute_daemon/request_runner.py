"""Run a request: wait for a slot, send attempts and buffer the answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

import anyio

from bergamotchute_daemon._stream_resume import stream_position
from bergamotchute_daemon.answer_buffer import AnswerBuffer
from bergamotchute_daemon.endpoint_connector import (
    AnswerMessage,
    AttemptChannel,
    AttemptNotSent,
    EndpointConnector,
)
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.exchange import Exchange
from bergamotchute_daemon.scheduling_controller import NO_ENDPOINT_TIMEOUT_S, SchedulingController
from bergamotchute_model import events
from bergamotchute_model.attempt_messages import (
    AttemptFailed,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    StartAttempt,
)
from bergamotchute_model.headers import EVENT_STREAM_TYPE, Headers
from bergamotchute_model.identifiers import AttemptId
from bergamotchute_model.problem import Problem, ProblemCode, ProblemError
from bergamotchute_model.verdict import Verdict, combine_verdicts
from bergamotchute_policy.endpoint_tracker import AttemptOutcome
from bergamotchute_policy.retry import FailedAttempt, RetryBudget, retry_delay_s
from bergamotchute_policy.work import Dispatch, RequestSize
from bergamotchute_wire.byte_budget import ByteBudget, ByteClaim

CREDIT_BYTES = 262_144
"""Flow control window of one answer: the bytes that may be in transit or unread."""

MAX_BUFFERED_BYTES = CREDIT_BYTES // 2
"""How much of an answer that can't be resumed is buffered until the answer is complete."""

MAX_ANSWER_BYTES = 16_777_216
"""Largest answer that is kept for its callers; a larger one is a failure of the endpoint."""

MAX_ANSWERS_BYTES = 67_108_864
"""Bytes of all answers of running attempts together."""

CHUNK_OVERHEAD_BYTES = 160
"""Memory that a chunk takes beside its data."""

RETRYABLE_STATUSES = frozenset({502, 503, 504})
"""HTTP statuses with which an endpoint reports that it did not serve the request."""


@dataclass(frozen=True)
class AttemptResult:
    """How one attempt ended.

    :param code: a stable identifier for logs.
    :param endpoint_failed: whether the endpoint caused the failure, not the link or the caller.
    """

    verdict: Verdict
    code: str
    endpoint_failed: bool = False


@dataclass
class RequestRunner:
    """Sends the attempts of requests and decides on retries.

    :param find_connector: returns the connector of an endpoint's incarnation, or ``None``
        when there is none.
    :param entry_epoch: the incarnation of this entry.
    :param budget: limits retries to a ratio of the first attempts.
    :param serial: the serial number of the last attempt of this entry.
    :param held: the bytes that the answers of running attempts hold.
    """

    scheduling: SchedulingController
    find_connector: Callable[[str, str], EndpointConnector | None]
    entry_epoch: str
    log: EventLog
    random: Random
    budget: RetryBudget
    serial: int = 0
    held: ByteBudget = field(default_factory=lambda: ByteBudget(MAX_ANSWERS_BYTES))

    async def run_idempotent(self, exchange: Exchange) -> None:
        """Run an idempotent request, retrying it at other endpoints until it completes.

        When this returns, ``exchange.answer`` holds the answer or the problem that ended it.
        """
        self.budget.on_first_attempt()
        while True:
            dispatch = await self._wait_for_dispatch(exchange)
            if dispatch is None:
                return
            attempt = self.create_attempt_id(exchange, dispatch)
            result = await self.run_attempt(exchange, dispatch, attempt)
            if result.verdict is Verdict.COMPLETED:
                return
            if not await self._wait_for_retry(exchange, result):
                exchange.answer.fail(interrupted(exchange, result))
                return

    def create_attempt_id(self, exchange: Exchange, dispatch: Dispatch) -> AttemptId:
        """Count a new attempt of the request and return its identifier."""
        exchange.attempts += 1
        self.serial += 1
        return AttemptId(
            exchange.request.request_id,
            exchange.attempts,
            dispatch.endpoint,
            dispatch.incarnation,
            self.entry_epoch,
            self.serial,
        )

    async def run_attempt(
        self, exchange: Exchange, dispatch: Dispatch, attempt: AttemptId
    ) -> AttemptResult:
        """Send one attempt, buffer its answer until it ends, and release its slot."""
        outcome = AttemptOutcome.CANCELLED
        event_count_before = exchange.answer.total_events
        try:
            with self.held.open_claim() as claim:
                result = await self._send_attempt(exchange, dispatch, attempt, claim)
            outcome = _attempt_outcome(result)
        finally:
            token_count = exchange.answer.total_events - event_count_before
            self.scheduling.finish(dispatch, outcome, float(token_count))
        exchange.verdict = combine_verdicts(exchange.verdict, result.verdict)
        if result.verdict is not Verdict.COMPLETED:
            exchange.failed_endpoints.add(dispatch.endpoint)
        return result

    async def _wait_for_dispatch(self, exchange: Exchange) -> Dispatch | None:
        """Wait for a slot; a refusal becomes the problem of the exchange's answer."""
        work = exchange.next_attempt_work()
        # A stream that has begun waits for an endpoint until its caller gives up.
        patience_s = float("inf") if exchange.answer.chunks else NO_ENDPOINT_TIMEOUT_S
        while True:
            try:
                return await self.scheduling.admit(work, patience_s)
            except ProblemError as error:
                # An expired view refuses new requests only; a stream that has begun may be resumed.
                # A drain refuses those that were never sent, which another entry can take at once.
                has_expired_view = error.problem.code is ProblemCode.VIEW_EXPIRED
                is_draining = error.problem.code is ProblemCode.DRAINING
                if not (
                    (has_expired_view and exchange.answer.chunks)
                    or (is_draining and exchange.attempts)
                ):
                    exchange.answer.fail(_with_attempts_verdict(exchange, error.problem))
                    return None

    async def _send_attempt(
        self, exchange: Exchange, dispatch: Dispatch, attempt: AttemptId, claim: ByteClaim
    ) -> AttemptResult:
        connector = self.find_connector(dispatch.endpoint, dispatch.incarnation)
        if connector is None:
            return AttemptResult(Verdict.NOT_RUN, "no_link")
        remaining_s = exchange.request.deadline - anyio.current_time()
        if remaining_s <= 0:
            return AttemptResult(Verdict.NOT_RUN, "deadline")
        message = build_start_message(exchange, dispatch, attempt, remaining_s)
        self.log.emit(
            events.REQUEST_DISPATCHED,
            request_id=attempt.request_id,
            endpoint=attempt.endpoint,
            attempt=attempt.number,
            resumed_at=message.resume_offset,
        )
        writer = _AnswerWriter(exchange, claim)
        try:
            channel = await connector.send_attempt(message, writer.on_message)
        except AttemptNotSent:
            return AttemptResult(Verdict.NOT_RUN, "no_link")
        try:
            return await self._wait_for_end(exchange, connector, channel, writer)
        finally:
            connector.end(channel)
            if not writer.has_ended and exchange.request.idempotent:
                with anyio.CancelScope(shield=True):
                    await connector.cancel(attempt)

    async def _wait_for_end(
        self,
        exchange: Exchange,
        connector: EndpointConnector,
        channel: AttemptChannel,
        writer: _AnswerWriter,
    ) -> AttemptResult:
        """Wait for the attempt's end or the deadline, and grant credit meanwhile."""
        remaining_s = exchange.request.deadline - anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_grant_credit, exchange.answer, connector, channel.attempt)
            with anyio.move_on_after(remaining_s):
                await channel.finished.wait()
            tasks.cancel_scope.cancel()
        if writer.result is not None:
            return writer.result
        code = "link_lost" if channel.finished.is_set() else "deadline"
        return AttemptResult(Verdict.MAY_HAVE_RUN, code)

    async def _wait_for_retry(self, exchange: Exchange, result: AttemptResult) -> bool:
        """Wait for the retry delay; return ``False`` when the request must not be retried."""
        if exchange.answer.total_bytes and not exchange.request.stream:
            return False
        failed = FailedAttempt(
            result.verdict,
            exchange.attempts,
            exchange.request.idempotent,
            exchange.request.deadline,
        )
        delay_s = retry_delay_s(failed, self.budget, self.random, anyio.current_time())
        if delay_s is None:
            return False
        self.log.emit(
            events.REQUEST_RETRIED,
            request_id=exchange.request.request_id,
            code=result.code,
            attempt=exchange.attempts,
        )
        await anyio.sleep(delay_s)
        return True


def build_start_message(
    exchange: Exchange, dispatch: Dispatch, attempt: AttemptId, remaining_s: float
) -> StartAttempt:
    """Return the message that starts an attempt, which resumes the answer received so far."""
    request = exchange.request
    offset, text = 0, ""
    if request.stream and exchange.answer.chunks:
        position = stream_position(data for data, _ in exchange.answer.chunks)
        offset, text = position.tokens, position.text
    return StartAttempt(
        attempt=attempt,
        service=request.service,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        deadline_s=remaining_s,
        idempotent=request.idempotent,
        priority=dispatch.engine_priority,
        resume_offset=offset,
        resume_text=text,
        credit_bytes=CREDIT_BYTES,
        work_tokens=int(exchange.work.expected_tokens),
        long=exchange.work.size is RequestSize.LONG,
    )


async def _grant_credit(
    answer: AnswerBuffer, connector: EndpointConnector, attempt: AttemptId
) -> None:
    """Grant credit as callers read, so that a slow caller delays only its own answer."""
    granted = answer.read_bytes
    while True:
        await answer.wait_for_read(granted + CREDIT_BYTES // 2)
        await connector.grant_credit(attempt, answer.read_bytes - granted)
        granted = answer.read_bytes


class _AnswerWriter:
    """Writes the messages of one attempt to the answer buffer.

    A stream of events can be resumed and is written at once. Any other answer is buffered, up to
    :data:`MAX_BUFFERED_BYTES`, until it is complete, so that a retry can still replace it.

    :param exchange: the attempt resumes its answer if earlier attempts have written a part.
    :param claim: the bytes that the attempt adds to the answer.
    :param has_ended: whether the agent sent the last message of the attempt.
    :param result: how the attempt ended by its own messages; ``None`` while it runs.
    """

    def __init__(self, exchange: Exchange, claim: ByteClaim) -> None:
        self.answer = exchange.answer
        self.claim = claim
        self.has_ended = False
        self.is_resumed = bool(exchange.answer.status)
        self.may_retry = exchange.request.idempotent
        self.head: tuple[int, Headers] | None = None
        self.held: list[bytes] = []
        self.held_bytes = 0
        self.has_head = False
        self.has_chunk = False
        self.result: AttemptResult | None = None

    def on_message(self, message: AnswerMessage) -> bool:
        """Handle one message; return whether the attempt has ended."""
        self.has_ended = isinstance(message, ResponseEnd | AttemptFailed)
        if isinstance(message, ResponseChunk | ResponseEnd) and not self.has_head:
            self.result = AttemptResult(Verdict.MAY_HAVE_RUN, "headless", True)
            return True
        match message:
            case ResponseChunk() if not self._try_hold(len(message.data)):
                self.result = AttemptResult(Verdict.MAY_HAVE_RUN, "answer_too_large", True)
            case ResponseChunk():
                self.on_chunk(message)
            case ResponseHead():
                self.has_head = True
                self.result = self.on_head(message)
            case ResponseEnd() if self.is_resumed and not self.has_chunk:
                # It leaves open whether the caller has all events.
                self.result = AttemptResult(Verdict.MAY_HAVE_RUN, "resume_empty", True)
            case ResponseEnd():
                self.on_end()
                self.result = AttemptResult(Verdict.COMPLETED, "completed")
            case AttemptFailed(verdict=verdict, code=code):
                self.result = AttemptResult(verdict, code, verdict is not Verdict.NOT_RUN)
        return self.result is not None

    def _try_hold(self, size: int) -> bool:
        """Return whether a chunk of this size may be kept."""
        held_bytes = self.answer.total_bytes + self.held_bytes + size
        return held_bytes <= MAX_ANSWER_BYTES and self.claim.try_grow(size + CHUNK_OVERHEAD_BYTES)

    def on_head(self, message: ResponseHead) -> AttemptResult | None:
        """Handle the head; return the attempt's result if the head shows that it failed."""
        is_event_stream = (
            dict(message.headers).get("content-type", "").startswith(EVENT_STREAM_TYPE)
        )
        if self.may_retry and message.status in RETRYABLE_STATUSES and not self.answer.status:
            return AttemptResult(Verdict.MAY_HAVE_RUN, f"status_{message.status}", True)
        if self.is_resumed and (not is_event_stream or message.status != 200):
            return AttemptResult(Verdict.MAY_HAVE_RUN, "resume_refused", True)
        if is_event_stream:
            self.answer.begin(message.status, message.headers)
        else:
            self.head = (message.status, message.headers)
        return None

    def on_chunk(self, message: ResponseChunk) -> None:
        """Write or buffer a chunk of the body."""
        self.has_chunk = True
        if self.head is None:
            self.answer.append(message.data, message.events)
            return
        self.held.append(message.data)
        self.held_bytes += len(message.data)
        if self.held_bytes > MAX_BUFFERED_BYTES:
            self._flush_held()

    def on_end(self) -> None:
        """Write what is buffered and complete the answer."""
        self._flush_held()
        self.answer.end()

    def _flush_held(self) -> None:
        """Write the buffered head and chunks to the answer."""
        if self.head is None:
            return
        self.answer.begin(*self.head)
        for data in self.held:
            self.answer.append(data, 0)
        self.head, self.held, self.held_bytes = None, [], 0


def _attempt_outcome(result: AttemptResult) -> AttemptOutcome:
    """Return the outcome that the scheduler records for the attempt's endpoint."""
    if result.verdict is Verdict.COMPLETED:
        return AttemptOutcome.COMPLETED
    if result.verdict is Verdict.NOT_RUN:
        return AttemptOutcome.REFUSED
    return AttemptOutcome.FAILED


def _with_attempts_verdict(exchange: Exchange, problem: Problem) -> Problem:
    """Return a refusal whose verdict includes that of the attempts made before it."""
    return replace(problem, verdict=combine_verdicts(exchange.verdict, problem.verdict))


def interrupted(exchange: Exchange, result: AttemptResult) -> Problem:
    """Return the problem of a request whose last attempt failed."""
    request = exchange.request
    deadline_passed = result.code == "deadline"
    return Problem(
        504 if deadline_passed else 502,
        ProblemCode.DEADLINE_UNREACHABLE if deadline_passed else ProblemCode.ENDPOINT_FAILED,
        f"the last attempt at service {request.service} failed: {result.code}",
        exchange.verdict,
        retry=request.idempotent or exchange.verdict is Verdict.NOT_RUN,
        retry_after_s=None if deadline_passed else 1.0,
    )
