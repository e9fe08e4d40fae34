"""The expert map of a rank group: the experts that each rank holds and the shares it serves."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

FloatArray = NDArray[np.float64]
ExpertArray = NDArray[np.int16]
BoolArray = NDArray[np.bool_]

EMPTY_SLOT = -1
SHARE_SCALE = 65535


@dataclass(frozen=True, eq=False)
class ExpertMap:
    """The ranks that hold each expert's weights, and the split of its tokens among its replicas.

    Shares are part of the map because they can change without moving weights: adapting the split
    between replicas to popularity and rank speed costs only a new epoch.

    :param slots: shape (layers, ranks, slots); the expert in each slot, ``EMPTY_SLOT`` for none.
        A rank holds an expert of a layer at most once.
    :param shares: the same shape; the fraction of the expert's tokens that the slot serves. The
        shares of one expert of one layer add up to 1.
    :param experts: the number of experts in each layer.
    """

    slots: ExpertArray
    shares: FloatArray
    experts: int

    @property
    def layers(self) -> int:
        """The number of layers with experts."""
        return int(self.slots.shape[0])

    @property
    def ranks(self) -> int:
        """The number of ranks in the group."""
        return int(self.slots.shape[1])

    def digest(self) -> str:
        """Return the SHA-256 of the encoded map, which identifies it in the log."""
        return hashlib.sha256(self.encode()).hexdigest()

    def encode(self) -> bytes:
        """Return the map as bytes: a header, the experts by slot, the shares in 16 bits each."""
        header = np.array([*self.slots.shape, self.experts], dtype="<u4").tobytes()
        shares = np.round(self.shares * SHARE_SCALE).astype("<u2")
        return header + self.slots.astype("<i2").tobytes() + shares.tobytes()

    @classmethod
    def decode(cls, data: bytes) -> ExpertMap:
        """Return the map encoded by :meth:`encode`; rounded shares are scaled to add up to 1.

        :raises ValueError: if the length does not match the header.
        """
        if len(data) < 16:
            raise ValueError("expert map is shorter than its header of 16 bytes")
        layers, ranks, slots, experts = (
            int(value) for value in np.frombuffer(data[:16], dtype="<u4")
        )
        size = layers * ranks * slots
        if len(data) != 16 + 4 * size:
            raise ValueError(
                f"expert map must have {16 + 4 * size} bytes by its header, found {len(data)}"
            )
        shape = (layers, ranks, slots)
        expert_by_slot = np.frombuffer(data, dtype="<i2", count=size, offset=16).reshape(shape)
        scaled_shares = np.frombuffer(data, dtype="<u2", count=size, offset=16 + 2 * size).reshape(
            shape
        )
        expert_by_slot = expert_by_slot.astype(np.int16)
        return cls(
            expert_by_slot,
            normalized_shares(expert_by_slot, scaled_shares.astype(np.float64), experts),
            experts,
        )


def flat_expert_indices(slots: ExpertArray, experts: int) -> NDArray[np.intp]:
    """Return the index of each slot's expert in a flattened (layers, experts) array.

    Empty slots get the index of expert 0 of their layer, which is harmless as their share is 0.
    """
    layer_indices = np.arange(slots.shape[0], dtype=np.intp)[:, None, None]
    return np.asarray(layer_indices * experts + np.maximum(slots, 0), dtype=np.intp)


def normalized_shares(slots: ExpertArray, shares: FloatArray, experts: int) -> FloatArray:
    """Return shares scaled so that those of each expert add up to 1; empty slots get 0."""
    held = slots != EMPTY_SLOT
    index = flat_expert_indices(slots, experts)
    held_shares = np.where(held, shares, 0.0)
    total = np.bincount(index.ravel(), held_shares.ravel(), slots.shape[0] * experts)
    scale = np.divide(1.0, total, out=np.zeros_like(total), where=total > 0)
    return np.asarray(held_shares * scale[index], dtype=np.float64)


def slot_loads(expert_map: ExpertMap, popularity: FloatArray) -> FloatArray:
    """Return the load of each slot, shape (layers, ranks, slots).

    :param popularity: shape (layers, experts); tokens or fractions of them, in any unit.
    """
    index = flat_expert_indices(expert_map.slots, expert_map.experts)
    return np.asarray(expert_map.shares * popularity.ravel()[index], dtype=np.float64)


def rank_times(expert_map: ExpertMap, popularity: FloatArray, speeds: FloatArray) -> FloatArray:
    """Return the time of each rank in each layer, shape (layers, ranks).

    :param speeds: shape (ranks,); the load that a rank processes per unit of time, 1 for a healthy
        rank.
    """
    return times_at_speeds(slot_loads(expert_map, popularity).sum(axis=2), speeds)


def times_at_speeds(loads: FloatArray, speeds: FloatArray) -> FloatArray:
    """Return loads divided by speeds; for speed 0, 0 without load and infinity otherwise."""
    times_at_speed_0 = np.where(loads > 0, np.inf, 0.0)
    running = np.broadcast_to(speeds > 0, loads.shape)
    return np.asarray(
        np.divide(loads, speeds, out=times_at_speed_0, where=running), dtype=np.float64
    )


def step_skew(expert_map: ExpertMap, popularity: FloatArray, speeds: FloatArray) -> float:
    """Return the ratio of the slowest rank's time to the mean rank time, each summed over layers.

    In every layer, all ranks wait for the slowest one.
    """
    times = rank_times(expert_map, popularity, speeds)[:, speeds > 0]
    return float(times.max(axis=1).sum() / times.mean(axis=1).sum())


def count_expert_loads(current: ExpertMap, planned: ExpertMap) -> int:
    """Return how many experts ranks must load to change from one map to another."""
    held = (current.slots[:, :, :, None] == planned.slots[:, :, None, :]).any(axis=2)
    return int(np.count_nonzero(~held & (planned.slots != EMPTY_SLOT)))


def replica_counts(slots: ExpertArray, experts: int) -> NDArray[np.intp]:
    """Return the number of replicas of each expert, shape (layers, experts)."""
    held = (slots != EMPTY_SLOT).ravel().astype(np.float64)
    index = flat_expert_indices(slots, experts).ravel()
    counts = np.bincount(index, held, slots.shape[0] * experts)
    return np.asarray(counts.reshape(slots.shape[0], experts), dtype=np.intp)
