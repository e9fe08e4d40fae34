"""Serves HTTP/1.1 to callers, with control over how a response ends.

A request is read completely before it is handled. While it is handled, its caller's connection is
monitored: when the caller closes the connection, the handling is cancelled.
"""

from __future__ import annotations

import logging
import select
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeAlias

import anyio
import h11
from anyio.abc import ByteStream, SocketAttribute, SocketStream
from anyio.streams.stapled import MultiListener

from bergamotchute_model.headers import Headers
from bergamotchute_model.identifiers import Address
from bergamotchute_wire.byte_budget import ByteBudget, ByteClaim
from bergamotchute_wire.http1_messages import RequestHead, decode_headers, encode_headers

_logger = logging.getLogger(__name__)

RECEIVE_BYTES = 65_536

MAX_READ_AHEAD_BYTES = 262_144
"""Limit on the bytes of later requests that are read while one is handled; then reading pauses."""

READ_AHEAD_POLL_INTERVAL_S = 0.05
"""How often a paused reader checks whether it may resume."""

MAX_BODY_CHUNKS = 16_384
"""Limit on the chunks of one body.

An endless sequence of tiny chunks costs at most 0.3 s of work before it is rejected.
"""

MAX_BUFFERED_BODY_BYTES = 33_554_432
"""Limit on the bodies of all requests in progress together.

It is a sixth of the memory of the smallest entry VM.
"""

BODY_BUFFER_RETRY_AFTER_S = 1.0
"""Retry delay for a caller whose body exceeds the limit; about the time of a typical response."""

STOPPED_RETRY_AFTER_S = 0.1
"""Retry delay for a caller whose request was read too late; other entries can take it at once."""

WRITE_TIMEOUT_S = 10.0
"""Bound on one write to a caller; a caller that takes longer counts as disconnected."""


class CallerDisconnected(Exception):
    """The caller's connection can't take a response any more."""


@dataclass(frozen=True)
class CallerRequest:
    """A complete request of a caller."""

    head: RequestHead
    body: bytes


