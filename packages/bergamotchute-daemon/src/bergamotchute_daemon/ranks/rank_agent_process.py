"""The agent beside a rank: reports the rank's state and executes the orders of the commander."""

from __future__ import annotations

import math
import operator
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field, replace

import anyio
from anyio.abc import TaskGroup

from bergamotchute_daemon.configuration_follower import ConfigurationFollower
from bergamotchute_daemon.control_links import ControlLinks
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.ranks.rank_api import ExpertSelectionCounts
from bergamotchute_daemon.ranks.rank_client import RankClient, RankUnresponsiveError
from bergamotchute_daemon.ranks.rank_commander import RankCommander
from bergamotchute_daemon.ranks.slot_reservation_server import SlotReservationServer
from bergamotchute_model import events
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    AgentState,
    CommanderAssigned,
    ConfigurationText,
    ConfigurationVersion,
    LoadsReported,
    NodeMessage,
    RankAction,
    RankCounts,
    RankOrder,
    RankStatus,
)
from bergamotchute_model.packed_map import ExpertPlacement, unpack_changes, unpack_map
from bergamotchute_model.versioned_configuration import EnginePerformance, VersionedConfiguration
from bergamotchute_policy.map_delta import apply_map_changes
from bergamotchute_policy.rank_pace import is_notable_change, pace_weight
from bergamotchute_wire.link import Link, LinkClosed
from bergamotchute_wire.outbox import Outbox

STATUS_INTERVAL_S = 0.2
"""Interval at which the rank's status and counts are read, which is free on the rank's own VM."""

SWITCH_POLL_INTERVAL_S = 0.04
"""Interval at which the status is read while the rank copies experts or is armed; either takes
20 ms or more."""

SWITCH_POLL_DURATION_S = 2.0
"""How long the status is read that often; a commander gives up a change that takes longer."""

SLOW_REPORT_INTERVAL_S = 1.0
"""Longest time between two reports of a slow rank; entries forget a pace after a few seconds."""

MAX_BASE_MAPS = 3
"""Number of maps kept as a base for changes: one in use, one being installed and one given up."""

MAX_GROUP_COUNTS_PER_S = 80_000.0
"""Limit of the counts that all ranks of a group together send to their commander.

It takes less than a third of a link of 4 Mbit/s. Groups of 8 ranks stay below it, so their ranks
send all counts.
"""

CommanderFactory = Callable[[CommanderAssigned], RankCommander]


