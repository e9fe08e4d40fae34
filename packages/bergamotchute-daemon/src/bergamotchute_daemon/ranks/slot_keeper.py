"""Answers the entries that ask for slots of the endpoint beside this agent."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from bergamotchute_model.node_messages import (
    EnginePace,
    NodeMessage,
    RankStatus,
    ReleaseSlot,
    ReserveSlot,
    SlotAnswer,
    SlotState,
)
from bergamotchute_policy.slot_ledger import SlotLedger
from bergamotchute_policy.waiting_line import WaitingRequest
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

    def on_status(self, status: RankStatus) -> None:
        """Take what the rank beside this agent tells of its requests and passes."""
        now = anyio.current_time()
        self.ledger.limit.observe(status.epoch, status.step, status.requests, now)
        self.on_report(status.requests)

    def on_report(self, requests: int) -> None:
        """Take the endpoint's own count of its requests."""
        self.ledger.on_report(requests)
        self._serve_waiting()

    def _take(self, outbox: Outbox[NodeMessage], message: NodeMessage) -> None:
        if isinstance(message, ReserveSlot):
            requests = self.ledger.requests + len(self.ledger.line)
            now = anyio.current_time()
            request = WaitingRequest(
                outbox,
                message.number,
                message.most,
                now + message.due_s,
                message.priority,
                now + message.patience_s,
            )
            state = self.ledger.reserve(request, message.queue, now)
            outbox.post(SlotAnswer(message.number, state, requests))
            self._serve_waiting()
        elif isinstance(message, EnginePace):
            self.ledger.limit.pace = message
        elif isinstance(message, ReleaseSlot):
            self.ledger.release(outbox, message.number)
            self._serve_waiting()

    def _serve_waiting(self) -> None:
        now = anyio.current_time()
        while (served := self.ledger.next_reserved(now)) is not None:
            self._tell(served, SlotState.RESERVED, self.ledger.requests - 1)
        for turned_away in self.ledger.take_turned_away(now):
            self._tell(turned_away, SlotState.REFUSED, self.ledger.requests)

    def _tell(self, request: WaitingRequest, state: SlotState, others: int) -> None:
        """Tell an entry how the wait of its request ended."""
        assert isinstance(request.holder, Outbox)
        requests = others + len(self.ledger.line)
        request.holder.post(SlotAnswer(request.number, state, requests))
