"""Split each expert's tokens among its replicas so that all ranks take the same time."""

from __future__ import annotations

import numpy as np

from bergamotchute_policy.expert_map import (
    EMPTY_SLOT,
    ExpertArray,
    FloatArray,
    flat_expert_indices,
    times_at_speeds,
)

MIN_SHARE = 1e-5
MAX_ROUNDS = 60
CONVERGENCE_TOLERANCE = 1e-3
CONVERGENCE_CHECK_ROUNDS = 10


def solve_shares(
    slots: ExpertArray,
    shares: FloatArray,
    popularity: FloatArray,
    speeds: FloatArray,
    *,
    max_rounds: int = MAX_ROUNDS,
    damping: float = 0.9,
) -> FloatArray:
    """Return shares that minimize the time of the slowest rank of each layer, approximately.

    Minimizes the sum over ranks of speed times squared time by multiplicative updates: each slot's
    share is divided by a power of its rank's time, then the shares of each expert are scaled to
    add up to 1. Shares at the minimum also minimize the time of the slowest rank.

    :param shares: the initial shares; start from those in use, so that shares of layers that are
        already balanced change little.
    :param max_rounds: the most updates; fewer are made if the slowest ranks stop improving.
    :param damping: the exponent of the rank's time in an update; values below 1 damp it.
    """
    experts = popularity.shape[1]
    layers = slots.shape[0]
    index = flat_expert_indices(slots, experts)
    flat_index = index.ravel()
    held = slots != EMPTY_SLOT
    expert_loads = popularity.ravel()[index]
    ideal_time = np.maximum(popularity.sum(axis=1, keepdims=True), 1e-300) / speeds.sum()
    trial_shares = np.where(held, np.maximum(shares, MIN_SHARE), 0.0)
    best_shares = trial_shares
    best_slowest = np.full(layers, np.inf)
    last_checked_sum = np.inf
    for number in range(max_rounds + 1):
        total = np.bincount(flat_index, trial_shares.ravel(), layers * experts)
        np.maximum(total, 1e-300, out=total)
        trial_shares = trial_shares / total[index]
        times = times_at_speeds((trial_shares * expert_loads).sum(axis=2), speeds) / ideal_time
        slowest = times.max(axis=1)
        is_better = slowest < best_slowest
        best_shares = np.where(is_better[:, None, None], trial_shares, best_shares)
        best_slowest = np.minimum(best_slowest, slowest)
        if number % CONVERGENCE_CHECK_ROUNDS == 0:
            if last_checked_sum - best_slowest.sum() < CONVERGENCE_TOLERANCE * layers:
                break
            last_checked_sum = float(best_slowest.sum())
        correction = np.maximum(times, 1e-6) ** -damping
        trial_shares = np.where(
            held, np.maximum(trial_shares * correction[:, :, None], MIN_SHARE), 0.0
        )
    return np.asarray(best_shares, dtype=np.float64)
