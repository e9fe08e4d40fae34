"""Run scenarios: ``python -m tools.scenario scenarios/NAME.scenario [--seed N] [--events FILE]``.

``pytest scenarios`` runs them all as tests; this command is for one of them at a time, with other
seeds and with its time line kept. Exit codes: 0 all held, 1 something broke, 2 a file can't be read.
"""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

from tools.proof.run import run_scenario
from tools.proof.scenario_parser import ScenarioError, parse_scenario
from tools.proof.verdict_text import describe


def main() -> int:
    """Run the files; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("files", nargs="+", type=Path)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, from the first on")
    parser.add_argument("--events", type=Path, help="write the events of the last run there")
    options = parser.parse_args()
    code = 0
    for path in options.files:
        try:
            scenario = parse_scenario(path.read_text(encoding="utf-8"))
        except (OSError, ScenarioError) as error:
            print(f"{path}: {error}", file=sys.stderr)
            return 2
        for seed in range(options.seed, options.seed + options.seeds):
            began = time.monotonic()
            result = run_scenario(scenario, seed)
            spent = f"{len(result.events)} events, {time.monotonic() - began:.1f} s"
            print(f"{'ok ' if result.passed else 'RED'} {path.stem} seed {seed} ({spent})")
            if not result.passed:
                print(describe(result, path))
                code = 1
        if options.events:
            lines = "".join(event.to_json() + "\n" for event in result.events)
            options.events.write_text(lines, encoding="utf-8")
    return code


if __name__ == "__main__":
    sys.exit(main())
