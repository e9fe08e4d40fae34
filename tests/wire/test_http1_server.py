"""The HTTP/1.1 server: responses survive its closing; malformed requests affect no others."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import anyio.lowlevel
import h11
import pytest
from anyio.abc import ByteStream, SocketAttribute, SocketStream

from bergamotchute_model.headers import Headers
from bergamotchute_model.identifiers import Address
from bergamotchute_wire import http1_server
from bergamotchute_wire.http1_server import (
    CallerDisconnected,
    CallerRequest,
    Http1Server,
    ResponseWriter,
    ServerLimits,
)
from support.entry_fixture import wait_until

SEND_COUNT = 2_000
"""Sends of 8 kB, far more than the socket buffers and the server's limits can hold."""

REQUEST = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi"


def serve(
    handler: Callable[[CallerRequest, ResponseWriter], Awaitable[None]],
    body: Callable[[Http1Server, Address], Awaitable[None]],
    limits: ServerLimits | None = None,
) -> None:
    """Run a test against a server on a free port."""

    async def main() -> None:
        server = Http1Server(handler, limits or ServerLimits())
        free_port_listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = Address(*free_port_listener.extra(SocketAttribute.local_address))
        await free_port_listener.aclose()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, address)
            while server.listener is None:
                await anyio.lowlevel.checkpoint()
            with anyio.fail_after(20):
                await body(server, address)
            tasks.cancel_scope.cancel()

    anyio.run(main)


async def connect(address: Address) -> SocketStream:
    return await anyio.connect_tcp(address.host, address.port)


async def read_all(stream: SocketStream) -> bytes:
    data = b""
    while True:
        try:
            data += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return data


async def send_repeatedly(stream: SocketStream, data: bytes) -> None:
    for _ in range(SEND_COUNT):
        await stream.send(data)


async def echo(request: CallerRequest, writer: ResponseWriter) -> None:
    await writer.respond(200, (), request.body)


def test_a_response_in_progress_is_completed_after_the_server_closes() -> None:
    begun, may_continue = anyio.Event(), anyio.Event()

    async def respond_slowly(_: CallerRequest, writer: ResponseWriter) -> None:
        await writer.write_head(200, ())
        begun.set()
        await may_continue.wait()
        await writer.write_chunk(b"whole")
        await writer.finish()

    async def body(server: Http1Server, address: Address) -> None:
        async with await connect(address) as stream, await connect(address) as idle:
            await stream.send(REQUEST)
            await begun.wait()
            await server.close()
            assert await read_all(idle) == b""
            with pytest.raises(OSError, match="connect"):
                await connect(address)
            may_continue.set()
            assert (await read_all(stream)).endswith(b"5\r\nwhole\r\n0\r\n\r\n")
        await server.wait_until_idle()

    serve(respond_slowly, body)


def test_server_seems_idle_while_a_request_arrives() -> None:
    """A stopping entry ended, and cut requests whose upload was almost complete."""

    async def body(server: Http1Server, address: Address) -> None:
        async with await connect(address) as stream:
            await stream.send(REQUEST[:-1])
            await wait_until(lambda: server.receiving > 0)
            await server.close()
            async with anyio.create_task_group() as tasks:
                is_idle = anyio.Event()

                async def wait() -> None:
                    await server.wait_until_idle()
                    is_idle.set()

                tasks.start_soon(wait)
                await anyio.sleep(0.05)
                assert not is_idle.is_set()
                await stream.send(REQUEST[-1:])
                assert (await read_all(stream)).endswith(b"hi")

    serve(echo, body)


def test_request_that_is_complete_after_the_last_moment_is_handled() -> None:
    """A stopping entry passed on what it read in its last 0.2 s, and cut it."""
    handled: list[CallerRequest] = []

    async def record(request: CallerRequest, writer: ResponseWriter) -> None:
        handled.append(request)
        await writer.respond(200)

    async def body(server: Http1Server, address: Address) -> None:
        async with await connect(address) as stream:
            await stream.send(REQUEST[:-1])
            await wait_until(lambda: server.receiving > 0)
            server.refuse()
            await stream.send(REQUEST[-1:])
            data = await read_all(stream)
            assert data.startswith(b"HTTP/1.1 503")
            assert b"retry-after" in data
        assert not handled

    serve(record, body)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def body(_: Http1Server, address: Address) -> None:
        async with await connect(address) as stream:
            await stream.send(REQUEST + REQUEST.replace(b"hi", b"ho"))
            data = b""
            while not data.endswith(b"ho"):
                data += await stream.receive()
            assert data.index(b"hi") < data.index(b"ho")

    serve(echo, body)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nhost: x\r\nlong: " + b"x" * 5_000 + b"\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3000\r\n\r\n" + b"x" * 3_000, b"413"),
    ],
)
def test_a_malformed_request_gets_its_status(sent: bytes, status: bytes) -> None:
    async def body(_: Http1Server, address: Address) -> None:
        async with await connect(address) as stream:
            await stream.send(sent)
            assert (await read_all(stream)).startswith(b"HTTP/1.1 " + status)

    serve(echo, body, ServerLimits(head_bytes=2_000, body_bytes=2_000))


