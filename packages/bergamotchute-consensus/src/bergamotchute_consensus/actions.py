"""What a replica wants done; the order of the actions of all steps is binding.

``Persist`` actions are written in order of ``sequence``. A ``Send`` may go out only once the
``Persist`` of its ``after`` is durable; this is how promises are kept over a power failure.
"""

from __future__ import annotations

from dataclasses import dataclass

from bergamotchute_consensus.hard_state import HardState
from bergamotchute_consensus.log_entry import LogEntry
from bergamotchute_consensus.membership import Member
from bergamotchute_consensus.messages import (
    Append,
    AppendReply,
    RequestVote,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
)
from bergamotchute_consensus.snapshot import Snapshot


@dataclass(frozen=True)
class Persist:
    """Write these and sync; an entry replaces what the log holds from its index on.

    :param snapshot: replaces the log up to its index, and all of the log unless that holds the
        snapshot's last entry.
    """

    sequence: int
    hard_state: HardState | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True)
class SendMessage:
    """Send a message once the persist of sequence ``after`` is durable; it may be lost.

    :param after: 0 for at once.
    """

    to: Member
    message: RequestVote | VoteReply | Append | AppendReply | SnapshotChunk | SnapshotReply
    after: int = 0


@dataclass(frozen=True)
class ApplyEntry:
    """Apply a committed entry to the state machine.

    :param token: of the proposal that is hereby answered; empty for none of this replica's.
    """

    entry: LogEntry
    token: str = ""


@dataclass(frozen=True)
class RestoreSnapshot:
    """Replace the state machine's state by a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True)
class RejectProposal:
    """A proposal was not taken, or its leader lost its term.

    :param committed_maybe: it may still be committed.
    :param leader: whom to ask instead, where known.
    """

    token: str
    committed_maybe: bool
    reason: str
    leader: Member | None = None


@dataclass(frozen=True)
class ConfirmRead:
    """The state machine, as it is after the actions before this one, may answer the read."""

    token: str
    index: int


@dataclass(frozen=True)
class RejectRead:
    """The read can't be confirmed here."""

    token: str
    leader: Member | None = None


@dataclass(frozen=True)
class ReportLeadership:
    """This replica became leader (``leading``) or ceased to be."""

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
