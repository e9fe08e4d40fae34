"""Questions to a peer that wait for their answers."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import TypeAlias

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from bergamotchute_model.control_messages import AddressReport, AskAddresses, ControlMessage
from bergamotchute_model.status_messages import AskStatus, StatusReport
from bergamotchute_wire.link import Link, LinkClosed

Question: TypeAlias = AskStatus | AskAddresses
Report: TypeAlias = StatusReport | AddressReport


class PendingQueries:
    """Matches reports to the questions that this process asked."""

    def __init__(self) -> None:
        self.count = 0
        self.waiting: dict[str, MemoryObjectSendStream[Report]] = {}

    async def ask(
        self,
        link: Link[ControlMessage] | None,
        question: Callable[[str], Question],
        bound_s: float,
    ) -> Report | None:
        """Ask over a link; return ``None`` when there is none, or no report came in time.

        :param question: makes the message from the identifier that the report will carry.
        :param bound_s: how long to wait, in seconds.
        """
        if link is None:
            return None
        self.count += 1
        query_id = str(self.count)
        sender, receiver = anyio.create_memory_object_stream[Report](1)
        self.waiting[query_id] = sender
        try:
            with anyio.move_on_after(bound_s), suppress(LinkClosed):
                await link.send(question(query_id))
                return await receiver.receive()
        finally:
            del self.waiting[query_id]
            sender.close()
            receiver.close()
        return None

    def on_report(self, message: Report) -> None:
        """Give a report to who asked."""
        sender = self.waiting.get(message.query_id)
        if sender is not None:
            with suppress(anyio.WouldBlock):
                sender.send_nowait(message)
