"""Which endpoints an entry holds links to, where there are too many for all."""

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
"""Endpoints of a service that an entry watches before it knows its demand."""


@dataclass
class WatchedEndpointSelector:
    """Chooses the endpoints to watch, for each service by itself.

    Services of up to :data:`MAX_WATCHED_COUNT` endpoints are watched whole.

    :param busy_slot_ratio: tells the part of a service's watched slots that is in use.
    :param ring_position: where this entry stands among those of its zone.
    :param watched_counts: how many endpoints are watched, by service.
    """

    busy_slot_ratio: Callable[[str], float]
    ring_position: RingPosition = field(default_factory=lambda: RingPosition("", 0, 1))
    watched_counts: dict[str, int] = field(default_factory=dict)

    def adapt_watched_counts(self) -> None:
        """Follow the demand of each service."""
        for service, size in self.watched_counts.items():
            self.watched_counts[service] = next_watched_count(size, self.busy_slot_ratio(service))

    def select_endpoints(self, announcements: Iterable[EndpointAnnouncement]) -> frozenset[str]:
        """Return the names of the endpoints to watch."""
        by_service: dict[str, list[ZoneMember]] = {}
        for one in announcements:
            for service in one.services:
                member = ZoneMember(one.endpoint, one.availability_zone)
                by_service.setdefault(service, []).append(member)
        chosen: set[str] = set()
        for service, members in by_service.items():
            chosen.update(self._choose_of(service, members))
        return frozenset(chosen)

    def _choose_of(self, service: str, members: list[ZoneMember]) -> list[str]:
        if len(members) <= MAX_WATCHED_COUNT:
            return [member.name for member in members]
        size = self.watched_counts.setdefault(service, INITIAL_WATCHED_COUNT)
        return choose_watched_endpoints(self.ring_position, members, size)
