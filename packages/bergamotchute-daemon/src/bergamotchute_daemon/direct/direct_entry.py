"""An entry that sends callers' requests to endpoints directly."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

import anyio

from bergamotchute_daemon.configuration_follower import ConfigurationFollower
from bergamotchute_daemon.control_links import ControlLinks
from bergamotchute_daemon.direct.admitted_request import RequestRefused
from bergamotchute_daemon.direct.direct_forwarder import DirectForwarder
from bergamotchute_daemon.direct.filters import admit_request, require_routing_table
from bergamotchute_daemon.direct.request_format import RequestFormat
from bergamotchute_daemon.direct.routing_table import RoutingTable
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.heartbeat_updates import apply_heartbeat
from bergamotchute_model import events
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.evacuations import EvacuationsInForce
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    ConfigurationText,
    ConfigurationVersion,
    ControlGroup,
    DepartureSeen,
    DeparturesRecorded,
    EntryState,
    HeartbeatsReceived,
    LoadsReported,
    NodeMessage,
    RankLocation,
    RankLocations,
)
from bergamotchute_model.prompt_parts import PromptEvidence
from bergamotchute_model.rate_limits import PermitAnswer, RateLimitsReported
from bergamotchute_model.versioned_configuration import RouteRule, VersionedConfiguration
from bergamotchute_policy.endpoint_subset import nested_subsets
from bergamotchute_policy.endpoint_table import EndpointTable
from bergamotchute_policy.evacuation_table import EvacuationTable
from bergamotchute_wire.http1_server import CallerRequest, Http1Server, ResponseWriter, ServerLimits

FIRST_CONFIGURATION_TIMEOUT_S = 0.25
"""Longest time that a request waits at an entry that has just started for its configuration.

The timeout of its route is not known then. Operators allow half a second beyond it, however short it
is.
"""

CONFIGURATION_RETRY_AFTER_S = 0.3
"""Retry delay for callers of an entry whose first configuration is on its way."""

NO_LEADER_RETRY_AFTER_S = 2.2
"""Retry delay for callers while no control VM is known to have a leader, as after the restart of all.

Callers return once or twice, and cut the delay to a third of the time that they have left. After the
restart of all VMs the configuration comes one to two seconds after the start of an entry.
"""

CLEANUP_INTERVAL_S = 1.0

DRAIN_ACCEPT_S = 2.6
"""Time for which a stopping entry still accepts requests.

