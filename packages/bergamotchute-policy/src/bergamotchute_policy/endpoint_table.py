"""The newest heartbeat of each endpoint, received directly or through another control VM."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address

ENDPOINT_RETENTION_S = 60.0
"""Silence after which an endpoint that left or went quiet is removed. Until then its entry is
needed to reject heartbeats that arrive late."""

COLD_EXTENSION_S = 0.05
COLD_REDUCTION_S = 0.5
"""Changes of the time at which an endpoint is warm that are passed on. Heartbeats take a few
milliseconds more or less; too late a time costs little, and too early a one overloads the endpoint.
"""

NEVER_COLD = float("-inf")


@dataclass
class TrackedEndpoint:
    """The newest heartbeat of an endpoint and who monitors the endpoint.

    :param heartbeat: without the time for which the endpoint is cold, which ages.
    :param silent_since: when the last heartbeat arrived or this process took over monitoring, in
        seconds on the runtime's clock.
    :param monitored_by: the control VM that receives the heartbeats and detects when they stop;
        ``None`` for this process.
    :param cold_until: when the endpoint is warm, on the runtime's clock.
    """

    heartbeat: EndpointHeartbeat
    silent_since: float
    monitored_by: Address | None = None
    cold_until: float = NEVER_COLD

    def heartbeat_at(self, now: float) -> EndpointHeartbeat:
        """Return the heartbeat to send now, with the time for which the endpoint is still cold."""
        if self.cold_until <= now:
            return self.heartbeat
        return replace(self.heartbeat, cold_left_s=round(self.cold_until - now, 3))


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
        cold_until, is_cold_changed = _merge_cold_until(heartbeat, known, now)
        if heartbeat.cold_left_s:
            heartbeat = replace(heartbeat, cold_left_s=0.0)
        self.endpoints[heartbeat.endpoint] = TrackedEndpoint(
            heartbeat, now, monitored_by, cold_until
        )
        if known is None or known.monitored_by != monitored_by or is_cold_changed:
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
                changed.append(known.heartbeat_at(now))
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

    def newer_local_heartbeat(
        self, silent: EndpointHeartbeat, now: float
    ) -> EndpointHeartbeat | None:
        """Return the newer heartbeat of an endpoint that another control VM found silent.

        ``None`` unless this process monitors the endpoint and it is ready. Only changed heartbeats
        are passed on, so a control VM that took over the monitoring may have heard of none since.
        """
        known = self.endpoints.get(silent.endpoint)
        if known is None or known.monitored_by is not None:
            return None
        is_newer = known.heartbeat.order > silent.order
        is_ready = known.heartbeat.phase is EndpointPhase.READY
        return known.heartbeat_at(now) if is_newer and is_ready else None

    def local_heartbeats(self, now: float) -> tuple[EndpointHeartbeat, ...]:
        """Return the newest heartbeat of every endpoint that this process monitors, to send now."""
        return tuple(
            known.heartbeat_at(now)
            for known in self.endpoints.values()
            if known.monitored_by is None
        )

    def all_heartbeats(self, now: float) -> tuple[EndpointHeartbeat, ...]:
        """Return the newest heartbeat of every endpoint, to send now."""
        return tuple(known.heartbeat_at(now) for known in self.endpoints.values())

    def cold_left_s(self, endpoint: str, born_ms: int, now: float) -> float:
        """Return for how long an incarnation of an endpoint is still cold; 0 if it is warm."""
        known = self.endpoints.get(endpoint)
        if known is None or known.heartbeat.born_ms != born_ms:
            return 0.0
        return max(0.0, known.cold_until - now)

    def count_cold(self, now: float) -> int:
        """Return the number of cold endpoints."""
        return sum(known.cold_until > now for known in self.endpoints.values())

    def heartbeats(self) -> tuple[EndpointHeartbeat, ...]:
        """Return the newest heartbeat of every endpoint, without the time for which it is cold."""
        return tuple(known.heartbeat for known in self.endpoints.values())


def _merge_cold_until(
    heartbeat: EndpointHeartbeat, known: TrackedEndpoint | None, now: float
) -> tuple[float, bool]:
    """Return when an endpoint is warm, and whether a heartbeat changed that enough to pass it on."""
    told = now + heartbeat.cold_left_s if heartbeat.cold_left_s > 0 else NEVER_COLD
    if known is None or known.heartbeat.born_ms != heartbeat.born_ms:
        return told, told > now
    change_s = max(told, now) - max(known.cold_until, now)
    if change_s > COLD_EXTENSION_S or change_s < -COLD_REDUCTION_S:
        return told, True
    return known.cold_until, False


def _supersedes(newer: EndpointHeartbeat, older: EndpointHeartbeat) -> bool:
    """Return whether a heartbeat replaces another.

    A quiet mark carries the order of the last heartbeat received, and replaces it.
    """
    if newer.order == older.order:
        return newer.phase is EndpointPhase.SILENT and older.phase is EndpointPhase.READY
    return newer.order > older.order
