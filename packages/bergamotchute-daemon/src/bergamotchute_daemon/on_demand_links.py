"""Links to many peers, opened when there is a message to send."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Hashable
from contextlib import AbstractAsyncContextManager, suppress
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from bergamotchute_wire.link import DialFailed, Link, LinkClosed

OUTBOX_CAPACITY = 64

Peer = TypeVar("Peer", bound=Hashable)
Message = TypeVar("Message")


@dataclass
class OnDemandLinks(Generic[Peer, Message]):
    """Opens a link to a peer for the first message to it, and uses the link until it closes.

    A message to an unreachable peer is dropped; a sender that needs an answer sends it again.

    :param tasks: the task group for the links.
    :param dial: opens a link to a peer; raises :exc:`DialFailed`.
    :param on_message: called with each message received on any link.
    """

    tasks: TaskGroup
    dial: Callable[[Peer], AbstractAsyncContextManager[Link[Message]]]
    on_message: Callable[[Message], Awaitable[None]]
    outboxes: dict[Peer, MemoryObjectSendStream[Message]] = field(default_factory=dict)

    def send(self, peer: Peer, message: Message) -> None:
        """Queue a message for a peer; drop the message if the queue is full."""
        outbox = self.outboxes.get(peer)
        if outbox is None:
            outbox, receiver = anyio.create_memory_object_stream[Message](OUTBOX_CAPACITY)
            self.outboxes[peer] = outbox
            self.tasks.start_soon(self._run_link, peer, receiver)
        with suppress(anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            outbox.send_nowait(message)

    async def _run_link(
        self, peer: Peer, queued_messages: MemoryObjectReceiveStream[Message]
    ) -> None:
        """Exchange messages with a peer until the link closes."""
        try:
            with suppress(DialFailed, LinkClosed):
                async with self.dial(peer) as link, anyio.create_task_group() as tasks:
                    tasks.start_soon(self._receive_messages, link, tasks.cancel_scope)
                    # Inside the task group, because the group would wrap the error.
                    with suppress(LinkClosed):
                        async for message in queued_messages:
                            await link.send(message)
                    tasks.cancel_scope.cancel()
        finally:
            self.outboxes.pop(peer).close()
            queued_messages.close()

    async def _receive_messages(self, link: Link[Message], scope: anyio.CancelScope) -> None:
        """Pass received messages to ``on_message``; cancel ``scope`` when the link closes."""
        with suppress(LinkClosed):
            while True:
                await self.on_message(await link.receive())
        scope.cancel()
