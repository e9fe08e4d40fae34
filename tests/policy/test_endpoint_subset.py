"""Parts of a large service: even, overlapping, near, and stable."""

from __future__ import annotations

from collections import Counter

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_policy.endpoint_subset import NEAR_PART, SUBSET, choose_subset, growing_parts

ZONES = ("a", "b", "c", "d", "e")
ENTRIES = [(f"entry-{number}", ZONES[number % 5]) for number in range(97)]


def _endpoint(number: int) -> EndpointHeartbeat:
    address = Address(f"10.0.{number // 200}.{number % 200}", 80)
    zone = ZONES[number % 5]
    return EndpointHeartbeat(f"i-{number}", 1, 1, "model", address, zone, 3, EndpointPhase.READY)


ENDPOINTS = [_endpoint(number) for number in range(192)]


def test_a_small_service_is_used_whole() -> None:
    assert choose_subset("entry-1", "a", ENDPOINTS[:SUBSET]) == ENDPOINTS[:SUBSET]


def test_every_endpoint_of_a_large_service_is_used_by_several_entries() -> None:
    """Load pattern: 97 entries before 192 endpoints."""
    users = Counter(
        each.endpoint for name, zone in ENTRIES for each in choose_subset(name, zone, ENDPOINTS)
    )
    assert sum(users.values()) == len(ENTRIES) * SUBSET
    assert len(users) == len(ENDPOINTS)
    assert min(users.values()) >= 3


def test_most_of_a_part_is_near() -> None:
    for name, zone in ENTRIES:
        near = [each.availability_zone == zone for each in choose_subset(name, zone, ENDPOINTS)]
        assert sum(near) == round(SUBSET * NEAR_PART)


def test_an_endpoint_that_goes_changes_one_place_of_its_users() -> None:
    gone = ENDPOINTS[7]
    left = [each for each in ENDPOINTS if each is not gone]
    for name, zone in ENTRIES:
        before = set(choose_subset(name, zone, ENDPOINTS))
        after = set(choose_subset(name, zone, left))
        assert len(before - after) == (gone in before)


def test_larger_parts_hold_the_smaller_ones_and_end_with_all() -> None:
    parts = growing_parts("entry-1", "a", ENDPOINTS)
    assert [len(part) for part in parts] == [24, 48, 96, 192]
    names = [{each.endpoint for each in part} for part in parts]
    assert names[0] < names[1] < names[2] < names[3]


def test_a_zone_with_few_endpoints_is_made_up_from_others() -> None:
    few = [each for each in ENDPOINTS if each.availability_zone != "a"] + ENDPOINTS[:1]
    assert len(choose_subset("entry-1", "a", few)) == SUBSET
