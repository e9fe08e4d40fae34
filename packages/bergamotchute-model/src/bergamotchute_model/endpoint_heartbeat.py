"""Heartbeats of endpoints, ordered by incarnation and sequence."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from bergamotchute_model.identifiers import Address


class EndpointPhase(StrEnum):
    """Whether an endpoint accepts new work."""

    READY = "ready"
    SILENT = "quiet"
    """No heartbeat was received for some time."""

    LEAVING = "leaving"


@dataclass(frozen=True)
class EndpointHeartbeat:
    """The newest heartbeat of an endpoint.

    :param endpoint: identifier of the endpoint.
    :param born_ms: start of the current incarnation, in Unix milliseconds by the endpoint's clock.
    :param sequence: increases with each heartbeat of one incarnation.
    :param slots: count of requests that the endpoint can run concurrently.
    :param cold_left_s: for how long the endpoint is still cold, counted from the time at which this
        was sent, in seconds.
    """

    endpoint: str
    born_ms: int
    sequence: int
    service: str
    address: Address
    availability_zone: str
    slots: int
    phase: EndpointPhase
    cold_left_s: float = 0.0

    @property
    def order(self) -> tuple[int, int]:
        """Sort key for the heartbeats of one endpoint."""
        return self.born_ms, self.sequence
