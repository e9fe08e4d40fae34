"""Determine from the events of a completion stream where to resume it."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

DATA_PREFIX = b"data: "


@dataclass(frozen=True)
class StreamPosition:
    """The position that a stream has reached.

    :param tokens: the number of events that carried text.
    :param text: the concatenated text of these events.
    :param finished: whether the stream's final event was received.
    """

    tokens: int
    text: str
    finished: bool


def stream_position(chunks: Iterable[bytes]) -> StreamPosition:
    """Return the position after the events in ``chunks``; each chunk holds complete events."""
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
        token_text = _event_text(data)
        if token_text:
            tokens += 1
            text.append(token_text)
    return StreamPosition(tokens, "".join(text), finished)


def _event_text(data: bytes) -> str:
    """Return the text of one event; empty for an event without text."""
    try:
        choice: Any = json.loads(data)["choices"][0]
    except (ValueError, KeyError, IndexError, TypeError):
        return ""
    if not isinstance(choice, dict):
        return ""
    delta = choice.get("delta")
    token_text = delta.get("content") if isinstance(delta, dict) else choice.get("text")
    return token_text if isinstance(token_text, str) else ""
