"""Compact encoding of expert maps and of changes to them.

Load pattern: the commander of 63 to 96 ranks sends each of them every new map over a link of 3 or
4 Mbit/s. Uncompressed, the first map of 63 ranks occupies that link for 0.6 s.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable

from bergamotchute_model.compression import decompress

ExpertPlacement = tuple[tuple[tuple[int, ...], ...], ...]
"""The experts that each rank holds, indexed by set and by rank."""

MapDelta = tuple[tuple[int, int, tuple[int, ...]], ...]
"""For each change, the set, the rank and all experts that the rank now holds in the set."""

MAX_PACKED_NUMBERS = 1_000_000
"""Bounds the memory that unpacking takes; 256 ranks with 60 sets of 8 experts need 140,000."""


def pack_map(experts: ExpertPlacement) -> bytes:
    """Return the compact encoding of a whole map."""
    numbers = [len(experts), len(experts[0]) if experts else 0]
    for by_rank in experts:
        for held in by_rank:
            numbers += (len(held), *held)
    return _pack(numbers)


def unpack_map(packed: bytes) -> ExpertPlacement:
    """Return the map that :func:`pack_map` encoded.

    :raises ValueError: when the bytes are no encoded map.
    """
    numbers = _NumberReader(_unpack(packed))
    set_count, rank_count = numbers.next(), numbers.next()
    experts = tuple(tuple(numbers.next_list() for _ in range(rank_count)) for _ in range(set_count))
    numbers.expect_end()
    return experts


def pack_changes(changes: MapDelta) -> bytes:
    """Return the compact encoding of changes to a map."""
    numbers = [len(changes)]
    for set_index, rank, held in changes:
        numbers += (set_index, rank, len(held), *held)
    return _pack(numbers)


def unpack_changes(packed: bytes) -> MapDelta:
    """Return the changes that :func:`pack_changes` encoded.

    :raises ValueError: when the bytes are no encoded changes.
    """
    numbers = _NumberReader(_unpack(packed))
    changes = tuple(
        (numbers.next(), numbers.next(), numbers.next_list()) for _ in range(numbers.next())
    )
    numbers.expect_end()
    return changes


class _NumberReader:
    """Reads a sequence of numbers from front to back."""

    def __init__(self, numbers: tuple[int, ...]) -> None:
        self.numbers = numbers
        self.position = 0

    def next(self) -> int:
        if self.position >= len(self.numbers):
            raise ValueError("packed map: it ends too early")
        self.position += 1
        return self.numbers[self.position - 1]

    def next_list(self) -> tuple[int, ...]:
        """Return the numbers that follow their count."""
        return tuple(self.next() for _ in range(self.next()))

    def expect_end(self) -> None:
        if self.position != len(self.numbers):
            raise ValueError("packed map: there are numbers after its end")


def _pack(numbers: Iterable[int]) -> bytes:
    listed = list(numbers)
    return zlib.compress(struct.pack(f"<{len(listed)}H", *listed))


def _unpack(packed: bytes) -> tuple[int, ...]:
    try:
        plain = decompress(packed, 2 * MAX_PACKED_NUMBERS)
    except ValueError as error:
        raise ValueError(f"packed map: {error}") from error
    if len(plain) % 2:
        raise ValueError("packed map: half of a number at its end")
    return struct.unpack(f"<{len(plain) // 2}H", plain)
