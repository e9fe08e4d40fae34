"""Orders to a rank whose agent is lost: the commander calls the rank from its own VM.

A report that is read from another VM is some hundred milliseconds old, so the rank's state after an
order is derived from its answer to the order rather than from the next report.
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
from bergamotchute_daemon.ranks.rank_client import RankClient
from bergamotchute_daemon.ranks.rank_commander import ORDER_TIMEOUT_S, RankCommander
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    CommanderAssigned,
    GroupMember,
    NodeMessage,
    RankAction,
    RankOrder,
    RankStatus,
)
from bergamotchute_model.packed_map import ExpertPlacement
from bergamotchute_platform.rank_calls import RANK_API
from bergamotchute_policy.even_map_planner import initial_map
from bergamotchute_wire.http1_messages import EndpointFailure
from bergamotchute_wire.link import Link, LinkClosed
from bergamotchute_wire.persistent_connection import PersistentConnection
from support.memory_links import MemoryNetwork
from support.unreachable_rank import UnreachableRank

AGENTS = tuple(Address(f"10.0.0.{number}", 7000) for number in range(1, 4))
RANKS = tuple(Address(f"10.0.0.{number}", 8000) for number in range(1, 4))
LINK_OPEN_S = 0.1
"""Time within which the links of the in-memory network open."""

STATUS = RankStatus("g0", 0, 3, 1, True, 0, 9, 4, None, None, None)


class DelayedReportConnection(PersistentConnection):
    """The connection to a rank that accepts each order but whose report is older than any."""

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
def test_an_accepted_order_overrides_an_older_report(
    action: RankAction, name: str, expected: object
) -> None:
    async def main() -> None:
        rank_client = RankClient(
            DelayedReportConnection(RANKS[0]), RANK_API, is_report_delayed=True
        )
        status = await rank_client.send_order(RankOrder(1, 1, 1, action, 5, 20))
        assert status is not None
        assert getattr(status, name) == expected

    anyio.run(main)


class UnansweredOrderConnection(DelayedReportConnection):
    """The connection to a rank that answers no order and whose report is older than the hold."""

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        if method == "POST":
            raise EndpointFailure("TimeoutError", True)
        return 200, (await super().call(method, target, body, timeout_s))[1].replace(b"8", b"null")


def test_a_hold_lasts_until_the_rank_has_accepted_its_end() -> None:
    """Guards against believing an outdated report that shows no hold after an unanswered order."""

    async def main() -> None:
        rank_client = RankClient(
            UnansweredOrderConnection(RANKS[0]), RANK_API, is_report_delayed=True
        )
        status = await rank_client.send_order(RankOrder(1, 1, 1, RankAction.GO, 0, 20))
        assert status is not None
        assert status.accepted is None
        assert status.held == 20

    anyio.run(main)


@dataclass
class UnansweredHoldSender:
    """Sends orders to ranks, of which the first doesn't answer the order to hold a pass.

    :param held: the pass that this rank holds nevertheless.
    """

    held: int | None = None

    def known_status(self, rank: int) -> RankStatus | None:
        return replace(STATUS, prepared=5)

    async def send_order(
        self, rank: int, action: RankAction, version: int, step: int, experts: ExpertPlacement
    ) -> RankStatus | None:
        if action is RankAction.HOLD:
            self.held = step
            return None
        if action is RankAction.GO and self.held == step:
            self.held = None
        return replace(STATUS, accepted=True, held=self.held if rank == 0 else None)


def test_an_unanswered_hold_is_ended() -> None:
    """Guards against a stalled group: the agent is lost while its rank carries out a hold."""
    order_sender = UnansweredHoldSender()

    async def main() -> None:
        outcome = await MapSwitch((0, 1, 2), 5, initial_map(1, 3, 6), lambda _: 3).run(order_sender)
        assert outcome is SwitchOutcome.NOT_HELD

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert order_sender.held is None


def make_commander(network: MemoryNetwork) -> RankCommander:
    members = tuple(
        GroupMember(rank, agent, endpoint)
        for rank, (agent, endpoint) in enumerate(zip(AGENTS, RANKS, strict=True))
    )
    return RankCommander(
        CommanderAssigned("g0", 1, AGENTS[2], members),
        network.dial("commander", "/ranks"),
        lambda endpoint: RankClient(UnreachableRank(endpoint), RANK_API),
        EventLog("side-3", "agent", "life", lambda: 0),
        lambda: None,
    )


async def discard_messages(link: Link[NodeMessage]) -> None:
    with suppress(LinkClosed):
        while True:
            await link.receive()


CommanderTest = Callable[[MemoryNetwork, RankCommander], Awaitable[None]]


def run_with_agent(agent: Address, body: CommanderTest) -> None:
    """Run a test body with a commander and one agent, which answers no order."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            network = MemoryNetwork(tasks)
            network.serve("agent", agent, "/ranks", discard_messages)
            commander = make_commander(network)
            tasks.start_soon(commander.run)
            await anyio.sleep(LINK_OPEN_S)
            await body(network, commander)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class OrderCountingConnection(DelayedReportConnection):
    """The connection to a rank, which counts the orders sent on it."""

    order_count = 0

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        self.order_count += method == "POST"
        return await super().call(method, target, body, timeout_s)


@pytest.mark.parametrize("action", [RankAction.HOLD, RankAction.GO])
def test_a_hold_is_ordered_and_ended_from_the_commanders_vm(action: RankAction) -> None:
    """Guards against a hold that nobody can end.

    The rank of a frozen VM can't be called. If the frozen VM has ordered the hold, the group
    stalls.
    """

    async def body(_: MemoryNetwork, commander: RankCommander) -> None:
        rank = OrderCountingConnection(RANKS[0])
        commander.members[0].rank_client = RankClient(rank, RANK_API, is_report_delayed=True)
        status = await commander.send_order(0, action, 0, 12, ())
        assert status is not None
        assert status.accepted
        assert rank.order_count == 1

    run_with_agent(AGENTS[0], body)


def test_an_order_does_not_wait_for_an_agent_whose_link_is_closed() -> None:
    async def body(network: MemoryNetwork, commander: RankCommander) -> None:
        async def lose_agent() -> None:
            await anyio.sleep(0.05)
            network.stop_serving("agent")

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lose_agent)
            started_at = anyio.current_time()
            assert await commander.send_order(0, RankAction.ARM, 5, 12, ()) is None
            assert anyio.current_time() - started_at < ORDER_TIMEOUT_S / 2

    run_with_agent(AGENTS[0], body)


def test_a_pass_is_held_by_a_rank_whose_agent_answers() -> None:
    """The commander's own rank is still the last to be armed, whether its agent answers or not."""

    async def body(_: MemoryNetwork, commander: RankCommander) -> None:
        assert commander._switch_order(range(3)) == (1, 0, 2)

    run_with_agent(AGENTS[1], body)
