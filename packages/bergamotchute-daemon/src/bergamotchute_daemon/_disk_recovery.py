"""When a voter opens its data folder again after a disk failure, and what it logs meanwhile."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import anyio

from bergamotchute_consensus.disk import Disk
from bergamotchute_consensus.storage import probe_disk
from bergamotchute_consensus.storage_errors import DiskError
from bergamotchute_daemon._disk_writer import RunBlocking
from bergamotchute_daemon.backoff import Backoff
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events

RETRY_BASE_S = 0.1
RETRY_MAX_S = 0.5
"""Longest delay between two attempts; a voter is expected back seconds after its disk has room."""

STABLE_AFTER_S = 5.0
"""How long a voter must have run before a further failure is retried with the shortest delay."""

REPORT_INTERVAL_S = 10.0
"""How often a failure that lasts is logged again."""

NEW_REPORT_INTERVAL_S = 1.0
"""How often failures with a recovery between them are logged."""


@dataclass
class DiskRecovery:
    """The failures of a voter's disk.

    :param failed_at: when the disk failed, on the runtime's clock in seconds; ``None`` while the
        voter runs.
    :param attempts: how often the disk was tried since it failed.
    """

    disk: Disk
    log: EventLog
    random: Random
    run_blocking: RunBlocking
    failed_at: float | None = None
    attempts: int = 0
    opened_at: float = float("-inf")
    reported_at: float = float("-inf")
    is_reported: bool = False
    backoff: Backoff = field(init=False)

    def __post_init__(self) -> None:
        self.backoff = Backoff(self.random, RETRY_BASE_S, RETRY_MAX_S)

    @property
    def outage_s(self) -> float:
        """How long the disk has been failing, in seconds; 0 while the voter runs."""
        return 0.0 if self.failed_at is None else anyio.current_time() - self.failed_at

    def on_failed(self, detail: str) -> None:
        """Record that the disk failed; log it, and again at intervals while it lasts."""
        now = anyio.current_time()
        interval_s = REPORT_INTERVAL_S
        if self.failed_at is None:
            interval_s = NEW_REPORT_INTERVAL_S
            self.failed_at = now
            self.attempts = 0
            if now - self.opened_at >= STABLE_AFTER_S:
                self.backoff.reset()
        if now - self.reported_at >= interval_s:
            self.reported_at = now
            self.is_reported = True
            self.log.emit(
                events.VOTER_DISK_FAILED,
                detail=detail,
                attempts=self.attempts,
                outage_ms=round(1000 * self.outage_s),
            )

    def on_opened(self) -> None:
        """Record that the folder is open; log how long the voter was out, if that was logged."""
        if self.is_reported:
            self.is_reported = False
            self.log.emit(
                events.VOTER_DISK_RECOVERED,
                attempts=self.attempts,
                outage_ms=round(1000 * self.outage_s),
            )
        self.failed_at = None
        self.opened_at = anyio.current_time()

    async def wait_for_disk(self) -> None:
        """Wait until the disk accepts a small file again."""
        while True:
            await anyio.sleep(self.backoff.next_delay())
            self.attempts += 1
            try:
                await self.run_blocking(lambda: probe_disk(self.disk))
            except DiskError as error:
                self.on_failed(str(error))
            else:
                return
