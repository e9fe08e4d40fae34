"""Serve the callers' HTTP API: requests to services, resumed streams and addresses."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field, replace
from typing import Any

import anyio

from bergamotchute_daemon._asgi import (
    CallerDisconnected,
    HttpRequestHead,
    Receive,
    Send,
    problem_document,
    send_json,
    send_problem,
    send_stream,
    wait_for_disconnect,
)
from bergamotchute_daemon.address_book import AddressBook
from bergamotchute_daemon.caller_filters import (
    IncomingRequest,
    RequestFilter,
    apply_filters,
    bad_request,
    refusal_verdict,
)
from bergamotchute_daemon.claimed_runner import ClaimedRunner
from bergamotchute_daemon.configuration_holder import ConfigurationHolder
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.exchange import Exchange
from bergamotchute_daemon.metrics import Metrics
from bergamotchute_daemon.request_runner import RequestRunner
from bergamotchute_daemon.team_limiter import TeamLimiter
from bergamotchute_model import events
from bergamotchute_model.problem import Problem, ProblemCode, ProblemError
from bergamotchute_model.verdict import Verdict

ADDRESSES_PATH = "/v1/addresses"
REQUESTS_PREFIX = "/v1/requests/"
RECONNECT_GRACE_S = 10.0
"""How long a stream without a reader runs on, for its caller to reconnect."""

DISCONNECT_GRACE_S = 0.5
"""How long a request without a reader runs on when its answer isn't a stream."""


class AnswerTruncated(Exception):
    """An answer ended early in a format that can't report it; the connection must be closed."""


