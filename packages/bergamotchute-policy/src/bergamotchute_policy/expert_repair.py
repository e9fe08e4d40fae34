"""Repair an expert map with few moves, until its slowest ranks are close to an even split."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from bergamotchute_policy.expert_map import (
    EMPTY_SLOT,
    ExpertArray,
    ExpertMap,
    FloatArray,
    rank_times,
)
from bergamotchute_policy.expert_shares import solve_shares

SHARE_SOLVER_ROUNDS = 40
MIN_MOVED_LOAD_RATIO = 0.02
# Weight, by pass, of the load that a move displaces from its slot. Passes of weight 1 count all of
# it and therefore need no check of their gain.
DISPLACED_LOAD_WEIGHTS = (1.0, 1.0, 1.0, 0.25, 0.25)
MIN_GAIN_PER_MOVE = 5e-4


@dataclass(frozen=True)
class Move:
    """Loads one expert's weights into one slot.

    :param replaced: the expert that held the slot; ``EMPTY_SLOT`` for a free slot.
    """

    layer: int
    rank: int
    slot: int
    expert: int
    replaced: int


@dataclass(frozen=True, eq=False)
class Repair:
    """A repaired map and the moves that lead to it, best first within each layer."""

    planned: ExpertMap
    moves: tuple[Move, ...]


def relative_rank_times(
    expert_map: ExpertMap, popularity: FloatArray, speeds: FloatArray
) -> FloatArray:
    """Return rank times divided by the time of a perfectly even split, shape (layers, ranks)."""
    ideal_time = np.maximum(popularity.sum(axis=1, keepdims=True), 1e-300) / speeds.sum()
    return np.asarray(rank_times(expert_map, popularity, speeds) / ideal_time, dtype=np.float64)


def balanced(expert_map: ExpertMap, popularity: FloatArray, speeds: FloatArray) -> ExpertMap:
    """Return the map with new shares and unchanged slots."""
    shares = solve_shares(expert_map.slots, expert_map.shares, popularity, speeds)
    return ExpertMap(expert_map.slots, shares, expert_map.experts)


def repair_map(
    expert_map: ExpertMap,
    popularity: FloatArray,
    speeds: FloatArray,
    *,
    tolerance: float,
    max_moves_per_rank: int,
    max_moves: int,
) -> Repair:
    """Return a map within ``tolerance`` of a perfectly even split, or as close as the limits allow.

    The shares must be solved first, because changing them loads no weights. In a layer that still
    exceeds the tolerance, experts that only busy ranks hold get replicas on less loaded ranks, in
    place of the replicas with the least load. The last replica of an expert is never replaced.

    :param expert_map: the current map, with its shares already solved for ``popularity``.
    :param tolerance: by what fraction the slowest rank of a layer may exceed an even split.
    :param max_moves_per_rank: the number of experts that each rank can load before the switch.
    :param max_moves: the most moves in total; the layers that lose the most time come first.
    """
    current = expert_map
    staging_room = np.full(len(speeds), max_moves_per_rank)
    moves: list[Move] = []
    settled: set[int] = set()
    for displaced_weight in DISPLACED_LOAD_WEIGHTS:
        slowest = relative_rank_times(current, popularity, speeds).max(axis=1)
        weight = popularity.sum(axis=1)
        unbalanced_layers = [
            int(layer)
            for layer in np.argsort(-(slowest - 1) * weight)
            if slowest[layer] > 1 + tolerance and layer not in settled
        ]
        attempt = _move_experts(
            current,
            popularity,
            speeds,
            unbalanced_layers,
            tolerance=tolerance,
            staging_room=staging_room,
            max_moves=max_moves - len(moves),
            displaced_weight=displaced_weight,
        )
        if not attempt.moves:
            continue
        after = relative_rank_times(attempt.planned, popularity, speeds).max(axis=1)
        move_counts = np.bincount(
            [made.layer for made in attempt.moves], minlength=expert_map.layers
        )
        min_gain = MIN_GAIN_PER_MOVE * move_counts if displaced_weight < 1.0 else -np.inf
        is_accepted = (move_counts > 0) & (slowest - after >= min_gain)
        settled.update(int(layer) for layer in np.nonzero((move_counts > 0) & ~is_accepted)[0])
        accepted_moves = [move for move in attempt.moves if is_accepted[move.layer]]
        moves.extend(accepted_moves)
        for move in accepted_moves:
            staging_room[move.rank] -= 1
        current = _merge_layers(current, attempt.planned, is_accepted)
    return Repair(current, _merge_moves(moves))


def _move_experts(
    current: ExpertMap,
    popularity: FloatArray,
    speeds: FloatArray,
    unbalanced_layers: list[int],
    *,
    tolerance: float,
    staging_room: NDArray[np.int_],
    max_moves: int,
    displaced_weight: float,
) -> Repair:
    """Move experts in the unbalanced layers, then solve the shares of those layers."""
    slots = current.slots.copy()
    shares = current.shares.copy()
    remaining_room = staging_room.copy()
    moves: list[Move] = []
    for number in unbalanced_layers:
        if len(moves) >= max_moves:
            break
        layer = _Layer(number, slots[number], shares[number], popularity[number], speeds)
        remaining_moves = max_moves - len(moves)
        moves.extend(
            _repair_layer(layer, tolerance, remaining_room, remaining_moves, displaced_weight)
        )
    changed = sorted({move.layer for move in moves})
    if changed:
        shares[changed] = solve_shares(
            slots[changed],
            shares[changed],
            popularity[changed],
            speeds,
            max_rounds=SHARE_SOLVER_ROUNDS,
        )
    return Repair(ExpertMap(slots, shares, current.experts), tuple(moves))


def _merge_layers(
    current: ExpertMap, planned: ExpertMap, is_accepted: NDArray[np.bool_]
) -> ExpertMap:
    """Return the accepted layers of ``planned`` and the other layers of ``current``."""
    mask = is_accepted[:, None, None]
    slots = np.where(mask, planned.slots, current.slots)
    return ExpertMap(slots, np.where(mask, planned.shares, current.shares), current.experts)


def _merge_moves(moves: list[Move]) -> tuple[Move, ...]:
    """Merge moves into the same slot; drop those that restore the original expert."""
    move_by_slot: dict[tuple[int, int, int], Move] = {}
    for move in moves:
        slot_key = (move.layer, move.rank, move.slot)
        first_move = move_by_slot.pop(slot_key, move)
        move_by_slot[slot_key] = Move(*slot_key, move.expert, first_move.replaced)
    return tuple(move for move in move_by_slot.values() if move.expert != move.replaced)


@dataclass(frozen=True, eq=False)
class _Layer:
    """One layer of a map; ``slots`` and ``shares`` are modified in place."""

    number: int
    slots: ExpertArray
    shares: FloatArray
    popularity: FloatArray
    speeds: FloatArray


def _repair_layer(
    layer: _Layer,
    tolerance: float,
    staging_room: NDArray[np.int_],
    max_moves: int,
    displaced_weight: float,
) -> list[Move]:
    """Add replicas of the experts that overload ranks of the layer; return the moves made."""
    held = layer.slots != EMPTY_SLOT
    safe = np.maximum(layer.slots, 0)
    loads = np.where(held, layer.shares * layer.popularity[safe], 0.0)
    ideal_time = layer.popularity.sum() / layer.speeds.sum()
    rank_loads = loads.sum(axis=1)
    spare = (ideal_time * layer.speeds) - rank_loads
    excess_loads = _excess_loads(layer, loads, rank_loads, spare, tolerance)
    counts = np.bincount(layer.slots[held], minlength=len(layer.popularity))
    holds_expert = np.zeros((len(layer.popularity), len(layer.speeds)), dtype=bool)
    holds_expert[safe[held], np.nonzero(held)[0]] = True
    min_load = MIN_MOVED_LOAD_RATIO * ideal_time
    moves: list[Move] = []
    while len(moves) < max_moves:
        expert = int(excess_loads.argmax())
        if excess_loads[expert] <= min_load:
            break
        movable_loads = np.minimum(np.maximum(spare[:, None] + loads, 0.0), excess_loads[expert])
        score = movable_loads - displaced_weight * loads
        allowed = _allowed_slots(
            layer, excess_loads, counts, ~holds_expert[expert] & (staging_room > 0)
        )
        best_slot = _best_slot(score, allowed)
        if best_slot is None:
            excess_loads[expert] = 0.0
            continue
        rank, slot = best_slot
        moved_load = float(movable_loads[rank, slot])
        replaced = int(layer.slots[rank, slot])
        moves.append(Move(layer.number, rank, slot, expert, replaced))
        _place_replica(layer, rank, slot, expert, moved_load)
        if replaced != EMPTY_SLOT:
            counts[replaced] -= 1
            holds_expert[replaced, rank] = False
            spare[rank] += loads[rank, slot]
        counts[expert] += 1
        holds_expert[expert, rank] = True
        staging_room[rank] -= 1
        loads[rank, slot] = moved_load
        spare[rank] -= moved_load
        excess_loads[expert] -= moved_load
    return moves


def _excess_loads(
    layer: _Layer, loads: FloatArray, rank_loads: FloatArray, spare: FloatArray, tolerance: float
) -> FloatArray:
    """Return the load of each expert that should move to other ranks, shape (experts,).

    An overloaded rank gives up load of its most loaded experts first, so that few replicas are
    needed.
    """
    allowed = (rank_loads + spare) * tolerance / 2
    excess = np.maximum(-spare - allowed, 0.0)
    order = np.argsort(-loads, axis=1, kind="stable")
    sorted_loads = np.take_along_axis(loads, order, axis=1)
    preceding_loads = np.cumsum(sorted_loads, axis=1) - sorted_loads
    excess_by_slot = np.empty_like(loads)
    np.put_along_axis(
        excess_by_slot, order, np.clip(excess[:, None] - preceding_loads, 0.0, sorted_loads), axis=1
    )
    experts = np.maximum(layer.slots, 0).ravel()
    total = np.bincount(experts, excess_by_slot.ravel(), minlength=len(layer.popularity))
    return np.asarray(total, dtype=np.float64)


def _allowed_slots(
    layer: _Layer, excess_loads: FloatArray, counts: NDArray[np.intp], ranks: NDArray[np.bool_]
) -> NDArray[np.bool_]:
    """Return which slots are free or hold a spare replica of an expert without excess load."""
    occupants = np.maximum(layer.slots, 0)
    is_free = layer.slots == EMPTY_SLOT
    spare = (counts[occupants] > 1) & (excess_loads[occupants] <= 0.0)
    return np.asarray((is_free | spare) & (ranks & (layer.speeds > 0))[:, None])


def _best_slot(score: FloatArray, allowed: NDArray[np.bool_]) -> tuple[int, int] | None:
    """Return the rank and the slot of the best allowed slot; ``None`` if none would help."""
    score = np.where(allowed, score, -np.inf)
    rank, slot = divmod(int(score.argmax()), score.shape[1])
    return (rank, slot) if score[rank, slot] > 0.0 else None


def _place_replica(layer: _Layer, rank: int, slot: int, expert: int, moved_load: float) -> None:
    """Put a replica into a slot and give it the share that amounts to ``moved_load``."""
    replaced = int(layer.slots[rank, slot])
    layer.slots[rank, slot] = EMPTY_SLOT
    if replaced != EMPTY_SLOT:
        layer.shares[rank, slot] = 0.0
        is_remaining_replica = layer.slots == replaced
        total = layer.shares[is_remaining_replica].sum()
        if total > 0:
            layer.shares[is_remaining_replica] /= total
        else:
            layer.shares[is_remaining_replica] = 1.0 / is_remaining_replica.sum()
    share = min(moved_load / layer.popularity[expert], 1.0)
    layer.shares[layer.slots == expert] *= 1.0 - share
    layer.slots[rank, slot] = expert
    layer.shares[rank, slot] = share
