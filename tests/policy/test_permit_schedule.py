"""Permits keep the requests to an endpoint within the rate that it named."""

from __future__ import annotations

from random import Random

import pytest

from bergamotchute_model.identifiers import Address
from bergamotchute_model.rate_limits import RequestPermit
from bergamotchute_policy.permit_schedule import Permit, PermitSchedule, choose_permit_host

WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_REQUESTS = 5
"""An endpoint may get this ratio of what its limit allows in a window, and so many requests more."""


PATIENCE_S = 0.4


def ask(
    schedule: PermitSchedule, limit: float, patience_s: float, now: float, *, born_ms: int = 1
) -> Permit:
    return schedule.request_permit(RequestPermit(1, "runner-1", born_ms, limit, patience_s), now)


def replay_load(
    limit: float, requests_per_s: float, duration_s: float, random: Random, started_at: float = 0.0
) -> list[float]:
    """Return when the requests of a random load are sent by a new schedule."""
    schedule = PermitSchedule()
    sent_at: list[float] = []
    now = started_at
    while (now := now + random.expovariate(requests_per_s)) < started_at + duration_s:
        permit = ask(schedule, limit, PATIENCE_S, now)
        assert permit.wait_s <= PATIENCE_S or not permit.granted
        if permit.granted:
            sent_at.append(now + permit.wait_s)
    return sorted(sent_at)


def most_in_a_window(sent_at: list[float]) -> int:
    return max(sum(begin <= each < begin + WINDOW_S for each in sent_at) for begin in sent_at)


@pytest.mark.parametrize("limit", [0.0, 0.3, 1.0, 3.7, 20.0, 250.0])
@pytest.mark.parametrize("seed", range(5))
def test_endpoint_gets_no_more_than_its_rate(limit: float, seed: int) -> None:
    random = Random(seed)
    load = 20.0 + 4 * limit
    sent_at = replay_load(limit, load, 20.0, random)
    assert most_in_a_window(sent_at) <= ALLOWED_RATIO * WINDOW_S * limit + ALLOWED_REQUESTS
    assert len(sent_at) >= 0.9 * limit * 20.0, "the rate is used"


@pytest.mark.parametrize("limit", [0.0, 1.0, 3.7, 20.0])
def test_another_host_of_the_schedule_does_not_exceed_the_rate(limit: float) -> None:
    random = Random(1)
    sent_at = replay_load(limit, 50.0, 10.0, random)
    sent_at += replay_load(limit, 50.0, 10.0, random, started_at=10.0)
    assert most_in_a_window(sent_at) <= ALLOWED_RATIO * WINDOW_S * limit + ALLOWED_REQUESTS


def test_a_limit_of_zero_lets_single_requests_find_its_end() -> None:
    sent_at = replay_load(0.0, 20.0, 60.0, Random(1))
    assert 10 <= len(sent_at) <= 16


def test_refusal_names_the_time_at_which_a_permit_is_free() -> None:
    schedule = PermitSchedule()
    while ask(schedule, 2.0, 0.0, 10.0).granted:
        pass
    refused = ask(schedule, 2.0, 0.0, 10.0)
    assert 0.0 < refused.wait_s <= 0.5
    almost = 10.0 + refused.wait_s - 0.01
    assert not ask(schedule, 2.0, 0.0, almost).granted
    assert ask(schedule, 2.0, 0.0, 10.01 + refused.wait_s).granted


def test_higher_limit_holds_at_once() -> None:
    schedule = PermitSchedule()
    while ask(schedule, 0.0, 1.0, 10.0).granted:
        pass
    assert ask(schedule, 20.0, 0.2, 10.1).granted


def test_new_incarnation_begins_without_debt() -> None:
    schedule = PermitSchedule()
    while ask(schedule, 1.0, 0.0, 10.0).granted:
        pass
    assert ask(schedule, 1.0, 0.0, 10.0, born_ms=2) == Permit(True, 0.0)


def test_hosts_are_the_same_for_all_and_shared_out() -> None:
    hosts = [Address(f"10.0.0.{number}", 7000) for number in range(1, 6)]
    chosen = [choose_permit_host(f"runner-{number}", hosts) for number in range(200)]
    assert chosen == [choose_permit_host(f"runner-{n}", reversed(hosts)) for n in range(200)]
    assert all(20 <= chosen.count(host) <= 60 for host in hosts)
    assert choose_permit_host("runner-1", []) is None
