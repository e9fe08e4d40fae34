"""What a simulated run was like second by second: passes, callers, and the map while ranks are slow."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from tools.group_bench.group_simulation import GroupSimulation

SECONDS_HEADER = (
    f"{'second':>6} {'pass_ms':>8} {'requests':>8} {'at_slow':>8} {'slow_load':>9} {'asked':>6}"
    f" {'in_time':>8} {'late':>6} {'left':>6} {'refused':>8}"
)


@dataclass(frozen=True)
class SecondFigures:
    """One second of a run; requests count for the second in which they were first sent.

    :param pass_ms: mean duration of the passes that began in it.
    :param requests: mean count of requests at a rank.
    :param at_slow: mean count of requests at a slow rank; 0 while none is slow.
    :param slow_load: share of the demand for experts that slow ranks serve.
    :param late: requests that came whole, but not in time.
    :param left: requests whose callers gave up or reached their deadline.
    """

    pass_ms: float
    requests: float
    at_slow: float
    slow_load: float
    asked: int
    in_time: int
    late: int
    left: int
    refused: int


def by_second(simulation: GroupSimulation) -> list[SecondFigures]:
    """Return the figures of each second of a run that has ended."""
    seconds = []
    for second in range(int(simulation.file.seconds)):
        passes = [each for each in simulation.passes if second <= each.at < second + 1]
        asked = [each for each in simulation.requests if second <= each.first_asked_at < second + 1]
        done = [each for each in asked if each.outcome == "done"]
        in_time = sum(each.is_in_time for each in done)
        seconds.append(
            SecondFigures(
                1000 * float(np.mean([each.duration_s for each in passes] or [0.0])),
                float(np.mean([each.requests for each in passes] or [0.0])),
                float(np.mean([each.requests_at_slow for each in passes] or [0.0])),
                float(np.mean([each.slow_load for each in passes] or [0.0])),
                len(asked),
                in_time,
                len(done) - in_time,
                sum(each.outcome == "left" for each in asked),
                sum(each.outcome == "refused" for each in asked),
            )
        )
    return seconds


def seconds_table(runs: list[list[SecondFigures]]) -> str:
    """Return the means of several runs, a line for each second."""
    lines = [SECONDS_HEADER]
    for second, figures in enumerate(zip(*runs, strict=True)):
        mean = {
            name: float(np.mean([getattr(each, name) for each in figures]))
            for name in SecondFigures.__dataclass_fields__
        }
        lines.append(
            f"{second:>6} {mean['pass_ms']:>8.0f} {mean['requests']:>8.2f} {mean['at_slow']:>8.2f}"
            f" {mean['slow_load']:>9.3f} {mean['asked']:>6.0f} {mean['in_time']:>8.1f}"
            f" {mean['late']:>6.1f} {mean['left']:>6.1f} {mean['refused']:>8.1f}"
        )
    return "\n".join(lines)
