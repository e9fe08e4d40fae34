"""Tests of the agents' slot decisions, simulated under overload and slow forward passes."""

from __future__ import annotations

from random import Random

import pytest

from bergamotchute_model.node_messages import EngineTiming
from bergamotchute_policy import slot_ledger
from bergamotchute_policy.concurrency_limit import MAX_PASS_S, ConcurrencyLimit
from bergamotchute_policy.slot_search import patience_s
from support.lock_step_engines import (
    ADDED_PASS_S_PER_REQUEST,
    EMPTY_PASS_S,
    INITIAL_SKEW,
    MAX_PAUSE_S,
    SLOTS_PER_ENGINE,
    LockStepEngines,
    SimulatedRequest,
)

SEEDS = range(5)
INITIAL_MAP_S = 1.5
"""How long a group uses its initial map after all ranks returned."""

CAPACITY_PER_S = (
    12
    * SLOTS_PER_ENGINE
    / (20 * (EMPTY_PASS_S + SLOTS_PER_ENGINE * ADDED_PASS_S_PER_REQUEST * 1.2))
)


def arrivals(random: Random, per_s: float, since: float, until: float) -> list[tuple[float, float]]:
    """Return the arrival and first-ask times of new requests, which are equal."""
    times, at = [], since
    while (at := at + random.expovariate(per_s)) < until:
        times.append((at, at))
    return times


def in_time_share(drafts: list[SimulatedRequest]) -> float:
    return sum(draft.is_in_time for draft in drafts) / len(drafts)


@pytest.mark.parametrize("seed", SEEDS)
def test_streams_meet_their_pause_objective_while_the_initial_map_is_in_use(seed: int) -> None:
    """All ranks restart with a map not fitted to any demand, and all callers ask at once."""

    def simulate(is_limited: bool) -> list[SimulatedRequest]:
        arrival_times = arrivals(Random(seed), CAPACITY_PER_S, 0.0, INITIAL_MAP_S)
        engines = LockStepEngines(
            skews=((0.0, INITIAL_SKEW), (INITIAL_MAP_S, 1.2)), is_limited=is_limited
        )
        return engines.simulate(arrival_times, 8.0)

    limited, full = simulate(True), simulate(False)
    assert in_time_share(limited) > 2.0 * in_time_share(full)
    ended = [sum(not draft.passes_left for draft in drafts) for drafts in (limited, full)]
    assert ended[0] > 0.8 * ended[1]


@pytest.mark.parametrize("seed", SEEDS)
def test_returning_callers_of_an_outage_leave_slots_to_requests_still_in_time(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Callers of a four-second outage return together while others ask for the first time."""

    def simulate() -> list[SimulatedRequest]:
        random = Random(seed)
        late = [(random.uniform(0.0, 1.2), -2.0) for _ in range(150)]
        engines = LockStepEngines()
        drafts = engines.simulate([*late, *arrivals(random, 0.7 * CAPACITY_PER_S, 0.0, 5.0)], 9.0)
        return [draft for draft in drafts if draft.first_asked_at >= 0.0]

    with_reserve = in_time_share(simulate())
    monkeypatch.setattr(slot_ledger, "TIMELY_SLOT_RATIO", 0.0)
    assert with_reserve > in_time_share(simulate())


def test_an_engine_whose_passes_are_short_is_not_limited() -> None:
    limit = ConcurrencyLimit(
        EngineTiming(
            SLOTS_PER_ENGINE, EMPTY_PASS_S, ADDED_PASS_S_PER_REQUEST * INITIAL_SKEW, MAX_PAUSE_S
        )
    )
    assert limit.max_requests() == 4
    for number in range(5):
        limit.observe(1, 4 * number, SLOTS_PER_ENGINE, 0.3 * number)
    assert limit.max_requests() is None


def test_a_stalled_group_does_not_count_as_slow() -> None:
    limit = ConcurrencyLimit(
        EngineTiming(
            SLOTS_PER_ENGINE, EMPTY_PASS_S, ADDED_PASS_S_PER_REQUEST * INITIAL_SKEW, MAX_PAUSE_S
        )
    )
    limit.observe(1, 1, SLOTS_PER_ENGINE, 0.0)
    limit.observe(1, 5, SLOTS_PER_ENGINE, 0.3)
    limit.observe(1, 6, SLOTS_PER_ENGINE, 0.3 + 4 * MAX_PASS_S)
    assert limit.max_requests() is None


def test_an_engine_of_a_slow_group_keeps_half_of_its_slots() -> None:
    limit = ConcurrencyLimit(
        EngineTiming(
            SLOTS_PER_ENGINE, EMPTY_PASS_S, ADDED_PASS_S_PER_REQUEST * INITIAL_SKEW, MAX_PAUSE_S
        )
    )
    limit.observe(1, 1, 2, 0.0)
    limit.observe(1, 2, 2, 0.2)
    assert limit.max_requests() == SLOTS_PER_ENGINE / 2


def test_the_patience_of_a_caller_follows_from_its_objectives() -> None:
    assert patience_s(0.4, 0.12) == 2.0
    assert patience_s(0.8, 0.12) == 3.2
    assert patience_s(0.4, 0.3) == pytest.approx(2.4)
