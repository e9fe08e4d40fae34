"""The little of ASGI that the fakes need."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
GRACEFUL_S = 1.0


@dataclass(frozen=True)
class Request:
    """A request read in full."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object; empty where it is none."""
        try:
            value = json.loads(self.body or b"{}")
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}


async def read_request(scope: Message, receive: Receive) -> Request:
    """Read the whole request."""
    body = b""
    more = True
    while more:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    headers = {name.decode().lower(): value.decode() for name, value in scope["headers"]}
    return Request(scope["method"], scope["path"], headers, body)


async def send_head(send: Send, status: int, content_type: str) -> None:
    """Begin an answer."""
    headers = [(b"content-type", content_type.encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def send_json(send: Send, status: int, value: object) -> None:
    """Answer with one JSON value."""
    await send_head(send, status, "application/json")
    await send({"type": "http.response.body", "body": json.dumps(value).encode()})


async def until_disconnect(receive: Receive) -> None:
    """Return when the peer has closed its side."""
    while (await receive())["type"] != "http.disconnect":
        pass


def serve_forever(app: Any, bind: str) -> None:
    """Serve ``app`` on ``bind`` until the process is told to stop."""
    config = Config()
    config.bind = [bind]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = GRACEFUL_S
    anyio.run(serve, app, config)
