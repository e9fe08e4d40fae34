"""Tests of the agents' slot decisions, simulated under overload and slow forward passes."""

from __future__ import annotations

import heapq
from random import Random

import pytest

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import SlotState
from bergamotchute_model.versioned_configuration import EnginePerformance
from bergamotchute_policy import slot_ledger
from bergamotchute_policy.concurrency_limit import (
    INITIAL_MAP_S,
    MEMORY_S,
    STALL_PAUSE_RATIO,
    WINDOW_S,
    ConcurrencyLimit,
    GroupLoad,
)
from bergamotchute_policy.direct_placement import DirectPlacement
from bergamotchute_policy.slot_queue import LESS_URGENT_PERIOD, WaitingRequest
from bergamotchute_policy.slot_search import SlotSearch, patience_s
from support.lock_step_engines import (
    ADDED_PASS_S_PER_REQUEST,
    EMPTY_PASS_S,
    ENGINE_TIMING,
    INITIAL_SKEW,
    MAX_PAUSE_S,
    SLOTS_PER_ENGINE,
    LockStepEngines,
    SimulatedRequest,
)

SEEDS = range(5)
FIRST_MAP_S = 1.5
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
        arrival_times = arrivals(Random(seed), 1.3 * CAPACITY_PER_S, 0.0, FIRST_MAP_S)
        engines = LockStepEngines(
            skews=((0.0, INITIAL_SKEW), (FIRST_MAP_S, 1.2)), is_limited=is_limited
        )
        return engines.simulate(arrival_times, 8.0)

    limited, full = simulate(True), simulate(False)
    assert in_time_share(limited) > 2.0 * in_time_share(full)
    ended = [sum(not draft.passes_left for draft in drafts) for drafts in (limited, full)]
    assert ended[0] > 0.8 * ended[1]


