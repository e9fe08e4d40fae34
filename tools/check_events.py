"""Keep docs/EVENTS.md the same as the event catalogue: ``python -m tools.check_events [--write]``.

With ``--unused`` it lists the kinds that are defined and that no package names.
"""

from __future__ import annotations

import argparse
import logging
import re
import sys
from pathlib import Path

from bergamotchute_model import events
from bergamotchute_model.events import EVENT_KIND_BY_NUMBER, EventKind

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "EVENTS.md"
HEADING = """# Events

Each process writes its numbered events as JSON lines, to stderr and to the file that
`--event-file` names. `bergamotchute timeline` merges them over all processes. This page is
written by `python -m tools.check_events --write` from the catalogue in
`bergamotchute_model/events.py`; `make events` checks that both agree.

Every event holds `stamp` (hybrid logical clock: wall seconds, then a count; sorts all events of
all processes), `sequence` (counts the events of one life of one process), `number`, `event`,
`level`, `process`, `role`, `incarnation`, and where they apply `request_id`, `endpoint`, `group`
and `revision` (`""` or `-1` where not), and further values in `fields`. A field whose name sounds
like a secret is written as `[redacted]`.

Numbers are stable: a number is never used again for another meaning.

| number | event | level | meaning |
|---|---|---|---|
"""


def unused_kinds() -> list[str]:
    """Return the names of kinds whose constant no package names outside the catalogue."""
    used: set[str] = set()
    for path in (ROOT / "packages").glob("*/src/**/*.py"):
        if path.name != "events.py":
            used |= set(re.findall(r"\b[A-Z][A-Z_]+\b", path.read_text(encoding="utf-8")))
    kinds = {name: kind for name, kind in vars(events).items() if isinstance(kind, EventKind)}
    return [kind.name for name, kind in kinds.items() if name not in used]


def page() -> str:
    """Return the text that docs/EVENTS.md must have."""
    rows = [
        f"| {number} | `{kind.name}` | {logging.getLevelName(kind.level).lower()} | {kind.meaning} |"
        for number, kind in sorted(EVENT_KIND_BY_NUMBER.items())
    ]
    return HEADING + "\n".join(rows) + "\n"


def main() -> int:
    """Check the page, or write it; return the exit code."""
    parser = argparse.ArgumentParser(description="Compare docs/EVENTS.md with the catalogue.")
    parser.add_argument("--write", action="store_true", help="write the page")
    parser.add_argument("--unused", action="store_true", help="list kinds that nothing emits")
    options = parser.parse_args()
    if options.unused:
        print("\n".join(unused_kinds()))
    elif options.write:
        PAGE.write_text(page(), encoding="utf-8")
    elif not PAGE.exists() or PAGE.read_text(encoding="utf-8") != page():
        print("docs/EVENTS.md differs from the catalogue; run python -m tools.check_events --write")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