@dataclass
class CallerApi:
    """Filters callers' requests, runs them and sends their answers.

    :param entry: this entry's name and incarnation, the prefix of its request ids.
    :param filters: the filters applied to a request before it runs.
    :param start_soon: runs a task that outlives its connection.
    :param exchanges: requests in flight or still readable, by id.
    :param running: requests in flight.
    :param idle: set when no request is in flight any more.
    :param leaving: callers are directed to other entries, but new requests are still served.
    :param draining: new requests are refused.
    """

    entry: str
    filters: tuple[RequestFilter, ...]
    holder: ConfigurationHolder
    request_runner: RequestRunner
    claimed_runner: ClaimedRunner
    team_limiter: TeamLimiter
    addresses: AddressBook
    start_soon: Callable[..., Any]
    log: EventLog
    metrics: Metrics
    exchanges: dict[str, Exchange] = field(default_factory=dict)
    request_count: int = 0
    running: int = 0
    idle: anyio.Event = field(default_factory=anyio.Event)
    leaving: bool = False
    draining: bool = False

    async def serve_addresses(self, head: HttpRequestHead, send: Send) -> None:
        """Send the addresses of the entries to use and the lifetime of that list."""
        configuration = self.holder.configuration
        found = await self.addresses.answer(head.query.get("zone", ""), configuration)
        lifetime_s = configuration.limits.address_lifetime_s
        document = {"addresses": [str(address) for address in found], "lifetime_s": lifetime_s}
        await send_json(send, 200, document, (("cache-control", f"max-age={int(lifetime_s)}"),))

    async def serve_request(self, head: HttpRequestHead, receive: Receive, send: Send) -> None:
        """Run a caller's request and send its answer."""
        self.request_count += 1
        request_id = f"{self.entry}.{self.request_count}"
        incoming = IncomingRequest(head, receive, request_id, self.holder.configuration)
        try:
            exchange = await self._admit(incoming)
        except ProblemError as error:
            self._record_refusal(request_id, error.problem)
            await send_problem(send, error.problem, request_id)
            return
        except CallerDisconnected:
            return
        await self._send_answer(exchange, receive, send, 0)

    async def serve_resume(self, head: HttpRequestHead, receive: Receive, send: Send) -> None:
        """Send the rest of an answer to a caller that reconnected."""
        request_id = head.path.removeprefix(REQUESTS_PREFIX).removesuffix("/answer")
        offset = head.query.get("offset", "0")
        incoming = IncomingRequest(head, receive, request_id, self.holder.configuration)
        for request_filter in self.filters[:2]:
            await request_filter(incoming)
        exchange = self.exchanges.get(request_id)
        assert incoming.team is not None
        if exchange is None or exchange.request.team != incoming.team.name:
            detail = "this entry keeps no such request; ask the entry that accepted the request"
            raise ProblemError(Problem(404, ProblemCode.NOT_FOUND, detail, Verdict.MAY_HAVE_RUN))
        if not offset.isdecimal():
            raise bad_request("offset must be a whole number of events")
        await self._send_answer(exchange, receive, send, int(offset))

    async def drain(self, timeout_s: float) -> bool:
        """Refuse new requests and wait for those in flight.

        :param timeout_s: how long to wait at most, in seconds.
        :returns: whether all requests ended in time.
        """
        self.draining = True
        with anyio.move_on_after(timeout_s):
            while self.running:
                self.idle = anyio.Event()
                await self.idle.wait()
        if self.running:
            self.log.emit(events.DRAIN_TIMED_OUT, running=self.running)
        return not self.running

    async def _admit(self, incoming: IncomingRequest) -> Exchange:
        """Apply the filters to a request and start it."""
        if self.draining:
            raise ProblemError(self._draining_problem(incoming))
        try:
            exchange = await apply_filters(incoming, self.filters)
        except ProblemError as error:
            raise await self._with_claim_verdict(incoming, error) from error
        request = exchange.request
        self.log.emit(
            events.REQUEST_RECEIVED,
            request_id=request.request_id,
            service=request.service,
            team=request.team,
            idempotent=request.idempotent,
        )
        self.exchanges[request.request_id] = exchange
        self.running += 1
        self.start_soon(self._run, exchange, incoming.received_at)
        return exchange

    async def _with_claim_verdict(
        self, incoming: IncomingRequest, error: ProblemError
    ) -> ProblemError:
        """Return the refusal with the verdict that the claim of a non-idempotent request gives."""
        request = incoming.request
        if request is None or request.idempotent:
            return error
        verdict = await self.claimed_runner.look_up_refusal_verdict(request)
        return ProblemError(replace(error.problem, verdict=verdict))

    async def _run(self, exchange: Exchange, received_at: float) -> None:
        """Run a request to its end, independent of the connections that read its answer."""
        request = exchange.request
        try:
            async with anyio.create_task_group() as tasks:
                if request.idempotent:
                    tasks.start_soon(self._cancel_unread, exchange, tasks.cancel_scope)
                    tasks.start_soon(self._observe_first_byte, exchange, received_at)
                    await self.request_runner.run_idempotent(exchange)
                else:
                    await self.claimed_runner.run(exchange)
                tasks.cancel_scope.cancel()
        finally:
            exchange.answer.fail(_caller_gone_problem())
            self.team_limiter.release(request.team)
            self._record_end(exchange)
        await self._expire_exchange(exchange)

    async def _expire_exchange(self, exchange: Exchange) -> None:
        """Drop the exchange once its caller can't reconnect any more and nobody reads it."""
        if exchange.request.stream:
            await anyio.sleep(RECONNECT_GRACE_S)
        await exchange.answer.wait_for_readers(False)
        self.exchanges.pop(exchange.request.request_id, None)

    async def _observe_first_byte(self, exchange: Exchange, received_at: float) -> None:
        await exchange.answer.wait_for_head()
        seconds = anyio.current_time() - received_at
        self.metrics.first_byte_s.observe({"service": exchange.request.service}, seconds)

    async def _cancel_unread(self, exchange: Exchange, scope: anyio.CancelScope) -> None:
        """Cancel a request whose answer has had no reader for the grace period."""
        answer = exchange.answer
        grace_s = RECONNECT_GRACE_S if exchange.request.stream else DISCONNECT_GRACE_S
        while True:
            with anyio.move_on_after(grace_s) as grace_period:
                await answer.wait_for_readers(True)
            if grace_period.cancelled_caught:
                scope.cancel()
                return
            await answer.wait_for_readers(False)

    async def _send_answer(
        self, exchange: Exchange, receive: Receive, send: Send, offset: int
    ) -> None:
        """Stream an answer until it ends or the caller disconnects."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            with exchange.answer.register_reader():
                await self._write_answer(exchange, send, offset)
            tasks.cancel_scope.cancel()

    async def _write_answer(self, exchange: Exchange, send: Send, offset: int) -> None:
        answer, request_id = exchange.answer, exchange.request.request_id
        await answer.wait_for_head()
        if not answer.status:
            assert answer.problem is not None
            await send_problem(send, answer.problem, request_id)
            return
        headers = (*answer.headers, ("x-request-id", request_id))
        await send_stream(send, answer.status, headers, _read_with_error_event(exchange, offset))

    def _record_refusal(self, request_id: str, problem: Problem) -> None:
        self.log.emit(
            events.REQUEST_REFUSED,
            request_id=request_id,
            code=problem.code,
            verdict=problem.verdict,
        )
        self.metrics.requests.inc({"service": "", "result": str(problem.code)})

    def _record_end(self, exchange: Exchange) -> None:
        """Count and log a request that has ended."""
        request, problem = exchange.request, exchange.answer.problem
        self.running -= 1
        if not self.running:
            self.idle.set()
        result = "completed" if problem is None else str(problem.code)
        self.metrics.requests.inc({"service": request.service, "result": result})
        kind = events.REQUEST_COMPLETED if problem is None else events.REQUEST_FAILED
        self.log.emit(
            kind,
            request_id=request.request_id,
            result=result,
            verdict=Verdict.COMPLETED if problem is None else problem.verdict,
            attempts=exchange.attempts,
        )

    def _draining_problem(self, incoming: IncomingRequest) -> Problem:
        return Problem(
            503,
            ProblemCode.DRAINING,
            "this entry is draining; send the request to another entry",
            refusal_verdict(incoming),
            retry=True,
            retry_after_s=0.0,
            addresses=self.addresses.other_entry_addresses(self.holder.configuration),
        )


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    await wait_for_disconnect(receive)
    scope.cancel()


def _caller_gone_problem() -> Problem:
    return Problem(
        499,
        ProblemCode.INTERRUPTED,
        "the caller disconnected and did not reconnect in time",
        Verdict.MAY_HAVE_RUN,
    )


async def _read_with_error_event(exchange: Exchange, offset: int) -> AsyncIterator[bytes]:
    """Yield the answer, with a final error event if it is incomplete.

    :raises AnswerTruncated: when an incomplete answer isn't a stream of events.
    """
    async for data in exchange.answer.read(offset):
        yield data
    problem = exchange.answer.problem
    if problem is None:
        return
    if not exchange.request.stream:
        raise AnswerTruncated(problem.detail)
    document = json.dumps(problem_document(problem))
    yield f"event: error\ndata: {document}\n\n".encode()
