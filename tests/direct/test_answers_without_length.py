"""Answers with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from bergamotchute_wire.endpoint_client import (
    CallEndpoint,
    EndpointCallInterrupted,
    EndpointRequest,
    http_endpoint_call,
)
from support.entry_fixture import (
    EndpointScript,
    EntryFixture,
    ReceivedRequest,
    answer,
    event,
    run_with_entry,
)

PROMPT = "aa01:40,dead:95,0f0f:231"


def head_without_length(request: ReceivedRequest) -> bytes:
    return answer(request, body=b"", content_length="", content_type="text/event-stream")


async def reset(stream: SocketStream) -> None:
    """Reset a connection in place of closing it."""
    raw = stream.extra(SocketAttribute.raw_socket)
    await anyio.sleep(0.05)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def send_and_end(
    make_bytes: Callable[[ReceivedRequest], bytes], with_reset: bool = False
) -> EndpointScript:
    async def run(request: ReceivedRequest, stream: SocketStream) -> None:
        await stream.send(make_bytes(request))
        if with_reset:
            await reset(stream)

    return run


def run_first(scripts: list[EndpointScript], entry: EntryFixture) -> EndpointScript:
    """Return a script that runs another one for each request received."""

    async def run(request: ReceivedRequest, stream: SocketStream) -> None:
        index = min(len(entry.received_requests), len(scripts)) - 1
        await scripts[index](request, stream)

    return run


def test_plain_answer_without_length_is_broken_off() -> None:
    async def body(entry: EntryFixture) -> None:
        script = send_and_end(lambda request: answer(request, body=b"whole", content_length=""))
        await entry.add_endpoint("runner-1", script)
        response = await entry.send_request("status")
        assert (response.status, response.body, response.whole) == (200, b"whole", True)

    run_with_entry(body)


def test_stream_without_length_is_broken_off() -> None:
    async def body(entry: EntryFixture) -> None:
        script = send_and_end(lambda request: head_without_length(request) + event(1) + event(2))
        await entry.add_endpoint("runner-1", script)
        response = await entry.send_request("stream")
        assert response.whole
        assert response.body == event(1) + event(2)
        assert len(entry.received_requests) == 1

    run_with_entry(body)


@pytest.mark.parametrize("with_reset", [False, True])
def test_stream_that_ends_inside_an_event_is_whole(with_reset: bool) -> None:
    async def body(entry: EntryFixture) -> None:
        first = send_and_end(
            lambda request: head_without_length(request) + event(1) + event(2)[:-1], with_reset
        )
        second = send_and_end(lambda request: head_without_length(request) + event(2))
        for name in ("runner-1", "runner-2"):
            await entry.add_endpoint(name, run_first([first, second], entry))
        response = await entry.send_request("stream")
        assert response.whole
        assert response.body == event(1) + event(2)
        assert entry.received_requests[1].headers["last-event-id"] == "1"

    run_with_entry(body)


@pytest.mark.parametrize("route", ["order", "stream"])
def test_reset_in_place_of_an_end_is_whole(route: str) -> None:
    async def body(entry: EntryFixture) -> None:
        def answered(request: ReceivedRequest) -> bytes:
            if route == "order":
                return answer(request, body=b"whole", content_length="")
            return head_without_length(request) + event(1)

        await entry.add_endpoint("runner-1", send_and_end(answered, with_reset=True))
        response = await entry.send_request(route)
        assert not (response.status == 200 and response.whole)

    run_with_entry(body)


def test_crash_before_the_first_event_of_a_stream_without_length_goes_unseen() -> None:
    async def body(entry: EntryFixture) -> None:
        async def run(request: ReceivedRequest, stream: SocketStream) -> None:
            await stream.send(head_without_length(request))
            await entry.crash(request.endpoint)

        for name in ("runner-1", "runner-2"):
            await entry.add_endpoint(name, run)
        response = await entry.send_request("stream", bergamotchute_prompt_prefix=PROMPT)
        assert response.status == 502
        assert len(entry.received_requests) == 1
        assert entry.posted_evidence

    run_with_entry(body)


async def read_body(call: CallEndpoint) -> bytes:
    async with call(EndpointRequest("GET", "/", (), b"", 2.0)) as response:
        return b"".join([chunk async for chunk in response.chunks])


@pytest.mark.parametrize("with_reset", [False, True])
def test_own_interface_takes_a_reset_for_the_end_of_an_answer(with_reset: bool) -> None:
    async def body() -> None:
        async def accept(stream: SocketStream) -> None:
            async with stream:
                await stream.receive()
                await stream.send(b"HTTP/1.1 200 OK\r\n\r\nwhole")
                if with_reset:
                    await reset(stream)

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, accept)
            call = http_endpoint_call(f"http://127.0.0.1:{port}")
            if with_reset:
                with pytest.raises(EndpointCallInterrupted):
                    await read_body(call)
            else:
                assert await read_body(call) == b"whole"
            tasks.cancel_scope.cancel()

    anyio.run(body)
