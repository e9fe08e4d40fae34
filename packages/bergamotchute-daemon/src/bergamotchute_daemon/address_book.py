"""Which entries callers are told to use."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from bergamotchute_model.configuration import Configuration
from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import EntryAnnouncement

LOWEST_SPARE = 0.01

ANSWER_ADDRESSES = 4
"""How many addresses an answer gives."""


@dataclass(frozen=True)
class AddressBook:
    """Makes address answers from what the relay tells of entries.

    :param own: this entry's announcement, which counts even before the relay has told it.
    :param entries: all entries that the relay tells of.
    """

    own: Callable[[], EntryAnnouncement]
    entries: Callable[[], Iterable[EntryAnnouncement]]
    random: Random

    def answer(self, availability_zone: str, configuration: Configuration) -> tuple[Address, ...]:
        """Return addresses, those in the caller's zone first, none that drains.

        :param availability_zone: the caller's; empty for this entry's own.
        """
        zone = availability_zone or self.own().availability_zone
        known = {one.entry: one for one in self.entries()} | {self.own().entry: self.own()}
        usable = [one for one in known.values() if not _is_draining(one, configuration)]
        usable.sort(key=lambda one: (one.availability_zone != zone, self._draw(one)))
        return tuple(one.address for one in usable[:ANSWER_ADDRESSES])

    def others(self, configuration: Configuration) -> tuple[str, ...]:
        """Return addresses of other entries, for a caller that this one refuses."""
        own = self.own().address
        return tuple(str(one) for one in self.answer("", configuration) if one != own)

    def _draw(self, entry: EntryAnnouncement) -> float:
        """Return a draw by which entries with more spare capacity tend to come first."""
        exponent = 1.0 / max(entry.spare, LOWEST_SPARE)
        return -math.pow(self.random.random(), exponent)


def _is_draining(entry: EntryAnnouncement, configuration: Configuration) -> bool:
    """Return whether an entry drains, by its own word or by the files in force."""
    return entry.draining or configuration.is_draining(
        entry.entry, entry.vm, entry.availability_zone
    )
