"""What callers get at the worst loads, replayed on the agents' own decisions."""

from __future__ import annotations

from random import Random

import pytest

from bergamotchute_model.node_messages import EnginePace
from bergamotchute_policy import slot_ledger
from bergamotchute_policy.pass_limit import LONGEST_PASS_S, PassLimit
from bergamotchute_policy.slot_search import patience_s
from support.lock_step_engines import (
    ADDED_S,
    EMPTY_PASS_S,
    FIRST_SKEW,
    PAUSE_S,
    SLOTS,
    Draft,
    LockStepEngines,
)

SEEDS = range(5)
MAP_S = 1.5
"""How long the first map of a group stays after all ranks came back."""

CAPACITY_PER_S = 12 * SLOTS / (20 * (EMPTY_PASS_S + SLOTS * ADDED_S * 1.2))


def arrivals(random: Random, per_s: float, since: float, until: float) -> list[tuple[float, float]]:
    """Return when requests come that ask for the first time."""
    times, at = [], since
    while (at := at + random.expovariate(per_s)) < until:
        times.append((at, at))
    return times


def in_time_share(drafts: list[Draft]) -> float:
    return sum(draft.in_time for draft in drafts) / len(drafts)


@pytest.mark.parametrize("seed", SEEDS)
def test_streams_keep_their_pace_while_the_first_map_is_in_use(seed: int) -> None:
    """Load pattern: all ranks came back with a map that fits no demand, and all callers ask at once."""

    def play(is_limited: bool) -> list[Draft]:
        asked = arrivals(Random(seed), CAPACITY_PER_S, 0.0, MAP_S)
        engines = LockStepEngines(skews=((0.0, FIRST_SKEW), (MAP_S, 1.2)), is_limited=is_limited)
        return engines.play(asked, 8.0)

    limited, full = play(True), play(False)
    assert in_time_share(limited) > 2.0 * in_time_share(full)
    ended = [sum(not draft.passes_left for draft in drafts) for drafts in (limited, full)]
    assert ended[0] > 0.8 * ended[1]


@pytest.mark.parametrize("seed", SEEDS)
def test_callers_of_an_outage_leave_slots_to_those_that_can_be_in_time(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Load pattern: callers of four seconds come back together, and others ask for the first time."""

    def play() -> list[Draft]:
        random = Random(seed)
        late = [(random.uniform(0.0, 1.2), -2.0) for _ in range(150)]
        engines = LockStepEngines()
        drafts = engines.play([*late, *arrivals(random, 0.7 * CAPACITY_PER_S, 0.0, 5.0)], 9.0)
        return [draft for draft in drafts if draft.asked_at >= 0.0]

    kept = in_time_share(play())
    monkeypatch.setattr(slot_ledger, "TIMELY_SLOT_RATIO", 0.0)
    assert kept > in_time_share(play())


def test_an_engine_whose_passes_are_short_is_not_limited() -> None:
    limit = PassLimit(EnginePace(SLOTS, EMPTY_PASS_S, ADDED_S * FIRST_SKEW, PAUSE_S))
    assert limit.most_requests() == 4
    for number in range(5):
        limit.observe(1, 4 * number, SLOTS, 0.3 * number)
    assert limit.most_requests() is None


def test_a_group_that_stood_still_is_not_taken_to_be_slow() -> None:
    limit = PassLimit(EnginePace(SLOTS, EMPTY_PASS_S, ADDED_S * FIRST_SKEW, PAUSE_S))
    limit.observe(1, 1, SLOTS, 0.0)
    limit.observe(1, 5, SLOTS, 0.3)
    limit.observe(1, 6, SLOTS, 0.3 + 4 * LONGEST_PASS_S)
    assert limit.most_requests() is None


def test_work_goes_on_at_an_engine_of_a_slow_group() -> None:
    limit = PassLimit(EnginePace(SLOTS, EMPTY_PASS_S, ADDED_S * FIRST_SKEW, PAUSE_S))
    limit.observe(1, 1, 2, 0.0)
    limit.observe(1, 2, 2, 0.2)
    assert limit.most_requests() == SLOTS / 2


def test_a_caller_waits_as_long_as_its_objectives_allow() -> None:
    assert patience_s(0.4, 0.12) == 2.0
    assert patience_s(0.8, 0.12) == 3.2
    assert patience_s(0.4, 0.3) == pytest.approx(2.4)
