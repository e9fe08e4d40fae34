"""Serves HTTP/1.1 to callers, with control over how an answer ends.

A request is read whole before it is handled. While it is handled, its caller's connection is
watched: a caller that closes it ends the handling.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeAlias

import anyio
import h11
from anyio.abc import ByteStream, SocketStream
from anyio.streams.stapled import MultiListener

from bergamotchute_model.headers import Headers
from bergamotchute_model.identifiers import Address
from bergamotchute_wire.byte_budget import ByteBudget, ByteClaim
from bergamotchute_wire.http1_messages import RequestHead, raw_headers, text_headers

_logger = logging.getLogger(__name__)

RECEIVE_BYTES = 65_536

READ_AHEAD_BYTES = 262_144
"""Bytes of later requests that are kept while one is handled; beyond, reading pauses."""

READ_AHEAD_PAUSE_S = 0.05
"""How often a paused reader looks whether it may go on."""

REQUEST_PARTS_MAX = 16_384
"""Parts of one body; a caller that sends tiny parts without end costs 0.3 s of work."""

HELD_BYTES = 33_554_432
"""Bodies of all requests under way together, a sixth of the memory of the smallest entry VM."""

HELD_RETRY_S = 1.0
"""When a caller may come back whose body does not fit; about the time of a usual answer."""

WRITE_TIMEOUT_S = 10.0
"""A caller that takes no byte of an answer for so long is given up."""


class CallerGone(Exception):
    """The caller's connection can't take an answer."""


@dataclass(frozen=True)
class CallerRequest:
    """A whole request of a caller."""

    head: RequestHead
    body: bytes


@dataclass
class ServerLimits:
    """What a caller may send and how long it may take; may change under way.

    :param head_bytes: size of a request's head.
    :param body_bytes: size of a request's body.
    :param head_timeout_s: how long the head of a begun request may take.
    :param idle_timeout_s: how long a connection may idle between requests.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class AnswerWriter:
    """Writes one answer to a caller.

    :param closing: whether the connection ends behind the answer.
    """

    def __init__(self, stream: ByteStream, protocol: h11.Connection, closing: bool) -> None:
        self.stream = stream
        self.protocol = protocol
        self.closing = closing
        self.started = False
        self.finished = False
        self.status = 0

    async def respond(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """Write a whole answer, even when the request's time ends meanwhile.

        :raises CallerGone: when the caller can't be reached.
        """
        sized = (*headers, ("content-length", str(len(body))))
        data = self._head(status, sized)
        if body and status not in (204, 304):
            data += self.protocol.send(h11.Data(data=body)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        self.finished = True
        await self._write(data, shield=True)

    async def start(self, status: int, headers: Headers) -> None:
        """Write the head of an answer; without a length it goes out in chunks."""
        await self._write(self._head(status, headers))

    async def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if data:
            await self._write(self.protocol.send(h11.Data(data=data)) or b"")

    async def finish(self) -> None:
        """End the answer as complete, even when the request's time ends meanwhile."""
        data = self.protocol.send(h11.EndOfMessage()) or b""
        self.finished = True
        await self._write(data, shield=True)

    def _head(self, status: int, headers: Headers) -> bytes:
        self.started = True
        self.status = status
        if self.closing:
            headers = (*headers, ("connection", "close"))
        response = h11.Response(status_code=status, headers=raw_headers(headers))
        return self.protocol.send(response) or b""

    async def _write(self, data: bytes, shield: bool = False) -> None:
        try:
            with anyio.fail_after(WRITE_TIMEOUT_S, shield=shield):
                await self.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError) as error:
            raise CallerGone(type(error).__name__) from error


Handler: TypeAlias = Callable[[CallerRequest, AnswerWriter], Awaitable[None]]
"""Answers one request; one that returns without finishing the answer breaks the connection."""


@dataclass
class Http1Server:
    """Accepts callers' connections.

    :param handler: answers each request.
    :param stopping: set once the process was told to stop; connections then end behind the
        answer in hand.
    :param closed: no connection waits for a next request any more.
    """

    handler: Handler
    limits: ServerLimits = field(default_factory=ServerLimits)
    stopping: bool = False
    closed: bool = False
    listener: MultiListener[SocketStream] | None = None
    in_flight: int = 0
    idle: anyio.Event = field(default_factory=anyio.Event)
    idle_scopes: set[anyio.CancelScope] = field(default_factory=set)
    held: ByteBudget = field(default_factory=lambda: ByteBudget(HELD_BYTES))

    async def serve(self, address: Address) -> None:
        """Serve until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=address.host, local_port=address.port, reuse_port=False
        )
        self.listener = listener
        # Connections outlive the listener, which closes first when the process stops.
        async with anyio.create_task_group() as connections, listener:
            try:
                await listener.serve(self._accept, connections)
            except* anyio.ClosedResourceError:
                _logger.info("no new connections are taken any more")

    async def wait_idle(self) -> None:
        """Return once no request is handled."""
        while self.in_flight:
            self.idle = anyio.Event()
            await self.idle.wait()

    async def close(self) -> None:
        """Take no new connections, and end those that wait for a next request."""
        self.closed = True
        if self.listener is not None:
            await self.listener.aclose()
        for scope in list(self.idle_scopes):
            scope.cancel()

    async def _accept(self, stream: SocketStream) -> None:
        try:
            await _ServedConnection(self, stream).run()
        except Exception:
            # One connection's fault must not end the others.
            _logger.exception("serving a caller's connection failed")
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)


class _ServedConnection:
    """One caller's connection, request by request."""

    def __init__(self, server: Http1Server, stream: SocketStream) -> None:
        self.server = server
        self.stream = stream
        self.protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.head_bytes
        )
        self.pending = bytearray()
        self.ended = False

    async def run(self) -> None:
        usable = True
        while usable:
            with self.server.held.claim() as claim:
                usable = await self._serve_one(claim)

    async def _serve_one(self, claim: ByteClaim) -> bool:
        """Read and handle one request; return whether the connection serves another."""
        try:
            request = await self._read_request(claim)
        except h11.RemoteProtocolError as error:
            await self._reject(error.error_status_hint)
            return False
        if request is None:
            return False
        self.server.in_flight += 1
        try:
            usable = await self._handle(request)
        finally:
            self.server.in_flight -= 1
            if not self.server.in_flight:
                self.server.idle.set()
        if usable:
            self.protocol.start_next_cycle()
        return usable

    async def _handle(self, request: CallerRequest) -> bool:
        """Handle a request while watching for its caller to leave; return whether to go on."""
        writer = AnswerWriter(self.stream, self.protocol, self.server.stopping)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_caller, tasks.cancel_scope)
            try:
                await self.server.handler(request, writer)
            except CallerGone:
                self.ended = True
            tasks.cancel_scope.cancel()
        states = (self.protocol.our_state, self.protocol.their_state)
        return writer.finished and not self.ended and states == (h11.DONE, h11.DONE)

    async def _watch_caller(self, handling: anyio.CancelScope) -> None:
        """Keep what the caller sends early; when it closes the connection, end the handling."""
        while True:
            if len(self.pending) >= READ_AHEAD_BYTES:
                await anyio.sleep(READ_AHEAD_PAUSE_S)
                continue
            try:
                self.pending += await self.stream.receive(RECEIVE_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                self.ended = True
                handling.cancel()
                return

    async def _read_request(self, claim: ByteClaim) -> CallerRequest | None:
        """Return the next whole request, or ``None`` once the connection is over."""
        limits = self.server.limits
        head: h11.Request | None = None
        body = bytearray()
        parts = 0
        begun = False
        deadline = anyio.current_time() + limits.idle_timeout_s
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                data = await self._receive(deadline, idle=not begun)
                if not data:
                    return None
                if not begun:
                    begun = True
                    deadline = anyio.current_time() + limits.head_timeout_s
                self.protocol.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                begun = True
                if _head_bytes(event) > limits.head_bytes:
                    raise h11.RemoteProtocolError("the head is too large", 431)
                deadline = anyio.current_time() + limits.idle_timeout_s
                if self.protocol.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    await self.stream.send(self.protocol.send(go_on) or b"")
            elif isinstance(event, h11.Data):
                body += event.data
                parts += 1
                if len(body) > limits.body_bytes or parts > REQUEST_PARTS_MAX:
                    raise h11.RemoteProtocolError("the body is too large", 413)
                if not claim.grow(len(event.data)):
                    raise h11.RemoteProtocolError("too many bytes of bodies are held", 503)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return CallerRequest(_request_head(head), bytes(body))
            else:
                return None

    async def _receive(self, deadline: float, idle: bool) -> bytes:
        """Return the next bytes; none when the connection is over or took too long."""
        if self.pending:
            data = bytes(self.pending)
            self.pending.clear()
            return data
        if self.ended or (idle and self.server.closed):
            return b""
        with anyio.CancelScope(deadline=deadline) as scope:
            if idle:
                self.server.idle_scopes.add(scope)
            try:
                return await self.stream.receive(RECEIVE_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                return b""
            finally:
                self.server.idle_scopes.discard(scope)
        return b""

    async def _reject(self, status: int) -> None:
        """Answer a malformed request, if its connection still takes an answer."""
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers: Headers = (("content-length", "0"), ("connection", "close"))
        if status == 503:
            headers = (*headers, ("retry-after", f"{HELD_RETRY_S:.2f}"))
        response = h11.Response(status_code=status, headers=raw_headers(headers))
        try:
            data = self.protocol.send(response) or b""
            await self.stream.send(data + (self.protocol.send(h11.EndOfMessage()) or b""))
        except (h11.LocalProtocolError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            _logger.debug("a malformed request's connection closed before its answer")


def _head_bytes(event: h11.Request) -> int:
    """Return the size of a head as it came; h11 bounds only what is incomplete."""
    fields = sum(len(name) + len(value) + len(b": \r\n") for name, value in event.headers)
    return len(event.method) + len(event.target) + fields


def _request_head(event: h11.Request) -> RequestHead:
    return RequestHead(
        event.method.decode("ascii"), event.target.decode("latin-1"), text_headers(event.headers)
    )
