"""A commander of many ranks: the size of its orders and the number of messages it receives."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from random import Random

import anyio
import pytest
import trio
import trio.testing

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.ranks.map_switch import MAX_CONCURRENT_PREPARES
from bergamotchute_daemon.ranks.rank_agent_process import STATUS_INTERVAL_S, RankAgentProcess
from bergamotchute_daemon.ranks.rank_api import ExpertSelectionCounts
from bergamotchute_daemon.ranks.rank_commander import ORDER_TIMEOUT_S, RankCommander
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    CommanderAssigned,
    GroupMember,
    LoadsReported,
    NodeMessage,
    RankAction,
    RankCounts,
    RankOrder,
    RankStatus,
)
from bergamotchute_model.packed_map import ExpertPlacement
from bergamotchute_policy.even_map_planner import initial_map
from bergamotchute_wire.message_codec import MessageCodec
from bergamotchute_wire.persistent_connection import PersistentConnection
from support.memory_links import MemoryNetwork

SETS, EXPERTS = 16, 192
CODEC: MessageCodec[NodeMessage] = MessageCodec(NodeMessage)


def address(rank: int) -> Address:
    return Address(f"10.0.0.{rank}", 7000)


@dataclass
class FakeRankClient:
    """The client of a rank that accepts every order and completes each copy after a fixed time.

    :param copy_s: how long a copy takes, and how long after an order to arm the rank switches.
    :param prepared: the maps that the rank was ordered to prepare, by version.
    :param copied_at: when each copy is complete, by version.
    :param chosen: how often each expert was selected so far.
    :param pace: the pace that the rank reports.
    """

    rank: int
    size: int
    copy_s: float = 0.06
    step: int = 0
    armed: tuple[int, int] | None = None
    switch_at: float = float("inf")
    map_version: int = 0
    prepared: dict[int, ExpertPlacement] = field(default_factory=dict)
    copied_at: dict[int, float] = field(default_factory=dict)
    chosen: int = 0
    pace: float | None = None

    @property
    def connection(self) -> PersistentConnection:
        return PersistentConnection(address(self.rank))

    async def status(self) -> RankStatus:
        self.step += 1
        now = anyio.current_time()
        ready = [version for version, at in self.copied_at.items() if at <= now]
        prepared = max(ready, default=None)
        if self.armed is not None and self.switch_at <= now:
            self.map_version, self.armed = self.armed[0], None
        state = (self.step, self.map_version, prepared, self.armed, None)
        return RankStatus("g0", self.rank, self.size, 1, True, 2, *state, pace=self.pace)

    async def counts(self) -> ExpertSelectionCounts:
        self.chosen += 100
        return ExpertSelectionCounts(1, self.step, (self.chosen,) * (SETS * EXPERTS))

    async def send_order(self, order: RankOrder) -> RankStatus:
        if order.action is RankAction.PREPARE:
            self.prepared[order.version] = order.experts
            self.copied_at[order.version] = anyio.current_time() + self.copy_s
        if order.action is RankAction.ARM:
            self.armed = (order.version, order.step)
            self.switch_at = anyio.current_time() + self.copy_s
        held = initial_map(SETS, self.size, EXPERTS) if order.action is RankAction.LIST else ()
        experts = tuple(expert_set[self.rank] for expert_set in held)
        status = await self.status()
        return replace(status, order=order.order, accepted=True, experts=experts)


@dataclass
class AgentGroup:
    """The agents of one group, connected by in-memory links."""

    size: int
    network: MemoryNetwork
    rank_clients: list[FakeRankClient] = field(default_factory=list)
    processes: list[RankAgentProcess] = field(default_factory=list)

    def add_agents(self, tasks: anyio.abc.TaskGroup) -> None:
        for rank in range(self.size):
            rank_client = FakeRankClient(rank, self.size)
            process = RankAgentProcess(
                name=f"agent-{rank}",
                address=address(rank),
                rank_client=rank_client,  # type: ignore[arg-type]
                links=_DiscardingLinks(),  # type: ignore[arg-type]
                follower=None,  # type: ignore[arg-type]
                log=EventLog(f"agent-{rank}", "agent", "life", lambda: 0),
                make_commander=lambda _: None,  # type: ignore[arg-type, return-value]
            )
            self.rank_clients.append(rank_client)
            self.processes.append(process)
            self.network.serve(f"agent-{rank}", address(rank), "/ranks", process.serve_link)
            tasks.start_soon(process._poll_rank)


class _DiscardingLinks:
    """Links to control VMs that only keep the reported loads."""

    def __init__(self) -> None:
        self.reports: list[LoadsReported] = []

    def post_to_one(self, message: NodeMessage) -> None:
        """Keep a report of loads."""
        if isinstance(message, LoadsReported):
            self.reports.append(message)

    def post_all(self, message: NodeMessage) -> None:
        """Drop a message."""


class RecordingCommander(RankCommander):
    """A commander that records the messages it receives and the orders it sends to agents."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.received: list[NodeMessage] = []
        self.sent_orders: list[RankOrder] = []

    def _handle_message(self, member: object, message: NodeMessage) -> None:
        self.received.append(message)
        super()._handle_message(member, message)  # type: ignore[arg-type]

    async def _send_through_agent(self, member: object, order: RankOrder) -> RankStatus | None:
        self.sent_orders.append(order)
        return await super()._send_through_agent(member, order)  # type: ignore[arg-type]


