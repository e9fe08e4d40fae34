"""An entry that calls endpoints itself."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

import anyio

from bergamotchute_daemon.configuration_follower import ConfigurationFollower
from bergamotchute_daemon.control_links import ControlLinks
from bergamotchute_daemon.direct.dialect import Dialect
from bergamotchute_daemon.direct.direct_request import Refusal
from bergamotchute_daemon.direct.direct_runner import DirectRunner
from bergamotchute_daemon.direct.filters import admit
from bergamotchute_daemon.direct.routing_table import RoutingTable
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.heartbeat_intake import take_heartbeat
from bergamotchute_model import events
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    ConfigurationText,
    ConfigurationVersion,
    DepartureSeen,
    DeparturesRecorded,
    EntryState,
    HeartbeatsHeard,
    LoadsTold,
    NodeMessage,
    RankPlace,
    RankPlaces,
)
from bergamotchute_model.whole_configuration import RouteKind, WholeConfiguration
from bergamotchute_policy.endpoint_subset import growing_parts
from bergamotchute_policy.endpoint_table import EndpointTable
from bergamotchute_wire.http1_server import AnswerWriter, CallerRequest, Http1Server, ServerLimits

CONFIGURATION_WAIT_S = 1.2
"""How long a request waits at an entry that has just started for its first configuration.

Callers of streams give up after two seconds; a restarted control group needs about as long.
"""

TIDY_S = 1.0

DRAIN_OPEN_S = 2.6
"""How long a stopping entry takes requests: a lifetime of its address and a look at the directory.

