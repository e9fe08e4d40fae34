"""Starts each planned change once, when it is due."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime
from random import Random

import anyio

from bergamotchute_daemon.claim_client import ProposeCommand
from bergamotchute_daemon.configuration_holder import ConfigurationHolder
from bergamotchute_daemon.control_client import ControlUnavailable
from bergamotchute_daemon.event_log import EventLog, WallClock
from bergamotchute_daemon.view_holder import ViewHolder
from bergamotchute_model import events
from bergamotchute_model.commands import (
    DecisionResult,
    FenceGranted,
    IssueFence,
    RecordDecision,
)
from bergamotchute_model.configuration import Configuration
from bergamotchute_model.operator_file import PlannedChange

CHECK_INTERVAL_S = 1.0
"""Average interval of the checks for due changes; each is varied at random."""

PROPOSE_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class PlannedChangeController:
    """Starts a planned change by a quorum decision, which itself puts the change in force.

    Several controllers may run at the same time: a change has one decision, written under the
    newest fencing number of its name, so it starts once even if its controller fails half-way.

    :param wall_us: returns the wall-clock time in microseconds.
    :param fence_holder: name under which fencing numbers are acquired: the process and its
        incarnation.
    """

    holder: ConfigurationHolder
    view: ViewHolder
    propose: ProposeCommand
    wall_us: WallClock
    random: Random
    log: EventLog
    fence_holder: str

    async def run(self) -> None:
        """Start due changes until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S * (0.5 + self.random.random()))
            if not self.view.is_confirmed(anyio.current_time()):
                continue
            now = datetime.fromtimestamp(self.wall_us() / 1e6, UTC)
            for change in due_changes(self.holder.configuration, now):
                await self._start_change(change)

    async def _start_change(self, change: PlannedChange) -> None:
        """Start a change; without an answer it is retried at the next check."""
        try:
            has_begun = await self._propose_start(change)
        except ControlUnavailable:
            return
        if has_begun:
            self.log.emit(events.PLANNED_CHANGE_BEGUN, change=change.name, at=change.at.isoformat())

    async def _propose_start(self, change: PlannedChange) -> bool:
        """Propose the start of a change; return whether this proposal was accepted.

        :raises ControlUnavailable: when no answer arrived in time.
        """
        name = change.decision_name
        current = self.view.decisions.get(name)
        version = current.version if current else 0
        grant_id = f"{change.at.isoformat()}/{version}"
        fence = await self.propose(IssueFence(name, self.fence_holder, grant_id), PROPOSE_TIMEOUT_S)
        assert isinstance(fence, FenceGranted)
        decision = RecordDecision(name, fence.number, version, change.decision_value)
        result = await self.propose(decision, PROPOSE_TIMEOUT_S)
        assert isinstance(result, DecisionResult)
        return result.granted


def due_changes(configuration: Configuration, now: datetime) -> list[PlannedChange]:
    """Return the planned changes that are due and have not started, ordered by time."""
    due = [
        change
        for change in configuration.planned_changes
        if change.at <= now and change.name not in configuration.begun_changes
    ]
    return sorted(due, key=lambda change: (change.at, change.name))
