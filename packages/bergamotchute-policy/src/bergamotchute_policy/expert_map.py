"""The expert map of a rank group: which rank holds which expert, and what share it serves."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

Floats = NDArray[np.float64]
Experts = NDArray[np.int16]
Bools = NDArray[np.bool_]

EMPTY_SLOT = -1
SHARE_STEPS = 65535


@dataclass(frozen=True, eq=False)
class ExpertMap:
    """Where each expert's weights are, and how its tokens are split among its replicas.

    Shares are part of the map because changing them moves no weights: the split between the
    replicas of an expert follows popularity and rank speed for the price of an epoch.

    :param slots: shape (layers, ranks, slots); the expert in each slot, ``EMPTY_SLOT`` for none.
        A rank holds an expert of a layer at most once.
    :param shares: the same shape; the part of the expert's tokens that the slot serves. The
        shares of one expert of one layer add up to 1.
    :param experts: experts in each layer.
    """

    slots: Experts
    shares: Floats
    experts: int

    @property
    def layers(self) -> int:
        """Layers with experts."""
        return int(self.slots.shape[0])

    @property
    def ranks(self) -> int:
        """Ranks in the group."""
        return int(self.slots.shape[1])

    def digest(self) -> str:
        """Return the SHA-256 of the encoded map, which names it in the log."""
        return hashlib.sha256(self.encode()).hexdigest()

    def encode(self) -> bytes:
        """Return the map as bytes: a header, the experts by slot, the shares in 16 bits each."""
        header = np.array([*self.slots.shape, self.experts], dtype="<u4").tobytes()
        shares = np.round(self.shares * SHARE_STEPS).astype("<u2")
        return header + self.slots.astype("<i2").tobytes() + shares.tobytes()

    @classmethod
    def decode(cls, data: bytes) -> ExpertMap:
        """Read what :meth:`encode` wrote; shares are scaled to add up to 1 again.

        :raises ValueError: when the length does not fit the header.
        """
        if len(data) < 16:
            raise ValueError("an expert map has a header of 16 bytes")
        layers, ranks, slots, experts = (int(n) for n in np.frombuffer(data[:16], dtype="<u4"))
        size = layers * ranks * slots
        if len(data) != 16 + 4 * size:
            raise ValueError(f"expected {16 + 4 * size} bytes of expert map, found {len(data)}")
        shape = (layers, ranks, slots)
        placed = np.frombuffer(data, dtype="<i2", count=size, offset=16).reshape(shape)
        steps = np.frombuffer(data, dtype="<u2", count=size, offset=16 + 2 * size).reshape(shape)
        placed = placed.astype(np.int16)
        return cls(placed, normalized(placed, steps.astype(np.float64), experts), experts)


def flat_experts(slots: Experts, experts: int) -> NDArray[np.intp]:
    """Return for each slot the index of its (layer, expert) in a flat table.

    Empty slots get the index of their layer's expert 0; their share is 0.
    """
    layer = np.arange(slots.shape[0], dtype=np.intp)[:, None, None]
    return np.asarray(layer * experts + np.maximum(slots, 0), dtype=np.intp)


def normalized(slots: Experts, shares: Floats, experts: int) -> Floats:
    """Scale shares so that those of each expert add up to 1; empty slots get 0."""
    held = slots != EMPTY_SLOT
    index = flat_experts(slots, experts)
    kept = np.where(held, shares, 0.0)
    total = np.bincount(index.ravel(), kept.ravel(), slots.shape[0] * experts)
    scale = np.divide(1.0, total, out=np.zeros_like(total), where=total > 0)
    return np.asarray(kept * scale[index], dtype=np.float64)


def slot_loads(placed: ExpertMap, popularity: Floats) -> Floats:
    """Return the work of each slot, shape (layers, ranks, slots).

    :param popularity: shape (layers, experts); tokens or parts of them, any unit.
    """
    index = flat_experts(placed.slots, placed.experts)
    return np.asarray(placed.shares * popularity.ravel()[index], dtype=np.float64)


def rank_times(placed: ExpertMap, popularity: Floats, speeds: Floats) -> Floats:
    """Return the time of each rank in each layer, shape (layers, ranks).

    :param speeds: shape (ranks,); work a rank does in a unit of time, 1 for a healthy rank.
    """
    return over_speeds(slot_loads(placed, popularity).sum(axis=2), speeds)


def over_speeds(loads: Floats, speeds: Floats) -> Floats:
    """Return loads over speeds; a rank of speed 0 takes no time without load, and else for ever."""
    unable = np.where(loads > 0, np.inf, 0.0)
    running = np.broadcast_to(speeds > 0, loads.shape)
    return np.asarray(np.divide(loads, speeds, out=unable, where=running), dtype=np.float64)


def step_skew(placed: ExpertMap, popularity: Floats, speeds: Floats) -> float:
    """Return slowest over mean step time: the ranks wait for the slowest one in every layer."""
    times = rank_times(placed, popularity, speeds)[:, speeds > 0]
    return float(times.max(axis=1).sum() / times.mean(axis=1).sum())


def moved_slots(present: ExpertMap, planned: ExpertMap) -> int:
    """Return how many expert weights must be loaded to get from one map to another."""
    held = (present.slots[:, :, :, None] == planned.slots[:, :, None, :]).any(axis=2)
    return int(np.count_nonzero(~held & (planned.slots != EMPTY_SLOT)))


def replica_counts(slots: Experts, experts: int) -> NDArray[np.intp]:
    """Return the replicas of each expert, shape (layers, experts)."""
    held = (slots != EMPTY_SLOT).ravel().astype(np.float64)
    index = flat_experts(slots, experts).ravel()
    counts = np.bincount(index, held, slots.shape[0] * experts)
    return np.asarray(counts.reshape(slots.shape[0], experts), dtype=np.intp)
