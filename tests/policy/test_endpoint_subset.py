"""Tests that endpoint subsets are evenly spread, zone-local, nested and stable."""

from __future__ import annotations

from collections import Counter

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_policy.endpoint_subset import (
    SAME_ZONE_RATIO,
    SUBSET_SIZE,
    choose_subset,
    nested_subsets,
)

ZONES = ("a", "b", "c", "d", "e")
ENTRIES = [(f"entry-{number}", ZONES[number % 5]) for number in range(97)]


def _endpoint(number: int) -> EndpointHeartbeat:
    address = Address(f"10.0.{number // 200}.{number % 200}", 80)
    zone = ZONES[number % 5]
    return EndpointHeartbeat(f"i-{number}", 1, 1, "model", address, zone, 3, EndpointPhase.READY)


ENDPOINTS = [_endpoint(number) for number in range(192)]


def test_an_entry_uses_all_endpoints_of_a_small_service() -> None:
    assert choose_subset("entry-1", "a", ENDPOINTS[:SUBSET_SIZE]) == ENDPOINTS[:SUBSET_SIZE]


def test_every_endpoint_of_a_large_service_is_used_by_several_entries() -> None:
    """With 97 entries and 192 endpoints, no endpoint may be left without entries."""
    entry_counts = Counter(
        endpoint.endpoint
        for name, zone in ENTRIES
        for endpoint in choose_subset(name, zone, ENDPOINTS)
    )
    assert sum(entry_counts.values()) == len(ENTRIES) * SUBSET_SIZE
    assert len(entry_counts) == len(ENDPOINTS)
    assert min(entry_counts.values()) >= 3


def test_most_endpoints_of_a_subset_are_in_the_zone_of_the_entry() -> None:
    for name, zone in ENTRIES:
        is_same_zone = [
            endpoint.availability_zone == zone for endpoint in choose_subset(name, zone, ENDPOINTS)
        ]
        assert sum(is_same_zone) == round(SUBSET_SIZE * SAME_ZONE_RATIO)


def test_a_removed_endpoint_changes_one_member_of_each_subset_that_had_it() -> None:
    gone = ENDPOINTS[7]
    remaining = [endpoint for endpoint in ENDPOINTS if endpoint is not gone]
    for name, zone in ENTRIES:
        before = set(choose_subset(name, zone, ENDPOINTS))
        after = set(choose_subset(name, zone, remaining))
        assert len(before - after) == (gone in before)


def test_larger_subsets_contain_the_smaller_ones_up_to_all_endpoints() -> None:
    subsets = nested_subsets("entry-1", "a", ENDPOINTS)
    assert [len(subset) for subset in subsets] == [24, 48, 96, 192]
    names = [{endpoint.endpoint for endpoint in subset} for subset in subsets]
    assert names[0] < names[1] < names[2] < names[3]


def test_other_zones_fill_the_subset_of_a_zone_with_few_endpoints() -> None:
    endpoints = [
        endpoint for endpoint in ENDPOINTS if endpoint.availability_zone != "a"
    ] + ENDPOINTS[:1]
    assert len(choose_subset("entry-1", "a", endpoints)) == SUBSET_SIZE
