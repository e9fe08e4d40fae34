"""A planned change begins at its time and once, whoever proposes it and whoever dies."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from random import Random

import anyio
import pytest
import trio
from trio.testing import MockClock

from bergamotchute_daemon.configuration_holder import ConfigurationHolder
from bergamotchute_daemon.control_client import ControlUnavailable
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.planned_change_controller import PlannedChangeController
from bergamotchute_daemon.view_holder import ViewHolder
from bergamotchute_model.commands import ApplyFile, Command, CommandResult, RecordDecision
from bergamotchute_model.control_messages import LeaseGrant, ViewDelta
from bergamotchute_model.membership import Role
from bergamotchute_state.control_state import ControlState

FILE = "file: changes\nnumber: %d\nplanned_changes: [{name: swap, at: %s, drain: {vm: vm-7}}]"
START_US = 1_800_000_000_000_000  # 2027-01-15T08:00:00Z


@dataclass
class Deployment:
    """A control state and the processes that look at it, without links between them.

    :param lost: how many of the next answers to decisions are lost after they were applied.
    """

    state: ControlState = field(default_factory=ControlState)
    controllers: list[PlannedChangeController] = field(default_factory=list)
    written: list[RecordDecision] = field(default_factory=list)
    lost: int = 0

    def add(self, name: str) -> PlannedChangeController:
        log = EventLog(name, Role.ENTRY, "life", lambda: START_US)
        view, holder = ViewHolder(), ConfigurationHolder(log)
        controller = PlannedChangeController(
            holder, view, self.propose, self.wall_us, Random(name), log, name
        )
        self.controllers.append(controller)
        self.tell()
        return controller

    def wall_us(self) -> int:
        return START_US + round(anyio.current_time() * 1e6)

    def apply_file(self, number: int, at: str) -> None:
        text = FILE % (number, at)
        digest = hashlib.sha256(text.encode()).hexdigest()
        self.state.apply(ApplyFile("changes", number, text, digest), self.state.revision + 1)
        self.tell()

    async def propose(self, command: Command, bound_s: float) -> CommandResult:
        await anyio.sleep(0.01)
        result = self.state.apply(command, self.state.revision + 1)
        if isinstance(command, RecordDecision) and result.granted:
            self.written.append(command)
        await anyio.sleep(0.01)
        self.tell()
        if isinstance(command, RecordDecision) and self.lost:
            self.lost -= 1
            raise ControlUnavailable("record_decision")
        return result

    def tell(self) -> None:
        revision = self.state.view_revision
        for controller in self.controllers:
            view = controller.view
            view.on_delta(ViewDelta(0, revision, self.state.whole_view()))
            view.on_grant(LeaseGrant(1, 1e9, revision), 0.0)
            controller.holder.on_view_change(view)

    def drains(self) -> list[bool]:
        return [
            one.holder.configuration.is_draining("runner-1", "vm-7", "milano-a")
            for one in self.controllers
        ]


def run_for(deployment: Deployment, *seconds: float) -> list[list[bool]]:
    """Run all controllers and return who drains after each time."""
    seen: list[list[bool]] = []

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            for controller in deployment.controllers:
                tasks.start_soon(controller.run)
            for until in seconds:
                await anyio.sleep(until - anyio.current_time())
                seen.append(deployment.drains())
            tasks.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    return seen


@pytest.mark.parametrize("lost", [0, 1, 3])
def test_a_change_begins_at_its_time_and_once(lost: int) -> None:
    deployment = Deployment(lost=lost)
    for name in ("entry-1", "entry-2", "entry-3"):
        deployment.add(name)
    deployment.apply_file(1, "2027-01-15T08:01:00Z")
    before, after, later = run_for(deployment, 59.9, 63.0, 200.0)
    assert before == [False] * 3
    assert after == later == [True] * 3
    assert len(deployment.written) == 1


def test_another_takes_over_from_one_that_died_between_fence_and_decision() -> None:
    deployment = Deployment()
    first = deployment.add("entry-1")
    deployment.apply_file(1, "2027-01-15T08:00:00Z")

    async def die() -> None:
        with anyio.move_on_after(0.015):
            await first._start_change(first.holder.configuration.planned_changes[0])

    trio.run(die, clock=MockClock(autojump_threshold=0))
    assert deployment.state.fences.number("planned-change/swap") == 1
    deployment.controllers.remove(first)
    deployment.add("entry-2")
    assert run_for(deployment, 5.0) == [[True]]
    assert [command.fence for command in deployment.written] == [2]


def test_a_change_that_is_given_a_new_time_has_yet_to_begin() -> None:
    deployment = Deployment()
    deployment.add("entry-1")
    deployment.apply_file(1, "2027-01-15T08:00:00Z")
    assert run_for(deployment, 5.0) == [[True]]
    deployment.apply_file(2, "2027-01-15T08:01:00Z")
    assert run_for(deployment, 59.0, 63.0) == [[False], [True]]
    assert len(deployment.written) == 2


def test_a_process_whose_view_is_not_confirmed_begins_nothing() -> None:
    deployment = Deployment()
    controller = deployment.add("entry-1")
    deployment.apply_file(1, "2027-01-15T08:00:00Z")
    controller.view.lease_expires_at = 0.0
    assert run_for(deployment, 60.0) == [[False]]
