"""Tests of the queue for slots: its order and its rejections under overload."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random

import pytest

from bergamotchute_model.node_messages import SlotState
from bergamotchute_policy.slot_ledger import SlotLedger
from bergamotchute_policy.slot_queue import LESS_URGENT_PERIOD, SlotQueue, WaitingRequest

SLOTS = 6
QUEUE = 6
REQUEST_S = 1.2
PATIENCE_S = 1.75
IN_TIME_S = 0.15


def waiting(
    number: int, due_at: float = 0.0, priority: int = 0, gives_up_at: float = float("inf")
) -> WaitingRequest:
    return WaitingRequest("entry", number, SLOTS, due_at, priority, gives_up_at)


def test_urgent_requests_go_first_among_timely_and_among_late_requests() -> None:
    line = SlotQueue()
    for request in (
        waiting(1, due_at=9.0, priority=2),
        waiting(2, due_at=9.0, priority=0),
        waiting(3, due_at=11.0, priority=2),
        waiting(4, due_at=12.0, priority=0),
        waiting(5, due_at=11.5, priority=0),
    ):
        assert line.enqueue(request, QUEUE, 10.0) == (True, None)
    order = []
    while (next_request := line.next_request(10.0)) is not None:
        line.waiting.remove(next_request)
        order.append(next_request.number)
    assert order == [5, 4, 3, 2, 1]


def test_a_full_queue_drops_its_last_request_for_a_more_urgent_one() -> None:
    line = SlotQueue()
    for number in range(3):
        line.enqueue(waiting(number, due_at=11.0 + number, priority=1), 3, 10.0)
    assert line.enqueue(waiting(7, due_at=11.0, priority=1), 3, 10.0) == (False, None)
    is_queued, dropped = line.enqueue(waiting(8, due_at=11.0, priority=0), 3, 10.0)
    assert is_queued
    assert dropped is not None
    assert dropped.number == 2


def test_less_urgent_requests_get_every_fourth_slot() -> None:
    """Urgent requests alone would fill the engine; no priority may starve."""
    line = SlotQueue()
    line.enqueue(waiting(1, due_at=9.0, priority=2), 100, 10.0)
    for number in range(10, 30):
        line.enqueue(waiting(number, due_at=12.0, priority=0), 100, 10.0)
    served = []
    for _ in range(LESS_URGENT_PERIOD):
        next_request = line.next_request(10.0)
        assert next_request is not None
        line.mark_served(next_request, 10.0)
        served.append(next_request.number)
    assert 1 in served


def test_requests_that_cannot_start_before_their_callers_give_up_are_rejected_early() -> None:
    """The rank group of an endpoint stalls while requests wait there."""
    line = SlotQueue()
    for number in range(8):
        line.enqueue(waiting(number, gives_up_at=12.0), QUEUE + 4, 10.0)
    line.enqueue(waiting(20, gives_up_at=60.0), QUEUE + 4, 10.0)
    for number, now in enumerate((10.1, 10.2, 10.3)):
        line.mark_served(line.waiting[0], now)
        assert not line.take_unservable(now), number
    assert not line.take_unservable(10.4)
    unservable = [each.number for each in line.take_unservable(11.5)]
    assert unservable
    assert unservable == sorted(unservable)
    assert [each.number for each in line.waiting] == [20]
    is_queued, _ = line.enqueue(waiting(9, gives_up_at=12.5), QUEUE + 2, 11.6)
    assert not is_queued


@dataclass
class PeakLoad:
    """A simulation of one endpoint at peak load with requests of three priorities.

    :param plain: the queue ignores priorities and the service interval, and orders by due
        time alone.
    :param request_counts: arrivals by priority.
    :param earned: value of the served requests by priority: 1 if in time, 0.3 if late.
    :param rejected_waits_s: how long each rejected request had waited.
    """

    seed: int
    plain: bool = False
    request_s: float = REQUEST_S
    request_counts: dict[int, int] = field(default_factory=dict)
    earned: dict[int, float] = field(default_factory=dict)
    rejected_waits_s: list[float] = field(default_factory=list)

    def run(self, load: float, seconds: float = 60.0) -> PeakLoad:
        """Simulate arrivals at ``load`` times the capacity of the endpoint."""
        random = Random(self.seed)
        ledger = SlotLedger()
        arrived: dict[int, tuple[float, int]] = {}
        ends: list[tuple[float, int]] = []
        per_s = load * SLOTS / self.request_s
        now, number, next_at = 0.0, 0, 0.0
        while now < seconds:
            now += 0.01
            while ends and ends[0][0] <= now:
                ledger.release_slot("entry", heapq.heappop(ends)[1])
            while next_at <= now:
                next_at += random.expovariate(per_s)
                number += 1
                priority = random.choice((0, 0, 1, 1, 2))
                arrived[number] = (now, priority)
                self.request_counts[priority] = self.request_counts.get(priority, 0) + 1
                request = WaitingRequest(
                    "entry",
                    number,
                    SLOTS - 1,
                    now + IN_TIME_S,
                    0 if self.plain else priority,
                    float("inf") if self.plain else now + PATIENCE_S,
                )
                state = ledger.reserve_slot(request, QUEUE, now)
                if state is SlotState.RESERVED:
                    self._start_request(arrived, ends, number, now, random)
            while (served := ledger.reserve_for_next(now)) is not None:
                self._start_request(arrived, ends, served.number, now, random)
            for rejected in ledger.take_rejected(now):
                self.rejected_waits_s.append(now - arrived.pop(rejected.number)[0])
            for given_up in [each for each in arrived if now - arrived[each][0] > PATIENCE_S]:
                ledger.release_slot("entry", given_up)
                del arrived[given_up]
                self.rejected_waits_s.append(PATIENCE_S)
            arrived = {
                each: arrived[each]
                for each in arrived
                if each in {waits.number for waits in ledger.line.waiting}
            }
        return self

    def _start_request(
        self,
        arrived: dict[int, tuple[float, int]],
        ends: list[tuple[float, int]],
        number: int,
        now: float,
        random: Random,
    ) -> None:
        arrived_at, priority = arrived.pop(number)
        heapq.heappush(ends, (now + random.uniform(0.85, 1.15) * self.request_s, number))
        value = 1.0 if now - arrived_at <= IN_TIME_S else 0.3
        self.earned[priority] = self.earned.get(priority, 0.0) + value

    def earned_ratio(self, priority: int) -> float:
        return self.earned.get(priority, 0.0) / self.request_counts[priority]


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("load", [1.5, 2.0, 3.0])
def test_at_peak_load_urgent_requests_are_served_first(seed: int, load: float) -> None:
    """Demand is 1.5 to 3 times the capacity of an endpoint for a minute."""
    crest, plain = PeakLoad(seed).run(load), PeakLoad(seed, plain=True).run(load)
    assert crest.earned_ratio(0) > plain.earned_ratio(0)
    assert crest.earned_ratio(0) > max(crest.earned_ratio(1), crest.earned_ratio(2))
    # Below this share of the mean, the platform counts a priority as starved.
    mean = sum(crest.earned.values()) / sum(crest.request_counts.values())
    assert min(crest.earned_ratio(1), crest.earned_ratio(2)) > 0.25 * mean
    assert sum(crest.rejected_waits_s) < 2.0 * sum(plain.rejected_waits_s)


@pytest.mark.parametrize("seed", range(5))
def test_few_requests_wait_without_success_while_slots_become_free_slowly(seed: int) -> None:
    """Passes take 2.5 times as long as usual, at 1.5 times the capacity."""
    slow, plain = (PeakLoad(seed, plain, 3.0).run(1.5) for plain in (False, True))
    assert sum(slow.rejected_waits_s) < 0.5 * sum(plain.rejected_waits_s)
    assert sum(each > 1.5 for each in slow.rejected_waits_s) < 0.1 * sum(
        each > 1.5 for each in plain.rejected_waits_s
    )
