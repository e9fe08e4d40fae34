"""Timings and sizes of a replica."""

from __future__ import annotations

from dataclasses import dataclass

HEARTBEAT_INTERVAL_S = 0.2
ELECTION_TIMEOUT_S = 1.5
MAX_APPEND_BYTES = 1_048_576
SNAPSHOT_CHUNK_BYTES = 262_144
MAX_IN_FLIGHT_APPENDS = 16
MAX_IN_FLIGHT_BYTES = 262_144
TRAILING_ENTRIES = 4_096
TRAILING_BYTES = 4 * 1_048_576


@dataclass(frozen=True)
class ReplicaSettings:
    """Timings and sizes of a replica.

    :param heartbeat_interval_s: interval of a leader's heartbeats, in seconds.
    :param election_timeout_s: time after which a leader that reaches no quorum steps down, in
        seconds; a voter without a leader waits one to two timeouts before it stands for election.
    :param max_append_bytes: bytes of entries in one message; a single entry may exceed it.
    :param snapshot_chunk_bytes: size of a snapshot chunk, in bytes.
    :param max_in_flight_appends: messages with entries that may await a reply of one replica.
    :param max_in_flight_bytes: bytes of entries that may await a reply of one replica; heartbeats
        wait behind them on the link. A single message may exceed it.
    :param trailing_entries: entries retained in memory behind a snapshot, for replicas that lag.
    :param trailing_bytes: limit on the size of these entries; a replica that needs earlier ones
        gets the snapshot.
    """

    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    election_timeout_s: float = ELECTION_TIMEOUT_S
    max_append_bytes: int = MAX_APPEND_BYTES
    snapshot_chunk_bytes: int = SNAPSHOT_CHUNK_BYTES
    max_in_flight_appends: int = MAX_IN_FLIGHT_APPENDS
    max_in_flight_bytes: int = MAX_IN_FLIGHT_BYTES
    trailing_entries: int = TRAILING_ENTRIES
    trailing_bytes: int = TRAILING_BYTES
