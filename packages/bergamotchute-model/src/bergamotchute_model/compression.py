"""Bounded decompression of contents that other processes compressed with zlib."""

from __future__ import annotations

import zlib


def decompress(packed: bytes, max_bytes: int) -> bytes:
    """Return the decompressed bytes.

    :param max_bytes: limit of their size.
    :raises ValueError: when the bytes are no whole zlib stream, or hold more than the limit.
    """
    reader = zlib.decompressobj()
    try:
        plain = reader.decompress(packed, max_bytes)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not reader.eof:
        raise ValueError("incomplete or too large")
    return plain
