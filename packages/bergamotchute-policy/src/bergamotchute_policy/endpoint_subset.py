"""Which endpoints of a large service an entry sends to.

Load pattern: 97 entries before 192 endpoints. An entry that uses all of them keeps 192 links, and each
endpoint's agent 97, which cost more than the requests. A part is enough to find a free slot: the
parts of different entries overlap, so that the load of each spreads over all.

Load pattern: few entries before many endpoints, or much work at one entry. Its part is full while others
have room; it then uses a part twice as large, and so on up to all.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat

SUBSET = 24
"""Endpoints of a service that an entry uses. Twelve entries share each at the size above, and a free
slot is among 24 with 99.9% while a quarter of the endpoints have one."""

NEAR_PART = 0.75
"""Part of them that is of the entry's own availability zone, where there are as many."""


def choose_subset(
    entry: str, availability_zone: str, endpoints: Sequence[EndpointHeartbeat], size: int = SUBSET
) -> list[EndpointHeartbeat]:
    """Return the endpoints that an entry uses, all of a small service.

    They are chosen by a hash of both names, so one that comes or goes changes one of them.

    :param availability_zone: the entry's own.
    """
    if len(endpoints) <= size:
        return list(endpoints)
    near, far = _in_order(entry, availability_zone, endpoints)
    return _part(near, far, size)


def growing_parts(
    entry: str, availability_zone: str, endpoints: Sequence[EndpointHeartbeat]
) -> list[list[EndpointHeartbeat]]:
    """Return the part that an entry uses, then larger ones around it, the last one with all."""
    if len(endpoints) <= SUBSET:
        return [list(endpoints)]
    near, far = _in_order(entry, availability_zone, endpoints)
    sizes = [SUBSET]
    while 2 * sizes[-1] < len(endpoints):
        sizes.append(2 * sizes[-1])
    return [*(_part(near, far, size) for size in sizes), list(endpoints)]


def _in_order(
    entry: str, availability_zone: str, endpoints: Iterable[EndpointHeartbeat]
) -> tuple[list[EndpointHeartbeat], list[EndpointHeartbeat]]:
    """Return the endpoints of an entry's zone and the others, as it prefers them."""

    def order(endpoint: EndpointHeartbeat) -> tuple[int, str]:
        return xxh3_64_intdigest(f"{entry} {endpoint.endpoint}".encode()), endpoint.endpoint

    ordered = sorted(endpoints, key=order)
    near = [each for each in ordered if each.availability_zone == availability_zone]
    far = [each for each in ordered if each.availability_zone != availability_zone]
    return near, far


def _part(
    near: list[EndpointHeartbeat], far: list[EndpointHeartbeat], size: int
) -> list[EndpointHeartbeat]:
    near_size = min(len(near), max(round(size * NEAR_PART), size - len(far)))
    return near[:near_size] + far[: size - near_size]
