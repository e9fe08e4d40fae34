"""An entry process: its components, how they run and how they stop."""

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

FULL_LOAD_REQUEST_COUNT = 1_000
"""Requests in flight at which an entry counts as fully loaded."""

SPARE_CAPACITY_STEP_COUNT = 8
"""Steps to which announced spare capacity is rounded, so that small changes aren't announced."""

DRAIN_ANNOUNCEMENT_S = 0.5
"""Time that a stopping entry gives its last announcement to be sent."""


@dataclass
class EntryProcess:
    """One entry.

    :param app: handles requests of callers and operators.
    :param control_client: connects to the relays.
    :param planned_changes: runs only in an entry that hosts a voter.
    :param relay: the relay that this entry hosts; ``None`` if it hosts none.
    :param voter: the voter that this entry hosts; ``None`` if it hosts none.
    :param epoch: unique to each start of the entry.
    :param sequence: the number of the newest announcement.
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
        """Run all components until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.scheduling.run)
            tasks.start_soon(self.directory.run_maintenance)
            tasks.start_soon(self.control_client.run)
            tasks.start_soon(self.app.callers.addresses.refresh_periodically)
            if self.relay is not None:
                tasks.start_soon(self.relay.run)
            if self.voter is not None:
                tasks.start_soon(self.voter.run)
                tasks.start_soon(self.planned_changes.run)

    async def drain(self) -> bool:
        """Announce the drain so that callers use other entries, then wait for requests in flight.

        Requests that still wait for their first endpoint then are refused; they have not run.

        :return: whether all requests finished within the drain bound.
        """
        self.log.emit(events.PROCESS_DRAINING, running=self.app.callers.running)
        self.app.callers.leaving = True
        await self.control_client.announce_now()
        await anyio.sleep(max(DRAIN_ANNOUNCEMENT_S, self.settings.lame_duck_s))
        # What still waits for a slot might get it too late to be answered before this process ends.
        self.scheduling.refuse_waiting(
            ProblemCode.DRAINING, "this entry is draining; send the request to another entry"
        )
        return await self.app.callers.drain(self.settings.drain_bound_s)

    def announcement(self) -> EntryAnnouncement:
        """Return this entry's announcement with its current state."""
        callers = self.app.callers
        spare_ratio = max(0.0, 1.0 - callers.running / FULL_LOAD_REQUEST_COUNT)
        return EntryAnnouncement(
            entry=self.settings.name,
            epoch=self.epoch,
            sequence=self.sequence,
            vm=self.settings.vm,
            availability_zone=self.settings.availability_zone,
            address=self.settings.listen,
            spare=round(spare_ratio * SPARE_CAPACITY_STEP_COUNT) / SPARE_CAPACITY_STEP_COUNT,
            draining=callers.leaving or callers.draining,
        )

    def announce(self) -> Announce:
        """Return the next announcement for the relay."""
        self.sequence += 1
        return Announce(entries=(replace(self.announcement(), sequence=self.sequence),))

    def on_membership(self, delta: MembershipDelta) -> None:
        """Apply a membership change."""
        self.directory.on_membership(delta)
        self.on_configuration(self.holder.configuration)

    def on_configuration(self, configuration: Configuration) -> None:
        """Apply the services, weights and drains of a configuration."""
        self.scheduling.on_service_settings(configuration.services)
        draining_endpoints = frozenset(
            announcement.endpoint
            for announcement in self.directory.announcements.values()
            if configuration.is_draining(
                announcement.endpoint, announcement.vm, announcement.availability_zone
            )
        )
        self.scheduling.on_team_weights(configuration.weight_by_team)
        self.scheduling.on_drains(draining_endpoints)

    def on_lease(self, confirmed: bool) -> None:
        """Refuse waiting requests once the view is no longer confirmed."""
        if not confirmed:
            self.scheduling.refuse_waiting(
                ProblemCode.VIEW_EXPIRED,
                "this entry can't confirm its configuration now; use another",
            )

    def refresh_metrics(self, metrics: Metrics) -> None:
        """Set the gauges to the current values."""
        connections = self.directory.connections.values()
        dropped_count = sum(
            connection.connector.dropped_message_count for connection in connections
        )
        metrics.in_flight.set({}, self.app.callers.running)
        metrics.waiting.set({}, len(self.scheduling.waiters))
        metrics.dropped_answers.set({}, dropped_count)
        metrics.revision.set({}, self.view.revision)

    def unready_reason(self) -> str:
        """Return why callers should use another entry; empty when this entry is ready."""
        if self.app.callers.leaving:
            return "stopping"
        if not self.view.is_confirmed(anyio.current_time()):
            return "the view isn't confirmed by a lease"
        return ""
