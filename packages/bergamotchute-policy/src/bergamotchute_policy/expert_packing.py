"""Build an expert map from scratch, by expert popularity and rank speed."""

from __future__ import annotations

import heapq

import numpy as np
from numpy.typing import NDArray

from bergamotchute_policy.expert_map import (
    EMPTY_SLOT,
    ExpertArray,
    ExpertMap,
    FloatArray,
    normalized_shares,
)
from bergamotchute_policy.expert_shares import solve_shares


def choose_replica_counts(popularity: FloatArray, total: int, most: int) -> NDArray[np.intp]:
    """Return the number of replicas of each expert of one layer.

    Each expert gets one; each further slot goes to the expert with the most load per replica.

    :param popularity: shape (experts,).
    :param total: the number of slots to fill.
    :param most: the most replicas of one expert, which is the number of ranks.
    :raises ValueError: if there are fewer slots than experts.
    """
    experts = len(popularity)
    if total < experts:
        raise ValueError(
            f"{total} slots cannot hold {experts} experts; a layer needs a slot for each expert"
        )
    counts = [1] * experts
    heap = [(-float(load), expert) for expert, load in enumerate(popularity)]
    heapq.heapify(heap)
    for _ in range(total - experts):
        if not heap:
            break
        _, expert = heapq.heappop(heap)
        counts[expert] += 1
        if counts[expert] < most:
            heapq.heappush(heap, (-float(popularity[expert]) / counts[expert], expert))
    return np.array(counts, dtype=np.intp)


def pack_layer(popularity: FloatArray, speeds: FloatArray, slots_per_rank: int) -> ExpertArray:
    """Place the experts of one layer; return the slots, shape (ranks, slots).

    Replicas are placed in descending order of load, each on the rank with free slots that has the
    least time so far.

    :param popularity: shape (experts,).
    """
    ranks = len(speeds)
    counts = choose_replica_counts(popularity, ranks * slots_per_rank, ranks)
    load_per_replica = popularity / counts
    slots = np.full((ranks, slots_per_rank), EMPTY_SLOT, dtype=np.int16)
    used = [0] * ranks
    heap = [(0.0, rank) for rank in range(ranks)]
    for expert in np.argsort(-load_per_replica, kind="stable"):
        assigned: list[tuple[float, int]] = []
        for _ in range(int(counts[expert])):
            if not heap:
                break
            rank_time, rank = heapq.heappop(heap)
            slots[rank, used[rank]] = expert
            used[rank] += 1
            assigned.append((rank_time + float(load_per_replica[expert] / speeds[rank]), rank))
        for rank_time, rank in assigned:
            if used[rank] < slots_per_rank:
                heapq.heappush(heap, (rank_time, rank))
    return _place_missing_experts(slots, len(popularity))


def _place_missing_experts(slots: ExpertArray, experts: int) -> ExpertArray:
    """Give each expert without a slot a slot of the expert with the most replicas."""
    for expert in range(experts):
        if (slots == expert).any():
            continue
        counts = np.bincount(slots[slots != EMPTY_SLOT], minlength=experts)
        rank, slot = np.argwhere(slots == counts.argmax())[0]
        slots[rank, slot] = expert
    return slots


def pack_experts(popularity: FloatArray, speeds: FloatArray, slots_per_rank: int) -> ExpertMap:
    """Return a map that is built from scratch, without regard to the current one.

    :param popularity: shape (layers, experts).
    :param speeds: shape (ranks,).
    """
    experts = popularity.shape[1]
    slots = np.stack([pack_layer(layer, speeds, slots_per_rank) for layer in popularity])
    initial_shares = normalized_shares(slots, np.ones(slots.shape), experts)
    shares = solve_shares(slots, initial_shares, popularity, speeds, max_rounds=200)
    return ExpertMap(slots, shares, experts)
