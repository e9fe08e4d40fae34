"""Selects the runners that an entry watches when there are too many to watch all."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

MIN_WATCHED_COUNT = 16
MAX_WATCHED_COUNT = 64
SAME_ZONE_RATIO = 0.75
GROW_ABOVE_RATIO = 0.8
SHRINK_BELOW_RATIO = 0.3


@dataclass(frozen=True)
class ZoneMember:
    """The name and availability zone of an entry or a runner."""

    name: str
    availability_zone: str


@dataclass(frozen=True)
class RingPosition:
    """The position of an entry among the entries of its zone, ordered by a hash of their names.

    :param rank: index in that order, from 0.
    :param entries: number of entries in the zone, at least 1.
    """

    availability_zone: str
    rank: int
    entries: int


def ring_position(entry: ZoneMember, entries: Iterable[ZoneMember]) -> RingPosition:
    """Return the position of an entry among those of its zone.

    :param entries: all entries; this entry may be missing.
    """
    zone = entry.availability_zone
    names = {other.name for other in entries if other.availability_zone == zone} | {entry.name}
    return RingPosition(zone, _sort_by_hash(names).index(entry.name), len(names))


def choose_watched_endpoints(
    position: RingPosition, runners: Iterable[ZoneMember], size: int
) -> list[str]:
    """Return the names of the ``size`` runners that an entry watches, sorted.

    Three quarters are in the entry's zone if it has enough runners. The runners of the zone, and
    those of the other zones, form a ring in the order of a hash of their names, and the entry
    watches a window of each ring. The entries of a zone are spaced evenly around the rings, so the
    number of their watchers differs by at most one between runners. Adding or removing a runner
    moves a window by at most one runner; adding or removing an entry moves it by less than the
    distance between two entries.
    """
    same_zone: list[str] = []
    other_zones: list[str] = []
    for runner in runners:
        is_same_zone = runner.availability_zone == position.availability_zone
        (same_zone if is_same_zone else other_zones).append(runner.name)
    same_zone_count = min(
        len(same_zone), max(round(size * SAME_ZONE_RATIO), size - len(other_zones))
    )
    other_zones_count = min(len(other_zones), size - same_zone_count)
    return sorted(
        _ring_window(position, same_zone, same_zone_count)
        + _ring_window(position, other_zones, other_zones_count)
    )


def next_watched_count(size: int, busy_ratio: float) -> int:
    """Return how many runners to watch from now on.

    The number doubles when the watched runners are nearly full and halves when they are nearly
    idle. It stays the same in between, so fluctuating demand causes no churn.

    :param size: number of runners watched now.
    :param busy_ratio: ratio of their slots in use over the last seconds.
    """
    if busy_ratio > GROW_ABOVE_RATIO:
        return min(MAX_WATCHED_COUNT, size * 2)
    if busy_ratio < SHRINK_BELOW_RATIO:
        return max(MIN_WATCHED_COUNT, size // 2)
    return size


def _ring_window(position: RingPosition, runners: list[str], size: int) -> list[str]:
    """Return the runners in the entry's window of the ring."""
    if size >= len(runners):
        return list(runners)
    ring = _sort_by_hash(runners)
    start = position.rank * len(ring) // position.entries
    return [ring[(start + step) % len(ring)] for step in range(size)]


def _sort_by_hash(names: Iterable[str]) -> list[str]:
    """Return the names ordered by hash, which gives the same order on every VM."""
    return sorted(names, key=lambda name: (xxh3_64_intdigest(name.encode()), name))
