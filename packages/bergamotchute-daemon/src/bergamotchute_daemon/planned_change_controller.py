"""Begins planned changes at their time, each once."""

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
    NextFence,
    RecordDecision,
)
from bergamotchute_model.configuration import Configuration
from bergamotchute_model.operator_file import PlannedChange

CHECK_S = 1.0
"""About how often the time of the planned changes is looked at."""

PROPOSE_BOUND_S = 5.0


@dataclass(frozen=True)
class PlannedChangeController:
    """Has the quorum decide that a change begins; the decision itself is the beginning.

    Any number of these may run: a change has one decision, written under the newest fencing number
    of its name, so that it begins once, also when its controller dies half-way.

    :param fence_holder: this process and its life, as the holder of fencing numbers.
    """

    holder: ConfigurationHolder
    view: ViewHolder
    propose: ProposeCommand
    wall_us: WallClock
    random: Random
    log: EventLog
    fence_holder: str

    async def run(self) -> None:
        """Begin what is due, until cancelled."""
        while True:
            await anyio.sleep(CHECK_S * (0.5 + self.random.random()))
            if not self.view.is_confirmed(anyio.current_time()):
                continue
            now = datetime.fromtimestamp(self.wall_us() / 1e6, UTC)
            for change in due_changes(self.holder.configuration, now):
                await self._start_change(change)

    async def _start_change(self, change: PlannedChange) -> None:
        """Begin a change; without an answer it is tried again at the next look."""
        try:
            begun = await self._begin(change)
        except ControlUnavailable:
            return
        if begun:
            self.log.emit(events.PLANNED_CHANGE_BEGUN, change=change.name, at=change.at.isoformat())

    async def _begin(self, change: PlannedChange) -> bool:
        """Have the beginning decided; return whether it was, by this proposal.

        :raises ControlUnavailable: when no answer came in time.
        """
        name = change.decision_name
        present = self.view.decisions.get(name)
        version = present.version if present else 0
        grant = f"{change.at.isoformat()}/{version}"
        fence = await self.propose(NextFence(name, self.fence_holder, grant), PROPOSE_BOUND_S)
        assert isinstance(fence, FenceGranted)
        decision = RecordDecision(name, fence.number, version, change.decision_value)
        result = await self.propose(decision, PROPOSE_BOUND_S)
        assert isinstance(result, DecisionResult)
        return result.granted


def due_changes(configuration: Configuration, now: datetime) -> list[PlannedChange]:
    """Return the planned changes whose time has come and that have not begun, by their time."""
    due = [
        change
        for change in configuration.planned_changes
        if change.at <= now and change.name not in configuration.begun
    ]
    return sorted(due, key=lambda change: (change.at, change.name))
