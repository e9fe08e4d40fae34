"""Tests placement with stalled rank groups and with load caused by other entries."""

from __future__ import annotations

from random import Random

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_model.versioned_configuration import EnginePerformance
from bergamotchute_policy.direct_placement import FULL_EJECTION_S, DirectPlacement
from bergamotchute_policy.engine_model import queue_drain_s
from bergamotchute_policy.rank_group_tracker import INITIAL_STALL_S, RankGroupTracker
from bergamotchute_policy.slot_search import max_queue_length


def endpoint(number: int, zone: str = "north") -> EndpointHeartbeat:
    return EndpointHeartbeat(
        f"r{number}", 1, 1, "model", Address(f"10.0.0.{number}", 80), zone, 6, EndpointPhase.READY
    )


RANKS = [endpoint(number) for number in range(8)]


def placement() -> DirectPlacement:
    """Return a placement for two groups of four ranks each."""
    direct_placement = DirectPlacement("north", Random(1))
    for number, rank in enumerate(RANKS):
        direct_placement.rank_groups.on_group_state(rank.address, f"g{number // 4}", True)
    return direct_placement


def chosen_endpoints(direct_placement: DirectPlacement, now: float, count: int = 50) -> set[str]:
    picks = [direct_placement.select_endpoint(RANKS, (), now) for _ in range(count)]
    return {pick.heartbeat.endpoint for pick in picks if pick is not None}


def test_no_rank_of_a_stalled_group_is_chosen() -> None:
    """A rank dies during peak load; its group would attract requests as the least loaded one."""
    direct_placement = placement()
    for rank in RANKS[4:]:
        direct_placement.on_request_sent(rank)
    direct_placement.on_no_progress(RANKS[0], 10.0)
    assert chosen_endpoints(direct_placement, 10.1) <= {"r4", "r5", "r6", "r7"}


def test_the_stall_time_grows_with_consecutive_stalls() -> None:
    groups = RankGroupTracker()
    groups.on_group_state(RANKS[0].address, "g0", True)
    groups.on_rank_stalled(RANKS[0].address, 10.0)
    assert groups.is_stalled(RANKS[0].address, 10.0 + 0.9 * INITIAL_STALL_S)
    assert not groups.is_stalled(RANKS[0].address, 10.0 + 1.1 * INITIAL_STALL_S)
    groups.on_rank_stalled(RANKS[0].address, 11.0)
    assert groups.is_stalled(RANKS[0].address, 11.0 + 1.9 * INITIAL_STALL_S)
    groups.on_rank_progress(RANKS[0].address)
    assert not groups.is_stalled(RANKS[0].address, 11.1)


def test_a_closed_group_is_avoided_until_it_opens() -> None:
    direct_placement = placement()
    direct_placement.rank_groups.on_group_state(RANKS[1].address, "g0", False)
    assert chosen_endpoints(direct_placement, 10.0) <= {"r4", "r5", "r6", "r7"}
    direct_placement.rank_groups.on_group_state(RANKS[1].address, "g0", True)
    assert chosen_endpoints(direct_placement, 10.0) & {"r0", "r1", "r2", "r3"}


def test_a_stalled_group_is_used_if_there_is_no_other() -> None:
    direct_placement = placement()
    direct_placement.on_no_progress(RANKS[0], 10.0)
    direct_placement.on_no_progress(RANKS[4], 10.0)
    assert direct_placement.select_endpoint(RANKS, (), 10.1) is not None


def test_a_full_endpoint_is_not_chosen_for_a_while() -> None:
    direct_placement = placement()
    for rank in RANKS[1:]:
        direct_placement.on_request_sent(rank)
    direct_placement.on_slots_full(RANKS[0], 10.0)
    assert "r0" not in chosen_endpoints(direct_placement, 10.0 + 0.9 * FULL_EJECTION_S)


def test_reported_load_counts_less_as_it_ages() -> None:
    """Other entries have filled an endpoint, and its load report is a second old or more."""
    direct_placement = placement()
    direct_placement.on_load_reported(RANKS[0], 6, 10.0)
    load = direct_placement.load(RANKS[0])
    assert load.estimated_others(10.0) == 6
    assert 2.9 < load.estimated_others(11.0) < 3.1


ENGINE = EnginePerformance(6, 247_000, 0.005, 0.0007, 2e-8, 75_000.0, 512, 6, 835.0, 159.0)


def test_refused_peak_load_is_asked_to_return_spread_over_time() -> None:
    """After an outage, callers return together with twice the load that the engines can serve."""
    direct_placement = placement()
    for rank in RANKS:
        direct_placement.on_load_reported(rank, 7, 10.0)
    pick = direct_placement.select_endpoint(RANKS, (), 10.0)
    assert pick is not None
    assert not direct_placement.is_overloaded(pick, ENGINE)
    for rank in RANKS:
        direct_placement.on_load_reported(rank, 8, 10.0)
    pick = direct_placement.select_endpoint(RANKS, (), 10.0)
    assert pick is not None
    assert direct_placement.is_overloaded(pick, ENGINE)
    assert not direct_placement.is_overloaded(pick, None)
    return_times_s = sorted(direct_placement.random_retry_delay_s(ENGINE) for _ in range(200))
    drained_s = queue_drain_s(ENGINE, max_queue_length(ENGINE))
    assert return_times_s[0] < drained_s < return_times_s[-1]
    assert return_times_s[0] > 0.25 * drained_s
    assert return_times_s[-1] - return_times_s[0] > 0.9 * drained_s


def test_nothing_is_refused_while_one_engine_has_a_free_slot() -> None:
    direct_placement = placement()
    for rank in RANKS[:-1]:
        direct_placement.on_load_reported(rank, 12, 10.0)
    pick = direct_placement.select_endpoint(RANKS, (), 10.0)
    assert pick is not None
    assert pick.heartbeat == RANKS[-1]
    assert not direct_placement.is_overloaded(pick, ENGINE)


def test_the_same_zone_is_preferred_until_it_is_more_loaded() -> None:
    direct_placement = DirectPlacement("north", Random(1))
    same_zone, remote_zone = endpoint(1), endpoint(2, "south")
    pick = direct_placement.select_endpoint([remote_zone, same_zone], (), 0.0)
    assert pick is not None
    assert pick.heartbeat == same_zone
    direct_placement.on_request_sent(same_zone)
    pick = direct_placement.select_endpoint([remote_zone, same_zone], (), 0.0)
    assert pick is not None
    assert pick.heartbeat == remote_zone
