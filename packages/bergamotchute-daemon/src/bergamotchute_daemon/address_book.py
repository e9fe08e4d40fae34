"""Which entries callers are told to use."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from bergamotchute_model.configuration import Configuration
from bergamotchute_model.control_messages import AddressReport
from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import EntryAnnouncement
from bergamotchute_policy.address_answer import include_other_zone
from bergamotchute_policy.watched_subset import RingPosition

ANSWER_ADDRESSES = 4
"""How many addresses an answer gives."""

REPORT_MAX_AGE_S = 1.0
"""How long a relay's report is used without asking again."""

KNOWN_ZONES = 64
"""Zones whose reports are kept."""

AskRelay = Callable[[str], Awaitable[AddressReport | None]]


@dataclass(frozen=True)
class KnownEntries:
    """What the relay reported for one zone."""

    entries: tuple[EntryAnnouncement, ...]
    entry_count: int
    place: RingPosition
    asked_at: float


@dataclass
class AddressBook:
    """Makes address answers from what the relay reports, also while it can't be asked.

    :param get_own_announcement: this entry's announcement, which counts even before the relay knows it.
    :param ask_relay: asks for the entries of a zone.
    :param on_place: told again and again where this entry stands in its zone.
    :param known: the newest report for each zone.
    """

    get_own_announcement: Callable[[], EntryAnnouncement]
    ask_relay: AskRelay
    on_place: Callable[[RingPosition], None] = lambda _: None
    known: dict[str, KnownEntries] = field(default_factory=dict)

    async def answer(
        self, availability_zone: str, configuration: Configuration
    ) -> tuple[Address, ...]:
        """Return addresses, those in the caller's zone first, none that drains.

        :param availability_zone: the caller's; empty for this entry's own.
        """
        zone = availability_zone or self.get_own_announcement().availability_zone
        await self.refresh(zone)
        return self._usable(zone, configuration)

    async def refresh(self, zone: str) -> None:
        """Ask the relay about a zone, unless that was done just now."""
        known = self.known.get(zone)
        if known is not None and anyio.current_time() - known.asked_at < REPORT_MAX_AGE_S:
            return
        asked_at = anyio.current_time()
        report = await self.ask_relay(zone)
        if report is None:
            return
        self.known.pop(zone, None)
        place = RingPosition(
            self.get_own_announcement().availability_zone, report.zone_rank, report.zone_entries
        )
        self.known[zone] = KnownEntries(report.entries, report.entry_count, place, asked_at)
        if len(self.known) > KNOWN_ZONES:
            del self.known[next(iter(self.known))]

    async def keep_fresh(self) -> None:
        """Keep the report for this entry's own zone fresh until cancelled."""
        while True:
            await self.refresh(self.get_own_announcement().availability_zone)
            self.on_place(self.place())
            await anyio.sleep(REPORT_MAX_AGE_S)

    def other_entry_addresses(self, configuration: Configuration) -> tuple[str, ...]:
        """Return addresses of other entries, for a caller that this one refuses."""
        own = self.get_own_announcement()
        usable = self._usable(own.availability_zone, configuration)
        return tuple(str(one) for one in usable if one != own.address)

    def place(self) -> RingPosition:
        """Return where this entry stands among those of its zone, as far as known."""
        zone = self.get_own_announcement().availability_zone
        known = self.known.get(zone)
        return known.place if known else RingPosition(zone, 0, 1)

    def entry_count(self) -> int:
        """Return how many entries there are, as far as known."""
        known = self.known.get(self.get_own_announcement().availability_zone)
        return max(1, known.entry_count if known else 1)

    def _usable(self, zone: str, configuration: Configuration) -> tuple[Address, ...]:
        """Return the reported entries that don't drain, and this one where it is near."""
        own = self.get_own_announcement()
        known = self.known.get(zone)
        reported = [one for one in known.entries if one.entry != own.entry] if known else []
        named = known is not None and len(reported) < len(known.entries)
        if named or not reported or own.availability_zone == zone:
            place = _place_of(own, known)
            reported.insert(place, own)
        usable = [one for one in reported if not _is_draining(one, configuration)]
        return tuple(one.address for one in include_other_zone(usable, ANSWER_ADDRESSES))


def _place_of(own: EntryAnnouncement, known: KnownEntries | None) -> int:
    """Return where the relay's report puts this entry; last of its zone when it doesn't."""
    entries = known.entries if known else ()
    for place, one in enumerate(entries):
        if one.entry == own.entry:
            return place
    return sum(one.availability_zone == own.availability_zone for one in entries)


def _is_draining(entry: EntryAnnouncement, configuration: Configuration) -> bool:
    """Return whether an entry drains, by its own word or by the files in force."""
    return entry.draining or configuration.is_draining(
        entry.entry, entry.vm, entry.availability_zone
    )
