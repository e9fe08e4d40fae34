"""Queries to a peer that wait for their reports."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import TypeAlias

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from bergamotchute_model.control_messages import AddressReport, ControlMessage, QueryAddresses
from bergamotchute_model.status_messages import QueryStatus, StatusReport
from bergamotchute_wire.link import Link, LinkClosed

Query: TypeAlias = QueryStatus | QueryAddresses
Report: TypeAlias = StatusReport | AddressReport


class PendingQueries:
    """Matches reports to the queries that this process sent."""

    def __init__(self) -> None:
        self.query_count = 0
        self.waiting: dict[str, MemoryObjectSendStream[Report]] = {}

    async def ask(
        self,
        link: Link[ControlMessage] | None,
        new_query: Callable[[str], Query],
        answer_timeout_s: float,
    ) -> Report | None:
        """Send a query; return ``None`` without a link or when no report arrives in time.

        :param new_query: makes the query from the identifier that its report will carry.
        :param answer_timeout_s: how long to wait, in seconds.
        """
        if link is None:
            return None
        self.query_count += 1
        query_id = str(self.query_count)
        sender, receiver = anyio.create_memory_object_stream[Report](1)
        self.waiting[query_id] = sender
        try:
            with anyio.move_on_after(answer_timeout_s), suppress(LinkClosed):
                await link.send(new_query(query_id))
                return await receiver.receive()
        finally:
            del self.waiting[query_id]
            sender.close()
            receiver.close()
        return None

    def on_report(self, message: Report) -> None:
        """Pass a report to the task that sent its query."""
        sender = self.waiting.get(message.query_id)
        if sender is not None:
            with suppress(anyio.WouldBlock):
                sender.send_nowait(message)
