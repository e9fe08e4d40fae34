"""An endpoint that stops within its response and closes, or resets, has not answered."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from contextlib import suppress

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from bergamotchute_model.identifiers import Address
from bergamotchute_wire.endpoint_client import (
    CallEndpoint,
    EndpointCallInterrupted,
    EndpointRequest,
    http_endpoint_call,
)
from bergamotchute_wire.http1_messages import EndpointFailure
from bergamotchute_wire.persistent_connection import PersistentConnection
from support.entry_fixture import (
    EntryFixture,
    ReceivedRequest,
    answer,
    chunked,
    event,
    run_with_entry,
    stream_head,
)

LAST_CHUNK = b"0\r\n\r\n"
RESET_STEP = 7
"""Resets are slower to set up than closes, so only each seventh byte is tried."""


def with_length(request: ReceivedRequest) -> bytes:
    return answer(request)


def in_chunks(request: ReceivedRequest) -> bytes:
    head = answer(request, body=b"", content_length="", transfer_encoding="chunked")
    return head + chunked(b"do") + chunked(b"ne") + LAST_CHUNK


def head_without_length(request: ReceivedRequest) -> bytes:
    """Return a head alone; a body without a length has no end that could be missing."""
    return answer(request, body=b"", content_length="")


def event_stream(request: ReceivedRequest) -> bytes:
    return stream_head(request) + chunked(event(1)) + chunked(event(2)) + LAST_CHUNK


Shape = Callable[[ReceivedRequest], bytes]


async def send_cut(stream: SocketStream, data: bytes, resets: bool) -> None:
    if data:
        await stream.send(data)
    if resets:
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize(
    ("route", "shape"),
    [
        ("order", with_length),
        ("order", in_chunks),
        ("order", head_without_length),
        ("status", with_length),
        ("status", in_chunks),
        ("stream", event_stream),
        ("stream", head_without_length),
    ],
)
def test_cut_response_is_sent_to_the_caller_as_a_whole_one(
    route: str, shape: Shape, resets: bool
) -> None:
    """Callers got a 200 with an empty or short body, framed as whole."""

    async def body(entry: EntryFixture) -> None:
        cut_at = 0
        size = 1

        async def respond(request: ReceivedRequest, stream: SocketStream) -> None:
            nonlocal size
            data = shape(request)
            size = len(data)
            await send_cut(stream, data[:cut_at], resets)

        await entry.add_endpoint("runner-1", respond)
        while cut_at < size:
            response = await entry.send_request(route)
            assert (response.status, response.whole) != (200, True), cut_at
            cut_at += RESET_STEP if resets else 1

    run_with_entry(body)


def test_cut_head_before_the_end_of_an_upload_is_an_answer() -> None:
    async def body(entry: EntryFixture) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")

        async def accept(stream: SocketStream) -> None:
            # The entry connects once more to tell a crash from a lost connection.
            with suppress(anyio.EndOfStream):
                async with stream:
                    await stream.receive()
                    await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n")

        entry.tasks.start_soon(listener.serve, accept)
        entry.announce("runner-1", Address(*listener.extra(SocketAttribute.local_address)))
        response = await entry.send_request("order", body=b"x" * 1_048_576)
        assert response.status == 502

    run_with_entry(body)


async def read_whole(call: CallEndpoint) -> bytes:
    async with call(EndpointRequest("POST", "/", (), b"{}", 5.0)) as response:
        return b"".join([chunk async for chunk in response.chunks])


PLAIN = b"HTTP/1.1 200 X\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\r\ndone"
CHUNKS = b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"


@pytest.mark.parametrize("response", [PLAIN, CHUNKS], ids=["length", "chunks"])
def test_call_of_an_agent_takes_a_cut_response(response: bytes) -> None:
    async def main() -> None:
        cut_at = 0

        async def accept(stream: SocketStream) -> None:
            async with stream:
                await stream.receive()
                await send_cut(stream, response[:cut_at], False)

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = Address(*listener.extra(SocketAttribute.local_address))
        call = http_endpoint_call(f"http://{address}")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, accept)
            for cut_at in range(len(response)):  # noqa: B007 - read by the endpoint.
                with pytest.raises(EndpointFailure):
                    await PersistentConnection(address).call("GET", "/report", b"", 5.0)
                with pytest.raises(EndpointCallInterrupted):
                    await read_whole(call)
            tasks.cancel_scope.cancel()

    anyio.run(main)
