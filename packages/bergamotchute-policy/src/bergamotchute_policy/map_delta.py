"""Compute and apply the differences between expert maps.

Load pattern: a group of 96 ranks changes its map twice a second, and every rank needs the whole
map, which is 8 kB, over a link of 3 Mbit/s. Each change moves only a few experts.
"""

from __future__ import annotations

from bergamotchute_model.packed_map import ExpertPlacement, MapDelta


def diff_maps(before: ExpertPlacement, after: ExpertPlacement) -> MapDelta:
    """Return the changes that turn one map into another of the same size."""
    return tuple(
        (index, rank, experts)
        for index, (old_ranks, new_ranks) in enumerate(zip(before, after, strict=True))
        for rank, (held, experts) in enumerate(zip(old_ranks, new_ranks, strict=True))
        if held != experts
    )


def apply_map_changes(old_map: ExpertPlacement, changes: MapDelta) -> ExpertPlacement:
    """Return a map with the given changes applied.

    :raises IndexError: when a change names a set or a rank that the map does not have.
    """
    sets = [list(one_set) for one_set in old_map]
    for index, rank, experts in changes:
        sets[index][rank] = experts
    return tuple(tuple(one_set) for one_set in sets)