def run_agent_group(
    size: int, body: Callable[[AgentGroup, RecordingCommander], Awaitable[None]]
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            agent_group = AgentGroup(size, MemoryNetwork(tasks))
            agent_group.add_agents(tasks)
            members = tuple(GroupMember(rank, address(rank), address(rank)) for rank in range(size))
            commander = RecordingCommander(
                CommanderAssigned("g0", 10_001, Address("10.9.0.1", 1), members),
                agent_group.network.dial("commander", "/ranks"),
                lambda _: None,
                EventLog("commander", "agent", "life", lambda: 0),
                lambda: None,
            )
            tasks.start_soon(commander.run)
            await anyio.sleep(1.0)
            await body(agent_group, commander)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_commander_of_many_ranks_receives_a_bounded_number_of_counts() -> None:
    """Guards against an overloaded commander's link.

    96 ranks with 3,072 counts each share the commander's link of 3 Mbit/s, of which reports may
    take half.
    """

    async def body(_: AgentGroup, commander: RecordingCommander) -> None:
        commander.received.clear()
        await anyio.sleep(10.0)
        counts = [message for message in commander.received if isinstance(message, RankCounts)]
        received_bytes_per_s = (
            sum(len(CODEC.encode(message)) for message in commander.received) / 10.0
        )
        assert received_bytes_per_s < 3e6 / 8 / 2
        # Each report covers a single round, so that old selections aren't counted as new ones.
        assert {count for report in counts for count in report.counts} == {100}
        assert {report.rank for report in counts} == set(range(96))

    run_agent_group(96, body)


def test_every_rank_of_a_small_group_reports_all_its_counts() -> None:
    async def body(agent_group: AgentGroup, commander: RecordingCommander) -> None:
        commander.received.clear()
        await anyio.sleep(10.0)
        counts = [message for message in commander.received if isinstance(message, RankCounts)]
        assert len(counts) >= agent_group.size * (10.0 / STATUS_INTERVAL_S - 2)

    run_agent_group(4, body)


def _with_random_changes(
    experts: ExpertPlacement, random: Random, ranks: int = 96
) -> ExpertPlacement:
    """Return a copy of a map in which up to 40 ranks have other experts in a set."""
    sets = [list(expert_set) for expert_set in experts]
    for _ in range(40):
        sets[random.randrange(SETS)][random.randrange(ranks)] = (random.randrange(EXPERTS), 5)
    return tuple(tuple(expert_set) for expert_set in sets)


def test_later_maps_are_sent_as_changes_and_received_whole() -> None:
    async def body(agent_group: AgentGroup, commander: RecordingCommander) -> None:
        experts = initial_map(SETS, 96, EXPERTS)
        random = Random(3)
        for version in range(1, 6):
            experts = _with_random_changes(experts, random)
            commander.recent_maps[version] = experts
            for rank in range(96):
                status = await commander.send_order(rank, RankAction.PREPARE, version, 0, experts)
                assert status is not None
                assert status.accepted
        assert all(
            rank_client.prepared
            == {version: commander.recent_maps[version] for version in range(1, 6)}
            for rank_client in agent_group.rank_clients
        )
        later = [order for order in commander.sent_orders if order.version > 1]
        assert max(len(CODEC.encode(order)) for order in later) < 1_000

    run_agent_group(96, body)


@pytest.mark.parametrize(("ranks", "link_mbit_s"), [(63, 4.0), (96, 3.0)])
def test_the_first_map_does_not_occupy_the_link_until_answers_are_late(
    ranks: int, link_mbit_s: float
) -> None:
    """Guards against answers that come after their timeout because maps queue on the link."""

    async def body(agent_group: AgentGroup, commander: RecordingCommander) -> None:
        experts = _with_random_changes(initial_map(SETS, ranks, EXPERTS), Random(5), ranks)
        for rank in range(ranks):
            await commander.send_order(rank, RankAction.PREPARE, 1, 0, experts)
        assert all(client.prepared == {1: experts} for client in agent_group.rank_clients)
        largest = max(len(CODEC.encode(order)) for order in commander.sent_orders)
        queued_s = MAX_CONCURRENT_PREPARES * largest * 8 / (link_mbit_s * 1e6)
        assert queued_s < ORDER_TIMEOUT_S / 2

    run_agent_group(ranks, body)


def test_an_unreadable_map_is_refused_and_asked_for_again() -> None:
    async def body(agent_group: AgentGroup, commander: RecordingCommander) -> None:
        order = RankOrder(7, 10**12, 1, RankAction.PREPARE, 1, packed=b"no map")
        assert agent_group.processes[0].status is not None
        status = await commander._send_through_agent(commander.members[0], order)
        assert status is not None
        assert status.accepted is False
        assert status.base_missing
        assert not agent_group.rank_clients[0].prepared

    run_agent_group(2, body)


def test_an_agent_without_the_base_map_of_the_changes_receives_the_whole_map() -> None:
    async def body(agent_group: AgentGroup, commander: RecordingCommander) -> None:
        first = initial_map(SETS, 2, EXPERTS)
        second = initial_map(SETS, 2, EXPERTS)[::-1]
        commander.recent_maps |= {1: first, 2: second}
        await commander.send_order(0, RankAction.PREPARE, 1, 0, first)
        agent_group.processes[0].recent_maps.clear()
        status = await commander.send_order(0, RankAction.PREPARE, 2, 0, second)
        assert status is not None
        assert status.accepted
        assert agent_group.rank_clients[0].prepared[2] == second

    run_agent_group(2, body)


def test_agents_report_complete_copies_without_being_queried() -> None:
    async def body(agent_group: AgentGroup, commander: RecordingCommander) -> None:
        experts = initial_map(SETS, 32, EXPERTS)
        for rank in range(32):
            await commander.send_order(rank, RankAction.PREPARE, 1, 0, experts)
        commander.sent_orders.clear()
        started_at = anyio.current_time()
        while not all(  # noqa: ASYNC110 - what is awaited has no event of its own.
            (status := commander.known_status(rank)) is not None and status.prepared == 1
            for rank in range(32)
        ):
            await anyio.sleep(0.01)
        assert anyio.current_time() - started_at < 0.15
        assert not commander.sent_orders

    run_agent_group(32, body)


def test_agents_report_a_switch_without_being_queried() -> None:
    async def body(agent_group: AgentGroup, commander: RecordingCommander) -> None:
        for rank in range(agent_group.size):
            await commander.send_order(rank, RankAction.ARM, 1, 9, ())
        started_at = anyio.current_time()
        while not all(  # noqa: ASYNC110 - what is awaited has no event of its own.
            (status := commander.known_status(rank)) is not None and status.map_version == 1
            for rank in range(agent_group.size)
        ):
            await anyio.sleep(0.01)
        assert anyio.current_time() - started_at < 0.15

    run_agent_group(32, body)


def test_a_rank_that_becomes_slow_is_reported_at_once_and_again() -> None:
    """The commander moves its experts away, and entries send it no requests.

    Load pattern: one rank of a group is slow for some seconds, and its count of requests is constant.
    """

    async def body(agent_group: AgentGroup, commander: RecordingCommander) -> None:
        client, process = agent_group.rank_clients[5], agent_group.processes[5]
        reports = process.links.reports  # type: ignore[attr-defined]
        assert commander._pace_weights(_statuses(commander)) == ()
        reports.clear()
        client.pace = 4.4
        await anyio.sleep(2 * STATUS_INTERVAL_S)
        weights = commander._pace_weights(_statuses(commander))
        assert weights == tuple(4.4 if rank == 5 else 1.0 for rank in range(32))
        await anyio.sleep(3.0)
        assert 3 <= len(reports) <= 5
        assert {report.paces for report in reports} == {((address(5), 4.4),)}
        reports.clear()
        client.pace = 1.0
        await anyio.sleep(2 * STATUS_INTERVAL_S)
        assert commander._pace_weights(_statuses(commander)) == ()
        assert [report.paces for report in reports] == [((address(5), 1.0),)]

    run_agent_group(32, body)


def _statuses(commander: RecordingCommander) -> dict[int, RankStatus]:
    return {rank: member.status for rank, member in commander.members.items() if member.status}