@dataclass
class ServerLimits:
    """Limits on the size and the duration of a caller's request; may change while serving.

    :param head_bytes: maximum size of a request's head.
    :param body_bytes: maximum size of a request's body.
    :param head_timeout_s: how long a head may take after its first byte, in seconds.
    :param idle_timeout_s: how long a connection may idle between requests, and how long a body may
        take, in seconds.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ResponseWriter:
    """Writes one response to a caller.

    :param closes_connection: whether the connection closes after the response.
    :ivar sends_chunks: whether the body is known to be sent chunked.
    """

    def __init__(
        self, stream: ByteStream, protocol: h11.Connection, closes_connection: bool
    ) -> None:
        self.stream = stream
        self.protocol = protocol
        self.closes_connection = closes_connection
        self.started = False
        self.finished = False
        self.status = 0
        self.sends_chunks = False

    async def respond(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """Write a complete response, even if the request is cancelled meanwhile.

        :raises CallerDisconnected: when the caller can't be reached.
        """
        sized_headers = (*headers, ("content-length", str(len(body))))
        data = self._encode_head(status, sized_headers)
        if body and status not in (204, 304):
            data += self.protocol.send(h11.Data(data=body)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        self.finished = True
        await self._write(data, shield=True)

    async def write_head(self, status: int, headers: Headers) -> None:
        """Write the head of a response; without a ``content-length`` the body is sent chunked."""
        await self._write(self._encode_head(status, headers))

    async def write_chunk(self, data: bytes) -> None:
        """Write a chunk of the body."""
        if not data:
            return
        chunk = b"%x\r\n%b\r\n" % (len(data), data)
        if not self.sends_chunks or self.protocol.our_state is not h11.SEND_BODY:
            encoded = self.protocol.send(h11.Data(data=data)) or b""
            # The framing of a body doesn't change, and h11 takes as long as the rest of a write.
            self.sends_chunks = encoded == chunk
            chunk = encoded
        await self._write(chunk)

    def is_writable(self) -> bool:
        """Return whether the connection takes a few more bytes without a wait."""
        raw = self.stream.extra(SocketAttribute.raw_socket, None)
        if raw is None or raw.fileno() < 0:
            return True
        poller = select.poll()
        poller.register(raw.fileno(), select.POLLOUT)
        return bool(poller.poll(0))

    async def finish(self) -> None:
        """Complete the response, even if the request is cancelled meanwhile."""
        data = self.protocol.send(h11.EndOfMessage()) or b""
        self.finished = True
        await self._write(data, shield=True)

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        self.started = True
        self.status = status
        if self.closes_connection:
            headers = (*headers, ("connection", "close"))
        response = h11.Response(status_code=status, headers=encode_headers(headers))
        return self.protocol.send(response) or b""

    async def _write(self, data: bytes, shield: bool = False) -> None:
        try:
            # A scope of its own costs less than anyio.fail_after; each event of a stream is a write.
            deadline = anyio.current_time() + WRITE_TIMEOUT_S
            with anyio.CancelScope(deadline=deadline, shield=shield) as scope:
                await self.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise CallerDisconnected(type(error).__name__) from error
        if scope.cancelled_caught:
            raise CallerDisconnected(TimeoutError.__name__)


RequestHandler: TypeAlias = Callable[[CallerRequest, ResponseWriter], Awaitable[None]]
"""Handles one request; returning without a finished response closes the connection."""


@dataclass
class Http1Server:
    """Accepts callers' connections.

    :param handler: handles each request.
    :param stopping: set once the process is to stop; each connection then closes after the
        response in progress.
    :param closed: whether :meth:`close` was called; no connection waits for a next request then.
    :param refusing: whether requests that are read from now on are refused, see :meth:`refuse`.
    :param receiving: requests that have begun to arrive and are not complete.
    :param in_flight: requests that are being handled.
    """

    handler: RequestHandler
    limits: ServerLimits = field(default_factory=ServerLimits)
    stopping: bool = False
    closed: bool = False
    refusing: bool = False
    receiving: int = 0
    listener: MultiListener[SocketStream] | None = None
    in_flight: int = 0
    idle: anyio.Event = field(default_factory=anyio.Event)
    idle_receive_scopes: set[anyio.CancelScope] = field(default_factory=set)
    held: ByteBudget = field(default_factory=lambda: ByteBudget(MAX_BUFFERED_BODY_BYTES))

    async def serve(self, address: Address) -> None:
        """Serve until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=address.host, local_port=address.port, reuse_port=False
        )
        self.listener = listener
        # Connections outlive the listener, which is closed first when the process stops.
        async with anyio.create_task_group() as connections, listener:
            try:
                await listener.serve(self._accept, connections)
            except* anyio.ClosedResourceError:
                _logger.info("listener closed; no new connections are accepted")

    async def wait_until_idle(self) -> None:
        """Wait until no request arrives or is being handled."""
        while self.in_flight or self.receiving:
            self.idle = anyio.Event()
            await self.idle.wait()

    def refuse(self) -> None:
        """Refuse the requests that are complete from now on; the process is about to end."""
        self.refusing = True

    def notify_if_idle(self) -> None:
        """Wake those that wait until no request is in progress."""
        if not self.in_flight and not self.receiving:
            self.idle.set()

    async def close(self) -> None:
        """Stop accepting connections, and close those that wait for a next request."""
        self.closed = True
        if self.listener is not None:
            await self.listener.aclose()
        for scope in list(self.idle_receive_scopes):
            scope.cancel()

    async def _accept(self, stream: SocketStream) -> None:
        try:
            await _CallerConnection(self, stream).run()
        except Exception:
            # An error on one connection must not end the others.
            _logger.exception("unexpected error while serving a caller's connection")
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)


