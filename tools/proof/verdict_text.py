"""What a person reads of a run."""

from __future__ import annotations

from pathlib import Path

from bergamotchute_cli.timeline import format_event, merge_events
from tools.proof.run import Result

SHOWN_EVENTS = 25


def describe(result: Result, path: Path, again: str = "") -> str:
    """Return what broke, the end of the time line, and the command that runs it again.

    :param again: the command; empty for the one that runs the scenario.
    """
    lines = [f"{result.scenario.title} (seed {result.seed})"]
    lines += [f"  promise {v.promise} at {v.at_s:.3f} s: {v.text}" for v in result.violations] or [
        "  every promise held"
    ]
    lines += [f"  expectation, {failure}" for failure in result.failures]
    events = merge_events(result.events)
    lines.append(f"  the last {SHOWN_EVENTS} of {len(events)} events:")
    lines += [f"    {format_event(event)}" for event in events[-SHOWN_EVENTS:]]
    again = again or f"python -m tools.scenario {path} --seed {result.seed}"
    lines.append(f"  again: {again}")
    return "\n".join(lines)
