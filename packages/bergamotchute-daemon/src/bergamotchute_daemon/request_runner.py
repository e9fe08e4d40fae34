"""Runs a request: waits for a place, sends attempts, and carries the answer back."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
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
from bergamotchute_daemon.scheduling_controller import NO_ENDPOINT_S, SchedulingController
from bergamotchute_model import events
from bergamotchute_model.attempt_messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AttemptFailed,
    StartAttempt,
)
from bergamotchute_model.headers import Headers
from bergamotchute_model.identifiers import AttemptId
from bergamotchute_model.problem import Problem, ProblemCode, ProblemError
from bergamotchute_model.verdict import Verdict, combine
from bergamotchute_policy.endpoint_tracker import AttemptOutcome
from bergamotchute_policy.retry import FailedAttempt, RetryBudget, retry_delay_s
from bergamotchute_policy.work import Dispatch, RequestSize

CREDIT_BYTES = 262_144
"""Bytes of one answer that may be under way or unread."""

HELD_BYTES = CREDIT_BYTES // 2
"""How much of an answer that can't be resumed is held back until it is whole."""

RETRY_STATUSES = frozenset({502, 503, 504})
"""Answers by which an endpoint says that it did not serve the request."""

EVENT_STREAM = "text/event-stream"


@dataclass(frozen=True)
class AttemptResult:
    """How one attempt ended.

    :param code: a stable word for logs.
    :param endpoint_failed: the endpoint is to blame, not the link or the caller.
    """

    verdict: Verdict
    code: str
    endpoint_failed: bool = False


@dataclass
class RequestRunner:
    """Carries requests through their attempts.

    :param connector: finds the link to an endpoint's life; ``None`` when there is none.
    :param entry_epoch: the life of this entry.
    """

    scheduling: SchedulingController
    connector: Callable[[str, str], EndpointConnector | None]
    entry_epoch: str
    log: EventLog
    random: Random
    budget: RetryBudget
    serial: int = 0

    async def run_idempotent(self, exchange: Exchange) -> None:
        """Run a request that may run again, over as many endpoints as it takes.

        The answer, or the problem that ends it, is in ``exchange.answer`` when this returns.
        """
        self.budget.on_first_attempt()
        while True:
            dispatch = await self._admit(exchange)
            if dispatch is None:
                return
            attempt = self.next_attempt(exchange, dispatch)
            result = await self.run_attempt(exchange, dispatch, attempt)
            if result.verdict is Verdict.COMPLETED:
                return
            if not await self._try_again(exchange, result):
                exchange.answer.fail(interrupted(exchange, result))
                return

    def next_attempt(self, exchange: Exchange, dispatch: Dispatch) -> AttemptId:
        """Return the identifier of the request's next attempt."""
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
        """Send one attempt and carry its answer until it ends; the place is freed behind it."""
        finish = AttemptOutcome.CANCELLED
        events_before = exchange.answer.total_events
        try:
            result = await self._send_attempt(exchange, dispatch, attempt)
            finish = _finish_of(result)
        finally:
            tokens = exchange.answer.total_events - events_before
            self.scheduling.finish(dispatch, finish, float(tokens))
        exchange.verdict = combine(exchange.verdict, result.verdict)
        if result.verdict is not Verdict.COMPLETED:
            exchange.failed_endpoints.add(dispatch.endpoint)
        return result

    async def _admit(self, exchange: Exchange) -> Dispatch | None:
        """Wait for a place; a refusal becomes the exchange's problem."""
        work = exchange.next_work()
        # A stream that has begun waits for its runner to come back as long as its caller does.
        patience_s = float("inf") if exchange.answer.chunks else NO_ENDPOINT_S
        while True:
            try:
                return await self.scheduling.admit(work, patience_s)
            except ProblemError as error:
                # A lapsed view refuses new work; a stream that has begun is in flight and goes on.
                lapsed = error.problem.code is ProblemCode.VIEW_EXPIRED
                if not (lapsed and exchange.answer.chunks):
                    exchange.answer.fail(_after_attempts(exchange, error.problem))
                    return None

    async def _send_attempt(
        self, exchange: Exchange, dispatch: Dispatch, attempt: AttemptId
    ) -> AttemptResult:
        connector = self.connector(dispatch.endpoint, dispatch.incarnation)
        if connector is None:
            return AttemptResult(Verdict.NOT_RUN, "no_link")
        left = exchange.request.deadline - anyio.current_time()
        if left <= 0:
            return AttemptResult(Verdict.NOT_RUN, "deadline")
        message = start_message(exchange, dispatch, attempt, left)
        self.log.emit(
            events.REQUEST_DISPATCHED,
            request_id=attempt.request_id,
            endpoint=attempt.endpoint,
            attempt=attempt.number,
            resumed_at=message.resume_offset,
        )
        carrier = _Carrier(exchange)
        try:
            channel = await connector.send_attempt(message, carrier.on_message)
        except AttemptNotSent:
            return AttemptResult(Verdict.NOT_RUN, "no_link")
        try:
            return await self._wait_end(exchange, connector, channel, carrier)
        finally:
            connector.end(channel)
            if carrier.result is None and exchange.request.idempotent:
                with anyio.CancelScope(shield=True):
                    await connector.cancel(attempt)

    async def _wait_end(
        self,
        exchange: Exchange,
        connector: EndpointConnector,
        channel: AttemptChannel,
        carrier: _Carrier,
    ) -> AttemptResult:
        """Wait for the attempt's end, or for the deadline, and give credit meanwhile."""
        left = exchange.request.deadline - anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_grant_credit, exchange.answer, connector, channel.attempt)
            with anyio.move_on_after(left):
                await channel.finished.wait()
            tasks.cancel_scope.cancel()
        if carrier.result is not None:
            return carrier.result
        code = "link_lost" if channel.finished.is_set() else "deadline"
        return AttemptResult(Verdict.MAY_HAVE_RUN, code)

    async def _try_again(self, exchange: Exchange, result: AttemptResult) -> bool:
        """Decide on another attempt and wait until it is due."""
        if exchange.answer.total_bytes and not exchange.request.stream:
            return False
        failed = FailedAttempt(
            result.verdict,
            exchange.attempts,
            exchange.request.idempotent,
            exchange.request.deadline,
        )
        delay = retry_delay_s(failed, self.budget, self.random, anyio.current_time())
        if delay is None:
            return False
        self.log.emit(
            events.REQUEST_RETRIED,
            request_id=exchange.request.request_id,
            code=result.code,
            attempt=exchange.attempts,
        )
        await anyio.sleep(delay)
        return True


