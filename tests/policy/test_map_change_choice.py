"""Timing and size of map changes, simulated with demand that moves between experts."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from bergamotchute_model.packed_map import ExpertPlacement
from bergamotchute_model.versioned_configuration import EnginePerformance
from bergamotchute_policy.even_map_planner import (
    MapChangeBounds,
    initial_map,
    map_skew,
    plan_even_map,
)
from bergamotchute_policy.map_change_choice import (
    MAX_COPIES_PER_CHANGE,
    group_load_ratio,
    is_change_worthwhile,
    map_change_bounds,
)
from bergamotchute_policy.pass_timer import INITIAL_PASS_S, PassTimer
from support.expert_demand import EXPERT_COUNT, RANK_COUNT, SET_COUNT, shifted_demand, skewed_demand

ENGINE = EnginePerformance(
    6,
    247_000,
    0.005,
    0.0007,
    2e-8,
    75_000.0,
    512,
    6,
    835.0,
    159.0,
    SET_COUNT,
    EXPERT_COUNT,
    11,
    4,
    0.85,
    0.15,
)
SHIFT_INTERVAL_S = 4.0
EXPERT_COPY_S = 0.15
DETECTION_S = 0.3
"""Time from a shift in demand until the counts show it and a plan is made."""

SWITCH_S = 0.3
"""Time from the end of copying until the first pass with the new map."""


def _max_copies_of_a_rank(current: ExpertPlacement, planned: ExpertPlacement) -> int:
    """Return the largest number of experts that any one rank must copy."""
    return max(
        sum(
            len(set(planned[set_index][rank]) - set(current[set_index][rank]))
            for set_index in range(SET_COUNT)
        )
        for rank in range(RANK_COUNT)
    )


def _mean_pass_time(seed: int, bounds: MapChangeBounds, shift_count: int = 4) -> float:
    """Return the mean duration of a pass relative to a perfectly even load, while demand shifts."""
    random = Random(seed)
    current = initial_map(SET_COUNT, RANK_COUNT, EXPERT_COUNT)
    demand = skewed_demand(random)
    weighted_time_s = 0.0
    for _ in range(shift_count):
        demand = shifted_demand(demand, random)
        remaining_s = SHIFT_INTERVAL_S
        pass_time = 0.15 + 0.85 * map_skew(current, demand)
        weighted_time_s += DETECTION_S * pass_time
        remaining_s -= DETECTION_S
        while remaining_s > 0:
            plan = plan_even_map(current, demand, bounds)
            if not is_change_worthwhile(plan, 1.0):
                weighted_time_s += remaining_s * pass_time
                break
            copy_time_s = min(
                remaining_s, EXPERT_COPY_S * _max_copies_of_a_rank(current, plan.experts)
            )
            switch_time_s = min(remaining_s - copy_time_s, SWITCH_S)
            weighted_time_s += (1.15 * copy_time_s + switch_time_s) * pass_time
            remaining_s -= copy_time_s + switch_time_s
            current = plan.experts
            pass_time = 0.15 + 0.85 * map_skew(current, demand)
    return weighted_time_s / (shift_count * SHIFT_INTERVAL_S)


@pytest.mark.parametrize("seed", range(3))
def test_many_small_changes_beat_few_large_ones_at_peak_load(seed: int) -> None:
    """The first copies of a change gain most, so large changes are slow to help a busy group.

    Load pattern: two thirds of the demand move to other experts every four seconds.
    """
    small = map_change_bounds(ENGINE, busy=1.0)
    large = map_change_bounds(ENGINE, busy=0.0)
    assert (small.max_copies_per_rank, large.max_copies_per_rank) == (1, 5)
    large = replace(small, max_copies_per_rank=large.max_copies_per_rank)
    assert _mean_pass_time(seed, small) < 0.95 * _mean_pass_time(seed, large)


def test_group_with_small_experts_copies_more_at_once() -> None:
    """A change of a single small expert would gain too little.

    Load pattern: 96 ranks whose experts take 18 ms each to copy.
    """
    engine = replace(ENGINE, expert_copy_s=0.018)
    assert map_change_bounds(engine, busy=1.0).max_copies_per_rank == 8
    assert map_change_bounds(engine, busy=0.0).max_copies_per_rank == MAX_COPIES_PER_CHANGE


def test_idle_group_changes_only_for_a_large_gain() -> None:
    demand = skewed_demand(Random(1))
    current = initial_map(SET_COUNT, RANK_COUNT, EXPERT_COUNT)
    idle_bounds = map_change_bounds(ENGINE, busy=0.0)
    plan = plan_even_map(current, demand, idle_bounds)
    assert is_change_worthwhile(plan, 0.0)
    second_plan = plan_even_map(plan.experts, demand, idle_bounds)
    assert not is_change_worthwhile(second_plan, 0.0)


def test_load_of_a_group_follows_its_requests() -> None:
    assert group_load_ratio(0, RANK_COUNT, ENGINE) == 0.0
    assert 0.4 < group_load_ratio(18, RANK_COUNT, ENGINE) < 0.6
    assert group_load_ratio(48, RANK_COUNT, ENGINE) == 1.0


def test_pass_time_is_measured_from_rank_reports() -> None:
    pace = PassTimer()
    pace.observe(1, 100, 10.0)
    assert pace.pass_s == INITIAL_PASS_S
    for tenth in range(1, 11):
        pace.observe(1, 100 + tenth, 10.0 + 0.1 * tenth)
    assert pace.pass_s == pytest.approx(0.1)
    assert pace.passes_ahead(0.08) == 2
    pace.observe(1, 90, 12.0)
    assert pace.pass_s == pytest.approx(0.1)
    pace.observe(2, 3, 12.0)
    assert pace.pass_s == INITIAL_PASS_S
    assert pace.passes_ahead(0.08) == 4
