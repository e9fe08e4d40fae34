"""Calls to the endpoint beside an agent, over HTTP."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass
from typing import TypeAlias

import httpx

from bergamotchute_model.headers import Headers

CONNECT_S = 2.0
"""Bound on reaching the endpoint, which stands on the same VM."""

HOP_HEADERS = frozenset(
    {"connection", "content-length", "host", "keep-alive", "te", "trailer", "transfer-encoding"}
    | {"upgrade", "authorization", "accept-encoding", "date", "server"}
)
"""Headers that belong to one connection or one credential, and aren't passed on."""


class EndpointUnreached(Exception):
    """Nothing was written to the endpoint, so the call was not run."""


class EndpointBroke(Exception):
    """The call began and didn't end; it may have run."""


@dataclass(frozen=True)
class EndpointRequest:
    """One call to an endpoint.

    :param silence_s: how long the endpoint may send nothing before the call counts as broken.
    :param may_repeat: the call may run twice. Any other gets a connection of its own, since a kept
        one that the endpoint closes at that moment leaves open whether the call arrived.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    silence_s: float
    may_repeat: bool = True


@dataclass(frozen=True)
class EndpointAnswer:
    """An answer under way.

    :param chunks: the body as it comes; raises :exc:`EndpointBroke`.
    """

    status: int
    headers: Headers
    chunks: AsyncIterator[bytes]


CallEndpoint: TypeAlias = Callable[[EndpointRequest], AbstractAsyncContextManager[EndpointAnswer]]
"""Opens a call for the length of an ``async with``; leaving early cancels it.

Raises :exc:`EndpointUnreached` or :exc:`EndpointBroke`.
"""


def pass_on(headers: Mapping[str, str] | Headers) -> Headers:
    """Return the headers that go from one side to the other, with lower-case names."""
    items = headers.items() if isinstance(headers, Mapping) else headers
    return tuple((k.lower(), v) for k, v in items if k.lower() not in HOP_HEADERS)


def http_endpoint(
    client: httpx.AsyncClient, single_use: httpx.AsyncClient, base_url: str
) -> CallEndpoint:
    """Return a function that calls one endpoint.

    :param client: keeps connections; its pool must be at least as large as the endpoint's slots.
    :param single_use: keeps none.
    :param base_url: such as ``http://127.0.0.1:9001``.
    """

    @asynccontextmanager
    async def call(request: EndpointRequest) -> AsyncIterator[EndpointAnswer]:
        timeout = httpx.Timeout(request.silence_s, connect=CONNECT_S, pool=CONNECT_S)
        chosen = client if request.may_repeat else single_use
        outgoing = chosen.build_request(
            request.method,
            base_url + request.path,
            headers=list(request.headers),
            content=request.body,
            timeout=timeout,
        )
        try:
            response = await chosen.send(outgoing, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise EndpointUnreached(str(error) or type(error).__name__) from error
        except httpx.HTTPError as error:
            raise EndpointBroke(str(error) or type(error).__name__) from error
        try:
            headers = pass_on(response.headers)
            yield EndpointAnswer(response.status_code, headers, _chunks(response))
        finally:
            await response.aclose()

    return call


async def _chunks(response: httpx.Response) -> AsyncIterator[bytes]:
    """Yield the body; a body cut short raises."""
    try:
        async for chunk in response.aiter_raw():
            yield chunk
    except httpx.HTTPError as error:
        raise EndpointBroke(str(error) or type(error).__name__) from error
