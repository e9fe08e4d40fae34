"""Synthetic demand for experts, skewed as it is with the users' models."""

from __future__ import annotations

from random import Random

SET_COUNT, RANK_COUNT, EXPERT_COUNT = 6, 8, 64


def skewed_demand(random: Random) -> list[list[float]]:
    """Return the demand for each set of experts; a few experts get most of the tokens."""
    demand = []
    for _ in range(SET_COUNT):
        weights = [1.0 / (popularity_rank + 1) ** 1.6 for popularity_rank in range(EXPERT_COUNT)]
        random.shuffle(weights)
        demand.append(weights)
    return demand


SHIFTED_RATIO = 0.65
"""Ratio of the demand that moves to other experts in one shift, as on the users' sites."""


def shifted_demand(demand: list[list[float]], random: Random) -> list[list[float]]:
    """Return a demand of which the ratio :data:`SHIFTED_RATIO` has moved to other experts."""
    return [
        [(1 - SHIFTED_RATIO) * old + SHIFTED_RATIO * new for old, new in zip(*sets, strict=True)]
        for sets in zip(demand, skewed_demand(random), strict=True)
    ]
