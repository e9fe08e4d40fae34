"""Answers the entries that ask for slots of the endpoint beside this agent."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from bergamotchute_model.node_messages import (
    NodeMessage,
    ReleaseSlot,
    ReserveSlot,
    SlotAnswer,
    SlotState,
)
from bergamotchute_policy.slot_ledger import SlotLedger
from bergamotchute_wire.link import Link
from bergamotchute_wire.outbox import Outbox, open_outbox


@dataclass
class SlotKeeper:
    """Serves the links of entries."""

    ledger: SlotLedger = field(default_factory=SlotLedger)

    async def serve(self, link: Link[NodeMessage]) -> None:
        """Serve one entry until its link closes; its reservations end with the link."""
        async with open_outbox(link) as outbox:
            try:
                while True:
                    self._take(outbox, await link.receive())
            finally:
                self.ledger.forget(outbox)
                self._serve_waiting()

    def on_report(self, requests: int) -> None:
        """Take the endpoint's own count of its requests."""
        self.ledger.on_report(requests)
        self._serve_waiting()

    def _take(self, outbox: Outbox[NodeMessage], message: NodeMessage) -> None:
        if isinstance(message, ReserveSlot):
            requests = self.ledger.requests + len(self.ledger.waiting)
            due_at = anyio.current_time() + message.due_s
            state = self.ledger.reserve(outbox, message.number, message.most, message.queue, due_at)
            outbox.post(SlotAnswer(message.number, state, requests))
        elif isinstance(message, ReleaseSlot):
            self.ledger.release(outbox, message.number)
            self._serve_waiting()

    def _serve_waiting(self) -> None:
        now = anyio.current_time()
        while (served := self.ledger.next_reserved(now)) is not None:
            requests = self.ledger.requests - 1 + len(self.ledger.waiting)
            assert isinstance(served.holder, Outbox)
            served.holder.post(SlotAnswer(served.number, SlotState.RESERVED, requests))
