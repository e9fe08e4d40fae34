"""Slots are reserved with agents and released, and a lost agent never blocks a request."""

from __future__ import annotations

from dataclasses import replace

import anyio
import anyio.lowlevel
from anyio.abc import SocketStream

from bergamotchute_daemon.direct.routing_table import RoutingTable
from bergamotchute_daemon.direct.slot_reservations import (
    AGENT_ANSWER_TIMEOUT_S,
    SlotOutcome,
    SlotRequest,
)
from bergamotchute_model.versioned_configuration import EnginePerformance, ServiceRule, TeamRule
from support.entry_fixture import (
    CONFIGURATION,
    EntryFixture,
    ReceivedRequest,
    add_agent,
    chunked,
    event,
    run_with_entry,
    stream_head,
)

SLOTS = 6
ENGINE = EnginePerformance(SLOTS, 9_000, 0.005, 0.0007, 2e-8, 74_800.0, 512, 6, 835.0, 159.0)


def make_slot_request(queue: int = 0, wait_s: float = 0.0) -> SlotRequest:
    now = anyio.current_time()
    return SlotRequest(SLOTS, queue, now, now + wait_s)


async def send_stream(request: ReceivedRequest, stream: SocketStream) -> None:
    await stream.send(stream_head(request) + chunked(event(1)) + b"0\r\n\r\n")


def test_a_request_goes_to_an_endpoint_with_a_free_slot() -> None:
    async def body(path: EntryFixture) -> None:
        first = await path.add_endpoint("runner-1", send_stream)
        second = await path.add_endpoint("runner-2", send_stream)
        full = await add_agent(path, first, 1)
        free = await add_agent(path, second, 2)
        full.ledger.on_request_count(SLOTS)
        # The entry has stale loads, by which the full endpoint is the less loaded one.
        path.placement.on_load_reported(second, 1, anyio.current_time())
        response = await path.send_request("stream")
        assert response.whole
        assert [request.endpoint for request in path.received_requests] == ["runner-2"]
        while free.ledger.requests:
            await anyio.lowlevel.checkpoint()
        assert full.ledger.requests == SLOTS

    run_with_entry(body)


def test_a_silent_agent_does_not_block_requests() -> None:
    async def body(path: EntryFixture) -> None:
        endpoint = await path.add_endpoint("runner-1", send_stream)
        await add_agent(path, endpoint, 1)
        path.network.cut("entry-1", "agent-1")
        started_at = anyio.current_time()
        assert await path.slots.reserve(endpoint.address, make_slot_request()) is None
        waited_s = anyio.current_time() - started_at
        assert waited_s >= 0.9 * AGENT_ANSWER_TIMEOUT_S
        asked_count = path.slots.asked_count
        assert await path.slots.reserve(endpoint.address, make_slot_request()) is None
        assert path.slots.asked_count == asked_count
        assert (await path.send_request("stream")).whole

    run_with_entry(body)


def test_a_slot_is_released_if_the_caller_disconnects_while_it_is_asked_for() -> None:
    async def body(path: EntryFixture) -> None:
        endpoint = await path.add_endpoint("runner-1", send_stream)
        agent_slots = await add_agent(path, endpoint, 1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.slots.reserve, endpoint.address, make_slot_request())
            while not agent_slots.ledger.requests:
                await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()
        while agent_slots.ledger.requests:
            await anyio.lowlevel.checkpoint()

    run_with_entry(body)


def test_slots_are_released_when_the_link_of_their_entry_closes() -> None:
    async def body(path: EntryFixture) -> None:
        endpoint = await path.add_endpoint("runner-1", send_stream)
        agent_slots = await add_agent(path, endpoint, 1)
        outcome = await path.slots.reserve(endpoint.address, make_slot_request())
        assert outcome is not None
        assert outcome.reservation is not None
        assert agent_slots.ledger.requests == 1
        path.network.stop_serving("agent-1")
        while agent_slots.ledger.requests:
            await anyio.lowlevel.checkpoint()
        # Releasing a slot after its link has closed does nothing.
        outcome.reservation.release()

    run_with_entry(body)


