"""The difference between two maps turns the map that a rank holds into the planned one."""

from __future__ import annotations

from random import Random

import pytest

from bergamotchute_policy.even_map_planner import MapChangeBounds, initial_map, plan_even_map
from bergamotchute_policy.map_delta import apply_map_changes, diff_maps


def _demand(random: Random, sets: int, experts: int) -> list[list[float]]:
    return [[random.paretovariate(1.2) for _ in range(experts)] for _ in range(sets)]


@pytest.mark.parametrize(
    ("sets", "ranks", "experts", "placements"), [(6, 8, 64, 11), (12, 32, 128, 5), (16, 96, 192, 3)]
)
def test_changes_produce_the_planned_map_and_are_few(
    sets: int, ranks: int, experts: int, placements: int
) -> None:
    random = Random(ranks)
    bounds = MapChangeBounds(placements, 2, 2, 3e-3)
    held = initial_map(sets, ranks, experts)
    for _ in range(4):
        planned = plan_even_map(held, _demand(random, sets, experts), bounds).experts
        changes = diff_maps(held, planned)
        assert apply_map_changes(held, changes) == planned
        assert 0 < len(changes) < sets * ranks
        held = planned


def test_changes_for_a_map_of_another_size_are_rejected() -> None:
    with pytest.raises(IndexError):
        apply_map_changes(initial_map(1, 2, 4), ((0, 5, (1,)),))
