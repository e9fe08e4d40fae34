"""The requests at one endpoint, as the agent beside it counts them.

Load pattern: many entries send to few endpoints at a crest. Each picks the endpoint that seemed
emptiest a moment ago, so several pick the same one and their requests wait there while another has
free slots. Only one count beside the endpoint sees all of them in time.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field


@dataclass
class SlotLedger:
    """Counts reservations, and what the endpoint reports beyond them.

    A reservation ends with its request or with the link of the entry that made it, so a lost
    entry costs no slot for longer than its link takes to be found dead.

    :param reserved: the reservations of each holder, by number.
    :param others: requests that the endpoint reported and nobody here reserved.
    """

    reserved: dict[Hashable, set[int]] = field(default_factory=dict)
    others: int = 0

    @property
    def requests(self) -> int:
        """The requests that are at the endpoint or on their way there."""
        return self._reserved() + self.others

    def _reserved(self) -> int:
        return sum(len(numbers) for numbers in self.reserved.values())

    def reserve(self, holder: Hashable, number: int, most: int | None) -> bool:
        """Reserve a slot unless more than ``most`` requests are there; return whether it was."""
        if most is not None and self.requests > most:
            return False
        self.reserved.setdefault(holder, set()).add(number)
        return True

    def release(self, holder: Hashable, number: int) -> None:
        """End a reservation; one that is not known changes nothing."""
        self.reserved.get(holder, set()).discard(number)

    def forget(self, holder: Hashable) -> None:
        """End all reservations of a holder."""
        self.reserved.pop(holder, None)

    def on_report(self, requests: int) -> None:
        """Take the endpoint's own count, which includes requests that reserved nothing."""
        self.others = max(0, requests - self._reserved())
