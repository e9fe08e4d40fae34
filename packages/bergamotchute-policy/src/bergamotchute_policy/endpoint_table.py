"""The newest heartbeat of each endpoint, received directly or through another control VM."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address

ENDPOINT_RETENTION_S = 60.0
"""Silence after which an endpoint that left or went quiet is removed. Until then its entry is
needed to reject heartbeats that arrive late."""


@dataclass
class TrackedEndpoint:
    """The newest heartbeat of an endpoint and who monitors the endpoint.

    :param silent_since: when the last heartbeat arrived or this process took over monitoring, in
        seconds on the runtime's clock.
    :param monitored_by: the control VM that receives the heartbeats and detects when they stop;
        ``None`` for this process.
    """

    heartbeat: EndpointHeartbeat
    silent_since: float
    monitored_by: Address | None = None


@dataclass
class EndpointTable:
    """Keeps the newest heartbeat of each endpoint and ignores those that arrive late.

    Heartbeats are ordered by the start of the endpoint's process, then by sequence.

    :param quiet_timeout_s: silence after which an endpoint counts as quiet, in seconds.
    :param departed_born_ms: by endpoint that left, the start of the newest process that left, in
        Unix milliseconds.
    """

    quiet_timeout_s: float
    endpoints: dict[str, TrackedEndpoint] = field(default_factory=dict)
    departed_born_ms: dict[str, int] = field(default_factory=dict)

    def on_heartbeat(
        self, heartbeat: EndpointHeartbeat, now: float, monitored_by: Address | None = None
    ) -> bool:
        """Record a heartbeat; return whether it has news to pass on to others.

        :param monitored_by: the control VM that passed the heartbeat on; ``None`` if the endpoint
            sent it to this process.
        """
        known = self.endpoints.get(heartbeat.endpoint)
        if known is not None and not _supersedes(heartbeat, known.heartbeat):
            return False
        if self.has_departed(heartbeat.endpoint, heartbeat.born_ms):
            heartbeat = replace(heartbeat, phase=EndpointPhase.LEAVING)
        self.endpoints[heartbeat.endpoint] = TrackedEndpoint(heartbeat, now, monitored_by)
        if known is None or known.monitored_by != monitored_by:
            return True
        return replace(heartbeat, sequence=known.heartbeat.sequence) != known.heartbeat

    def on_departure(self, endpoint: str, born_ms: int) -> bool:
        """Record that a process of an endpoint takes no new work; return whether this is new.

        :param born_ms: start of the process, in Unix milliseconds.
        """
        if self.departed_born_ms.get(endpoint, -1) >= born_ms:
            return False
        self.departed_born_ms[endpoint] = born_ms
        known = self.endpoints.get(endpoint)
        if known is not None and known.heartbeat.born_ms <= born_ms:
            known.heartbeat = replace(known.heartbeat, phase=EndpointPhase.LEAVING)
        return True

    def has_departed(self, endpoint: str, born_ms: int) -> bool:
        """Return whether a process of an endpoint, or a later one, has left.

        :param born_ms: start of the process, in Unix milliseconds.
        """
        return self.departed_born_ms.get(endpoint, -1) >= born_ms

    def mark_silent_endpoints(self, now: float) -> list[EndpointHeartbeat]:
        """Mark silent endpoints as quiet and return their changed heartbeats.

        Endpoints that are no longer ready are removed after a longer silence.
        """
        changed: list[EndpointHeartbeat] = []
        for endpoint, known in list(self.endpoints.items()):
            silent_s = now - known.silent_since
            if known.monitored_by is not None:
                continue
            if known.heartbeat.phase is EndpointPhase.READY and silent_s > self.quiet_timeout_s:
                known.heartbeat = replace(known.heartbeat, phase=EndpointPhase.SILENT)
                changed.append(known.heartbeat)
            elif known.heartbeat.phase is not EndpointPhase.READY and (
                silent_s > ENDPOINT_RETENTION_S
            ):
                del self.endpoints[endpoint]
        return changed

    def on_monitor_lost(self, monitor: Address, now: float) -> None:
        """Take over the monitoring of the endpoints that a lost control VM monitored.

        A heartbeat that another control VM passes on hands the endpoint over to that VM.
        """
        for known in self.endpoints.values():
            if known.monitored_by == monitor:
                known.monitored_by = None
                known.silent_since = now

    def newer_local_heartbeat(self, silent: EndpointHeartbeat) -> EndpointHeartbeat | None:
        """Return the newer heartbeat of an endpoint that another control VM found silent.

        ``None`` unless this process monitors the endpoint and it is ready. Only changed heartbeats
        are passed on, so a control VM that took over the monitoring may have heard of none since.
        """
        known = self.endpoints.get(silent.endpoint)
        if known is None or known.monitored_by is not None:
            return None
        is_newer = known.heartbeat.order > silent.order
        return (
            known.heartbeat if is_newer and known.heartbeat.phase is EndpointPhase.READY else None
        )

    def local_heartbeats(self) -> tuple[EndpointHeartbeat, ...]:
        """Return the newest heartbeat of every endpoint that this process monitors."""
        return tuple(
            known.heartbeat for known in self.endpoints.values() if known.monitored_by is None
        )

    def heartbeats(self) -> tuple[EndpointHeartbeat, ...]:
        """Return the newest heartbeat of every endpoint."""
        return tuple(known.heartbeat for known in self.endpoints.values())


def _supersedes(newer: EndpointHeartbeat, older: EndpointHeartbeat) -> bool:
    """Return whether a heartbeat replaces another.

    A quiet mark carries the order of the last heartbeat received, and replaces it.
    """
    if newer.order == older.order:
        return newer.phase is EndpointPhase.SILENT and older.phase is EndpointPhase.READY
    return newer.order > older.order
