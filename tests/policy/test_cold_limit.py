"""A zone of endpoints returns cold at once: none gets more requests in a second than its bound."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

import pytest

from bergamotchute_model.rate_limits import RequestPermit
from bergamotchute_policy.cold_limit import (
    SEND_DELAY_S,
    cold_limit,
    most_cold_requests,
)
from bergamotchute_policy.permit_schedule import Permit, PermitSchedule
from bergamotchute_policy.reservation_rate import ReservationRate

ENTRY_COUNT = 27
ENDPOINT_COUNT = 24
COLD_S = 3.0
COLD_PER_S = 26.0
MOST_PER_S = most_cold_requests(COLD_PER_S, 1.5, 5.0)
LIMIT = cold_limit(COLD_PER_S, MOST_PER_S, ENTRY_COUNT)
ANSWER_TIMEOUT_S = 0.1
SILENT_PAUSE_S = 1.0


def most_in_a_second(sent_at: list[float]) -> int:
    begin, most = 0, 0
    ordered = sorted(sent_at)
    for end, at in enumerate(ordered):
        while ordered[begin] <= at - 1.0:
            begin += 1
        most = max(most, end - begin + 1)
    return most


@dataclass
class PermitHosts:
    """The hosts of the schedules: the first is frozen for a time, then another one takes over."""

    frozen_from: float
    changes_at: float
    first: PermitSchedule = field(default_factory=PermitSchedule)
    second: PermitSchedule = field(default_factory=PermitSchedule)

    def ask(self, request: RequestPermit, now: float) -> Permit | None:
        if now >= self.changes_at:
            return self.second.request_permit(request, now)
        return None if now >= self.frozen_from else self.first.request_permit(request, now)


@dataclass
class Entry:
    """An entry's permits, as ``rate_permits.py`` gets them."""

    own: PermitSchedule = field(default_factory=PermitSchedule)
    paused_until: dict[str, float] = field(default_factory=lambda: defaultdict(float))

    def send_at(self, hosts: PermitHosts, endpoint: str, patience_s: float, now: float) -> float:
        """Return when a request is sent; infinity if it is refused."""
        request = RequestPermit(1, endpoint, 1, LIMIT.requests_per_s, patience_s)
        permit = None
        if self.paused_until[endpoint] <= now:
            permit = hosts.ask(request, now)
            if permit is None:
                self.paused_until[endpoint] = now + SILENT_PAUSE_S
                now += ANSWER_TIMEOUT_S
        if permit is None:
            own = RequestPermit(1, endpoint, 1, LIMIT.own_requests_per_s, patience_s)
            permit = self.own.request_permit(own, now, burst=1.0)
        return now + permit.wait_s if permit.granted else float("inf")


def replay_return(random: Random, hosts: PermitHosts, requests_per_s: float) -> list[list[float]]:
    """Return when each endpoint of the zone is sent requests while it is cold."""
    entries = [Entry() for _ in range(ENTRY_COUNT)]
    sent_at: list[list[float]] = [[] for _ in range(ENDPOINT_COUNT)]
    now = 0.0
    while (now := now + random.expovariate(requests_per_s)) < COLD_S:
        number = random.randrange(ENDPOINT_COUNT)
        patience_s = random.choice((0.0, 0.1, 0.5))
        at = random.choice(entries).send_at(hosts, f"rank-{number}", patience_s, now)
        if at < COLD_S:
            sent_at[number].append(at + random.random() * SEND_DELAY_S)
    return sent_at


@pytest.mark.parametrize("seed", range(4))
def test_zone_that_returns_cold_keeps_the_bound_while_a_permit_vm_freezes(seed: int) -> None:
    random = Random(seed)
    hosts = PermitHosts(0.4 + random.random(), 1.4 + random.random())
    sent_at = replay_return(random, hosts, 40.0 * ENTRY_COUNT)
    assert max(map(most_in_a_second, sent_at)) <= MOST_PER_S
    assert min(map(len, sent_at)) >= 0.8 * COLD_S * LIMIT.requests_per_s, "the rate is used"


@pytest.mark.parametrize("seed", range(4))
def test_zone_that_returns_cold_takes_its_share_of_the_usual_load(seed: int) -> None:
    # 127 streams a second over 72 endpoints; entries prefer the empty ones.
    hosts = PermitHosts(COLD_S, COLD_S)
    sent_at = replay_return(Random(seed), hosts, 127.0)
    assert max(map(most_in_a_second, sent_at)) <= MOST_PER_S
    assert sum(map(len, sent_at)) >= 0.85 * 127.0 * COLD_S


def test_worst_second_of_two_hosts_and_all_entries_without_permits_keeps_the_bound() -> None:
    sent_at = [0.5] * ENTRY_COUNT
    for begins_at, ends_at in ((0.0, 0.6), (0.6, 1.0 + SEND_DELAY_S)):
        schedule, now = PermitSchedule(), begins_at
        while now < ends_at:
            request = RequestPermit(1, "rank-1", 1, LIMIT.requests_per_s, 0.0)
            while schedule.request_permit(request, now).granted:
                # The requests of more than a second arrive within one.
                sent_at.append(now / (1.0 + SEND_DELAY_S))
            now += 0.001
    assert 0.8 * MOST_PER_S <= most_in_a_second(sent_at) <= MOST_PER_S


@pytest.mark.parametrize(
    ("entry_count", "most_per_s", "own_is_used"), [(27, 44, True), (15, 44, True), (97, 44, False)]
)
def test_rates_fit_the_bound_of_any_number_of_entries(
    entry_count: int, most_per_s: int, own_is_used: bool
) -> None:
    limit = cold_limit(COLD_PER_S, most_per_s, entry_count)
    assert bool(limit.own_requests_per_s) is own_is_used
    assert 5.0 < limit.requests_per_s <= COLD_PER_S


def test_service_without_figures_has_no_bound() -> None:
    assert most_cold_requests(0.0, 1.5, 5.0) == 0


def make_reservations(
    rate: ReservationRate, random: Random, requests_per_s: float
) -> list[tuple[float, float]]:
    """Return when each reservation of a random load begins and ends."""
    reservations: list[tuple[float, float]] = []
    open_until: list[float] = []
    now = 0.0
    while (now := now + random.expovariate(requests_per_s)) < 6.0:
        for ends_at in sorted(each for each in open_until if each <= now):
            rate.on_ended(1, ends_at)
        open_until = [each for each in open_until if each > now]
        if rate.may_grant(len(open_until), now):
            open_until.append(now + random.expovariate(8.0))
            reservations.append((now, open_until[-1]))
        else:
            rate.refused_count += 1
    return reservations


@pytest.mark.parametrize("seed", range(4))
def test_endpoint_gets_no_more_than_its_bound_before_entries_know_that_it_is_cold(
    seed: int,
) -> None:
    random, rate = Random(seed), ReservationRate()
    rate.set_bound(MOST_PER_S)
    rate.set_bound(None)
    reservations = make_reservations(rate, random, 300.0)
    sent_at = [random.uniform(begins_at, ends_at) for begins_at, ends_at in reservations]
    assert most_in_a_second(sent_at) <= MOST_PER_S
    assert most_in_a_second([begins_at for begins_at, _ in reservations]) >= 0.8 * MOST_PER_S
    assert rate.refused_count


def test_agents_without_a_bound_refuse_nothing() -> None:
    rate = ReservationRate()
    assert len(make_reservations(rate, Random(1), 300.0)) > 1_500
    assert not rate.refused_count
