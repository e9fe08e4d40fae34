"""The replicated state of one voter, and the relays that follow it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import cast

from bergamotchute_consensus.log_entry import EntryContent, LogEntry
from bergamotchute_consensus.snapshot import Snapshot
from bergamotchute_model.commands import AnyCommand, Command, CommandResult
from bergamotchute_model.control_messages import ControlMessage, ViewDelta
from bergamotchute_state.control_state import ControlState
from bergamotchute_wire.message_codec import MessageCodec
from bergamotchute_wire.outbox import Outbox

COMMAND_CODEC: MessageCodec[Command] = MessageCodec(Command)
RESULT_CODEC: MessageCodec[CommandResult] = MessageCodec(CommandResult)

SNAPSHOT_LOG_BYTES = 8 * 1024 * 1024
"""Log that is behind the newest snapshot when another is taken, or more for a larger state."""

SNAPSHOT_ENTRIES = 10_000


@dataclass
class Follower:
    """A relay that follows the view.

    :param revision: the newest view revision sent to it.
    """

    outbox: Outbox[ControlMessage]
    revision: int


@dataclass
class VoterState:
    """The state machine and who is told of its changes.

    :param applied_index: the newest log index in the state.
    """

    state: ControlState = field(default_factory=ControlState)
    applied_index: int = 0
    entries_since_snapshot: int = 0
    bytes_since_snapshot: int = 0
    snapshot_bytes: int = 0
    followers: list[Follower] = field(default_factory=list)

    def reset(self, snapshot: Snapshot) -> None:
        """Begin anew with a snapshot, or with nothing."""
        self.state = ControlState()
        self.applied_index = 0
        if snapshot.index:
            self.restore(snapshot)

    def restore(self, snapshot: Snapshot) -> None:
        """Take over a snapshot."""
        if snapshot.data:
            self.state.restore(snapshot.data)
        self.applied_index = snapshot.index
        self.entries_since_snapshot = 0
        self.bytes_since_snapshot = 0
        self.snapshot_bytes = len(snapshot.data)

    def apply(self, entry: LogEntry) -> CommandResult | None:
        """Apply a committed entry; only commands have a result."""
        self.applied_index = entry.index
        self.entries_since_snapshot += 1
        self.bytes_since_snapshot += len(entry.data)
        if entry.content is not EntryContent.COMMAND:
            return None
        command = cast("AnyCommand", COMMAND_CODEC.decode(entry.data))
        return self.state.apply(command, entry.index)

    @property
    def wants_snapshot(self) -> bool:
        """Whether enough log has come since the last snapshot."""
        bound = max(SNAPSHOT_LOG_BYTES, self.snapshot_bytes)
        many = self.entries_since_snapshot >= SNAPSHOT_ENTRIES
        return self.bytes_since_snapshot >= bound or (
            many and self.bytes_since_snapshot * 4 >= self.snapshot_bytes
        )

    def take_snapshot(self) -> bytes:
        """Return the state, and count the log anew."""
        data = self.state.snapshot()
        self.entries_since_snapshot = 0
        self.bytes_since_snapshot = 0
        self.snapshot_bytes = len(data)
        return data

    def follow(self, outbox: Outbox[ControlMessage], revision: int) -> None:
        """Send a relay what it lacks after ``revision``, and from then on every change."""
        self.leave(outbox)
        follower = Follower(outbox, min(revision, self.state.view_revision))
        self.followers.append(follower)
        self._send(follower)

    def leave(self, outbox: Outbox[ControlMessage]) -> None:
        """Send a relay nothing more."""
        self.followers = [each for each in self.followers if each.outbox is not outbox]

    def tell_followers(self) -> None:
        """Send every relay what changed since it was last told."""
        newest = self.state.view_revision
        for follower in self.followers:
            if follower.revision < newest:
                self._send(follower)

    def _send(self, follower: Follower) -> None:
        newest = self.state.view_revision
        changes = self.state.changes_since(follower.revision) or ()
        follower.outbox.post(ViewDelta(follower.revision, newest, changes))
        follower.revision = newest
