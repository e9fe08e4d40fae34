"""Tests that entries watch few runners, evenly, and with little churn as members change."""

from __future__ import annotations

from collections import Counter

from bergamotchute_policy.watched_subset import (
    MAX_WATCHED_COUNT,
    MIN_WATCHED_COUNT,
    ZoneMember,
    choose_watched_endpoints,
    next_watched_count,
    ring_position,
)

ZONES = ("a", "b", "c")
ENTRIES = [ZoneMember(f"entry-{number}", ZONES[number % 3]) for number in range(93)]
RUNNERS = [ZoneMember(f"runner-{number}", ZONES[number % 3]) for number in range(300)]


def watched_names(
    entry: ZoneMember, entries: list[ZoneMember], runners: list[ZoneMember]
) -> set[str]:
    return set(choose_watched_endpoints(ring_position(entry, entries), runners, 16))


def test_all_runners_are_watched_if_there_are_few() -> None:
    assert len(watched_names(ENTRIES[0], ENTRIES, RUNNERS[:16])) == 16


def test_runners_have_similar_watcher_counts_mostly_from_their_zone() -> None:
    counts: Counter[str] = Counter()
    zones = {runner.name: runner.availability_zone for runner in RUNNERS}
    for entry in ENTRIES:
        names = watched_names(entry, ENTRIES, RUNNERS)
        assert len(names) == 16
        assert sum(zones[name] == entry.availability_zone for name in names) == 12
        counts.update(names)
    assert max(counts.values()) - min(counts[runner.name] for runner in RUNNERS) <= len(ZONES)


def test_a_removed_runner_changes_few_watched_runners() -> None:
    for entry in ENTRIES:
        before = watched_names(entry, ENTRIES, RUNNERS)
        after = watched_names(
            entry, ENTRIES, [runner for runner in RUNNERS if runner.name != "runner-7"]
        )
        assert len(before - after - {"runner-7"}) <= 2


def test_a_removed_entry_changes_few_watched_runners() -> None:
    for entry in ENTRIES[1:]:
        before = watched_names(entry, ENTRIES, RUNNERS)
        after = watched_names(entry, ENTRIES[1:], RUNNERS)
        assert len(before - after) <= 2 * (200 // 31 + 1)


def test_an_entry_without_runners_in_its_zone_watches_other_zones() -> None:
    remaining_runners = [runner for runner in RUNNERS if runner.availability_zone != "a"]
    assert len(watched_names(ZoneMember("entry-0", "a"), ENTRIES, remaining_runners)) == 16


def test_the_watched_count_follows_demand_within_bounds() -> None:
    assert next_watched_count(16, 0.9) == 32
    assert next_watched_count(32, 0.5) == 32
    assert next_watched_count(MAX_WATCHED_COUNT, 1.0) == MAX_WATCHED_COUNT
    assert next_watched_count(MIN_WATCHED_COUNT, 0.0) == MIN_WATCHED_COUNT
