"""The endpoints that an entry knows, with a link to each."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from random import Random

import anyio
from anyio.abc import TaskGroup

from bergamotchute_daemon.endpoint_connector import EndpointConnector
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.scheduling_controller import SchedulingController
from bergamotchute_daemon.watched_endpoint_selector import WatchedEndpointSelector
from bergamotchute_model.attempt_messages import AttemptMessage, AttemptReport, AttemptState
from bergamotchute_model.control_messages import MembershipDelta
from bergamotchute_model.hello import Hello
from bergamotchute_model.identifiers import AttemptId
from bergamotchute_model.membership import EndpointAnnouncement
from bergamotchute_policy.watched_subset import RingPosition
from bergamotchute_wire.link import Dial

REAP_INTERVAL_S = 5.0
"""How often links to lapsed endpoints are looked through."""

UNKNOWN_ENDPOINT_POLL_S = 0.25


@dataclass
class EndpointConnection:
    """A connector and its task.

    :param lapsed: the endpoint's announcement lapsed or another life of it took over.
    """

    connector: EndpointConnector
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    lapsed: bool = False


@dataclass
class EndpointDirectory:
    """Follows the members that the relay tells of: one connector an endpoint's life.

    The scheduler hears of an endpoint while a link to it is open, since nothing else can be sent.
    A lapsed announcement ends new work, not the work in flight: its link stays while attempts use
    it, since losing a relay says nothing about an endpoint.

    :param tasks: where connectors run.
    :param endpoint_selector: chooses the endpoints that get a link.
    :param watched_endpoints: those that have one, or are to have one.
    """

    scheduling_controller: SchedulingController
    dial: Dial[AttemptMessage]
    hello: Hello
    log: EventLog
    random: Random
    tasks: TaskGroup
    endpoint_selector: WatchedEndpointSelector
    watched_endpoints: frozenset[str] = frozenset()
    announcements: dict[str, EndpointAnnouncement] = field(default_factory=dict)
    connections: dict[tuple[str, str], EndpointConnection] = field(default_factory=dict)

    def on_membership(self, delta: MembershipDelta) -> None:
        """Take the relay's word on who is there."""
        lapsed = set(delta.lapsed_endpoints)
        if delta.complete:
            lapsed |= self.announcements.keys() - {one.endpoint for one in delta.endpoints}
        for endpoint in sorted(lapsed):
            self._on_lapse(endpoint)
        for announcement in delta.endpoints:
            self._on_announcement(announcement)
        self.update_watched_endpoints()

    def on_ring_position(self, ring_position: RingPosition) -> None:
        """Take this entry's place in its zone, by which the watched endpoints are chosen."""
        if ring_position != self.endpoint_selector.ring_position:
            self.endpoint_selector.ring_position = ring_position
            self.update_watched_endpoints()

    def update_watched_endpoints(self) -> None:
        """Choose the endpoints to watch; link to new ones, and let go of the others."""
        chosen = self.endpoint_selector.select_endpoints(self.announcements.values())
        for endpoint in sorted(self.watched_endpoints - chosen):
            known = self.announcements.get(endpoint)
            if known is not None:
                self.scheduling_controller.on_endpoint_lapsed(endpoint)
                self._mark_lapsed(endpoint, known.incarnation)
        self.watched_endpoints = chosen
        for endpoint in sorted(chosen):
            self._ensure_link(self.announcements[endpoint])

    def find_connector(self, endpoint: str, incarnation: str) -> EndpointConnector | None:
        """Return the connector of one life of an endpoint."""
        connection = self.connections.get((endpoint, incarnation))
        return None if connection is None or connection.connector.gone else connection.connector

    async def query_attempt_state(
        self, attempt: AttemptId, query_timeout_s: float
    ) -> AttemptReport | None:
        """Ask the agent that was given an attempt what became of it.

        :returns: ``FORGOTTEN`` when another life of the agent is there; ``None`` when the agent
            can't be asked now.
        """
        until = anyio.current_time() + query_timeout_s
        while (left := until - anyio.current_time()) > 0:
            connector = self.find_connector(attempt.endpoint, attempt.incarnation)
            if connector is not None:
                report = await connector.query_attempt_state(attempt, left)
                if report is not None:
                    return report
            known = self.announcements.get(attempt.endpoint)
            if known is not None and known.incarnation != attempt.incarnation:
                return AttemptReport("", attempt, AttemptState.FORGOTTEN)
            if known is not None and connector is None:
                # Not watched: linked to for the question, and let go of when it is answered.
                self._ensure_link(known).lapsed = known.endpoint not in self.watched_endpoints
            await anyio.sleep(min(UNKNOWN_ENDPOINT_POLL_S, max(0.0, left)))
        return None

    async def run_maintenance(self) -> None:
        """Follow the demand, and close links that are let go of once nothing uses them."""
        while True:
            await anyio.sleep(REAP_INTERVAL_S)
            self.endpoint_selector.adapt_watched_counts()
            self.update_watched_endpoints()
            for key, connection in list(self.connections.items()):
                connector = connection.connector
                if connector.gone or (connection.lapsed and not connector.channels):
                    connection.scope.cancel()
                    del self.connections[key]

    def _on_lapse(self, endpoint: str) -> None:
        announcement = self.announcements.pop(endpoint, None)
        if announcement is not None:
            self.scheduling_controller.on_endpoint_lapsed(endpoint)
            self._mark_lapsed(endpoint, announcement.incarnation)

    def _on_announcement(self, announcement: EndpointAnnouncement) -> None:
        endpoint, incarnation = announcement.endpoint, announcement.incarnation
        known = self.announcements.get(endpoint)
        if known is not None and known.incarnation != incarnation:
            self._mark_lapsed(endpoint, known.incarnation)
        self.announcements[endpoint] = announcement
        if endpoint in self.watched_endpoints:
            self._ensure_link(announcement)

    def _ensure_link(self, announcement: EndpointAnnouncement) -> EndpointConnection:
        """Link to an endpoint's life, and tell the scheduler of it once that is open."""
        key = (announcement.endpoint, announcement.incarnation)
        connection = self.connections.get(key)
        if connection is None or connection.connector.gone:
            return self._connect(announcement)
        connection.lapsed = False
        if (
            connection.connector.link is not None
            and announcement.endpoint in self.watched_endpoints
        ):
            self.scheduling_controller.on_announcement(announcement)
        return connection

    def _on_link(self, endpoint: str, incarnation: str, linked: bool) -> None:
        """Let the scheduler use the present life of an endpoint while it can be reached."""
        announcement = self.announcements.get(endpoint)
        if announcement is None or announcement.incarnation != incarnation:
            return
        if endpoint not in self.watched_endpoints:
            return
        if linked:
            self.scheduling_controller.on_announcement(announcement)
        else:
            self.scheduling_controller.on_endpoint_lapsed(endpoint)

    def _mark_lapsed(self, endpoint: str, incarnation: str) -> None:
        connection = self.connections.get((endpoint, incarnation))
        if connection is not None:
            connection.lapsed = True

    def _connect(self, announcement: EndpointAnnouncement) -> EndpointConnection:
        connector = EndpointConnector(
            endpoint=announcement.endpoint,
            incarnation=announcement.incarnation,
            address=announcement.address,
            dial=self.dial,
            hello=self.hello,
            on_load_report=self.scheduling_controller.on_load_report,
            on_link_change=partial(self._on_link, announcement.endpoint, announcement.incarnation),
            log=self.log,
            random=self.random,
        )
        connection = EndpointConnection(connector)
        self.connections[announcement.endpoint, announcement.incarnation] = connection
        self.tasks.start_soon(_run, connection)
        return connection


async def _run(connection: EndpointConnection) -> None:
    """Run a connector until its scope is cancelled."""
    with connection.scope:
        await connection.connector.run()
