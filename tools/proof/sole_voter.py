"""One voter without a log: the replicated state in memory, for runs that don't test the quorum."""

from __future__ import annotations

from typing import Any

import anyio

from bergamotchute_model.control_messages import (
    LeaseGrant,
    Propose,
    Proposed,
    RenewLease,
    Subscribe,
    ViewDelta,
)
from bergamotchute_state.control_state import ControlState
from bergamotchute_wire.link import LinkClosed
from bergamotchute_wire.outbox import Outbox

LEASE_S = 5.0
COMMIT_S = 0.002


class SoleVoter:
    """Grants leases and commits at once."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.subscribers: list[Outbox[Any]] = []

    async def serve_link(self, link: Any) -> None:
        """Serve one relay."""
        outbox: Outbox[Any] = Outbox(link)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(outbox.run)
            try:
                while True:
                    await self.on_message(outbox, await link.receive())
            except LinkClosed:
                tasks.cancel_scope.cancel()
            finally:
                self.subscribers = [one for one in self.subscribers if one is not outbox]

    async def on_message(self, outbox: Outbox[Any], message: Any) -> None:
        """Answer one message of a relay."""
        match message:
            case RenewLease(number=number):
                outbox.post(LeaseGrant(number, LEASE_S, self.state.view_revision))
            case Subscribe(revision=revision):
                self.subscribers.append(outbox)
                outbox.post(self.delta(revision))
            case Propose():
                await anyio.sleep(COMMIT_S)
                before = self.state.view_revision
                result = self.state.apply(message.command, self.state.revision + 1)
                if self.state.view_revision > before:
                    for subscriber in self.subscribers:
                        subscriber.post(self.delta(before))
                outbox.post(Proposed(message.proposal_id, self.state.revision, result))

    def delta(self, revision: int) -> ViewDelta:
        """Return what changed after a revision."""
        base = min(revision, self.state.revision)
        changes = self.state.changes_since(base) or ()
        return ViewDelta(base, self.state.view_revision, changes)
