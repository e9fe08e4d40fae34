"""Measures map planning on seeded workloads: skew, bytes moved, time lost, planning time.

``python -m tools.measure_experts`` writes the table and the chart to ``out/`` and the raw figures
to ``docs/data/experts.json``. Figures are of a simulated group: popularity, counts, speeds and the
time that weights take to load are modelled; maps, plans and shares are those of the product.
"""

from __future__ import annotations

import argparse
import json
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path

import matplotlib as mpl
import numpy as np

from bergamotchute_policy.expert_map import (
    ExpertMap,
    FloatArray,
    count_expert_loads,
    normalized_shares,
    step_skew,
)
from bergamotchute_policy.expert_packing import pack_experts
from bergamotchute_policy.expert_planner import (
    ExpertPlanner,
    ExpertPlannerSettings,
    Observation,
    PlanKind,
)
from bergamotchute_policy.expert_popularity import ExpertCounts, PopularityEstimate
from bergamotchute_policy.expert_repair import repair_map
from bergamotchute_policy.expert_speed import RankSpeedEstimate, RankSpeeds
from tools.experts_workload import TICK_S, Trace, Workload

EXPERT_BYTES = 44_000_000
RATE_BYTES_S_A_LAYER = 40_000_000 * 4
BATCH_S = 5.0
SWITCH_TICKS = 1
INTERVAL_TICKS = 10
SEEDS = (11, 12, 13)
PROCESSES = 2


@dataclass(frozen=True)
class Policy:
    """A way to choose maps that is measured.

    :param resolve_ticks: solve from scratch this often, and never plan; 0 to use the planner.
    :param static: keep the first map.
    :param bound: know the popularity and speeds of each interval before it begins.
    :param lag_ticks: how late the reports come.
    """

    name: str
    settings: ExpertPlannerSettings = ExpertPlannerSettings(EXPERT_BYTES)
    resolve_ticks: int = 0
    static: bool = False
    bound: bool = False
    detects_drift: bool = True
    measures_speed: bool = True
    weighted: bool = True
    lag_ticks: int = 0


@dataclass
class Tally:
    """What one run of one policy cost."""

    skew: list[float] = field(default_factory=list)
    bytes_moved: float = 0.0
    bytes_at_crest: float = 0.0
    epochs: int = 0
    lost_s: float = 0.0
    planning_s: list[float] = field(default_factory=list)


@dataclass(frozen=True, eq=False)
class Pending:
    """A map on its way to the ranks."""

    planned: ExpertMap
    ready_tick: int


