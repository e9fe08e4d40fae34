"""Output actions of a replica, to be carried out in order, also across steps.

``Persist`` actions are written in order of ``sequence``. A ``SendMessage`` may be carried out only
once the ``Persist`` that its ``after`` names is durable. Otherwise a power failure could revoke a
vote or an acknowledgement that other replicas rely on.
"""

from __future__ import annotations

from dataclasses import dataclass

from bergamotchute_consensus.hard_state import HardState
from bergamotchute_consensus.log_entry import LogEntry
from bergamotchute_consensus.membership import Member
from bergamotchute_consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    RequestVote,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
)
from bergamotchute_consensus.snapshot import Snapshot


@dataclass(frozen=True)
class Persist:
    """Write the given parts and sync; an entry replaces the log from its index on.

    :param snapshot: replaces the log up to its index, or the whole log if the log lacks the
        snapshot's last entry.
    """

    sequence: int
    hard_state: HardState | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True)
class SendMessage:
    """Send a message once the persist of sequence ``after`` is durable; messages may be lost.

    :param after: 0 to send at once.
    """

    to: Member
    message: (
        RequestVote | VoteReply | AppendEntries | AppendEntriesReply | SnapshotChunk | SnapshotReply
    )
    after: int = 0


@dataclass(frozen=True)
class ApplyEntry:
    """Apply a committed entry to the state machine.

    :param token: token of the proposal that this completes; empty if not proposed here.
    """

    entry: LogEntry
    token: str = ""


@dataclass(frozen=True)
class RestoreSnapshot:
    """Replace the state of the state machine by a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True)
class RejectProposal:
    """Reject a proposal that was not accepted, or whose leader stepped down.

    :param committed_maybe: the proposal may still be committed.
    :param leader: the current leader, if known.
    """

    token: str
    committed_maybe: bool
    reason: str
    leader: Member | None = None


@dataclass(frozen=True)
class ConfirmRead:
    """Serve a read from the state machine as it is after the preceding actions."""

    token: str
    index: int


@dataclass(frozen=True)
class RejectRead:
    """Reject a read that this replica can't confirm."""

    token: str
    leader: Member | None = None


@dataclass(frozen=True)
class ReportLeadership:
    """Report that this replica became leader (``leading``) or stepped down."""

    term: int
    is_leader: bool


Action = (
    Persist
    | SendMessage
    | ApplyEntry
    | RestoreSnapshot
    | RejectProposal
    | ConfirmRead
    | RejectRead
    | ReportLeadership
)
