"""Timings and sizes of a replica."""

from __future__ import annotations

from dataclasses import dataclass

HEARTBEAT_INTERVAL_S = 0.2
ELECTION_TIMEOUT_S = 1.5
APPEND_BYTES = 1_048_576
CHUNK_BYTES = 262_144
IN_FLIGHT_APPENDS = 16
TRAILING_ENTRIES = 4_096


@dataclass(frozen=True)
class ReplicaSettings:
    """Timings and sizes of a replica.

    :param heartbeat_interval_s: how often a leader is heard, in seconds.
    :param election_timeout_s: a leader that reaches no quorum for so long steps down; a voter
        that hears no leader waits between one and two of these before it stands.
    :param max_append_bytes: bytes of entries in one message, about.
    :param chunk_bytes: bytes of a snapshot in one message.
    :param in_flight_appends: messages with entries that may be unanswered by one replica.
    :param trailing_entries: entries kept in memory behind a snapshot, for replicas that lag.
    """

    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    election_timeout_s: float = ELECTION_TIMEOUT_S
    max_append_bytes: int = APPEND_BYTES
    chunk_bytes: int = CHUNK_BYTES
    in_flight_appends: int = IN_FLIGHT_APPENDS
    trailing_entries: int = TRAILING_ENTRIES