def test_a_request_waits_for_a_slot_and_gets_the_next_one() -> None:
    async def body(path: EntryFixture) -> None:
        endpoint = await path.add_endpoint("runner-1", send_stream)
        agent_slots = await add_agent(path, endpoint, 1)
        agent_slots.on_request_count(SLOTS + 1)
        async with anyio.create_task_group() as tasks:
            outcomes: list[SlotOutcome | None] = []

            async def reserve_and_wait() -> None:
                outcomes.append(
                    await path.slots.reserve(endpoint.address, make_slot_request(2, 5.0))
                )

            tasks.start_soon(reserve_and_wait)
            while not agent_slots.ledger.line.waiting:
                await anyio.lowlevel.checkpoint()
            assert not outcomes
            agent_slots.on_request_count(SLOTS)
        assert outcomes[0] is not None
        assert outcomes[0].reservation is not None

    run_with_entry(body)


def test_a_wait_ends_at_its_timeout_or_when_the_agent_is_lost() -> None:
    async def body(path: EntryFixture) -> None:
        endpoint = await path.add_endpoint("runner-1", send_stream)
        agent_slots = await add_agent(path, endpoint, 1)
        agent_slots.on_request_count(SLOTS + 1)
        outcome = await path.slots.reserve(endpoint.address, make_slot_request(2, 0.1))
        assert outcome is not None
        assert outcome.reservation is None
        assert outcome.waited_s >= 0.09
        while agent_slots.ledger.line.waiting:
            await anyio.lowlevel.checkpoint()
        async with anyio.create_task_group() as tasks:

            async def reserve_and_wait() -> None:
                # Without an agent, the entry relies on the loads that it knows.
                assert (
                    await path.slots.reserve(endpoint.address, make_slot_request(2, 1000.0)) is None
                )

            tasks.start_soon(reserve_and_wait)
            while not agent_slots.ledger.line.waiting:
                await anyio.lowlevel.checkpoint()
            # The entry is outcome within a millisecond that the request waits.
            await anyio.sleep(0.02)
            path.network.stop_serving("agent-1")

    run_with_entry(body)


def test_requests_are_placed_and_refused_by_the_memory_of_endpoints() -> None:
    """An endpoint with one long prompt seems to be the emptiest but has no room for another."""

    async def body(path: EntryFixture) -> None:
        service = ServiceRule("model", 100, ENGINE)
        path.routing_table = RoutingTable(replace(CONFIGURATION, services=(service,)))
        first = await path.add_endpoint("runner-1", send_stream)
        second = await path.add_endpoint("runner-2", send_stream)
        long_prompts = await add_agent(path, first, 1)
        short_prompts = await add_agent(path, second, 2)
        held = replace(make_slot_request(), tokens=8_000, engine=ENGINE)
        assert await path.slots.reserve(first.address, held) is not None
        short_prompts.ledger.on_request_count(3)
        path.placement.on_load_reported(second, 3, anyio.current_time())
        response = await path.send_request("stream", bergamotchute_token_counts="1200,300")
        assert response.whole
        assert [request.endpoint for request in path.received_requests] == ["runner-2"]
        assert long_prompts.ledger.requests == 1
        response = await path.send_request("stream", bergamotchute_token_counts="8900,101")
        assert response.status == 503
        assert len(path.received_requests) == 1

    run_with_entry(body)


def test_priorities_of_a_service_follow_from_its_teams_before_its_routes() -> None:
    """A service whose requests all have one priority is served as if there were none."""

    def services(teams: tuple[int | None, ...], routes: tuple[int, ...]) -> frozenset[str]:
        route = replace(CONFIGURATION.routes[0], open_to_all=False)
        configuration = replace(
            CONFIGURATION,
            routes=tuple(replace(route, priority=each) for each in routes),
            teams=tuple(TeamRule(f"team-{each}", (f"key-{each}",), each) for each in teams),
        )
        return RoutingTable(configuration).services_with_priorities

    assert not services((1,), (0, 2))
    assert not services((1, None), (1, 1))
    assert services((1, 2), (0, 0)) == {"model"}
    assert services((1, None), (0, 0)) == {"model"}
    assert services((), (0, 2)) == {"model"}
