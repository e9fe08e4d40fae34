"""A queue of messages to send on a link, in order, without blocking the senders."""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Generic, TypeVar

import anyio
import anyio.lowlevel

from bergamotchute_wire.link import Link, LinkClosed

Message = TypeVar("Message")

MAX_QUEUED_MESSAGES = 20_000
"""Limit on queued messages; a peer that exceeds it has stopped reading, and its link is closed."""


MAX_BATCH_MESSAGES = 64


class Outbox(Generic[Message]):
    """Sends posted messages in the order they were posted.

    Messages that are queued at the same time are sent as a batch.

    :param link: where to send; :meth:`run` must run as long as the link is served.
    :param batch_delay_s: how long the first message of a batch waits for further ones, in seconds.
    """

    def __init__(self, link: Link[Message], batch_delay_s: float = 0.0) -> None:
        self.link = link
        self.batch_delay_s = batch_delay_s
        self._queue: deque[Message] = deque()
        self._is_closed = False
        # Set while run() waits for a message. A memory object stream takes more processor time.
        self._posted: anyio.Event | None = None

    def post(self, message: Message) -> None:
        """Queue a message; it is dropped when the link is closed."""
        if self._is_closed:
            return
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._is_closed = True
            return
        self._queue.append(message)
        if self._posted is not None:
            self._posted.set()

    async def _wait_for_message(self) -> bool:
        """Wait until a message is queued; return whether there is one."""
        if self._queue:
            await anyio.lowlevel.checkpoint()
        elif not self._is_closed:
            self._posted = anyio.Event()
            await self._posted.wait()
            self._posted = None
        return bool(self._queue)

    def _take_batch(self) -> list[Message]:
        """Take the messages queued now, at most :data:`MAX_BATCH_MESSAGES`."""
        count = min(len(self._queue), MAX_BATCH_MESSAGES)
        return [self._queue.popleft() for _ in range(count)]

    async def run(self) -> None:
        """Send until the link closes or the queue overflows; then close the link."""
        try:
            while await self._wait_for_message():
                if self.batch_delay_s:
                    await anyio.sleep(self.batch_delay_s)
                await self.link.send_all(self._take_batch())
        except LinkClosed:
            pass
        finally:
            self._is_closed = True
            self._queue.clear()
            await self.link.aclose()


@asynccontextmanager
async def open_outbox(link: Link[Message]) -> AsyncIterator[Outbox[Message]]:
    """Send posted messages while the context is open; suppress :exc:`LinkClosed` from its body."""
    outbox = Outbox(link)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(outbox.run)
        with suppress(LinkClosed):
            yield outbox
        tasks.cancel_scope.cancel()
