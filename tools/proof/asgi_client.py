"""Calls an ASGI application in memory, with streamed answers and disconnects."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from typing import Any

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream

BUFFERED = 64


class ConnectionBroke(Exception):
    """The application ended without a whole answer."""


@dataclass(frozen=True)
class AsgiRequest:
    """A request; ``path`` may hold a query."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def scope(self) -> dict[str, Any]:
        """Return the ASGI scope."""
        path, _, query = self.path.partition("?")
        return {
            "type": "http",
            "method": self.method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": query.encode(),
            "headers": [(name.encode(), value.encode()) for name, value in self.headers],
        }


@dataclass(frozen=True)
class AsgiAnswer:
    """An answer under way; ``chunks`` raises :exc:`ConnectionBroke`."""

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: AsyncIterator[bytes]


@asynccontextmanager
async def open_call(app: Any, request: AsgiRequest, tasks: TaskGroup) -> AsyncIterator[AsgiAnswer]:
    """Call ``app`` for the length of an ``async with``; leaving early is a disconnect.

    :param tasks: where the application's side runs; cancelling them breaks the connection.
    :raises ConnectionBroke: when no head of an answer comes.
    """
    left = anyio.Event()
    sender, receiver = anyio.create_memory_object_stream[dict[str, Any]](BUFFERED)
    unread = [{"type": "http.request", "body": request.body, "more_body": False}]

    async def receive() -> dict[str, Any]:
        if unread:
            return unread.pop()
        await left.wait()
        return {"type": "http.disconnect"}

    async def send(message: dict[str, Any]) -> None:
        # A server drops what it can no longer send.
        with suppress(anyio.BrokenResourceError):
            await sender.send(message)

    async def run() -> None:
        with sender:
            try:
                await app(request.scope(), receive, send)
            except Exception:
                return

    tasks.start_soon(run)
    try:
        with receiver:
            head = await _next(receiver)
            headers = tuple((k.decode().lower(), v.decode()) for k, v in head["headers"])
            yield AsgiAnswer(head["status"], headers, _chunks(receiver))
    finally:
        left.set()


async def _next(receiver: MemoryObjectReceiveStream[dict[str, Any]]) -> dict[str, Any]:
    try:
        return await receiver.receive()
    except anyio.EndOfStream as error:
        raise ConnectionBroke from error


async def _chunks(receiver: MemoryObjectReceiveStream[dict[str, Any]]) -> AsyncIterator[bytes]:
    more = True
    while more:
        message = await _next(receiver)
        more = message.get("more_body", False)
        if message.get("body"):
            yield message["body"]
