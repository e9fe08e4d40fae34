"""HTTP calls from an agent to its endpoint."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass
from typing import TypeAlias, TypeVar
from urllib.parse import urlsplit

import anyio

from bergamotchute_model.headers import Headers
from bergamotchute_model.identifiers import Address
from bergamotchute_wire.http1_client import EndpointExchange, connect_exchange
from bergamotchute_wire.http1_messages import EndpointFailure, RequestHead

Result = TypeVar("Result")

CONNECT_TIMEOUT_S = 2.0
"""Bound on connecting to the endpoint, which runs on the same VM."""

HTTP_PORT = 80
HTTPS_PORT = 443

UNFORWARDED_HEADERS = frozenset(
    {"connection", "content-length", "host", "keep-alive", "te", "trailer", "transfer-encoding"}
    | {"upgrade", "authorization", "accept-encoding", "date", "server"}
)
"""Headers that apply to one connection or carry a credential, and are not forwarded."""


class EndpointUnreachable(Exception):
    """No byte was written to the endpoint, so the call was not run."""


class EndpointCallInterrupted(Exception):
    """The call was interrupted after it began; it may have run."""


@dataclass(frozen=True)
class EndpointRequest:
    """One call to an endpoint.

    :param silence_timeout_s: how long the endpoint may send nothing before the call counts as
        interrupted, in seconds.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    silence_timeout_s: float


@dataclass(frozen=True)
class EndpointResponse:
    """A response whose body is still arriving.

    :param chunks: the body as it arrives; raises :exc:`EndpointCallInterrupted`.
    """

    status: int
    headers: Headers
    chunks: AsyncIterator[bytes]


CallEndpoint: TypeAlias = Callable[[EndpointRequest], AbstractAsyncContextManager[EndpointResponse]]
"""Opens a call as an async context manager; leaving the context early cancels the call.

Raises :exc:`EndpointUnreachable` or :exc:`EndpointCallInterrupted`.
"""


def forwardable_headers(headers: Mapping[str, str] | Headers) -> Headers:
    """Return the headers that are forwarded, with lower-case names."""
    items = headers.items() if isinstance(headers, Mapping) else headers
    return tuple(
        (name.lower(), value) for name, value in items if name.lower() not in UNFORWARDED_HEADERS
    )


def http_endpoint_call(base_url: str) -> CallEndpoint:
    """Return a function that calls one endpoint, over a connection of its own for each call.

    On a reused connection, a response that the endpoint writes once more would be taken for that of
    the next call; and if the endpoint closed it at that moment, it would be unknown whether the call
    arrived.

    :param base_url: such as ``http://127.0.0.1:9001``.
    """
    url = urlsplit(base_url)
    uses_tls = url.scheme == "https"
    address = Address(url.hostname or "", url.port or (HTTPS_PORT if uses_tls else HTTP_PORT))

    @asynccontextmanager
    async def call(request: EndpointRequest) -> AsyncIterator[EndpointResponse]:
        headers = (
            ("host", url.netloc),
            ("content-length", str(len(request.body))),
            *request.headers,
        )
        try:
            exchange = await connect_exchange(address, CONNECT_TIMEOUT_S, uses_tls)
        except EndpointFailure as failure:
            raise EndpointUnreachable(failure.reason) from failure
        try:
            head = RequestHead(request.method, request.path, headers)
            await _within(request.silence_timeout_s, exchange.send(head, request.body))
            response = await _within(request.silence_timeout_s, exchange.read_response_head())
            yield EndpointResponse(
                response.status,
                forwardable_headers(response.headers),
                _read_chunks(exchange, request.silence_timeout_s),
            )
        finally:
            await exchange.close()

    return call


async def _within(silence_timeout_s: float, step: Awaitable[Result]) -> Result:
    """Wait for a step of a call.

    :raises EndpointCallInterrupted: when it fails, or takes longer than the timeout in seconds.
    """
    try:
        with anyio.fail_after(silence_timeout_s):
            return await step
    except EndpointFailure as failure:
        raise EndpointCallInterrupted(failure.reason) from failure
    except TimeoutError as error:
        raise EndpointCallInterrupted(f"no data for {silence_timeout_s:.0f} s") from error


async def _read_chunks(
    exchange: EndpointExchange, silence_timeout_s: float
) -> AsyncIterator[bytes]:
    """Yield the body.

    :raises EndpointCallInterrupted: when the body ends early.
    """
    while (chunk := await _within(silence_timeout_s, exchange.read_body_chunk())) is not None:
        yield chunk
