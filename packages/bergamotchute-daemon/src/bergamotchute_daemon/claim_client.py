"""An entry's side of claims: what the quorum says about a key, and what the agents know."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeAlias

import anyio

from bergamotchute_daemon.control_client import ControlUnavailable
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_model.attempt_messages import AttemptReport, AttemptState
from bergamotchute_model.commands import (
    ClaimRecord,
    ClaimResult,
    ClaimState,
    Command,
    CommandResult,
    LookUpClaim,
    Outcome,
    ReleaseClaim,
    SettleClaim,
    TakeClaim,
)
from bergamotchute_model.identifiers import AttemptId, ClaimKey

CLAIM_BOUND_S = 8.0
"""How long a claim may take before its request is given up."""

SETTLE_BOUND_S = 30.0
"""How long an entry tries to have an outcome recorded."""

JOIN_GRACE_S = 0.3
"""How long a resend waits before it asks the agent, so that a claim just taken can be used."""

JOIN_POLL_S = 0.25

UNREACHED_S = 6.0
"""How long an agent that can't be asked is waited for before its caller is told."""

QUERY_BOUND_S = 2.0

ProposeCommand: TypeAlias = Callable[[Command, float], Awaitable[CommandResult]]

QueryAgent: TypeAlias = Callable[[AttemptId, float], Awaitable[AttemptReport | None]]
"""Asks the agent that was given an attempt, for so many seconds; ``None`` when it can't be asked.

Reports :attr:`AttemptState.FORGOTTEN` when that life of the agent is over.
"""


@dataclass(frozen=True)
class ClaimClient:
    """Takes, releases and settles claims, and follows those of earlier sendings.

    :param propose: has a command committed within a bound; raises :exc:`ControlUnavailable`.
    :param query_agent: asks what became of an attempt.
    """

    propose: ProposeCommand
    query_agent: QueryAgent
    log: EventLog

    async def take(
        self, key: ClaimKey, digest: str, attempt: AttemptId, replaces: AttemptId | None
    ) -> ClaimResult:
        """Ask for the right to run ``attempt``.

        :raises ControlUnavailable: when no answer came in time; the claim may stand.
        """
        result = await self._claim(TakeClaim(key, digest, attempt, replaces), CLAIM_BOUND_S)
        if result.granted:
            self._emit(events.CLAIM_TAKEN, attempt)
        return result

    async def look_up(self, key: ClaimKey, digest: str) -> ClaimResult:
        """Return how the claim stands.

        :raises ControlUnavailable: when no answer came in time.
        """
        return await self._claim(LookUpClaim(key, digest), CLAIM_BOUND_S)

    async def release(self, key: ClaimKey, attempt: AttemptId) -> ClaimResult:
        """Record the proof that an attempt did not run.

        :raises ControlUnavailable: when no answer came in time.
        """
        result = await self._claim(ReleaseClaim(key, attempt), CLAIM_BOUND_S)
        self._emit(events.CLAIM_RELEASED, attempt)
        return result

    async def settle(
        self, key: ClaimKey, attempt: AttemptId, outcome: Outcome | None
    ) -> ClaimResult:
        """Record an outcome, or that the attempt may have run.

        :raises ControlUnavailable: when no answer came in time.
        """
        result = await self._claim(SettleClaim(key, attempt, outcome), SETTLE_BOUND_S)
        self._emit(events.CLAIM_SETTLED, attempt, known=outcome is not None)
        return result

    async def follow(
        self,
        record: ClaimRecord,
        digest: str,
        until: float,
        unreached_s: float = UNREACHED_S,
    ) -> ClaimRecord:
        """Follow the attempt of an assigned claim until the claim is no longer assigned.

        The attempt may be another entry's, alive or dead: its agent is asked, and what the agent
        proves is recorded.

        :param until: when to give up, on the runtime's clock.
        :param unreached_s: how long to go on without a word of the agent, in seconds.
        :returns: the claim as it stands at last.
        :raises ControlUnavailable: when an outcome couldn't be recorded.
        """
        await anyio.sleep(JOIN_GRACE_S)
        heard_at = anyio.current_time()
        while record.state is ClaimState.ASSIGNED and anyio.current_time() < until:
            report = await self.query_agent(record.attempt, QUERY_BOUND_S)
            if report is not None:
                heard_at = anyio.current_time()
            elif anyio.current_time() - heard_at > unreached_s:
                return record
            if report is None or report.state is AttemptState.RUNNING:
                await anyio.sleep(JOIN_POLL_S)
                result = await self.look_up(record.key, digest)
            else:
                result = await self.record_report(record.key, report)
            record = result.record or record
        return record

    async def record_report(self, key: ClaimKey, report: AttemptReport) -> ClaimResult:
        """Record what an agent reported of an attempt that isn't running.

        :raises ControlUnavailable: when no answer came in time.
        """
        match report.state:
            case AttemptState.BARRED:
                return await self.release(key, report.attempt)
            case AttemptState.COMPLETED:
                outcome = Outcome(report.status, report.headers, report.body)
                return await self.settle(key, report.attempt, outcome)
            case _:
                return await self.settle(key, report.attempt, None)

    async def _claim(self, command: Command, bound_s: float) -> ClaimResult:
        result = await self.propose(command, bound_s)
        if not isinstance(result, ClaimResult):
            raise ControlUnavailable(f"unexpected result {result.kind}")
        return result

    def _emit(self, kind: events.EventKind, attempt: AttemptId, known: bool = True) -> None:
        self.log.emit(
            kind,
            request_id=attempt.request_id,
            endpoint=attempt.endpoint,
            attempt=attempt.number,
            known=known,
        )