POST_CHUNKED = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("head", "endless"),
    [
        (b"", b"x" * 8_192),
        (b"GET / HTTP/1.1\r\n", b"x-one: two\r\n" * 600),
        (POST_CHUNKED + b"1;", b"x" * 8_192),
        (POST_CHUNKED, b"1\r\nx\r\n" * 1_300),
        (POST_CHUNKED + b"0\r\n", b"x-one: two\r\n" * 600),
    ],
    ids=["line", "headers", "chunk line", "small chunks", "trailers"],
)
def test_a_caller_that_sends_endlessly_is_disconnected_and_others_are_served(
    head: bytes, endless: bytes
) -> None:
    async def body(server: Http1Server, address: Address) -> None:
        async with await connect(address) as stream, await connect(address) as other:
            await stream.send(head)
            with pytest.raises(anyio.BrokenResourceError):
                await send_repeatedly(stream, endless)
            await other.send(REQUEST)
            assert (await other.receive()).startswith(b"HTTP/1.1 200")
        assert server.held.held == 0

    serve(echo, body)


def test_a_request_whose_body_exceeds_the_shared_limit_is_not_run() -> None:
    async def body(server: Http1Server, address: Address) -> None:
        server.held.limit_bytes = 1_000
        begun = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 900\r\n\r\n" + b"x" * 800
        async with await connect(address) as first:
            await first.send(begun)
            async with await connect(address) as second:
                await second.send(begun)
                answer = await read_all(second)
                assert answer.startswith(b"HTTP/1.1 503 ")
                assert b"retry-after: " in answer.lower()
            await first.send(b"x" * 100)
            assert (await first.receive()).startswith(b"HTTP/1.1 200")
        while server.held.held:  # noqa: ASYNC110 - the byte budget has no event to wait for.
            await anyio.sleep(0.01)

    serve(echo, body)


def test_an_abandoned_response_does_not_look_complete() -> None:
    async def abandon_response(_: CallerRequest, writer: ResponseWriter) -> None:
        await writer.write_head(200, ())
        await writer.write_chunk(b"part")

    async def body(_: Http1Server, address: Address) -> None:
        async with await connect(address) as stream:
            await stream.send(REQUEST)
            assert not (await read_all(stream)).endswith(b"0\r\n\r\n")

    serve(abandon_response, body)


class _YieldingStream(ByteStream):
    """A caller's connection on which each write first yields to other tasks."""

    def __init__(self) -> None:
        self.sent = b""

    async def send(self, item: bytes) -> None:
        await anyio.lowlevel.checkpoint()
        self.sent += item

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        return await anyio.sleep_forever()

    async def send_eof(self) -> None:
        pass

    async def aclose(self) -> None:
        pass


@pytest.mark.parametrize("streamed", [False, True])
def test_a_response_that_is_ready_when_its_request_is_cancelled_is_written_completely(
    streamed: bool,
) -> None:
    stream = _YieldingStream()

    async def main() -> None:
        protocol = h11.Connection(h11.SERVER)
        protocol.receive_data(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
        protocol.next_event()
        writer = ResponseWriter(stream, protocol, closes_connection=False)
        if streamed:
            await writer.write_head(200, ())
            await writer.write_chunk(b"done")
        with anyio.CancelScope() as scope:
            scope.cancel()
            await (writer.finish() if streamed else writer.respond(200, (), b"done"))
        assert writer.finished

    anyio.run(main)
    assert stream.sent.endswith(b"0\r\n\r\n" if streamed else b"done")


@pytest.mark.parametrize(
    ("request_line", "headers"),
    [
        (b"GET /a HTTP/1.1", ()),
        (b"GET /a HTTP/1.1", (("content-length", "18"),)),
        (b"GET /a HTTP/1.0", ()),
    ],
)
def test_each_chunk_has_the_framing_of_its_body(request_line: bytes, headers: Headers) -> None:
    """Guards against chunks in a body with a length, or for a caller that can't read them."""
    chunks = [b"one", b"twelve bytes", b"\r\n\r"]

    def begin() -> h11.Connection:
        protocol = h11.Connection(h11.SERVER)
        protocol.receive_data(request_line + b"\r\nhost: x\r\n\r\n")
        protocol.next_event()
        return protocol

    async def write() -> bytes:
        stream = _YieldingStream()
        writer = ResponseWriter(stream, begin(), closes_connection=False)
        await writer.write_head(200, headers)
        for chunk in chunks:
            await writer.write_chunk(chunk)
        await writer.finish()
        return bytes(stream.sent)

    protocol = begin()
    plain = [(name.encode(), value.encode()) for name, value in headers]
    expected = protocol.send(h11.Response(status_code=200, headers=plain)) or b""
    for chunk in chunks:
        expected += protocol.send(h11.Data(data=chunk)) or b""
    expected += protocol.send(h11.EndOfMessage()) or b""
    assert anyio.run(write) == expected


def test_a_caller_that_reads_nothing_counts_as_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a write that waits forever for a caller."""
    monkeypatch.setattr(http1_server, "WRITE_TIMEOUT_S", 0.01)

    class UnreadStream(_YieldingStream):
        async def send(self, item: bytes) -> None:
            await anyio.sleep_forever()

    async def main() -> None:
        protocol = h11.Connection(h11.SERVER)
        protocol.receive_data(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
        protocol.next_event()
        writer = ResponseWriter(UnreadStream(), protocol, closes_connection=False)
        with pytest.raises(CallerDisconnected):
            await writer.write_head(200, ())

    anyio.run(main)
