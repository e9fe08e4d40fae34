"""Scripted entries for tests of HTTP clients, without sockets."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

import httpx

ScriptedResponse = httpx.Response | Exception


@dataclass
class ScriptedEntries:
    """Responds to each request with the next response in the script of its host.

    The last response of a script is repeated.

    :param scripts: responses by ``host:port``; a function builds the response from the request, an
        exception is raised instead of a response.
    :param requests: the requests received, in order.
    """

    scripts: dict[str, list[ScriptedResponse | Callable[[httpx.Request], httpx.Response]]]
    requests: list[httpx.Request] = field(default_factory=list)

    def transport(self) -> httpx.MockTransport:
        return httpx.MockTransport(self.answer)

    def answer(self, request: httpx.Request) -> httpx.Response:
        self.requests.append(request)
        script = self.scripts[f"{request.url.host}:{request.url.port}"]
        answer = script.pop(0) if len(script) > 1 else script[0]
        if isinstance(answer, Exception):
            raise answer
        return answer(request) if callable(answer) else answer

    def request_lines(self) -> list[str]:
        return [
            f"{request.method} {request.url.host}{request.url.path}" for request in self.requests
        ]


class InterruptedBody(httpx.AsyncByteStream):
    """A response body that ends with a connection error."""

    def __init__(self, chunks: Iterable[bytes]) -> None:
        self.chunks = chunks

    async def __aiter__(self) -> Iterator[bytes]:  # type: ignore[override]
        for chunk in self.chunks:
            yield chunk
        raise httpx.ReadError("the connection was lost")


def problem_response(
    status: int, code: str, verdict: str, **extra_fields: object
) -> httpx.Response:
    document = {
        "code": code,
        "detail": "details of the problem",
        "verdict": verdict,
        "retry": False,
        **extra_fields,
    }
    return httpx.Response(
        status, json=document, headers={"content-type": "application/problem+json"}
    )
