"""Slow ranks: which count as slow, what they hold, and which requests they get."""

from __future__ import annotations

from random import Random

import pytest

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_policy.direct_placement import PACE_TTL_S, DirectPlacement
from bergamotchute_policy.even_map_planner import (
    MapChangeBounds,
    initial_map,
    map_skew,
    plan_even_map,
)
from bergamotchute_policy.rank_pace import (
    MAX_PACE,
    is_notable_change,
    pace_weight,
)
from support.expert_demand import skewed_demand

SETS, RANKS, EXPERTS = 6, 8, 64
BOUNDS = MapChangeBounds(
    placements=11, max_copies_per_set=4, max_copies_per_rank=12, min_gain_per_copy=0.01
)


def test_only_a_pace_well_above_the_usual_one_counts() -> None:
    assert [pace_weight(pace) for pace in (None, 0.3, 1.0, 1.4)] == [1.0] * 4
    assert pace_weight(4.4) == 4.4
    assert pace_weight(1e9) == MAX_PACE


def test_a_pace_that_becomes_known_or_unknown_is_notable() -> None:
    assert is_notable_change(None, 1.0)
    assert is_notable_change(1.0, None)
    assert not is_notable_change(None, None)
    assert not is_notable_change(1.0, 1.1)
    assert is_notable_change(4.4, 1.0)


@pytest.mark.parametrize("seed", range(5))
def test_the_first_change_relieves_a_slow_rank(seed: int) -> None:
    """The popular experts leave a rank that became slow, within the bounds of one change."""
    demand = skewed_demand(Random(seed))
    current = initial_map(SETS, RANKS, EXPERTS)
    for _ in range(4):
        current = plan_even_map(current, demand, BOUNDS).experts
    weights = (1.0, 1.0, 1.0, 4.4, 1.0, 1.0, 1.0, 1.0)
    plan = plan_even_map(current, demand, BOUNDS, weights)
    assert plan.skew_now == pytest.approx(map_skew(current, demand, weights))
    assert plan.skew_now > 3.0
    assert plan.skew_planned < 0.6 * plan.skew_now
    for by_rank in plan.experts:
        assert {expert for held in by_rank for expert in held} == set(range(EXPERTS))
        assert max(map(len, by_rank)) <= BOUNDS.placements
    later = plan_even_map(plan.experts, demand, BOUNDS, weights)
    assert later.skew_planned <= plan.skew_planned


@pytest.mark.parametrize("seed", range(3))
def test_popular_experts_leave_many_slow_ranks(seed: int) -> None:
    """Guards against a plan without a step as soon as the fast ranks hold only single replicas.

    Load pattern: 25 of 63 ranks become twelve times slower. Without exchanges of experts the skew
    stayed at 8 after any number of changes; no map goes below 3.1.
    """
    random = Random(seed)
    popularity = [[(place + 1) ** -0.67 for place in range(252)] for _ in range(4)]
    for expert_set in popularity:
        random.shuffle(expert_set)
    bounds = MapChangeBounds(5, 2, 11, 0.024)
    current = initial_map(4, 63, 252)
    for _ in range(4):
        current = plan_even_map(current, popularity, bounds).experts
    slow = set(random.sample(range(63), 25))
    weights = tuple(12.0 if rank in slow else 1.0 for rank in range(63))
    for _ in range(4):
        plan = plan_even_map(current, popularity, bounds, weights)
        for before, after in zip(current, plan.experts, strict=True):
            assert {expert for held in after for expert in held} == set(range(252))
            assert max(map(len, after)) <= bounds.placements
            for held_before, held in zip(before, after, strict=True):
                assert len(set(held) - set(held_before)) <= bounds.max_copies_per_set
        current = plan.experts
    assert map_skew(current, popularity, weights) < 5.2
    for _ in range(3):
        current = plan_even_map(current, popularity, bounds).experts
    assert map_skew(current, popularity) < 1.6


def _endpoints(count: int) -> list[EndpointHeartbeat]:
    return [
        EndpointHeartbeat(
            f"rank-{rank}",
            1,
            1,
            "drafts",
            Address(f"10.0.0.{rank}", 80),
            "a",
            5,
            EndpointPhase.READY,
        )
        for rank in range(count)
    ]


def _chosen(placement: DirectPlacement, endpoints: list[EndpointHeartbeat], now: float) -> str:
    candidate = placement.select_endpoint(endpoints, (), now)
    assert candidate is not None
    return candidate.heartbeat.endpoint


def test_a_slow_rank_gets_no_request_while_its_pace_is_known() -> None:
    placement, endpoints = DirectPlacement("a", Random(1)), _endpoints(8)
    for endpoint in endpoints[1:]:
        placement.on_load_reported(endpoint, 3, 0.0)
    assert _chosen(placement, endpoints, 0.0) == "rank-0"
    assert placement.on_pace_reported(endpoints[0], 4.4, 0.0)
    assert not placement.on_pace_reported(endpoints[0], 4.0, 0.0)
    assert _chosen(placement, endpoints, 0.0) != "rank-0"
    assert _chosen(placement, endpoints, PACE_TTL_S) == "rank-0"
    assert placement.on_pace_reported(endpoints[0], 4.4, PACE_TTL_S)
    assert placement.on_pace_reported(endpoints[0], 1.0, PACE_TTL_S)
    assert _chosen(placement, endpoints, PACE_TTL_S) == "rank-0"


@pytest.mark.parametrize("slow_count", [7, 8])
def test_no_rank_is_avoided_when_nearly_all_are_slow(slow_count: int) -> None:
    placement, endpoints = DirectPlacement("a", Random(1)), _endpoints(8)
    for endpoint in endpoints[1:]:
        placement.on_load_reported(endpoint, 3, 0.0)
    for endpoint in endpoints[:slow_count]:
        placement.on_pace_reported(endpoint, 4.4, 0.0)
    assert _chosen(placement, endpoints, 0.0) == "rank-0"


@pytest.mark.parametrize("slow_count", [3, 5])
def test_many_slow_ranks_get_no_request(slow_count: int) -> None:
    """Guards against requests at slow ranks that lengthen all passes.

    Load pattern: two fifths of the ranks are slow, and more in the part that one entry uses.
    """
    placement, endpoints = DirectPlacement("a", Random(1)), _endpoints(8)
    for endpoint in endpoints[slow_count:]:
        placement.on_load_reported(endpoint, 3, 0.0)
    for endpoint in endpoints[:slow_count]:
        placement.on_pace_reported(endpoint, 12.0, 0.0)
    chosen = {_chosen(placement, endpoints, 0.0) for _ in range(50)}
    assert chosen <= {f"rank-{rank}" for rank in range(slow_count, 8)}


def test_last_free_slot_at_a_slow_rank_keeps_a_full_subset_in_use() -> None:
    placement, endpoints = DirectPlacement("a", Random(1)), _endpoints(8)
    for endpoint in endpoints[1:]:
        placement.on_load_reported(endpoint, 5, 0.0)
    assert placement.has_free_slot(endpoints, 0.0)
    placement.on_pace_reported(endpoints[0], 4.4, 0.0)
    assert not placement.has_free_slot(endpoints, 0.0)
