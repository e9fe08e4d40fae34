"""Heartbeats of endpoints, ordered by life and sequence."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from bergamotchute_model.identifiers import Address


class EndpointPhase(StrEnum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    QUIET = "quiet"
    """No heartbeat came for some time."""

    LEAVING = "leaving"


@dataclass(frozen=True)
class EndpointHeartbeat:
    """The newest heartbeat of an endpoint.

    :param endpoint: its identifier.
    :param born_ms: start of its present life, in Unix milliseconds by its own clock.
    :param sequence: grows with each heartbeat of one life.
    :param slots: requests that it runs at once.
    """

    endpoint: str
    born_ms: int
    sequence: int
    service: str
    address: Address
    availability_zone: str
    slots: int
    phase: EndpointPhase

    @property
    def order(self) -> tuple[int, int]:
        """What sorts the heartbeats of one endpoint."""
        return self.born_ms, self.sequence