class Run:
    """One policy on one trace."""

    def __init__(self, policy: Policy, workload: Workload, seed: int) -> None:
        self.policy = policy
        self.workload = workload
        self.trace = Trace(workload, seed)
        self.popularity = PopularityEstimate(detects_drift=policy.detects_drift)
        self.speeds = RankSpeedEstimate(np.ones(workload.ranks))
        self.planner = ExpertPlanner(policy.settings)
        self.tally = Tally()
        self.pending: Pending | None = None
        self.late: list[tuple[int, FloatArray, FloatArray]] = []
        first = self.trace.popularity(0)
        self.present = self._usable(pack_experts(first, np.ones(workload.ranks), workload.slots))

    @property
    def rate_bytes_s(self) -> float:
        """What the weight store grants, in proportion to the layers that are simulated."""
        scale = 4 if self.workload.ranks > 16 else 1
        return RATE_BYTES_S_A_LAYER * self.workload.layers * scale / 4

    def run(self) -> Tally:
        """Run all ticks; return the tally."""
        for tick in range(self.workload.seconds):
            true = self.trace.popularity(tick)
            speeds = self.trace.speeds(tick)
            self._take_pending(tick)
            if self.policy.bound and tick % INTERVAL_TICKS == 0:
                self._take(best_map(true, speeds, self.workload.slots), tick)
            counts = self.trace.counts(true)
            self.tally.skew.append(step_skew(self.present, counts, speeds))
            self.late.append((tick, counts, self.trace.measured(speeds)))
            self._observe()
            if not (self.policy.static or self.policy.bound) and self.popularity.known:
                self._plan(tick)
        return self.tally

    def _observe(self) -> None:
        """Take in the report that is due."""
        if len(self.late) <= self.policy.lag_ticks:
            return
        tick, counts, measured = self.late.pop(0)
        self.popularity.observe(ExpertCounts(tick, counts, TICK_S))
        if self.policy.measures_speed:
            self.speeds.observe(RankSpeeds(tick, measured, TICK_S))

    def _take_pending(self, tick: int) -> None:
        """Switch to a map whose weights are in place."""
        if self.pending is not None and tick >= self.pending.ready_tick:
            self.present = self.pending.planned
            self.tally.lost_s += self.policy.settings.switch_pause_s
            self.pending = None

    def _take(self, planned: ExpertMap, tick: int) -> None:
        """Count the bytes of a change and put it in force at once."""
        self._count(planned, tick)
        self.tally.lost_s += self.policy.settings.switch_pause_s
        self.present = planned

    def _count(self, planned: ExpertMap, tick: int) -> float:
        """Add up the bytes of a change; return the seconds that they take to load."""
        moved = count_expert_loads(self.present, planned) * EXPERT_BYTES
        self.tally.bytes_moved += moved
        if self.trace.at_crest(tick):
            self.tally.bytes_at_crest += moved
        self.tally.epochs += 1
        return moved / self.rate_bytes_s

    def _plan(self, tick: int) -> None:
        """Let the policy decide, unless a change is on its way."""
        if self.policy.resolve_ticks:
            if tick % self.policy.resolve_ticks == 0 and tick:
                fresh = pack_experts(
                    self.popularity.popularity, self.speeds.speeds, self.workload.slots
                )
                self._take(self._usable(fresh), tick)
            return
        if self.pending is not None:
            return
        seen = Observation(
            self.popularity.popularity,
            self.speeds.speeds,
            self.trace.at_crest(tick),
            self.rate_bytes_s,
            self.rate_bytes_s * BATCH_S,
        )
        began = time.process_time()
        plan = self.planner.plan(self.present, seen, tick * TICK_S)
        self.tally.planning_s.append(time.process_time() - began)
        if plan.kind is PlanKind.NO_CHANGE:
            return
        planned = self._usable(plan.planned)
        load_s = self._count(planned, tick)
        self.tally.lost_s += load_s * self.policy.settings.loading_slowdown_ratio
        ready = tick + SWITCH_TICKS + int(np.ceil(load_s / TICK_S))
        self.pending = Pending(planned, ready)

    def _usable(self, planned: ExpertMap) -> ExpertMap:
        """Return the map, with equal shares where the policy does without weighted ones."""
        if self.policy.weighted:
            return planned
        return equal_shares(planned)


def equal_shares(planned: ExpertMap) -> ExpertMap:
    """Return the map with each expert's tokens split evenly among its replicas."""
    shares = normalized_shares(planned.slots, np.ones(planned.shares.shape), planned.experts)
    return ExpertMap(planned.slots, shares, planned.experts)


def best_map(popularity: FloatArray, speeds: FloatArray, slots: int) -> ExpertMap:
    """Return the best map that is known to be found for a popularity, whatever it moves."""
    packed = pack_experts(popularity, speeds, slots)
    better = repair_map(
        packed, popularity, speeds, tolerance=0.004, max_moves_per_rank=10**6, max_moves=10**6
    ).planned
    return min(packed, better, key=lambda one: step_skew(one, popularity, speeds))


@dataclass(frozen=True)
class Case:
    """One run to make."""

    group: str
    workload: Workload
    policy: Policy
    seed: int


