"""Leases never exceed the weight store's rate, and divide it fairly."""

from __future__ import annotations

import random

import pytest

from bergamotchute_policy.weight_budget import (
    RATE_LEASE_S,
    LoadPacer,
    RateGrant,
    RateRequest,
    WeightBudget,
)


def budget(rate: float = 100.0) -> WeightBudget:
    return WeightBudget(rate, started_at_s=-RATE_LEASE_S)


def request_rate(rate_budget: WeightBudget, holder: str, wanted: float, now: float) -> float:
    return rate_budget.on_rate_request(RateRequest(holder, 1, wanted), now).bytes_s


def test_single_holder_gets_its_request_and_two_converge_to_halves() -> None:
    rate_budget = budget()
    assert request_rate(rate_budget, "one", 300.0, 0.0) == 100.0
    assert request_rate(rate_budget, "two", 300.0, 1.0) == 0.0
    assert request_rate(rate_budget, "one", 300.0, 2.0) == 50.0
    assert request_rate(rate_budget, "two", 300.0, 3.0) == 0.0
    assert request_rate(rate_budget, "two", 300.0, RATE_LEASE_S) == 50.0


def test_rate_unused_by_a_small_holder_goes_to_the_others() -> None:
    rate_budget = budget()
    for _ in range(3):
        for holder, wanted in (("small", 10.0), ("one", 300.0), ("two", 300.0)):
            request_rate(rate_budget, holder, wanted, 0.0)
    for lease_count in range(1, 4):
        now = lease_count * RATE_LEASE_S
        granted = {
            holder: request_rate(rate_budget, holder, wanted, now)
            for holder, wanted in (("small", 10.0), ("one", 300.0), ("two", 300.0))
        }
    assert granted == {"small": 10.0, "one": 45.0, "two": 45.0}


def test_new_budget_waits_until_the_leases_of_its_predecessor_expire() -> None:
    rate_budget = WeightBudget(100.0, started_at_s=50.0)
    assert request_rate(rate_budget, "one", 100.0, 50.0 + RATE_LEASE_S / 2) == 0.0
    assert request_rate(rate_budget, "one", 100.0, 50.0 + RATE_LEASE_S) == 100.0


def test_leased_rates_never_exceed_the_total() -> None:
    rng = random.Random(4)
    rate_budget = budget()
    leases: list[tuple[str, float, float]] = []
    now = 0.0
    for _ in range(3000):
        now += rng.random()
        holder = f"g{rng.randrange(6)}"
        granted = request_rate(rate_budget, holder, rng.choice((0.0, 5.0, 40.0, 500.0)), now)
        # A holder that did not receive its new grant uses the old one until that lease expires.
        leases = [lease for lease in leases if lease[2] > now]
        leases.append((holder, granted, now + RATE_LEASE_S))
        most = {name: max(g for n, g, _ in leases if n == name) for name, _, _ in leases}
        assert sum(most.values()) <= 100.0 + 1e-6


def test_loads_are_paced_and_stop_when_the_lease_expires() -> None:
    meter = LoadPacer()
    assert meter.reserve_load(10, 0.0) is None
    meter.on_rate_grant(RateGrant("one", 1, 10.0, RATE_LEASE_S), sent_at_s=0.0)
    assert meter.reserve_load(10, 0.0) == 0.0
    assert meter.reserve_load(10, 0.0) == 1.0
    assert meter.reserve_load(100, 1.0) == 1.0
    assert meter.reserve_load(10, 1.5) is None
    assert meter.reserve_load(10, RATE_LEASE_S) is None


def test_planning_rate_follows_a_store_slowed_to_a_tenth() -> None:
    meter = LoadPacer()
    meter.on_rate_grant(RateGrant("one", 1, 100.0, RATE_LEASE_S), sent_at_s=0.0)
    assert meter.planning_rate(0.0) == 100.0
    for _ in range(20):
        meter.on_load_finished(100, duration_s=10.0)
    assert meter.planning_rate(0.0) == pytest.approx(10.0)
    meter.on_load_failed()
    assert meter.planning_rate(0.0) == pytest.approx(5.0)
    assert meter.planning_rate(RATE_LEASE_S) == 0.0
