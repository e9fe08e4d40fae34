"""The requests at one endpoint, as the agent beside it counts them, and those that wait for it.

Load pattern: many entries send to few endpoints at a crest. Each picks the endpoint that seemed
emptiest a moment ago, so several pick the same one and their requests wait there while another has
free slots. Only one count beside the endpoint sees all of them in time.

After an outage more comes than the engines can do. Served in order of arrival, all of it would be
late. So requests that can still begin in time go first, those due soonest before others; what is
late already gets the slots that are left, in order of arrival.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field

from bergamotchute_model.node_messages import SlotState


@dataclass(frozen=True)
class WaitingRequest:
    """A request that waits for a slot.

    :param most: requests at the endpoint with which it takes a slot.
    :param due_at: when it should begin at the latest to be in time, on the runtime's clock.
    """

    holder: Hashable
    number: int
    most: int
    due_at: float


@dataclass
class SlotLedger:
    """Counts reservations, and what the endpoint reports beyond them.

    A reservation ends with its request or with the link of the entry that made it, so a lost
    entry costs no slot for longer than its link takes to be found dead.

    :param reserved: the reservations of each holder, by number.
    :param others: requests that the endpoint reported and nobody here reserved.
    :param waiting: in order of arrival.
    """

    reserved: dict[Hashable, set[int]] = field(default_factory=dict)
    others: int = 0
    waiting: list[WaitingRequest] = field(default_factory=list)

    @property
    def requests(self) -> int:
        """The requests that are at the endpoint or on their way there."""
        return self._reserved() + self.others

    def _reserved(self) -> int:
        return sum(len(numbers) for numbers in self.reserved.values())

    def reserve(
        self, holder: Hashable, number: int, most: int, queue: int = 0, due_at: float = 0.0
    ) -> SlotState:
        """Reserve a slot unless more than ``most`` requests are there.

        :param queue: the request waits if fewer others do.
        """
        if self.requests + len(self.waiting) <= most:
            self._grant(holder, number)
            return SlotState.RESERVED
        if len(self.waiting) < queue:
            self.waiting.append(WaitingRequest(holder, number, most, due_at))
            return SlotState.WAITING
        return SlotState.REFUSED

    def _grant(self, holder: Hashable, number: int) -> None:
        self.reserved.setdefault(holder, set()).add(number)

    def next_reserved(self, now: float) -> WaitingRequest | None:
        """Reserve a slot for the first of the waiting requests that gets one now, if any."""
        if not self.waiting:
            return None
        in_time = [each for each in self.waiting if each.due_at > now]
        first = min(in_time, key=lambda each: each.due_at) if in_time else self.waiting[0]
        if self.requests > first.most:
            return None
        self.waiting.remove(first)
        self._grant(first.holder, first.number)
        return first

    def release(self, holder: Hashable, number: int) -> None:
        """End a reservation or a wait; one that is not known changes nothing."""
        self.reserved.get(holder, set()).discard(number)
        self.waiting = [
            each for each in self.waiting if (each.holder, each.number) != (holder, number)
        ]

    def forget(self, holder: Hashable) -> None:
        """End all reservations and waits of a holder."""
        self.reserved.pop(holder, None)
        self.waiting = [each for each in self.waiting if each.holder != holder]

    def on_report(self, requests: int) -> None:
        """Take the endpoint's own count, which includes requests that reserved nothing."""
        self.others = max(0, requests - self._reserved())
