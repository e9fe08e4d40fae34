"""Entries of the replicated log."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class EntryContent(StrEnum):
    """What an entry's bytes are."""

    COMMAND = "command"
    MEMBERSHIP = "membership"
    NOTHING = "nothing"


@dataclass(frozen=True)
class LogEntry:
    """One entry; two replicas that hold the same index and term hold the same bytes.

    :param index: the place in the log, from 1.
    :param term: the term of the leader that appended it.
    :param data: opaque for commands; an encoded membership; empty for nothing.
    """

    index: int
    term: int
    content: EntryContent
    data: bytes
