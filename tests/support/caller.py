"""A caller that calls an entry's ASGI application without sockets."""

from __future__ import annotations

import json
from collections.abc import MutableMapping
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.lowlevel

TEAM_TOKEN = "parish-token-0123456789abcdef"
ADMIN_TOKEN = "admin-token-0123456789abcdef"


@dataclass
class Response:
    """The response to one request.

    :param status: the HTTP status; 0 when the connection was closed before the head.
    :param complete: whether the end of the body was received.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)

    def words(self) -> list[str]:
        """Return the words of a streamed answer."""
        lines = [line[6:] for line in self.body.split(b"\n") if line.startswith(b"data: {")]
        return [json.loads(line)["choices"][0]["delta"]["content"].strip() for line in lines]


@dataclass
class Caller:
    """Sends requests to one application.

    :param app: an entry's ASGI application.
    """

    app: Any
    token: str = TEAM_TOKEN

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        disconnect_after_s: float = float("inf"),
    ) -> Response:
        """Send one request and return its answer.

        :param disconnect_after_s: when to disconnect, in seconds after the request.
        """
        answer = Response()
        sent = False
        gone = anyio.Event()

        async def receive() -> MutableMapping[str, Any]:
            nonlocal sent
            if not sent:
                sent = True
                return {"type": "http.request", "body": body, "more_body": False}
            await gone.wait()
            return {"type": "http.disconnect"}

        async def send(message: MutableMapping[str, Any]) -> None:
            await anyio.lowlevel.checkpoint()
            if message["type"] == "http.response.start":
                answer.status = message["status"]
                answer.headers = {k.decode(): v.decode() for k, v in message["headers"]}
            else:
                answer.body += message.get("body", b"")
                answer.complete = not message.get("more_body", False)

        async def disconnect() -> None:
            await anyio.sleep(disconnect_after_s)
            gone.set()

        async with anyio.create_task_group() as tasks:
            if disconnect_after_s != float("inf"):
                tasks.start_soon(disconnect)
            await self.app(self._scope(method, path, headers or {}), receive, send)
            tasks.cancel_scope.cancel()
        return answer

    async def draft(self, max_tokens: int = 20, **options: Any) -> Response:
        """Request a streamed completion."""
        fields = {"model": "booklets", "stream": True, "max_tokens": max_tokens}
        body = json.dumps(fields | {"messages": [{"role": "user", "content": "psalm"}]})
        return await self.request("POST", "/v1/chat/completions", body.encode(), **options)

    async def order(self, key: str, body: bytes = b"{}", **options: Any) -> Response:
        """Send a non-idempotent request to the order service."""
        headers = {"idempotency-key": key}
        path = "/v1/services/orders/orders"
        return await self.request("POST", path, body, headers, **options)

    async def apply(self, name: str, text: str) -> Response:
        """Apply an operator file by the admin API."""
        admin = Caller(self.app, ADMIN_TOKEN)
        return await admin.request("PUT", f"/v1/admin/files/{name}", text.encode())

    def _scope(self, method: str, path: str, headers: dict[str, str]) -> dict[str, Any]:
        target, _, query = path.partition("?")
        all_headers = {"authorization": f"Bearer {self.token}"} | headers
        return {
            "type": "http",
            "method": method,
            "path": target,
            "raw_path": target.encode(),
            "query_string": query.encode(),
            "headers": [(k.encode(), v.encode()) for k, v in all_headers.items()],
        }
