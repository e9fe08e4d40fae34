"""Measure how a rank group serves its callers under load, with several ways to decide.

``python -m tools.measure_groups FILE...`` plays group files with a few seeds and prints a table. Each
way replaces one decision of the product; ``present`` replaces none. ``--by-second`` prints what each
second was like, means over the seeds.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field, fields
from pathlib import Path
from unittest.mock import patch

import numpy as np

from tools.group_bench.group_file import read_group_file
from tools.group_bench.group_simulation import GroupSimulation
from tools.group_bench.simulated_request import SimulatedRequest
from tools.group_bench.timeline import SecondFigures, by_second, seconds_table
from tools.group_bench.ways import WAYS

PROCESSES = 3
WINDOW_S = 2.0


SOON_S = 0.1
"""A refusal within this time of the attempt counts as one at once."""


@dataclass(frozen=True)
class KindFigures:
    """What became of the requests of one kind, as shares of them.

    :param refused: refused, came back and got nothing.
    :param left: given up by their callers before or during the response.
    :param refused_late: refusals after a wait, per request.
    :param refusal_wait_ms: mean wait of those refusals.
    :param start_wait_ms: mean time from the newest attempt to the slot, of the served ones.
    """

    name: str
    requests: int
    in_time: float
    late: float
    refused: float
    left: float
    refused_late: float
    refusal_wait_ms: float
    start_wait_ms: float


@dataclass(frozen=True)
class Figures:
    """What one run gave.

    :param worth: value earned over value owed.
    :param worst_kind: the same for the kind where it is least.
    :param worst_windows: the same for the two worst spans of :data:`WINDOW_S`.
    :param worth_slow: the same for requests that were first sent while ranks were slow.
    :param late_first: share of the requests that were served and whose first event was late.
    :param late_pause: the same for those with a pause that was too long.
    :param refused_twice: share of the requests that were refused, came back and got nothing.
    """

    worth: float
    worst_kind: float
    worst_windows: float
    in_time: float
    worth_slow: float
    late_first: float
    late_pause: float
    served: float
    refusals: float
    refused_twice: float
    longest_ms: float
    pass_ms: float
    pass_p90_ms: float
    skew: float
    requests: float
    changes: int
    free_at_refusals: float
    kinds: tuple[KindFigures, ...]
    seconds: list[SecondFigures] = field(default_factory=list)


def kind_figures(name: str, requests: list[SimulatedRequest]) -> KindFigures:
    """Return what became of the requests of one kind."""

    def share(has: Callable[[SimulatedRequest], bool]) -> float:
        return sum(has(each) for each in requests) / len(requests)

    waits_s = [wait for each in requests for wait in each.refusal_waits_s if wait > SOON_S]
    starts_s = [each.started_at - each.asked_at for each in requests if each.outcome == "done"]
    return KindFigures(
        name=name,
        requests=len(requests),
        in_time=share(lambda each: each.is_in_time),
        late=share(lambda each: each.outcome == "done" and not each.is_in_time),
        refused=share(lambda each: each.outcome == "refused"),
        left=share(lambda each: each.outcome == "left"),
        refused_late=len(waits_s) / len(requests),
        refusal_wait_ms=1000 * float(np.mean(waits_s or [0.0])),
        start_wait_ms=1000 * float(np.mean(starts_s or [0.0])),
    )


@contextmanager
def replaced(replacements: dict[str, object]) -> Iterator[None]:
    """Replace attributes of modules, given by their full names."""
    with ExitStack() as stack:
        for name, value in replacements.items():
            stack.enter_context(patch(name, value))
        yield


def measure(path: Path, way: str, seed: int) -> Figures:
    """Play a file with one way and seed."""
    with replaced(WAYS[way]):
        file = read_group_file(path)
        simulation = GroupSimulation(file, seed)
        simulation.run()
    ended = [each for each in simulation.requests if each.first_asked_at < file.seconds - 4.0]
    windows: dict[int, list[float]] = {}
    kinds: dict[str, list[float]] = {}
    for each in ended:
        for sums in (
            windows.setdefault(int(each.first_asked_at / WINDOW_S), [0.0, 0.0]),
            kinds.setdefault(each.kind.name, [0.0, 0.0]),
        ):
            sums[0] += each.earned
            sums[1] += each.owed
    durations = [each.duration_s * 1000 for each in simulation.passes]
    return Figures(
        worth=_worth(ended),
        worst_kind=min(earned / owed for earned, owed in kinds.values()),
        worst_windows=float(np.mean(sorted(e / o for e, o in windows.values())[:2])),
        in_time=float(np.mean([each.is_in_time for each in ended])),
        worth_slow=_worth(
            [
                each
                for each in ended
                if any(slow.at <= each.first_asked_at < slow.at + slow.for_s for slow in file.slow)
            ]
        ),
        late_first=float(np.mean([each.is_late_to_begin for each in ended])),
        late_pause=float(np.mean([each.has_long_pause for each in ended])),
        served=float(np.mean([each.outcome == "done" for each in ended])),
        refusals=float(np.mean([each.refusals for each in ended])),
        refused_twice=float(np.mean([each.outcome == "refused" for each in ended])),
        longest_ms=1000
        * float(np.median([each.longest_pause_s for each in ended if each.outcome == "done"])),
        pass_ms=float(np.mean(durations)),
        pass_p90_ms=float(np.quantile(durations, 0.9)),
        skew=float(np.mean([each.skew for each in simulation.passes])),
        requests=float(np.mean([each.requests for each in simulation.passes])),
        changes=simulation.commander.changes,
        free_at_refusals=float(np.mean(simulation.free_at_refusals or [0.0])),
        kinds=tuple(
            kind_figures(kind.name, [each for each in ended if each.kind is kind])
            for kind in file.kinds
        ),
        seconds=by_second(simulation),
    )


def _worth(requests: list[SimulatedRequest]) -> float:
    """Return the value earned over the value owed; 0 without requests."""
    owed = sum(each.owed for each in requests)
    return sum(each.earned for each in requests) / owed if owed else 0.0


def table(rows: dict[tuple[str, str], list[Figures]]) -> str:
    """Return the mean of each figure over the seeds, a line for each file and way."""
    columns: list[tuple[str, Callable[[float], str]]] = [
        ("worth", "{:.3f}".format),
        ("worst_kind", "{:.3f}".format),
        ("worst_windows", "{:.3f}".format),
        ("in_time", "{:.3f}".format),
        ("worth_slow", "{:.3f}".format),
        ("late_first", "{:.3f}".format),
        ("late_pause", "{:.3f}".format),
        ("served", "{:.3f}".format),
        ("refusals", "{:.3f}".format),
        ("refused_twice", "{:.3f}".format),
        ("longest_ms", "{:.0f}".format),
        ("pass_ms", "{:.0f}".format),
        ("pass_p90_ms", "{:.0f}".format),
        ("skew", "{:.2f}".format),
        ("requests", "{:.2f}".format),
        ("changes", "{:.0f}".format),
        ("free_at_refusals", "{:.3f}".format),
    ]
    lines = [f"{'file':10} {'way':28} " + " ".join(f"{name[:9]:>9}" for name, _ in columns)]
    for (file, way), figures in rows.items():
        means = (
            write(float(np.mean([getattr(each, name) for each in figures])))
            for name, write in columns
        )
        lines.append(f"{file:10} {way:28} " + " ".join(f"{mean:>9}" for mean in means))
    return "\n".join(lines)


def kind_table(rows: dict[tuple[str, str], list[Figures]]) -> str:
    """Return what became of each kind of request, in the mean over the seeds."""
    columns = [each.name for each in fields(KindFigures) if each.name != "name"]
    lines = [f"{'file':10} {'way':28} {'kind':14} " + " ".join(f"{name:>15}" for name in columns)]
    for (file, way), figures in rows.items():
        for by_seed in zip(*(each.kinds for each in figures), strict=True):
            means = [float(np.mean([getattr(each, name) for each in by_seed])) for name in columns]
            values = " ".join(f"{mean:>15.{0 if mean > 9 else 3}f}" for mean in means)
            lines.append(f"{file:10} {way:28} {by_seed[0].name:14} {values}")
    return "\n".join(lines)


def main() -> None:
    """Play the files of the command line and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="+", type=Path)
    parser.add_argument("--way", action="append", choices=sorted(WAYS), help="default: all")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--processes", type=int, default=PROCESSES)
    parser.add_argument("--kinds", action="store_true", help="print each kind of request too")
    parser.add_argument("--by-second", action="store_true", help="print each second of a run too")
    options = parser.parse_args()
    ways = options.way or list(WAYS)
    runs = [
        (path, way, seed) for path in options.files for way in ways for seed in range(options.seeds)
    ]
    rows: dict[tuple[str, str], list[Figures]] = {}
    with ProcessPoolExecutor(options.processes) as pool:
        for (path, way, _), figures in zip(
            runs, pool.map(measure, *zip(*runs, strict=True)), strict=True
        ):
            rows.setdefault((path.stem, way), []).append(figures)
    print(table(rows))
    if options.kinds:
        print(kind_table(rows))
    if options.by_second:
        for (file, way), figures in rows.items():
            print(f"\n{file} {way}\n{seconds_table([each.seconds for each in figures])}")


if __name__ == "__main__":
    main()
