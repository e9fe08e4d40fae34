"""Decide when a rank group changes its expert map, and how much of it at once.

Load pattern: demand moves to other experts abruptly every few seconds. At peak load, passes then
take up to twice as long until the map has been adapted, and every stream of the group has a pause
that is too long. Without load, passes are short with any map, and copies are not worth their cost.
"""

from __future__ import annotations

from bergamotchute_model.versioned_configuration import EnginePerformance
from bergamotchute_policy.even_map_planner import EvenMapPlan, MapChangeBounds

BUSY_REQUESTS_PER_SLOT = 0.75
"""Ratio of requests to the group's slots from which a group counts as fully busy."""

BUSY_MIN_SKEW_GAIN = 0.06
"""Least fraction of the skew that a change must save in a busy group; copying lengthens passes by
15%."""

IDLE_MIN_SKEW_GAIN = 0.45
"""The same in an idle group, where passes are short enough even with a poor map."""

BUSY_MIN_GAIN_PER_COPY = 0.024
IDLE_MIN_GAIN_PER_COPY = 0.048
"""Least gain of each copy in a busy and in an idle group, as a fraction of the mean rank load.

On expert choices recorded at the peak load of 8 ranks, the value for busy groups saves a fifth of
the copies and makes passes only 0.2% longer.
"""

BUSY_COPY_TIME_S = 0.15
IDLE_COPY_TIME_S = 0.75
"""Time that a rank spends on copying experts for one change, in a busy and in an idle group.

Copying one expert takes 0.15 s in groups of 8 ranks and 0.02 s in groups of 96, whose experts are
smaller. The first copies gain most: on expert choices recorded at the peak load of 8 ranks, passes
took 16% less time with many changes of one copy each than with few changes of five. An idle group
rarely changes its map, so it copies more at once.
"""

MAX_COPIES_PER_CHANGE = 12
"""Most experts that a rank copies for one change; each one adds to the planning time."""


def group_load_ratio(requests: int, ranks: int, engine: EnginePerformance) -> float:
    """Return how busy a group is, from 0 for idle to 1.

    :param requests: the number of requests at all ranks together.
    :param ranks: the number of ranks in the group.
    """
    return min(1.0, requests / (BUSY_REQUESTS_PER_SLOT * engine.slots * ranks))


def map_change_bounds(engine: EnginePerformance, busy: float) -> MapChangeBounds:
    """Return the limits on the cost of the next change.

    :param busy: the load of the group, from 0 to 1.
    """
    return MapChangeBounds(
        placements=engine.placements,
        max_copies_per_set=engine.spare,
        max_copies_per_rank=_max_copies(
            engine, _interpolate(IDLE_COPY_TIME_S, BUSY_COPY_TIME_S, busy)
        ),
        min_gain_per_copy=_interpolate(IDLE_MIN_GAIN_PER_COPY, BUSY_MIN_GAIN_PER_COPY, busy),
    )


def _max_copies(engine: EnginePerformance, copy_time_s: float) -> int:
    if engine.expert_copy_s <= 0:
        return MAX_COPIES_PER_CHANGE
    return min(MAX_COPIES_PER_CHANGE, max(1, round(copy_time_s / engine.expert_copy_s)))


def is_change_worthwhile(plan: EvenMapPlan, busy: float) -> bool:
    """Return whether a planned change lowers the skew enough.

    :param busy: the load of the group, from 0 to 1.
    """
    min_gain = _interpolate(IDLE_MIN_SKEW_GAIN, BUSY_MIN_SKEW_GAIN, busy)
    return plan.skew_now - plan.skew_planned >= min_gain * plan.skew_now


def _interpolate(idle: float, busy: float, load_ratio: float) -> float:
    return idle + (busy - idle) * load_ratio
