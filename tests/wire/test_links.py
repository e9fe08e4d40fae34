"""Links carry messages in order, close on a silent peer and reject malformed messages."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import anyio
import pytest

from bergamotchute_model.control_messages import ControlMessage, Ping, Pong
from bergamotchute_model.hello import Hello
from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import ProcessRole
from bergamotchute_model.node_messages import ConfigurationText, NodeMessage
from bergamotchute_wire import web_socket_link
from bergamotchute_wire.link import DialFailed, Link, LinkClosed
from bergamotchute_wire.message_codec import MalformedMessageError, MessageCodec
from bergamotchute_wire.web_socket_transport import (
    LinkRoute,
    serve_web_socket_links,
    web_socket_dial,
)

CODEC: MessageCodec[ControlMessage] = MessageCodec(ControlMessage)


def free_address() -> Address:
    """Return a loopback address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", probe.getsockname()[1])


async def echo(link: Link[ControlMessage]) -> None:
    try:
        while True:
            message = await link.receive()
            assert isinstance(message, Ping)
            await link.send(Pong(message.number))
    except LinkClosed:
        return


async def with_server(
    body: Callable[[Address], Awaitable[None]],
    handler: Callable[[Link[Any]], Awaitable[None]] = echo,
    codec: MessageCodec[Any] = CODEC,
) -> None:
    """Run ``body`` against a server that accepts links."""
    address = free_address()
    listening = anyio.Event()

    async def on_listening() -> None:
        listening.set()

    async with anyio.create_task_group() as tasks:
        routes = {"/control": LinkRoute(codec, handler)}
        serve = partial(serve_web_socket_links, on_listening=on_listening)
        tasks.start_soon(serve, address, routes, "secret")
        await listening.wait()
        await body(address)
        tasks.cancel_scope.cancel()


def test_messages_arrive_in_order() -> None:
    async def body(address: Address) -> None:
        async with web_socket_dial("/control", CODEC, "secret")(address) as link:
            for number in range(200):
                await link.send(Ping(number))
            assert [await link.receive() for _ in range(200)] == [Pong(n) for n in range(200)]

    anyio.run(with_server, body)


@pytest.mark.parametrize(("path", "token"), [("/control", "wrong"), ("/other", "secret")])
def test_a_wrong_token_or_path_is_rejected(path: str, token: str) -> None:
    async def body(address: Address) -> None:
        with pytest.raises(DialFailed):
            async with web_socket_dial(path, CODEC, token)(address):
                pass

    anyio.run(with_server, body)


def test_dialing_an_address_without_listener_fails() -> None:
    async def body() -> None:
        with pytest.raises(DialFailed):
            async with web_socket_dial("/control", CODEC)(free_address()):
                pass

    anyio.run(body)


def test_a_malformed_message_closes_the_link() -> None:
    hello: MessageCodec[object] = MessageCodec(dict[str, str])

    async def body(address: Address) -> None:
        async with web_socket_dial("/control", hello, "secret")(address) as link:
            await link.send({"kind": "nothing"})
            with pytest.raises(LinkClosed):
                await link.receive()

    anyio.run(with_server, body)


def test_a_link_to_a_silent_peer_closes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(web_socket_link, "HEARTBEAT_S", 0.01)
    monkeypatch.setattr(web_socket_link, "SILENCE_TIMEOUT_S", 0.05)

    async def never_read(link: Link[ControlMessage]) -> None:
        await anyio.sleep_forever()

    async def body(address: Address) -> None:
        async with web_socket_dial("/control", CODEC, "secret")(address) as link:
            with pytest.raises(LinkClosed, match=r"mute|closed by peer"):
                await link.receive()

    anyio.run(with_server, body, never_read)


def test_a_message_that_comes_with_the_handshake_is_not_lost() -> None:
    async def greet(link: Link[ControlMessage]) -> None:
        await link.send(Ping(1))
        await echo(link)

    async def body(address: Address) -> None:
        for _ in range(30):
            async with web_socket_dial("/control", CODEC, "secret")(address) as link:
                assert await link.receive() == Ping(1)

    anyio.run(with_server, body, greet)


def test_both_ends_of_a_link_stop_reading_while_each_sends_a_large_message() -> None:
    """Neither read on until its own message was written, which the other end had to read."""
    codec: MessageCodec[NodeMessage] = MessageCodec(NodeMessage)
    text = ConfigurationText(1, bytes(12_000_000))
    received: list[NodeMessage] = []

    async def exchange(link: Link[NodeMessage]) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.send, text)
            received.append(await link.receive())

    async def body(address: Address) -> None:
        async with web_socket_dial("/control", codec, "secret")(address) as link:
            await exchange(link)
            while len(received) < 2:  # noqa: ASYNC110 - the list has no event.
                await anyio.sleep(0.01)

    anyio.run(with_server, body, exchange, codec)
    assert received == [text, text]


def test_a_decoded_message_equals_the_encoded_one() -> None:
    message = Hello("entry-1", ProcessRole.ENTRY, "a1")
    assert CODEC.decode(CODEC.encode(message)) == message


@pytest.mark.parametrize("data", [b"", b"\xff", b"\xa0", b"\xa1dkinddnone", b"\x9f" * 5000])
def test_bytes_that_are_not_a_message_are_rejected(data: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        CODEC.decode(data)
