"""Changes a map by few moves, so that its slowest ranks come within a tolerance of the mean."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from bergamotchute_policy.expert_map import EMPTY_SLOT, ExpertMap, Experts, Floats, rank_times
from bergamotchute_policy.expert_shares import solve_shares

PASS_ROUNDS = 40
LEAST_SHARE_OF_RANK = 0.02
# How much displaced work counts against a place, by pass: the careful passes need no check.
DISPLACED_WEIGHTS = (1.0, 1.0, 1.0, 0.25, 0.25)
LEAST_GAIN_PER_MOVE = 5e-4


@dataclass(frozen=True)
class Move:
    """One expert's weights loaded into one slot.

    :param replaced: the expert whose place it takes; ``EMPTY_SLOT`` for a free slot.
    """

    layer: int
    rank: int
    slot: int
    expert: int
    replaced: int


@dataclass(frozen=True, eq=False)
class Repair:
    """A map and the moves that lead to it, best first within each layer."""

    planned: ExpertMap
    moves: tuple[Move, ...]


def relative_times(placed: ExpertMap, popularity: Floats, speeds: Floats) -> Floats:
    """Return rank times over the time of a perfect split, shape (layers, ranks)."""
    ideal = np.maximum(popularity.sum(axis=1, keepdims=True), 1e-300) / speeds.sum()
    return np.asarray(rank_times(placed, popularity, speeds) / ideal, dtype=np.float64)


def balanced(placed: ExpertMap, popularity: Floats, speeds: Floats) -> ExpertMap:
    """Return the map with new shares and every expert where it is."""
    shares = solve_shares(placed.slots, placed.shares, popularity, speeds)
    return ExpertMap(placed.slots, shares, placed.experts)


def repaired(
    placed: ExpertMap,
    popularity: Floats,
    speeds: Floats,
    *,
    tolerance: float,
    moves_per_rank: int,
    most_moves: int,
) -> Repair:
    """Return a map within ``tolerance`` of a perfect split, or as near as the bounds let it.

    Shares are set first, as they cost nothing. Where a layer stays over the tolerance, experts
    that only busy ranks hold get replicas on idle ranks, in place of the replicas that serve
    least. The last replica of an expert is never replaced.

    :param placed: the present map, with its shares already set for ``popularity``.
    :param tolerance: how far over a perfect split the slowest rank of a layer may be.
    :param moves_per_rank: spare room on each rank for weights that wait for the switch.
    :param most_moves: moves in all; the layers that lose most time come first.
    """
    present = placed
    room = np.full(len(speeds), moves_per_rank)
    moves: list[Move] = []
    settled: set[int] = set()
    for displaced in DISPLACED_WEIGHTS:
        slowest = relative_times(present, popularity, speeds).max(axis=1)
        weight = popularity.sum(axis=1)
        wanting = [
            int(layer)
            for layer in np.argsort(-(slowest - 1) * weight)
            if slowest[layer] > 1 + tolerance and layer not in settled
        ]
        attempt = _attempt(
            present,
            popularity,
            speeds,
            wanting,
            tolerance=tolerance,
            room=room,
            most_moves=most_moves - len(moves),
            displaced=displaced,
        )
        if not attempt.moves:
            continue
        after = relative_times(attempt.planned, popularity, speeds).max(axis=1)
        count = np.bincount([m.layer for m in attempt.moves], minlength=placed.layers)
        least = LEAST_GAIN_PER_MOVE * count if displaced < 1.0 else -np.inf
        kept = (count > 0) & (slowest - after >= least)
        settled.update(int(layer) for layer in np.nonzero((count > 0) & ~kept)[0])
        taken = [move for move in attempt.moves if kept[move.layer]]
        moves.extend(taken)
        for move in taken:
            room[move.rank] -= 1
        present = _chosen(present, attempt.planned, kept)
    return Repair(present, _merged(moves))


def _attempt(
    present: ExpertMap,
    popularity: Floats,
    speeds: Floats,
    wanting: list[int],
    *,
    tolerance: float,
    room: NDArray[np.int_],
    most_moves: int,
    displaced: float,
) -> Repair:
    """Move experts in the layers that want it, then set the shares of those layers."""
    slots = present.slots.copy()
    shares = present.shares.copy()
    left = room.copy()
    moves: list[Move] = []
    for number in wanting:
        if len(moves) >= most_moves:
            break
        layer = _Layer(number, slots[number], shares[number], popularity[number], speeds)
        bound = most_moves - len(moves)
        moves.extend(_repair_layer(layer, tolerance, left, bound, displaced))
    changed = sorted({move.layer for move in moves})
    if changed:
        shares[changed] = solve_shares(
            slots[changed], shares[changed], popularity[changed], speeds, rounds=PASS_ROUNDS
        )
    return Repair(ExpertMap(slots, shares, present.experts), tuple(moves))


def _chosen(present: ExpertMap, planned: ExpertMap, kept: NDArray[np.bool_]) -> ExpertMap:
    """Take the layers in ``kept`` from ``planned`` and the others from ``present``."""
    pick = kept[:, None, None]
    slots = np.where(pick, planned.slots, present.slots)
    return ExpertMap(slots, np.where(pick, planned.shares, present.shares), present.experts)


def _merged(moves: list[Move]) -> tuple[Move, ...]:
    """Fold moves into the same slot into one; drop those that put back what was there."""
    last: dict[tuple[int, int, int], Move] = {}
    for move in moves:
        place = (move.layer, move.rank, move.slot)
        first = last.pop(place, move)
        last[place] = Move(*place, move.expert, first.replaced)
    return tuple(move for move in last.values() if move.expert != move.replaced)


@dataclass(frozen=True, eq=False)
class _Layer:
    """One layer's part of a map; ``slots`` and ``shares`` are changed in place."""

    number: int
    slots: Experts
    shares: Floats
    popularity: Floats
    speeds: Floats


