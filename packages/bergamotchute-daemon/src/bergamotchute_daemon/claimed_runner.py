"""Runs a non-idempotent request at most once, over all entries and resends."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import anyio

from bergamotchute_daemon.claim_client import ClaimClient
from bergamotchute_daemon.control_client import ControlUnavailable
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.exchange import CallerRequest, Exchange
from bergamotchute_daemon.request_runner import AttemptResult, RequestRunner, interrupted
from bergamotchute_daemon.scheduling_controller import SchedulingController
from bergamotchute_model import events
from bergamotchute_model.commands import ClaimRecord, ClaimResult, ClaimState, Outcome
from bergamotchute_model.identifiers import AttemptId
from bergamotchute_model.problem import Problem, ProblemCode, ProblemError
from bergamotchute_model.verdict import Verdict
from bergamotchute_policy.endpoint_tracker import AttemptOutcome
from bergamotchute_policy.retry import FailedAttempt, retry_delay_s
from bergamotchute_policy.work import Dispatch

REPLAYED_HEADER = ("idempotency-replayed", "true")

RETRY_AFTER_S = 2.0

LATE_S = 0.5
"""How long after its deadline a request is answered at the latest."""

FOLLOW_ON_S = 600.0
"""How long an entry follows an attempt that outlasts its caller."""

LOOK_UPS_LIMIT = 64
"""Claims looked up side by side for requests that are refused."""


@dataclass
class ClaimedRunner:
    """Carries claimed requests: no attempt is sent before the quorum allows it.

    :param runner: sends the attempts.
    :param keeper: speaks for the quorum and the agents.
    :param start_soon: runs a task that outlives the request.
    """

    scheduling: SchedulingController
    runner: RequestRunner
    keeper: ClaimClient
    start_soon: Callable[..., Any]
    log: EventLog
    look_ups: int = 0

    async def run(self, exchange: Exchange) -> None:
        """Run the request, or find out what became of it when it was sent before.

        The answer, or the problem, is in ``exchange.answer`` when this returns.
        """
        try:
            with anyio.move_on_at(exchange.request.deadline + LATE_S) as bound:
                await self._run(exchange)
        except ControlUnavailable:
            exchange.answer.fail(control_unavailable())
        if bound.cancelled_caught:
            # Wherever this was cut off, the next sending finds out by the claim and the agent.
            exchange.answer.fail(still_running())

    async def _run(self, exchange: Exchange) -> None:
        replaces: AttemptId | None = None
        while not exchange.answer.finished:
            try:
                dispatch = await self.scheduling.admit(exchange.next_work())
            except ProblemError as error:
                await self._on_refused(exchange, error.problem)
                return
            replaces = await self._on_dispatch(exchange, dispatch, replaces)

    async def _on_dispatch(
        self, exchange: Exchange, dispatch: Dispatch, replaces: AttemptId | None
    ) -> AttemptId | None:
        """Claim and run one attempt; return the released attempt that the next one replaces."""
        request = exchange.request
        attempt = self.runner.next_attempt(exchange, dispatch)
        try:
            result = await self.keeper.take(
                request.claim_key(), request.digest(), attempt, replaces
            )
        except BaseException:
            self.scheduling.finish(dispatch, AttemptOutcome.CANCELLED)
            raise
        if not result.granted:
            self.scheduling.finish(dispatch, AttemptOutcome.CANCELLED)
            return await self._on_claimed_before(exchange, result)
        ended = await self.runner.run_attempt(exchange, dispatch, attempt)
        return await self._on_attempt_ended(exchange, attempt, ended)

    async def _on_attempt_ended(
        self, exchange: Exchange, attempt: AttemptId, ended: AttemptResult
    ) -> AttemptId | None:
        """Record how the claimed attempt ended; return it if another may replace it."""
        key = exchange.request.claim_key()
        match ended.verdict:
            case Verdict.COMPLETED:
                self.start_soon(self._settle_quietly, exchange, attempt)
                return None
            case Verdict.NOT_RUN:
                record = (await self.keeper.release(key, attempt)).record
            case _:
                assigned = ClaimRecord(key, exchange.request.digest(), ClaimState.ASSIGNED, attempt)
                record = await self._follow(exchange, assigned)
        if record is None or record.state is not ClaimState.RELEASED:
            return self._answer_by(exchange, record)
        if not await self._may_replace(exchange):
            exchange.verdict = Verdict.NOT_RUN
            exchange.answer.fail(interrupted(exchange, ended))
        return record.attempt

    async def _may_replace(self, exchange: Exchange) -> bool:
        """Wait until a released attempt may be followed by another, if it may."""
        failed = FailedAttempt(
            Verdict.NOT_RUN, exchange.attempts, False, exchange.request.deadline, released=True
        )
        delay = retry_delay_s(failed, self.runner.budget, self.runner.random, anyio.current_time())
        if delay is None:
            return False
        await anyio.sleep(delay)
        return True

    async def _on_claimed_before(self, exchange: Exchange, result: ClaimResult) -> AttemptId | None:
        """Go by a claim that an earlier sending holds."""
        if result.reused:
            exchange.answer.fail(key_reused())
            return None
        return await self._on_record(exchange, result.record)

    async def _on_record(self, exchange: Exchange, record: ClaimRecord | None) -> AttemptId | None:
        """Follow a claim that is assigned, and answer by how it stands then."""
        if record is not None and record.state is ClaimState.ASSIGNED:
            record = await self._follow(exchange, record)
        return self._answer_by(exchange, record)

    def _answer_by(self, exchange: Exchange, record: ClaimRecord | None) -> AttemptId | None:
        """Answer by the claim as it stands; return a released attempt that may be replaced."""
        match record:
            case ClaimRecord(state=ClaimState.RELEASED, attempt=attempt):
                return attempt
            case ClaimRecord(state=ClaimState.SETTLED, outcome=Outcome() as outcome):
                self._replay(exchange, outcome)
            case ClaimRecord(state=ClaimState.ASSIGNED):
                exchange.answer.fail(still_running())
                self.start_soon(self._follow_on, record, exchange.request.digest())
            case _:
                exchange.answer.fail(outcome_unknown())
        return None

    async def _follow(self, exchange: Exchange, record: ClaimRecord) -> ClaimRecord:
        request = exchange.request
        return await self.keeper.follow(record, request.digest(), request.deadline)

    async def _on_refused(self, exchange: Exchange, problem: Problem) -> None:
        """Refuse, unless an earlier sending has an answer or may still run."""
        request = exchange.request
        result = await self.keeper.look_up(request.claim_key(), request.digest())
        if result.reused:
            exchange.answer.fail(key_reused())
        elif result.record is None or result.record.state is ClaimState.RELEASED:
            exchange.answer.fail(problem)
        else:
            await self._on_record(exchange, result.record)
            if not exchange.answer.finished:
                exchange.answer.fail(problem)

    async def verdict_of_refusal(self, request: CallerRequest) -> Verdict:
        """Return what is known of a request that is refused before it could claim its key."""
        if self.look_ups >= LOOK_UPS_LIMIT:
            return Verdict.MAY_HAVE_RUN
        self.look_ups += 1
        try:
            result = await self.keeper.look_up(request.claim_key(), request.digest())
        except ControlUnavailable:
            return Verdict.MAY_HAVE_RUN
        finally:
            self.look_ups -= 1
        unclaimed = result.record is None or result.record.state is ClaimState.RELEASED
        return Verdict.NOT_RUN if unclaimed else Verdict.MAY_HAVE_RUN

    def _replay(self, exchange: Exchange, outcome: Outcome) -> None:
        """Give the recorded outcome."""
        answer = exchange.answer
        if answer.status:
            answer.fail(outcome_unknown())
            return
        answer.begin(outcome.status, (*outcome.headers, REPLAYED_HEADER))
        answer.append(outcome.body, 0)
        answer.end()
        self.log.emit(events.CLAIM_REPLAYED, request_id=exchange.request.request_id)

    async def _follow_on(self, record: ClaimRecord, digest: str) -> None:
        """Have the outcome recorded though nobody waits for it any more."""
        with suppress(ControlUnavailable):
            until = anyio.current_time() + FOLLOW_ON_S
            await self.keeper.follow(record, digest, until, unreached_s=FOLLOW_ON_S)

    async def _settle_quietly(self, exchange: Exchange, attempt: AttemptId) -> None:
        """Record the outcome; should that fail, a resend learns it from the agent."""
        answer = exchange.answer
        body = b"".join(data for data, _ in answer.chunks)
        outcome = Outcome(answer.status, answer.headers, body)
        try:
            await self.keeper.settle(exchange.request.claim_key(), attempt, outcome)
        except ControlUnavailable:
            self.log.emit(
                events.CLAIM_UNSETTLED,
                request_id=attempt.request_id,
                endpoint=attempt.endpoint,
            )


def control_unavailable() -> Problem:
    """Return the problem of a request whose claim can't be read or written now.

    This sending was not run unless an attempt was made; an earlier one may have.
    """
    return Problem(
        503,
        ProblemCode.CONTROL_UNAVAILABLE,
        "the claim on the idempotency key can't be confirmed now; send it again with the same key",
        Verdict.MAY_HAVE_RUN,
        retry=True,
        retry_after_s=RETRY_AFTER_S,
    )


def key_reused() -> Problem:
    """Return the problem of a key that came before with another request."""
    return Problem(
        409,
        ProblemCode.KEY_REUSED,
        "this idempotency key was used for another request; this one was not run",
    )


def still_running() -> Problem:
    """Return the problem of a request that runs on, or whose agent can't be asked now."""
    return Problem(
        504,
        ProblemCode.INTERRUPTED,
        "the request may still be running; send it again with the same key for its answer",
        Verdict.MAY_HAVE_RUN,
        retry=True,
        retry_after_s=RETRY_AFTER_S,
    )


def outcome_unknown() -> Problem:
    """Return the problem of a request that may have run and whose answer is lost."""
    return Problem(
        409,
        ProblemCode.OUTCOME_UNKNOWN,
        "the request may have run and its answer is lost; it will not be run again",
        Verdict.MAY_HAVE_RUN,
    )
