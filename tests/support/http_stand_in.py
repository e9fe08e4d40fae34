"""Entries that answer HTTP requests from a script, without sockets."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

import httpx

Answer = httpx.Response | Exception


@dataclass
class ScriptedEntries:
    """Answers each request to a host with the next answer of its script; the last one stays.

    :param scripts: answers by host and port; functions make them from the request.
    :param requests: what was asked, in order.
    """

    scripts: dict[str, list[Answer | Callable[[httpx.Request], httpx.Response]]]
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

    def asked(self) -> list[str]:
        return [f"{r.method} {r.url.host}{r.url.path}" for r in self.requests]


class BrokenStream(httpx.AsyncByteStream):
    """Bytes that come until the connection breaks."""

    def __init__(self, parts: Iterable[bytes]) -> None:
        self.parts = parts

    async def __aiter__(self) -> Iterator[bytes]:  # type: ignore[override]
        for part in self.parts:
            yield part
        raise httpx.ReadError("the connection broke")


def problem(status: int, code: str, verdict: str, **more: object) -> httpx.Response:
    document = {"code": code, "detail": "so it is", "verdict": verdict, "retry": False, **more}
    return httpx.Response(
        status, json=document, headers={"content-type": "application/problem+json"}
    )
