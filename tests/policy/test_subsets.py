"""Watched runners: few, evenly watched, stable when members come and go."""

from __future__ import annotations

from collections import Counter

from bergamotchute_policy.subset import (
    MAX_WATCHED,
    MIN_WATCHED,
    Member,
    place_of,
    watched_endpoints,
    watched_size,
)

ZONES = ("a", "b", "c")
ENTRIES = [Member(f"entry-{n}", ZONES[n % 3]) for n in range(93)]
RUNNERS = [Member(f"runner-{n}", ZONES[n % 3]) for n in range(300)]


def watched(entry: Member, entries: list[Member], runners: list[Member]) -> set[str]:
    return set(watched_endpoints(place_of(entry, entries), runners, 16))


def test_all_are_watched_where_there_are_few() -> None:
    assert len(watched(ENTRIES[0], ENTRIES, RUNNERS[:16])) == 16


def test_watchers_are_even_and_most_are_near() -> None:
    counts: Counter[str] = Counter()
    zones = {runner.name: runner.availability_zone for runner in RUNNERS}
    for entry in ENTRIES:
        names = watched(entry, ENTRIES, RUNNERS)
        assert len(names) == 16
        assert sum(zones[name] == entry.availability_zone for name in names) == 12
        counts.update(names)
    assert max(counts.values()) - min(counts[runner.name] for runner in RUNNERS) <= len(ZONES)


def test_a_runner_that_goes_changes_little() -> None:
    for entry in ENTRIES:
        before = watched(entry, ENTRIES, RUNNERS)
        after = watched(entry, ENTRIES, [r for r in RUNNERS if r.name != "runner-7"])
        assert len(before - after - {"runner-7"}) <= 2


def test_an_entry_that_goes_changes_little() -> None:
    for entry in ENTRIES[1:]:
        before = watched(entry, ENTRIES, RUNNERS)
        after = watched(entry, ENTRIES[1:], RUNNERS)
        assert len(before - after) <= 2 * (200 // 31 + 1)


def test_a_lost_zone_leaves_runners_of_others() -> None:
    left = [runner for runner in RUNNERS if runner.availability_zone != "a"]
    assert len(watched(Member("entry-0", "a"), ENTRIES, left)) == 16


def test_the_size_follows_demand_within_bounds() -> None:
    assert watched_size(16, 0.9) == 32
    assert watched_size(32, 0.5) == 32
    assert watched_size(MAX_WATCHED, 1.0) == MAX_WATCHED
    assert watched_size(MIN_WATCHED, 0.0) == MIN_WATCHED
