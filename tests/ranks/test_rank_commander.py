"""The fences of a commander's orders, and the lead of its holds."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from itertools import pairwise

import anyio
import anyio.lowlevel
import pytest

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.ranks.map_switch import MIN_SWITCH_LEAD_S
from bergamotchute_daemon.ranks.rank_client import RankClient
from bergamotchute_daemon.ranks.rank_commander import MAX_SWITCH_LEAD_S, RankCommander
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    CommanderAssigned,
    GroupMember,
    NodeMessage,
    RankAction,
    RankOrder,
    RankStatus,
)
from bergamotchute_platform.rank_calls import RANK_API
from bergamotchute_wire.link import Link, LinkClosed
from support.memory_links import MemoryNetwork
from support.unreachable_rank import UnreachableRank

AGENT = Address("10.0.0.1", 7000)
RANK = Address("10.0.0.1", 8000)


class RecordingAgent:
    """An agent that answers and records every order of its commanders."""

    def __init__(self) -> None:
        self.received_orders: list[RankOrder] = []

    async def serve(self, link: Link[NodeMessage]) -> None:
        while True:
            try:
                order = await link.receive()
            except LinkClosed:
                return
            assert isinstance(order, RankOrder)
            self.received_orders.append(order)
            await link.send(
                RankStatus("g0", 0, 2, 1, True, 0, 9, 0, None, None, None, order.order, True)
            )


def run_with_agent(
    body: Callable[
        [MemoryNetwork, RecordingAgent, Callable[[int], RankCommander]], Awaitable[None]
    ],
) -> None:
    """Run a test body with one agent of a group of two ranks; the other rank can't be reached."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            network = MemoryNetwork(tasks)
            agent = RecordingAgent()
            network.serve("agent", AGENT, "/ranks", agent.serve)

            def command(fence: int) -> RankCommander:
                commander = RankCommander(
                    CommanderAssigned("g0", fence, AGENT, (GroupMember(0, AGENT, RANK),)),
                    network.dial(f"commander-{fence}", "/ranks"),
                    lambda endpoint: RankClient(UnreachableRank(endpoint), RANK_API),
                    EventLog("side-1", "agent", "life", lambda: 0),
                    lambda: None,
                )
                tasks.start_soon(commander.run)
                return commander

            with anyio.fail_after(20):
                await body(network, agent, command)
            tasks.cancel_scope.cancel()

    anyio.run(main)


async def linked(commander: RankCommander) -> None:
    while not commander.members or commander.members[0].outbox is None:
        await anyio.lowlevel.checkpoint()


def test_each_order_that_changes_state_has_a_higher_fence_than_the_one_before() -> None:
    """Guards against a late order to arm that undoes the order to disarm sent after it.

    A rank refuses an order with a lower fence than one it has accepted.
    """

    async def body(
        _: MemoryNetwork, agent: RecordingAgent, command: Callable[[int], RankCommander]
    ) -> None:
        commander = command(20_001)
        await linked(commander)
        for action in (RankAction.ARM, RankAction.DISARM, RankAction.GO):
            assert await commander.send_order(0, action, 1, 12, ()) is not None
        successor = command(20_002)
        await linked(successor)
        assert await successor.send_order(0, RankAction.DISARM, 1, 0, ()) is not None
        changes = [
            order.fence for order in agent.received_orders if order.action is not RankAction.READ
        ]
        assert len(changes) == 4
        assert all(earlier < later for earlier, later in pairwise(changes))

    run_with_agent(body)


def test_a_commander_receives_reports_again_after_its_link_was_reopened() -> None:
    """Guards against a commander that receives no reports after its link was reopened.

    An agent reports on the link with the highest fence, so the first order on a new link must not
    have a lower fence than the orders on the previous one.
    """

    async def body(
        network: MemoryNetwork, agent: RecordingAgent, command: Callable[[int], RankCommander]
    ) -> None:
        commander = command(20_001)
        await linked(commander)
        assert await commander.send_order(0, RankAction.ARM, 1, 12, ()) is not None
        previous_fence = max(order.fence for order in agent.received_orders)
        network.stop_serving("agent")
        while commander.members[0].outbox is not None:
            await anyio.lowlevel.checkpoint()
        agent.received_orders.clear()
        network.serve("agent", AGENT, "/ranks", agent.serve)
        await linked(commander)
        while not agent.received_orders:
            await anyio.lowlevel.checkpoint()
        assert agent.received_orders[0].fence >= previous_fence

    run_with_agent(body)


def test_the_lead_of_a_hold_follows_the_time_that_arming_takes() -> None:
    """Guards against a stalled group when arming takes longer than the lead of the hold.

    This happens when a third of the orders get no answer and are sent again after 0.15 s.
    """

    async def body(
        _: MemoryNetwork, __: RecordingAgent, command: Callable[[int], RankCommander]
    ) -> None:
        commander = command(20_001)
        commander._adjust_switch_lead(0.6)
        assert commander.switch_lead_s == pytest.approx(0.6)
        commander._adjust_switch_lead(9.0)
        assert commander.switch_lead_s == MAX_SWITCH_LEAD_S
        for _ in range(8):
            commander._adjust_switch_lead(0.01)
        assert commander.switch_lead_s == MIN_SWITCH_LEAD_S

    run_with_agent(body)
