"""Entries of the replicated log."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class EntryContent(StrEnum):
    """Kind of data in a log entry."""

    COMMAND = "command"
    MEMBERSHIP = "membership"
    NO_OP = "nothing"


@dataclass(frozen=True)
class LogEntry:
    """One log entry; entries of the same index and term are the same on all replicas.

    :param index: the position in the log, from 1.
    :param term: the term of the leader that appended it.
    :param data: opaque for a command, an encoded membership, or empty for a no-op.
    """

    index: int
    term: int
    content: EntryContent
    data: bytes
