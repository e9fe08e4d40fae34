"""The evacuations that an entry knows, in the order in which the control log recorded them.

Several control VMs tell an entry of evacuations, and one that lags tells it older ones late. Only the
version decides, so that an evacuation which has ended never returns by an older message.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.evacuations import ZoneEvacuation


@dataclass
class EvacuationTable:
    """Keeps the newest evacuation of each availability zone.

    :param newest: by availability zone.
    """

    newest: dict[str, ZoneEvacuation] = field(default_factory=dict)

    def update(self, zones: Iterable[ZoneEvacuation]) -> list[ZoneEvacuation]:
        """Record evacuations; return those that change whether a zone may be sent requests."""
        changed: list[ZoneEvacuation] = []
        for zone in zones:
            known = self.newest.get(zone.availability_zone)
            if known is not None and known.version >= zone.version:
                continue
            self.newest[zone.availability_zone] = zone
            if zone.is_evacuated != (known is not None and known.is_evacuated):
                changed.append(zone)
        return changed

    def evacuated_zones(self) -> frozenset[str]:
        """Return the availability zones whose endpoints get no requests."""
        return frozenset(name for name, zone in self.newest.items() if zone.is_evacuated)

    def is_evacuated(self, endpoint: EndpointHeartbeat) -> bool:
        """Return whether an endpoint gets no requests because its zone is evacuated."""
        known = self.newest.get(endpoint.availability_zone)
        return known is not None and known.is_evacuated
