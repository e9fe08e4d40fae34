"""HTTP calls from an agent to its endpoint."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass
from typing import TypeAlias

import httpx

from bergamotchute_model.headers import Headers

CONNECT_TIMEOUT_S = 2.0
"""Bound on connecting to the endpoint, which runs on the same VM."""

SINGLE_USE_LIMITS = httpx.Limits(max_connections=None, max_keepalive_connections=0)
"""Opens a connection for each call.

On a reused one, a response that the endpoint writes once more would be taken for that of the next
call; and if the endpoint closed it at that moment, it would be unknown whether the call arrived.
"""

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


def http_endpoint_call(client: httpx.AsyncClient, base_url: str) -> CallEndpoint:
    """Return a function that calls one endpoint.

    :param client: opens a connection for each call, see :data:`SINGLE_USE_LIMITS`.
    :param base_url: such as ``http://127.0.0.1:9001``.
    """

    @asynccontextmanager
    async def call(request: EndpointRequest) -> AsyncIterator[EndpointResponse]:
        timeout = httpx.Timeout(
            request.silence_timeout_s, connect=CONNECT_TIMEOUT_S, pool=CONNECT_TIMEOUT_S
        )
        http_request = client.build_request(
            request.method,
            base_url + request.path,
            headers=list(request.headers),
            content=request.body,
            timeout=timeout,
        )
        try:
            response = await client.send(http_request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise EndpointUnreachable(str(error) or type(error).__name__) from error
        except httpx.HTTPError as error:
            raise EndpointCallInterrupted(str(error) or type(error).__name__) from error
        try:
            headers = forwardable_headers(response.headers)
            yield EndpointResponse(response.status_code, headers, _read_chunks(response))
        finally:
            await response.aclose()

    return call


async def _read_chunks(response: httpx.Response) -> AsyncIterator[bytes]:
    """Yield the body.

    :raises EndpointCallInterrupted: when the body ends early.
    """
    try:
        async for chunk in response.aiter_raw():
            yield chunk
    except httpx.HTTPError as error:
        raise EndpointCallInterrupted(str(error) or type(error).__name__) from error
