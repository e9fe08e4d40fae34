"""Queues of messages to send on links."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import anyio
import pytest

from bergamotchute_wire import outbox as outbox_module
from bergamotchute_wire.outbox import MAX_BATCH_MESSAGES, Outbox


@dataclass
class RecordingLink:
    """Records batches; its peer reads nothing until ``opened`` is set."""

    peer: str = "peer"
    batches: list[list[int]] = field(default_factory=list)
    opened: anyio.Event = field(default_factory=anyio.Event)
    is_closed: bool = False

    async def send(self, message: int) -> None:
        await self.send_all((message,))

    async def send_all(self, messages: Sequence[int]) -> None:
        self.batches.append(list(messages))
        await self.opened.wait()

    async def receive(self) -> int:
        return await anyio.sleep_forever()

    async def aclose(self) -> None:
        self.is_closed = True


def test_messages_are_sent_in_order_and_in_bounded_batches() -> None:
    """Guards against lost or reordered messages, and against frames without a limit."""

    async def main() -> None:
        link = RecordingLink()
        outbox = Outbox[int](link)
        count = 2 * MAX_BATCH_MESSAGES + 3
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(outbox.run)
            await anyio.wait_all_tasks_blocked()
            outbox.post(0)
            await anyio.wait_all_tasks_blocked()
            for number in range(1, count):
                outbox.post(number)
            link.opened.set()
            await anyio.wait_all_tasks_blocked()
            assert [number for batch in link.batches for number in batch] == list(range(count))
            assert max(map(len, link.batches)) == MAX_BATCH_MESSAGES
            tasks.cancel_scope.cancel()
        assert link.is_closed

    anyio.run(main)


def test_a_peer_that_stopped_reading_loses_its_link(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a queue that grows without a bound."""
    monkeypatch.setattr(outbox_module, "MAX_QUEUED_MESSAGES", 3)

    async def main() -> None:
        link = RecordingLink()
        outbox = Outbox[int](link)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(outbox.run)
            outbox.post(0)
            await anyio.wait_all_tasks_blocked()
            for number in range(1, 6):
                outbox.post(number)
            link.opened.set()
        outbox.post(6)
        assert link.batches == [[0], [1, 2, 3]]
        assert link.is_closed

    anyio.run(main)
