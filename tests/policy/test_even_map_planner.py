"""Maps of ranks that share each expert's tokens evenly, under demand that turns."""

from __future__ import annotations

from random import Random

import pytest

from bergamotchute_policy.even_map_planner import (
    ExpertSets,
    PlannerBounds,
    first_map,
    map_skew,
    plan_even_map,
)
from bergamotchute_policy.map_change_choice import BUSY_STEP_GAIN
from support.expert_demand import EXPERTS, RANKS, SETS, skewed_demand, turned_demand

BOUNDS = PlannerBounds(placements=11, copies_per_set=4, copies_per_rank=5, least_step_gain=8e-3)


def check(present: ExpertSets, planned: ExpertSets, bounds: PlannerBounds) -> None:
    copied = [0] * len(present[0])
    for before, after in zip(present, planned, strict=True):
        held = {expert for experts in before for expert in experts}
        assert {expert for experts in after for expert in experts} == held
        for rank, experts in enumerate(after):
            assert len(experts) == len(set(experts)) <= bounds.placements
            new = len(set(experts) - set(before[rank]))
            assert new <= bounds.copies_per_set
            copied[rank] += new
    assert max(copied) <= bounds.copies_per_rank


@pytest.mark.parametrize("seed", range(5))
def test_a_plan_keeps_every_bound_and_lowers_the_skew(seed: int) -> None:
    demand = skewed_demand(Random(seed))
    present = first_map(SETS, RANKS, EXPERTS)
    plan = plan_even_map(present, demand, BOUNDS)
    check(present, plan.experts, BOUNDS)
    assert plan.skew_planned == pytest.approx(map_skew(plan.experts, demand))
    assert plan.skew_planned < plan.skew_now


@pytest.mark.parametrize("seed", range(5))
def test_two_changes_follow_a_demand_that_turned(seed: int) -> None:
    """Load pattern: most of what is liked changes every four seconds; two changes take 1.5 s."""
    random = Random(seed)
    present = first_map(SETS, RANKS, EXPERTS)
    demand = skewed_demand(random)
    for _ in range(4):
        demand = turned_demand(demand, random)
        for _ in range(2):
            plan = plan_even_map(present, demand, BOUNDS)
            check(present, plan.experts, BOUNDS)
            present = plan.experts
        assert map_skew(present, demand) <= 1.10


def test_an_even_demand_changes_nothing() -> None:
    present = first_map(SETS, RANKS, EXPERTS)
    plan = plan_even_map(present, [[1.0] * EXPERTS] * SETS, BOUNDS)
    assert plan.experts == present
    assert plan.copies == 0


@pytest.mark.parametrize(
    ("sets", "ranks", "experts", "placements"),
    [(6, 8, 64, 11), (12, 32, 128, 5), (8, 63, 252, 5), (16, 96, 192, 3)],
)
def test_one_change_of_a_busy_group_of_any_size_takes_off_most_of_the_skew(
    sets: int, ranks: int, experts: int, placements: int
) -> None:
    """Load pattern: demand has turned; what each copy must bring does not grow with the ranks."""
    random = Random(ranks)
    demand = [[random.lognormvariate(0, 0.9) for _ in range(experts)] for _ in range(sets)]
    present = first_map(sets, ranks, experts)
    bounds = PlannerBounds(placements, 2, 8, BUSY_STEP_GAIN)
    plan = plan_even_map(present, demand, bounds)
    check(present, plan.experts, bounds)
    assert plan.skew_planned - 1.0 < 0.5 * (plan.skew_now - 1.0)
