"""Extra requests cut the slowest answers, and never exceed the limit that operators set."""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_model.versioned_configuration import EnginePerformance
from bergamotchute_policy.direct_placement import DirectPlacement
from bergamotchute_policy.hedging import (
    BURST_SENDS,
    MIN_KNOWN_TIMES,
    ROUND_TRIPS_S,
    WINDOW_S,
    FirstAnswerTimes,
    HedgeLimit,
    min_delay_s,
    select_hedge_target,
)

ROUTE = ("draft", "model")
ENGINE = EnginePerformance(5, 116_666, 0.00455, 0.00218, 0.0, 61_000.0, 512, 5, 674.0, 95.0)

ENTRIES = 5
REQUESTS = 30_000
REQUESTS_PER_S = 60.0
SLOW_SHARE = 0.012
SLOW_SPELL = (200.0, 209.0)


def replay(share: float, has_spell: bool = True) -> tuple[list[float], dict[int, int]]:
    """Replay a load of which a few answers are slow; return their times, and extra requests by second.

    From second 200 on, two fifths of the endpoints are twelve times slower for nine seconds.
    """
    random = Random(7)
    times = [FirstAnswerTimes(share) for _ in range(ENTRIES)]
    limits = [HedgeLimit(share) for _ in range(ENTRIES)]
    took_s: list[float] = []
    extra: dict[int, int] = {}
    checks: list[tuple[float, int, float, float]] = []

    def service_s(now: float) -> float:
        base_s = random.lognormvariate(-2.3, 0.25)
        is_in_spell = has_spell and SLOW_SPELL[0] <= now < SLOW_SPELL[1] and random.random() < 0.4
        return base_s * 12.0 if is_in_spell or random.random() < SLOW_SHARE else base_s

    def check_until(now: float) -> None:
        """Send the extra requests that are due by a time."""
        while checks and checks[0][0] <= now:
            due_at, entry, sent_at, ends_at = heappop(checks)
            if limits[entry].may_send(due_at, ENTRIES):
                limits[entry].on_sent(due_at)
                extra[int(due_at)] = extra.get(int(due_at), 0) + 1
                ends_at = min(ends_at, due_at + service_s(due_at))
            took_s.append(ends_at - sent_at)
            times[entry].record(ROUTE, ends_at - sent_at)

    for number in range(REQUESTS):
        now = number / REQUESTS_PER_S
        check_until(now)
        entry = random.randrange(ENTRIES)
        limits[entry].on_request(now)
        needed_s = service_s(now)
        delay_s = times[entry].delay_s(ROUTE, ROUND_TRIPS_S) if share else None
        if delay_s is not None and needed_s > delay_s:
            heappush(checks, (now + delay_s, entry, now, now + needed_s))
        else:
            took_s.append(needed_s)
            times[entry].record(ROUTE, needed_s)
    check_until(float("inf"))
    return sorted(took_s), extra


def quantile(took_s: list[float], share: float) -> float:
    return took_s[int(share * len(took_s))]


def test_extra_requests_leave_the_slowest_answers_as_they_are() -> None:
    without, _ = replay(0.0, has_spell=False)
    with_extra, _ = replay(0.05, has_spell=False)
    assert quantile(without, 0.99) > 0.8
    assert quantile(with_extra, 0.99) < 0.3
    assert quantile(without, 0.999) > 1.5
    assert quantile(with_extra, 0.999) < 0.5
    assert quantile(with_extra, 0.5) < 1.05 * quantile(without, 0.5)


def test_extra_requests_of_all_entries_exceed_the_share_and_one_burst_in_a_window() -> None:
    """Two fifths of the endpoints are slow for nine seconds, so that far more would be sent."""
    for share in (0.01, 0.05):
        _, extra = replay(share)
        # A window of whole seconds here overlaps that of the limit only in part.
        most = 1.1 * share * REQUESTS_PER_S * WINDOW_S + BURST_SENDS
        for start in range(int(REQUESTS / REQUESTS_PER_S)):
            assert sum(extra.get(start + each, 0) for each in range(WINDOW_S)) <= most
        assert max(extra.values()) > 2.0 * share * REQUESTS_PER_S


def test_request_counts_as_slow_before_enough_times_are_known_or_a_pass_could_end() -> None:
    times = FirstAnswerTimes(0.05)
    for _ in range(MIN_KNOWN_TIMES - 1):
        times.record(ROUTE, 0.001)
    assert times.delay_s(ROUTE, 0.0) is None
    times.record(ROUTE, 0.001)
    pass_of_full_engine_s = 5 * (0.00455 + 5 * 0.00218) + 674.0 / 61_000.0
    assert times.delay_s(ROUTE, min_delay_s(ENGINE)) == ROUND_TRIPS_S + pass_of_full_engine_s
    assert times.delay_s(ROUTE, min_delay_s(None)) == ROUND_TRIPS_S
    assert times.delay_s(("other", "model"), 0.0) is None


def endpoint(number: int, phase: EndpointPhase = EndpointPhase.READY) -> EndpointHeartbeat:
    address = Address("10.0.0.1", 9000 + number)
    return EndpointHeartbeat(f"runner-{number}", 1, 1, "model", address, "north", 2, phase)


def test_extra_request_goes_to_an_endpoint_that_is_full_slow_ejected_or_the_first() -> None:
    now = 10.0
    placement = DirectPlacement("north", Random(1))
    endpoints = [endpoint(number) for number in range(7)]
    first, full, slow, ejected, paused, stalled, limited = endpoints
    placement.on_load_reported(full, 2, now)
    placement.on_pace_reported(slow, 12.0, now)
    placement.on_failure(ejected, now)
    placement.on_pause_requested(paused, 1.0, now)
    placement.on_group_state(stalled.address, "group-1", takes_work=False)
    placement.on_permit_refused(limited, 1.0, now)
    quiet = endpoint(7, EndpointPhase.LEAVING)

    def target(*others: EndpointHeartbeat) -> str | None:
        chosen = select_hedge_target(placement, [*endpoints, quiet, *others], first, (), now)
        return chosen.heartbeat.endpoint if chosen else None

    assert target() is None
    assert target(endpoint(8)) == "runner-8"
