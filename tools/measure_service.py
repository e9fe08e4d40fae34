"""Measures service at the crest: the real scheduler against plain baselines and the bound.

Prints plain tables, draws ``out/service.png`` and writes ``docs/data/service.json``. All policies
see the same arrivals; the clock is simulated, so that nothing depends on the machine but the cost
of a decision.
"""

from __future__ import annotations

import json
import multiprocessing
from collections.abc import Callable
from dataclasses import asdict
from functools import partial
from pathlib import Path
from random import Random
from statistics import mean
from time import perf_counter

from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import EndpointAnnouncement
from bergamotchute_policy.endpoint_tracker import AttemptOutcome
from bergamotchute_policy.scheduling_settings import SchedulingSettings
from bergamotchute_policy.service_scheduler import ServiceScheduler
from bergamotchute_policy.work import Dispatch, RequestSize, Work
from bergamotchute_policy.work_estimator import WorkEstimate
from tools.service_bench.clock import EventClock
from tools.service_bench.entries import (
    SchedulerEntry,
    least_outstanding,
    round_robin,
    two_choices,
)
from tools.service_bench.trial import (
    Entry,
    Figures,
    Fleet,
    MakeEntries,
    plain,
    run,
    scheduled,
    shared,
)
from tools.service_bench.workload import QUIET_S, RAMP_S, Traffic

SEEDS = 5
PROCESSES = 2
CREST_RATES = (55.0, 65.0, 80.0, 110.0)
ABLATION_RATE = 65.0
TEAM_RATE = 25.0
LARGE_FACTOR = 10.0
FAULT_AT_S = QUIET_S + RAMP_S + 3.0
BROWN_OUT_S = 8.0
LAPSE_S = 1.0
LINK_S = 0.001
DECISIONS = 4_000
ROOT = Path(__file__).resolve().parent.parent

Change = Callable[[SchedulerEntry], None]
settings = SchedulingSettings


def _without_estimates(entry: SchedulerEntry) -> None:
    """Count each request as its whole ``max_tokens``."""
    entry.estimator.histories.clear()
    entry.estimator.on_finish = lambda *_: None  # type: ignore[method-assign]


def _without_sizes(entry: SchedulerEntry) -> None:
    """Treat all requests as short."""
    entry.estimator.estimate = lambda *_: WorkEstimate(30.0, RequestSize.SHORT)  # type: ignore[method-assign]


def _without_shares(entry: SchedulerEntry) -> None:
    """Let the oldest head of all teams' lines go first."""
    queue = entry.scheduler.queue
    for size, share in queue.shares.items():
        share.charge = lambda *_: None  # type: ignore[method-assign]
        share.next_team = lambda teams, size=size: min(  # type: ignore[method-assign]
            teams, key=lambda team: queue.lines[size][team].heap[0].arrival
        )
        share.share_of = lambda *_: 1e-9  # type: ignore[method-assign]


def _without_shedding(entry: SchedulerEntry) -> None:
    """Take in what can't be served in time, and refuse it only when its time is up."""
    entry.scheduler.endpoint_tracker.queue_drain_tokens_per_s = lambda *_: 1e12  # type: ignore[method-assign]


def _without_retries(entry: SchedulerEntry) -> None:
    """Let each failure be final."""
    entry.budget.available_retries = entry.budget.ratio = 0.0


