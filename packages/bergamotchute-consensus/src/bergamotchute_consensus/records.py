"""CBOR encoding of the records in log frames and of snapshots."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import cbor2

from bergamotchute_consensus.hard_state import HardState
from bergamotchute_consensus.log_entry import EntryContent, LogEntry
from bergamotchute_consensus.membership import decode_membership, encode_membership
from bergamotchute_consensus.snapshot import Snapshot

_HARD_STATE = 0
_ENTRY = 1
_LOG_BASE = 2
_CONTENT_NUMBERS = {EntryContent.COMMAND: 0, EntryContent.MEMBERSHIP: 1, EntryContent.NO_OP: 2}
_CONTENTS = {number: content for content, number in _CONTENT_NUMBERS.items()}


@dataclass(frozen=True)
class LogBase:
    """The index and term up to which a snapshot covers the log."""

    index: int
    term: int


Record = HardState | LogEntry | LogBase


def encode_records(records: list[Record]) -> bytes:
    """Return ``records`` as the payload of one frame."""
    return cbor2.dumps([_encode_record(record) for record in records])


def decode_records(payload: bytes) -> list[Record]:
    """Decode the output of :func:`encode_records`."""
    return [_decode_record(plain) for plain in cbor2.loads(payload)]


def _encode_record(record: Record) -> list[Any]:
    if isinstance(record, HardState):
        return [_HARD_STATE, record.cluster, record.term, record.voted_for]
    if isinstance(record, LogEntry):
        return [_ENTRY, record.index, record.term, _CONTENT_NUMBERS[record.content], record.data]
    return [_LOG_BASE, record.index, record.term]


def _decode_record(plain: list[Any]) -> Record:
    match plain:
        case [0, cluster, term, voted_for]:
            return HardState(cluster, term, voted_for)
        case [1, index, term, content, data]:
            return LogEntry(index, term, _CONTENTS[content], data)
        case [2, index, term]:
            return LogBase(index, term)
        case _:
            raise ValueError(f"unknown log record {plain!r:.80}")


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return a snapshot as the payload of one frame."""
    membership = encode_membership(snapshot.membership)
    return cbor2.dumps([snapshot.index, snapshot.term, membership, snapshot.data])


def decode_snapshot(payload: bytes) -> Snapshot:
    """Decode the output of :func:`encode_snapshot`."""
    index, term, membership, data = cbor2.loads(payload)
    return Snapshot(index, term, decode_membership(membership), data)
