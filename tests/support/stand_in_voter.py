"""A voter without a log: it keeps the replicated state in memory, for tests of its clients."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from bergamotchute_model.commands import Command, CommandResult
from bergamotchute_model.control_messages import (
    ControlMessage,
    LeaseGrant,
    Propose,
    Proposed,
    RenewLease,
    Subscribe,
    ViewDelta,
)
from bergamotchute_state.control_state import ControlState
from bergamotchute_wire.link import Link, LinkClosed
from bergamotchute_wire.outbox import Outbox

VIEW_LEASE_S = 6.0


@dataclass
class StandInVoter:
    """Grants leases immediately and commits after a short delay, unless ``has_quorum`` is false."""

    state: ControlState = field(default_factory=ControlState)
    subscribers: list[Outbox[ControlMessage]] = field(default_factory=list)
    has_quorum: bool = True
    commit_delay_s: float = 0.002

    async def serve_link(self, link: Link[ControlMessage]) -> None:
        """Serve one relay until its link closes."""
        outbox: Outbox[ControlMessage] = Outbox(link)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(outbox.run)
            try:
                while True:
                    message = await link.receive()
                    tasks.start_soon(self.on_message, outbox, message)
            except LinkClosed:
                tasks.cancel_scope.cancel()
            finally:
                self.subscribers = [
                    subscriber for subscriber in self.subscribers if subscriber is not outbox
                ]

    async def on_message(self, outbox: Outbox[ControlMessage], message: ControlMessage) -> None:
        """Answer one message of a relay."""
        if not self.has_quorum:
            return
        match message:
            case RenewLease(number=number):
                outbox.post(LeaseGrant(number, VIEW_LEASE_S, self.state.view_revision))
            case Subscribe(revision=revision):
                self.subscribers.append(outbox)
                outbox.post(self.delta_since(revision))
            case Propose():
                await anyio.sleep(self.commit_delay_s)
                result = self.commit(message.command)
                outbox.post(Proposed(message.proposal_id, self.state.revision, result))

    def commit(self, command: Command) -> CommandResult:
        """Apply a command and send the relays the changes of the view."""
        before = self.state.view_revision
        result = self.state.apply(command, self.state.revision + 1)
        if self.state.view_revision > before:
            for outbox in self.subscribers:
                outbox.post(self.delta_since(before))
        return result

    def delta_since(self, revision: int) -> ViewDelta:
        """Return the changes after a revision."""
        changes = self.state.changes_since(min(revision, self.state.revision)) or ()
        return ViewDelta(min(revision, self.state.revision), self.state.view_revision, changes)
