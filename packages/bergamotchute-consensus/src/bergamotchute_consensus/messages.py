"""Messages between replicas.

Every message names the identity of its recipient. A replica drops messages for other identities,
so that a message for the former replica of an emptied VM is never handled by its new replica.
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
    """Fields of all messages between known replicas.

    :param cluster: the cluster that the message belongs to.
    :param recipient: the identity of the replica that should handle the message.
    :param term: the sender's term; in a pre-vote, the term that the sender would start.
    """

    cluster: str
    sender: Member
    recipient: str
    term: int


@dataclass(frozen=True)
class RequestVote(PeerMessage):
    """Candidate to voter: request a vote.

    :param last_index: the index of the candidate's last entry.
    :param last_term: the term of the candidate's last entry.
    :param pre: a pre-vote, which only asks whether a vote would be granted; no term changes.
    """

    last_index: int
    last_term: int
    pre: bool
    kind: Literal["request_vote"] = "request_vote"


@dataclass(frozen=True)
class VoteReply(PeerMessage):
    """Voter to candidate: grant or refuse a vote; a grant carries the requested term."""

    granted: bool
    pre: bool
    kind: Literal["vote_reply"] = "vote_reply"


@dataclass(frozen=True)
class AppendEntries(PeerMessage):
    """Leader to replica: entries that follow ``previous_index``, or none for a heartbeat.

    :param commit: the leader's commit index.
    :param round: the newest quorum round that had started when this message was sent.
    :param packed_entries: the entries with zlib-compressed data, in place of ``entries``.
    :param accepts_packed: the sender can read packed contents, which earlier builds can't.
    :param successor: the voter that should stand for election at once, as the sender gives up
        leadership; empty while it leads.
    """

    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    round: int
    kind: Literal["append"] = "append"
    packed_entries: tuple[LogEntry, ...] = ()
    accepts_packed: bool = False
    successor: str = ""


@dataclass(frozen=True)
class AppendEntriesReply(PeerMessage):
    """Replica to leader: accept or reject the entries of an :class:`AppendEntries`.

    :param success: the entries continue the replica's log and are durable.
    :param match: on success the last index at which the logs match, otherwise the next index at
        which the leader should probe.
    :param previous_index: copied from the :class:`AppendEntries`.
    :param round: copied from the :class:`AppendEntries`.
    :param accepts_packed: the sender can read packed contents, which earlier builds can't.
    """

    success: bool
    match: int
    previous_index: int
    round: int
    kind: Literal["append_reply"] = "append_reply"
    accepts_packed: bool = False


@dataclass(frozen=True)
class SnapshotChunk(PeerMessage):
    """Leader to replica: a chunk of a snapshot.

    :param offset: position of ``data`` in the snapshot, in bytes.
    :param total: size of the whole snapshot, in bytes.
    :param checksum: CRC-32 of the whole snapshot.
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
    """Replica to leader: the number of snapshot bytes received.

    :param received: the next offset that the replica needs, in bytes.
    :param installed: the snapshot is durable and in use.
    """

    index: int
    received: int
    installed: bool
    round: int
    kind: Literal["snapshot_reply"] = "snapshot_reply"


@dataclass(frozen=True)
class Introduction:
    """Replica to the process at a voter's address: the sender's identity and cluster.

    :param cluster: the cluster that the sender belongs to; empty for none.
    :param founding: the sender was started to found a cluster and belongs to no cluster.
    :param voters: the addresses of the voters in the sender's settings, sorted.
    :param heard: the identities from which the sender has received introductions; ``None`` from
        earlier builds.
    """

    sender: Member
    cluster: str
    founding: bool
    voters: tuple[Address, ...]
    kind: Literal["introduction"] = "introduction"
    heard: tuple[str, ...] | None = None


class RequestPurpose(StrEnum):
    """Kind of request that a voter forwards to the leader."""

    COMMAND = "command"
    READ = "read"
    STATUS = "status"


@dataclass(frozen=True)
class ForwardedRequest:
    """Voter to leader: a request that the voter received.

    :param token: names the request and the run of the process that sent it; the
        :class:`ForwardedAnswer` repeats it.
    :param command: the command to commit; empty for other purposes.
    :param packed_command: the command compressed with zlib, in place of ``command``.
    """

    sender: Member
    recipient: str
    token: str
    purpose: RequestPurpose
    command: bytes = b""
    kind: Literal["forwarded_request"] = "forwarded_request"
    packed_command: bytes = b""


@dataclass(frozen=True)
class ForwardedAnswer:
    """Leader to voter: the outcome of a :class:`ForwardedRequest`.

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
    | AppendEntries
    | AppendEntriesReply
    | SnapshotChunk
    | SnapshotReply
    | Introduction
    | ForwardedRequest
    | ForwardedAnswer
)
