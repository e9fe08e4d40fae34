"""The callers' interface: requests to services, resumed streams and addresses."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field, replace
from typing import Any

import anyio

from bergamotchute_daemon._asgi import (
    CallerGone,
    HttpRequestHead,
    Receive,
    Send,
    problem_document,
    send_json,
    send_problem,
    send_stream,
    wait_disconnect,
)
from bergamotchute_daemon.address_book import AddressBook
from bergamotchute_daemon.caller_filters import (
    Incoming,
    RequestFilter,
    bad_request,
    pass_filters,
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
RECONNECT_S = 10.0
"""How long a stream without a reader is kept going for its caller to reconnect."""

LEAVE_S = 0.5
"""How long any other answer without a reader is kept going."""


class AnswerCutOff(Exception):
    """An answer that can't say so itself broke off; its connection is closed under it."""


@dataclass
class CallerApi:
    """Takes callers' requests through the filters, runs them and sends their answers.

    :param entry: this entry's name and life, the beginning of its request ids.
    :param filters: what a request passes before it runs.
    :param start_soon: runs a task that outlives its connection.
    :param exchanges: requests in flight or still readable, by id.
    :param leaving: callers are told to use other entries; those that still come are served.
    :param draining: no new request is taken.
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

    async def answer_addresses(self, head: HttpRequestHead, send: Send) -> None:
        """Tell which entries to use, and for how long."""
        configuration = self.holder.configuration
        found = await self.addresses.answer(head.query.get("zone", ""), configuration)
        lifetime_s = configuration.limits.address_lifetime_s
        document = {"addresses": [str(one) for one in found], "lifetime_s": lifetime_s}
        await send_json(send, 200, document, (("cache-control", f"max-age={int(lifetime_s)}"),))

    async def answer_request(self, head: HttpRequestHead, receive: Receive, send: Send) -> None:
        """Run a caller's request and send its answer."""
        self.request_count += 1
        request_id = f"{self.entry}.{self.request_count}"
        incoming = Incoming(head, receive, request_id, self.holder.configuration)
        try:
            exchange = await self._admit(incoming)
        except ProblemError as error:
            self._on_refused(request_id, error.problem)
            await send_problem(send, error.problem, request_id)
            return
        except CallerGone:
            return
        await self._send_answer(exchange, receive, send, 0)

    async def answer_resume(self, head: HttpRequestHead, receive: Receive, send: Send) -> None:
        """Send the rest of an answer to its caller, who came back."""
        request_id = head.path.removeprefix(REQUESTS_PREFIX).removesuffix("/answer")
        offset = head.query.get("offset", "0")
        incoming = Incoming(head, receive, request_id, self.holder.configuration)
        for check in self.filters[:2]:
            await check(incoming)
        exchange = self.exchanges.get(request_id)
        assert incoming.team is not None
        if exchange is None or exchange.request.team != incoming.team.name:
            detail = "no such request is kept here; ask the entry that took it"
            raise ProblemError(Problem(404, ProblemCode.NOT_FOUND, detail, Verdict.MAY_HAVE_RUN))
        if not offset.isdecimal():
            raise bad_request("offset must be a number of events")
        await self._send_answer(exchange, receive, send, int(offset))

    async def drain(self, bound_s: float) -> bool:
        """Take no new request and wait for those in flight.

        :param bound_s: how long to wait at most, in seconds.
        :returns: whether all ended in time.
        """
        self.draining = True
        with anyio.move_on_after(bound_s):
            while self.running:
                self.idle = anyio.Event()
                await self.idle.wait()
        if self.running:
            self.log.emit(events.DRAIN_OVERRUN, running=self.running)
        return not self.running

    async def _admit(self, incoming: Incoming) -> Exchange:
        """Take a request through the filters and set it going."""
        if self.draining:
            raise ProblemError(self._draining_problem(incoming))
        try:
            exchange = await pass_filters(incoming, self.filters)
        except ProblemError as error:
            raise await self._judge_refusal(incoming, error) from error
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

    async def _judge_refusal(self, incoming: Incoming, error: ProblemError) -> ProblemError:
        """Return what a refusal says once the claim of a request with a key was looked up."""
        request = incoming.request
        if request is None or request.idempotent:
            return error
        verdict = await self.claimed_runner.verdict_of_refusal(request)
        return ProblemError(replace(error.problem, verdict=verdict))

    async def _run(self, exchange: Exchange, received_at: float) -> None:
        """Run a request to its end, whoever reads the answer."""
        request = exchange.request
        try:
            async with anyio.create_task_group() as tasks:
                if request.idempotent:
                    tasks.start_soon(self._stop_unread, exchange, tasks.cancel_scope)
                    tasks.start_soon(self._observe_first_byte, exchange, received_at)
                    await self.request_runner.run_idempotent(exchange)
                else:
                    await self.claimed_runner.run(exchange)
                tasks.cancel_scope.cancel()
        finally:
            exchange.answer.fail(_caller_left())
            self.team_limiter.give_back(request.team)
            self._on_ended(exchange)
        await self._forget_later(exchange)

    async def _forget_later(self, exchange: Exchange) -> None:
        """Keep an answer for its caller to reconnect, then drop it."""
        if exchange.request.stream:
            await anyio.sleep(RECONNECT_S)
        await exchange.answer.wait_readers(False)
        self.exchanges.pop(exchange.request.request_id, None)

    async def _observe_first_byte(self, exchange: Exchange, received_at: float) -> None:
        await exchange.answer.wait_begun()
        seconds = anyio.current_time() - received_at
        self.metrics.first_byte_s.observe({"service": exchange.request.service}, seconds)

    async def _stop_unread(self, exchange: Exchange, scope: anyio.CancelScope) -> None:
        """Cancel a request that nobody reads any more."""
        answer = exchange.answer
        grace_s = RECONNECT_S if exchange.request.stream else LEAVE_S
        while True:
            with anyio.move_on_after(grace_s) as patience:
                await answer.wait_readers(True)
            if patience.cancelled_caught:
                scope.cancel()
                return
            await answer.wait_readers(False)

    async def _send_answer(
        self, exchange: Exchange, receive: Receive, send: Send, offset: int
    ) -> None:
        """Send an answer as it comes, until it ends or the caller leaves."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            with exchange.answer.reading():
                await self._write(exchange, send, offset)
            tasks.cancel_scope.cancel()

    async def _write(self, exchange: Exchange, send: Send, offset: int) -> None:
        answer, request_id = exchange.answer, exchange.request.request_id
        await answer.wait_begun()
        if not answer.status:
            assert answer.problem is not None
            await send_problem(send, answer.problem, request_id)
            return
        headers = (*answer.headers, ("x-request-id", request_id))
        await send_stream(send, answer.status, headers, _with_problem(exchange, offset))

    def _on_refused(self, request_id: str, problem: Problem) -> None:
        self.log.emit(
            events.REQUEST_REFUSED,
            request_id=request_id,
            code=problem.code,
            verdict=problem.verdict,
        )
        self.metrics.requests.inc({"service": "", "result": str(problem.code)})

    def _on_ended(self, exchange: Exchange) -> None:
        """Account for a request that is over."""
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

    def _draining_problem(self, incoming: Incoming) -> Problem:
        return Problem(
            503,
            ProblemCode.DRAINING,
            "this entry is stopping; use another",
            refusal_verdict(incoming),
            retry=True,
            retry_after_s=0.0,
            addresses=self.addresses.other_entry_addresses(self.holder.configuration),
        )


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    await wait_disconnect(receive)
    scope.cancel()


def _caller_left() -> Problem:
    return Problem(
        499,
        ProblemCode.INTERRUPTED,
        "the caller left and did not come back",
        Verdict.MAY_HAVE_RUN,
    )


async def _with_problem(exchange: Exchange, offset: int) -> AsyncIterator[bytes]:
    """Yield the answer; one that breaks off ends with an error event, never as if whole."""
    async for data in exchange.answer.read(offset):
        yield data
    problem = exchange.answer.problem
    if problem is None:
        return
    if not exchange.request.stream:
        raise AnswerCutOff(problem.detail)
    document = json.dumps(problem_document(problem))
    yield f"event: error\ndata: {document}\n\n".encode()
