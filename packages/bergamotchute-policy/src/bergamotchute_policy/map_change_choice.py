"""When a rank group changes its expert map, and how much of it at once.

Load pattern: demand for experts turns at once every few seconds. At a crest passes then take up to
twice as long until the map follows, and every stream of the group has a pause too long. Without
load passes are short with any map, and copies are not worth their price.
"""

from __future__ import annotations

from bergamotchute_model.whole_configuration import EngineFigures
from bergamotchute_policy.even_map_planner import EvenMapPlan, PlannerBounds

BUSY = 0.75
"""Requests as a part of the group's slots from which a group counts as busy."""

BUSY_GAIN = 0.06
"""Part of the skew that a change must save in a busy group; copying lengthens passes by 15%."""

CALM_GAIN = 0.45
"""The same in a group without load, where passes are short enough with a poor map."""

BUSY_STEP_GAIN = 0.024
CALM_STEP_GAIN = 0.048
"""What each copy must bring in a busy and in a calm group, as a part of the mean rank's load.

On choices replayed from a crest of 8 ranks, the busy figure saves a fifth of the copies for 0.2% of
pass time.
"""

BUSY_COPYING_S = 0.15
CALM_COPYING_S = 0.75
"""How long a rank copies experts for one change; one takes 0.15 s in groups of 8 and 0.02 s in
groups of 96, whose experts are smaller.

The first copies bring most: on choices replayed from a crest of 8 ranks, passes took 16% less time
with many changes of one copy than with few of five. A calm group changes seldom.
"""

COPIES_MAX = 12
"""Experts that a rank copies for one change at the most; a plan takes time for each."""


def busyness(requests: int, ranks: int, engine: EngineFigures) -> float:
    """Return how busy a group is, from 0 to 1.

    :param requests: at all ranks together.
    """
    return min(1.0, requests / (BUSY * engine.slots * ranks))


def change_bounds(engine: EngineFigures, busy: float) -> PlannerBounds:
    """Return what the next change may cost."""
    return PlannerBounds(
        placements=engine.placements,
        copies_per_set=engine.spare,
        copies_per_rank=_copies(engine, _between(CALM_COPYING_S, BUSY_COPYING_S, busy)),
        least_step_gain=_between(CALM_STEP_GAIN, BUSY_STEP_GAIN, busy),
    )


def _copies(engine: EngineFigures, copying_s: float) -> int:
    if engine.expert_copy_s <= 0:
        return COPIES_MAX
    return min(COPIES_MAX, max(1, round(copying_s / engine.expert_copy_s)))


def is_worth_changing(plan: EvenMapPlan, busy: float) -> bool:
    """Return whether a planned change saves enough."""
    least_gain = _between(CALM_GAIN, BUSY_GAIN, busy)
    return plan.skew_now - plan.skew_planned >= least_gain * plan.skew_now


def _between(calm: float, busy: float, part: float) -> float:
    return calm + (busy - calm) * part
