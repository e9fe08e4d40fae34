"""The process beside a rank: tells of it, and carries out the orders of its group's commander."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field, replace

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
    RankAction,
    RankCounts,
    RankOrder,
    RankStatus,
)
from bergamotchute_model.whole_configuration import EngineFigures, WholeConfiguration
from bergamotchute_policy.even_map_planner import ExpertSets
from bergamotchute_policy.map_delta import changed_map
from bergamotchute_wire.link import Link, LinkClosed
from bergamotchute_wire.outbox import Outbox

STATUS_S = 0.2
"""How often the rank's state and counts are read; both are free on the rank's own VM."""

SWITCH_LOOK_S = 0.04
"""How often the rank is looked at while it copies experts or is armed; each takes 20 ms or more."""

SWITCH_WATCH_S = 2.0
"""How long it is; a commander gives up a change that takes longer."""

MAPS_KEPT = 3
"""Maps that changes may be based on: those in use, under way and given up."""

TOLD_NUMBERS_PER_S = 80_000.0
"""Counts that all ranks of a group together tell their commander: below a third of a link of
4 Mbit/s. Groups of 8 ranks tell all of theirs."""

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
    rounds: int = 0
    counts_round: int = -1
    maps: dict[int, ExpertSets] = field(default_factory=dict)
    watch_until: float = float("-inf")
    watching: anyio.Event = field(default_factory=anyio.Event)
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
            next_at = anyio.current_time() + STATUS_S
            try:
                await self._read_status()
                await self._read_counts()
                self._note_silence("")
                await self._watch_switch(next_at)
            except RankSilent as error:
                self._note_silence(str(error))
            await anyio.sleep_until(next_at)
            self.rounds += 1

    async def _watch_switch(self, until: float) -> None:
        """Look more often while the rank copies experts or is armed for a switch."""
        while anyio.current_time() < until - SWITCH_LOOK_S:
            if anyio.current_time() < self.watch_until:
                await anyio.sleep(SWITCH_LOOK_S)
                await self._read_status()
                continue
            self.watching = anyio.Event()
            with anyio.move_on_after(until - anyio.current_time()):
                await self.watching.wait()

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
        self.slots.on_status(status)
        if before is None or before.requests != status.requests:
            endpoint = self.gate.connection.address
            self.links.post_any(LoadsTold(((endpoint, status.requests),)))
        if before is None or _place(before) != _place(status):
            for message in self.greeting():
                self.links.post_all(message)
        if _switch_state(before) != _switch_state(status):
            if status.armed is None:
                self.watch_until = float("-inf")
        elif not self._has_turn(self.rounds):
            return
        if before != status and self.listener is not None:
            self.listener.post(status)

    def _has_turn(self, round_number: int) -> bool:
        """Return whether this rank tells its commander in a round.

        Ranks of a large group take turns: their requests choose alike, and the commander's link and
        processor would not carry the counts of all.
        """
        if self.status is None or self.counts is None:
            return True
        told_per_s = self.status.size * len(self.counts.counts) / STATUS_S
        turns = max(1, math.ceil(told_per_s / TOLD_NUMBERS_PER_S))
        return (round_number + self.status.rank) % turns == 0

    async def _read_counts(self) -> None:
        """Tell the commander how often each expert was chosen in the round that ends."""
        if not self._has_turn(self.rounds) and not self._has_turn(self.rounds + 1):
            return
        counts = await self.gate.counts()
        before, self.counts = self.counts, counts
        before_round, self.counts_round = self.counts_round, self.rounds
        if before_round != self.rounds - 1 or not self._has_turn(self.rounds):
            return
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
        whole = self._whole_order(order)
        if whole is None:
            if self.status is not None:
                outbox.post(
                    replace(self.status, order=order.order, accepted=False, base_missing=True)
                )
            return
        try:
            status = await self.gate.give(whole)
        except RankSilent as error:
            self._note_silence(str(error))
            return
        if status is None:
            return
        outbox.post(status)
        if order.action in (RankAction.PREPARE, RankAction.ARM) and status.accepted is not False:
            self.watch_until = anyio.current_time() + SWITCH_WATCH_S
            self.watching.set()

    def _whole_order(self, order: RankOrder) -> RankOrder | None:
        """Return an order with its whole map; ``None`` when what it is based on is not known."""
        if order.action is not RankAction.PREPARE:
            return order
        if order.base:
            base = self.maps.get(order.base)
            if base is None:
                return None
            order = replace(order, experts=changed_map(base, order.changes))
        self.maps[order.version] = order.experts
        while len(self.maps) > MAPS_KEPT:
            del self.maps[next(iter(self.maps))]
        return order


def _switch_state(status: RankStatus | None) -> tuple[object, ...]:
    """Return what a commander waits for."""
    if status is None:
        return ()
    return status.epoch, status.open, status.map_version, status.prepared, status.armed, status.held


def _place(status: RankStatus) -> tuple[str, int, int, bool]:
    return status.group, status.rank, status.size, status.open
