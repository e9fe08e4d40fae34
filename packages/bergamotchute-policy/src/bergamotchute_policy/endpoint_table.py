"""The newest heartbeat of each endpoint, whichever way it came."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address

ENDPOINT_FORGOTTEN_S = 60.0
"""Silence after which an endpoint that left or went quiet is dropped; late words come sooner."""


@dataclass
class KnownEndpoint:
    """An endpoint and when it was last heard.

    :param heard_at: on the runtime's clock, in seconds.
    :param heard_by: the control VM that hears it and notices its silence; ``None`` for this one.
    """

    heartbeat: EndpointHeartbeat
    heard_at: float
    heard_by: Address | None = None


@dataclass
class EndpointTable:
    """Orders heartbeats by life and sequence, so that late ones change nothing.

    :param quiet_s: silence after which an endpoint counts as quiet, in seconds.
    :param departed: the newest life of each endpoint that left, by start in Unix milliseconds.
    """

    quiet_s: float
    endpoints: dict[str, KnownEndpoint] = field(default_factory=dict)
    departed: dict[str, int] = field(default_factory=dict)

    def on_heartbeat(
        self, heartbeat: EndpointHeartbeat, now: float, heard_by: Address | None = None
    ) -> bool:
        """Take a heartbeat; return whether it says something that others should hear.

        :param heard_by: the control VM that passed it on; ``None`` where it came here.
        """
        known = self.endpoints.get(heartbeat.endpoint)
        if known is not None and not _follows(heartbeat, known.heartbeat):
            return False
        if self.has_departed(heartbeat.endpoint, heartbeat.born_ms):
            heartbeat = replace(heartbeat, phase=EndpointPhase.LEAVING)
        self.endpoints[heartbeat.endpoint] = KnownEndpoint(heartbeat, now, heard_by)
        if known is None or known.heard_by != heard_by:
            return True
        return replace(heartbeat, sequence=known.heartbeat.sequence) != known.heartbeat

    def on_departure(self, endpoint: str, born_ms: int) -> bool:
        """Note that one life of an endpoint takes no new work; return whether that is news."""
        if self.departed.get(endpoint, -1) >= born_ms:
            return False
        self.departed[endpoint] = born_ms
        known = self.endpoints.get(endpoint)
        if known is not None and known.heartbeat.born_ms <= born_ms:
            known.heartbeat = replace(known.heartbeat, phase=EndpointPhase.LEAVING)
        return True

    def has_departed(self, endpoint: str, born_ms: int) -> bool:
        """Return whether that life of an endpoint, or a later one, left."""
        return self.departed.get(endpoint, -1) >= born_ms

    def silence(self, now: float) -> list[EndpointHeartbeat]:
        """Mark endpoints that fell silent as quiet, and return what is said of them now."""
        changed: list[EndpointHeartbeat] = []
        for endpoint, known in list(self.endpoints.items()):
            silent_s = now - known.heard_at
            if known.heard_by is not None:
                continue
            if known.heartbeat.phase is EndpointPhase.READY and silent_s > self.quiet_s:
                known.heartbeat = replace(known.heartbeat, phase=EndpointPhase.QUIET)
                changed.append(known.heartbeat)
            elif known.heartbeat.phase is not EndpointPhase.READY and (
                silent_s > ENDPOINT_FORGOTTEN_S
            ):
                del self.endpoints[endpoint]
        return changed

    def on_hearer_lost(self, hearer: Address, now: float) -> None:
        """Notice the silence of what a lost control VM heard, unless another tells of it."""
        for known in self.endpoints.values():
            if known.heard_by == hearer:
                known.heard_by = None
                known.heard_at = now

    def heard_here(self) -> tuple[EndpointHeartbeat, ...]:
        """Return the newest heartbeat of every endpoint that is heard here."""
        return tuple(known.heartbeat for known in self.endpoints.values() if known.heard_by is None)

    def heartbeats(self) -> tuple[EndpointHeartbeat, ...]:
        """Return the newest heartbeat of every endpoint."""
        return tuple(known.heartbeat for known in self.endpoints.values())


def _follows(newer: EndpointHeartbeat, older: EndpointHeartbeat) -> bool:
    """Return whether a heartbeat is later; silence is noticed after the last one was heard."""
    if newer.order == older.order:
        return newer.phase is EndpointPhase.QUIET and older.phase is EndpointPhase.READY
    return newer.order > older.order
