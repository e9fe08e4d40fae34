"""Recognize ranks that are slow, and how much their part of each pass is worth.

Load pattern: one rank of 72 takes four times as long as the others. All ranks pass on together, so
every stream of the group has pauses that are too long. Without requests and without popular
experts at that rank, passes are short enough again; either alone is not enough.

Load pattern: two fifths of 63 ranks take twelve times as long. The steps of such a rank alone take
longer than a pause may be, so no stream is in time, but its own requests lengthen each pass further.
"""

from __future__ import annotations

from collections.abc import Sequence

SLOW_PACE = 1.5
"""Pace from which a rank counts as slow. Ranks of one service differ by some tenths."""

MAX_PACE = 20.0
"""Bounds the weight of a pace; a slower rank has no load left to move."""

NOTABLE_CHANGE_RATIO = 1.25
"""Ratio of two paces that is reported at once."""

MAX_AVOIDED_SHARE = 0.75
"""Share of the endpoints that may be avoided as slow. With two fifths of 63 ranks slow, the share in
the part of the ranks that one entry uses varies by more than a tenth."""


def is_notable_change(previous: float | None, pace: float | None) -> bool:
    """Return whether a pace differs enough from the one that was reported last."""
    if previous is None or pace is None:
        return previous is not pace
    return max(previous, pace) >= NOTABLE_CHANGE_RATIO * min(previous, pace)


def pace_weight(pace: float | None) -> float:
    """Return the weight of a rank's load: 1 unless the rank is slow; an unknown pace is usual."""
    return min(MAX_PACE, pace) if pace is not None and pace >= SLOW_PACE else 1.0


def weighted_loads(loads: Sequence[float], weights: Sequence[float]) -> list[float]:
    """Return the loads of ranks as times, with the weights of their paces.

    :param weights: by rank; empty if no rank is slow.
    """
    if not weights:
        return list(loads)
    return [load * weight for load, weight in zip(loads, weights, strict=True)]
