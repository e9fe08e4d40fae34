"""Run a non-idempotent request at most once across all entries and resends."""

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
from bergamotchute_model.commands import ClaimRecord, ClaimResult, ClaimState, RecordedResponse
from bergamotchute_model.identifiers import AttemptId
from bergamotchute_model.problem import Problem, ProblemCode, ProblemError
from bergamotchute_model.verdict import Verdict
from bergamotchute_policy.endpoint_tracker import AttemptOutcome
from bergamotchute_policy.retry import FailedAttempt, retry_delay_s
from bergamotchute_policy.work import Dispatch

REPLAYED_HEADER = ("idempotency-replayed", "true")

RETRY_AFTER_S = 2.0

DEADLINE_GRACE_S = 0.5
"""Time after its deadline within which a request is always answered."""

ABANDONED_FOLLOW_TIMEOUT_S = 600.0
"""How long an entry follows an attempt that runs past its caller's deadline."""

MAX_CONCURRENT_LOOK_UPS = 64
"""Concurrent claim look-ups for requests that are refused."""


@dataclass
class ClaimedRunner:
    """Runs requests under a claim: no attempt is sent before the quorum grants it.

    :param runner: sends the attempts.
    :param claim_client: sends claim commands to the quorum and queries the agents.
    :param start_soon: runs a task that outlives the request.
    """

    scheduling: SchedulingController
    runner: RequestRunner
    claim_client: ClaimClient
    start_soon: Callable[..., Any]
    log: EventLog
    look_up_count: int = 0

    async def run(self, exchange: Exchange) -> None:
        """Run the request, or answer with the outcome of an earlier send of it.

        When this returns, ``exchange.answer`` holds the answer or the problem.
        """
        try:
            with anyio.move_on_at(exchange.request.deadline + DEADLINE_GRACE_S) as time_limit:
                await self._run_attempts(exchange)
        except ControlUnavailable:
            exchange.answer.fail(control_unavailable())
        if time_limit.cancelled_caught:
            # A resend learns the outcome from the claim and the agent, at whatever step this
            # was cancelled.
            exchange.answer.fail(still_running())

    async def _run_attempts(self, exchange: Exchange) -> None:
        replaces: AttemptId | None = None
        while not exchange.answer.finished:
            try:
                dispatch = await self.scheduling.admit(exchange.next_attempt_work())
            except ProblemError as error:
                await self._answer_refusal(exchange, error.problem)
                return
            replaces = await self._claim_and_run(exchange, dispatch, replaces)

    async def _claim_and_run(
        self, exchange: Exchange, dispatch: Dispatch, replaces: AttemptId | None
    ) -> AttemptId | None:
        """Claim and run one attempt; return the released attempt that the next one replaces."""
        request = exchange.request
        attempt = self.runner.create_attempt_id(exchange, dispatch)
        try:
            result = await self.claim_client.take(
                request.claim_key(), request.digest(), attempt, replaces
            )
        except BaseException:
            self.scheduling.finish(dispatch, AttemptOutcome.CANCELLED)
            raise
        if not result.granted:
            self.scheduling.finish(dispatch, AttemptOutcome.CANCELLED)
            return await self._on_existing_claim(exchange, result)
        ended = await self.runner.run_attempt(exchange, dispatch, attempt)
        return await self._record_attempt_end(exchange, attempt, ended)

    async def _record_attempt_end(
        self, exchange: Exchange, attempt: AttemptId, ended: AttemptResult
    ) -> AttemptId | None:
        """Record how the claimed attempt ended; return it if it was released."""
        key = exchange.request.claim_key()
        match ended.verdict:
            case Verdict.COMPLETED:
                self.start_soon(self._try_settle, exchange, attempt)
                return None
            case Verdict.NOT_RUN:
                record = (await self.claim_client.release(key, attempt)).record
            case _:
                assigned = ClaimRecord(key, exchange.request.digest(), ClaimState.ASSIGNED, attempt)
                record = await self._follow_claim(exchange, assigned)
        if record is None or record.state is not ClaimState.RELEASED:
            return self._answer_from_claim(exchange, record)
        if not await self._wait_for_replacement(exchange):
            exchange.verdict = Verdict.NOT_RUN
            exchange.answer.fail(interrupted(exchange, ended))
        return record.attempt

    async def _wait_for_replacement(self, exchange: Exchange) -> bool:
        """Wait for the retry delay; return ``False`` when no attempt may replace the released one."""
        failed = FailedAttempt(
            Verdict.NOT_RUN, exchange.attempts, False, exchange.request.deadline, released=True
        )
        delay_s = retry_delay_s(
            failed, self.runner.budget, self.runner.random, anyio.current_time()
        )
        if delay_s is None:
            return False
        await anyio.sleep(delay_s)
        return True

    async def _on_existing_claim(self, exchange: Exchange, result: ClaimResult) -> AttemptId | None:
        """Answer by the claim of an earlier send, or refuse a reused key."""
        if result.reused:
            exchange.answer.fail(key_reused())
            return None
        return await self._follow_and_answer(exchange, result.record)

    async def _follow_and_answer(
        self, exchange: Exchange, record: ClaimRecord | None
    ) -> AttemptId | None:
        """Follow the claim while it is assigned, then answer by its state."""
        if record is not None and record.state is ClaimState.ASSIGNED:
            record = await self._follow_claim(exchange, record)
        return self._answer_from_claim(exchange, record)

    def _answer_from_claim(
        self, exchange: Exchange, record: ClaimRecord | None
    ) -> AttemptId | None:
        """Answer by the claim's state; return a released attempt, which may be replaced."""
        match record:
            case ClaimRecord(state=ClaimState.RELEASED, attempt=attempt):
                return attempt
            case ClaimRecord(state=ClaimState.SETTLED, outcome=RecordedResponse() as outcome):
                self._replay_outcome(exchange, outcome)
            case ClaimRecord(state=ClaimState.ASSIGNED):
                exchange.answer.fail(still_running())
                self.start_soon(self._follow_abandoned, record, exchange.request.digest())
            case _:
                exchange.answer.fail(outcome_unknown())
        return None

    async def _follow_claim(self, exchange: Exchange, record: ClaimRecord) -> ClaimRecord:
        request = exchange.request
        return await self.claim_client.follow(record, request.digest(), request.deadline)

    async def _answer_refusal(self, exchange: Exchange, problem: Problem) -> None:
        """Refuse, unless an earlier send has an outcome or may still run."""
        request = exchange.request
        result = await self.claim_client.look_up(request.claim_key(), request.digest())
        if result.reused:
            exchange.answer.fail(key_reused())
        elif result.record is None or result.record.state is ClaimState.RELEASED:
            exchange.answer.fail(problem)
        else:
            await self._follow_and_answer(exchange, result.record)
            if not exchange.answer.finished:
                exchange.answer.fail(problem)

    async def look_up_refusal_verdict(self, request: CallerRequest) -> Verdict:
        """Return the verdict of a request that is refused before its key was claimed.

        ``NOT_RUN`` requires a look-up which shows that no earlier send holds the claim.
        """
        if self.look_up_count >= MAX_CONCURRENT_LOOK_UPS:
            return Verdict.MAY_HAVE_RUN
        self.look_up_count += 1
        try:
            result = await self.claim_client.look_up(request.claim_key(), request.digest())
        except ControlUnavailable:
            return Verdict.MAY_HAVE_RUN
        finally:
            self.look_up_count -= 1
        unclaimed = result.record is None or result.record.state is ClaimState.RELEASED
        return Verdict.NOT_RUN if unclaimed else Verdict.MAY_HAVE_RUN

    def _replay_outcome(self, exchange: Exchange, outcome: RecordedResponse) -> None:
        """Answer with the recorded outcome."""
        answer = exchange.answer
        if answer.status:
            answer.fail(outcome_unknown())
            return
        answer.begin(outcome.status, (*outcome.headers, REPLAYED_HEADER))
        answer.append(outcome.body, 0)
        answer.end()
        self.log.emit(events.CLAIM_REPLAYED, request_id=exchange.request.request_id)

    async def _follow_abandoned(self, record: ClaimRecord, digest: str) -> None:
        """Follow an attempt whose caller was already answered, to record its outcome."""
        with suppress(ControlUnavailable):
            deadline = anyio.current_time() + ABANDONED_FOLLOW_TIMEOUT_S
            await self.claim_client.follow(
                record, digest, deadline, unreachable_timeout_s=ABANDONED_FOLLOW_TIMEOUT_S
            )

    async def _try_settle(self, exchange: Exchange, attempt: AttemptId) -> None:
        """Record the outcome; if that fails, a resend learns it from the agent."""
        answer = exchange.answer
        body = b"".join(data for data, _ in answer.chunks)
        outcome = RecordedResponse(answer.status, answer.headers, body)
        try:
            await self.claim_client.settle(exchange.request.claim_key(), attempt, outcome)
        except ControlUnavailable:
            self.log.emit(
                events.CLAIM_UNSETTLED,
                request_id=attempt.request_id,
                endpoint=attempt.endpoint,
            )


def control_unavailable() -> Problem:
    """Return the problem of a request whose claim can't be read or written now.

    Without an attempt this send was not run, but an earlier send may have been.
    """
    return Problem(
        503,
        ProblemCode.CONTROL_UNAVAILABLE,
        "the claim on the idempotency key can't be confirmed; retry with the same key",
        Verdict.MAY_HAVE_RUN,
        retry=True,
        retry_after_s=RETRY_AFTER_S,
    )


def key_reused() -> Problem:
    """Return the problem of an idempotency key that was used for another request."""
    return Problem(
        409,
        ProblemCode.IDEMPOTENCY_KEY_REUSED,
        "the idempotency key was used for a different request; this request was not run",
    )


def still_running() -> Problem:
    """Return the problem of a request that still runs, or whose agent can't be reached."""
    return Problem(
        504,
        ProblemCode.INTERRUPTED,
        "the request may still be running; retry with the same key to get its answer",
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
