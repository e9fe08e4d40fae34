"""Placement while a rank group stands still, and by load that others caused."""

from __future__ import annotations

from random import Random

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_model.whole_configuration import EngineFigures
from bergamotchute_policy.direct_placement import FULL_BAR_S, DirectPlacement
from bergamotchute_policy.engine_model import drain_s
from bergamotchute_policy.rank_groups import STALL_BASE_S, RankGroups
from bergamotchute_policy.slot_search import longest_queue


def endpoint(number: int, zone: str = "north") -> EndpointHeartbeat:
    return EndpointHeartbeat(
        f"r{number}", 1, 1, "model", Address(f"10.0.0.{number}", 80), zone, 6, EndpointPhase.READY
    )


RANKS = [endpoint(number) for number in range(8)]


def placement() -> DirectPlacement:
    """Return a placement over two groups of four ranks each."""
    placed = DirectPlacement("north", Random(1))
    for number, rank in enumerate(RANKS):
        placed.groups.on_place(rank.address, f"g{number // 4}", True)
    return placed


def chosen(placed: DirectPlacement, now: float, count: int = 50) -> set[str]:
    picks = [placed.choose(RANKS, (), now) for _ in range(count)]
    return {pick.heartbeat.endpoint for pick in picks if pick is not None}


def test_no_rank_of_a_group_that_stands_still_is_chosen() -> None:
    """Load pattern: a rank dies at the crest; its group is the emptiest as nothing ends there."""
    placed = placement()
    for rank in RANKS[4:]:
        placed.on_sent(rank)
    placed.on_silence(RANKS[0], 10.0)
    assert chosen(placed, 10.1) <= {"r4", "r5", "r6", "r7"}


def test_a_group_that_stood_still_is_tried_again_ever_later() -> None:
    groups = RankGroups()
    groups.on_place(RANKS[0].address, "g0", True)
    groups.on_silence(RANKS[0].address, 10.0)
    assert groups.is_stalled(RANKS[0].address, 10.0 + 0.9 * STALL_BASE_S)
    assert not groups.is_stalled(RANKS[0].address, 10.0 + 1.1 * STALL_BASE_S)
    groups.on_silence(RANKS[0].address, 11.0)
    assert groups.is_stalled(RANKS[0].address, 11.0 + 1.9 * STALL_BASE_S)
    groups.on_progress(RANKS[0].address)
    assert not groups.is_stalled(RANKS[0].address, 11.1)


def test_a_group_that_is_told_broken_is_avoided_until_it_opens() -> None:
    placed = placement()
    placed.groups.on_place(RANKS[1].address, "g0", False)
    assert chosen(placed, 10.0) <= {"r4", "r5", "r6", "r7"}
    placed.groups.on_place(RANKS[1].address, "g0", True)
    assert chosen(placed, 10.0) & {"r0", "r1", "r2", "r3"}


def test_a_group_that_stands_still_is_used_where_there_is_no_other() -> None:
    placed = placement()
    placed.on_silence(RANKS[0], 10.0)
    placed.on_silence(RANKS[4], 10.0)
    assert placed.choose(RANKS, (), 10.1) is not None


def test_a_full_endpoint_rests_for_a_moment() -> None:
    placed = placement()
    for rank in RANKS[1:]:
        placed.on_sent(rank)
    placed.on_full(RANKS[0], 10.0)
    assert "r0" not in chosen(placed, 10.0 + 0.9 * FULL_BAR_S)


def test_what_an_endpoint_told_counts_less_as_it_ages() -> None:
    """Load pattern: other entries filled an endpoint; its word is a second old or more."""
    placed = placement()
    placed.on_told(RANKS[0], 6, 10.0)
    load = placed.load(RANKS[0])
    assert load.others(10.0) == 6
    assert 2.9 < load.others(11.0) < 3.1


ENGINE = EngineFigures(6, 247_000, 0.005, 0.0007, 2e-8, 75_000.0, 512, 6, 835.0, 159.0)


def test_a_crest_beyond_all_engines_is_turned_away_spread_over_time() -> None:
    """Load pattern: callers of an outage come back together, twice what the engines can do."""
    placed = placement()
    for rank in RANKS:
        placed.on_told(rank, 7, 10.0)
    pick = placed.choose(RANKS, (), 10.0)
    assert pick is not None
    assert not placed.has_too_much(pick, ENGINE)
    for rank in RANKS:
        placed.on_told(rank, 8, 10.0)
    pick = placed.choose(RANKS, (), 10.0)
    assert pick is not None
    assert placed.has_too_much(pick, ENGINE)
    assert not placed.has_too_much(pick, None)
    times = sorted(placed.return_s(ENGINE) for _ in range(200))
    drained_s = drain_s(ENGINE, longest_queue(ENGINE))
    assert times[0] < drained_s < times[-1]
    assert times[0] > 0.25 * drained_s
    assert times[-1] - times[0] > 0.9 * drained_s


def test_nothing_is_turned_away_while_one_engine_has_a_place() -> None:
    placed = placement()
    for rank in RANKS[:-1]:
        placed.on_told(rank, 12, 10.0)
    pick = placed.choose(RANKS, (), 10.0)
    assert pick is not None
    assert pick.heartbeat == RANKS[-1]
    assert not placed.has_too_much(pick, ENGINE)


def test_the_own_zone_comes_first_until_it_is_fuller() -> None:
    placed = DirectPlacement("north", Random(1))
    near, far = endpoint(1), endpoint(2, "south")
    pick = placed.choose([far, near], (), 0.0)
    assert pick is not None
    assert pick.heartbeat == near
    placed.on_sent(near)
    pick = placed.choose([far, near], (), 0.0)
    assert pick is not None
    assert pick.heartbeat == far