@dataclass
class RankAgentProcess:
    """Report the state of one rank, and command the rank's group when assigned to do so.

    :param address: address at which the agent accepts links.
    :param rank_client: calls the rank beside this agent.
    :param make_commander: returns the commander for an assignment.
    :param status: last status read from the rank; ``None`` before the first one, and for an
        endpoint that isn't a rank.
    :param counts: last counts read from the rank, in round ``counts_round``.
    :param assignment: the assignment of a commander with the highest fence received.
    :param reported_pace: the rank's pace when it was last reported; ``None`` if it is unknown.
    :param load_reported_at: when the load was last sent to entries, on the runtime's clock.
    :param commander_outbox: outbox to the commander that the rank's state is reported to.
    :param commander_fence: the highest fence in an order received, which selects that commander.
    :param configuration_versions: last configuration version announced, by control VM.
    :param commanding: cancels the commander that runs here; ``None`` while none does.
    :param round_number: number of the current round of reading status and counts.
    :param recent_maps: the maps of recent orders to prepare, by version.
    :param switch_poll_until: time on the runtime's clock until which the status is read at
        :data:`SWITCH_POLL_INTERVAL_S`.
    :param switch_poll_requested: set when this faster polling is to begin.
    """

    name: str
    address: Address
    rank_client: RankClient
    links: ControlLinks
    follower: ConfigurationFollower
    log: EventLog
    make_commander: CommanderFactory
    slots: SlotReservationServer = field(default_factory=SlotReservationServer)
    status: RankStatus | None = None
    counts: ExpertSelectionCounts | None = None
    assignment: CommanderAssigned | None = None
    reported_pace: float | None = None
    load_reported_at: float = float("-inf")
    commander_outbox: Outbox[NodeMessage] | None = None
    commander_fence: int = 0
    is_rank_unresponsive: bool = False
    engine: EnginePerformance | None = None
    configuration_versions: dict[Address, ConfigurationVersion] = field(default_factory=dict)
    commanding: anyio.CancelScope | None = None
    round_number: int = 0
    counts_round: int = -1
    recent_maps: dict[int, ExpertPlacement] = field(default_factory=dict)
    switch_poll_until: float = float("-inf")
    switch_poll_requested: anyio.Event = field(default_factory=anyio.Event)
    _tasks: TaskGroup | None = field(default=None)

    async def run(self) -> None:
        """Report the rank's state and execute orders until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self.links.run)
            tasks.start_soon(self.follower.run)
            await self._poll_rank()

    def greeting(self) -> Iterable[NodeMessage]:
        """Return the message that names this agent's rank; nothing while the rank is unknown."""
        status = self.status
        if status is None:
            return ()
        endpoint = self.rank_client.connection.address
        return (
            AgentState(
                self.name,
                self.address,
                endpoint,
                status.group,
                status.rank,
                status.size,
                status.open,
                incarnation=self.log.incarnation,
            ),
        )

    def on_message(self, address: Address, message: NodeMessage) -> None:
        """Handle a message from a control VM."""
        match message:
            case ConfigurationVersion():
                self.configuration_versions[address] = message
                self._request_configuration()
            case ConfigurationText():
                self.follower.on_text(address, message)
            case CommanderAssigned():
                self._on_assigned(address, message)
            case _:
                pass

    def _request_configuration(self) -> None:
        """Fetch newly announced configurations while this agent commands a group."""
        if self.commanding is not None:
            for address, version in self.configuration_versions.items():
                self.follower.on_version(address, version)

    def on_configuration(self, configuration: VersionedConfiguration) -> None:
        """Use the figures of the first service whose engine has experts split over ranks."""
        engines = [service.engine for service in configuration.services if service.engine]
        self.engine = next((engine for engine in engines if engine.expert_sets), None)

    def _on_assigned(self, address: Address, message: CommanderAssigned) -> None:
        """Start or stop the commander here; ignore assignments without a higher fence.

        An assignment to an earlier run of this process is not taken up: its orders have been
        counted on, so that ranks would refuse the first ones of this run.
        """
        if self._tasks is None:
            return
        if self.assignment is not None and message.fence <= self.assignment.fence:
            return
        self.assignment = message
        self.log.emit(
            events.COMMANDER_ASSIGNED,
            group=message.group,
            fence=message.fence,
            commander=str(message.commander),
            members=len(message.members),
            told_by=str(address),
        )
        if self.commanding is not None:
            self.commanding.cancel()
            self.commanding = None
        is_for_this_run = message.commander_incarnation in ("", self.log.incarnation)
        if message.commander == self.address and is_for_this_run:
            self._tasks.start_soon(self._run_commander, message)

    async def _run_commander(self, assignment: CommanderAssigned) -> None:
        with anyio.CancelScope() as scope:
            self.commanding = scope
            self._request_configuration()
            await self.make_commander(assignment).run()

    def gauges(self) -> dict[str, float]:
        """Return the metrics of this agent."""
        status = self.status
        return {
            "group_epoch": float(status.epoch if status else 0),
            "group_open": float(status.open if status else 0),
            "map_version": float(status.map_version if status else 0),
            "requests": float(status.requests if status else 0),
            "rank_pace": self.reported_pace or 0.0,
            "commanding": float(self.commanding is not None),
            "rank_silent": float(self.is_rank_unresponsive),
            "reservations_refused_by_rate_total": float(self.slots.rate.refused_count),
            "used_tokens": float(self.slots.ledger.used_tokens),
        }

    async def _poll_rank(self) -> None:
        """Read the rank's status and counts in rounds, and report them to the commander."""
        while True:
            next_at = anyio.current_time() + STATUS_INTERVAL_S
            try:
                await self._update_status()
                await self._update_counts()
                self._record_responsiveness("")
                await self._poll_during_switch(next_at)
            except RankUnresponsiveError as error:
                self._record_responsiveness(str(error))
            await anyio.sleep_until(next_at)
            self.round_number += 1

    async def _poll_during_switch(self, until: float) -> None:
        """Read the status more often while the rank copies experts or is armed for a switch."""
        while anyio.current_time() < until - SWITCH_POLL_INTERVAL_S:
            if anyio.current_time() < self.switch_poll_until:
                await anyio.sleep(SWITCH_POLL_INTERVAL_S)
                await self._update_status()
                continue
            self.switch_poll_requested = anyio.Event()
            with anyio.move_on_after(until - anyio.current_time()):
                await self.switch_poll_requested.wait()

    def _record_responsiveness(self, detail: str) -> None:
        if bool(detail) != self.is_rank_unresponsive:
            self.is_rank_unresponsive = bool(detail)
            kind = events.RANK_SILENT if detail else events.RANK_RECOVERED
            self.log.emit(kind, detail=detail)

    async def _update_status(self) -> None:
        status = await self.rank_client.status()
        previous, self.status = self.status, status
        if status is None:
            return
        self.slots.on_request_count(status.requests)
        has_new_pace = self._record_pace(status.pace)
        is_slow_and_silent = (
            pace_weight(status.pace) > 1.0
            and anyio.current_time() - self.load_reported_at >= SLOW_REPORT_INTERVAL_S
        )
        has_new_load = previous is None or previous.requests != status.requests
        if has_new_load or has_new_pace or is_slow_and_silent:
            self._report_load(status, has_new_pace)
        if previous is None or _group_position(previous) != _group_position(status):
            for message in self.greeting():
                self.links.post_all(message)
        if _switch_state(previous) != _switch_state(status):
            if status.armed is None:
                self.switch_poll_until = float("-inf")
        elif not has_new_pace and not self._reports_in_round(self.round_number):
            return
        if previous != status and self.commander_outbox is not None:
            self.commander_outbox.post(status)

    def _record_pace(self, pace: float | None) -> bool:
        """Record the rank's pace; return whether it must be reported at once."""
        if not is_notable_change(self.reported_pace, pace):
            return False
        self.log.emit(
            events.RANK_PACE_CHANGED, pace=pace or 0.0, previous=self.reported_pace or 0.0
        )
        self.reported_pace = pace
        return True

    def _report_load(self, status: RankStatus, has_new_pace: bool) -> None:
        """Send the load of the rank to entries, with its pace while it is slow or has changed."""
        endpoint = self.rank_client.connection.address
        weight = pace_weight(status.pace)
        paces = ((endpoint, weight),) if has_new_pace or weight > 1.0 else ()
        self.links.post_to_one(LoadsReported(((endpoint, status.requests),), paces))
        self.load_reported_at = anyio.current_time()

    def _reports_in_round(self, round_number: int) -> bool:
        """Return whether this rank reports to its commander in a round.

        Ranks of a large group take turns. The counts of all ranks would overload the commander's
        link and CPU, and those of a few suffice, as the requests of all ranks select similar experts.
        """
        if self.status is None or self.counts is None:
            return True
        group_counts_per_s = self.status.size * len(self.counts.counts) / STATUS_INTERVAL_S
        rounds_per_report = max(1, math.ceil(group_counts_per_s / MAX_GROUP_COUNTS_PER_S))
        return (round_number + self.status.rank) % rounds_per_report == 0

    async def _update_counts(self) -> None:
        """Report to the commander how often each expert was selected in the round that ends."""
        if not self._reports_in_round(self.round_number) and not self._reports_in_round(
            self.round_number + 1
        ):
            return
        counts = await self.rank_client.counts()
        previous, self.counts = self.counts, counts
        previous_round, self.counts_round = self.counts_round, self.round_number
        if previous_round != self.round_number - 1 or not self._reports_in_round(self.round_number):
            return
        if previous is None or len(previous.counts) != len(counts.counts) or self.status is None:
            return
        selections = tuple(map(operator.sub, counts.counts, previous.counts))
        if self.commander_outbox is None or min(selections) < 0 or not any(selections):
            return
        self.commander_outbox.post(
            RankCounts(self.status.rank, counts.epoch, counts.step, selections)
        )

    async def serve_link(self, link: Link[NodeMessage]) -> None:
        """Execute the orders of a commander until its link closes."""
        outbox: Outbox[NodeMessage] = Outbox(link)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(outbox.run)
            with suppress(LinkClosed):
                while True:
                    message = await link.receive()
                    if isinstance(message, RankOrder):
                        self._select_commander(outbox, message.fence)
                        tasks.start_soon(self._execute_order, outbox, message)
            tasks.cancel_scope.cancel()
        if self.commander_outbox is outbox:
            self.commander_outbox = None

    def _select_commander(self, outbox: Outbox[NodeMessage], fence: int) -> None:
        """Report to the commander with the highest fence from now on."""
        if fence >= self.commander_fence:
            self.commander_outbox = outbox
            self.commander_fence = fence

    async def _execute_order(self, outbox: Outbox[NodeMessage], order: RankOrder) -> None:
        try:
            whole = self._with_whole_map(order)
        except (ValueError, IndexError) as error:
            self.log.emit(events.ORDER_UNREADABLE, version=order.version, detail=str(error))
            whole = None
        if whole is None:
            if self.status is not None:
                outbox.post(
                    replace(self.status, order=order.order, accepted=False, base_missing=True)
                )
            return
        try:
            status = await self.rank_client.send_order(whole)
        except RankUnresponsiveError as error:
            self._record_responsiveness(str(error))
            return
        if status is None:
            return
        outbox.post(status)
        if order.action in (RankAction.PREPARE, RankAction.ARM) and status.accepted is not False:
            self.switch_poll_until = anyio.current_time() + SWITCH_POLL_DURATION_S
            self.switch_poll_requested.set()

    def _with_whole_map(self, order: RankOrder) -> RankOrder | None:
        """Return an order with its whole map; ``None`` if the base of its changes is unknown.

        :raises ValueError: when the map or its changes can't be read.
        :raises IndexError: when the changes name a set or rank that the base doesn't have.
        """
        if order.action is not RankAction.PREPARE:
            return order
        if order.base:
            base = self.recent_maps.get(order.base)
            if base is None:
                return None
            changes = unpack_changes(order.packed) if order.packed else order.changes
            order = replace(order, experts=apply_map_changes(base, changes), packed=b"")
        elif order.packed:
            order = replace(order, experts=unpack_map(order.packed), packed=b"")
        self.recent_maps[order.version] = order.experts
        while len(self.recent_maps) > MAX_BASE_MAPS:
            del self.recent_maps[next(iter(self.recent_maps))]
        return order


def _switch_state(status: RankStatus | None) -> tuple[object, ...]:
    """Return the part of a status whose changes the commander waits for."""
    if status is None:
        return ()
    return status.epoch, status.open, status.map_version, status.prepared, status.armed, status.held


def _group_position(status: RankStatus) -> tuple[str, int, int, bool]:
    return status.group, status.rank, status.size, status.open
