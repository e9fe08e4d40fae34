"""Packs experts onto ranks from scratch, by popularity and rank speed."""

from __future__ import annotations

import heapq

import numpy as np
from numpy.typing import NDArray

from bergamotchute_policy.expert_map import EMPTY_SLOT, ExpertMap, Experts, Floats, normalized
from bergamotchute_policy.expert_shares import solve_shares


def replicas_for(popularity: Floats, total: int, most: int) -> NDArray[np.intp]:
    """Return how many replicas each expert of one layer gets.

    Each expert gets one; each further slot goes to the expert with the most work per replica.

    :param popularity: shape (experts,).
    :param total: slots to fill.
    :param most: the most replicas of one expert, the number of ranks.
    :raises ValueError: when there are fewer slots than experts.
    """
    experts = len(popularity)
    if total < experts:
        raise ValueError(f"{total} slots cannot hold {experts} experts")
    counts = [1] * experts
    heap = [(-float(work), expert) for expert, work in enumerate(popularity)]
    heapq.heapify(heap)
    for _ in range(total - experts):
        if not heap:
            break
        _, expert = heapq.heappop(heap)
        counts[expert] += 1
        if counts[expert] < most:
            heapq.heappush(heap, (-float(popularity[expert]) / counts[expert], expert))
    return np.array(counts, dtype=np.intp)


def pack_layer(popularity: Floats, speeds: Floats, slots_per_rank: int) -> Experts:
    """Place the experts of one layer; return the slots, shape (ranks, slots).

    The heaviest replica goes first, each to the rank that would be done earliest and has room.

    :param popularity: shape (experts,).
    """
    ranks = len(speeds)
    counts = replicas_for(popularity, ranks * slots_per_rank, ranks)
    each = popularity / counts
    slots = np.full((ranks, slots_per_rank), EMPTY_SLOT, dtype=np.int16)
    used = [0] * ranks
    heap = [(0.0, rank) for rank in range(ranks)]
    for expert in np.argsort(-each, kind="stable"):
        taken: list[tuple[float, int]] = []
        for _ in range(int(counts[expert])):
            if not heap:
                break
            time, rank = heapq.heappop(heap)
            slots[rank, used[rank]] = expert
            used[rank] += 1
            taken.append((time + float(each[expert] / speeds[rank]), rank))
        for time, rank in taken:
            if used[rank] < slots_per_rank:
                heapq.heappush(heap, (time, rank))
    return _with_every_expert(slots, len(popularity))


def _with_every_expert(slots: Experts, experts: int) -> Experts:
    """Give an expert that found no rank the slot of the most replicated one."""
    for expert in range(experts):
        if (slots == expert).any():
            continue
        counts = np.bincount(slots[slots != EMPTY_SLOT], minlength=experts)
        rank, slot = np.argwhere(slots == counts.argmax())[0]
        slots[rank, slot] = expert
    return slots


def pack(popularity: Floats, speeds: Floats, slots_per_rank: int) -> ExpertMap:
    """Return a map made from scratch.

    :param popularity: shape (layers, experts).
    :param speeds: shape (ranks,).
    """
    experts = popularity.shape[1]
    slots = np.stack([pack_layer(layer, speeds, slots_per_rank) for layer in popularity])
    start = normalized(slots, np.ones(slots.shape), experts)
    shares = solve_shares(slots, start, popularity, speeds, rounds=200)
    return ExpertMap(slots, shares, experts)
