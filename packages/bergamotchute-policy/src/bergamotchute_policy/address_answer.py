"""Selects the entries whose addresses a caller gets."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import EntryAnnouncement

DEFAULT_ADDRESS_COUNT = 3
MIN_SPARE_WEIGHT = 0.02
LOW_SPARE_RATIO = 0.1
LOW_SPARE_LIFETIME_S = 5.0
DEFAULT_LIFETIME_S = 30.0


@dataclass(frozen=True)
class AddressAnswer:
    """Entries for a caller, in the order in which to try them.

    :param lifetime_s: how long the caller may cache the answer, in seconds.
    """

    addresses: tuple[Address, ...]
    lifetime_s: float


def choose_addresses(
    entries: list[EntryAnnouncement],
    availability_zone: str,
    random: Random,
    count: int = DEFAULT_ADDRESS_COUNT,
) -> AddressAnswer:
    """Return a few entries for a caller, those of its zone first.

    Within a zone the order is random, weighted by spare capacity, so callers spread in proportion
    to it. Entries with little spare capacity come last, whatever their zone; draining entries are
    left out. While the entries as a whole are nearly full, the lifetime is shorter, since the
    answer will soon be outdated. The last address is in another zone if there is one, so a caller
    with a cached answer can still reach an entry when it loses its zone.

    :param entries: entries whose announcement has not lapsed.
    :param availability_zone: the caller's zone; the answering entry's zone if that is unknown.
    """
    ready = [entry for entry in entries if not entry.draining]
    chosen = include_other_zone(order_entries(ready, availability_zone, random), count)
    spare = sum(entry.spare for entry in ready) / len(ready) if ready else 0.0
    lifetime_s = DEFAULT_LIFETIME_S if spare >= LOW_SPARE_RATIO else LOW_SPARE_LIFETIME_S
    return AddressAnswer(tuple(entry.address for entry in chosen), lifetime_s)


def order_entries(
    entries: list[EntryAnnouncement], availability_zone: str, random: Random
) -> list[EntryAnnouncement]:
    """Return the entries that are not draining, in the order in which a caller should try them."""
    ready = [entry for entry in entries if not entry.draining]
    preferred = [entry for entry in ready if _is_preferred(entry, availability_zone)]
    remaining = [entry for entry in ready if entry not in preferred]
    return _shuffle_by_spare(preferred, random) + sorted(
        _shuffle_by_spare(remaining, random), key=lambda entry: entry.spare < LOW_SPARE_RATIO
    )


def _is_preferred(entry: EntryAnnouncement, availability_zone: str) -> bool:
    """Return whether an entry is in the zone and has enough spare capacity."""
    return entry.availability_zone == availability_zone and entry.spare >= LOW_SPARE_RATIO


def _shuffle_by_spare(entries: list[EntryAnnouncement], random: Random) -> list[EntryAnnouncement]:
    """Return the entries in random order, weighted towards more spare capacity."""
    keys = {
        entry.entry: random.expovariate(max(entry.spare, MIN_SPARE_WEIGHT))
        for entry in sorted(entries, key=lambda entry: entry.entry)
    }
    return sorted(entries, key=lambda entry: keys[entry.entry])


def include_other_zone(ordered: list[EntryAnnouncement], count: int) -> list[EntryAnnouncement]:
    """Return the first ``count`` entries.

    If all of them are in one zone, the last is replaced by the next entry of another zone.
    """
    chosen = ordered[:count]
    zones = {entry.availability_zone for entry in chosen}
    if len(zones) == 1 and len(chosen) > 1:
        other_zone_entries = [
            entry for entry in ordered[count:] if entry.availability_zone not in zones
        ]
        if other_zone_entries:
            chosen[-1] = other_zone_entries[0]
    return chosen
