"""Which entries a caller is told to use."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import EntryAnnouncement

ANSWER_COUNT = 3
MIN_SPARE = 0.02
FULL_SPARE = 0.1
SHORT_LIFETIME_S = 5.0
LIFETIME_S = 30.0


@dataclass(frozen=True)
class AddressAnswer:
    """Entries for a caller, the first to be tried first.

    :param lifetime_s: how long the caller may keep the answer.
    """

    addresses: tuple[Address, ...]
    lifetime_s: float


def answer_addresses(
    entries: list[EntryAnnouncement],
    availability_zone: str,
    random: Random,
    count: int = ANSWER_COUNT,
) -> AddressAnswer:
    """Return a few entries for a caller, those of its zone first.

    Within a zone they are drawn by their spare capacity, so that callers spread in proportion to
    what each entry can still take. Entries with next to none come last, in any zone, and draining
    ones never. While the whole is nearly full answers live shorter, since they will change soon.
    The last address is of another zone where there is one, so that a caller that keeps the answer
    over the loss of its zone has where to go.

    :param entries: those whose announcement has not lapsed.
    :param availability_zone: the caller's, or the answering entry's where that is not known.
    """
    ready = [entry for entry in entries if not entry.draining]
    chosen = with_other_zone(preferred_entries(ready, availability_zone, random), count)
    spare = sum(entry.spare for entry in ready) / len(ready) if ready else 0.0
    lifetime_s = LIFETIME_S if spare >= FULL_SPARE else SHORT_LIFETIME_S
    return AddressAnswer(tuple(entry.address for entry in chosen), lifetime_s)


def preferred_entries(
    entries: list[EntryAnnouncement], availability_zone: str, random: Random
) -> list[EntryAnnouncement]:
    """Return the entries that don't drain, in the order in which a caller should try them."""
    ready = [entry for entry in entries if not entry.draining]
    near = [entry for entry in ready if _usable(entry, availability_zone)]
    far = [entry for entry in ready if entry not in near]
    return _draw(near, random) + sorted(_draw(far, random), key=lambda e: e.spare < FULL_SPARE)


def _usable(entry: EntryAnnouncement, availability_zone: str) -> bool:
    """Return whether an entry is of the zone and has room."""
    return entry.availability_zone == availability_zone and entry.spare >= FULL_SPARE


def _draw(entries: list[EntryAnnouncement], random: Random) -> list[EntryAnnouncement]:
    """Return the entries in a random order in which more spare capacity comes sooner."""
    keys = {
        entry.entry: random.expovariate(max(entry.spare, MIN_SPARE))
        for entry in sorted(entries, key=lambda entry: entry.entry)
    }
    return sorted(entries, key=lambda entry: keys[entry.entry])


def with_other_zone(ordered: list[EntryAnnouncement], count: int) -> list[EntryAnnouncement]:
    """Return the first ``count`` entries, the last of them of another zone if need be."""
    chosen = ordered[:count]
    zones = {entry.availability_zone for entry in chosen}
    if len(zones) == 1 and len(chosen) > 1:
        others = [entry for entry in ordered[count:] if entry.availability_zone not in zones]
        if others:
            chosen[-1] = others[0]
    return chosen
