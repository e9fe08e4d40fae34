"""Carries one request to endpoints until it has its final answer."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import TypeVar

import anyio

from bergamotchute_daemon.direct.dialect import Dialect, EndpointWord, SendFacts
from bergamotchute_daemon.direct.direct_request import DirectRequest, Refusal
from bergamotchute_daemon.direct.event_stream import EventStream, StreamMismatch
from bergamotchute_daemon.direct.slot_reservations import (
    Reservation,
    SlotQuestion,
    SlotReservations,
)
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.node_metrics import NodeMetrics
from bergamotchute_model import events
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.verdict import Verdict
from bergamotchute_policy.direct_placement import Candidate, DirectPlacement
from bergamotchute_policy.retry import RetryBudget
from bergamotchute_policy.slot_search import BEGIN_S, SlotSearch, patience_s
from bergamotchute_wire.byte_budget import ByteBudget, ByteClaim
from bergamotchute_wire.http1_client import EndpointExchange, open_exchange
from bergamotchute_wire.http1_messages import AnswerHead, EndpointFailure, without_hop_headers
from bergamotchute_wire.http1_server import AnswerWriter

Read = TypeVar("Read")

CONNECT_TIMEOUT_S = 0.3
"""Bound on connecting to an endpoint; zones are a millisecond apart, a lost packet costs more."""

HEAD_TIMEOUT_OBJECTIVES = 2.5
"""An idempotent request without an answer for so many objectives is tried elsewhere."""

HEAD_TIMEOUT_LEAST_S = 0.9
"""An endpoint gets at least this long for the head of an answer to an idempotent request."""

STREAM_SILENCE_S = 1.3
"""A stream without an event for so long goes on elsewhere; callers give up after two seconds."""

START_S = 8.0
"""How long after its start an entry waits for the first endpoint of a service."""

ENDPOINT_WAIT_S = 1.3
"""How long a request waits for one; endpoints send heartbeats every 1.2 s."""

STALL_S = 0.7
"""An endpoint that is silent, or says *not run*, after so long stands for its whole group."""

NOTED_WAIT_S = 0.1
"""A refusal tells of a wait for a slot from here on; asking agents takes a few milliseconds."""

CONNECT_TRIES = 3
"""Endpoints that may refuse the connection or the request before the caller is refused."""

RETRY_AFTER_LEAST_S = 0.1
RETRY_AFTER_SPREAD_S = 0.5
"""Callers that are refused together come back spread over this time."""

ANSWER_BYTES_MAX = 4_194_304
"""An answer that is no stream is held whole up to this size, the default for a caller's body; a
larger one is a failure."""

ANSWER_PARTS_MAX = 16_384
"""Parts of such an answer; an endpoint that sends tiny parts without end costs 0.3 s of work."""

HELD_BYTES = 33_554_432
"""Bytes of all such answers together, a sixth of the memory of the smallest entry VM."""


@dataclass(frozen=True)
class AttemptResult:
    """How an attempt ended that did not give the caller its final answer.

    :param head: the endpoint's own failure, which the caller gets when nothing better comes.
    """

    verdict: Verdict
    reason: str
    head: AnswerHead | None = None
    body: bytes = b""


@dataclass
class _Progress:
    """What one request has been through.

    :param avoided: endpoints that failed it.
    :param sent: endpoints that it was sent to.
    :param may_have_run: whether any of them may have run it.
    :param last: how the last attempt ended.
    :param begun_at: when the caller got the beginning of its answer, on the runtime's clock.
    :param passed_at: when it last got a part of a stream.
    :param longest_pause_s: the longest time between two parts of a stream.
    """

    stream: EventStream
    avoided: set[str] = field(default_factory=set)
    sent: int = 0
    tries: int = 0
    may_have_run: bool = False
    last: AttemptResult | None = None
    begun_at: float | None = None
    passed_at: float = 0.0
    longest_pause_s: float = 0.0

    def on_part(self, now: float) -> None:
        """Note that a part of the answer is passed on."""
        if self.begun_at is None:
            self.begun_at = now
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.passed_at)
        self.passed_at = now


@dataclass(frozen=True)
class _Attempt:
    """One request on its way to one endpoint."""

    request: DirectRequest
    writer: AnswerWriter
    progress: _Progress
    endpoint: EndpointHeartbeat
    exchange: EndpointExchange


@dataclass(frozen=True)
class _Placed:
    """Where a request goes.

    :param reservation: its slot there; ``None`` where no agent confirmed one.
    :param refusals: agents that refused one.
    :param waited_s: how long it waited for its slot.
    """

    candidate: Candidate
    reservation: Reservation | None
    refusals: int
    waited_s: float = 0.0


@dataclass
class DirectRunner:
    """Sends requests to endpoints.

    :param endpoints: the endpoints of a service, from the newest heartbeats.
    :param on_leaving: told of an endpoint whose answer says that it leaves.
    :param retry_ratio: second sends allowed for each request of a service, in the long run.
    :param retry_capacity: second sends of a service that this entry may make at once.
    :param retry_refill_per_s: second sends of a service that come back whatever the load.
    """

    dialect: Dialect
    placement: DirectPlacement
    slots: SlotReservations
    endpoints: Callable[[str], Iterable[EndpointHeartbeat]]
    on_leaving: Callable[[EndpointHeartbeat], None]
    random: Random
    log: EventLog
    metrics: NodeMetrics
    retry_ratio: float
    retry_capacity: float
    retry_refill_per_s: float
    started_at: float = field(default_factory=anyio.current_time)
    changed: anyio.Event = field(default_factory=anyio.Event)
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    held: ByteBudget = field(default_factory=lambda: ByteBudget(HELD_BYTES))

    async def run(self, request: DirectRequest, writer: AnswerWriter) -> None:
        """Answer a request.

        :raises Refusal: when it gets no answer of an endpoint.
        """
        self._budget(request).on_first_attempt()
        progress = _Progress(EventStream(request.wishes.resume_after))
        with anyio.CancelScope(deadline=request.deadline) as scope:
            await self._attempts(request, writer, progress)
        if scope.cancelled_caught:
            self._give_up(request, writer, progress, "the time for an answer is over")

    async def _attempts(
        self, request: DirectRequest, writer: AnswerWriter, progress: _Progress
    ) -> None:
        while True:
            placed = await self._place(request, progress)
            if placed is None and not progress.tries and await self._wait_for_endpoint():
                continue
            if placed is None and progress.last is not None:
                await self._end(request, writer, progress, progress.last)
                return
            if placed is None:
                self._give_up(request, writer, progress, "no endpoint can be used")
                return
            try:
                result = await self._attempt(request, writer, progress, placed)
            finally:
                if placed.reservation is not None:
                    placed.reservation.release()
            if result is None:
                return
            self._note(request, progress, placed.candidate.heartbeat, result)
            if not self._may_go_on(request, progress, result):
                await self._end(request, writer, progress, result)
                return

    async def _place(self, request: DirectRequest, progress: _Progress) -> _Placed | None:
        """Choose an endpoint and get a slot there; ``None`` when no endpoint can be used.

        :raises Refusal: when every endpoint has too much work.
        """
        engine = request.service.engine
        search = SlotSearch(self.placement, progress.avoided, engine, progress.tries > 0)
        route = request.route
        due_at = request.asked_at + route.objective_s - BEGIN_S
        patient_s = patience_s(route.objective_s, route.gap_objective_s)
        wait_until = min(request.deadline, request.arrived_at + patient_s) - BEGIN_S
        while True:
            wish = search.next(self.endpoints(request.service.name), anyio.current_time())
            if wish is None:
                return None
            endpoint = wish.candidate.heartbeat
            question = SlotQuestion(
                wish.most, wish.queue, due_at, wait_until, request.priority, request.pace
            )
            told = await self.slots.reserve(endpoint.address, question)
            if told is None:
                if not progress.tries and self.placement.has_too_much(wish.candidate, engine):
                    self._turn_away(request, wish.candidate.fullness, 0.0)
                return _Placed(wish.candidate, None, len(search.refused))
            self.placement.on_told(endpoint, told.requests, anyio.current_time())
            if told.reservation is not None:
                if self._may_still_send(request, endpoint):
                    refusals = len(search.refused)
                    return _Placed(wish.candidate, told.reservation, refusals, told.waited_s)
                told.reservation.release()
                search.on_refused(wish)
                continue
            if wish.queue:
                self._turn_away(request, told.requests / max(1, endpoint.slots), told.waited_s)
            search.on_refused(wish)

    def _may_still_send(self, request: DirectRequest, endpoint: EndpointHeartbeat) -> bool:
        """Return whether an endpoint takes requests also after the wait for its slot."""
        known = self.endpoints(request.service.name)
        newest = next((each for each in known if each.endpoint == endpoint.endpoint), None)
        return newest is not None and self.placement.may_send(newest, anyio.current_time())

    def _turn_away(self, request: DirectRequest, fullness: float, waited_s: float) -> None:
        """Refuse a request where every endpoint has too much work.

        :param fullness: of the emptiest one.
        :raises Refusal: with when to come back.
        """
        engine = request.service.engine
        away_s = self.placement.return_s(engine) if engine is not None else RETRY_AFTER_SPREAD_S
        reason = f"all endpoints are full, the emptiest to {fullness:.2f}"
        if waited_s >= NOTED_WAIT_S:
            reason += f"; waited {waited_s:.2f} s for a slot"
        raise Refusal(503, reason, away_s)

    def endpoints_changed(self) -> None:
        """Wake the requests that wait for an endpoint."""
        self.changed.set()
        self.changed = anyio.Event()

    async def _wait_for_endpoint(self) -> bool:
        """Wait for heartbeats at an entry that has just started; return whether any came."""
        left_s = self.started_at + START_S - anyio.current_time()
        with anyio.move_on_after(min(ENDPOINT_WAIT_S, left_s)):
            await self.changed.wait()
            return True
        return False

    async def _attempt(
        self,
        request: DirectRequest,
        writer: AnswerWriter,
        progress: _Progress,
        placed: _Placed,
    ) -> AttemptResult | None:
        """Send a request to one endpoint; ``None`` once the caller has the whole answer."""
        endpoint = placed.candidate.heartbeat
        progress.tries += 1
        progress.stream.begin_attempt()
        self.log.emit(
            events.REQUEST_DISPATCHED,
            request_id=request.wishes.request_id,
            endpoint=endpoint.endpoint,
            attempt=progress.tries,
            born_ms=endpoint.born_ms,
            fullness=round(placed.candidate.fullness, 2),
            reserved=placed.reservation is not None,
            refusals=placed.refusals,
            waited_ms=round(placed.waited_s * 1000),
        )
        self.placement.on_sent(endpoint)
        begun_at = anyio.current_time()
        try:
            async with open_exchange(endpoint.address, CONNECT_TIMEOUT_S) as exchange:
                progress.sent += 1
                attempt = _Attempt(request, writer, progress, endpoint, exchange)
                return await self._exchange(attempt)
        except EndpointFailure as failure:
            self._note_failure(endpoint, begun_at)
            verdict = Verdict.MAY_HAVE_RUN if failure.sent else Verdict.NOT_RUN
            return AttemptResult(verdict, failure.reason)
        finally:
            self.placement.on_ended(endpoint)

    def _note_failure(self, endpoint: EndpointHeartbeat, begun_at: float) -> None:
        now = anyio.current_time()
        if now - begun_at > STALL_S:
            self.placement.on_silence(endpoint, now)
        else:
            self.placement.on_failure(endpoint, now)

    async def _exchange(self, attempt: _Attempt) -> AttemptResult | None:
        request, progress, endpoint = attempt.request, attempt.progress, attempt.endpoint
        exchange, writer = attempt.exchange, attempt.writer
        begun_at = anyio.current_time()
        facts = SendFacts(
            endpoint=endpoint,
            time_left_s=request.deadline - begun_at,
            team=request.team,
            resume_after=progress.stream.last_id,
            urgency=min(9, request.priority),
            body_bytes=len(request.body),
        )
        await exchange.send(self.dialect.write_request(request.head, facts), request.body)
        objectives_s = HEAD_TIMEOUT_OBJECTIVES * request.route.objective_s
        head_bound_s = max(HEAD_TIMEOUT_LEAST_S, objectives_s)
        head = await self._patiently(attempt, head_bound_s, exchange.read_head)
        word = self.dialect.read_answer(head)
        self._note_word(endpoint, word)
        fault = self._fault(request, head, word)
        if fault is not None:
            now = anyio.current_time()
            if word.not_run and now - begun_at > STALL_S:
                self.placement.on_silence(endpoint, now)
            elif word.not_run:
                self.placement.on_full(endpoint, now)
            elif word.wrong_endpoint:
                self.placement.on_failure(endpoint, now)
            return fault
        if request.is_stream and 200 <= head.status < 300:
            await self._pass_stream(attempt, head)
        else:
            with self.held.claim() as claim:
                body = await self._whole_body(exchange, claim)
                if head.status >= 500:
                    return AttemptResult(Verdict.MAY_HAVE_RUN, f"status {head.status}", head, body)
                progress.on_part(anyio.current_time())
                await self._pass_answer(writer, head, body)
        self.placement.on_good_answer(endpoint)
        self._note_completed(request, progress, endpoint, head.status)
        return None

    def _note_word(self, endpoint: EndpointHeartbeat, word: EndpointWord) -> None:
        now = anyio.current_time()
        if word.requests is not None:
            self.placement.on_told(endpoint, word.requests, now)
        if word.leaving:
            self.on_leaving(endpoint)
        if word.retry_after_s is not None:
            self.placement.on_retry_after(endpoint, word.retry_after_s, now)
            self.log.emit(
                events.ENDPOINT_PAUSED,
                endpoint=endpoint.endpoint,
                born_ms=endpoint.born_ms,
                retry_after_s=word.retry_after_s,
            )

    def _fault(
        self, request: DirectRequest, head: AnswerHead, word: EndpointWord
    ) -> AttemptResult | None:
        """Return what makes an answer useless to the caller, if anything."""
        if word.not_run or word.wrong_endpoint:
            return AttemptResult(Verdict.NOT_RUN, f"status {head.status}, not run")
        if word.request_id != request.wishes.request_id:
            return AttemptResult(Verdict.MAY_HAVE_RUN, "the answer belongs to another request")
        if 200 <= head.status < 300 and not word.sealed:
            return AttemptResult(Verdict.MAY_HAVE_RUN, "the answer is not signed")
        if head.status in (408, 421, 429, 503):
            # These would promise that the request has not run, which the endpoint does not say.
            return AttemptResult(Verdict.MAY_HAVE_RUN, f"status {head.status} without a promise")
        return None

    async def _patiently(
        self, attempt: _Attempt, bound_s: float, read: Callable[[], Awaitable[Read]]
    ) -> Read:
        """Read from an endpoint, and leave a silent one only where another may do better.

        :raises EndpointFailure: when the endpoint was silent for so long and another may do better.
        """
        if not attempt.request.route.idempotent:
            return await read()
        while True:
            with anyio.move_on_after(bound_s):
                return await read()
            self.placement.on_silence(attempt.endpoint, anyio.current_time())
            if self._another_may_help(attempt):
                raise EndpointFailure(f"silent for {bound_s:.1f} s", True)

    def _another_may_help(self, attempt: _Attempt) -> bool:
        """Return whether a further attempt is allowed and has a sound endpoint to go to."""
        request, progress = attempt.request, attempt.progress
        if progress.sent >= request.route.max_endpoints or self._budget(request).balance < 1.0:
            return False
        others = progress.avoided | {attempt.endpoint.endpoint}
        known = self.endpoints(request.service.name)
        return self.placement.has_sound(known, others, anyio.current_time())

    async def _whole_body(self, exchange: EndpointExchange, claim: ByteClaim) -> bytes:
        body = bytearray()
        parts = 0
        while (data := await exchange.read_data()) is not None:
            body += data
            parts += 1
            if len(body) > ANSWER_BYTES_MAX or parts > ANSWER_PARTS_MAX:
                raise EndpointFailure("the answer is too large", True)
            if not claim.grow(len(data)):
                raise EndpointFailure("too many bytes of answers are held", True)
        return bytes(body)

    async def _pass_answer(self, writer: AnswerWriter, head: AnswerHead, body: bytes) -> None:
        headers = without_hop_headers(head.headers)
        kept = tuple((name, value) for name, value in headers if name != "content-length")
        await writer.respond(head.status, kept, body)

    async def _pass_stream(self, attempt: _Attempt, head: AnswerHead) -> None:
        """Pass on whole events as they come.

        :raises EndpointFailure: when the stream breaks off, falls silent or does not fit.
        """
        writer, stream = attempt.writer, attempt.progress.stream
        while True:
            data = await self._patiently(attempt, STREAM_SILENCE_S, attempt.exchange.read_data)
            if data is None:
                break
            try:
                whole = stream.take(data)
            except StreamMismatch as error:
                raise EndpointFailure(str(error), True) from error
            if whole:
                attempt.progress.on_part(anyio.current_time())
                if not writer.started:
                    await writer.start(head.status, without_hop_headers(head.headers))
                await writer.write(whole)
        if stream.unfinished or not writer.started:
            raise EndpointFailure("the stream ended within an event", True)
        await writer.finish()

    def _note(
        self,
        request: DirectRequest,
        progress: _Progress,
        endpoint: EndpointHeartbeat,
        result: AttemptResult,
    ) -> None:
        progress.avoided.add(endpoint.endpoint)
        self.metrics.on_attempt(result.verdict)
        progress.last = result
        if result.verdict is Verdict.MAY_HAVE_RUN:
            progress.may_have_run = True
        self.log.emit(
            events.ATTEMPT_FAILED,
            request_id=request.wishes.request_id,
            endpoint=endpoint.endpoint,
            attempt=progress.tries,
            verdict=result.verdict,
            reason=result.reason,
            events_passed=progress.stream.events,
        )

    def _may_go_on(
        self, request: DirectRequest, progress: _Progress, result: AttemptResult
    ) -> bool:
        """Return whether another endpoint may be tried, and take that from the budget."""
        reason = self._why_not_again(request, progress, result)
        kind = events.REQUEST_NOT_RETRIED if reason else events.REQUEST_RETRIED
        self.log.emit(
            kind,
            request_id=request.wishes.request_id,
            attempt=progress.tries + 1,
            resume_after=progress.stream.last_id,
            reason=reason,
            budget=round(self._budget(request).balance, 1),
        )
        return not reason

    def _why_not_again(
        self, request: DirectRequest, progress: _Progress, result: AttemptResult
    ) -> str:
        """Return what forbids another attempt; empty where nothing does."""
        if result.verdict is Verdict.MAY_HAVE_RUN and not request.route.idempotent:
            return "it may have run and may not run twice"
        if progress.sent >= max(1, request.route.max_endpoints):
            return "the route allows no further endpoint"
        if progress.tries > CONNECT_TRIES:
            return "too many endpoints refused the connection"
        if progress.sent and not self._budget(request).take():
            return "the retry budget is spent"
        return ""

    async def _end(
        self,
        request: DirectRequest,
        writer: AnswerWriter,
        progress: _Progress,
        result: AttemptResult,
    ) -> None:
        """Give the caller an endpoint's own failure, or ours."""
        if result.head is not None and not writer.started:
            await self._pass_answer(writer, result.head, result.body)
            return
        self._give_up(request, writer, progress, result.reason)

    def _give_up(
        self, request: DirectRequest, writer: AnswerWriter, progress: _Progress, reason: str
    ) -> None:
        """Refuse a request, or leave its begun answer broken off.

        :raises Refusal: where nothing of an answer was written.
        """
        if writer.started:
            self.log.emit(
                events.REQUEST_FAILED,
                request_id=request.wishes.request_id,
                reason=reason,
                events_passed=progress.stream.events,
            )
            return
        if progress.sent and anyio.current_time() >= request.deadline:
            raise Refusal(504, reason)
        if progress.may_have_run:
            raise Refusal(502, reason)
        spread_s = RETRY_AFTER_SPREAD_S * self.random.random()
        known = self.endpoints(request.service.name)
        pause_s = self.placement.next_retry_s(known, anyio.current_time())
        raise Refusal(503, reason, pause_s + RETRY_AFTER_LEAST_S + spread_s)

    def _budget(self, request: DirectRequest) -> RetryBudget:
        name = request.service.name
        if name not in self.budgets:
            self.budgets[name] = RetryBudget(
                self.retry_ratio, self.retry_capacity, self.retry_refill_per_s
            )
        self.budgets[name].refill(anyio.current_time())
        return self.budgets[name]

    def _note_completed(
        self,
        request: DirectRequest,
        progress: _Progress,
        endpoint: EndpointHeartbeat,
        status: int,
    ) -> None:
        begun_at = progress.begun_at or request.arrived_at
        self.metrics.on_attempt(Verdict.COMPLETED)
        self.metrics.on_answer(
            request.route.kind, begun_at - request.arrived_at, progress.longest_pause_s
        )
        self.log.emit(
            events.REQUEST_COMPLETED,
            request_id=request.wishes.request_id,
            endpoint=endpoint.endpoint,
            status=status,
            route=request.route.name,
            objective_ms=round(request.route.objective_s * 1000),
            pause_bound_ms=round(request.route.gap_objective_s * 1000),
            attempts=progress.tries,
            events_passed=progress.stream.events,
            first_ms=round((begun_at - request.arrived_at) * 1000),
            longest_pause_ms=round(progress.longest_pause_s * 1000),
            took_ms=round((anyio.current_time() - request.arrived_at) * 1000),
        )
