"""Calls to the endpoint on the same VM over one persistent connection."""

from __future__ import annotations

import select
from dataclasses import dataclass, field
from functools import lru_cache

import anyio
import h11
from anyio.abc import ByteStream, SocketAttribute

from bergamotchute_model.identifiers import Address
from bergamotchute_wire.http1_client import (
    MAX_INTERIM_RESPONSES,
    MAX_RESPONSE_CHUNKS,
    RECEIVE_BYTES,
    read_status,
    request_event,
    send_request_event,
)
from bergamotchute_wire.http1_messages import EndpointFailure, RequestHead

MAX_RESPONSE_BYTES = 1_048_576
"""Limit on a response body, beyond which the call fails.

The largest body, the counts of a rank's experts, has about 20 kB.
"""

CALL_ERRORS = (
    OSError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)
"""Errors that end a call without a complete response."""


@lru_cache(maxsize=64)
def _request_event(host: str, method: str, target: str, body_bytes: int) -> h11.Request:
    """Return the head of a call; the same few are made several times a second."""
    headers = (
        ("host", host),
        ("content-type", "application/json"),
        ("content-length", str(body_bytes)),
    )
    return request_event(RequestHead(method, target, headers))


@dataclass
class PersistentConnection:
    """Makes one call at a time over a reused connection; a failed call closes the connection.

    Calls are never repeated here: only the code that makes a call knows what a lost response means.
    A connection on which more than one response came is closed, as the second belongs to no call.

    :param max_idle_s: a connection that was idle for longer is replaced before a call, in seconds.
    """

    address: Address
    max_idle_s: float = float("inf")
    last_used_at: float = float("-inf")
    stream: ByteStream | None = None
    protocol: h11.Connection | None = None
    lock: anyio.Lock = field(default_factory=anyio.Lock)

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Make a call and return the status and body of the response.

        :param timeout_s: bound on the whole call, in seconds.
        :raises EndpointFailure: when no complete response came in time.
        """
        has_begun_sending = False
        try:
            with anyio.fail_after(timeout_s):
                async with self.lock:
                    await self._connect()
                    has_begun_sending = True
                    return await self._exchange(method, target, body)
        except h11.ProtocolError as error:
            raise EndpointFailure(
                "malformed response", has_begun_sending, detail=str(error)
            ) from error
        except CALL_ERRORS as error:
            raise EndpointFailure(str(error) or type(error).__name__, has_begun_sending) from error

    async def _connect(self) -> None:
        now = anyio.current_time()
        if now - self.last_used_at > self.max_idle_s or self._has_unread_bytes():
            await self._close()
        self.last_used_at = now
        if self.stream is None:
            self.stream = await anyio.connect_tcp(self.address.host, self.address.port)
            self.protocol = h11.Connection(h11.CLIENT)

    def _has_unread_bytes(self) -> bool:
        """Return whether the endpoint sent something since the last response, or closed."""
        if self.stream is None:
            return False
        poller = select.poll()
        poller.register(self.stream.extra(SocketAttribute.raw_socket).fileno(), select.POLLIN)
        return bool(poller.poll(0))

    async def _exchange(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        assert self.stream is not None
        assert self.protocol is not None
        whole = False
        try:
            request = _request_event(str(self.address), method, target, len(body))
            await self.stream.send(send_request_event(self.protocol, request, body))
            status, answer = await self._read_response(self.protocol, self.stream)
            whole = (
                self.protocol.our_state is h11.DONE
                and self.protocol.their_state is h11.DONE
                and not self.protocol.trailing_data[0]
            )
            if whole:
                self.protocol.start_next_cycle()
            return status, answer
        finally:
            if not whole:
                await self._close()

    async def _read_response(
        self, protocol: h11.Connection, stream: ByteStream
    ) -> tuple[int, bytes]:
        status = 0
        body = bytearray()
        interim_count = chunk_count = 0
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await stream.receive(RECEIVE_BYTES))
            elif isinstance(event, h11.Response):
                status = read_status(event)
            elif isinstance(event, h11.Data):
                body += event.data
                chunk_count += 1
                if len(body) > MAX_RESPONSE_BYTES or chunk_count > MAX_RESPONSE_CHUNKS:
                    raise EndpointFailure("the response has too many bytes or chunks", True)
            elif isinstance(event, h11.EndOfMessage):
                return status, bytes(body)
            elif isinstance(event, h11.InformationalResponse):
                interim_count += 1
                if interim_count > MAX_INTERIM_RESPONSES:
                    raise EndpointFailure("too many interim responses", True)
            else:
                raise anyio.EndOfStream

    async def _close(self) -> None:
        stream, self.stream, self.protocol = self.stream, None, None
        if stream is not None:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
