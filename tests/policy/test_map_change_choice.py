"""When maps change and by how much, replayed on demand that turns."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from bergamotchute_model.whole_configuration import EngineFigures
from bergamotchute_policy.even_map_planner import (
    ExpertSets,
    PlannerBounds,
    first_map,
    map_skew,
    plan_even_map,
)
from bergamotchute_policy.map_change_choice import (
    COPIES_MAX,
    busyness,
    change_bounds,
    is_worth_changing,
)
from bergamotchute_policy.pass_pace import FIRST_PASS_S, PassPace
from support.expert_demand import EXPERTS, RANKS, SETS, skewed_demand, turned_demand

ENGINE = EngineFigures(
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
    SETS,
    EXPERTS,
    11,
    4,
    0.85,
    0.15,
)
TURN_S = 4.0
COPY_S = 0.15
NOTICE_S = 0.3
"""From a turn until counts show it and a plan is made."""

SWITCH_S = 0.3
"""From complete copies until the pass with the new map."""


def _new_experts(present: ExpertSets, planned: ExpertSets) -> int:
    """Return the experts that the rank with the most copies copies."""
    return max(
        sum(len(set(planned[one][rank]) - set(present[one][rank])) for one in range(SETS))
        for rank in range(RANKS)
    )


def _mean_pass(seed: int, bounds: PlannerBounds, turns: int = 4) -> float:
    """Return the mean time of a pass, over that of an even load, while demand turns."""
    random = Random(seed)
    present = first_map(SETS, RANKS, EXPERTS)
    demand = skewed_demand(random)
    spent = 0.0
    for _ in range(turns):
        demand = turned_demand(demand, random)
        left_s = TURN_S
        now_s = 0.15 + 0.85 * map_skew(present, demand)
        spent += NOTICE_S * now_s
        left_s -= NOTICE_S
        while left_s > 0:
            plan = plan_even_map(present, demand, bounds)
            if not is_worth_changing(plan, 1.0):
                spent += left_s * now_s
                break
            copying_s = min(left_s, COPY_S * _new_experts(present, plan.experts))
            waiting_s = min(left_s - copying_s, SWITCH_S)
            spent += (1.15 * copying_s + waiting_s) * now_s
            left_s -= copying_s + waiting_s
            present = plan.experts
            now_s = 0.15 + 0.85 * map_skew(present, demand)
    return spent / (turns * TURN_S)


@pytest.mark.parametrize("seed", range(3))
def test_at_a_crest_many_small_changes_beat_few_large_ones(seed: int) -> None:
    """Load pattern: two thirds of the demand turn every four seconds in a busy group."""
    small = change_bounds(ENGINE, busy=1.0)
    large = change_bounds(ENGINE, busy=0.0)
    assert (small.copies_per_rank, large.copies_per_rank) == (1, 5)
    large = replace(small, copies_per_rank=large.copies_per_rank)
    assert _mean_pass(seed, small) < 0.95 * _mean_pass(seed, large)


def test_a_group_of_small_experts_copies_more_of_them_at_once() -> None:
    """Load pattern: 96 ranks whose experts take 18 ms each; a change of one would bring little."""
    engine = replace(ENGINE, expert_copy_s=0.018)
    assert change_bounds(engine, busy=1.0).copies_per_rank == 8
    assert change_bounds(engine, busy=0.0).copies_per_rank == COPIES_MAX


def test_a_calm_group_changes_only_for_much() -> None:
    demand = skewed_demand(Random(1))
    present = first_map(SETS, RANKS, EXPERTS)
    calm = change_bounds(ENGINE, busy=0.0)
    plan = plan_even_map(present, demand, calm)
    assert is_worth_changing(plan, 0.0)
    further = plan_even_map(plan.experts, demand, calm)
    assert not is_worth_changing(further, 0.0)


def test_a_group_is_busy_by_its_requests() -> None:
    assert busyness(0, RANKS, ENGINE) == 0.0
    assert 0.4 < busyness(18, RANKS, ENGINE) < 0.6
    assert busyness(48, RANKS, ENGINE) == 1.0


def test_passes_are_timed_over_what_ranks_tell() -> None:
    pace = PassPace()
    pace.observe(1, 100, 10.0)
    assert pace.pass_s == FIRST_PASS_S
    for tenth in range(1, 11):
        pace.observe(1, 100 + tenth, 10.0 + 0.1 * tenth)
    assert pace.pass_s == pytest.approx(0.1)
    assert pace.passes_ahead(0.08) == 2
    pace.observe(1, 90, 12.0)
    assert pace.pass_s == pytest.approx(0.1)
    pace.observe(2, 3, 12.0)
    assert pace.pass_s == FIRST_PASS_S
    assert pace.passes_ahead(0.08) == 4
