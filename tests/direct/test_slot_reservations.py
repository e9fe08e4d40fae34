"""An entry and the agents beside endpoints: slots are found, given back, and never waited for."""

from __future__ import annotations

import anyio
import anyio.lowlevel
from anyio.abc import SocketStream

from bergamotchute_daemon.direct.slot_reservations import ANSWER_WAIT_S, SlotQuestion, SlotTold
from bergamotchute_daemon.ranks.slot_keeper import SlotKeeper
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.identifiers import Address
from support.direct_path import Arrival, DirectPath, chunked, event, run_direct, stream_head

SLOTS = 6


def question(queue: int = 0, wait_s: float = 0.0) -> SlotQuestion:
    now = anyio.current_time()
    return SlotQuestion(SLOTS, queue, now, now + wait_s)


async def draft(arrival: Arrival, stream: SocketStream) -> None:
    await stream.send(stream_head(arrival) + chunked(event(1)) + b"0\r\n\r\n")


async def add_agent(path: DirectPath, endpoint: EndpointHeartbeat, number: int) -> SlotKeeper:
    """Let an agent keep the slots of an endpoint, and link the entry to it."""
    keeper = SlotKeeper()
    address = Address(f"10.0.0.{number}", 7000)
    path.network.serve(f"agent-{number}", address, "/slots", keeper.serve)
    path.slots.use(path.slots.used | {endpoint.address})
    path.slots.on_agent(endpoint.address, address)
    while path.slots.links[address].outbox is None:
        await anyio.lowlevel.checkpoint()
    return keeper


def test_a_request_goes_where_an_agent_has_a_slot() -> None:
    async def body(path: DirectPath) -> None:
        first = await path.add_endpoint("runner-1", draft)
        second = await path.add_endpoint("runner-2", draft)
        full = await add_agent(path, first, 1)
        free = await add_agent(path, second, 2)
        full.ledger.on_report(SLOTS)
        # What the entry knows is old: the full endpoint seems to be the emptier one.
        path.placement.on_told(second, 1, anyio.current_time())
        got = await path.ask("draft")
        assert got.whole
        assert [arrival.endpoint for arrival in path.arrivals] == ["runner-2"]
        while free.ledger.requests:
            await anyio.lowlevel.checkpoint()
        assert full.ledger.requests == SLOTS

    run_direct(body)


def test_a_silent_agent_holds_no_request_up() -> None:
    async def body(path: DirectPath) -> None:
        endpoint = await path.add_endpoint("runner-1", draft)
        await add_agent(path, endpoint, 1)
        path.network.cut("entry-1", "agent-1")
        begun_at = anyio.current_time()
        assert await path.slots.reserve(endpoint.address, question()) is None
        waited_s = anyio.current_time() - begun_at
        assert waited_s >= 0.9 * ANSWER_WAIT_S
        asked = path.slots.asked
        assert await path.slots.reserve(endpoint.address, question()) is None
        assert path.slots.asked == asked
        assert (await path.ask("draft")).whole

    run_direct(body)


def test_the_slot_of_a_caller_that_left_while_it_was_asked_for_is_given_back() -> None:
    async def body(path: DirectPath) -> None:
        endpoint = await path.add_endpoint("runner-1", draft)
        keeper = await add_agent(path, endpoint, 1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.slots.reserve, endpoint.address, question())
            while not keeper.ledger.requests:
                await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()
        while keeper.ledger.requests:
            await anyio.lowlevel.checkpoint()

    run_direct(body)


def test_slots_end_with_the_link_of_their_entry() -> None:
    async def body(path: DirectPath) -> None:
        endpoint = await path.add_endpoint("runner-1", draft)
        keeper = await add_agent(path, endpoint, 1)
        told = await path.slots.reserve(endpoint.address, question())
        assert told is not None
        assert told.reservation is not None
        assert keeper.ledger.requests == 1
        path.network.stop_serving("agent-1")
        while keeper.ledger.requests:
            await anyio.lowlevel.checkpoint()
        # The slot of a link that is gone is given back to nobody.
        told.reservation.release()

    run_direct(body)


def test_a_request_waits_for_a_slot_and_gets_the_next_one() -> None:
    async def body(path: DirectPath) -> None:
        endpoint = await path.add_endpoint("runner-1", draft)
        keeper = await add_agent(path, endpoint, 1)
        keeper.on_report(SLOTS + 1)
        async with anyio.create_task_group() as tasks:
            told: list[SlotTold | None] = []

            async def ask() -> None:
                told.append(await path.slots.reserve(endpoint.address, question(2, 5.0)))

            tasks.start_soon(ask)
            while not keeper.ledger.line.waiting:
                await anyio.lowlevel.checkpoint()
            assert not told
            keeper.on_report(SLOTS)
        assert told[0] is not None
        assert told[0].reservation is not None

    run_direct(body)


def test_a_wait_ends_when_it_takes_too_long_or_its_agent_is_gone() -> None:
    async def body(path: DirectPath) -> None:
        endpoint = await path.add_endpoint("runner-1", draft)
        keeper = await add_agent(path, endpoint, 1)
        keeper.on_report(SLOTS + 1)
        told = await path.slots.reserve(endpoint.address, question(2, 0.1))
        assert told is not None
        assert told.reservation is None
        assert told.waited_s >= 0.09
        while keeper.ledger.line.waiting:
            await anyio.lowlevel.checkpoint()
        async with anyio.create_task_group() as tasks:

            async def ask() -> None:
                # The request goes on by what the entry knows, as if there were no agent.
                assert await path.slots.reserve(endpoint.address, question(2, 1000.0)) is None

            tasks.start_soon(ask)
            while not keeper.ledger.line.waiting:
                await anyio.lowlevel.checkpoint()
            # The entry hears that it waits within a millisecond.
            await anyio.sleep(0.02)
            path.network.stop_serving("agent-1")

    run_direct(body)
