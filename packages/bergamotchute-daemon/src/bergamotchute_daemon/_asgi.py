"""Reading requests and writing answers over ASGI, with bounds on size and time."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from typing import Any, TypeAlias
from urllib.parse import parse_qs

import anyio

from bergamotchute_model.headers import Headers
from bergamotchute_model.problem import Problem, ProblemCode, ProblemError

Scope: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send: TypeAlias = Callable[[MutableMapping[str, Any]], Awaitable[None]]

BODY_READ_S = 10.0
"""How long a caller may take to send its body."""

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"


class CallerGone(Exception):
    """The caller closed its connection."""


@dataclass(frozen=True)
class HttpRequestHead:
    """The head of a request.

    :param path: percent-decoded, without the query.
    :param target: path and query as sent.
    """

    method: str
    path: str
    target: str
    query: dict[str, str]
    headers: Headers

    def header(self, name: str) -> str:
        """Return the first header of this lower-case name; empty when there is none."""
        return next((value for key, value in self.headers if key == name), "")

    def bearer_token(self) -> str:
        """Return the bearer token; empty when there is none."""
        scheme, _, token = self.header("authorization").partition(" ")
        return token.strip() if scheme.lower() == "bearer" else ""


def parse_request_head(scope: Scope) -> HttpRequestHead:
    """Return the head that an ASGI scope holds."""
    raw_path = scope.get("raw_path") or scope["path"].encode()
    query = scope.get("query_string", b"").decode("latin-1")
    target = raw_path.decode("latin-1") + (f"?{query}" if query else "")
    headers = tuple((k.decode("latin-1").lower(), v.decode("latin-1")) for k, v in scope["headers"])
    fields = {name: values[-1] for name, values in parse_qs(query).items()}
    return HttpRequestHead(scope["method"], scope["path"], target, fields, headers)


async def read_body(receive: Receive, limit_bytes: int) -> bytes:
    """Return the whole body.

    :raises ProblemError: when it is too large or comes too slowly.
    :raises CallerGone: when the caller left.
    """
    parts: list[bytes] = []
    size = 0
    with anyio.move_on_after(BODY_READ_S):
        while True:
            message = await receive()
            if message["type"] != "http.request":
                raise CallerGone
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if size > limit_bytes:
                raise ProblemError(
                    Problem(
                        413,
                        ProblemCode.BODY_TOO_LARGE,
                        f"the body is longer than {limit_bytes} bytes",
                    )
                )
            if not message.get("more_body", False):
                return b"".join(parts)
    raise ProblemError(
        Problem(408, ProblemCode.REQUEST_TIMEOUT, f"the body took over {BODY_READ_S} s", retry=True)
    )


async def wait_disconnect(receive: Receive) -> None:
    """Return once the caller has closed its connection."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def send_json(
    send: Send, status: int, value: Any, headers: Headers = (), media_type: str = JSON_TYPE
) -> None:
    """Send a whole JSON answer."""
    body = json.dumps(value).encode()
    await send_response(send, status, body, ((("content-type", media_type)), *headers))


async def send_response(send: Send, status: int, body: bytes, headers: Headers) -> None:
    """Send a whole answer."""
    own = (("content-length", str(len(body))),)
    await _send_head(send, status, (*headers, *own))
    await send({"type": "http.response.body", "body": body})


async def send_problem(send: Send, problem: Problem, request_id: str = "") -> None:
    """Send a problem document."""
    headers: list[tuple[str, str]] = []
    if problem.retry_after_s is not None:
        headers.append(("retry-after", str(max(1, round(problem.retry_after_s)))))
    if problem.status == 401:
        headers.append(("www-authenticate", "Bearer"))
    if request_id:
        headers.append(("x-request-id", request_id))
    document = problem_document(problem)
    await send_json(send, problem.status, document, tuple(headers), PROBLEM_TYPE)


def problem_document(problem: Problem) -> dict[str, Any]:
    """Return the JSON form of a problem."""
    return {
        "type": f"urn:bergamotchute:problem:{problem.code}",
        "title": problem.code.replace("_", " "),
        "status": problem.status,
        "code": str(problem.code),
        "detail": problem.detail,
        "verdict": str(problem.verdict),
        "retry": problem.retry,
        "retry_after_s": problem.retry_after_s,
        "addresses": list(problem.addresses),
    }


async def send_stream(
    send: Send, status: int, headers: Headers, chunks: AsyncIterator[bytes]
) -> None:
    """Send an answer as it comes."""
    await _send_head(send, status, headers)
    async for data in chunks:
        await send({"type": "http.response.body", "body": data, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


async def _send_head(send: Send, status: int, headers: Headers) -> None:
    encoded = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    await send({"type": "http.response.start", "status": status, "headers": encoded})
