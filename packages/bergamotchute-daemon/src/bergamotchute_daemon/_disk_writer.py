"""The task that writes a voter's log, concurrently with the task that steps the replica."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeAlias

import anyio

from bergamotchute_consensus.actions import Persist
from bergamotchute_consensus.events import DiskFailed, Persisted
from bergamotchute_consensus.storage import Storage
from bergamotchute_consensus.storage_errors import DiskError

RunBlocking: TypeAlias = Callable[[Callable[[], None]], Awaitable[None]]
"""Runs a blocking function without stopping other tasks."""


class DiskWriter:
    """Writes to the log in order; writes queued during one fsync share the next.

    :param on_outcome: called with the outcome of each batch of writes.
    :param run_blocking: runs the writes without blocking the event loop.
    :ivar failure: why the disk failed; empty while it works.
    """

    def __init__(
        self,
        storage: Storage,
        on_outcome: Callable[[Persisted | DiskFailed], None],
        run_blocking: RunBlocking,
    ) -> None:
        self.storage = storage
        self.on_outcome = on_outcome
        self.run_blocking = run_blocking
        self.waiting: list[Persist] = []
        self.wake_event = anyio.Event()
        self.failure = ""

    def put(self, persist: Persist) -> None:
        """Queue a write."""
        self.waiting.append(persist)
        self.wake_event.set()

    async def run(self) -> None:
        """Write queued batches until the disk fails or the task is cancelled."""
        while True:
            await self.wake_event.wait()
            self.wake_event = anyio.Event()
            batch, self.waiting = self.waiting, []
            try:
                await self.run_blocking(lambda persists=batch: self.storage.write(persists))  # type: ignore[misc]
            except DiskError as error:
                self.failure = str(error)
                self.on_outcome(DiskFailed())
                return
            self.on_outcome(Persisted(batch[-1].sequence))
