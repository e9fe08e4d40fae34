"""The compact encoding of expert maps and of changes to them."""

from __future__ import annotations

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotchute_model.packed_map import pack_changes, pack_map, unpack_changes, unpack_map

HELD = st.lists(st.integers(0, 65_535), max_size=6).map(tuple)


@given(st.integers(1, 4), st.integers(1, 5), st.data())
def test_a_map_is_the_same_after_packing(sets: int, ranks: int, data: st.DataObject) -> None:
    by_rank = st.lists(HELD, min_size=ranks, max_size=ranks).map(tuple)
    experts = data.draw(st.lists(by_rank, min_size=sets, max_size=sets).map(tuple))
    assert unpack_map(pack_map(experts)) == experts


@given(st.lists(st.tuples(st.integers(0, 63), st.integers(0, 255), HELD)).map(tuple))
def test_changes_are_the_same_after_packing(
    changes: tuple[tuple[int, int, tuple[int, ...]], ...],
) -> None:
    assert unpack_changes(pack_changes(changes)) == changes


@given(st.binary(max_size=200))
def test_other_bytes_are_refused(data: bytes) -> None:
    for packed in (data, zlib.compress(data), pack_map((((1,), (2,)),))[:-3]):
        try:
            unpack_map(packed)
            unpack_changes(packed)
        except ValueError:
            continue


def test_a_map_that_ends_early_or_goes_on_is_refused() -> None:
    two_ranks = zlib.decompress(pack_map((((1,), (2,)),)))
    for plain in (two_ranks[:-2], two_ranks + b"\0\0", two_ranks[:-1], b""):
        with pytest.raises(ValueError, match="packed map"):
            unpack_map(zlib.compress(plain))