What it takes then can end before the stop must: a long draft lasts three seconds.
"""


@dataclass
class DirectEntry:
    """What an entry knows and serves.

    :param drain_bound_s: the longest that a stop may take, in seconds.
    """

    name: str
    address: Address
    availability_zone: str
    dialect: Dialect
    table: EndpointTable
    runner: DirectRunner
    follower: ConfigurationFollower
    links: ControlLinks
    server: Http1Server
    random: Random
    log: EventLog
    drain_bound_s: float
    routing: RoutingTable | None = None
    routed: anyio.Event = field(default_factory=anyio.Event)
    stopping: bool = False
    by_address: dict[Address, EndpointHeartbeat] = field(default_factory=dict)
    by_service: dict[str, list[EndpointHeartbeat]] = field(default_factory=dict)
    parts: dict[str, list[list[EndpointHeartbeat]]] = field(default_factory=dict)
    now: Callable[[], float] = anyio.current_time

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.links.run)
            tasks.start_soon(self.follower.run)
            tasks.start_soon(self.runner.slots.run)
            tasks.start_soon(self.server.serve, self.address)
            tasks.start_soon(self._tidy)

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.routing is not None and not self.stopping

    def greeting(self) -> Iterable[NodeMessage]:
        """Say what this entry is, at the beginning of a link."""
        return (EntryState(self.name, self.address, self.availability_zone, self.ready),)

    async def drain(self) -> None:
        """Take no new callers, answer those that still come, and return once none is served."""
        self.stopping = True
        self.server.stopping = True
        self.links.post_all(next(iter(self.greeting())))
        with anyio.move_on_after(self.drain_bound_s):
            await anyio.sleep(DRAIN_OPEN_S)
            await self.server.close()
            await self.server.wait_idle()

    def on_message(self, address: Address, message: NodeMessage) -> None:
        """Take what a control VM says."""
        match message:
            case ConfigurationVersion():
                self.follower.on_version(address, message)
            case ConfigurationText():
                self.follower.on_text(message)
            case HeartbeatsHeard(heartbeats):
                for heartbeat in heartbeats:
                    take_heartbeat(self.table, heartbeat, self.log)
                self._arrange()
            case DeparturesRecorded(departures):
                for endpoint, born_ms in departures:
                    if self.table.on_departure(endpoint, born_ms):
                        self.log.emit(events.MEMBER_DRAINING, endpoint=endpoint, born_ms=born_ms)
                self._arrange()
            case LoadsTold(loads):
                self._on_loads(loads)
            case RankPlaces(places):
                for place in places:
                    self._on_place(place)
            case _:
                pass

    def _on_loads(self, loads: tuple[tuple[Address, int], ...]) -> None:
        for place, requests in loads:
            heartbeat = self.by_address.get(place)
            if heartbeat is not None:
                self.runner.placement.on_told(heartbeat, requests, self.now())

    def _on_place(self, place: RankPlace) -> None:
        self.runner.slots.on_agent(place.endpoint, place.agent)
        groups = self.runner.placement.groups
        if groups.on_place(place.endpoint, place.group, place.takes_work):
            self.log.emit(events.GROUP_CHANGED, group=place.group, open=place.takes_work)

    def _arrange(self) -> None:
        """Sort the endpoints by service; at one address, only the newest life counts."""
        newest: dict[Address, EndpointHeartbeat] = {}
        for heartbeat in self.table.heartbeats():
            known = newest.get(heartbeat.address)
            if known is None or heartbeat.born_ms > known.born_ms:
                newest[heartbeat.address] = heartbeat
        self.by_address = newest
        self.by_service = {}
        for heartbeat in newest.values():
            self.by_service.setdefault(heartbeat.service, []).append(heartbeat)
        self.parts = {
            service: growing_parts(self.name, self.availability_zone, endpoints)
            for service, endpoints in self.by_service.items()
        }
        used = (each.address for parts in self.parts.values() for each in parts[0])
        self.runner.slots.use(frozenset(used))
        self.runner.endpoints_changed()

    def on_leaving(self, endpoint: EndpointHeartbeat) -> None:
        """Take an endpoint's own word that it leaves, and have it recorded for the others."""
        if not self.table.on_departure(endpoint.endpoint, endpoint.born_ms):
            return
        self.log.emit(
            events.MEMBER_DRAINING,
            endpoint=endpoint.endpoint,
            born_ms=endpoint.born_ms,
            told_by="answer",
        )
        self._arrange()
        self.links.post_any(DepartureSeen(endpoint.endpoint, endpoint.born_ms))

    def endpoints(self, service: str) -> list[EndpointHeartbeat]:
        """Return the endpoints of a service that this entry uses now.

        These are its part, or the smallest larger one with room. While all are full it is its part.
        """
        parts = self.parts.get(service, [])
        placement, now = self.runner.placement, self.now()
        roomy = (part for part in parts if placement.has_room(part, now))
        sound = (part for part in parts if placement.has_sound(part, (), now))
        return next(roomy, None) or next(sound, None) or self.by_service.get(service, [])

    def on_configuration(self, configuration: WholeConfiguration) -> None:
        """Route by a newer configuration."""
        first = self.routing is None
        self.routing = RoutingTable(configuration)
        limits = configuration.limits
        self.server.limits = ServerLimits(
            limits.head_bytes, limits.body_bytes, limits.head_timeout_s, limits.idle_timeout_s
        )
        self.routed.set()
        if first:
            self.links.post_all(next(iter(self.greeting())))

    def gauges(self) -> dict[str, float]:
        """Return the state of this entry for its metrics."""
        heard = [heartbeat.phase for heartbeat in self.table.heartbeats()]
        endpoints = {f"endpoints_{phase}": float(heard.count(phase)) for phase in EndpointPhase}
        return {
            "in_flight": float(self.server.in_flight),
            "configuration_version": float(self.follower.version),
            "control_links": float(len(self.links.linked)),
            "ready": float(self.ready),
            **endpoints,
        }

    async def _tidy(self) -> None:
        while True:
            await anyio.sleep(TIDY_S)
            self.runner.placement.forget(self.table.endpoints.keys())

    async def handle(self, request: CallerRequest, writer: AnswerWriter) -> None:
        """Answer one request of a caller."""
        wishes = self.dialect.read_request(request.head)
        with anyio.move_on_after(CONFIGURATION_WAIT_S):
            await self.routed.wait()
        kind: RouteKind | None = None
        try:
            admitted = admit(self.routing, request, wishes, self.random)
            kind = admitted.route.kind
            await self.runner.run(admitted, writer)
            self.runner.metrics.on_request(kind, writer.status if writer.finished else 0)
        except Refusal as refusal:
            self.runner.metrics.on_request(kind, refusal.status)
            self.log.emit(
                events.REQUEST_REFUSED,
                request_id=wishes.request_id,
                status=refusal.status,
                reason=refusal.reason,
                revision=self.follower.version,
            )
            await writer.respond(refusal.status, refusal.headers, refusal.reason.encode())
