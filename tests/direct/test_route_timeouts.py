"""Each request has its final answer when its route's timeout passes, whatever it waits for."""

from __future__ import annotations

from dataclasses import replace

import anyio
import pytest
from anyio.abc import SocketStream

from bergamotchute_daemon.direct.direct_forwarder import ENDPOINT_WAIT_TIMEOUT_S
from bergamotchute_daemon.direct.routing_table import RoutingTable
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import NodeMessage, ReserveSlot, SlotAnswer, SlotState
from bergamotchute_wire.link import Link
from support.entry_fixture import (
    CONFIGURATION,
    EndpointScript,
    EntryFixture,
    ReceivedRequest,
    answer,
    chunked,
    event,
    run_with_entry,
    stream_head,
)

TIMEOUT_S = 0.5
MAX_LATE_S = 0.25
"""Half of what operators allow."""

AGENT = Address("10.0.0.9", 7000)


async def stay_silent(_: ReceivedRequest, stream: SocketStream) -> None:
    while True:
        await stream.receive()


async def send_informational_heads(_: ReceivedRequest, stream: SocketStream) -> None:
    while True:
        await stream.send(b"HTTP/1.1 102 Processing\r\n\r\n")
        await anyio.sleep(0.02)


async def trickle_body(request: ReceivedRequest, stream: SocketStream) -> None:
    await stream.send(answer(request, body=b"", content_length="100000"))
    while True:
        await stream.send(b"x")
        await anyio.sleep(0.02)


async def trickle_events(request: ReceivedRequest, stream: SocketStream) -> None:
    await stream.send(stream_head(request))
    for number in range(1, 10_000):
        await stream.send(chunked(event(number)))
        await anyio.sleep(0.02)


async def trickle_one_event(request: ReceivedRequest, stream: SocketStream) -> None:
    await stream.send(stream_head(request) + chunked(b"id: 1\ndata: "))
    while True:
        await stream.send(chunked(b"x"))
        await anyio.sleep(0.02)


async def refuse(request: ReceivedRequest, stream: SocketStream) -> None:
    await stream.send(answer(request, 503, bergamotchute_not_executed="full"))


async def fail_late(request: ReceivedRequest, stream: SocketStream) -> None:
    await anyio.sleep(0.8 * TIMEOUT_S)
    await stream.send(answer(request, 500))


SCRIPTS: list[EndpointScript] = [
    stay_silent,
    send_informational_heads,
    trickle_body,
    trickle_events,
    trickle_one_event,
    refuse,
    fail_late,
]


def set_timeouts(path: EntryFixture, objective_s: float, timeout_s: float = TIMEOUT_S) -> None:
    routes = tuple(
        replace(route, timeout_s=timeout_s, objective_s=objective_s)
        for route in CONFIGURATION.routes
    )
    path.routing_table = RoutingTable(replace(CONFIGURATION, routes=routes))


async def duration_s(path: EntryFixture, route: str, body: bytes = b"") -> float:
    began = anyio.current_time()
    await path.send_request(route, body=body, bergamotchute_deadline_remaining="")
    return anyio.current_time() - began


@pytest.mark.parametrize("objective_s", [0.02, 0.4])
@pytest.mark.parametrize("route", ["status", "order", "stream"])
@pytest.mark.parametrize("script", SCRIPTS, ids=lambda script: script.__name__)
def test_request_lasts_longer_than_its_timeout(
    script: EndpointScript, route: str, objective_s: float
) -> None:
    async def body(path: EntryFixture) -> None:
        set_timeouts(path, objective_s)
        for number in range(3):
            await path.add_endpoint(f"runner-{number}", script)
        assert await duration_s(path, route) <= TIMEOUT_S + MAX_LATE_S

    run_with_entry(body)


async def keep_waiting(link: Link[NodeMessage]) -> None:
    """Answer as an agent whose slots stay taken."""
    while True:
        message = await link.receive()
        if isinstance(message, ReserveSlot):
            await link.send(SlotAnswer(message.number, SlotState.WAITING, 6))


@pytest.mark.parametrize("route", ["status", "order", "stream"])
def test_request_waits_for_a_slot_beyond_its_timeout(route: str) -> None:
    async def body(path: EntryFixture) -> None:
        set_timeouts(path, 0.4)
        endpoint = await path.add_endpoint("runner-0", stay_silent)
        path.network.serve("agent", AGENT, "/slots", keep_waiting)
        path.slots.set_agent(endpoint.address, AGENT)
        path.slots.set_used_endpoints(frozenset({endpoint.address}))
        await anyio.sleep(0.1)
        assert await duration_s(path, route) <= TIMEOUT_S + MAX_LATE_S

    run_with_entry(body)


@pytest.mark.parametrize("route", ["status", "order", "stream"])
def test_request_waits_for_the_first_endpoint_beyond_its_timeout(route: str) -> None:
    async def body(path: EntryFixture) -> None:
        set_timeouts(path, 0.4)
        assert await duration_s(path, route) <= TIMEOUT_S + MAX_LATE_S

    run_with_entry(body)


def test_wait_for_the_first_endpoint_begins_anew_with_each_heartbeat_of_another_service() -> None:
    """A request was kept for the whole of its timeout of 4 s."""

    async def body(path: EntryFixture) -> None:
        set_timeouts(path, 0.4, timeout_s=4.0)
        async with anyio.create_task_group() as tasks:

            async def announce_others() -> None:
                while True:
                    await anyio.sleep(0.3)
                    path.forwarder.notify_endpoints_changed()

            tasks.start_soon(announce_others)
            assert await duration_s(path, "status") <= ENDPOINT_WAIT_TIMEOUT_S + MAX_LATE_S
            tasks.cancel_scope.cancel()

    run_with_entry(body)


@pytest.mark.parametrize("route", ["status", "order", "stream"])
def test_request_with_a_body_that_no_endpoint_reads_lasts_longer_than_its_timeout(
    route: str,
) -> None:
    async def body(path: EntryFixture) -> None:
        set_timeouts(path, 0.1)
        for number in range(2):

            async def accept(stream: SocketStream) -> None:
                async with stream:
                    await anyio.sleep_forever()

            path.announce(f"runner-{number}", await path._listen(accept))
        large = b"x" * 4_000_000
        assert await duration_s(path, route, large) <= TIMEOUT_S + MAX_LATE_S + 0.25

    run_with_entry(body)


@pytest.mark.parametrize("route", ["status", "order", "stream"])
@pytest.mark.parametrize("ends_in_s", [0.1, 5.0])
def test_request_at_an_entry_that_stops_lasts_longer_than_its_timeout(
    route: str, ends_in_s: float
) -> None:
    async def body(path: EntryFixture) -> None:
        set_timeouts(path, 0.1)
        await path.add_endpoint("runner-0", stay_silent)
        await path.add_endpoint("runner-1", stay_silent)
        async with anyio.create_task_group() as tasks:

            async def stop() -> None:
                await anyio.sleep(0.1)
                path.server.stopping = True
                path.forwarder.stop_at(anyio.current_time() + ends_in_s)

            tasks.start_soon(stop)
            assert await duration_s(path, route) <= TIMEOUT_S + MAX_LATE_S

    run_with_entry(body)
