"""A commander of many ranks: short orders, few messages, time for other work."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from random import Random

import anyio
import trio
import trio.testing

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.ranks.rank_agent_process import STATUS_S, RankAgentProcess
from bergamotchute_daemon.ranks.rank_commander import RankCommander
from bergamotchute_daemon.ranks.rank_dialect import ChoiceCounts
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    CommanderAssigned,
    GroupMember,
    NodeMessage,
    RankAction,
    RankCounts,
    RankOrder,
    RankStatus,
)
from bergamotchute_policy.even_map_planner import ExpertSets, first_map
from bergamotchute_wire.kept_connection import KeptConnection
from bergamotchute_wire.message_codec import MessageCodec
from support.memory_links import MemoryNetwork

SETS, EXPERTS = 16, 192
CODEC: MessageCodec[NodeMessage] = MessageCodec(NodeMessage)


def address(rank: int) -> Address:
    return Address(f"10.0.0.{rank}", 7000)


@dataclass
class Gate:
    """A rank that takes every order, and copies within a time.

    :param prepared: the maps that it was given, by version.
    """

    rank: int
    size: int
    copy_s: float = 0.06
    step: int = 0
    armed: tuple[int, int] | None = None
    switch_at: float = float("inf")
    map_version: int = 0
    prepared: dict[int, ExpertSets] = field(default_factory=dict)
    done_at: dict[int, float] = field(default_factory=dict)
    chosen: int = 0

    @property
    def connection(self) -> KeptConnection:
        return KeptConnection(address(self.rank))

    async def status(self) -> RankStatus:
        self.step += 1
        now = anyio.current_time()
        ready = [version for version, at in self.done_at.items() if at <= now]
        prepared = max(ready, default=None)
        if self.armed is not None and self.switch_at <= now:
            self.map_version, self.armed = self.armed[0], None
        state = (self.step, self.map_version, prepared, self.armed, None)
        return RankStatus("g0", self.rank, self.size, 1, True, 2, *state)

    async def counts(self) -> ChoiceCounts:
        self.chosen += 100
        return ChoiceCounts(1, self.step, (self.chosen,) * (SETS * EXPERTS))

    async def give(self, order: RankOrder) -> RankStatus:
        if order.action is RankAction.PREPARE:
            self.prepared[order.version] = order.experts
            self.done_at[order.version] = anyio.current_time() + self.copy_s
        if order.action is RankAction.ARM:
            self.armed = (order.version, order.step)
            self.switch_at = anyio.current_time() + self.copy_s
        held = first_map(SETS, self.size, EXPERTS) if order.action is RankAction.LIST else ()
        experts = tuple(one_set[self.rank] for one_set in held)
        status = await self.status()
        return replace(status, order=order.order, accepted=True, experts=experts)


@dataclass
class Fleet:
    """The agents of one group on links in memory, and what they told their commander."""

    size: int
    network: MemoryNetwork
    gates: list[Gate] = field(default_factory=list)
    processes: list[RankAgentProcess] = field(default_factory=list)

    def add_agents(self, tasks: anyio.abc.TaskGroup) -> None:
        for rank in range(self.size):
            gate = Gate(rank, self.size)
            process = RankAgentProcess(
                name=f"agent-{rank}",
                address=address(rank),
                gate=gate,  # type: ignore[arg-type]
                links=_NoLinks(),  # type: ignore[arg-type]
                follower=None,  # type: ignore[arg-type]
                log=EventLog(f"agent-{rank}", "agent", "life", lambda: 0),
                commands=lambda _: None,  # type: ignore[arg-type, return-value]
            )
            self.gates.append(gate)
            self.processes.append(process)
            self.network.serve(f"agent-{rank}", address(rank), "/ranks", process.serve_link)
            tasks.start_soon(process._watch)


class _NoLinks:
    """Links to control VMs that nobody listens to."""

    def post_any(self, message: NodeMessage) -> None:
        """Drop a message."""

    def post_all(self, message: NodeMessage) -> None:
        """Drop a message."""


class Listening(RankCommander):
    """A commander that keeps what it is told and what it sends."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.taken: list[NodeMessage] = []
        self.given: list[RankOrder] = []

    def _take(self, member: object, message: NodeMessage) -> None:
        self.taken.append(message)
        super()._take(member, message)  # type: ignore[arg-type]

    async def _give_linked(self, member: object, order: RankOrder) -> RankStatus | None:
        self.given.append(order)
        return await super()._give_linked(member, order)  # type: ignore[arg-type]


