"""All ranks use the same map in every step, despite restarts and lost or repeated messages."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from bergamotchute_model.rank_messages import NO_STEP
from bergamotchute_policy.map_coordinator import (
    ChangeEndReason,
    CoordinatorAction,
    CoordinatorPhase,
    MapCoordinator,
    StepHeld,
)
from bergamotchute_policy.map_participant import MapParticipant, ParticipantAction, ParticipantEvent
from support.rank_group_simulation import FakeControlLog, RankGroupSimulation
from support.step_checker import StepBegun, faults

RANKS = 3
RANDOM_RUNS = 150
ACTIONS_PER_ROUND = 160


def epochs_used(world: RankGroupSimulation) -> set[int]:
    return {begun.epoch for begun in world.begun_steps}


def newest_begun_step(world: RankGroupSimulation) -> int:
    return max(begun.step for begun in world.begun_steps)


def check_recovery(world: RankGroupSimulation) -> None:
    """Assert that the group takes further steps and a new map once faults have ended."""
    world.in_transit.clear()
    number = world.start_coordinator()
    world.run_without_faults(30)
    step_before = newest_begun_step(world) if world.begun_steps else NO_STEP
    epoch = world.log.record.epoch if world.log.record is not None else 0
    world.propose(number)
    world.run_without_faults(30)
    assert world.log.record is not None
    assert world.log.record.epoch == epoch + 1
    assert world.begun_steps[-1].epoch == epoch + 1
    assert newest_begun_step(world) > step_before


def test_change_reaches_every_rank_without_stalling() -> None:
    world = RankGroupSimulation(RANKS)
    number = world.start_with_first_map()
    world.propose(number)
    world.run_without_faults(30)
    assert [ended.reason for ended in world.ended] == [ChangeEndReason.COMMITTED] * 2
    assert epochs_used(world) == {1, 2}
    assert faults(world.begun_steps) == []
    assert world.coordinators[number].phase is CoordinatorPhase.IDLE


def test_second_change_is_refused_while_one_is_open() -> None:
    world = RankGroupSimulation(RANKS)
    number = world.start_with_first_map()
    world.propose(number)
    world.propose(number)
    assert world.ended[-1].reason is ChangeEndReason.BUSY
    world.run_without_faults()
    assert world.log.record is not None
    assert world.log.record.epoch == 2


def test_old_coordinator_is_fenced_out_during_a_partition() -> None:
    world = RankGroupSimulation(RANKS)
    old_number = world.start_with_first_map()
    world.propose(old_number)
    for _ in range(RANKS):
        world.deliver_message(0)
    old_fence = world.coordinators[old_number].fence
    records_before = len(world.log.records)
    new_number = world.start_coordinator(replaces_others=False)
    world.run_without_faults(10)
    for record in world.log.records[records_before:]:
        assert (record.aborted or record.change).fence > old_fence
    assert world.log.fence > old_fence
    assert faults(world.begun_steps) == []
    world.coordinators.pop(old_number)
    world.run_without_faults(10)
    world.propose(new_number)
    world.run_without_faults(20)
    assert world.begun_steps[-1].epoch == world.coordinators[new_number].epoch > 1


def test_rank_without_the_decision_stalls_at_the_switch_step() -> None:
    world = RankGroupSimulation(RANKS)
    number = world.start_with_first_map()
    world.propose(number)
    while world.coordinators[number].phase is not CoordinatorPhase.NOTIFYING:
        world.deliver_message(0)
    world.in_transit = [
        envelope
        for envelope in world.in_transit
        if (envelope.destination, envelope.number) != ("rank", 1)
    ]
    for _ in range(60):
        for rank in range(RANKS):
            world.begin_step(rank)
        world.in_transit = [
            envelope
            for envelope in world.in_transit
            if (envelope.destination, envelope.number) != ("rank", 1)
        ]
        while world.in_transit:
            world.deliver_message(0)
    assert world.log.record is not None
    assert world.engines[1].newest_step == world.log.record.switch_step - 1
    assert newest_begun_step(world) <= world.log.record.switch_step
    world.send_logged_map(1)
    world.run_without_faults(5)
    assert newest_begun_step(world) > world.log.record.switch_step
    assert faults(world.begun_steps) == []


def test_restarted_rank_joins_at_the_committed_epoch() -> None:
    world = RankGroupSimulation(RANKS)
    number = world.start_with_first_map()
    world.propose(number)
    world.run_without_faults(30)
    world.restart_rank(2)
    assert not world.begin_step(2)
    step_before = newest_begun_step(world)
    world.run_without_faults(10)
    assert newest_begun_step(world) > step_before
    assert world.begun_steps[-1].epoch == 2
    assert faults(world.begun_steps) == []


def test_lost_rank_is_excluded_and_rejoins() -> None:
    world = RankGroupSimulation(RANKS)
    number = world.start_with_first_map()
    world.engines[2].is_dead = True
    world.run_without_faults(10)
    stuck = newest_begun_step(world)
    world.propose(number, absent=(2,), leaves=True)
    world.run_without_faults(10)
    assert newest_begun_step(world) > stuck + 3
    assert world.log.record is not None
    assert world.log.record.members == (0, 1)
    world.engines[2].is_dead = False
    world.run_without_faults(5)
    assert world.engines[2].startable_step() is None
    world.propose(number)
    world.run_without_faults(30)
    assert world.begun_steps[-1].rank == 2
    assert faults(world.begun_steps) == []


def test_rank_lost_before_its_switch_is_excluded() -> None:
    world = RankGroupSimulation(RANKS)
    number = world.start_with_first_map()
    world.propose(number)
    while world.coordinators[number].phase is not CoordinatorPhase.NOTIFYING:
        world.deliver_message(0)
    world.engines[2].is_dead = True
    world.run_without_faults(10)
    stuck = newest_begun_step(world)
    world.propose(number, absent=(2,), leaves=True)
    world.run_without_faults(15)
    assert newest_begun_step(world) > stuck + 3
    assert faults(world.begun_steps) == []


def test_aborted_change_releases_ranks_and_a_retry_loads_nothing_again() -> None:
    world = RankGroupSimulation(RANKS)
    number = world.start_with_first_map()
    world.propose(number)
    while world.coordinators[number].phase is not CoordinatorPhase.HOLDING:
        world.deliver_message(0)
    lost_messages = [
        envelope
        for envelope in world.in_transit
        if envelope.destination == "rank" and envelope.number == 0
    ]
    world.in_transit = [envelope for envelope in world.in_transit if envelope not in lost_messages]
    for _ in range(5):
        world.in_transit = [
            envelope
            for envelope in world.in_transit
            if (envelope.destination, envelope.number) != ("rank", 0)
        ]
        while world.in_transit:
            world.deliver_message(0)
            world.in_transit = [
                envelope
                for envelope in world.in_transit
                if (envelope.destination, envelope.number) != ("rank", 0)
            ]
        world.advance_time()
    assert world.ended[-1].reason is ChangeEndReason.HOLD_TIMEOUT
    assert world.ended[-1].failed_ranks == (0,)
    assert world.log.record is not None
    assert world.log.record.aborted is not None
    step_before = newest_begun_step(world)
    world.run_without_faults(10)
    assert newest_begun_step(world) > step_before + 5
    loads = len(world.loads)
    world.proposal_count -= 1
    world.propose(number)
    world.run_without_faults(30)
    assert world.log.record.epoch == 2
    assert len(world.loads) == loads


def world_with_open_change() -> RankGroupSimulation:
    world = RankGroupSimulation(RANKS)
    world.propose(world.start_with_first_map())
    return world


InjectFault = Callable[[RankGroupSimulation], object]


def fault_injections() -> dict[str, InjectFault]:
    def lose(world: RankGroupSimulation) -> None:
        if world.in_transit:
            world.in_transit.pop(0)

    def repeat(world: RankGroupSimulation) -> None:
        if world.in_transit:
            world.deliver_message(0, is_repeated=True)

    def delay(world: RankGroupSimulation) -> None:
        world.in_transit.append(world.in_transit.pop(0)) if world.in_transit else None

    return {
        "lose": lose,
        "repeat": repeat,
        "delay": delay,
        "new coordinator": lambda world: world.start_coordinator(),
        "second coordinator": lambda world: world.start_coordinator(replaces_others=False),
        "restart agent": lambda world: world.restart_agent(1),
        "restart rank": lambda world: world.restart_rank(1),
        "time passes": lambda world: world.advance_time(2.5),
    }


def run_change(faults_at: dict[int, InjectFault], steps: int) -> RankGroupSimulation:
    """Run a change one message at a time, with steps in between, and inject faults.

    :param faults_at: the fault to inject before each numbered message.
    """
    world = world_with_open_change()
    for number in range(steps):
        if number in faults_at:
            faults_at[number](world)
        if world.in_transit:
            world.deliver_message(0)
        if number % 5 == 4:
            for rank in range(RANKS):
                world.begin_step(rank)
            world.advance_time(0.1)
    return world


@pytest.mark.parametrize("first", fault_injections())
def test_two_faults_at_every_position_keep_one_map_per_step(first: str) -> None:
    steps = 36
    for at in range(steps):
        gap = 1 + at % 7
        for second in fault_injections().values():
            world = run_change({at: fault_injections()[first], at + gap: second}, steps + 12)
            assert faults(world.begun_steps) == [], at
        check_recovery(world)
        assert faults(world.begun_steps) == [], at


def run_random_events(world: RankGroupSimulation, seed: int) -> None:
    rng = random.Random(seed)
    world.start_with_first_map()
    for _ in range(3):
        if world.coordinators:
            world.propose(rng.choice(list(world.coordinators)))
        world.run_random_events(rng, ACTIONS_PER_ROUND)


def test_random_faults_keep_one_map_per_step() -> None:
    changes = 0
    for seed in range(RANDOM_RUNS):
        world = RankGroupSimulation(RANKS)
        run_random_events(world, seed)
        assert faults(world.begun_steps) == [], seed
        if seed % 10 == 0:
            check_recovery(world)
        changes += world.log.record.epoch if world.log.record is not None else 0
    assert changes > RANDOM_RUNS


class CommitsAtFirstPromise(MapCoordinator):
    """A mutant that commits before every rank has promised."""

    def on_step_held(self, answer: StepHeld, now: float) -> list[CoordinatorAction]:
        if self.phase is CoordinatorPhase.HOLDING and answer.change == self.change_id:
            self.unanswered_ranks.clear()
        return super().on_step_held(answer, now)


class JoinsWithoutNewFence(MapParticipant):
    """A mutant that joins after a restart with a plain read, without a new fencing number."""

    def step(self, event: ParticipantEvent, now: float) -> list[ParticipantAction]:
        if not self.joined:
            self.join_fence = 1
        return super().step(event, now)


class ContinuesWithOldMap(MapParticipant):
    """A mutant that continues with the old map when it does not learn of the decision."""

    def on_clock_tick(self, now: float) -> list[ParticipantAction]:
        if self.promise is not None and self._is_stalled():
            self.promise = None
            return [self._permitted_steps()]
        return super().on_clock_tick(now)


MUTANTS = {
    "commits at the first promise": lambda: RankGroupSimulation(
        RANKS, coordinator_factory=lambda group, ranks: CommitsAtFirstPromise(group, ranks, 0.3)
    ),
    "joins without a new fencing number": lambda: RankGroupSimulation(
        RANKS, rank_factory=JoinsWithoutNewFence
    ),
    "continues with the old map": lambda: RankGroupSimulation(
        RANKS, rank_factory=ContinuesWithOldMap
    ),
    "log ignores the fence": lambda: RankGroupSimulation(
        RANKS, log=FakeControlLog(checks_fence=False)
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_checker_detects_every_mutant(name: str) -> None:
    for seed in range(4 * RANDOM_RUNS):
        world = MUTANTS[name]()
        run_random_events(world, seed)
        if faults(world.begun_steps):
            return
    raise AssertionError("the checker found no fault of the mutant in any run")


def test_checker_reports_mixed_steps_and_epochs() -> None:
    valid_history = [StepBegun(0, 1, 1, "a"), StepBegun(1, 1, 1, "a"), StepBegun(0, 2, 2, "b")]
    assert faults(valid_history) == []
    assert faults([*valid_history, StepBegun(1, 2, 1, "a")]) == ["step 2 used [(1, 'a'), (2, 'b')]"]
    assert len(faults([*valid_history, StepBegun(1, 2, 2, "c")])) == 2
