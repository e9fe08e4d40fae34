"""The requests at one endpoint and its queue, as counted by the endpoint's agent.

At peak load many entries send to few endpoints. Each entry picks the endpoint with the lowest known
load, so several pick the same one, and their requests wait there while another endpoint has free
slots. Only a single count at the endpoint covers the requests of all entries without delay.

A few requests with long prompts fill the memory of an engine while slots are free. The requests are
therefore also counted in tokens, and one that does not fit gets no slot.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field

from bergamotchute_model.node_messages import SlotState
from bergamotchute_policy.slot_queue import UNLIMITED_REQUESTS, SlotQueue, WaitingRequest

TIMELY_SLOT_RATIO = 1 / 2
TIMELY_SLOT_HOLD_S = 1.0
"""Share of the slots that late requests leave free, and how long they do so after the arrival of a
request that can still start in time. When callers return together after an outage, all of them
late, new callers still get a slot in time."""


@dataclass
class SlotLedger:
    """Counts reservations, and the requests that the endpoint reports beyond them.

    A reservation ends with its request or with the link of the entry that made it, so a lost entry
    holds a slot only until its link is detected as dead.

    :param reserved: the tokens of each reservation, by holder and number; 0 if unknown.
    :param unreserved: requests that the endpoint reported and that have no reservation.
    :param line: the requests that wait for a slot.
    :param last_timely_at: when a request last arrived that could start in time, on the runtime's
        clock.
    :param rejected: waiting requests that get no slot and have not been notified yet.
    :param memory_tokens: count of tokens that fit into the endpoint's memory; 0 if unknown.
    :param usual_tokens: tokens counted for a request whose own are unknown.
    """

    reserved: dict[Hashable, dict[int, int]] = field(default_factory=dict)
    unreserved: int = 0
    line: SlotQueue = field(default_factory=SlotQueue)
    last_timely_at: float = float("-inf")
    rejected: list[WaitingRequest] = field(default_factory=list)
    memory_tokens: int = 0
    usual_tokens: int = 0

    @property
    def requests(self) -> int:
        """The number of requests at the endpoint or on their way to it."""
        return self.reservation_count + self.unreserved

    @property
    def used_tokens(self) -> int:
        """The tokens of the requests at the endpoint or on their way to it."""
        reserved = sum(
            self._tokens(tokens)
            for numbers in self.reserved.values()
            for tokens in numbers.values()
        )
        return reserved + self.unreserved * self._tokens(0)

    @property
    def reservation_count(self) -> int:
        """The number of reservations."""
        return sum(len(numbers) for numbers in self.reserved.values())

    def set_memory(self, memory_tokens: int, usual_tokens: int) -> None:
        """Set the size of the endpoint's memory; 0, as earlier builds imply, changes nothing."""
        if memory_tokens > 0:
            self.memory_tokens, self.usual_tokens = memory_tokens, usual_tokens

    def lacks_memory(self, request: WaitingRequest) -> bool:
        """Return whether a new request would not fit beside the running and waiting ones."""
        waiting = sum(self._tokens(each.tokens) for each in self.line.waiting)
        return not self._fits(request, waiting)

    def _fits(self, request: WaitingRequest, waiting_tokens: int = 0) -> bool:
        """Return whether a request fits into the memory beside the others at the endpoint."""
        if not self.memory_tokens:
            return True
        needed = self.used_tokens + waiting_tokens + self._tokens(request.tokens)
        return needed <= self.memory_tokens

    def _tokens(self, tokens: int) -> int:
        return tokens or min(self.usual_tokens, self.memory_tokens)

    def reserve_slot(self, request: WaitingRequest, queue: int = 0, now: float = 0.0) -> SlotState:
        """Reserve a slot, or queue the request if too many requests or tokens are at the endpoint.

        :param queue: maximum queue length; a full queue admits the request only in place of a less
            urgent one.
        """
        if not request.is_late(now):
            self.last_timely_at = now
        has_slot = self.requests + len(self.line) <= self._max_other_requests(request, now)
        if has_slot and not self.lacks_memory(request):
            self._add_reservation(request)
            return SlotState.RESERVED
        if self.memory_tokens and self._tokens(request.tokens) > self.memory_tokens:
            return SlotState.REFUSED
        is_queued, rejected = self.line.enqueue(request, queue, now)
        if rejected is not None:
            self.rejected.append(rejected)
        return SlotState.WAITING if is_queued else SlotState.REFUSED

    def _max_other_requests(self, request: WaitingRequest, now: float) -> int:
        """Return the maximum number of other requests for this one to get a slot."""
        if request.most >= UNLIMITED_REQUESTS:
            return request.most
        most = request.most
        leaves_slots_free = request.is_late(now) and now - self.last_timely_at < TIMELY_SLOT_HOLD_S
        return most - round(TIMELY_SLOT_RATIO * most) if leaves_slots_free else most

    def _add_reservation(self, request: WaitingRequest) -> None:
        self.reserved.setdefault(request.holder, {})[request.number] = request.tokens

    def reserve_for_next(self, now: float) -> WaitingRequest | None:
        """Reserve a slot for the next waiting request; return ``None`` if no slot is available.

        While the next request lacks memory, those behind it wait too; otherwise small requests
        would take the memory again and again, and a large one would never fit.
        """
        next_request = self.line.next_request(now)
        if next_request is None:
            return None
        if self.requests > self._max_other_requests(next_request, now):
            # A late request that has its turn may have to leave slots free for those in time, and
            # would hold these up if it were the only one considered.
            next_request = self.line.first_in_order(now)
            if next_request is None or self.requests > self._max_other_requests(next_request, now):
                return None
        if not self._fits(next_request):
            return None
        self.line.mark_served(next_request, now)
        self._add_reservation(next_request)
        return next_request

    def take_rejected(self, now: float) -> list[WaitingRequest]:
        """Remove and return the waiting requests that are rejected."""
        rejected, self.rejected = self.rejected, []
        return rejected + self.line.take_unservable(now)

    def release_slot(self, holder: Hashable, number: int) -> int:
        """End a reservation or a wait; an unknown number has no effect.

        :return: how many reservations ended.
        """
        ended = self.reserved.get(holder, {}).pop(number, None)
        self.line.remove(holder, number)
        return 0 if ended is None else 1

    def release_holder(self, holder: Hashable) -> int:
        """End all reservations and waits of a holder; return how many reservations ended."""
        ended = self.reserved.pop(holder, {})
        self.line.remove(holder)
        return len(ended)

    def on_request_count(self, requests: int) -> None:
        """Update the count by the endpoint's own, which includes unreserved requests."""
        self.unreserved = max(0, requests - self.reservation_count)