BOUND = "shared queue, knows sizes"
BOUND_KEEPING = "the same, keeps slots"
OURS = "bergamotchute"
LEAST = "least outstanding"
ROBIN = "round robin"
BASELINES: dict[str, MakeEntries] = {
    ROBIN: plain(round_robin),
    LEAST: plain(least_outstanding),
    "two choices on counts": plain(two_choices),
    "shared queue, plain": shared(knows_sizes=False),
    BOUND: shared(knows_sizes=True),
    BOUND_KEEPING: shared(knows_sizes=True, long_share=0.5),
    OURS: scheduled(),
}
ABLATIONS: dict[str, MakeEntries] = {
    OURS: scheduled(),
    "without sizes": scheduled(change=_without_sizes),
    "without history": scheduled(change=_without_estimates),
    "without kept slots": scheduled(settings(long_share=1.0, short_headroom=0.0)),
    "kept slots fixed at half": scheduled(settings(long_share=0.5, short_headroom=0.0)),
    "without correction": scheduled(settings(report_retention_ratio=1.0)),
    "without overcommit": scheduled(settings(overcommit=0)),
    "without long floor": scheduled(settings(long_floor=0.0)),
    "without zones": scheduled(settings(other_zone_factor=1.0)),
    "without fair shares": scheduled(change=_without_shares),
    "without shedding": scheduled(change=_without_shedding),
}
TEAMS: dict[str, MakeEntries] = {
    ROBIN: plain(round_robin),
    LEAST: plain(least_outstanding),
    OURS: scheduled(),
    "without fair shares": scheduled(change=_without_shares),
}
PREFIXES: dict[str, MakeEntries] = {
    LEAST: plain(least_outstanding),
    OURS: scheduled(),
    "without affinity": scheduled(settings(cached_prefix_factor=1.0)),
}
FAULTS: dict[str, MakeEntries] = {
    LEAST: plain(least_outstanding),
    BOUND_KEEPING: shared(knows_sizes=True, long_share=0.5),
    OURS: scheduled(),
    "without a retry budget": scheduled(budget_ratio=100.0),
    "without retries": scheduled(change=_without_retries),
    "without ejection": scheduled(settings(failures_before_ejection=1_000_000)),
}


def quarter_fails(clock: EventClock, fleet: Fleet, entries: list[Entry]) -> None:
    """Let a quarter of the runners refuse everything for a while at the crest."""
    _fail_for_a_while(clock, fleet[::4])


def all_fail(clock: EventClock, fleet: Fleet, entries: list[Entry]) -> None:
    """Let all runners refuse everything for a while at the crest."""
    _fail_for_a_while(clock, fleet)


def zone_goes(clock: EventClock, fleet: Fleet, entries: list[Entry]) -> None:
    """Take all runners of the first zone away at the crest; entries learn it a second later."""
    lost = [runner for runner in fleet if runner.zone == fleet[0].zone]
    for runner in lost:
        clock.at(FAULT_AT_S, runner.fail)
        for entry in entries:
            clock.at(FAULT_AT_S + LAPSE_S, partial(entry.on_lapse, runner))


def _fail_for_a_while(clock: EventClock, runners: Fleet) -> None:
    """Let runners refuse everything for the time of a brown-out."""
    for runner in runners:
        clock.at(FAULT_AT_S, partial(setattr, runner, "failing", True))
        clock.at(FAULT_AT_S + BROWN_OUT_S, partial(setattr, runner, "failing", False))


Job = tuple[str, str, int]


def _jobs() -> dict[str, tuple[dict[str, MakeEntries], Traffic, Callable[..., None] | None]]:
    """Return each measurement: the policies, the arrivals and the fault."""
    measurements: dict[str, tuple[dict[str, MakeEntries], Traffic, Callable[..., None] | None]] = {}
    for rate in CREST_RATES:
        measurements[f"crest of {rate:.0f}/s"] = (BASELINES, Traffic(rate), None)
        measurements[f"crest of {rate:.0f}/s, deadlines"] = (BASELINES, Traffic(rate, True), None)
    measurements["ablations"] = (ABLATIONS, Traffic(ABLATION_RATE), None)
    measurements["ablations, deadlines"] = (ABLATIONS, Traffic(80.0, True), None)
    prompts = Traffic(55.0, prompts=True)
    measurements["crest of 55/s, prompts take 0.5 s"] = (PREFIXES, prompts, None)
    measurements["teams as usual"] = (TEAMS, Traffic(TEAM_RATE, True), None)
    measurements["large team tenfold"] = (TEAMS, Traffic(TEAM_RATE, True, LARGE_FACTOR), None)
    measurements["a quarter fails"] = (FAULTS, Traffic(55.0, True), quarter_fails)
    measurements["all fail"] = (FAULTS, Traffic(55.0, True), all_fail)
    measurements["a zone goes"] = (FAULTS, Traffic(55.0, True), zone_goes)
    return measurements


