"""Messages between replicas.

Every message names the identity it is meant for. A replica drops what is meant for another
identity, so that a message for an emptied VM's former replica never reaches the new one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Literal

from bergamotchute_consensus.log_entry import LogEntry
from bergamotchute_consensus.membership import Member, Membership
from bergamotchute_model.identifiers import Address


@dataclass(frozen=True)
class PeerMessage:
    """What all messages between known replicas carry.

    :param cluster: the cluster the message belongs to.
    :param recipient: the identity it is meant for.
    :param term: the sender's term, or the one it asks about.
    """

    cluster: str
    sender: Member
    recipient: str
    term: int


@dataclass(frozen=True)
class RequestVote(PeerMessage):
    """Candidate to voter: vote for me.

    :param last_index: the index of the candidate's last entry.
    :param last_term: its term.
    :param pre: only asks whether a vote would be given; nobody's term changes.
    """

    last_index: int
    last_term: int
    pre: bool
    kind: Literal["request_vote"] = "request_vote"


@dataclass(frozen=True)
class VoteReply(PeerMessage):
    """Voter to candidate: the answer; a granted one carries the term that was asked about."""

    granted: bool
    pre: bool
    kind: Literal["vote_reply"] = "vote_reply"


@dataclass(frozen=True)
class Append(PeerMessage):
    """Leader to replica: entries that follow ``previous_index``, or none for a heartbeat.

    :param commit: the leader's commit index.
    :param round: the newest quorum round that had begun when this was sent.
    """

    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    round: int
    kind: Literal["append"] = "append"


@dataclass(frozen=True)
class AppendReply(PeerMessage):
    """Replica to leader: what it holds durably.

    :param success: the entries follow on the replica's log and are durable.
    :param match: on success the last index known to agree; else a place to try from.
    :param previous_index: as in the :class:`Append` that this answers.
    :param round: as in the :class:`Append` that this answers.
    """

    success: bool
    match: int
    previous_index: int
    round: int
    kind: Literal["append_reply"] = "append_reply"


@dataclass(frozen=True)
class SnapshotChunk(PeerMessage):
    """Leader to replica: part of a snapshot.

    :param offset: where ``data`` begins, in bytes.
    :param total: size of the whole, in bytes.
    :param checksum: CRC-32 of the whole.
    """

    index: int
    index_term: int
    membership: Membership
    offset: int
    total: int
    checksum: int
    data: bytes
    round: int
    kind: Literal["snapshot_chunk"] = "snapshot_chunk"


@dataclass(frozen=True)
class SnapshotReply(PeerMessage):
    """Replica to leader: how many bytes of the snapshot it holds.

    :param received: the next offset it needs.
    :param installed: the snapshot is durable and in use.
    """

    index: int
    received: int
    installed: bool
    round: int
    kind: Literal["snapshot_reply"] = "snapshot_reply"


@dataclass(frozen=True)
class Introduction:
    """Replica to whoever listens at a voter's address: who I am.

    :param cluster: the cluster the sender belongs to; empty for none.
    :param founding: the sender was started to found a cluster and belongs to none.
    :param voters: the addresses of the voters in the sender's settings, sorted.
    """

    sender: Member
    cluster: str
    founding: bool
    voters: tuple[Address, ...]
    kind: Literal["introduction"] = "introduction"


class RequestPurpose(StrEnum):
    """What a voter wants of the leader."""

    COMMAND = "command"
    READ = "read"
    STATUS = "status"


@dataclass(frozen=True)
class ForwardedRequest:
    """Voter to leader: what somebody asked me for.

    :param token: matches the answer.
    :param command: what to commit; empty for other purposes.
    """

    sender: Member
    recipient: str
    token: str
    purpose: RequestPurpose
    command: bytes = b""
    kind: Literal["forwarded_request"] = "forwarded_request"


@dataclass(frozen=True)
class ForwardedAnswer:
    """Leader to voter: what became of a :class:`ForwardedRequest`.

    :param index: on success, the command's index, or the index that the read must reach.
    :param result: the command's result or the status; empty for a read or a failure.
    :param committed_maybe: on a failure, the command may still be committed.
    """

    sender: Member
    recipient: str
    token: str
    success: bool
    index: int
    result: bytes
    committed_maybe: bool
    kind: Literal["forwarded_answer"] = "forwarded_answer"


ConsensusMessage = (
    RequestVote
    | VoteReply
    | Append
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | Introduction
    | ForwardedRequest
    | ForwardedAnswer
)