class _CallerConnection:
    """Serves one caller's connection, one request at a time."""

    def __init__(self, server: Http1Server, stream: SocketStream) -> None:
        self.server = server
        self.stream = stream
        self.protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.head_bytes
        )
        self.read_ahead = bytearray()
        self.is_receiving = False
        self.ended = False

    async def run(self) -> None:
        is_reusable = True
        while is_reusable:
            with self.server.held.open_claim() as claim:
                is_reusable = await self._serve_next_request(claim)

    async def _serve_next_request(self, claim: ByteClaim) -> bool:
        """Read and handle one request; return whether the connection can serve another."""
        try:
            request = await self._read_request(claim)
        except h11.RemoteProtocolError as error:
            await self._reject_request(error.error_status_hint, BODY_BUFFER_RETRY_AFTER_S)
            return False
        finally:
            self._end_receiving()
        if request is None:
            return False
        if self.server.refusing:
            await self._reject_request(503, STOPPED_RETRY_AFTER_S)
            return False
        self.server.in_flight += 1
        try:
            is_reusable = await self._handle_request(request)
        finally:
            self.server.in_flight -= 1
            self.server.notify_if_idle()
        if is_reusable:
            self.protocol.start_next_cycle()
        return is_reusable

    async def _handle_request(self, request: CallerRequest) -> bool:
        """Handle a request and cancel it if its caller disconnects.

        :return: whether the connection can serve another request.
        """
        writer = ResponseWriter(self.stream, self.protocol, self.server.stopping)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_caller, tasks.cancel_scope)
            try:
                await self.server.handler(request, writer)
            except CallerDisconnected:
                self.ended = True
            tasks.cancel_scope.cancel()
        states = (self.protocol.our_state, self.protocol.their_state)
        return writer.finished and not self.ended and states == (h11.DONE, h11.DONE)

    async def _watch_caller(self, handling: anyio.CancelScope) -> None:
        """Buffer what the caller sends ahead; cancel the handling when it closes the connection."""
        while True:
            if len(self.read_ahead) >= MAX_READ_AHEAD_BYTES:
                await anyio.sleep(READ_AHEAD_POLL_INTERVAL_S)
                continue
            try:
                self.read_ahead += await self.stream.receive(RECEIVE_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                self.ended = True
                handling.cancel()
                return

    def _begin_receiving(self) -> None:
        """Count the request that has begun to arrive."""
        if not self.is_receiving:
            self.is_receiving = True
            self.server.receiving += 1

    def _end_receiving(self) -> None:
        if self.is_receiving:
            self.is_receiving = False
            self.server.receiving -= 1
            self.server.notify_if_idle()

    async def _read_request(self, claim: ByteClaim) -> CallerRequest | None:
        """Return the next complete request, or ``None`` when the connection ended or timed out."""
        limits = self.server.limits
        head: h11.Request | None = None
        body = bytearray()
        chunk_count = 0
        deadline = anyio.current_time() + limits.idle_timeout_s
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                data = await self._receive(deadline, idle=not self.is_receiving)
                if not data:
                    return None
                if not self.is_receiving:
                    self._begin_receiving()
                    deadline = anyio.current_time() + limits.head_timeout_s
                self.protocol.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                self._begin_receiving()
                if _head_size(event) > limits.head_bytes:
                    raise h11.RemoteProtocolError("the request head exceeds head_bytes", 431)
                deadline = anyio.current_time() + limits.idle_timeout_s
                if self.protocol.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(status_code=100, headers=[])
                    await self.stream.send(self.protocol.send(continue_response) or b"")
            elif isinstance(event, h11.Data):
                body += event.data
                chunk_count += 1
                if len(body) > limits.body_bytes or chunk_count > MAX_BODY_CHUNKS:
                    raise h11.RemoteProtocolError(
                        "the request body exceeds body_bytes or has too many chunks", 413
                    )
                if not claim.try_grow(len(event.data)):
                    raise h11.RemoteProtocolError(
                        "the bodies of all requests exceed the limit", 503
                    )
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return CallerRequest(_request_head(head), bytes(body))
            else:
                return None

    async def _receive(self, deadline: float, idle: bool) -> bytes:
        """Return the next bytes, empty when the connection ended or the deadline passed."""
        if self.read_ahead:
            data = bytes(self.read_ahead)
            self.read_ahead.clear()
            return data
        if self.ended or (idle and self.server.closed):
            return b""
        with anyio.CancelScope(deadline=deadline) as scope:
            if idle:
                self.server.idle_receive_scopes.add(scope)
            try:
                return await self.stream.receive(RECEIVE_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                return b""
            finally:
                self.server.idle_receive_scopes.discard(scope)
        return b""

    async def _reject_request(self, status: int, retry_after_s: float) -> None:
        """Respond to a rejected request, if its connection can still take a response.

        :param retry_after_s: when the caller may return after a 503, in seconds.
        """
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers: Headers = (("content-length", "0"), ("connection", "close"))
        if status == 503:
            headers = (*headers, ("retry-after", f"{retry_after_s:.2f}"))
        response = h11.Response(status_code=status, headers=encode_headers(headers))
        try:
            data = self.protocol.send(response) or b""
            await self.stream.send(data + (self.protocol.send(h11.EndOfMessage()) or b""))
        except (h11.LocalProtocolError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            _logger.debug(
                "the connection of a rejected request closed before the response was sent"
            )


def _head_size(event: h11.Request) -> int:
    """Return the size of a head as received; h11 limits only incomplete heads."""
    fields = sum(len(name) + len(value) + len(b": \r\n") for name, value in event.headers)
    return len(event.method) + len(event.target) + fields


def _request_head(event: h11.Request) -> RequestHead:
    return RequestHead(
        event.method.decode("ascii"), event.target.decode("latin-1"), decode_headers(event.headers)
    )
