"""An HTTP/1.1 exchange with an endpoint over a connection of its own."""

from __future__ import annotations

import anyio
import h11
from anyio.abc import ByteStream

from bergamotchute_model.identifiers import Address
from bergamotchute_wire.http1_messages import (
    MAX_STATUS,
    EndpointFailure,
    RequestHead,
    ResponseHead,
    decode_headers,
    encode_headers,
)

RECEIVE_BYTES = 65_536
MAX_HEAD_BYTES = 32_768

MAX_INTERIM_RESPONSES = 16
"""Limit on 1xx responses before the final one; an endpoint that sends more is faulty."""

MAX_RESPONSE_CHUNKS = 16_384
"""Most chunks of a buffered response.

At this bound, an endpoint that sends tiny chunks without end costs 0.3 s of CPU time.
"""


def read_status(response: h11.Response) -> int:
    """Return the status of a final response.

    :raises EndpointFailure: if it is no status of HTTP; the request may have run all the same.
    """
    status: int = response.status_code
    if status > MAX_STATUS:
        raise EndpointFailure(f"malformed response: {status} is no HTTP status", True)
    return status


def encode_request(protocol: h11.Connection, head: RequestHead, body: bytes) -> bytes:
    """Return the bytes of a complete request."""
    return send_request_event(protocol, request_event(head), body)


def request_event(head: RequestHead) -> h11.Request:
    """Return the head of a request as h11 takes it, which validates it."""
    return h11.Request(method=head.method, target=head.target, headers=encode_headers(head.headers))


def send_request_event(protocol: h11.Connection, request: h11.Request, body: bytes) -> bytes:
    """Return the bytes of a complete request whose head was validated."""
    data = protocol.send(request) or b""
    if body:
        data += protocol.send(h11.Data(data=body)) or b""
    return data + (protocol.send(h11.EndOfMessage()) or b"")


class EndpointExchange:
    """One request and its response.

    A connection serves a single exchange. So bytes after the response can't be mistaken for the
    response to another request, and the endpoint can't close the connection while another request
    is being written to it.

    :param stream: a new connection.
    :ivar has_ended: whether the endpoint has closed the connection.
    """

    def __init__(self, stream: ByteStream) -> None:
        self.stream = stream
        self.protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.has_begun_sending = False
        self.has_ended = False

    async def send(self, head: RequestHead, body: bytes) -> None:
        """Send the complete request.

        :raises EndpointFailure: when the connection breaks before any byte of a response.
        """
        data = encode_request(self.protocol, head, body)
        self.has_begun_sending = True
        try:
            await self.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            # An endpoint may respond and close before it has read the whole request.
            if not await self._has_early_response():
                raise EndpointFailure(
                    "the connection broke while the request was sent", True, True
                ) from error

    async def close(self) -> None:
        """Close the connection, also while the caller's task is cancelled."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)

    async def _has_early_response(self) -> bool:
        """Return whether bytes of a response came before the connection broke."""
        try:
            self.protocol.receive_data(await self.stream.receive(RECEIVE_BYTES))
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return False
        return True

    async def read_response_head(self) -> ResponseHead:
        """Return the head of the final response.

        :raises EndpointFailure: when none arrives.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return ResponseHead(read_status(event), decode_headers(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise EndpointFailure(
                    "the connection ended before a response", True, self.has_ended
                )
        raise EndpointFailure("too many interim responses", True)

    async def read_body_chunk(self) -> bytes | None:
        """Return the next bytes of the body, or ``None`` once the response is complete.

        Cancelling the call loses no data.

        :raises EndpointFailure: when the response ends early.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise EndpointFailure("the response ended early", True, self.has_ended)

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        try:
            while True:
                event = self.protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event  # type: ignore[return-value]
                self.protocol.receive_data(await self._receive())
        except h11.RemoteProtocolError as error:
            raise EndpointFailure("malformed response", True, self.has_ended, str(error)) from error

    async def _receive(self) -> bytes:
        """Return the next bytes, empty when the endpoint closed the connection."""
        try:
            return await self.stream.receive(RECEIVE_BYTES)
        except anyio.EndOfStream:
            self.has_ended = True
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise EndpointFailure("the connection was reset", True, True) from error


async def refuses_connections(address: Address, connect_timeout_s: float) -> bool:
    """Return whether an endpoint's VM answers that nothing listens at the address.

    :param connect_timeout_s: bound on connecting, in seconds; no answer is no refusal.
    """
    try:
        with anyio.fail_after(connect_timeout_s):
            stream = await anyio.connect_tcp(address.host, address.port)
    except TimeoutError:
        return False
    except OSError as error:
        causes = (error, error.__cause__)
        return any(isinstance(each, ConnectionRefusedError) for each in causes)
    with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(stream)
    return False


async def connect_exchange(
    address: Address, connect_timeout_s: float, tls: bool = False
) -> EndpointExchange:
    """Connect to an endpoint for one exchange, which the caller closes.

    :param connect_timeout_s: bound on connecting, in seconds.
    :param tls: whether the endpoint serves HTTPS.
    :raises EndpointFailure: when the connection can't be opened; nothing was sent.
    """
    try:
        with anyio.fail_after(connect_timeout_s):
            if tls:
                return EndpointExchange(
                    await anyio.connect_tcp(address.host, address.port, tls=True)
                )
            return EndpointExchange(await anyio.connect_tcp(address.host, address.port))
    except TimeoutError as error:
        raise EndpointFailure("connecting to the endpoint timed out", False) from error
    except OSError as error:
        raise EndpointFailure(
            "connecting to the endpoint failed", False, detail=str(error)
        ) from error
