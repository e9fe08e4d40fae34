"""The requests at one endpoint, as the agent beside it counts them, and those that wait for it.

Load pattern: many entries send to few endpoints at a crest. Each picks the endpoint that seemed
emptiest a moment ago, so several pick the same one and their requests wait there while another has
free slots. Only one count beside the endpoint sees all of them in time.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field

from bergamotchute_model.node_messages import SlotState
from bergamotchute_policy.pass_limit import PassLimit
from bergamotchute_policy.waiting_line import ANY_NUMBER, WaitingLine, WaitingRequest

KEPT_PART = 1 / 3
KEPT_S = 1.0
"""Part of the slots that late requests leave free, and for how long after a request came that could
be in time. Load pattern: the callers of an outage come back together, all of them late; those that
ask for the first time then find a slot in time."""


@dataclass
class SlotLedger:
    """Counts reservations, and what the endpoint reports beyond them.

    A reservation ends with its request or with the link of the entry that made it, so a lost
    entry costs no slot for longer than its link takes to be found dead.

    :param reserved: the reservations of each holder, by number.
    :param others: requests that the endpoint reported and nobody here reserved.
    :param line: who waits.
    :param limit: how many requests keep the engine's passes short enough.
    :param timely_at: when one asked last that could begin in time, on the runtime's clock.
    :param turned_away: who waited and is to be told that it gets no slot.
    """

    reserved: dict[Hashable, set[int]] = field(default_factory=dict)
    others: int = 0
    line: WaitingLine = field(default_factory=WaitingLine)
    limit: PassLimit = field(default_factory=PassLimit)
    timely_at: float = float("-inf")
    turned_away: list[WaitingRequest] = field(default_factory=list)

    @property
    def requests(self) -> int:
        """The requests that are at the endpoint or on their way there."""
        return self._reserved() + self.others

    def _reserved(self) -> int:
        return sum(len(numbers) for numbers in self.reserved.values())

    def reserve(self, request: WaitingRequest, queue: int = 0, now: float = 0.0) -> SlotState:
        """Reserve a slot unless too many requests are there.

        :param queue: the request waits if fewer others do, or for a less urgent one.
        """
        if not request.is_late(now):
            self.timely_at = now
        if self.requests + len(self.line) <= self._most_others(request, now):
            self._grant(request)
            return SlotState.RESERVED
        waits, turned_away = self.line.join(request, queue, now)
        if turned_away is not None:
            self.turned_away.append(turned_away)
        return SlotState.WAITING if waits else SlotState.REFUSED

    def _most_others(self, request: WaitingRequest, now: float) -> int:
        """Return the other requests with which one gets a slot."""
        if request.most >= ANY_NUMBER:
            return request.most
        limit = self.limit.most_requests()
        most = request.most if limit is None else min(request.most, limit - 1)
        keeps_slots = request.is_late(now) and now - self.timely_at < KEPT_S
        return most - round(KEPT_PART * most) if keeps_slots else most

    def _grant(self, request: WaitingRequest) -> None:
        self.reserved.setdefault(request.holder, set()).add(request.number)

    def next_reserved(self, now: float) -> WaitingRequest | None:
        """Reserve a slot for the first of the waiting requests that gets one now, if any."""
        first = self.line.first(now)
        if first is None or self.requests > self._most_others(first, now):
            return None
        self.line.serve(first, now)
        self._grant(first)
        return first

    def take_turned_away(self, now: float) -> list[WaitingRequest]:
        """Return who waited and gets no slot."""
        turned_away, self.turned_away = self.turned_away, []
        return turned_away + self.line.take_hopeless(now)

    def release(self, holder: Hashable, number: int) -> None:
        """End a reservation or a wait; one that is not known changes nothing."""
        self.reserved.get(holder, set()).discard(number)
        self.line.leave(holder, number)

    def forget(self, holder: Hashable) -> None:
        """End all reservations and waits of a holder."""
        self.reserved.pop(holder, None)
        self.line.leave(holder)

    def on_report(self, requests: int) -> None:
        """Take the endpoint's own count, which includes requests that reserved nothing."""
        self.others = max(0, requests - self._reserved())