def start_message(
    exchange: Exchange, dispatch: Dispatch, attempt: AttemptId, left_s: float
) -> StartAttempt:
    """Return the message that starts an attempt, from where the answer stands."""
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
        deadline_s=left_s,
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
    """Give credit back as callers read, so that a slow caller holds up only its own answer."""
    granted = answer.read_bytes
    while True:
        await answer.wait_read(granted + CREDIT_BYTES // 2)
        await connector.grant_credit(attempt, answer.read_bytes - granted)
        granted = answer.read_bytes


class _Carrier:
    """Puts the messages of one attempt into the answer.

    An answer that can be resumed passes on at once. Any other is held back, up to
    :data:`HELD_BYTES`, until it is whole, so that another attempt can still replace it.

    :param exchange: when earlier attempts have given the answer's beginning, this one resumes it.
    :param result: how the attempt ended, by its own messages; ``None`` before that.
    """

    def __init__(self, exchange: Exchange) -> None:
        self.answer = exchange.answer
        self.resumed = bool(exchange.answer.chunks)
        self.may_retry = exchange.request.idempotent
        self.head: tuple[int, Headers] | None = None
        self.held: list[bytes] = []
        self.held_bytes = 0
        self.begun = False
        self.result: AttemptResult | None = None

    def on_message(self, message: AnswerMessage) -> bool:
        """Take one message; return whether the attempt is over."""
        if isinstance(message, AnswerChunk | AnswerEnd) and not self.begun:
            self.result = AttemptResult(Verdict.MAY_HAVE_RUN, "headless", True)
            return True
        match message:
            case AnswerChunk():
                self.on_chunk(message)
            case AnswerHead():
                self.begun = True
                self.result = self.on_head(message)
            case AnswerEnd():
                self.on_end()
                self.result = AttemptResult(Verdict.COMPLETED, "completed")
            case AttemptFailed(verdict=verdict, code=code):
                self.result = AttemptResult(verdict, code, verdict is not Verdict.NOT_RUN)
        return self.result is not None

    def on_head(self, message: AnswerHead) -> AttemptResult | None:
        """Take the head; return how the attempt failed if the head says so."""
        streams = dict(message.headers).get("content-type", "").startswith(EVENT_STREAM)
        if self.may_retry and message.status in RETRY_STATUSES and not self.answer.status:
            return AttemptResult(Verdict.MAY_HAVE_RUN, f"status_{message.status}", True)
        if self.resumed and (not streams or message.status != 200):
            return AttemptResult(Verdict.MAY_HAVE_RUN, "resume_refused", True)
        if streams:
            self.answer.begin(message.status, message.headers)
        else:
            self.head = (message.status, message.headers)
        return None

    def on_chunk(self, message: AnswerChunk) -> None:
        """Take bytes of the body."""
        if self.head is None:
            self.answer.append(message.data, message.events)
            return
        self.held.append(message.data)
        self.held_bytes += len(message.data)
        if self.held_bytes > HELD_BYTES:
            self._let_go()

    def on_end(self) -> None:
        """Complete the answer."""
        self._let_go()
        self.answer.end()

    def _let_go(self) -> None:
        """Pass on what was held back."""
        if self.head is None:
            return
        self.answer.begin(*self.head)
        for data in self.held:
            self.answer.append(data, 0)
        self.head, self.held, self.held_bytes = None, [], 0


def _finish_of(result: AttemptResult) -> AttemptOutcome:
    """Return what an attempt's end says of its endpoint."""
    if result.verdict is Verdict.COMPLETED:
        return AttemptOutcome.COMPLETED
    if result.verdict is Verdict.NOT_RUN:
        return AttemptOutcome.REFUSED
    return AttemptOutcome.FAILED


def _after_attempts(exchange: Exchange, problem: Problem) -> Problem:
    """Return a refusal as it reads with the attempts made before it."""
    return replace(problem, verdict=combine(exchange.verdict, problem.verdict))


def interrupted(exchange: Exchange, result: AttemptResult) -> Problem:
    """Return the problem of a request whose last attempt failed."""
    request = exchange.request
    late = result.code == "deadline"
    return Problem(
        504 if late else 502,
        ProblemCode.DEADLINE_UNREACHABLE if late else ProblemCode.ENDPOINT_FAILED,
        f"the last attempt at service {request.service} failed: {result.code}",
        exchange.verdict,
        retry=request.idempotent or exchange.verdict is Verdict.NOT_RUN,
        retry_after_s=None if late else 1.0,
    )