def test_returning_callers_of_an_outage_leave_slots_to_requests_still_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Callers of a four-second outage return together while others ask for the first time.

    The shares of single seeds scatter by 0.04 about a gain of about the same size.
    """

    def simulate(seed: int) -> list[SimulatedRequest]:
        random = Random(seed)
        late = [(random.uniform(0.0, 1.2), -2.0) for _ in range(150)]
        engines = LockStepEngines()
        drafts = engines.simulate([*late, *arrivals(random, 0.7 * CAPACITY_PER_S, 0.0, 5.0)], 9.0)
        return [draft for draft in drafts if draft.first_asked_at >= 0.0]

    seeds = range(20)
    with_reserve = sum(in_time_share(simulate(seed)) for seed in seeds)
    monkeypatch.setattr(slot_ledger, "TIMELY_SLOT_RATIO", 0.0)
    assert with_reserve > sum(in_time_share(simulate(seed)) for seed in seeds)


def observed_limit(pass_s: float, requests: float, until_s: float = 0.5) -> ConcurrencyLimit:
    """Return the limit of a group after a time of equal passes, beyond the use of its first map."""
    limit = ConcurrencyLimit(ENGINE_TIMING, -INITIAL_MAP_S)
    for number in range(int(until_s / 0.01)):
        limit.on_pause(pass_s, 0.01 * number, lambda: GroupLoad(requests))
    return limit


def test_a_group_is_limited_as_if_by_its_initial_map_at_first() -> None:
    limit = ConcurrencyLimit(ENGINE_TIMING, 10.0)
    assert limit.max_requests(10.0) == pytest.approx(0.074 / 0.0175)
    assert limit.max_requests(10.0 + INITIAL_MAP_S) is None


def test_a_group_whose_passes_are_short_is_not_limited() -> None:
    assert observed_limit(0.075, SLOTS_PER_ENGINE).max_requests(0.5) is None


def test_a_stalled_group_does_not_count_as_slow() -> None:
    """A held pass or a lost rank lengthens one pause of each stream, whatever runs."""
    assert observed_limit(STALL_PAUSE_RATIO * MAX_PAUSE_S + 0.01, 6.0).max_requests(0.5) is None


def test_one_late_event_does_not_count_as_a_slow_pass() -> None:
    """A lost packet delays the events of one stream."""
    limit = ConcurrencyLimit(ENGINE_TIMING, -INITIAL_MAP_S)
    for number in range(50):
        pause_s = 0.25 if number % 10 == 0 else 0.075
        limit.on_pause(pause_s, 0.02 * number, lambda: GroupLoad(6.0))
    assert limit.max_requests(1.0) is None


def test_a_group_whose_passes_are_slow_at_any_concurrency_keeps_all_slots() -> None:
    """Fewer requests would still miss their objective, so a limit would only delay more of them.

    Load pattern: one rank is slow, so passes take twice as long as a stream may pause.
    """
    limit = observed_limit(0.25, 3.0)
    assert limit.added_s
    assert limit.max_requests(0.5) is None


def test_the_limit_follows_from_the_requests_of_all_ranks() -> None:
    """The requests of all ranks make a pass long, not only those of the rank that is asked."""
    assert observed_limit(0.15, 5.0).max_requests(0.5) == pytest.approx(0.074 / 0.022)


def test_a_slow_pass_limits_for_a_while_after_it() -> None:
    limit = observed_limit(0.15, 5.0)
    slow_until = limit.added_s[-1][0]
    for number in range(1, 600):
        at = 0.5 + 0.01 * number
        limit.on_pause(0.06, at, lambda: GroupLoad(5.0))
        if not slow_until + MEMORY_S < at <= slow_until + MEMORY_S + 2 * WINDOW_S:
            assert (limit.max_requests(at) is None) == (at > slow_until + MEMORY_S)


def rank_heartbeat(rank: int) -> EndpointHeartbeat:
    address = Address(f"10.0.0.{rank}", 80)
    phase = EndpointPhase.READY
    return EndpointHeartbeat(f"rank-{rank}", 1, 1, "drafts", address, "a", SLOTS_PER_ENGINE, phase)


def test_a_limit_between_two_whole_numbers_is_met_on_average() -> None:
    placement = DirectPlacement("a", Random(1), engine_timings={"drafts": ENGINE_TIMING})
    ranks = [rank_heartbeat(rank) for rank in range(200)]
    for rank in ranks:
        placement.on_group_state(rank.address, "group", True)
    capacities = [placement.capacity(rank, 0.0) for rank in ranks]
    assert set(capacities) == {4, 5}
    assert sum(capacities) / 200 == pytest.approx(0.074 / 0.0175, abs=0.1)
    assert {placement.capacity(rank, INITIAL_MAP_S) for rank in ranks} == {SLOTS_PER_ENGINE}
    # The group closes and opens again, with its initial map.
    placement.on_group_state(ranks[0].address, "group", False)
    placement.on_group_state(ranks[0].address, "group", True)
    assert [placement.capacity(rank, 9.0) for rank in ranks] == capacities


@pytest.mark.parametrize("seed", SEEDS)
def test_streams_meet_their_pause_objective_while_demand_moves_to_other_experts(seed: int) -> None:
    """Each shift makes passes twice as long until the map has changed, and most streams meet one.

    Load pattern: demand moves to other experts every 2.3 s, at a load of the whole capacity.
    """

    def simulate(is_limited: bool) -> float:
        arrival_times = arrivals(Random(seed), CAPACITY_PER_S, 0.0, 15.0)
        skews = tuple(
            pair for shift in range(8) for pair in ((2.3 * shift, 3.2), (2.3 * shift + 0.6, 1.4))
        )
        drafts = LockStepEngines(skews=skews, is_limited=is_limited).simulate(arrival_times, 20.0)
        return in_time_share(drafts)

    assert simulate(True) > 1.2 * simulate(False)


def test_the_patience_of_a_caller_follows_from_its_objectives() -> None:
    assert patience_s(0.4, 0.12) == 2.0
    assert patience_s(0.8, 0.12) == 3.2
    assert patience_s(0.4, 0.3) == pytest.approx(2.4)


def test_outdated_loads_do_not_count_for_the_mean_of_a_group() -> None:
    """Too low a mean makes each request seem to add too much to a pass.

    Load pattern: the control VM that forwards loads is frozen while the load rises.
    """
    placement = DirectPlacement("a", Random(1), engine_timings={"drafts": ENGINE_TIMING})
    ranks = [rank_heartbeat(rank) for rank in range(12)]
    for rank in ranks:
        placement.on_group_state(rank.address, "group", True)
        placement.on_load_reported(rank, 1, 0.0)
    for number in range(1, 500):
        now = 3.0 + 0.01 * number
        # The answers of two agents are all that comes.
        placement.on_load_reported(ranks[number % 2], 1, now)
        placement.on_stream_pause(ranks[number % 12], 0.1, now)
    assert placement.limits["group"].max_requests(now) is None
    for number in range(500):
        now += 0.01
        placement.on_load_reported(ranks[number % 12], 3, now)
        placement.on_stream_pause(ranks[number % 12], 0.1, now)
    assert placement.limits["group"].max_requests(now) == pytest.approx(0.074 / 0.02, rel=0.1)


def shares_in_time(seed: int, most: int) -> tuple[float, float]:
    """Return which share of the urgent and of the other requests start in time at one endpoint.

    :param most: maximum number of other requests there; those without a slot wait in the engine,
        which starts them in order of arrival.
    """
    random = Random(seed)
    ledger, now, number = slot_ledger.SlotLedger(), 0.0, 0
    ends: list[tuple[float, int]] = []
    due_times: dict[int, tuple[int, float]] = {}
    in_engine: list[int] = []
    in_time, arrived = [0, 0], [0, 0]

    def start(started: int, at: float) -> None:
        heapq.heappush(ends, (at + random.uniform(1.2, 1.8), started))
        priority, due_at = due_times[started]
        in_time[priority] += at <= due_at

    def send(sent: int, at: float) -> None:
        if len(ends) < SLOTS_PER_ENGINE:
            start(sent, at)
        else:
            in_engine.append(sent)

    while now < 30.0:
        next_at = now + random.expovariate(1.5 * SLOTS_PER_ENGINE / 1.5)
        while ends and ends[0][0] <= next_at:
            now, ended = heapq.heappop(ends)
            if in_engine:
                start(in_engine.pop(0), now)
            ledger.release_slot("entry", ended)
            while (served := ledger.reserve_for_next(now)) is not None:
                # It misses half a pass on average.
                send(served.number, now + EMPTY_PASS_S)
        now, number = next_at, number + 1
        ledger.take_rejected(now)
        priority = int(random.random() > 0.35)
        arrived[priority] += 1
        due_times[number] = priority, now + 0.25
        request = WaitingRequest("entry", number, most, now + 0.25, priority, now + 1.75)
        if ledger.reserve_slot(request, 5, now) is SlotState.RESERVED:
            send(number, now)
    return in_time[0] / arrived[0], in_time[1] / arrived[1]


def test_urgent_requests_do_not_wait_in_the_engine_behind_others() -> None:
    """Demand of two priorities is 1.5 times the capacity of an endpoint.

    An engine starts in order of arrival, so that a place beyond its slots goes round the priorities.
    """
    engine = EnginePerformance(
        SLOTS_PER_ENGINE, 247_000, 0.005, 0.0007, 2e-8, 74_800.0, 512, 6, 835.0, 159.0
    )
    most = {}
    for has_priorities in (False, True):
        placement = DirectPlacement("a", Random(1))
        search = SlotSearch(placement, (), engine, has_priorities=has_priorities)
        first = search.next_slot_request([rank_heartbeat(1)], 0.0)
        assert first is not None
        search.on_refused(first)
        last = search.next_slot_request([rank_heartbeat(1)], 0.0)
        assert last is not None
        assert last.is_last
        most[has_priorities] = last.most
    assert most == {False: SLOTS_PER_ENGINE, True: SLOTS_PER_ENGINE - 1}
    urgent, others = (
        [sum(shares_in_time(seed, each)[kind] for seed in range(20)) for each in most.values()]
        for kind in (0, 1)
    )
    assert urgent[1] > 1.1 * urgent[0]
    assert others[1] > 0.95 * others[0]


def test_a_late_request_that_has_its_turn_does_not_hold_up_urgent_ones() -> None:
    """Late requests leave half of the slots free; waiting for that, all slots became idle."""
    ledger = slot_ledger.SlotLedger()
    for number in range(5):
        ledger.reserve_slot(WaitingRequest("entry", number, 4, 10.0), 0, 9.0)
    ledger.line.served_count = LESS_URGENT_PERIOD - 1
    ledger.reserve_slot(WaitingRequest("entry", 10, 4, 8.0, 2), 4, 9.0)
    ledger.reserve_slot(WaitingRequest("entry", 11, 4, 10.0, 0), 4, 9.0)
    ledger.release_slot("entry", 0)
    served = ledger.reserve_for_next(9.1)
    assert served is not None
    assert served.number == 11
