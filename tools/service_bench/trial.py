"""One run of one policy over one stream of arrivals, and its figures."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from bergamotchute_policy.retry import RetryBudget
from bergamotchute_policy.scheduling_settings import SchedulingSettings
from tools.service_bench.clock import EventClock
from tools.service_bench.entries import (
    Choose,
    PlainEntry,
    SchedulerEntry,
    SharedQueue,
)
from tools.service_bench.runner import FakeRunner
from tools.service_bench.workload import ARRIVALS_S, Request, Traffic, requests

RUNNERS = 16
SLOTS = 8
ZONES = ("milano-a", "bergamo-b", "brescia-c")
SLOW_RUNNER = 5
SETTLE_S = 400.0


class Entry(Protocol):
    """What takes requests in."""

    def arrive(self, request: Request) -> None: ...

    def on_lapse(self, runner: FakeRunner) -> None: ...


Fleet = list[FakeRunner]
MakeEntries = Callable[[EventClock, Fleet, int], list[Entry]]
Fault = Callable[[EventClock, Fleet, list[Entry]], None]


@dataclass(frozen=True)
class Figures:
    """What one run gave; times in seconds, parts from 0 to 1.

    :param short_wait_p99: from arrival to start, of short work that arrived at a crest.
    :param short_p99: from arrival to the end, of the same.
    :param small_p99: the same, of all teams but the first.
    :param long_p99: from arrival to the end, of all long work.
    :param met: part of the crest's work that met its deadline.
    :param load: attempts for each request.
    :param no_verdict: requests without exactly one answer.
    """

    short_wait_p99: float
    short_p99: float
    small_p99: float
    long_p99: float
    met: float
    load: float
    no_verdict: int
    waits: list[float] = field(default_factory=list, repr=False)


def run(
    make_entries: MakeEntries, traffic: Traffic, seed: int, fault: Fault | None = None
) -> Figures:
    """Run one policy over the arrivals of a seed."""
    clock = EventClock()
    fleet = _fleet(clock)
    entries = make_entries(clock, fleet, seed)
    arrivals = requests(traffic, seed)
    for request in arrivals:
        entry = entries[request.entry % len(entries)]
        clock.at(request.arrival, lambda entry=entry, request=request: entry.arrive(request))
    if fault is not None:
        fault(clock, fleet, entries)
    clock.run(ARRIVALS_S)
    while clock.now < ARRIVALS_S + SETTLE_S and not all(r.verdicts for r in arrivals):
        clock.run(clock.now + 1.0)
    clock.run(clock.now + 1.0)
    return _figures(arrivals)


def plain(choose: Choose) -> MakeEntries:
    """Return entries that send each request on at once."""

    def make(clock: EventClock, fleet: Fleet, seed: int) -> list[Entry]:
        return [
            PlainEntry(clock, list(fleet), index, Random(f"{seed}/{index}"), choose)
            for index in range(2)
        ]

    return make


def shared(knows_sizes: bool, long_share: float = 1.0) -> MakeEntries:
    """Return one queue before all runners."""

    def make(clock: EventClock, fleet: Fleet, seed: int) -> list[Entry]:
        return [SharedQueue(clock, list(fleet), long_share, knows_sizes)]

    return make


def scheduled(
    settings: SchedulingSettings | None = None,
    budget_ratio: float = 0.1,
    change: Callable[[SchedulerEntry], None] | None = None,
) -> MakeEntries:
    """Return two entries with the real scheduler, which don't see each other.

    :param change: takes a mechanism out of an entry.
    """

    def make(clock: EventClock, fleet: Fleet, seed: int) -> list[Entry]:
        entries = [
            SchedulerEntry(
                clock,
                list(fleet),
                index,
                seed=seed,
                settings=settings or SchedulingSettings(),
                budget=RetryBudget(budget_ratio),
            )
            for index in range(2)
        ]
        for entry in entries:
            if change is not None:
                change(entry)
        return list(entries)

    return make


def percentile(values: list[float], part: float) -> float:
    """Return the value that ``part`` of the values don't exceed; 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _fleet(clock: EventClock) -> Fleet:
    """Return the runners, one of them at half speed."""
    return [
        FakeRunner(
            f"runner-{index}",
            ZONES[index * len(ZONES) // RUNNERS],
            clock,
            SLOTS,
            speed=0.5 if index == SLOW_RUNNER else 1.0,
        )
        for index in range(RUNNERS)
    ]


def _figures(arrivals: list[Request]) -> Figures:
    """Return the figures of a run."""
    crest = [request for request in arrivals if request.at_crest]
    short = [request for request in crest if not request.long]
    small = [request for request in short if request.team != "team-0"]
    waits = [_wait(request) for request in short]
    return Figures(
        short_wait_p99=percentile(waits, 0.99),
        short_p99=percentile([_latency(request) for request in short], 0.99),
        small_p99=percentile([_latency(request) for request in small], 0.99),
        long_p99=percentile([_latency(r) for r in arrivals if r.long], 0.99),
        met=sum(request.met() for request in crest) / len(crest),
        load=sum(request.attempts for request in arrivals) / len(arrivals),
        no_verdict=sum(len(request.verdicts) != 1 for request in arrivals),
        waits=waits,
    )


def _wait(request: Request) -> float:
    """Return the time until the request began to run; until its deadline when it never did."""
    started = request.deadline if request.started is None else request.started
    return started - request.arrival


def _latency(request: Request) -> float:
    """Return the time until the whole answer; until the deadline when there was none."""
    finished = request.deadline if request.finished is None else request.finished
    return finished - request.arrival
