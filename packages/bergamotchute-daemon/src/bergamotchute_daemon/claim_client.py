"""An entry's client for claims: sends claim commands to the quorum and queries agents."""

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
    RecordedResponse,
    ReleaseClaim,
    SettleClaim,
    TakeClaim,
)
from bergamotchute_model.identifiers import AttemptId, ClaimKey

CLAIM_TIMEOUT_S = 8.0
"""Timeout of a claim command; after it the request fails."""

SETTLE_TIMEOUT_S = 30.0
"""How long an entry tries to record an outcome."""

FOLLOW_DELAY_S = 0.3
"""Delay before a resend queries the agent.

A query bars an attempt that hasn't arrived; the delay lets the attempt of a new claim arrive first.
"""

FOLLOW_POLL_INTERVAL_S = 0.25

UNREACHABLE_TIMEOUT_S = 6.0
"""How long an agent may be unreachable before its caller is answered."""

QUERY_TIMEOUT_S = 2.0

ProposeCommand: TypeAlias = Callable[[Command, float], Awaitable[CommandResult]]

QueryAgent: TypeAlias = Callable[[AttemptId, float], Awaitable[AttemptReport | None]]
"""Queries the agent of an attempt with a timeout in seconds; ``None`` when it is unreachable.

Reports :attr:`AttemptState.FORGOTTEN` when that incarnation of the agent has ended.
"""


@dataclass(frozen=True)
class ClaimClient:
    """Takes, releases and settles claims, and follows the claims of earlier sends.

    :param propose: commits a command within a timeout in seconds; raises
        :exc:`ControlUnavailable`.
    :param query_agent: returns the state of an attempt.
    """

    propose: ProposeCommand
    query_agent: QueryAgent
    log: EventLog

    async def take(
        self, key: ClaimKey, digest: str, attempt: AttemptId, replaces: AttemptId | None
    ) -> ClaimResult:
        """Request the right to run ``attempt``.

        :raises ControlUnavailable: when no answer arrived in time; the claim may have been granted.
        """
        result = await self._propose_claim(
            TakeClaim(key, digest, attempt, replaces), CLAIM_TIMEOUT_S
        )
        if result.granted:
            self._emit_claim_event(events.CLAIM_TAKEN, attempt)
        return result

    async def look_up(self, key: ClaimKey, digest: str) -> ClaimResult:
        """Return the state of the claim.

        :raises ControlUnavailable: when no answer arrived in time.
        """
        return await self._propose_claim(LookUpClaim(key, digest), CLAIM_TIMEOUT_S)

    async def release(self, key: ClaimKey, attempt: AttemptId) -> ClaimResult:
        """Record that an attempt provably did not run.

        :raises ControlUnavailable: when no answer arrived in time.
        """
        result = await self._propose_claim(ReleaseClaim(key, attempt), CLAIM_TIMEOUT_S)
        self._emit_claim_event(events.CLAIM_RELEASED, attempt)
        return result

    async def settle(
        self, key: ClaimKey, attempt: AttemptId, outcome: RecordedResponse | None
    ) -> ClaimResult:
        """Record an outcome, or that the attempt may have run.

        :raises ControlUnavailable: when no answer arrived in time.
        """
        result = await self._propose_claim(SettleClaim(key, attempt, outcome), SETTLE_TIMEOUT_S)
        self._emit_claim_event(events.CLAIM_SETTLED, attempt, known=outcome is not None)
        return result

    async def follow(
        self,
        record: ClaimRecord,
        digest: str,
        deadline: float,
        unreachable_timeout_s: float = UNREACHABLE_TIMEOUT_S,
    ) -> ClaimRecord:
        """Follow the attempt of an assigned claim until the claim is no longer assigned.

        The attempt may belong to another entry, which may have failed. Therefore its agent is queried
        and what the agent reports is recorded.

        :param deadline: when to stop following, on the runtime's clock.
        :param unreachable_timeout_s: how long to continue without a report of the agent, in seconds.
        :returns: the last known state of the claim.
        :raises ControlUnavailable: when an outcome couldn't be recorded.
        """
        await anyio.sleep(FOLLOW_DELAY_S)
        reported_at = anyio.current_time()
        while record.state is ClaimState.ASSIGNED and anyio.current_time() < deadline:
            report = await self.query_agent(record.attempt, QUERY_TIMEOUT_S)
            if report is not None:
                reported_at = anyio.current_time()
            elif anyio.current_time() - reported_at > unreachable_timeout_s:
                return record
            if report is None or report.state is AttemptState.RUNNING:
                await anyio.sleep(FOLLOW_POLL_INTERVAL_S)
                result = await self.look_up(record.key, digest)
            else:
                result = await self.record_report(record.key, report)
            record = result.record or record
        return record

    async def record_report(self, key: ClaimKey, report: AttemptReport) -> ClaimResult:
        """Record an agent's report on an attempt that isn't running.

        :raises ControlUnavailable: when no answer arrived in time.
        """
        match report.state:
            case AttemptState.BARRED:
                return await self.release(key, report.attempt)
            case AttemptState.COMPLETED:
                outcome = RecordedResponse(report.status, report.headers, report.body)
                return await self.settle(key, report.attempt, outcome)
            case _:
                return await self.settle(key, report.attempt, None)

    async def _propose_claim(self, command: Command, timeout_s: float) -> ClaimResult:
        result = await self.propose(command, timeout_s)
        if not isinstance(result, ClaimResult):
            raise ControlUnavailable(f"expected a claim result, got {result.kind}")
        return result

    def _emit_claim_event(
        self, kind: events.EventKind, attempt: AttemptId, known: bool = True
    ) -> None:
        self.log.emit(
            kind,
            request_id=attempt.request_id,
            endpoint=attempt.endpoint,
            attempt=attempt.number,
            known=known,
        )
