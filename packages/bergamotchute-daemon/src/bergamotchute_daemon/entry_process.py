"""An entry: its parts once wired, how they run and how they stop."""

from __future__ import annotations

from dataclasses import dataclass, replace

import anyio

from bergamotchute_daemon.configuration_holder import ConfigurationHolder
from bergamotchute_daemon.control_client import ControlClient
from bergamotchute_daemon.endpoint_directory import EndpointDirectory
from bergamotchute_daemon.entry_app import EntryApp
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.metrics import Metrics
from bergamotchute_daemon.planned_change_controller import PlannedChangeController
from bergamotchute_daemon.relay import Relay
from bergamotchute_daemon.scheduling_controller import SchedulingController
from bergamotchute_daemon.settings import EntrySettings
from bergamotchute_daemon.team_limiter import TeamLimiter
from bergamotchute_daemon.view_holder import ViewHolder
from bergamotchute_daemon.voter import Voter
from bergamotchute_model import events
from bergamotchute_model.configuration import Configuration
from bergamotchute_model.control_messages import Announce, MembershipDelta
from bergamotchute_model.membership import EntryAnnouncement
from bergamotchute_model.problem import ProblemCode

CAPACITY_REQUESTS = 1_000
"""Requests in flight at which an entry counts as full."""

SPARE_STEPS = 8
"""Spare capacity is told in this many steps, so that small changes aren't news."""

TELL_DRAIN_S = 0.5
"""How long a stopping entry gives its announcement to leave."""


@dataclass
class EntryProcess:
    """One entry.

    :param app: answers callers and operators.
    :param control_client: the way to the relays.
    :param planned_changes: runs where a voter is hosted.
    :param relay: hosted here, or ``None``.
    :param voter: hosted here, or ``None``.
    :param epoch: fresh at each start.
    """

    settings: EntrySettings
    epoch: str
    log: EventLog
    view: ViewHolder
    holder: ConfigurationHolder
    scheduling: SchedulingController
    directory: EndpointDirectory
    limiter: TeamLimiter
    control_client: ControlClient
    app: EntryApp
    planned_changes: PlannedChangeController
    relay: Relay | None = None
    voter: Voter | None = None
    sequence: int = 0

    async def run(self) -> None:
        """Run all parts until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.scheduling.run)
            tasks.start_soon(self.directory.run_maintenance)
            tasks.start_soon(self.control_client.run)
            tasks.start_soon(self.app.callers.addresses.keep_fresh)
            if self.relay is not None:
                tasks.start_soon(self.relay.run)
            if self.voter is not None:
                tasks.start_soon(self.voter.run)
                tasks.start_soon(self.planned_changes.run)

    async def drain(self) -> bool:
        """Send callers elsewhere, then wait for the requests in flight.

        :returns: whether all ended in time.
        """
        self.log.emit(events.PROCESS_DRAINING, running=self.app.callers.running)
        self.app.callers.leaving = True
        await self.control_client.announce_now()
        await anyio.sleep(max(TELL_DRAIN_S, self.settings.lame_duck_s))
        return await self.app.callers.drain(self.settings.drain_bound_s)

    def announcement(self) -> EntryAnnouncement:
        """Return this entry's word about itself."""
        callers = self.app.callers
        free = max(0.0, 1.0 - callers.running / CAPACITY_REQUESTS)
        return EntryAnnouncement(
            entry=self.settings.name,
            epoch=self.epoch,
            sequence=self.sequence,
            vm=self.settings.vm,
            availability_zone=self.settings.availability_zone,
            address=self.settings.listen,
            spare=round(free * SPARE_STEPS) / SPARE_STEPS,
            draining=callers.leaving or callers.draining,
        )

    def announce(self) -> Announce:
        """Return what to tell the relay."""
        self.sequence += 1
        return Announce(entries=(replace(self.announcement(), sequence=self.sequence),))

    def on_membership(self, delta: MembershipDelta) -> None:
        """Follow the members."""
        self.directory.on_membership(delta)
        self.on_configuration(self.holder.configuration)

    def on_configuration(self, configuration: Configuration) -> None:
        """Put drains, weights and the bounds of services in force."""
        self.scheduling.on_service_settings(configuration.services)
        drained = frozenset(
            one.endpoint
            for one in self.directory.announcements.values()
            if configuration.is_draining(one.endpoint, one.vm, one.availability_zone)
        )
        self.scheduling.on_team_weights(configuration.weights)
        self.scheduling.on_drains(drained)

    def on_lease(self, confirmed: bool) -> None:
        """Refuse what waits when the view may no longer be used."""
        if not confirmed:
            self.scheduling.refuse_waiting(
                ProblemCode.VIEW_EXPIRED, "this entry can't confirm its configuration now"
            )

    def refresh_metrics(self, metrics: Metrics) -> None:
        """Set the gauges as things stand."""
        connections = self.directory.connections.values()
        dropped = sum(connection.connector.dropped_message_count for connection in connections)
        metrics.in_flight.set({}, self.app.callers.running)
        metrics.waiting.set({}, len(self.scheduling.waiters))
        metrics.dropped_answers.set({}, dropped)
        metrics.revision.set({}, self.view.revision)

    def why_not_ready(self) -> str:
        """Return why callers shouldn't come here; empty when they may."""
        if self.app.callers.leaving:
            return "stopping"
        if not self.view.is_confirmed(anyio.current_time()):
            return "the view isn't confirmed"
        return ""
