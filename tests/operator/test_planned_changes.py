"""A planned change begins at its time and exactly once.

Several processes propose it; results may be lost, and a proposer may stop between the fence and the
decision.
"""

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
from bergamotchute_model.membership import ProcessRole
from bergamotchute_state.control_state import ControlState

FILE_TEMPLATE = (
    "file: changes\nnumber: %d\nplanned_changes: [{name: swap, at: %s, drain: {vm: vm-7}}]"
)
START_US = 1_800_000_000_000_000  # 2027-01-15T08:00:00Z


@dataclass
class Deployment:
    """A control state and the controllers that use it, without links between them.

    :param recorded_decisions: decisions that were recorded, in order.
    :param lost_result_count: count of upcoming decisions whose result is lost after they are
        applied.
    """

    state: ControlState = field(default_factory=ControlState)
    controllers: list[PlannedChangeController] = field(default_factory=list)
    recorded_decisions: list[RecordDecision] = field(default_factory=list)
    lost_result_count: int = 0

    def add_controller(self, name: str) -> PlannedChangeController:
        log = EventLog(name, ProcessRole.ENTRY, "incarnation-1", lambda: START_US)
        view, holder = ViewHolder(), ConfigurationHolder(log)
        controller = PlannedChangeController(
            holder, view, self.propose, self.wall_us, Random(name), log, name
        )
        self.controllers.append(controller)
        self.distribute_view()
        return controller

    def wall_us(self) -> int:
        return START_US + round(anyio.current_time() * 1e6)

    def apply_file(self, number: int, at: str) -> None:
        text = FILE_TEMPLATE % (number, at)
        digest = hashlib.sha256(text.encode()).hexdigest()
        self.state.apply(ApplyFile("changes", number, text, digest), self.state.revision + 1)
        self.distribute_view()

    async def propose(self, command: Command, bound_s: float) -> CommandResult:
        await anyio.sleep(0.01)
        result = self.state.apply(command, self.state.revision + 1)
        if isinstance(command, RecordDecision) and result.granted:
            self.recorded_decisions.append(command)
        await anyio.sleep(0.01)
        self.distribute_view()
        if isinstance(command, RecordDecision) and self.lost_result_count:
            self.lost_result_count -= 1
            raise ControlUnavailable("record_decision")
        return result

    def distribute_view(self) -> None:
        revision = self.state.view_revision
        for controller in self.controllers:
            view = controller.view
            view.on_delta(ViewDelta(0, revision, self.state.whole_view()))
            view.on_grant(LeaseGrant(1, 1e9, revision), 0.0)
            controller.holder.on_view_change(view)

    def drains(self) -> list[bool]:
        return [
            controller.holder.configuration.is_draining("runner-1", "vm-7", "milano-a")
            for controller in self.controllers
        ]


def run_for(deployment: Deployment, *seconds: float) -> list[list[bool]]:
    """Run all controllers; return which of them see the drain after each time.

    :param seconds: times since the start.
    """
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


@pytest.mark.parametrize("lost_result_count", [0, 1, 3])
def test_change_begins_at_its_time_and_once(lost_result_count: int) -> None:
    deployment = Deployment(lost_result_count=lost_result_count)
    for name in ("entry-1", "entry-2", "entry-3"):
        deployment.add_controller(name)
    deployment.apply_file(1, "2027-01-15T08:01:00Z")
    before, after, later = run_for(deployment, 59.9, 63.0, 200.0)
    assert before == [False] * 3
    assert after == later == [True] * 3
    assert len(deployment.recorded_decisions) == 1


def test_another_process_begins_a_change_whose_proposer_stopped_after_the_fence() -> None:
    deployment = Deployment()
    first = deployment.add_controller("entry-1")
    deployment.apply_file(1, "2027-01-15T08:00:00Z")

    async def stop_after_fence() -> None:
        with anyio.move_on_after(0.015):
            await first._start_change(first.holder.configuration.planned_changes[0])

    trio.run(stop_after_fence, clock=MockClock(autojump_threshold=0))
    assert deployment.state.fences.number("planned-change/swap") == 1
    deployment.controllers.remove(first)
    deployment.add_controller("entry-2")
    assert run_for(deployment, 5.0) == [[True]]
    assert [command.fence for command in deployment.recorded_decisions] == [2]


def test_rescheduled_change_begins_again_at_its_new_time() -> None:
    deployment = Deployment()
    deployment.add_controller("entry-1")
    deployment.apply_file(1, "2027-01-15T08:00:00Z")
    assert run_for(deployment, 5.0) == [[True]]
    deployment.apply_file(2, "2027-01-15T08:01:00Z")
    assert run_for(deployment, 59.0, 63.0) == [[False], [True]]
    assert len(deployment.recorded_decisions) == 2


def test_process_without_a_view_lease_begins_no_change() -> None:
    deployment = Deployment()
    controller = deployment.add_controller("entry-1")
    deployment.apply_file(1, "2027-01-15T08:00:00Z")
    controller.view.lease_expires_at = 0.0
    assert run_for(deployment, 60.0) == [[False]]