def _repair_layer(
    layer: _Layer, tolerance: float, room: NDArray[np.int_], most_moves: int, displaced: float
) -> list[Move]:
    """Add replicas of the experts that hold up the layer; return the moves made."""
    held = layer.slots != EMPTY_SLOT
    safe = np.maximum(layer.slots, 0)
    loads = np.where(held, layer.shares * layer.popularity[safe], 0.0)
    ideal = layer.popularity.sum() / layer.speeds.sum()
    rank_load = loads.sum(axis=1)
    spare = (ideal * layer.speeds) - rank_load
    shed = _work_to_shed(layer, loads, rank_load, spare, tolerance)
    counts = np.bincount(layer.slots[held], minlength=len(layer.popularity))
    hosts = np.zeros((len(layer.popularity), len(layer.speeds)), dtype=bool)
    hosts[safe[held], np.nonzero(held)[0]] = True
    least_gain = LEAST_SHARE_OF_RANK * ideal
    moves: list[Move] = []
    while len(moves) < most_moves:
        expert = int(shed.argmax())
        if shed[expert] <= least_gain:
            break
        taken_at = np.minimum(np.maximum(spare[:, None] + loads, 0.0), shed[expert])
        score = taken_at - displaced * loads
        allowed = _allowed_places(layer, shed, counts, ~hosts[expert] & (room > 0))
        place = _best_place(score, allowed)
        if place is None:
            shed[expert] = 0.0
            continue
        rank, slot = place
        taken = float(taken_at[rank, slot])
        replaced = int(layer.slots[rank, slot])
        moves.append(Move(layer.number, rank, slot, expert, replaced))
        _place(layer, rank, slot, expert, taken)
        if replaced != EMPTY_SLOT:
            counts[replaced] -= 1
            hosts[replaced, rank] = False
            spare[rank] += loads[rank, slot]
        counts[expert] += 1
        hosts[expert, rank] = True
        room[rank] -= 1
        loads[rank, slot] = taken
        spare[rank] -= taken
        shed[expert] -= taken
    return moves


def _work_to_shed(
    layer: _Layer, loads: Floats, rank_load: Floats, spare: Floats, tolerance: float
) -> Floats:
    """Return for each expert the work that its ranks have too much, shape (experts,).

    Each rank sheds its largest experts first, so that few replicas are needed.
    """
    allowed = (rank_load + spare) * tolerance / 2
    over = np.maximum(-spare - allowed, 0.0)
    order = np.argsort(-loads, axis=1, kind="stable")
    largest = np.take_along_axis(loads, order, axis=1)
    before = np.cumsum(largest, axis=1) - largest
    shed = np.empty_like(loads)
    np.put_along_axis(shed, order, np.clip(over[:, None] - before, 0.0, largest), axis=1)
    experts = np.maximum(layer.slots, 0).ravel()
    total = np.bincount(experts, shed.ravel(), minlength=len(layer.popularity))
    return np.asarray(total, dtype=np.float64)


def _allowed_places(
    layer: _Layer, shed: Floats, counts: NDArray[np.intp], ranks: NDArray[np.bool_]
) -> NDArray[np.bool_]:
    """Return the slots that are free, or hold a spare replica of an expert with nothing to shed."""
    occupant = np.maximum(layer.slots, 0)
    free = layer.slots == EMPTY_SLOT
    spare = (counts[occupant] > 1) & (shed[occupant] <= 0.0)
    return np.asarray((free | spare) & (ranks & (layer.speeds > 0))[:, None])


def _best_place(score: Floats, allowed: NDArray[np.bool_]) -> tuple[int, int] | None:
    """Return rank and slot of the best allowed place; ``None`` where none would help."""
    score = np.where(allowed, score, -np.inf)
    rank, slot = divmod(int(score.argmax()), score.shape[1])
    return (rank, slot) if score[rank, slot] > 0.0 else None


def _place(layer: _Layer, rank: int, slot: int, expert: int, taken: float) -> None:
    """Put a replica into a slot and give it the share of ``taken`` work."""
    replaced = int(layer.slots[rank, slot])
    layer.slots[rank, slot] = EMPTY_SLOT
    if replaced != EMPTY_SLOT:
        layer.shares[rank, slot] = 0.0
        rest = layer.slots == replaced
        total = layer.shares[rest].sum()
        if total > 0:
            layer.shares[rest] /= total
        else:
            layer.shares[rest] = 1.0 / rest.sum()
    part = min(taken / layer.popularity[expert], 1.0)
    layer.shares[layer.slots == expert] *= 1.0 - part
    layer.slots[rank, slot] = expert
    layer.shares[rank, slot] = part
