"""Selects the endpoints of a large service to which an entry sends requests.

With 97 entries and 192 endpoints, an entry that used all of them would keep 192 links and each
endpoint's agent 97, which costs more than the requests themselves. A subset is enough to find a
free slot. The subsets of different entries overlap, so the load of each entry spreads over all
endpoints.

With few entries for many endpoints, or much work at one entry, the entry's subset can be full
while other endpoints have free slots. The entry then doubles its subset until it includes all.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat

SUBSET_SIZE = 24
"""Endpoints of a service that an entry uses. With 97 entries and 192 endpoints, 12 entries share
each endpoint, and 24 endpoints include a free slot with a probability of 99.9% while a quarter of
all endpoints have one."""

SAME_ZONE_RATIO = 0.75
"""Ratio of the subset that is in the entry's availability zone, if the zone has enough endpoints."""


def choose_subset(
    entry: str,
    availability_zone: str,
    endpoints: Sequence[EndpointHeartbeat],
    size: int = SUBSET_SIZE,
) -> list[EndpointHeartbeat]:
    """Return the endpoints that an entry uses: a subset, or all endpoints of a small service.

    Endpoints are ordered by a hash of the names of the entry and the endpoint, so adding or
    removing an endpoint changes at most one member of the subset.

    :param availability_zone: the availability zone of the entry.
    """
    if len(endpoints) <= size:
        return list(endpoints)
    same_zone, other_zones = _split_by_zone(entry, availability_zone, endpoints)
    return _take_subset(same_zone, other_zones, size)


def nested_subsets(
    entry: str, availability_zone: str, endpoints: Sequence[EndpointHeartbeat]
) -> list[list[EndpointHeartbeat]]:
    """Return the subset that an entry uses, then ever larger supersets up to all endpoints."""
    if len(endpoints) <= SUBSET_SIZE:
        return [list(endpoints)]
    same_zone, other_zones = _split_by_zone(entry, availability_zone, endpoints)
    sizes = [SUBSET_SIZE]
    while 2 * sizes[-1] < len(endpoints):
        sizes.append(2 * sizes[-1])
    return [*(_take_subset(same_zone, other_zones, size) for size in sizes), list(endpoints)]


def _split_by_zone(
    entry: str, availability_zone: str, endpoints: Iterable[EndpointHeartbeat]
) -> tuple[list[EndpointHeartbeat], list[EndpointHeartbeat]]:
    """Return the endpoints of the zone and those of other zones, in the entry's hash order."""

    def order(endpoint: EndpointHeartbeat) -> tuple[int, str]:
        return xxh3_64_intdigest(f"{entry} {endpoint.endpoint}".encode()), endpoint.endpoint

    ordered = sorted(endpoints, key=order)
    same_zone = [
        endpoint for endpoint in ordered if endpoint.availability_zone == availability_zone
    ]
    other_zones = [
        endpoint for endpoint in ordered if endpoint.availability_zone != availability_zone
    ]
    return same_zone, other_zones


def _take_subset(
    same_zone: list[EndpointHeartbeat], other_zones: list[EndpointHeartbeat], size: int
) -> list[EndpointHeartbeat]:
    same_zone_count = min(
        len(same_zone), max(round(size * SAME_ZONE_RATIO), size - len(other_zones))
    )
    return same_zone[:same_zone_count] + other_zones[: size - same_zone_count]