def measure(case: Case) -> dict[str, object]:
    """Run a case; return its figures."""
    tally = Run(case.policy, case.workload, case.seed).run()
    skew = np.array(tally.skew)
    seconds = case.workload.seconds * TICK_S
    return {
        "group": case.group,
        "policy": case.policy.name,
        "seed": case.seed,
        "ranks": case.workload.ranks,
        "skew": float(skew.mean()),
        "skew_p99": float(np.quantile(skew, 0.99)),
        "gb_an_hour_a_layer": tally.bytes_moved / 1e9 / case.workload.layers / seconds * 3600,
        "gb_at_crest": tally.bytes_at_crest / 1e9,
        "moves": tally.bytes_moved / EXPERT_BYTES,
        "epochs_an_hour": tally.epochs / seconds * 3600,
        "lost_part": tally.lost_s / seconds,
        "planning_ms": 1000 * float(np.mean(tally.planning_s)) if tally.planning_s else 0.0,
        "series": [round(float(s), 4) for s in skew[:: max(1, len(skew) // 600)]],
    }


SETTINGS = ExpertPlannerSettings(EXPERT_BYTES)
PLANNED = Policy("planner")
POLICIES = (
    PLANNED,
    Policy("static map", static=True),
    Policy("re-solve, 10 s", resolve_ticks=10),
    Policy("re-solve, 60 s", resolve_ticks=60),
    Policy("re-solve, 300 s", resolve_ticks=300),
    Policy("hindsight bound", bound=True),
    Policy("without drift detection", detects_drift=False),
    Policy("ranks ignore the shares", weighted=False),
    Policy("without rank speeds", measures_speed=False),
    Policy("without the gate", replace(SETTINGS, requires_gain_over_cost=False)),
    Policy("without hysteresis", replace(SETTINGS, move_threshold_excess=0.005)),
    Policy("without the crest pause", replace(SETTINGS, pauses_moves_at_peak_load=False)),
    Policy("reports 5 s late", lag_ticks=5),
)
STATIONARY = (PLANNED, Policy("without the gate", replace(SETTINGS, requires_gain_over_cost=False)))


def workloads(quick: bool) -> Iterator[tuple[str, Workload, tuple[Policy, ...]]]:
    """Yield each group of runs."""
    seconds = 300 if quick else 3600
    small = Workload(ranks=16, slots=6, layers=4, seconds=seconds)
    large = Workload(ranks=256, slots=2, layers=4, seconds=seconds)
    calm = {"drift": 0.0, "swap_every_s": 0, "straggler": (2.0, 2.0)}
    for name, workload in (("16 ranks", small), ("256 ranks", large)):
        yield name, workload, POLICIES
        steep = replace(workload, zipf=0.9)
        yield f"{name}, Zipf 0.9", steep, (PLANNED, POLICIES[1], POLICIES[5])
        yield f"{name}, stationary", replace(workload, **calm), STATIONARY


def planning_time() -> dict[str, float]:
    """Time one planning of 64 experts, 256 ranks and 60 layers, after changes in every layer."""
    workload = Workload(ranks=256, slots=2, layers=60, seconds=1)
    trace = Trace(workload, 7)
    before = trace.popularity(0)
    present = pack_experts(before, np.ones(256), 2)
    drifted = before * np.exp(trace.random.normal(0, 0.3, before.shape))
    speeds = np.ones(256)
    slow = speeds.copy()
    slow[5] = 0.6
    trace._swap()
    changes = {"calm": (before, speeds), "swap": (trace.popularity(0), speeds)}
    changes |= {"straggler": (before, slow), "drift of 30%": (drifted, speeds)}
    taken: dict[str, float] = {}
    for name, (weights, rates) in changes.items():
        popularity = weights / weights.sum(axis=1, keepdims=True)
        settings = replace(SETTINGS, urgent_gain_ratio=10.0)
        seen = Observation(popularity, rates, False, 1e15, 1e15)
        began = time.process_time()
        ExpertPlanner(settings).plan(present, seen, 0.0)
        taken[name] = time.process_time() - began
    return taken


def mean_by(rows: list[dict[str, object]], key: str) -> float:
    """Return the mean of a figure over seeds."""
    return float(np.mean([float(row[key]) for row in rows]))  # type: ignore[arg-type]


def table(rows: list[dict[str, object]]) -> str:
    """Return the figures as a plain table, each the mean over the seeds."""
    lines = [
        f"{'group':22} {'policy':26} {'skew':>6} {'worst':>6} {'p99':>6} "
        f"{'GB/h/layer':>10} {'moves':>8} {'epochs/h':>8} {'lost %':>7} {'plan ms':>7}"
    ]
    seen: list[tuple[str, str]] = []
    for row in rows:
        name = (str(row["group"]), str(row["policy"]))
        if name not in seen:
            seen.append(name)
    for group, policy in seen:
        of = [row for row in rows if row["group"] == group and row["policy"] == policy]
        worst = max(float(row["skew"]) for row in of)  # type: ignore[arg-type]
        lines.append(
            f"{group:22} {policy:26} {mean_by(of, 'skew'):6.3f} {worst:6.3f} "
            f"{mean_by(of, 'skew_p99'):6.3f} {mean_by(of, 'gb_an_hour_a_layer'):10.1f} "
            f"{mean_by(of, 'moves'):8.1f} {mean_by(of, 'epochs_an_hour'):8.0f} "
            f"{100 * mean_by(of, 'lost_part'):7.4f} {mean_by(of, 'planning_ms'):7.1f}"
        )
    return "\n".join(lines)


def aims(rows: list[dict[str, object]], planning: dict[str, float]) -> str:
    """Return each aim, what was measured, and whether it is met."""
    lines = []

    def judge(text: str, value: float, met: Callable[[float], bool], shown: str) -> None:
        lines.append(f"{'met   ' if met(value) else 'MISSED'}  {text}: {shown.format(value)}")

    for group in ("16 ranks", "256 ranks"):
        by = {
            policy.name: [r for r in rows if r["group"] == group and r["policy"] == policy.name]
            for policy in POLICIES
        }
        own = mean_by(by["planner"], "skew")
        bound = mean_by(by["hindsight bound"], "skew")
        judge(f"{group}, mean skew at most 1.05", own, lambda v: v <= 1.05, "{:.4f}")
        judge(
            f"{group}, within 3% of the bound ({bound:.4f})",
            own / bound - 1,
            lambda v: v <= 0.03,
            "{:.2%}",
        )
        for name in ("re-solve, 10 s", "re-solve, 60 s", "re-solve, 300 s"):
            moved = mean_by(by["planner"], "moves") / max(1.0, mean_by(by[name], "moves"))
            extra = own / mean_by(by[name], "skew") - 1
            judge(
                f"{group}, at most 15% of the bytes of {name} (skew {extra:+.2%})",
                moved,
                lambda v: v <= 0.15,
                "{:.2%}",
            )
        lost = mean_by(by["planner"], "lost_part")
        judge(f"{group}, lost to switching under 0.1%", lost, lambda v: v < 0.001, "{:.4%}")
        still = [
            r for r in rows if r["group"] == f"{group}, stationary" and r["policy"] == "planner"
        ]
        moves = mean_by(still, "moves")
        judge(f"{group}, moves in a stationary hour near 0", moves, lambda v: v < 1, "{:.1f}")
    for name, taken in planning.items():
        judge(f"planning 64 x 256 x 60 under 1 s, {name}", taken, lambda v: v < 1, "{:.3f} s")
    return "\n".join(lines)


def chart(rows: list[dict[str, object]], path: Path) -> None:
    """Draw skew over time of the first seed."""
    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, axes = pyplot.subplots(2, 1, figsize=(9, 7), sharex=True)
    for axis, group in zip(axes, ("16 ranks", "256 ranks"), strict=True):
        for name in ("static map", "re-solve, 60 s", "planner", "hindsight bound"):
            row = next(r for r in rows if r["group"] == group and r["policy"] == name)
            series = row["series"]
            axis.plot(np.linspace(0, 60, len(series)), series, label=name, linewidth=0.9)  # type: ignore[arg-type]
        axis.set_ylabel("slowest over mean")
        axis.set_ylim(1.0, 1.8)
        axis.set_title(group)
        axis.legend(loc="upper left", fontsize=8)
    axes[-1].set_xlabel("minutes")
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> None:
    """Measure all cases and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="a few minutes a run, one seed")
    parser.add_argument("--data", type=Path, default=Path("docs/data/experts.json"))
    parser.add_argument("--out", type=Path, default=Path("out"))
    options = parser.parse_args()
    seeds = SEEDS[:1] if options.quick else SEEDS
    cases = [
        Case(group, workload, policy, seed)
        for group, workload, policies in workloads(options.quick)
        for policy in policies
        for seed in seeds
    ]
    with ProcessPoolExecutor(PROCESSES) as pool:
        rows = list(pool.map(measure, cases))
    planning = planning_time()
    text = table(rows) + "\n\n" + aims(rows, planning) + "\n"
    print(text)
    options.out.mkdir(parents=True, exist_ok=True)
    (options.out / "experts.txt").write_text(text)
    chart(rows, options.out / "experts.png")
    options.data.parent.mkdir(parents=True, exist_ok=True)
    groups = [{"group": g, "workload": asdict(w)} for g, w, _ in workloads(options.quick)]
    kept = [{k: v for k, v in row.items() if k != "series"} for row in rows]
    data = {"seeds": seeds, "groups": groups, "planning_s": planning, "runs": kept}
    options.data.write_text(json.dumps(data, indent=1) + "\n")


if __name__ == "__main__":
    main()
