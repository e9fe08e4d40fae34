"""What happens to a replica; each is given to :meth:`Replica.step` with the time."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotchute_consensus.membership import Member, MembershipChange
from bergamotchute_consensus.messages import (
    Append,
    AppendReply,
    RequestVote,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
)


@dataclass(frozen=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True)
class MessageReceived:
    """A message came from another replica."""

    message: RequestVote | VoteReply | Append | AppendReply | SnapshotChunk | SnapshotReply


@dataclass(frozen=True)
class Persisted:
    """All :class:`Persist` actions up to ``sequence`` are durable."""

    sequence: int


@dataclass(frozen=True)
class DiskFailed:
    """The disk refused a write or a sync; the replica takes no further part."""


@dataclass(frozen=True)
class Proposal:
    """One command to commit.

    :param token: names the proposal in the actions that answer it.
    """

    token: str
    data: bytes


@dataclass(frozen=True)
class ProposalsRequested:
    """Commands to commit; all of them share one append and one sync."""

    proposals: tuple[Proposal, ...]


@dataclass(frozen=True)
class ReadsRequested:
    """Somebody wants to read a state that a quorum confirms from now on.

    :param tokens: name the reads in the actions that answer them.
    """

    tokens: tuple[str, ...]


@dataclass(frozen=True)
class MembershipChangeRequested:
    """Somebody wants the membership changed by one step."""

    token: str
    change: MembershipChange


@dataclass(frozen=True)
class SnapshotTaken:
    """The state machine gave its state at ``index``, which is applied."""

    index: int
    data: bytes


@dataclass(frozen=True)
class FoundingRequested:
    """Begin a new cluster of these voters; taken only by a replica that belongs to none."""

    cluster: str
    voters: tuple[Member, ...]


@dataclass(frozen=True)
class ResignationRequested:
    """Let another voter lead."""


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