def run_fleet(size: int, body: Callable[[Fleet, Listening], Awaitable[None]]) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(size, MemoryNetwork(tasks))
            fleet.add_agents(tasks)
            members = tuple(GroupMember(rank, address(rank), address(rank)) for rank in range(size))
            commander = Listening(
                CommanderAssigned("g0", 10_001, Address("10.9.0.1", 1), members),
                fleet.network.dial("commander", "/ranks"),
                lambda _: None,
                EventLog("commander", "agent", "life", lambda: 0),
                lambda: None,
            )
            tasks.start_soon(commander.run)
            await anyio.sleep(1.0)
            await body(fleet, commander)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_commander_of_many_ranks_hears_a_bounded_number_of_counts() -> None:
    """Load pattern: 96 ranks with 3,072 counts each, over the commander's link of 3 Mbit/s."""

    async def body(_: Fleet, commander: Listening) -> None:
        commander.taken.clear()
        await anyio.sleep(10.0)
        counts = [each for each in commander.taken if isinstance(each, RankCounts)]
        told_bytes = sum(len(CODEC.encode(each)) for each in commander.taken) / 10.0
        assert told_bytes < 3e6 / 8 / 2
        # Each one tells of a single period, so that old choices don't pass for new ones.
        assert {count for each in counts for count in each.counts} == {100}
        assert {each.rank for each in counts} == set(range(96))

    run_fleet(96, body)


def test_every_rank_of_a_small_group_tells_all_its_counts() -> None:
    async def body(fleet: Fleet, commander: Listening) -> None:
        commander.taken.clear()
        await anyio.sleep(10.0)
        counts = [each for each in commander.taken if isinstance(each, RankCounts)]
        assert len(counts) >= fleet.size * (10.0 / STATUS_S - 2)

    run_fleet(4, body)


def _moved(experts: ExpertSets, random: Random) -> ExpertSets:
    """Return a map in which a few ranks have other experts."""
    sets = [list(one_set) for one_set in experts]
    for _ in range(40):
        sets[random.randrange(SETS)][random.randrange(96)] = (random.randrange(EXPERTS), 5)
    return tuple(tuple(one_set) for one_set in sets)


def test_later_maps_go_out_as_changes_and_arrive_whole() -> None:
    async def body(fleet: Fleet, commander: Listening) -> None:
        experts = first_map(SETS, 96, EXPERTS)
        random = Random(3)
        for version in range(1, 6):
            experts = _moved(experts, random)
            commander.maps[version] = experts
            for rank in range(96):
                status = await commander.give(rank, RankAction.PREPARE, version, 0, experts)
                assert status is not None
                assert status.accepted
        assert all(
            gate.prepared == {version: commander.maps[version] for version in range(1, 6)}
            for gate in fleet.gates
        )
        later = [order for order in commander.given if order.version > 1]
        assert max(len(CODEC.encode(order)) for order in later) < 1_000

    run_fleet(96, body)


def test_an_agent_that_lost_the_base_of_a_change_gets_the_whole_map() -> None:
    async def body(fleet: Fleet, commander: Listening) -> None:
        first = first_map(SETS, 2, EXPERTS)
        second = first_map(SETS, 2, EXPERTS)[::-1]
        commander.maps |= {1: first, 2: second}
        await commander.give(0, RankAction.PREPARE, 1, 0, first)
        fleet.processes[0].maps.clear()
        status = await commander.give(0, RankAction.PREPARE, 2, 0, second)
        assert status is not None
        assert status.accepted
        assert fleet.gates[0].prepared[2] == second

    run_fleet(2, body)


def test_agents_tell_by_themselves_when_their_copies_are_complete() -> None:
    async def body(fleet: Fleet, commander: Listening) -> None:
        experts = first_map(SETS, 32, EXPERTS)
        for rank in range(32):
            await commander.give(rank, RankAction.PREPARE, 1, 0, experts)
        commander.given.clear()
        begun_at = anyio.current_time()
        while not all(  # noqa: ASYNC110 - what is awaited has no event of its own.
            (status := commander.told(rank)) is not None and status.prepared == 1
            for rank in range(32)
        ):
            await anyio.sleep(0.01)
        assert anyio.current_time() - begun_at < 0.15
        assert not commander.given

    run_fleet(32, body)


def test_agents_tell_by_themselves_when_their_ranks_have_switched() -> None:
    async def body(fleet: Fleet, commander: Listening) -> None:
        for rank in range(fleet.size):
            await commander.give(rank, RankAction.ARM, 1, 9, ())
        begun_at = anyio.current_time()
        while not all(  # noqa: ASYNC110 - what is awaited has no event of its own.
            (status := commander.told(rank)) is not None and status.map_version == 1
            for rank in range(fleet.size)
        ):
            await anyio.sleep(0.01)
        assert anyio.current_time() - begun_at < 0.15

    run_fleet(32, body)
