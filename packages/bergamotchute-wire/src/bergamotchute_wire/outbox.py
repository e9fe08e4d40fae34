"""A queue of messages to send on a link, in order, without blocking the senders."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, suppress
from typing import Generic, TypeVar

import anyio

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
        self._sender, self._receiver = anyio.create_memory_object_stream[Message](
            MAX_QUEUED_MESSAGES
        )

    def post(self, message: Message) -> None:
        """Queue a message; it is dropped when the link is closed."""
        try:
            self._sender.send_nowait(message)
        except anyio.WouldBlock:
            self._sender.close()
        except (anyio.ClosedResourceError, anyio.BrokenResourceError):
            return

    def _take_queued(self) -> Iterator[Message]:
        """Yield the messages queued now, to fill a batch of :data:`MAX_BATCH_MESSAGES`."""
        for _ in range(MAX_BATCH_MESSAGES - 1):
            try:
                yield self._receiver.receive_nowait()
            except (anyio.WouldBlock, anyio.EndOfStream):
                return

    async def run(self) -> None:
        """Send until the link closes or the queue overflows; then close the link."""
        try:
            async for message in self._receiver:
                if self.batch_delay_s:
                    await anyio.sleep(self.batch_delay_s)
                await self.link.send_all([message, *self._take_queued()])
        except LinkClosed:
            pass
        finally:
            self._receiver.close()
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
