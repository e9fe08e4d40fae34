"""Count lines of tests against lines of other code: ``python -m tools.count_lines``.

Counts lines that hold more than blanks and comments. Exit code 1 when tests are a third or more.
"""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

from tools.fleet import ROOT


def lines_of(path: Path) -> int:
    """Return the lines of code in a file."""
    lines = (line.strip() for line in path.read_text(encoding="utf-8").splitlines())
    return sum(bool(line) and not line.startswith("#") for line in lines)


def main() -> int:
    """Print the count; return the exit code."""
    counted: Counter[str] = Counter()
    for path in sorted([*ROOT.glob("packages/*/src/**/*.py"), *ROOT.glob("tools/**/*.py")]):
        counted[path.relative_to(ROOT).parts[0]] += lines_of(path)
    for path in [*ROOT.glob("tests/**/*.py"), *ROOT.glob("scenarios/**/*.py")]:
        counted["tests"] += lines_of(path)
    code = counted["packages"] + counted["tools"]
    share = counted["tests"] / code
    print(f"packages {counted['packages']}, tools {counted['tools']}, tests {counted['tests']}")
    print(f"tests are {share:.1%} of the other code")
    return 0 if share < 1 / 3 else 1


if __name__ == "__main__":
    sys.exit(main())
