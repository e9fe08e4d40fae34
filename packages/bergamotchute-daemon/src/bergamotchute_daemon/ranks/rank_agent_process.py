"""The process beside a rank: tells of it, and carries out the orders of its group's commander."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from bergamotchute_daemon.configuration_follower import ConfigurationFollower
from bergamotchute_daemon.control_links import ControlLinks
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.ranks.rank_commander import RankCommander
from bergamotchute_daemon.ranks.rank_dialect import ChoiceCounts
from bergamotchute_daemon.ranks.rank_gate import RankGate, RankSilent
from bergamotchute_daemon.ranks.slot_keeper import SlotKeeper
from bergamotchute_model import events
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    AgentState,
    CommanderAssigned,
    ConfigurationText,
    ConfigurationVersion,
    LoadsTold,
    NodeMessage,
    RankCounts,
    RankOrder,
    RankStatus,
)
from bergamotchute_model.whole_configuration import EngineFigures, WholeConfiguration
from bergamotchute_wire.link import Link, LinkClosed
from bergamotchute_wire.outbox import Outbox

STATUS_S = 0.2
"""How often the rank's state and counts are read; both are free on the rank's own VM."""

Commands = Callable[[CommanderAssigned], RankCommander]


@dataclass
class RankAgentProcess:
    """What an agent knows of its rank and whom it tells.

    :param address: where its links arrive.
    :param commands: makes a commander for an assignment.
    """

    name: str
    address: Address
    gate: RankGate
    links: ControlLinks
    follower: ConfigurationFollower
    log: EventLog
    commands: Commands
    slots: SlotKeeper = field(default_factory=SlotKeeper)
    status: RankStatus | None = None
    counts: ChoiceCounts | None = None
    assignment: CommanderAssigned | None = None
    listener: Outbox[NodeMessage] | None = None
    listener_fence: int = 0
    silent: bool = False
    engine: EngineFigures | None = None
    newest: dict[Address, ConfigurationVersion] = field(default_factory=dict)
    commanding: anyio.CancelScope | None = None
    _tasks: TaskGroup | None = field(default=None)

    async def run(self) -> None:
        """Tell of the rank until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self.links.run)
            tasks.start_soon(self.follower.run)
            await self._watch()

    def greeting(self) -> Iterable[NodeMessage]:
        """Say beside which rank this agent runs, once that is known."""
        status = self.status
        if status is None:
            return ()
        endpoint = self.gate.connection.address
        return (
            AgentState(
                self.name,
                self.address,
                endpoint,
                status.group,
                status.rank,
                status.size,
                status.open,
            ),
        )

    def on_message(self, address: Address, message: NodeMessage) -> None:
        """Take what a control VM says."""
        match message:
            case ConfigurationVersion():
                self.newest[address] = message
                self._ask_configuration()
            case ConfigurationText():
                self.follower.on_text(message)
            case CommanderAssigned():
                self._on_assigned(address, message)
            case _:
                pass

    def _ask_configuration(self) -> None:
        """Follow the configuration while this agent commands a group."""
        if self.commanding is not None:
            for address, version in self.newest.items():
                self.follower.on_version(address, version)

    def on_configuration(self, configuration: WholeConfiguration) -> None:
        """Take the figures of the engines whose ranks share experts."""
        engines = [service.engine for service in configuration.services if service.engine]
        self.engine = next((engine for engine in engines if engine.expert_sets), None)

    def _on_assigned(self, address: Address, message: CommanderAssigned) -> None:
        """Take an assignment; the one of the highest fence counts."""
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
        if message.commander == self.address:
            self._tasks.start_soon(self._command, message)

    async def _command(self, assignment: CommanderAssigned) -> None:
        with anyio.CancelScope() as scope:
            self.commanding = scope
            self._ask_configuration()
            await self.commands(assignment).run()

    def gauges(self) -> dict[str, float]:
        """Return the state of this agent for its metrics."""
        status = self.status
        return {
            "group_epoch": float(status.epoch if status else 0),
            "group_open": float(status.open if status else 0),
            "map_version": float(status.map_version if status else 0),
            "requests": float(status.requests if status else 0),
            "commanding": float(self.commanding is not None),
            "rank_silent": float(self.silent),
        }

    async def _watch(self) -> None:
        """Read the rank's state and counts, and tell who commands it."""
        while True:
            try:
                await self._read_status()
                await self._read_counts()
                self._note_silence("")
            except RankSilent as error:
                self._note_silence(str(error))
            await anyio.sleep(STATUS_S)

    def _note_silence(self, detail: str) -> None:
        if bool(detail) != self.silent:
            self.silent = bool(detail)
            kind = events.RANK_SILENT if detail else events.RANK_HEARD
            self.log.emit(kind, detail=detail)

    async def _read_status(self) -> None:
        status = await self.gate.status()
        before, self.status = self.status, status
        if status is None:
            return
        self.slots.on_report(status.requests)
        leader = self.links.leader
        if leader is not None and (before is None or before.requests != status.requests):
            endpoint = self.gate.connection.address
            self.links.post(leader, LoadsTold(((endpoint, status.requests),)))
        if before is None or _place(before) != _place(status):
            for message in self.greeting():
                self.links.post_all(message)
        if before != status and self.listener is not None:
            self.listener.post(status)

    async def _read_counts(self) -> None:
        """Tell the commander how often each expert was chosen since the last time."""
        counts = await self.gate.counts()
        before, self.counts = self.counts, counts
        if before is None or len(before.counts) != len(counts.counts) or self.status is None:
            return
        chosen = tuple(now - then for now, then in zip(counts.counts, before.counts, strict=True))
        if self.listener is None or min(chosen) < 0 or not any(chosen):
            return
        self.listener.post(RankCounts(self.status.rank, counts.epoch, counts.step, chosen))

    async def serve_link(self, link: Link[NodeMessage]) -> None:
        """Take the orders of a commander until its link closes."""
        outbox: Outbox[NodeMessage] = Outbox(link)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(outbox.run)
            with suppress(LinkClosed):
                while True:
                    message = await link.receive()
                    if isinstance(message, RankOrder):
                        self._listen_to(outbox, message.fence)
                        tasks.start_soon(self._carry_out, outbox, message)
            tasks.cancel_scope.cancel()
        if self.listener is outbox:
            self.listener = None

    def _listen_to(self, outbox: Outbox[NodeMessage], fence: int) -> None:
        """Tell the commander with the highest fence of the rank."""
        if fence >= self.listener_fence:
            self.listener = outbox
            self.listener_fence = fence

    async def _carry_out(self, outbox: Outbox[NodeMessage], order: RankOrder) -> None:
        try:
            status = await self.gate.give(order)
        except RankSilent as error:
            self._note_silence(str(error))
            return
        if status is not None:
            outbox.post(status)


def _place(status: RankStatus) -> tuple[str, int, int, bool]:
    return status.group, status.rank, status.size, status.open
