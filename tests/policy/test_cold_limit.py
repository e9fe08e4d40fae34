"""A zone of endpoints returns cold at once: none gets more requests in a second than its bound."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

import pytest

from bergamotchute_model.rate_limits import RequestPermit
from bergamotchute_policy.cold_limit import SEND_DELAY_S, cold_limit, most_cold_requests
from bergamotchute_policy.permit_schedule import PermitSchedule
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
    return max(sum(end - 1.0 < each <= end for each in sent_at) for end in sent_at)


@dataclass
class Entry:
    """An entry's permits, as ``rate_permits.py`` gets them.

    :param hosts: the schedules of two hosts. The first is frozen for a time, then the second is used.
    """

    hosts: tuple[PermitSchedule, PermitSchedule]
    frozen_from: float
    changes_at: float
    own: PermitSchedule = field(default_factory=PermitSchedule)
    paused_until: dict[str, float] = field(default_factory=lambda: defaultdict(float))

    def send_at(self, endpoint: str, patience_s: float, now: float) -> float:
        """Return when a request is sent; infinity if it is refused."""
        request = RequestPermit(1, endpoint, 1, LIMIT.requests_per_s, patience_s)
        if self.paused_until[endpoint] <= now and not self.frozen_from <= now < self.changes_at:
            permit = self.hosts[now >= self.changes_at].request_permit(request, now)
        else:
            if self.paused_until[endpoint] <= now:
                self.paused_until[endpoint] = now + SILENT_PAUSE_S
                now += ANSWER_TIMEOUT_S
            own = RequestPermit(1, endpoint, 1, LIMIT.own_requests_per_s, patience_s)
            permit = self.own.request_permit(own, now, burst=1.0)
        return now + permit.wait_s if permit.granted else float("inf")


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("requests_per_s", [127.0, 40.0 * ENTRY_COUNT])
def test_zone_that_returns_cold_keeps_its_bound_while_a_permit_vm_freezes(
    seed: int, requests_per_s: float
) -> None:
    random = Random(seed)
    hosts, frozen_from, changes_at = (
        (PermitSchedule(), PermitSchedule()),
        0.4 + random.random(),
        1.4 + random.random(),
    )
    entries = [Entry(hosts, frozen_from, changes_at) for _ in range(ENTRY_COUNT)]
    sent_at: dict[str, list[float]] = defaultdict(list)
    now = 0.0
    while (now := now + random.expovariate(requests_per_s)) < COLD_S:
        endpoint = f"rank-{random.randrange(ENDPOINT_COUNT)}"
        at = random.choice(entries).send_at(endpoint, random.choice((0.0, 0.1, 0.5)), now)
        if at < COLD_S:
            sent_at[endpoint].append(at + random.random() * SEND_DELAY_S)
    assert max(map(most_in_a_second, sent_at.values())) <= MOST_PER_S
    wanted_per_s = min(requests_per_s, ENDPOINT_COUNT * LIMIT.requests_per_s)
    assert sum(map(len, sent_at.values())) >= 0.8 * COLD_S * wanted_per_s, "the rate is used"


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


def test_too_many_entries_send_nothing_without_permits() -> None:
    assert cold_limit(COLD_PER_S, MOST_PER_S, 15).own_requests_per_s > 0
    many = cold_limit(COLD_PER_S, MOST_PER_S, 97)
    assert many.own_requests_per_s == 0 < many.requests_per_s <= COLD_PER_S
    assert most_cold_requests(0.0, 1.5, 5.0) == 0, "no figures, no bound"


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("most_per_s", [0, MOST_PER_S])
def test_agent_keeps_the_bound_before_entries_know_that_the_endpoint_is_cold(
    seed: int, most_per_s: int
) -> None:
    random, rate, now = Random(seed), ReservationRate(), 0.0
    rate.set_bound(most_per_s)
    rate.set_bound(None)
    open_until: list[float] = []
    sent_at: list[float] = []
    while (now := now + random.expovariate(300.0)) < 6.0:
        for ends_at in sorted(each for each in open_until if each <= now):
            rate.on_ended(1, ends_at)
        open_until = [each for each in open_until if each > now]
        if rate.may_grant(len(open_until), now):
            open_until.append(now + random.expovariate(8.0))
            sent_at.append(random.uniform(now, open_until[-1]))
    most = most_in_a_second(sent_at)
    assert 0.8 * MOST_PER_S <= most <= MOST_PER_S if most_per_s else most > 200
