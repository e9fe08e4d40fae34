"""The task that writes a voter's log, beside the one that decides."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeAlias

import anyio

from bergamotchute_consensus.actions import Persist
from bergamotchute_consensus.events import DiskFailed, Persisted
from bergamotchute_consensus.storage import Storage
from bergamotchute_consensus.storage_errors import DiskError

RunBlocking: TypeAlias = Callable[[Callable[[], None]], Awaitable[None]]
"""Runs a function that blocks, such that other tasks go on."""


class DiskWriter:
    """Writes persists in order; all that came during one sync share the next.

    :param tell: given what became of each write.
    :param run_blocking: where the writes run.
    """

    def __init__(
        self,
        storage: Storage,
        tell: Callable[[Persisted | DiskFailed], None],
        run_blocking: RunBlocking,
    ) -> None:
        self.storage = storage
        self.tell = tell
        self.run_blocking = run_blocking
        self.waiting: list[Persist] = []
        self.wake = anyio.Event()

    def put(self, persist: Persist) -> None:
        """Queue a persist."""
        self.waiting.append(persist)
        self.wake.set()

    async def run(self) -> None:
        """Write until the disk fails or the task is cancelled."""
        while True:
            await self.wake.wait()
            self.wake = anyio.Event()
            batch, self.waiting = self.waiting, []
            try:
                await self.run_blocking(lambda persists=batch: self.storage.write(persists))  # type: ignore[misc]
            except DiskError:
                self.tell(DiskFailed())
                return
            self.tell(Persisted(batch[-1].sequence))
