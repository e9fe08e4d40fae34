"""One HTTP/1.1 exchange with an endpoint over a connection of its own."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import h11
from anyio.abc import ByteStream

from bergamotchute_model.identifiers import Address
from bergamotchute_wire.http1_messages import (
    AnswerHead,
    EndpointFailure,
    RequestHead,
    raw_headers,
    text_headers,
)

RECEIVE_BYTES = 65_536
MAX_HEAD_BYTES = 32_768

MAX_INTERIM_ANSWERS = 16
"""Interim answers before the final one; an endpoint that sends them without end is failing."""


def request_bytes(protocol: h11.Connection, head: RequestHead, body: bytes) -> bytes:
    """Return the bytes of a whole request."""
    request = h11.Request(method=head.method, target=head.target, headers=raw_headers(head.headers))
    data = protocol.send(request) or b""
    if body:
        data += protocol.send(h11.Data(data=body)) or b""
    return data + (protocol.send(h11.EndOfMessage()) or b"")


class EndpointExchange:
    """One request and its answer.

    A connection serves one exchange: bytes that come after the answer belong to no request, and
    no connection can close while a next request is being written to it.

    :param stream: a fresh connection.
    """

    def __init__(self, stream: ByteStream) -> None:
        self.stream = stream
        self.protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.sent = False

    async def send(self, head: RequestHead, body: bytes) -> None:
        """Send a whole request.

        :raises EndpointFailure: when the connection broke.
        """
        data = request_bytes(self.protocol, head, body)
        self.sent = True
        try:
            await self.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            # An endpoint may answer and close before it has read the whole request.
            if not await self._answer_waits():
                raise EndpointFailure("the connection broke while sending", True) from error

    async def _answer_waits(self) -> bool:
        """Return whether bytes of an answer came before the connection broke."""
        try:
            self.protocol.receive_data(await self.stream.receive(RECEIVE_BYTES))
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return False
        return True

    async def read_head(self) -> AnswerHead:
        """Return the head of the final answer.

        :raises EndpointFailure: when none comes.
        """
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return AnswerHead(event.status_code, text_headers(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise EndpointFailure("the connection ended before an answer", True)
        raise EndpointFailure("too many interim answers", True)

    async def read_data(self) -> bytes | None:
        """Return the next bytes of the answer, or ``None`` at its proper end.

        A call that is cancelled loses nothing.

        :raises EndpointFailure: when the answer ends early.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise EndpointFailure("the answer ended early", True)

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        try:
            while True:
                event = self.protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event  # type: ignore[return-value]
                self.protocol.receive_data(await self._receive())
        except h11.RemoteProtocolError as error:
            raise EndpointFailure(f"malformed answer: {error}", True) from error

    async def _receive(self) -> bytes:
        """Return the next bytes; none at the connection's orderly end."""
        try:
            return await self.stream.receive(RECEIVE_BYTES)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise EndpointFailure("the connection was reset", True) from error


@asynccontextmanager
async def open_exchange(
    address: Address, connect_timeout_s: float
) -> AsyncIterator[EndpointExchange]:
    """Connect to an endpoint for one exchange, and close behind it.

    :param connect_timeout_s: bound on connecting, in seconds.
    :raises EndpointFailure: when no connection opens; nothing was sent.
    """
    try:
        with anyio.fail_after(connect_timeout_s):
            stream = await anyio.connect_tcp(address.host, address.port)
    except (OSError, TimeoutError) as error:
        raise EndpointFailure(f"connecting failed: {error or 'timeout'}", False) from error
    try:
        yield EndpointExchange(stream)
    finally:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)
