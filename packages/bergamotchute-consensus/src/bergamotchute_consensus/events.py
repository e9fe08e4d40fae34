"""Input events of a replica, passed to :meth:`Replica.step` with the time."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotchute_consensus.membership import Member, MembershipChange
from bergamotchute_consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    RequestVote,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
)


@dataclass(frozen=True)
class Tick:
    """Time has passed; due at :attr:`Replica.next_tick_at` at the latest."""


@dataclass(frozen=True)
class MessageReceived:
    """A message from another replica arrived."""

    message: (
        RequestVote | VoteReply | AppendEntries | AppendEntriesReply | SnapshotChunk | SnapshotReply
    )


@dataclass(frozen=True)
class Persisted:
    """All :class:`Persist` actions up to ``sequence`` are durable."""

    sequence: int


@dataclass(frozen=True)
class DiskFailed:
    """A write or sync failed; the replica handles no further events."""


@dataclass(frozen=True)
class Proposal:
    """One command to commit.

    :param token: identifies the proposal in the resulting actions.
    """

    token: str
    data: bytes


@dataclass(frozen=True)
class ProposalsRequested:
    """Commands to commit, in one append and one sync."""

    proposals: tuple[Proposal, ...]


@dataclass(frozen=True)
class ReadsRequested:
    """Linearizable reads, to be confirmed by a quorum after this event.

    :param tokens: identify the reads in the resulting actions.
    """

    tokens: tuple[str, ...]


@dataclass(frozen=True)
class MembershipChangeRequested:
    """A single-step membership change is requested."""

    token: str
    change: MembershipChange


@dataclass(frozen=True)
class SnapshotTaken:
    """The state machine exported its state at the applied ``index``."""

    index: int
    data: bytes


@dataclass(frozen=True)
class FoundingRequested:
    """Found a new cluster of these voters; valid only for a replica without a cluster."""

    cluster: str
    voters: tuple[Member, ...]


@dataclass(frozen=True)
class ResignationRequested:
    """Step down so that another voter can lead."""


Event = (
    Tick
    | MessageReceived
    | Persisted
    | DiskFailed
    | ProposalsRequested
    | ReadsRequested
    | MembershipChangeRequested
    | SnapshotTaken
    | FoundingRequested
    | ResignationRequested
)
