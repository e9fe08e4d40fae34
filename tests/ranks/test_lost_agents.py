"""The agent that carries out an order is lost: its rank is called from the commander's VM.

A rank's report is some hundred milliseconds old where another VM asks for it, so what a rank has
accepted is known from its answer to the order, not from the report behind it.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, replace

import anyio
import pytest
import trio
import trio.testing

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.ranks.map_switch import MapSwitch, SwitchOutcome
from bergamotchute_daemon.ranks.rank_commander import ORDER_WAIT_S, RankCommander
from bergamotchute_daemon.ranks.rank_gate import RankGate
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    CommanderAssigned,
    GroupMember,
    NodeMessage,
    RankAction,
    RankOrder,
    RankStatus,
)
from bergamotchute_platform.rank_calls import RANK_DIALECT
from bergamotchute_policy.even_map_planner import ExpertSets, first_map
from bergamotchute_wire.http1_messages import EndpointFailure
from bergamotchute_wire.kept_connection import KeptConnection
from bergamotchute_wire.link import Link, LinkClosed
from support.memory_links import MemoryNetwork
from support.unreachable_rank import UnreachableRank

AGENTS = tuple(Address(f"10.0.0.{number}", 7000) for number in range(1, 4))
RANKS = tuple(Address(f"10.0.0.{number}", 8000) for number in range(1, 4))
LINK_S = 0.1
"""Links of the stand-in network open within this time."""

STATUS = RankStatus("g0", 0, 3, 1, True, 0, 9, 4, None, None, None)


class LateReporter(KeptConnection):
    """A rank that accepts each order and whose report is from before all of them."""

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        if method == "POST":
            return 202, b""
        report = {
            "group": {"name": "g0", "epoch": 1, "rank": 0, "state": "open"},
            "size": 3,
            "step": 9,
            "map": 4,
            "armed": {"version": 4, "step": 7},
            "held": 8,
        }
        return 200, json.dumps(report).encode()


@pytest.mark.parametrize(
    ("action", "name", "expected"),
    [
        (RankAction.HOLD, "held", 20),
        (RankAction.GO, "held", None),
        (RankAction.ARM, "armed", (5, 20)),
        (RankAction.DISARM, "armed", None),
    ],
)
def test_what_a_rank_accepted_is_known_though_its_report_is_older(
    action: RankAction, name: str, expected: object
) -> None:
    async def main() -> None:
        gate = RankGate(LateReporter(RANKS[0]), RANK_DIALECT, reports_late=True)
        status = await gate.give(RankOrder(1, 1, 1, action, 5, 20))
        assert status is not None
        assert getattr(status, name) == expected

    anyio.run(main)


class DeafReporter(LateReporter):
    """A rank that answers no order, and whose report is from before the hold."""

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        if method == "POST":
            raise EndpointFailure("TimeoutError", True)
        return 200, (await super().call(method, target, body, timeout_s))[1].replace(b"8", b"null")


def test_a_hold_lasts_until_the_rank_has_accepted_its_end() -> None:
    """Load pattern: orders get no answer, and the report that follows is older than the hold."""

    async def main() -> None:
        gate = RankGate(DeafReporter(RANKS[0]), RANK_DIALECT, reports_late=True)
        status = await gate.give(RankOrder(1, 1, 1, RankAction.GO, 0, 20))
        assert status is not None
        assert status.accepted is None
        assert status.held == 20

    anyio.run(main)


@dataclass
class OneRankHolds:
    """A caller of ranks of which the first gives no answer to the order to hold a pass.

    :param held: what that rank holds all the same.
    """

    held: int | None = None

    def told(self, rank: int) -> RankStatus | None:
        return replace(STATUS, prepared=5)

    async def give(
        self, rank: int, action: RankAction, version: int, step: int, experts: ExpertSets
    ) -> RankStatus | None:
        if action is RankAction.HOLD:
            self.held = step
            return None
        if action is RankAction.GO and self.held == step:
            self.held = None
        return replace(STATUS, accepted=True, held=self.held if rank == 0 else None)


def test_a_hold_without_an_answer_is_ended() -> None:
    """Load pattern: the agent is lost as its rank holds a pass, and the group stands still."""
    caller = OneRankHolds()

    async def main() -> None:
        outcome = await MapSwitch((0, 1, 2), 5, first_map(1, 3, 6), 3).run(caller)
        assert outcome is SwitchOutcome.NOT_HELD

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert caller.held is None


def make_commander(network: MemoryNetwork) -> RankCommander:
    members = tuple(
        GroupMember(rank, agent, endpoint)
        for rank, (agent, endpoint) in enumerate(zip(AGENTS, RANKS, strict=True))
    )
    return RankCommander(
        CommanderAssigned("g0", 1, AGENTS[2], members),
        network.dial("commander", "/ranks"),
        lambda endpoint: RankGate(UnreachableRank(endpoint), RANK_DIALECT),
        EventLog("side-3", "agent", "life", lambda: 0),
        lambda: None,
    )


async def keep_silent(link: Link[NodeMessage]) -> None:
    with suppress(LinkClosed):
        while True:
            await link.receive()


Body = Callable[[MemoryNetwork, RankCommander], Awaitable[None]]


def command_beside(agent: Address, body: Body) -> None:
    """Run a test with a commander and one agent, which answers no order."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            network = MemoryNetwork(tasks)
            network.serve("agent", agent, "/ranks", keep_silent)
            commander = make_commander(network)
            tasks.start_soon(commander.run)
            await anyio.sleep(LINK_S)
            await body(network, commander)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class Counting(LateReporter):
    """A rank that counts the calls which change something."""

    orders = 0

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        self.orders += method == "POST"
        return await super().call(method, target, body, timeout_s)


@pytest.mark.parametrize("action", [RankAction.HOLD, RankAction.GO])
def test_a_hold_is_ordered_from_the_commander_s_vm(action: RankAction) -> None:
    """Load pattern: the VM from which a hold was ordered freezes. Its rank can't be called then."""

    async def body(_: MemoryNetwork, commander: RankCommander) -> None:
        rank = Counting(RANKS[0])
        commander.members[0].gate = RankGate(rank, RANK_DIALECT, reports_late=True)
        status = await commander.give(0, action, 0, 12, ())
        assert status is not None
        assert status.accepted
        assert rank.orders == 1

    command_beside(AGENTS[0], body)


def test_an_order_does_not_wait_for_an_agent_whose_link_is_gone() -> None:
    async def body(network: MemoryNetwork, commander: RankCommander) -> None:
        async def lose_agent() -> None:
            await anyio.sleep(0.05)
            network.stop_serving("agent")

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lose_agent)
            begun_at = anyio.current_time()
            assert await commander.give(0, RankAction.ARM, 5, 12, ()) is None
            assert anyio.current_time() - begun_at < ORDER_WAIT_S / 2

    command_beside(AGENTS[0], body)


def test_a_pass_is_held_by_a_rank_whose_agent_answers() -> None:
    """The commander's own rank stays the last to be armed, whatever its agent does."""

    async def body(_: MemoryNetwork, commander: RankCommander) -> None:
        assert commander._order_of_ranks(range(3)) == (1, 0, 2)

    command_beside(AGENTS[1], body)
