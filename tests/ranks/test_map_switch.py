"""No pass begins while two ranks have different maps, whichever answers are lost or delayed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

import anyio
import pytest
import trio
import trio.testing

from bergamotchute_daemon.ranks.map_switch import (
    MapSwitch,
    SwitchOutcome,
    abort_unfinished_switch,
    is_consistent,
)
from bergamotchute_model.node_messages import RankAction, RankStatus
from bergamotchute_model.packed_map import ExpertPlacement
from bergamotchute_policy.even_map_planner import initial_map

RANKS = 8
PASS_S = 0.06
COPY_S = 0.7
CALL_S = 0.005
PASSES_AHEAD = 3
ANSWER_TIMEOUT_S = 0.15
MAP = initial_map(6, RANKS, 64)


@dataclass
class LockStepGroup:
    """Ranks that begin passes together and don't compare their maps.

    :param late_share: fraction of the orders that get no answer and are carried out seconds later.
    :param lost_share: fraction of the orders that are carried out and whose answer is lost.
    :param statuses: the state of each rank.
    :param prepared_at: version of each rank's newest copy and when this copy is complete.
    :param mixed_passes: the passes that began while ranks had different maps.
    :param held_s: how long the group was held.
    :param fence: fence of the newest order sent.
    :param fences: the highest fence that each rank has accepted.
    :param seen_versions: the highest map version that each rank was ever ordered to prepare.
    """

    random: Random
    late_share: float = 0.0
    lost_share: float = 0.0
    step: int = 0
    statuses: dict[int, RankStatus] = field(default_factory=dict)
    prepared_at: dict[int, tuple[int, float]] = field(default_factory=dict)
    mixed_passes: list[int] = field(default_factory=list)
    held_s: float = 0.0
    fence: int = 0
    fences: dict[int, int] = field(default_factory=dict)
    seen_versions: dict[int, int] = field(default_factory=dict)
    tasks: anyio.abc.TaskGroup | None = None

    def __post_init__(self) -> None:
        for rank in range(RANKS):
            self.statuses[rank] = RankStatus("g0", rank, RANKS, 1, True, 0, 0, 0, None, None, None)

    async def run(self) -> None:
        """Begin the next pass at each interval unless this pass is held."""
        while True:
            await anyio.sleep(PASS_S)
            if any(status.held == self.step + 1 for status in self.statuses.values()):
                self.held_s += PASS_S
                continue
            self.step += 1
            for rank, previous in self.statuses.items():
                updated = replace(previous, step=self.step)
                if updated.armed is not None and updated.armed[1] == self.step:
                    updated = replace(updated, map_version=updated.armed[0], armed=None)
                self.statuses[rank] = updated
            if len({status.map_version for status in self.statuses.values()}) > 1:
                self.mixed_passes.append(self.step)

    def _carry_out(
        self, rank: int, action: RankAction, version: int, step: int, fence: int
    ) -> bool:
        if fence < self.fences.get(rank, 0):
            return False
        self.fences[rank] = fence
        status = self.statuses[rank]
        has_begun = step <= self.step
        if action is RankAction.PREPARE:
            if status.armed or version <= self.seen_versions.get(rank, 0):
                return False
            self.seen_versions[rank] = version
            self.prepared_at[rank] = (version, anyio.current_time() + COPY_S)
        elif action is RankAction.ARM:
            if has_begun or status.prepared != version:
                return False
            status = replace(status, armed=(version, step))
        elif action is RankAction.DISARM:
            if status.map_version == version:
                return False
            status = replace(status, armed=None)
        elif action is RankAction.HOLD:
            if has_begun or status.held not in (None, step):
                return False
            status = replace(status, held=step)
        elif action is RankAction.GO and status.held == step:
            status = replace(status, held=None)
        self.statuses[rank] = status
        return True

    async def _carry_out_late(
        self, rank: int, action: RankAction, version: int, step: int, fence: int
    ) -> None:
        await anyio.sleep(2 + 10 * self.random.random())
        self._carry_out(rank, action, version, step, fence)

    def known_status(self, rank: int) -> RankStatus | None:
        return None

    async def send_order(
        self, rank: int, action: RankAction, version: int, step: int, experts: ExpertPlacement
    ) -> RankStatus | None:
        await anyio.sleep(CALL_S)
        accepted: bool | None = True
        if action is not RankAction.READ:
            draw = self.random.random()
            self.fence += 1
            fence = self.fence
            if draw < self.late_share:
                assert self.tasks is not None
                self.tasks.start_soon(self._carry_out_late, rank, action, version, step, fence)
                await anyio.sleep(ANSWER_TIMEOUT_S)
                accepted = None
            else:
                accepted = self._carry_out(rank, action, version, step, fence)
                if draw < self.late_share + self.lost_share:
                    await anyio.sleep(ANSWER_TIMEOUT_S)
                    accepted = None
        copy = self.prepared_at.get(rank)
        if copy is not None and copy[1] <= anyio.current_time():
            self.statuses[rank] = replace(self.statuses[rank], prepared=copy[0])
        return replace(self.statuses[rank], accepted=accepted)


def run_switches(
    group: LockStepGroup,
    seconds: float,
    passes_ahead: Callable[[bool], int] = lambda _: PASSES_AHEAD,
) -> list[SwitchOutcome]:
    """Switch maps repeatedly, as a commander does, for a time; return the results."""
    outcomes: list[SwitchOutcome] = []

    async def command() -> None:
        version = 0
        while True:
            version += 1
            outcome = await MapSwitch(tuple(range(RANKS)), version, MAP, passes_ahead).run(group)
            outcomes.append(outcome)
            statuses = {rank: group.statuses[rank] for rank in range(RANKS)}
            if not is_consistent(statuses):
                await abort_unfinished_switch(group, statuses, 1000)
            await anyio.sleep(0.25)

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            group.tasks = tasks
            tasks.start_soon(group.run)
            with anyio.move_on_after(seconds):
                await command()
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return outcomes


def test_a_group_without_faults_switches_without_being_held() -> None:
    group = LockStepGroup(Random(1))
    outcomes = run_switches(group, 30.0)
    assert set(outcomes) == {SwitchOutcome.SWITCHED}
    assert len(outcomes) > 15
    assert not group.mixed_passes
    assert group.held_s < 0.001 * 30.0


@pytest.mark.parametrize("seed", range(12))
def test_late_orders_never_lead_to_mixed_maps(seed: int) -> None:
    group = LockStepGroup(Random(seed), late_share=0.35)
    outcomes = run_switches(group, 60.0)
    assert not group.mixed_passes
    assert SwitchOutcome.SWITCHED in outcomes


def test_most_switches_succeed_while_a_third_of_the_orders_get_no_answer() -> None:
    """Guards against switches that are given up too early.

    Runners leave orders unanswered for many seconds, while demand continues to change.
    """
    outcomes = [
        outcome
        for seed in range(6)
        for outcome in run_switches(LockStepGroup(Random(seed), late_share=0.35), 60.0)
    ]
    assert outcomes.count(SwitchOutcome.SWITCHED) > 0.9 * len(outcomes)


@pytest.mark.parametrize("seed", range(6))
def test_lost_answers_never_lead_to_mixed_maps(seed: int) -> None:
    group = LockStepGroup(Random(seed), lost_share=0.4)
    outcomes = run_switches(group, 60.0)
    assert not group.mixed_passes
    assert SwitchOutcome.SWITCHED in outcomes


@pytest.mark.parametrize("dies_at", [0.02, 0.7, 0.75, 0.78, 0.8, 0.82, 0.85, 0.9])
def test_a_successor_aborts_the_switch_of_a_dead_commander(dies_at: float) -> None:
    group = LockStepGroup(Random(3))

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            group.tasks = tasks
            tasks.start_soon(group.run)
            with anyio.move_on_after(dies_at):
                await MapSwitch(tuple(range(RANKS)), 1, MAP, lambda _: PASSES_AHEAD).run(group)
            await anyio.sleep(0.5)
            statuses = {}
            for rank in range(RANKS):
                status = await group.send_order(rank, RankAction.READ, 0, 0, ())
                assert status is not None
                statuses[rank] = status
            assert await abort_unfinished_switch(group, statuses, 1000)
            earlier_step = group.step
            await anyio.sleep(0.5)
            assert group.step > earlier_step
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert not group.mixed_passes
    assert {status.held for status in group.statuses.values()} == {None}


@pytest.mark.parametrize("seed", range(40))
def test_a_successor_recovers_without_the_rank_of_a_frozen_commander(seed: int) -> None:
    """Guards against mixed maps after the commander's VM froze during a switch.

    The successor can't reach the frozen commander's own rank, which is armed after all others.
    """
    random = Random(seed)
    group = LockStepGroup(random, late_share=0.15, lost_share=0.1)
    freezes_at = 0.7 + 0.6 * random.random()

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            group.tasks = tasks
            tasks.start_soon(group.run)
            with anyio.move_on_after(freezes_at):
                await MapSwitch(tuple(range(RANKS)), 1, MAP, lambda _: PASSES_AHEAD).run(group)
            await anyio.sleep(0.3)
            while True:
                others = {}
                for rank in range(RANKS - 1):
                    status = await group.send_order(rank, RankAction.READ, 0, 0, ())
                    assert status is not None
                    others[rank] = status
                if is_consistent(others) or all(status.armed for status in others.values()):
                    break
                await abort_unfinished_switch(group, others, 1)
            await anyio.sleep(15)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert not group.mixed_passes


def test_a_copy_whose_acknowledgement_was_lost_does_not_end_the_switch() -> None:
    """A rank that copies already refuses the repeated order, as it knows the version.

    Load pattern: links lose packets, so answers of several ranks come too late in each switch.
    """
    group = LockStepGroup(Random(4), lost_share=0.15)
    outcomes = run_switches(group, 60.0)
    assert SwitchOutcome.NOT_PREPARED not in outcomes
    assert outcomes.count(SwitchOutcome.SWITCHED) > 20
    assert not group.mixed_passes


def test_a_later_pass_is_held_when_orders_get_no_answer() -> None:
    """The group stands still from the held pass until the last rank is armed.

    Load pattern: a quarter of the orders is carried out seconds later, so nearly every
    switch meets some in its first stage.
    """
    held_s = {}
    for extra_passes in (0, 10):
        group = LockStepGroup(Random(2), late_share=0.25)
        outcomes = run_switches(group, 60.0, lambda late, n=extra_passes: PASSES_AHEAD + late * n)  # type: ignore[misc]
        held_s[extra_passes] = group.held_s / outcomes.count(SwitchOutcome.SWITCHED)
    assert held_s[10] < 0.5 * held_s[0]
    assert held_s[10] < PASS_S
