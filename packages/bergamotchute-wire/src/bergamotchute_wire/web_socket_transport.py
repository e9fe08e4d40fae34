"""Opens and accepts WebSocket links over TCP."""

from __future__ import annotations

import hmac
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, TypeVar

import anyio
from anyio.abc import SocketAttribute, SocketStream
from websockets.client import ClientProtocol
from websockets.exceptions import InvalidHandshake
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from bergamotchute_model.identifiers import Address
from bergamotchute_wire.link import Dial, DialFailed, LinkHandler
from bergamotchute_wire.message_codec import MessageCodec
from bergamotchute_wire.web_socket_link import RECEIVE_BYTES, LinkTiming, WebSocketLink

Message = TypeVar("Message")

_logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.5
"""Bound on connecting; a running peer accepts within a round trip."""

HANDSHAKE_TIMEOUT_S = 4.0
"""Bound on the opening handshake of a connected link.

A peer to which hundreds connect at the same time opens their links one after the other, and a link
that is abandoned before its turn costs the peer as much as an open one.
"""

MAX_MESSAGE_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True)
class LinkRoute:
    """One kind of link that a process accepts.

    :param codec: encodes and decodes the messages of the links.
    :param handler: serves one link until it returns.
    :param pause_s: time between the openings of two links of this kind, in seconds; it leaves time
        for other work.
    """

    codec: MessageCodec[Any]
    handler: LinkHandler[Any]
    pause_s: float = 0.0
    opening_lock: anyio.Lock = field(default_factory=anyio.Lock)

    async def wait_before_opening(self) -> None:
        """Wait until a link of this kind may be opened."""
        if self.pause_s:
            async with self.opening_lock:
                await anyio.sleep(self.pause_s)


def web_socket_dial(
    path: str,
    codec: MessageCodec[Message],
    cluster_token: str = "",
    timing: LinkTiming = LinkTiming(),  # noqa: B008 - the class is frozen.
) -> Dial[Message]:
    """Return a function that opens links of one kind.

    :param path: the path of the kind of link, such as ``/attempts``.
    :param codec: encodes and decodes the messages of the links.
    :param cluster_token: the secret that all processes of the deployment share.
    :param timing: when a peer is checked and counts as silent.
    """

    @asynccontextmanager
    async def dial(address: Address) -> AsyncIterator[WebSocketLink[Message]]:
        link = await _open_link(address, path, codec, cluster_token, timing)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(link.keep_alive)
                try:
                    yield link
                finally:
                    await link.aclose()
                    tasks.cancel_scope.cancel()
        except BaseExceptionGroup as group:
            if len(group.exceptions) > 1:
                raise
            # The error of the context's body, which the task group wrapped in a group.
            raise group.exceptions[0] from None

    return dial


async def _open_link(
    address: Address,
    path: str,
    codec: MessageCodec[Message],
    cluster_token: str,
    timing: LinkTiming,
) -> WebSocketLink[Message]:
    """Connect and complete the opening handshake."""
    stream: SocketStream | None = None
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(address.host, address.port)
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            protocol = ClientProtocol(
                parse_uri(f"ws://{address}{path}"), max_size=MAX_MESSAGE_BYTES
            )
            request = protocol.connect()
            request.headers["Authorization"] = _authorization_value(cluster_token)
            protocol.send_request(request)
            await stream.send(b"".join(protocol.data_to_send()))
            while protocol.state is State.CONNECTING and protocol.handshake_exc is None:
                protocol.receive_data(await stream.receive(RECEIVE_BYTES))
            if protocol.handshake_exc is not None:
                raise protocol.handshake_exc
    except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError) as error:
        await _close_stream(stream)
        raise DialFailed(f"{address}: {error or type(error).__name__}") from error
    except InvalidHandshake as error:
        await _close_stream(stream)
        raise DialFailed(f"{address}: {error}") from error
    except BaseException:
        await _close_stream(stream)
        raise
    return WebSocketLink(stream, protocol, codec, str(address), timing)


async def _close_stream(stream: SocketStream | None) -> None:
    """Close the stream of a failed opening, if there is one."""
    if stream is not None:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)


async def serve_web_socket_links(
    address: Address,
    routes: Mapping[str, LinkRoute],
    cluster_token: str = "",
    timing: LinkTiming = LinkTiming(),  # noqa: B008 - the class is frozen.
    *,
    on_listening: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Accept links until cancelled.

    :param address: where to listen.
    :param routes: the kinds of links to accept, by path.
    :param cluster_token: the secret that a peer must present.
    :param timing: when a peer is checked and counts as silent.
    :param on_listening: called once connections are accepted.
    """

    async def accept(stream: SocketStream) -> None:
        async with stream:
            try:
                await _serve_stream(stream, routes, cluster_token, timing)
            except Exception:
                # An error on one link must not end the others.
                _logger.exception("unexpected error while serving a link")

    listener = await anyio.create_tcp_listener(
        local_host=address.host, local_port=address.port, reuse_port=False
    )
    async with listener:
        if on_listening is not None:
            await on_listening()
        await listener.serve(accept)


async def _serve_stream(
    stream: SocketStream,
    routes: Mapping[str, LinkRoute],
    cluster_token: str,
    timing: LinkTiming,
) -> None:
    """Complete the handshake with one peer and serve its link."""
    protocol = ServerProtocol(max_size=MAX_MESSAGE_BYTES)
    try:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            request = await _read_request(stream, protocol)
            if request is not None and request.path in routes:
                await routes[request.path].wait_before_opening()
            response = _respond_to_opening(protocol, request, routes, cluster_token)
            protocol.send_response(response)
            await stream.send(b"".join(protocol.data_to_send()))
    except (TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
        return
    if request is None or protocol.state is not State.OPEN:
        return
    route = routes[request.path]
    # A peer that has disconnected already has no address any more.
    peer = str(stream.extra(SocketAttribute.remote_address, "gone"))
    link = WebSocketLink(stream, protocol, route.codec, peer, timing)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.keep_alive)
        try:
            await route.handler(link)
        finally:
            await link.aclose()
            tasks.cancel_scope.cancel()


async def _read_request(stream: SocketStream, protocol: ServerProtocol) -> Request | None:
    """Return the peer's opening request, or ``None`` if its bytes are not a valid request."""
    while True:
        protocol.receive_data(await stream.receive(RECEIVE_BYTES))
        for event in protocol.events_received():
            if isinstance(event, Request):
                return event
        if protocol.handshake_exc is not None:
            return None


def _authorization_value(cluster_token: str) -> str:
    """Return the value of the ``Authorization`` header.

    Without a token it has no trailing blank, which a peer would strip.
    """
    return f"Bearer {cluster_token}".strip()


def _respond_to_opening(
    protocol: ServerProtocol,
    request: Request | None,
    routes: Mapping[str, LinkRoute],
    cluster_token: str,
) -> Response:
    """Return the response that accepts or rejects the opening request."""
    if request is None:
        return protocol.reject(400, "not a WebSocket opening\n")
    presented = request.headers.get("Authorization", "")
    if not hmac.compare_digest(presented.encode(), _authorization_value(cluster_token).encode()):
        return protocol.reject(401, "wrong cluster token\n")
    if request.path not in routes:
        return protocol.reject(404, "no such link\n")
    return protocol.accept(request)
