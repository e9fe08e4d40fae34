"""Links to many peers, opened as messages for them come up."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Hashable
from contextlib import AbstractAsyncContextManager, suppress
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from bergamotchute_wire.link import DialFailed, Link, LinkClosed

OUTBOX_MESSAGES = 64

Peer = TypeVar("Peer", bound=Hashable)
Message = TypeVar("Message")


@dataclass
class OnDemandLinks(Generic[Peer, Message]):
    """Opens a link to a peer when there is a message for it, and keeps it until it closes.

    A message to a peer that cannot be reached is dropped: whoever wants an answer sends again.

    :param tasks: where the links run.
    :param dial: opens a link to a peer; raises :exc:`DialFailed`.
    :param on_message: told what comes back on any of them.
    """

    tasks: TaskGroup
    dial: Callable[[Peer], AbstractAsyncContextManager[Link[Message]]]
    on_message: Callable[[Message], Awaitable[None]]
    outboxes: dict[Peer, MemoryObjectSendStream[Message]] = field(default_factory=dict)

    def send(self, peer: Peer, message: Message) -> None:
        """Queue a message for a peer; a full queue drops it."""
        outbox = self.outboxes.get(peer)
        if outbox is None:
            outbox, receiver = anyio.create_memory_object_stream[Message](OUTBOX_MESSAGES)
            self.outboxes[peer] = outbox
            self.tasks.start_soon(self._run, peer, receiver)
        with suppress(anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            outbox.send_nowait(message)

    async def _run(self, peer: Peer, outbox: MemoryObjectReceiveStream[Message]) -> None:
        """Carry messages to and from a peer until its link closes."""
        try:
            with suppress(DialFailed, LinkClosed):
                async with self.dial(peer) as link, anyio.create_task_group() as tasks:
                    tasks.start_soon(self._receive, link, tasks.cancel_scope)
                    # Inside the group, as it would wrap the error together with others.
                    with suppress(LinkClosed):
                        async for message in outbox:
                            await link.send(message)
                    tasks.cancel_scope.cancel()
        finally:
            self.outboxes.pop(peer).close()
            outbox.close()

    async def _receive(self, link: Link[Message], scope: anyio.CancelScope) -> None:
        """Pass on what comes back; the link's end ends its task."""
        with suppress(LinkClosed):
            while True:
                await self.on_message(await link.receive())
        scope.cancel()
