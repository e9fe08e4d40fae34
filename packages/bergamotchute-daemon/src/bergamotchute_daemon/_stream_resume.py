"""Reads from a stream of completion events how far the answer came."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

DATA_PREFIX = b"data: "


@dataclass(frozen=True)
class StreamPosition:
    """How far a stream came.

    :param tokens: events that carried text.
    :param text: their text together.
    :param finished: the stream has said that it is done.
    """

    tokens: int
    text: str
    finished: bool


def stream_position(chunks: Iterable[bytes]) -> StreamPosition:
    """Return how far the events in ``chunks`` came; each chunk holds whole events."""
    tokens = 0
    text: list[str] = []
    finished = False
    for line in b"".join(chunks).split(b"\n"):
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :].strip()
        if data == b"[DONE]":
            finished = True
            continue
        piece = _text_of(data)
        if piece:
            tokens += 1
            text.append(piece)
    return StreamPosition(tokens, "".join(text), finished)


def _text_of(data: bytes) -> str:
    """Return the text that one event adds; empty for events that carry none."""
    try:
        choice: Any = json.loads(data)["choices"][0]
    except (ValueError, KeyError, IndexError, TypeError):
        return ""
    if not isinstance(choice, dict):
        return ""
    delta = choice.get("delta")
    piece = delta.get("content") if isinstance(delta, dict) else choice.get("text")
    return piece if isinstance(piece, str) else ""