MEASUREMENTS = _jobs()


def _run(job: Job) -> Figures:
    """Run one job in a process of the pool."""
    measurement, policy, seed = job
    policies, traffic, fault = MEASUREMENTS[measurement]
    return run(policies[policy], traffic, seed, fault)


def measure() -> dict[str, dict[str, list[Figures]]]:
    """Return the figures of every measurement and policy, one a seed."""
    jobs = [
        (name, policy, seed)
        for name, (policies, _, _) in MEASUREMENTS.items()
        for policy in policies
        for seed in range(SEEDS)
    ]
    with multiprocessing.get_context("fork").Pool(PROCESSES) as pool:
        figures = pool.map(_run, jobs, chunksize=1)
    results: dict[str, dict[str, list[Figures]]] = {}
    for (name, policy, _), figure in zip(jobs, figures, strict=True):
        results.setdefault(name, {}).setdefault(policy, []).append(figure)
    return results


def average(figures: list[Figures], name: str) -> float:
    """Return the mean of a figure over the seeds."""
    return mean(getattr(figure, name) for figure in figures)


def print_table(title: str, rows: dict[str, list[Figures]]) -> None:
    """Print the means over the seeds, and the range of the first figure."""
    print(f"\n{title}")
    print(f"  {'':26}{'short wait p99':>22}{'short p99':>11}{'small teams':>12}", end="")
    print(f"{'long p99':>10}{'met':>8}{'attempts':>10}{'no verdict':>12}")
    for policy, figures in rows.items():
        waits = [figure.short_wait_p99 for figure in figures]
        spread = f"{mean(waits):.3f} ({min(waits):.3f}-{max(waits):.3f})"
        print(f"  {policy:26}{spread:>22}", end="")
        print(f"{average(figures, 'short_p99'):11.3f}{average(figures, 'small_p99'):12.3f}", end="")
        print(f"{average(figures, 'long_p99'):10.2f}{average(figures, 'met'):8.4f}", end="")
        print(f"{average(figures, 'load'):10.4f}", end="")
        print(f"{sum(figure.no_verdict for figure in figures):12d}")


def print_aims(results: dict[str, dict[str, list[Figures]]]) -> None:
    """Print each aim with what was measured."""
    print("\nAims")
    for rate in CREST_RATES:
        waits = results[f"crest of {rate:.0f}/s"]
        met = results[f"crest of {rate:.0f}/s, deadlines"]
        wait = {name: average(figures, "short_wait_p99") for name, figures in waits.items()}
        long = {name: average(figures, "long_p99") for name, figures in waits.items()}
        part = {name: average(figures, "met") for name, figures in met.items()}
        # A dispatch over a link takes a time that the shared queues don't spend.
        bound = min(wait[BOUND], wait[BOUND_KEEPING]) + LINK_S
        best = max(part[BOUND], part[BOUND_KEEPING])
        where = f"at {rate:.0f}/s"
        _aim(f"short p99 wait to the bound's, {where}", wait[OURS] / bound, 1.25)
        _aim(f"short p99 wait to round robin's, {where}", wait[OURS] / wait[ROBIN], 0.2)
        _aim(f"long p99 to least outstanding's, {where}", long[OURS] / long[LEAST], 2.0)
        _aim(f"deadlines met to the bound's, {where}", part[OURS] / best, 0.97, at_least=True)
    usual = average(results["teams as usual"][OURS], "small_p99")
    large = average(results["large team tenfold"][OURS], "small_p99")
    _aim("small teams' p99 with a tenfold large team", large / usual, 1.1)
    for name in ("a quarter fails", "all fail"):
        _aim(f"attempts a request, {name}", average(results[name][OURS], "load"), 1.1)
    lost = sum(figure.no_verdict for rows in results.values() for figure in rows[OURS])
    _aim("requests without one verdict", float(lost), 0.0)


