"""The fault matrix: ``make matrix``, or ``python -m tools.matrix [--pairs N] [--cell CELL]``.

The clean run of scenarios/matrix/base.scenario gives the steps: its numbered events. Every step
meets every fault, then pairs of faults drawn by the seed; after each run all promises are checked.
Results go to out/matrix/cells.jsonl as they come, and a run that was stopped goes on from there;
--fresh forgets them. The report is printed and drawn as out/matrix/report.html. Exit codes: 0 no
red cell, 1 some.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import os
import sys
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

from tools.fleet import ROOT
from tools.proof.matrix_cells import Cell, clean_steps, pair_cells, run_cell, single_cells
from tools.proof.matrix_report import draw_report
from tools.proof.scenario_parser import parse_scenario
from tools.proof.verdict_text import describe

BASE = ROOT / "scenarios" / "matrix" / "base.scenario"
FOLDER = ROOT / "out" / "matrix"
SEED = 1
PROCESSES = 3
PAIRS = 300
PROGRESS_CELLS = 50
SHOWN_RED = 20


@dataclass(frozen=True)
class CellResult:
    """What one cell gave.

    :param promises: the promises that it broke.
    :param detail: the first violation, or the harness's own error.
    """

    cell: str
    promises: tuple[str, ...]
    detail: str

    @property
    def red(self) -> bool:
        """Return whether anything broke."""
        return bool(self.promises)


def evaluate(text: str, seed: int) -> CellResult:
    """Run one cell in this process."""
    scenario = parse_scenario(BASE.read_text(encoding="utf-8"))
    try:
        result = run_cell(scenario, seed, Cell.parse(text))
    except Exception as error:
        return CellResult(text, ("run_ends",), f"{type(error).__name__}: {error}"[:300])
    broken = tuple(sorted({violation.promise for violation in result.violations}))
    detail = result.violations[0].text if result.violations else ""
    return CellResult(text, broken, detail)


def fingerprint() -> str:
    """Return a digest of the code and the scenario, by which old results are known as such."""
    digest = hashlib.sha256()
    for path in sorted([*ROOT.glob("packages/*/src/**/*.py"), *ROOT.glob("tools/proof/*"), BASE]):
        if path.is_file() and path.suffix != ".pyc":
            digest.update(path.read_bytes())
    return digest.hexdigest()[:16]


def kept_results(path: Path, mark: str) -> dict[str, CellResult]:
    """Return the results of an earlier run of the same code."""
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    if not lines or json.loads(lines[0]).get("fingerprint") != mark:
        return {}
    found = [json.loads(line) for line in lines[1:] if line.endswith("}")]
    results = [CellResult(one["cell"], tuple(one["promises"]), one["detail"]) for one in found]
    return {result.cell: result for result in results}


def run_cells(cells: list[str], seed: int, processes: int) -> Iterator[CellResult]:
    """Yield results as they come."""
    with ProcessPoolExecutor(processes, max_tasks_per_child=None) as pool:
        waiting = [pool.submit(evaluate, cell, seed) for cell in cells]
        for done in as_completed(waiting):
            yield done.result()


def run_matrix(options: argparse.Namespace) -> int:
    """Run what is missing and report on all; return the exit code."""
    scenario = parse_scenario(BASE.read_text(encoding="utf-8"))
    steps = clean_steps(scenario, options.seed)
    cells = [*single_cells(len(steps)), *pair_cells(len(steps), options.pairs, options.seed)]
    names = list(dict.fromkeys(str(cell) for cell in cells))[:: options.every]
    FOLDER.mkdir(parents=True, exist_ok=True)
    path, mark = FOLDER / "cells.jsonl", f"{fingerprint()}/{options.seed}"
    results = {} if options.fresh else kept_results(path, mark)
    if not results:
        path.write_text(json.dumps({"fingerprint": mark}) + "\n", encoding="utf-8")
    missing = [name for name in names if name not in results]
    print(
        f"{len(steps)} steps; {len(names)} cells, {len(names) - len(missing)} of them done before"
    )
    began = time.monotonic()
    with path.open("a", encoding="utf-8") as file:
        for number, result in enumerate(run_cells(missing, options.seed, options.processes), 1):
            results[result.cell] = result
            file.write(json.dumps(vars(result)) + "\n")
            file.flush()
            if number % PROGRESS_CELLS == 0:
                red = sum(one.red for one in results.values())
                spent_s = time.monotonic() - began
                print(f"  {number} of {len(missing)} run, {red} red, {spent_s:.0f} s", flush=True)
    shown = [results[name] for name in names]
    page = draw_report([f"{e.process} {e.event}" for e in steps], shown, options.seed)
    (FOLDER / "report.html").write_text(page, encoding="utf-8")
    return report(shown, options.seed)


def report(results: list[CellResult], seed: int) -> int:
    """Print the tally and the red cells; return the exit code."""
    red = [result for result in results if result.red]
    print(f"\ncells run {len(results)}, passed {len(results) - len(red)}, red {len(red)}")
    by_promise = Counter(promise for result in red for promise in result.promises)
    by_fault = Counter(part.split(":")[1] for result in red for part in result.cell.split("+"))
    for title, tally in (("by promise", by_promise), ("by fault", by_fault)):
        print(f"red {title}: " + (", ".join(f"{k} {v}" for k, v in tally.most_common()) or "none"))
    for result in red[:SHOWN_RED]:
        print(f"RED {result.cell}: {', '.join(result.promises)}: {result.detail}")
        print(f"    python -m tools.matrix --seed {seed} --cell {result.cell}")
    print(f"picture: {(FOLDER / 'report.html').relative_to(ROOT)}")
    return 1 if red else 0


def show_cell(text: str, seed: int) -> int:
    """Run one cell again with its time line; return the exit code."""
    scenario = parse_scenario(BASE.read_text(encoding="utf-8"))
    cell = Cell.parse(text)
    steps = clean_steps(scenario, seed)
    for injection in cell.injections:
        event = steps[injection.step]
        print(f"step {injection.step}: {event.process} {event.event}, then {injection.fault}")
    result = run_cell(scenario, seed, cell)
    print(describe(result, BASE, f"python -m tools.matrix --seed {seed} --cell {cell}"))
    return 1 if result.violations else 0


def main() -> int:
    """Run the matrix or one cell; return the exit code."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        arguments = [sys.executable, "-m", "tools.matrix", *sys.argv[1:]]
        os.execve(sys.executable, arguments, {**os.environ, "PYTHONHASHSEED": "0"})
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--pairs", type=int, default=PAIRS, help="pairs of faults to draw")
    parser.add_argument("--every", type=int, default=1, help="only each Nth cell")
    parser.add_argument("--processes", type=int, default=PROCESSES)
    parser.add_argument("--fresh", action="store_true", help="forget earlier results")
    parser.add_argument("--cell", help="run one cell and show its time line")
    options = parser.parse_args()
    return show_cell(options.cell, options.seed) if options.cell else run_matrix(options)


if __name__ == "__main__":
    sys.exit(main())
