"""Grant slots of the endpoint beside this agent to entries."""

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
from bergamotchute_policy.reservation_rate import ReservationRate
from bergamotchute_policy.slot_ledger import SlotLedger
from bergamotchute_policy.slot_queue import WaitingRequest
from bergamotchute_wire.link import Link
from bergamotchute_wire.outbox import Outbox, open_outbox


@dataclass
class SlotReservationServer:
    """Serve the links on which entries reserve and release slots.

    :param ledger: the reservations and waiting requests of the endpoint.
    :param rate: the bound of the reservations in any second, as entries name it.
    """

    ledger: SlotLedger = field(default_factory=SlotLedger)
    rate: ReservationRate = field(default_factory=ReservationRate)

    async def serve_entry(self, link: Link[NodeMessage]) -> None:
        """Serve one entry until its link closes, which ends the entry's reservations and waits."""
        async with open_outbox(link) as outbox:
            try:
                while True:
                    self._handle_message(outbox, await link.receive())
            finally:
                self.rate.on_ended(self.ledger.release_holder(outbox), anyio.current_time())
                self._answer_waiting()

    def on_request_count(self, requests: int) -> None:
        """Update the ledger from the endpoint's own count of its requests."""
        self.ledger.on_request_count(requests)
        self._answer_waiting()

    def _handle_message(self, outbox: Outbox[NodeMessage], message: NodeMessage) -> None:
        if isinstance(message, ReserveSlot):
            requests = self.ledger.requests + len(self.ledger.line)
            now = anyio.current_time()
            self.rate.set_bound(message.most_per_s)
            if not self._may_grant(now):
                self.rate.refused_count += 1
                outbox.post(SlotAnswer(message.number, SlotState.REFUSED, requests))
                return
            request = WaitingRequest(
                outbox,
                message.number,
                message.most,
                now + message.due_s,
                message.priority,
                now + message.patience_s,
                message.tokens,
            )
            self.ledger.set_memory(message.memory_tokens, message.usual_tokens)
            state = self.ledger.reserve_slot(request, message.queue, now)
            lacks_memory = state is SlotState.REFUSED and self.ledger.lacks_memory(request)
            outbox.post(SlotAnswer(message.number, state, requests, lacks_memory))
            self._answer_waiting()
        elif isinstance(message, ReleaseSlot):
            ended = self.ledger.release_slot(outbox, message.number)
            self.rate.on_ended(ended, anyio.current_time())
            self._answer_waiting()

    def _answer_waiting(self) -> None:
        now = anyio.current_time()
        while self._may_grant(now) and (served := self.ledger.reserve_for_next(now)) is not None:
            self._post_answer(served, SlotState.RESERVED, self.ledger.requests - 1)
        for turned_away in self.ledger.take_rejected(now):
            self._post_answer(turned_away, SlotState.REFUSED, self.ledger.requests)

    def _may_grant(self, now: float) -> bool:
        return self.rate.may_grant(self.ledger.reservation_count, now)

    def _post_answer(self, request: WaitingRequest, state: SlotState, other_requests: int) -> None:
        """Send an entry the result of a request that waited for a slot."""
        assert isinstance(request.holder, Outbox)
        requests = other_requests + len(self.ledger.line)
        request.holder.post(SlotAnswer(request.number, state, requests))