def _aim(name: str, value: float, target: float, at_least: bool = False) -> None:
    """Print one aim."""
    met = value >= target if at_least else value <= target
    sign = ">=" if at_least else "<="
    print(f"  {name:52}{value:9.3f}  {sign} {target:<5}  {'met' if met else 'MISSED'}")


def decision_cost(endpoints: int) -> float:
    """Return the microseconds of processor time for one request: offer, finish and report."""
    scheduler = ServiceScheduler("z0", Random(1))
    for index in range(endpoints):
        name = f"runner-{index}"
        scheduler.on_announcement(
            EndpointAnnouncement(
                name, "1", 1, name, f"z{index % 3}", Address("127.0.0.1", 9), ("draft",), 8
            ),
            0.0,
        )
    running: list[Dispatch] = []
    begin = perf_counter()
    for number in range(DECISIONS):
        now = 10.0 + number * 0.001
        work = Work(
            str(number), "draft", f"team-{number % 10}", 30.0, RequestSize.SHORT, now + 10.0
        )
        running.extend(d for d in scheduler.offer(work, now) if isinstance(d, Dispatch))
        if len(running) > endpoints * 4:
            scheduler.on_finish(running.pop(0), AttemptOutcome.COMPLETED, now, 30.0)
    return (perf_counter() - begin) / DECISIONS * 1e6


def draw(results: dict[str, dict[str, list[Figures]]], path: Path) -> None:
    """Draw the distribution of short work's waits at each crest."""
    import matplotlib  # noqa: PLC0415

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, axes = pyplot.subplots(1, len(CREST_RATES), figsize=(15, 5), sharey=True)
    for axis, rate in zip(axes, CREST_RATES, strict=True):
        for policy, figures in results[f"crest of {rate:.0f}/s"].items():
            waits = sorted(wait for run_figures in figures for wait in run_figures.waits)
            parts = [1.0 - index / len(waits) for index in range(len(waits))]
            axis.plot([max(wait, 1e-3) for wait in waits], parts, label=policy)
        axis.set(xscale="log", yscale="log", ylim=(1e-3, 1.0), title=f"crest of {rate:.0f}/s")
        axis.set(xlabel="wait of short work at the crest, s", ylabel="part that waits longer")
        axis.axhline(0.01, color="grey", linewidth=0.5)
    axes[-1].legend(fontsize="small")
    path.parent.mkdir(exist_ok=True)
    figure.tight_layout()
    figure.savefig(path)


def save(results: dict[str, dict[str, list[Figures]]], costs: dict[int, float], path: Path) -> None:
    """Write all figures, without the single waits."""
    raw = {
        name: {policy: [_plain(figure) for figure in figures] for policy, figures in rows.items()}
        for name, rows in results.items()
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps({"seeds": SEEDS, "decision_us": costs, "runs": raw}, indent=1)
    path.write_text(text + "\n")


def _plain(figure: Figures) -> dict[str, float]:
    """Return the figures of a run, rounded."""
    return {name: round(value, 4) for name, value in asdict(figure).items() if name != "waits"}


def main() -> None:
    """Measure, print, draw and save."""
    results = measure()
    for title, rows in results.items():
        print_table(title, rows)
    print_aims(results)
    costs = {endpoints: decision_cost(endpoints) for endpoints in (16, 64)}
    print("\nProcessor time of a request's decisions")
    for endpoints, cost in costs.items():
        print(f"  {endpoints:3d} watched runners: {cost:6.0f} us")
    draw(results, ROOT / "out" / "service.png")
    save(results, costs, ROOT / "docs" / "data" / "service.json")


if __name__ == "__main__":
    main()