It covers the lifetime of the entry's address and one look-up in the directory, after which no
caller uses the address.
"""


@dataclass
class DirectEntry:
    """The state and message handlers of an entry.

    :param drain_bound_s: the longest that a stop may take, in seconds.
    :param configured: set once the first configuration is in force.
    :param endpoints_by_service: the endpoints that may be sent requests, without evacuated ones.
    :param subsets_by_service: growing subsets of the endpoints of each service, smallest first.
    """

    name: str
    address: Address
    availability_zone: str
    request_format: RequestFormat
    endpoint_table: EndpointTable
    forwarder: DirectForwarder
    follower: ConfigurationFollower
    links: ControlLinks
    server: Http1Server
    random: Random
    log: EventLog
    drain_bound_s: float
    routing_table: RoutingTable | None = None
    configured: anyio.Event = field(default_factory=anyio.Event)
    stopping: bool = False
    evacuations: EvacuationTable = field(default_factory=EvacuationTable)
    endpoints_by_address: dict[Address, EndpointHeartbeat] = field(default_factory=dict)
    endpoints_by_service: dict[str, list[EndpointHeartbeat]] = field(default_factory=dict)
    subsets_by_service: dict[str, list[list[EndpointHeartbeat]]] = field(default_factory=dict)
    now: Callable[[], float] = anyio.current_time

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.links.run)
            tasks.start_soon(self.follower.run)
            tasks.start_soon(self.forwarder.chooser.slots.run)
            tasks.start_soon(self.server.serve, self.address)
            tasks.start_soon(self._forget_removed_endpoints)

    @property
    def ready(self) -> bool:
        """Whether callers may be sent to this entry."""
        return self.routing_table is not None and not self.stopping

    def greeting(self) -> Iterable[NodeMessage]:
        """Return the messages that introduce this entry when a link opens."""
        state = EntryState(
            self.name,
            self.address,
            self.availability_zone,
            self.ready,
            accepts_prompt_evidence=True,
            accepts_rate_limits=True,
            accepts_evacuations=True,
        )
        return (state,)

    async def drain(self) -> None:
        """Announce the stop, answer the callers that still come, and return when all are served.

        Requests that can't be answered in the time that is left are refused, not sent.
        """
        self.stopping = True
        self.forwarder.stop_at(self.now() + self.drain_bound_s)
        self.server.stopping = True
        self.links.post_all(next(iter(self.greeting())))
        with anyio.move_on_after(self.drain_bound_s):
            await anyio.sleep(DRAIN_ACCEPT_S)
            await self.server.close()
            await self.server.wait_until_idle()
        self.server.refuse()

    def on_message(self, address: Address, message: NodeMessage) -> None:
        """Handle a message from a control VM."""
        match message:
            case ConfigurationVersion():
                self.follower.on_version(address, message)
            case ConfigurationText():
                self.follower.on_text(address, message)
            case HeartbeatsReceived(heartbeats):
                changes = [
                    apply_heartbeat(self.endpoint_table, heartbeat, self.log)
                    for heartbeat in heartbeats
                ]
                if any(changes):
                    self._index_endpoints()
            case DeparturesRecorded(departures):
                self._on_departures(departures)
            case EvacuationsInForce():
                self._on_evacuations(message)
            case LoadsReported():
                self._update_loads(message)
            case ControlGroup():
                self.forwarder.retries.set_entry_count(message.entry_count)
            case RankLocations(places):
                for place in places:
                    self._update_rank_place(place)
            case _:
                self._on_shared_knowledge(message)

    def _on_departures(self, departures: Iterable[tuple[str, int]]) -> None:
        """Take endpoints that leave out of use, unless another control VM told of all of them."""
        new = [each for each in departures if self.endpoint_table.on_departure(*each)]
        for endpoint, born_ms in new:
            self.log.emit(events.MEMBER_DRAINING, endpoint=endpoint, born_ms=born_ms)
        if new:
            self._index_endpoints()

    def _on_evacuations(self, message: EvacuationsInForce) -> None:
        """Stop or resume sending requests to the endpoints of zones."""
        changed = self.evacuations.update(message.zones)
        for zone in changed:
            self.log.emit(
                events.EVACUATION_CHANGED,
                availability_zone=zone.availability_zone,
                is_evacuated=zone.is_evacuated,
                version=zone.version,
            )
        if changed:
            self._index_endpoints()

    def _on_shared_knowledge(self, message: NodeMessage) -> None:
        """Handle what other entries found out about requests and endpoints."""
        match message:
            case PromptEvidence():
                self.forwarder.prompt_guard.on_evidence(message)
            case RateLimitsReported() | PermitAnswer():
                self.forwarder.rate_permits.on_message(message)

    def _update_loads(self, report: LoadsReported) -> None:
        placement, now = self.forwarder.placement, self.now()
        for address, requests in report.loads:
            heartbeat = self.endpoints_by_address.get(address)
            if heartbeat is not None:
                placement.on_load_reported(heartbeat, requests, now)
        for address, pace in report.paces:
            heartbeat = self.endpoints_by_address.get(address)
            if heartbeat is not None and placement.on_pace_reported(heartbeat, pace, now):
                self.log.emit(
                    events.ENDPOINT_PACE_CHANGED, endpoint=heartbeat.endpoint, pace=round(pace, 2)
                )

    def _update_rank_place(self, place: RankLocation) -> None:
        self.forwarder.chooser.slots.set_agent(place.endpoint, place.agent)
        if self.forwarder.placement.on_group_state(place.endpoint, place.group, place.takes_work):
            self.log.emit(events.GROUP_CHANGED, group=place.group, open=place.takes_work)

    def _index_endpoints(self) -> None:
        """Index the endpoints by address and service, and update those this entry uses.

        If several endpoints share an address, only the newest incarnation counts.
        """
        newest: dict[Address, EndpointHeartbeat] = {}
        for heartbeat in self.endpoint_table.heartbeats():
            known = newest.get(heartbeat.address)
            if known is None or heartbeat.born_ms > known.born_ms:
                newest[heartbeat.address] = heartbeat
        self.endpoints_by_address = newest
        self.endpoints_by_service = {}
        for heartbeat in newest.values():
            if not self.evacuations.is_evacuated(heartbeat):
                self.endpoints_by_service.setdefault(heartbeat.service, []).append(heartbeat)
        self.subsets_by_service = {
            service: nested_subsets(self.name, self.availability_zone, endpoints)
            for service, endpoints in self.endpoints_by_service.items()
        }
        used = (each.address for subsets in self.subsets_by_service.values() for each in subsets[0])
        self.forwarder.chooser.slots.set_used_endpoints(frozenset(used))
        self.forwarder.notify_endpoints_changed()

    def on_endpoint_leaving(self, endpoint: EndpointHeartbeat) -> None:
        """Stop using an endpoint that announced its departure, and have the departure recorded.

        The control group tells the other entries of a recorded departure.
        """
        if not self.endpoint_table.on_departure(endpoint.endpoint, endpoint.born_ms):
            return
        self.log.emit(
            events.MEMBER_DRAINING,
            endpoint=endpoint.endpoint,
            born_ms=endpoint.born_ms,
            told_by="answer",
        )
        self._index_endpoints()
        self.links.post_to_one(DepartureSeen(endpoint.endpoint, endpoint.born_ms))

    def endpoints(self, service: str) -> list[EndpointHeartbeat]:
        """Return the endpoints of a service that this entry uses now.

        This is the smallest subset with a free slot. If all slots are taken, it is the smallest
        subset with a healthy endpoint, or else every endpoint.
        """
        subsets = self.subsets_by_service.get(service, [])
        placement, now = self.forwarder.placement, self.now()
        with_room = (subset for subset in subsets if placement.has_free_slot(subset, now))
        sound = (subset for subset in subsets if placement.has_healthy_endpoint(subset, (), now))
        return (
            next(with_room, None) or next(sound, None) or self.endpoints_by_service.get(service, [])
        )

    def is_evacuated(self, service: str) -> bool:
        """Return whether a service has endpoints, all of them in evacuated zones."""
        return service not in self.endpoints_by_service and any(
            heartbeat.service == service for heartbeat in self.endpoints_by_address.values()
        )

    def on_configuration(self, configuration: VersionedConfiguration) -> None:
        """Route requests by a newer configuration."""
        is_first = self.routing_table is None
        self.routing_table = RoutingTable(configuration)
        self.forwarder.placement.engine_timings = self.routing_table.engine_timings
        self.forwarder.rate_permits.cold_limits.set_services(configuration.services)
        limits = configuration.limits
        self.server.limits = ServerLimits(
            limits.head_bytes, limits.body_bytes, limits.head_timeout_s, limits.idle_timeout_s
        )
        self.configured.set()
        if is_first:
            self.links.post_all(next(iter(self.greeting())))

    def gauges(self) -> dict[str, float]:
        """Return the gauges of this entry, by metric name."""
        phases = [heartbeat.phase for heartbeat in self.endpoint_table.heartbeats()]
        endpoints = {f"endpoints_{phase}": float(phases.count(phase)) for phase in EndpointPhase}
        return {
            "in_flight": float(self.server.in_flight),
            "configuration_version": float(self.follower.version),
            "control_links": float(len(self.links.linked)),
            "ready": float(self.ready),
            "sound_parents": float(len(self.links.sound_parents)),
            "longest_loop_delay_s": self.links.loop_monitor.longest_delay_s,
            **endpoints,
            "evacuated_zones": float(len(self.evacuations.evacuated_zones())),
            **self.forwarder.prompt_guard.table.gauges(),
            **self.forwarder.rate_permits.gauges(),
            **self.forwarder.hedges.gauges(),
            **self.forwarder.unread.gauges(),
        }

    async def _forget_removed_endpoints(self) -> None:
        """Drop the load records of endpoints that left the table, at a fixed interval."""
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_S)
            self.forwarder.placement.drop_unknown_endpoints(self.endpoint_table.endpoints.keys())
            self.forwarder.prompt_guard.table.update()

    async def handle_request(self, request: CallerRequest, writer: ResponseWriter) -> None:
        """Respond to one request of a caller."""
        arrived_at = self.now()
        metadata = self.request_format.read_request(request.head)
        with anyio.move_on_after(FIRST_CONFIGURATION_TIMEOUT_S):
            await self.configured.wait()
        route: RouteRule | None = None
        try:
            routing_table = require_routing_table(
                self.routing_table, self._configuration_retry_after_s()
            )
            admitted = admit_request(routing_table, request, metadata, self.random, arrived_at)
            route = admitted.route
            await self.forwarder.forward_request(admitted, writer)
            self.forwarder.metrics.on_request(route.kind, writer.status if writer.finished else 0)
        except RequestRefused as refusal:
            self.forwarder.metrics.on_request(route.kind if route else None, refusal.status)
            self._log_refusal(refusal, metadata.request_id, route, arrived_at)
            if not writer.started:
                await writer.respond(refusal.status, refusal.headers, refusal.reason.encode())

    def _configuration_retry_after_s(self) -> float:
        """Return when callers should return to an entry without a configuration, in seconds."""
        return CONFIGURATION_RETRY_AFTER_S if self.links.sound_parents else NO_LEADER_RETRY_AFTER_S

    def _log_refusal(
        self,
        refusal: RequestRefused,
        request_id: str,
        route: RouteRule | None,
        arrived_at: float,
    ) -> None:
        """Log why a request was refused, and how long it took.

        :param route: the route of the request; ``None`` if it has none.
        :param arrived_at: when the request was read completely, on the runtime's clock.
        """
        self.log.emit(
            events.REQUEST_REFUSED,
            request_id=request_id,
            status=refusal.status,
            reason=refusal.reason,
            revision=self.follower.version,
            took_ms=round(1000 * (self.now() - arrived_at)),
            route=route.name if route else "",
            timeout_ms=round(route.timeout_s * 1000) if route else -1,
        )
