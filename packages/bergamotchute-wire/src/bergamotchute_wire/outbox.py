"""Messages that wait to leave on a link, in order, without holding up who posts them."""

from __future__ import annotations

from typing import Generic, TypeVar

import anyio

from bergamotchute_wire.link import Link, LinkClosed

Message = TypeVar("Message")

OUTBOX_MESSAGES = 20_000
"""A peer that lets more than this wait has stopped reading; its link is closed."""


class Outbox(Generic[Message]):
    """Sends posted messages in the order they were posted.

    :param link: where they go; :meth:`run` must run as long as the link is served.
    """

    def __init__(self, link: Link[Message]) -> None:
        self.link = link
        self._sender, self._receiver = anyio.create_memory_object_stream[Message](OUTBOX_MESSAGES)

    def post(self, message: Message) -> None:
        """Queue a message; on a link that is gone it is dropped."""
        try:
            self._sender.send_nowait(message)
        except anyio.WouldBlock:
            self._sender.close()
        except (anyio.ClosedResourceError, anyio.BrokenResourceError):
            return

    async def run(self) -> None:
        """Send until the link closes or too much waits; then close the link."""
        try:
            async for message in self._receiver:
                await self.link.send(message)
        except LinkClosed:
            pass
        finally:
            self._receiver.close()
            await self.link.aclose()
