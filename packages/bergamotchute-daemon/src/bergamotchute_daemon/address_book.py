"""Addresses of entries for callers."""

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

ANSWER_ADDRESS_COUNT = 4
"""Maximum number of addresses in an answer."""

REPORT_MAX_AGE_S = 1.0
"""Maximum age of a relay's report before the relay is asked again."""

MAX_ZONE_REPORT_COUNT = 64
"""Maximum number of zones whose reports are kept."""

AskRelay = Callable[[str], Awaitable[AddressReport | None]]


@dataclass(frozen=True)
class ZoneReport:
    """A relay's report on the entries of one zone.

    :param asked_at: when the relay was asked, on the runtime clock.
    """

    entries: tuple[EntryAnnouncement, ...]
    entry_count: int
    ring_position: RingPosition
    asked_at: float


@dataclass
class AddressBook:
    """Answers callers with addresses from the relay's newest reports, also while no relay responds.

    :param get_own_announcement: returns this entry's announcement, which is used even before the relay knows it.
    :param ask_relay: asks the relay for the entries of a zone.
    :param on_ring_position: called regularly with the ring position of this entry in its zone.
    :param known: the newest report for each zone.
    """

    get_own_announcement: Callable[[], EntryAnnouncement]
    ask_relay: AskRelay
    on_ring_position: Callable[[RingPosition], None] = lambda _: None
    known: dict[str, ZoneReport] = field(default_factory=dict)

    async def answer(
        self, availability_zone: str, configuration: Configuration
    ) -> tuple[Address, ...]:
        """Return the addresses of entries that aren't draining, those in the caller's zone first.

        :param availability_zone: the zone of the caller; empty for this entry's own zone.
        """
        zone = availability_zone or self.get_own_announcement().availability_zone
        await self.refresh_zone(zone)
        return self._usable_addresses(zone, configuration)

    async def refresh_zone(self, zone: str) -> None:
        """Ask the relay about a zone unless its report is recent enough."""
        known = self.known.get(zone)
        if known is not None and anyio.current_time() - known.asked_at < REPORT_MAX_AGE_S:
            return
        asked_at = anyio.current_time()
        report = await self.ask_relay(zone)
        if report is None:
            return
        self.known.pop(zone, None)
        position = RingPosition(
            self.get_own_announcement().availability_zone, report.zone_rank, report.zone_entries
        )
        self.known[zone] = ZoneReport(report.entries, report.entry_count, position, asked_at)
        if len(self.known) > MAX_ZONE_REPORT_COUNT:
            del self.known[next(iter(self.known))]

    async def refresh_periodically(self) -> None:
        """Refresh the report for this entry's own zone regularly until cancelled."""
        while True:
            await self.refresh_zone(self.get_own_announcement().availability_zone)
            self.on_ring_position(self.ring_position())
            await anyio.sleep(REPORT_MAX_AGE_S)

    def other_entry_addresses(self, configuration: Configuration) -> tuple[str, ...]:
        """Return the addresses of other entries, for a caller that this entry refuses."""
        own = self.get_own_announcement()
        usable = self._usable_addresses(own.availability_zone, configuration)
        return tuple(str(address) for address in usable if address != own.address)

    def ring_position(self) -> RingPosition:
        """Return the ring position of this entry in its zone, or the only position if unknown."""
        zone = self.get_own_announcement().availability_zone
        known = self.known.get(zone)
        return known.ring_position if known else RingPosition(zone, 0, 1)

    def entry_count(self) -> int:
        """Return the reported number of entries, at least 1."""
        known = self.known.get(self.get_own_announcement().availability_zone)
        return max(1, known.entry_count if known else 1)

    def _usable_addresses(self, zone: str, configuration: Configuration) -> tuple[Address, ...]:
        """Return the reported entries that aren't draining.

        This entry is included if it is reported, belongs to the zone, or no other entry is known.
        """
        own = self.get_own_announcement()
        known = self.known.get(zone)
        reported = [entry for entry in known.entries if entry.entry != own.entry] if known else []
        is_reported = known is not None and len(reported) < len(known.entries)
        if is_reported or not reported or own.availability_zone == zone:
            index = _position_in_report(own, known)
            reported.insert(index, own)
        usable = [entry for entry in reported if not _is_draining(entry, configuration)]
        return tuple(entry.address for entry in include_other_zone(usable, ANSWER_ADDRESS_COUNT))


def _position_in_report(own: EntryAnnouncement, known: ZoneReport | None) -> int:
    """Return the index of this entry in the relay's report.

    An entry that the report lacks is placed after the entries of its zone.
    """
    entries = known.entries if known else ()
    for index, entry in enumerate(entries):
        if entry.entry == own.entry:
            return index
    return sum(entry.availability_zone == own.availability_zone for entry in entries)


def _is_draining(entry: EntryAnnouncement, configuration: Configuration) -> bool:
    """Return whether an entry is draining by its announcement or by the configuration."""
    return entry.draining or configuration.is_draining(
        entry.entry, entry.vm, entry.availability_zone
    )
