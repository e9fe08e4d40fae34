"""Splits each expert's tokens among its replicas so that all ranks take the same time."""

from __future__ import annotations

import numpy as np

from bergamotchute_policy.expert_map import EMPTY_SLOT, Experts, Floats, flat_experts, over_speeds

SHARE_FLOOR = 1e-5
ROUNDS = 60
RELATIVE_TOLERANCE = 1e-3
CHECK_ROUNDS = 10


def solve_shares(
    slots: Experts,
    shares: Floats,
    popularity: Floats,
    speeds: Floats,
    *,
    rounds: int = ROUNDS,
    damping: float = 0.9,
) -> Floats:
    """Return shares that bring the slowest rank of each layer close to the best possible.

    Minimises the sum over ranks of speed times squared time by multiplicative updates: each
    slot's share is divided by a power of its rank's time and the shares of each expert are
    scaled back to add up to 1. The minimum is also the one of the slowest rank.

    :param shares: where to start; the shares in use, so that calm layers change little.
    :param rounds: the most updates; ends early when no layer's slowest rank improves.
    """
    experts = popularity.shape[1]
    layers = slots.shape[0]
    index = flat_experts(slots, experts)
    flat = index.ravel()
    held = slots != EMPTY_SLOT
    work = popularity.ravel()[index]
    ideal = np.maximum(popularity.sum(axis=1, keepdims=True), 1e-300) / speeds.sum()
    share = np.where(held, np.maximum(shares, SHARE_FLOOR), 0.0)
    best = share
    best_slowest = np.full(layers, np.inf)
    checked = np.inf
    for number in range(rounds + 1):
        total = np.bincount(flat, share.ravel(), layers * experts)
        np.maximum(total, 1e-300, out=total)
        share = share / total[index]
        times = over_speeds((share * work).sum(axis=2), speeds) / ideal
        slowest = times.max(axis=1)
        better = slowest < best_slowest
        best = np.where(better[:, None, None], share, best)
        best_slowest = np.minimum(best_slowest, slowest)
        if number % CHECK_ROUNDS == 0:
            if checked - best_slowest.sum() < RELATIVE_TOLERANCE * layers:
                break
            checked = float(best_slowest.sum())
        pace = np.maximum(times, 1e-6) ** -damping
        share = np.where(held, np.maximum(share * pace[:, :, None], SHARE_FLOOR), 0.0)
    return np.asarray(best, dtype=np.float64)
