"""Selection of the endpoints that an entry links to when a service has many."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bergamotchute_model.membership import EndpointAnnouncement
from bergamotchute_policy.watched_subset import (
    MAX_WATCHED_COUNT,
    RingPosition,
    ZoneMember,
    choose_watched_endpoints,
    next_watched_count,
)

INITIAL_WATCHED_COUNT = 32
"""Number of endpoints of a service that an entry watches before it knows the demand."""


@dataclass
class WatchedEndpointSelector:
    """Selects the endpoints to watch, separately for each service.

    All endpoints of a service with up to :data:`MAX_WATCHED_COUNT` endpoints are watched.

    :param busy_slot_ratio: returns the ratio of a service's watched slots that are in use.
    :param ring_position: ring position of this entry among the entries of its zone.
    :param watched_counts: number of watched endpoints by service.
    """

    busy_slot_ratio: Callable[[str], float]
    ring_position: RingPosition = field(default_factory=lambda: RingPosition("", 0, 1))
    watched_counts: dict[str, int] = field(default_factory=dict)

    def adapt_watched_counts(self) -> None:
        """Adapt the number of watched endpoints of each service to its demand."""
        for service, size in self.watched_counts.items():
            self.watched_counts[service] = next_watched_count(size, self.busy_slot_ratio(service))

    def select_endpoints(self, announcements: Iterable[EndpointAnnouncement]) -> frozenset[str]:
        """Return the names of the endpoints to watch."""
        by_service: dict[str, list[ZoneMember]] = {}
        for announcement in announcements:
            for service in announcement.services:
                member = ZoneMember(announcement.endpoint, announcement.availability_zone)
                by_service.setdefault(service, []).append(member)
        chosen: set[str] = set()
        for service, members in by_service.items():
            chosen.update(self._select_for_service(service, members))
        return frozenset(chosen)

    def _select_for_service(self, service: str, members: list[ZoneMember]) -> list[str]:
        if len(members) <= MAX_WATCHED_COUNT:
            return [member.name for member in members]
        size = self.watched_counts.setdefault(service, INITIAL_WATCHED_COUNT)
        return choose_watched_endpoints(self.ring_position, members, size)
