"""Which runners an entry watches when there are too many to watch all."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

MIN_WATCHED = 16
MAX_WATCHED = 64
NEAR_PART = 0.75
GROW_ABOVE = 0.8
SHRINK_BELOW = 0.3


@dataclass(frozen=True)
class Member:
    """An entry or a runner by its name and zone."""

    name: str
    availability_zone: str


@dataclass(frozen=True)
class Place:
    """Where an entry stands among the entries of its zone, in the order of a hash of their names.

    :param rank: from 0.
    :param entries: how many they are, at least 1.
    """

    availability_zone: str
    rank: int
    entries: int


def place_of(entry: Member, entries: Iterable[Member]) -> Place:
    """Return where an entry stands.

    :param entries: all entries, with this one or without.
    """
    zone = entry.availability_zone
    names = {other.name for other in entries if other.availability_zone == zone} | {entry.name}
    return Place(zone, _by_hash(names).index(entry.name), len(names))


def watched_endpoints(place: Place, runners: Iterable[Member], size: int) -> list[str]:
    """Return the names of the ``size`` runners that an entry watches, sorted.

    Three of four are of its own zone, where there are as many. Each part is a window on a ring of
    runners in the order of a hash of their names. The entries of a zone stand evenly around the
    ring, so that the numbers of their watchers differ by at most one from runner to runner. A
    runner that comes or goes moves a window by at most one place, an entry by less than the
    distance between two entries.
    """
    near: list[str] = []
    far: list[str] = []
    for runner in runners:
        is_near = runner.availability_zone == place.availability_zone
        (near if is_near else far).append(runner.name)
    near_size = min(len(near), max(round(size * NEAR_PART), size - len(far)))
    far_size = min(len(far), size - near_size)
    return sorted(_window(place, near, near_size) + _window(place, far, far_size))


def watched_size(size: int, busy_part: float) -> int:
    """Return how many runners to watch from now on.

    Doubles when those that are watched are nearly full, halves when they are nearly idle; in
    between nothing changes, so that a demand that hovers causes no churn.

    :param size: how many are watched now.
    :param busy_part: part of their slots that is in use, over the last seconds.
    """
    if busy_part > GROW_ABOVE:
        return min(MAX_WATCHED, size * 2)
    if busy_part < SHRINK_BELOW:
        return max(MIN_WATCHED, size // 2)
    return size


def _window(place: Place, runners: list[str], size: int) -> list[str]:
    """Return the runners in the entry's window on the ring."""
    if size >= len(runners):
        return list(runners)
    ring = _by_hash(runners)
    start = place.rank * len(ring) // place.entries
    return [ring[(start + step) % len(ring)] for step in range(size)]


def _by_hash(names: Iterable[str]) -> list[str]:
    """Return the names in the order of their hashes, the same on every VM."""
    return sorted(names, key=lambda name: (xxh3_64_intdigest(name.encode()), name))
