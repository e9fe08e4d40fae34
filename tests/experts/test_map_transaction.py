"""All ranks use the same map in every step, despite restarts and lost or repeated messages."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from bergamotchute_model.rank_messages import NO_STEP
from bergamotchute_policy.map_rank import MapRank, RankAction, RankEvent
from bergamotchute_policy.map_transaction import (
    CoordinatorAction,
    EndReason,
    MapCoordinator,
    Phase,
    StepHeld,
)
from support.rank_world import FakeLog, RankWorld
from support.step_checker import StepBegun, faults

RANKS = 3
RANDOM_RUNS = 150
ACTIONS_PER_ROUND = 160


def epochs_used(world: RankWorld) -> set[int]:
    return {begun.epoch for begun in world.history}


def newest_begun_step(world: RankWorld) -> int:
    return max(begun.step for begun in world.history)


def check_recovery(world: RankWorld) -> None:
    """Assert that the group takes further steps and a new map once faults have ended."""
    world.flying.clear()
    number = world.start_coordinator()
    world.settle(30)
    step_before = newest_begun_step(world) if world.history else NO_STEP
    epoch = world.log.record.epoch if world.log.record is not None else 0
    world.propose(number)
    world.settle(30)
    assert world.log.record is not None
    assert world.log.record.epoch == epoch + 1
    assert world.history[-1].epoch == epoch + 1
    assert newest_begun_step(world) > step_before


def test_change_reaches_every_rank_without_stalling() -> None:
    world = RankWorld(RANKS)
    number = world.start()
    world.propose(number)
    world.settle(30)
    assert [ended.reason for ended in world.ended] == [EndReason.COMMITTED] * 2
    assert epochs_used(world) == {1, 2}
    assert faults(world.history) == []
    assert world.coordinators[number].phase is Phase.IDLE


def test_second_change_is_refused_while_one_is_open() -> None:
    world = RankWorld(RANKS)
    number = world.start()
    world.propose(number)
    world.propose(number)
    assert world.ended[-1].reason is EndReason.BUSY
    world.settle()
    assert world.log.record is not None
    assert world.log.record.epoch == 2


def test_old_coordinator_is_fenced_out_during_a_partition() -> None:
    world = RankWorld(RANKS)
    old_number = world.start()
    world.propose(old_number)
    for _ in range(RANKS):
        world.deliver(0)
    old_fence = world.coordinators[old_number].fence
    records_before = len(world.log.records)
    new_number = world.start_coordinator(others_die=False)
    world.settle(10)
    for record in world.log.records[records_before:]:
        assert (record.aborted or record.change).fence > old_fence
    assert world.log.fence > old_fence
    assert faults(world.history) == []
    world.coordinators.pop(old_number)
    world.settle(10)
    world.propose(new_number)
    world.settle(20)
    assert world.history[-1].epoch == world.coordinators[new_number].epoch > 1


def test_rank_without_the_decision_stalls_at_the_switch_step() -> None:
    world = RankWorld(RANKS)
    number = world.start()
    world.propose(number)
    while world.coordinators[number].phase is not Phase.TELLING:
        world.deliver(0)
    world.flying = [
        envelope for envelope in world.flying if (envelope.to, envelope.number) != ("rank", 1)
    ]
    for _ in range(60):
        for rank in range(RANKS):
            world.begin_step(rank)
        world.flying = [
            envelope for envelope in world.flying if (envelope.to, envelope.number) != ("rank", 1)
        ]
        while world.flying:
            world.deliver(0)
    assert world.log.record is not None
    assert world.engines[1].begun == world.log.record.switch_step - 1
    assert newest_begun_step(world) <= world.log.record.switch_step
    world.show_log(1)
    world.settle(5)
    assert newest_begun_step(world) > world.log.record.switch_step
    assert faults(world.history) == []


def test_restarted_rank_joins_at_the_committed_epoch() -> None:
    world = RankWorld(RANKS)
    number = world.start()
    world.propose(number)
    world.settle(30)
    world.restart_rank(2)
    assert not world.begin_step(2)
    step_before = newest_begun_step(world)
    world.settle(10)
    assert newest_begun_step(world) > step_before
    assert world.history[-1].epoch == 2
    assert faults(world.history) == []


def test_lost_rank_is_excluded_and_rejoins() -> None:
    world = RankWorld(RANKS)
    number = world.start()
    world.engines[2].dead = True
    world.settle(10)
    stuck = newest_begun_step(world)
    world.propose(number, absent=(2,), leaves=True)
    world.settle(10)
    assert newest_begun_step(world) > stuck + 3
    assert world.log.record is not None
    assert world.log.record.members == (0, 1)
    world.engines[2].dead = False
    world.settle(5)
    assert world.engines[2].startable() is None
    world.propose(number)
    world.settle(30)
    assert world.history[-1].rank == 2
    assert faults(world.history) == []


def test_rank_lost_before_its_switch_is_excluded() -> None:
    world = RankWorld(RANKS)
    number = world.start()
    world.propose(number)
    while world.coordinators[number].phase is not Phase.TELLING:
        world.deliver(0)
    world.engines[2].dead = True
    world.settle(10)
    stuck = newest_begun_step(world)
    world.propose(number, absent=(2,), leaves=True)
    world.settle(15)
    assert newest_begun_step(world) > stuck + 3
    assert faults(world.history) == []


def test_aborted_change_releases_ranks_and_a_retry_loads_nothing_again() -> None:
    world = RankWorld(RANKS)
    number = world.start()
    world.propose(number)
    while world.coordinators[number].phase is not Phase.HOLDING:
        world.deliver(0)
    lost_messages = [
        envelope for envelope in world.flying if envelope.to == "rank" and envelope.number == 0
    ]
    world.flying = [envelope for envelope in world.flying if envelope not in lost_messages]
    for _ in range(5):
        world.flying = [
            envelope for envelope in world.flying if (envelope.to, envelope.number) != ("rank", 0)
        ]
        while world.flying:
            world.deliver(0)
            world.flying = [
                envelope
                for envelope in world.flying
                if (envelope.to, envelope.number) != ("rank", 0)
            ]
        world.tick()
    assert world.ended[-1].reason is EndReason.HOLD_TIMEOUT
    assert world.ended[-1].late == (0,)
    assert world.log.record is not None
    assert world.log.record.aborted is not None
    step_before = newest_begun_step(world)
    world.settle(10)
    assert newest_begun_step(world) > step_before + 5
    loads = len(world.loads)
    world.maps -= 1
    world.propose(number)
    world.settle(30)
    assert world.log.record.epoch == 2
    assert len(world.loads) == loads


def world_with_open_change() -> RankWorld:
    world = RankWorld(RANKS)
    world.propose(world.start())
    return world


InjectFault = Callable[[RankWorld], object]


def fault_injections() -> dict[str, InjectFault]:
    def lose(world: RankWorld) -> None:
        if world.flying:
            world.flying.pop(0)

    def repeat(world: RankWorld) -> None:
        if world.flying:
            world.deliver(0, keep=True)

    def delay(world: RankWorld) -> None:
        world.flying.append(world.flying.pop(0)) if world.flying else None

    return {
        "lose": lose,
        "repeat": repeat,
        "delay": delay,
        "new coordinator": lambda world: world.start_coordinator(),
        "second coordinator": lambda world: world.start_coordinator(others_die=False),
        "restart agent": lambda world: world.restart_agent(1),
        "restart rank": lambda world: world.restart_rank(1),
        "time passes": lambda world: world.tick(2.5),
    }


def run_change(faults_at: dict[int, InjectFault], steps: int) -> RankWorld:
    """Run a change one message at a time, with steps in between, and inject faults.

    :param faults_at: the fault to inject before each numbered message.
    """
    world = world_with_open_change()
    for number in range(steps):
        if number in faults_at:
            faults_at[number](world)
        if world.flying:
            world.deliver(0)
        if number % 5 == 4:
            for rank in range(RANKS):
                world.begin_step(rank)
            world.tick(0.1)
    return world


@pytest.mark.parametrize("first", fault_injections())
def test_two_faults_at_every_position_keep_one_map_per_step(first: str) -> None:
    steps = 36
    for at in range(steps):
        gap = 1 + at % 7
        for second in fault_injections().values():
            world = run_change({at: fault_injections()[first], at + gap: second}, steps + 12)
            assert faults(world.history) == [], at
        check_recovery(world)
        assert faults(world.history) == [], at


def run_random_events(world: RankWorld, seed: int) -> None:
    rng = random.Random(seed)
    world.start()
    for _ in range(3):
        if world.coordinators:
            world.propose(rng.choice(list(world.coordinators)))
        world.wander(rng, ACTIONS_PER_ROUND)


def test_random_faults_keep_one_map_per_step() -> None:
    changes = 0
    for seed in range(RANDOM_RUNS):
        world = RankWorld(RANKS)
        run_random_events(world, seed)
        assert faults(world.history) == [], seed
        if seed % 10 == 0:
            check_recovery(world)
        changes += world.log.record.epoch if world.log.record is not None else 0
    assert changes > RANDOM_RUNS


class CommitsAtFirstPromise(MapCoordinator):
    """A mutant that commits before every rank has promised."""

    def on_step_held(self, answer: StepHeld, now: float) -> list[CoordinatorAction]:
        if self.phase is Phase.HOLDING and answer.change == self.change_id:
            self.waiting_for.clear()
        return super().on_step_held(answer, now)


class JoinsWithoutNewFence(MapRank):
    """A mutant that joins after a restart with a plain read, without a new fencing number."""

    def step(self, event: RankEvent, now: float) -> list[RankAction]:
        if not self.joined:
            self.join_fence = 1
        return super().step(event, now)


class ContinuesWithOldMap(MapRank):
    """A mutant that continues with the old map when it does not learn of the decision."""

    def on_clock_tick(self, now: float) -> list[RankAction]:
        if self.promise is not None and self._is_stalled():
            self.promise = None
            return [self._permitted_steps()]
        return super().on_clock_tick(now)


MUTANTS = {
    "commits at the first promise": lambda: RankWorld(
        RANKS, new_coordinator=lambda group, ranks: CommitsAtFirstPromise(group, ranks, 0.3)
    ),
    "joins without a new fencing number": lambda: RankWorld(RANKS, new_rank=JoinsWithoutNewFence),
    "continues with the old map": lambda: RankWorld(RANKS, new_rank=ContinuesWithOldMap),
    "log ignores the fence": lambda: RankWorld(RANKS, log=FakeLog(checks_fence=False)),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_checker_detects_every_mutant(name: str) -> None:
    for seed in range(4 * RANDOM_RUNS):
        world = MUTANTS[name]()
        run_random_events(world, seed)
        if faults(world.history):
            return
    raise AssertionError("the checker found no fault of the mutant in any run")


def test_checker_reports_mixed_steps_and_epochs() -> None:
    valid_history = [StepBegun(0, 1, 1, "a"), StepBegun(1, 1, 1, "a"), StepBegun(0, 2, 2, "b")]
    assert faults(valid_history) == []
    assert faults([*valid_history, StepBegun(1, 2, 1, "a")]) == ["step 2 used [(1, 'a'), (2, 'b')]"]
    assert len(faults([*valid_history, StepBegun(1, 2, 2, "c")])) == 2
