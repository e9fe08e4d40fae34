"""Plans of maps whose replicas share tokens evenly, while demand moves between experts."""

from __future__ import annotations

from random import Random

import pytest

from bergamotchute_model.packed_map import ExpertPlacement
from bergamotchute_policy.even_map_planner import (
    MapChangeBounds,
    initial_map,
    map_skew,
    plan_even_map,
)
from bergamotchute_policy.map_change_choice import BUSY_MIN_GAIN_PER_COPY
from support.expert_demand import EXPERT_COUNT, RANK_COUNT, SET_COUNT, shifted_demand, skewed_demand

BOUNDS = MapChangeBounds(
    placements=11, max_copies_per_set=4, max_copies_per_rank=5, min_gain_per_copy=8e-3
)


def assert_within_bounds(
    current: ExpertPlacement, planned: ExpertPlacement, bounds: MapChangeBounds
) -> None:
    copies_by_rank = [0] * len(current[0])
    for before, after in zip(current, planned, strict=True):
        held = {expert for experts in before for expert in experts}
        assert {expert for experts in after for expert in experts} == held
        for rank, experts in enumerate(after):
            assert len(experts) == len(set(experts)) <= bounds.placements
            new_count = len(set(experts) - set(before[rank]))
            assert new_count <= bounds.max_copies_per_set
            copies_by_rank[rank] += new_count
    assert max(copies_by_rank) <= bounds.max_copies_per_rank


@pytest.mark.parametrize("seed", range(5))
def test_plan_keeps_within_bounds_and_lowers_the_skew(seed: int) -> None:
    demand = skewed_demand(Random(seed))
    current = initial_map(SET_COUNT, RANK_COUNT, EXPERT_COUNT)
    plan = plan_even_map(current, demand, BOUNDS)
    assert_within_bounds(current, plan.experts, BOUNDS)
    assert plan.skew_planned == pytest.approx(map_skew(plan.experts, demand))
    assert plan.skew_planned < plan.skew_now


@pytest.mark.parametrize("seed", range(5))
def test_two_changes_adapt_to_shifted_demand(seed: int) -> None:
    """Two map changes, which take 1.5 s, must restore an even load after a shift in demand.

    Load pattern: most of the demand moves to other experts every four seconds.
    """
    random = Random(seed)
    current = initial_map(SET_COUNT, RANK_COUNT, EXPERT_COUNT)
    demand = skewed_demand(random)
    for _ in range(4):
        demand = shifted_demand(demand, random)
        for _ in range(2):
            plan = plan_even_map(current, demand, BOUNDS)
            assert_within_bounds(current, plan.experts, BOUNDS)
            current = plan.experts
        assert map_skew(current, demand) <= 1.10


def test_even_demand_needs_no_change() -> None:
    current = initial_map(SET_COUNT, RANK_COUNT, EXPERT_COUNT)
    plan = plan_even_map(current, [[1.0] * EXPERT_COUNT] * SET_COUNT, BOUNDS)
    assert plan.experts == current
    assert plan.copies == 0


@pytest.mark.parametrize(
    ("sets", "ranks", "experts", "placements"),
    [(6, 8, 64, 11), (12, 32, 128, 5), (8, 63, 252, 5), (16, 96, 192, 3)],
)
def test_one_change_halves_the_excess_skew_of_a_busy_group(
    sets: int, ranks: int, experts: int, placements: int
) -> None:
    """Guards against a minimum gain per copy that is out of reach in groups of many ranks.

    Load pattern: demand has just moved to other experts.
    """
    random = Random(ranks)
    demand = [[random.lognormvariate(0, 0.9) for _ in range(experts)] for _ in range(sets)]
    current = initial_map(sets, ranks, experts)
    bounds = MapChangeBounds(placements, 2, 8, BUSY_MIN_GAIN_PER_COPY)
    plan = plan_even_map(current, demand, bounds)
    assert_within_bounds(current, plan.experts, bounds)
    assert plan.skew_planned - 1.0 < 0.5 * (plan.skew_now - 1.0)
