"""Endpoints that send bytes without end cost the processes that call them bounded memory."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from bergamotchute_model.identifiers import Address
from bergamotchute_wire.endpoint_client import (
    EndpointCallInterrupted,
    EndpointRequest,
    http_endpoint_call,
)
from bergamotchute_wire.http1_messages import EndpointFailure
from bergamotchute_wire.persistent_connection import PersistentConnection
from support.entry_fixture import EntryFixture, ReceivedRequest, answer, run_with_entry, wait_until

MAX_SENT_BYTES = 16_777_216
"""What an endpoint gets rid of at most: the limits of a response and the buffers of the sockets."""

TIMEOUT_S = 15.0

HEAD = b"HTTP/1.1 200 X\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
IN_A_HEAD = {
    "line": (b"", b"x" * 8_192),
    "header": (HEAD + b"a: ", b"x" * 8_192),
    "headers": (HEAD, b"x-one: two\r\n" * 600),
    "interim responses": (b"", INTERIM * 300),
}
IN_A_BODY = {
    "chunk line": (CHUNKED + b"1;", b"x" * 8_192),
    "one-byte chunks": (CHUNKED, b"1\r\nx\r\n" * 1_300),
    "chunks": (CHUNKED, b"2000\r\n" + b"x" * 8_192 + b"\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"x-one: two\r\n" * 600),
    "body without length": (HEAD + b"\r\n", b"x" * 8_192),
}
SHAPES = IN_A_HEAD | IN_A_BODY
each_shape = pytest.mark.parametrize("shape", SHAPES.values(), ids=list(SHAPES))


async def send_endlessly(stream: SocketStream, start: bytes, endless: bytes) -> int:
    """Send until the connection is closed or far too much was taken; return the bytes sent."""
    sent = 0
    try:
        await stream.send(start)
        while sent <= 2 * MAX_SENT_BYTES:
            await stream.send(endless)
            sent += len(endless)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        pass
    return sent


def run_with_endless_endpoint(
    shape: tuple[bytes, bytes], body: Callable[[Address], Awaitable[None]]
) -> int:
    """Run a test against an endpoint that sends without end; return the bytes that it sent."""
    sent: list[int] = []

    async def accept(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            sent.append(await send_endlessly(stream, *shape))

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, accept)
            with anyio.fail_after(2 * TIMEOUT_S):
                await body(Address(*listener.extra(SocketAttribute.local_address)))
                await wait_until(lambda: bool(sent))
            tasks.cancel_scope.cancel()

    anyio.run(main)
    return sent[0]


@each_shape
def test_call_to_a_rank_goes_on_until_its_timeout(shape: tuple[bytes, bytes]) -> None:
    """One faulty rank kept its agent busy for the whole timeout of each call."""

    async def body(address: Address) -> None:
        with pytest.raises(EndpointFailure) as raised:
            await PersistentConnection(address).call("GET", "/report", b"", TIMEOUT_S)
        assert raised.value.reason != "TimeoutError"

    assert run_with_endless_endpoint(shape, body) <= MAX_SENT_BYTES


@pytest.mark.parametrize("shape", IN_A_HEAD.values(), ids=list(IN_A_HEAD))
def test_attempt_of_an_agent_goes_on_until_its_timeout(shape: tuple[bytes, bytes]) -> None:
    """One faulty endpoint kept the agent of our own interface busy for the whole attempt."""

    async def body(address: Address) -> None:
        call = http_endpoint_call(f"http://{address}")
        with pytest.raises(EndpointCallInterrupted) as raised:
            async with call(EndpointRequest("POST", "/", (), b"{}", TIMEOUT_S)):
                pass
        assert "no data" not in str(raised.value)

    assert run_with_endless_endpoint(shape, body) <= MAX_SENT_BYTES


@each_shape
@pytest.mark.parametrize("route", ["order", "stream"])
def test_entry_runs_out_of_memory(shape: tuple[bytes, bytes], route: str) -> None:
    """The entry kept all bytes of a faulty endpoint, and the requests of other callers ended."""
    start, endless = shape

    async def body(entry: EntryFixture) -> None:
        sent: list[int] = []

        async def respond(request: ReceivedRequest, stream: SocketStream) -> None:
            if request.headers["bergamotchute-request-id"] == "sound":
                await stream.send(answer(request))
                return
            is_complete_head = start.startswith(HEAD) and b"\r\n\r\n" in start
            head = start
            if is_complete_head:
                own_lines = start[len(HEAD) :].partition(b"\r\n\r\n")
                signed = answer(request, body=b"", content_length="")[: -len(b"\r\n")]
                lines = own_lines[0] + b"\r\n" if own_lines[0] else b""
                head = signed + lines + b"\r\n" + own_lines[2]
            sent.append(await send_endlessly(stream, head, endless))

        await entry.add_endpoint("runner-1", respond)
        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(entry.send_request, route)
            await wait_until(lambda: bool(entry.received_requests))
            sound = await entry.send_request("order", bergamotchute_request_id="sound")
            assert sound.status in (200, 503)
        await wait_until(lambda: len(sent) == len(entry.received_requests) - (sound.status == 200))
        assert max(sent) <= MAX_SENT_BYTES
        assert not entry.calls.held.held

    run_with_entry(body)
