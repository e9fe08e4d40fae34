"""A link: ordered messages both ways between two processes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Protocol, TypeAlias, TypeVar

from bergamotchute_model.identifiers import Address

Message = TypeVar("Message")


class LinkClosed(Exception):
    """The link is gone; nothing more can be sent or received on it.

    :param reason: why, for logs.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class DialFailed(Exception):
    """No link could be opened; nothing was sent to the peer's task."""


class Link(Protocol[Message]):
    """Carries messages of one union, in order, until it closes.

    One task receives; any task may send. A link watches its peer by heartbeats and closes itself
    when the peer goes silent.
    """

    peer: str

    async def send(self, message: Message) -> None:
        """Send a message; returns once it is handed to the transport.

        :raises LinkClosed: when the link is gone; the message may or may not arrive.
        """

    async def send_all(self, messages: Sequence[Message]) -> None:
        """Send messages together; returns once they are handed to the transport.

        :raises LinkClosed: when the link is gone; they may or may not arrive.
        """

    async def receive(self) -> Message:
        """Return the next message.

        :raises LinkClosed: when no more will come.
        """

    async def aclose(self) -> None:
        """Close the link; safe to call again."""


Dial: TypeAlias = Callable[[Address], AbstractAsyncContextManager[Link[Message]]]
"""Opens a link for the length of an ``async with``; raises :exc:`DialFailed`."""

LinkHandler: TypeAlias = Callable[[Link[Message]], Awaitable[None]]
"""Serves one accepted link until it returns; the link is closed behind it."""
