"""The replicated state of one voter, and the relays that subscribe to it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

from bergamotchute_consensus.log_entry import EntryContent, LogEntry
from bergamotchute_consensus.snapshot import Snapshot
from bergamotchute_model.commands import AnyCommand, Command, CommandResult
from bergamotchute_state.control_state import ControlState
from bergamotchute_wire.message_codec import MessageCodec
from bergamotchute_wire.outbox import Outbox

if TYPE_CHECKING:
    from bergamotchute_model.control_messages import ControlMessage

COMMAND_CODEC: MessageCodec[Command] = MessageCodec(Command)
RESULT_CODEC: MessageCodec[CommandResult] = MessageCodec(CommandResult)

SNAPSHOT_LOG_BYTES = 8 * 1024 * 1024
"""Log size at which another snapshot is taken; a state larger than this raises the threshold."""

SNAPSHOT_ENTRY_COUNT = 10_000

LARGE_COMMAND_BYTES = 4_096
"""Size from which looking for a known result costs less than another log entry."""


@dataclass
class Follower:
    """A relay that subscribes to the view.

    :param revision: the newest view revision sent to it.
    """

    outbox: Outbox[ControlMessage]
    revision: int


@dataclass
class VoterState:
    """The state machine, and the relays that receive its changes.

    :param applied_index: the log index of the newest entry applied to the state.
    """

    state: ControlState = field(default_factory=ControlState)
    applied_index: int = 0
    entries_since_snapshot: int = 0
    log_bytes_since_snapshot: int = 0
    snapshot_bytes: int = 0
    followers: list[Follower] = field(default_factory=list)

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot, or by an empty state."""
        self.state = ControlState()
        self.applied_index = 0
        if snapshot.index:
            self.restore(snapshot)

    def restore(self, snapshot: Snapshot) -> None:
        """Restore the state from a snapshot."""
        if snapshot.data:
            self.state.restore(snapshot.data)
        self.applied_index = snapshot.index
        self.entries_since_snapshot = 0
        self.log_bytes_since_snapshot = 0
        self.snapshot_bytes = len(snapshot.data)

    def apply(self, entry: LogEntry) -> CommandResult | None:
        """Apply a committed entry; return the result of a command, else ``None``."""
        self.applied_index = entry.index
        self.entries_since_snapshot += 1
        self.log_bytes_since_snapshot += len(entry.data)
        if entry.content is not EntryContent.COMMAND:
            return None
        command = cast("AnyCommand", COMMAND_CODEC.decode(entry.data))
        return self.state.apply(command, entry.index)

    def known_result(self, encoded: bytes) -> CommandResult | None:
        """Return the result of a large command that the state already holds, if it does."""
        if len(encoded) < LARGE_COMMAND_BYTES:
            return None
        return self.state.known_result(cast("AnyCommand", COMMAND_CODEC.decode(encoded)))

    @property
    def is_snapshot_due(self) -> bool:
        """Whether the log has grown enough since the last snapshot."""
        min_log_bytes = max(SNAPSHOT_LOG_BYTES, self.snapshot_bytes)
        has_many_entries = self.entries_since_snapshot >= SNAPSHOT_ENTRY_COUNT
        return self.log_bytes_since_snapshot >= min_log_bytes or (
            has_many_entries and self.log_bytes_since_snapshot * 4 >= self.snapshot_bytes
        )

    def take_snapshot(self) -> bytes:
        """Return the serialized state and reset the counts of log since the snapshot."""
        data = self.state.snapshot()
        self.entries_since_snapshot = 0
        self.log_bytes_since_snapshot = 0
        self.snapshot_bytes = len(data)
        return data

    def add_follower(self, outbox: Outbox[ControlMessage], revision: int) -> None:
        """Send a relay every change after ``revision``, including those still to come."""
        self.remove_follower(outbox)
        follower = Follower(outbox, min(revision, self.state.view_revision))
        self.followers.append(follower)
        self._send_delta(follower)

    def remove_follower(self, outbox: Outbox[ControlMessage]) -> None:
        """Stop sending changes to a relay."""
        self.followers = [follower for follower in self.followers if follower.outbox is not outbox]

    def send_changes(self) -> None:
        """Send every relay the changes since the last ones sent to it."""
        newest = self.state.view_revision
        for follower in self.followers:
            if follower.revision < newest:
                self._send_delta(follower)

    def _send_delta(self, follower: Follower) -> None:
        # A late import: control VMs without relays start without the messages of relays.
        from bergamotchute_model.control_messages import ViewDelta

        newest = self.state.view_revision
        changes = self.state.changes_since(follower.revision) or ()
        follower.outbox.post(ViewDelta(follower.revision, newest, changes))
        follower.revision = newest
