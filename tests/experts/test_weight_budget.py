"""The weight store's rate is never exceeded, and shared fairly."""

from __future__ import annotations

import random

import pytest

from bergamotchute_policy.weight_budget import (
    LEASE_S,
    RateGranted,
    RateMeter,
    RateWanted,
    WeightBudget,
)


def budget(rate: float = 100.0) -> WeightBudget:
    return WeightBudget(rate, started_at_s=-LEASE_S)


def ask(shared: WeightBudget, holder: str, wanted: float, now: float) -> float:
    return shared.on_rate_wanted(RateWanted(holder, 1, wanted), now).bytes_s


def test_a_lone_holder_gets_what_it_wants_and_two_settle_on_halves() -> None:
    shared = budget()
    assert ask(shared, "one", 300.0, 0.0) == 100.0
    assert ask(shared, "two", 300.0, 1.0) == 0.0
    assert ask(shared, "one", 300.0, 2.0) == 50.0
    assert ask(shared, "two", 300.0, 3.0) == 0.0
    assert ask(shared, "two", 300.0, LEASE_S) == 50.0


def test_what_a_small_holder_leaves_goes_to_the_others() -> None:
    shared = budget()
    for _ in range(3):
        for holder, wanted in (("small", 10.0), ("one", 300.0), ("two", 300.0)):
            ask(shared, holder, wanted, 0.0)
    for turn in range(1, 4):
        now = turn * LEASE_S
        granted = {
            holder: ask(shared, holder, wanted, now)
            for holder, wanted in (("small", 10.0), ("one", 300.0), ("two", 300.0))
        }
    assert granted == {"small": 10.0, "one": 45.0, "two": 45.0}


def test_a_new_budget_waits_out_the_leases_of_the_one_before() -> None:
    shared = WeightBudget(100.0, started_at_s=50.0)
    assert ask(shared, "one", 100.0, 50.0 + LEASE_S / 2) == 0.0
    assert ask(shared, "one", 100.0, 50.0 + LEASE_S) == 100.0


def test_parts_in_force_never_exceed_the_rate() -> None:
    chance = random.Random(4)
    shared = budget()
    leases: list[tuple[str, float, float]] = []
    now = 0.0
    for _ in range(3000):
        now += chance.random()
        holder = f"g{chance.randrange(6)}"
        granted = ask(shared, holder, chance.choice((0.0, 5.0, 40.0, 500.0)), now)
        # A holder that has not heard of its new part uses the old one until its lease ends.
        leases = [lease for lease in leases if lease[2] > now]
        leases.append((holder, granted, now + LEASE_S))
        most = {name: max(g for n, g, _ in leases if n == name) for name, _, _ in leases}
        assert sum(most.values()) <= 100.0 + 1e-6


def test_loads_are_paced_and_a_lapsed_lease_stops_them() -> None:
    meter = RateMeter()
    assert meter.wait_s(10, 0.0) is None
    meter.on_rate_granted(RateGranted("one", 1, 10.0, LEASE_S), sent_at_s=0.0)
    assert meter.wait_s(10, 0.0) == 0.0
    assert meter.wait_s(10, 0.0) == 1.0
    assert meter.wait_s(100, 1.0) == 1.0
    assert meter.wait_s(10, 1.5) is None
    assert meter.wait_s(10, LEASE_S) is None


def test_a_store_at_a_tenth_of_its_rate_shows_in_the_rate_to_plan_with() -> None:
    meter = RateMeter()
    meter.on_rate_granted(RateGranted("one", 1, 100.0, LEASE_S), sent_at_s=0.0)
    assert meter.rate(0.0) == 100.0
    for _ in range(20):
        meter.on_loaded(100, took_s=10.0)
    assert meter.rate(0.0) == pytest.approx(10.0)
    meter.on_load_failed()
    assert meter.rate(0.0) == pytest.approx(5.0)
    assert meter.rate(LEASE_S) == 0.0
