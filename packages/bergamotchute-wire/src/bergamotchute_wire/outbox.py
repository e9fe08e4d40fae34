"""Messages that wait to leave on a link, in order, without holding up who posts them."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, suppress
from typing import Generic, TypeVar

import anyio

from bergamotchute_wire.link import Link, LinkClosed

Message = TypeVar("Message")

OUTBOX_MESSAGES = 20_000
"""A peer that lets more than this wait has stopped reading; its link is closed."""


TOGETHER_MESSAGES = 64


class Outbox(Generic[Message]):
    """Sends posted messages in the order they were posted.

    Messages that wait together leave together.

    :param link: where they go; :meth:`run` must run as long as the link is served.
    :param gather_s: how long a first message waits for others to join it, in seconds.
    """

    def __init__(self, link: Link[Message], gather_s: float = 0.0) -> None:
        self.link = link
        self.gather_s = gather_s
        self._sender, self._receiver = anyio.create_memory_object_stream[Message](OUTBOX_MESSAGES)

    def post(self, message: Message) -> None:
        """Queue a message; on a link that is gone it is dropped."""
        try:
            self._sender.send_nowait(message)
        except anyio.WouldBlock:
            self._sender.close()
        except (anyio.ClosedResourceError, anyio.BrokenResourceError):
            return

    def _waiting(self) -> Iterator[Message]:
        """Yield what waits now, up to :data:`TOGETHER_MESSAGES`."""
        for _ in range(TOGETHER_MESSAGES - 1):
            try:
                yield self._receiver.receive_nowait()
            except (anyio.WouldBlock, anyio.EndOfStream):
                return

    async def run(self) -> None:
        """Send until the link closes or too much waits; then close the link."""
        try:
            async for message in self._receiver:
                if self.gather_s:
                    await anyio.sleep(self.gather_s)
                await self.link.send_all([message, *self._waiting()])
        except LinkClosed:
            pass
        finally:
            self._receiver.close()
            await self.link.aclose()


@asynccontextmanager
async def open_outbox(link: Link[Message]) -> AsyncIterator[Outbox[Message]]:
    """Send what is posted while the body runs; the body ends quietly when the link closes."""
    outbox = Outbox(link)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(outbox.run)
        with suppress(LinkClosed):
            yield outbox
        tasks.cancel_scope.cancel()
