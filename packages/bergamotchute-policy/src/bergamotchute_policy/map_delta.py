"""Differences between expert maps.

Load pattern: a group of 96 ranks changes its map twice a second, and each rank needs all of it: 8 kB
whole, over a link of 3 Mbit/s. A change moves few experts.
"""

from __future__ import annotations

from bergamotchute_policy.even_map_planner import ExpertSets

Experts = tuple[int, ...]
MapChanges = tuple[tuple[int, int, Experts], ...]
"""Set, rank and the experts that this rank holds there from now on."""


def map_changes(before: ExpertSets, after: ExpertSets) -> MapChanges:
    """Return what turns one map into another of the same size."""
    return tuple(
        (index, rank, experts)
        for index, (old, new) in enumerate(zip(before, after, strict=True))
        for rank, (held, experts) in enumerate(zip(old, new, strict=True))
        if held != experts
    )


def changed_map(before: ExpertSets, changes: MapChanges) -> ExpertSets:
    """Return a map with changes.

    :raises IndexError: when they are of a map of another size.
    """
    sets = [list(one_set) for one_set in before]
    for index, rank, experts in changes:
        sets[index][rank] = experts
    return tuple(tuple(one_set) for one_set in sets)
