"""Questions about the state of the whole that wait for their reports."""

from __future__ import annotations

from contextlib import suppress

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from bergamotchute_model.control_messages import ControlMessage
from bergamotchute_model.status_messages import AskStatus, StatusReport
from bergamotchute_wire.link import Link, LinkClosed


class StatusQueries:
    """Matches reports to the questions that this process asked."""

    def __init__(self) -> None:
        self.count = 0
        self.waiting: dict[str, MemoryObjectSendStream[StatusReport]] = {}

    async def ask(
        self, link: Link[ControlMessage], revision: int, children_only: bool, bound_s: float
    ) -> StatusReport | None:
        """Ask over a link; return ``None`` when no report came within the bound, in seconds."""
        self.count += 1
        query_id = str(self.count)
        sender, receiver = anyio.create_memory_object_stream[StatusReport](1)
        self.waiting[query_id] = sender
        try:
            with anyio.move_on_after(bound_s), suppress(LinkClosed):
                await link.send(AskStatus(query_id, revision, children_only))
                return await receiver.receive()
        finally:
            del self.waiting[query_id]
            sender.close()
            receiver.close()
        return None

    def on_status_report(self, message: StatusReport) -> None:
        """Give a report to who asked."""
        sender = self.waiting.get(message.query_id)
        if sender is not None:
            with suppress(anyio.WouldBlock):
                sender.send_nowait(message)
