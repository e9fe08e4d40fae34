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

CONNECT_S = 1.5
"""Bound on connecting; a peer that is up accepts within a round trip."""

HANDSHAKE_S = 4.0
"""Bound on the opening of a link that is connected: a peer that hundreds connect to together opens
one after the other, and a link that is given up before its turn costs the peer as much."""

MAX_MESSAGE_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True)
class LinkRoute:
    """Links of one kind that a process accepts.

    :param codec: the messages that pass.
    :param handler: serves one link until it returns.
    :param pause_s: time between the openings of two links of this kind, in seconds, for other work.
    """

    codec: MessageCodec[Any]
    handler: LinkHandler[Any]
    pause_s: float = 0.0
    turn: anyio.Lock = field(default_factory=anyio.Lock)

    async def wait_for_turn(self) -> None:
        """Wait until a link of this kind may open."""
        if self.pause_s:
            async with self.turn:
                await anyio.sleep(self.pause_s)


def web_socket_dial(
    path: str,
    codec: MessageCodec[Message],
    cluster_token: str = "",
    timing: LinkTiming = LinkTiming(),  # noqa: B008 - it is frozen.
) -> Dial[Message]:
    """Return a function that opens links of one kind.

    :param path: names the kind, such as ``/attempts``.
    :param cluster_token: the secret that all processes of the deployment share.
    :param timing: how a link watches its peer.
    """

    @asynccontextmanager
    async def dial(address: Address) -> AsyncIterator[WebSocketLink[Message]]:
        link = await _open(address, path, codec, cluster_token, timing)
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
            # The body's own error, which the task group wrapped.
            raise group.exceptions[0] from None

    return dial


async def _open(
    address: Address,
    path: str,
    codec: MessageCodec[Message],
    cluster_token: str,
    timing: LinkTiming,
) -> WebSocketLink[Message]:
    """Connect and shake hands."""
    stream: SocketStream | None = None
    try:
        with anyio.fail_after(CONNECT_S):
            stream = await anyio.connect_tcp(address.host, address.port)
        with anyio.fail_after(HANDSHAKE_S):
            protocol = ClientProtocol(
                parse_uri(f"ws://{address}{path}"), max_size=MAX_MESSAGE_BYTES
            )
            request = protocol.connect()
            request.headers["Authorization"] = _authorization(cluster_token)
            protocol.send_request(request)
            await stream.send(b"".join(protocol.data_to_send()))
            while protocol.state is State.CONNECTING and protocol.handshake_exc is None:
                protocol.receive_data(await stream.receive(RECEIVE_BYTES))
            if protocol.handshake_exc is not None:
                raise protocol.handshake_exc
    except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError) as error:
        await _discard(stream)
        raise DialFailed(f"{address}: {error or type(error).__name__}") from error
    except InvalidHandshake as error:
        await _discard(stream)
        raise DialFailed(f"{address}: {error}") from error
    except BaseException:
        await _discard(stream)
        raise
    return WebSocketLink(stream, protocol, codec, str(address), timing)


async def _discard(stream: SocketStream | None) -> None:
    """Close a stream that came to nothing."""
    if stream is not None:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)


async def serve_web_socket_links(
    address: Address,
    routes: Mapping[str, LinkRoute],
    cluster_token: str = "",
    timing: LinkTiming = LinkTiming(),  # noqa: B008 - it is frozen.
    *,
    on_listening: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Accept links until cancelled.

    :param address: where to listen.
    :param routes: what to accept, by path.
    :param cluster_token: the secret that a peer must present.
    :param on_listening: told once connections are accepted.
    """

    async def accept(stream: SocketStream) -> None:
        async with stream:
            try:
                await _serve_stream(stream, routes, cluster_token, timing)
            except Exception:
                # One link's fault must not end the others.
                _logger.exception("serving a link failed")

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
    """Shake hands with one peer and serve its link."""
    protocol = ServerProtocol(max_size=MAX_MESSAGE_BYTES)
    try:
        with anyio.fail_after(HANDSHAKE_S):
            request = await _read_request(stream, protocol)
            if request is not None and request.path in routes:
                await routes[request.path].wait_for_turn()
            response = _respond(protocol, request, routes, cluster_token)
            protocol.send_response(response)
            await stream.send(b"".join(protocol.data_to_send()))
    except (TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
        return
    if request is None or protocol.state is not State.OPEN:
        return
    route = routes[request.path]
    # A peer that is gone already has no address any more.
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
    """Return the peer's opening request; ``None`` when what came is none."""
    while True:
        protocol.receive_data(await stream.receive(RECEIVE_BYTES))
        for event in protocol.events_received():
            if isinstance(event, Request):
                return event
        if protocol.handshake_exc is not None:
            return None


def _authorization(cluster_token: str) -> str:
    """Return the header's value; without a token it has no blank that a peer would strip."""
    return f"Bearer {cluster_token}".strip()


def _respond(
    protocol: ServerProtocol,
    request: Request | None,
    routes: Mapping[str, LinkRoute],
    cluster_token: str,
) -> Response:
    """Accept or refuse the opening request."""
    if request is None:
        return protocol.reject(400, "not a WebSocket opening\n")
    presented = request.headers.get("Authorization", "")
    if not hmac.compare_digest(presented.encode(), _authorization(cluster_token).encode()):
        return protocol.reject(401, "wrong cluster token\n")
    if request.path not in routes:
        return protocol.reject(404, "no such link\n")
    return protocol.accept(request)
