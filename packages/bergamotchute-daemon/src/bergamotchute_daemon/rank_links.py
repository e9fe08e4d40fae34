"""Links to the ranks below a process in the tree of a rank group."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager, suppress
from dataclasses import dataclass, field
from typing import TypeAlias

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from bergamotchute_model.rank_messages import CoordinatorMessage, FanOut, RankMessage
from bergamotchute_policy.map_tree import branches
from bergamotchute_wire.link import DialFailed, Link, LinkClosed

DialRank: TypeAlias = Callable[[int], AbstractAsyncContextManager[Link[RankMessage]]]
"""Opens a link to a rank's agent by its newest announcement; raises :exc:`DialFailed`."""

OUTBOX_MESSAGES = 64


@dataclass
class RankLinks:
    """Opens links to ranks as they are needed and keeps them until they close.

    A message to a rank that cannot be reached is dropped: whoever wants an answer sends again.

    :param tasks: where the links run.
    :param on_message: told what comes back on any of them.
    """

    tasks: TaskGroup
    dial: DialRank
    on_message: Callable[[RankMessage], Awaitable[None]]
    outboxes: dict[int, MemoryObjectSendStream[RankMessage]] = field(default_factory=dict)

    def fan_out(
        self, number: int, message: CoordinatorMessage, ranks: tuple[int, ...], turn: int
    ) -> None:
        """Send a message towards ranks, each link carrying it for a whole subtree."""
        for branch in branches(ranks, turn=turn):
            self.send(branch.head, FanOut(number, message, branch.subtree))

    def send(self, rank: int, message: RankMessage) -> None:
        """Queue a message for one rank; the oldest link that still works carries it."""
        outbox = self.outboxes.get(rank)
        if outbox is None:
            sender, receiver = anyio.create_memory_object_stream[RankMessage](OUTBOX_MESSAGES)
            self.outboxes[rank] = outbox = sender
            self.tasks.start_soon(self._run, rank, receiver)
        with suppress(anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            outbox.send_nowait(message)

    async def _run(self, rank: int, outbox: MemoryObjectReceiveStream[RankMessage]) -> None:
        """Carry messages to and from a rank until its link closes."""
        try:
            with suppress(DialFailed, LinkClosed):
                async with self.dial(rank) as link, anyio.create_task_group() as tasks:
                    tasks.start_soon(self._receive, link, tasks.cancel_scope)
                    async for message in outbox:
                        await link.send(message)
        except ExceptionGroup as group:
            _, others = group.split(LinkClosed)
            if others is not None:
                raise others from None
        finally:
            sender = self.outboxes.pop(rank, None)
            if sender is not None:
                with anyio.CancelScope(shield=True):
                    await sender.aclose()
                    await outbox.aclose()

    async def _receive(self, link: Link[RankMessage], scope: anyio.CancelScope) -> None:
        """Pass on what comes back; the link's end ends its task."""
        with suppress(LinkClosed):
            while True:
                await self.on_message(await link.receive())
        scope.cancel()
