"""Links: ordered, bidirectional message channels between two processes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Protocol, TypeAlias, TypeVar

from bergamotchute_model.identifiers import Address

Message = TypeVar("Message")


class LinkClosed(Exception):
    """The link is closed; nothing more can be sent or received on it.

    :param reason: why the link closed, for logs.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class DialFailed(Exception):
    """No link could be opened; no message was sent to the peer."""


class Link(Protocol[Message]):
    """Carries messages of one union type in order until it closes.

    One task receives; any task may send. A link checks its peer by heartbeats and closes itself
    when the peer goes silent.
    """

    peer: str

    async def send(self, message: Message) -> None:
        """Send a message; return once it is handed to the transport.

        :raises LinkClosed: when the link is closed; the message may or may not arrive.
        """

    async def send_all(self, messages: Sequence[Message]) -> None:
        """Send messages together; return once they are handed to the transport.

        :raises LinkClosed: when the link is closed; the messages may or may not arrive.
        """

    async def receive(self) -> Message:
        """Return the next message.

        :raises LinkClosed: when the link is closed and no message is left.
        """

    async def aclose(self) -> None:
        """Close the link; safe to call again."""


Dial: TypeAlias = Callable[[Address], AbstractAsyncContextManager[Link[Message]]]
"""Opens a link as an async context manager; raises :exc:`DialFailed`."""

LinkHandler: TypeAlias = Callable[[Link[Message]], Awaitable[None]]
"""Serves one accepted link; the link is closed when the handler returns."""
