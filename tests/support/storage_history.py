"""Random histories of a data folder that is cut at any operation, against a plain list."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

from bergamotchute_consensus.actions import Persist
from bergamotchute_consensus.hard_state import HardState
from bergamotchute_consensus.log_entry import EntryContent, LogEntry
from bergamotchute_consensus.membership import Membership
from bergamotchute_consensus.replica_state import RecoveredState
from bergamotchute_consensus.snapshot import Snapshot
from bergamotchute_consensus.storage import Storage
from bergamotchute_consensus.storage_errors import DiskError
from support.memory_disk import MemoryDisk, PowerLossError

SEGMENT_BYTES = 400
"""Size at which a segment is full; a write takes a fifth of it, so some segments hold one write."""

MAX_LIVES = 8
MAX_OPERATIONS = 60
"""Most operations of the disk between the start of a process and its end."""


@dataclass(frozen=True)
class LogModel:
    """What a data folder must hold."""

    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple[LogEntry, ...] = ()

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    def apply(self, persist: Persist) -> LogModel:
        """Return the model after a write."""
        model = self
        if persist.snapshot is not None:
            index = persist.snapshot.index
            left = tuple(each for each in model.entries if each.index > index)
            model = replace(model, snapshot=persist.snapshot, entries=left)
        if persist.hard_state is not None:
            model = replace(model, hard_state=persist.hard_state)
        if persist.entries:
            kept = tuple(each for each in model.entries if each.index < persist.entries[0].index)
            model = replace(model, entries=kept + persist.entries)
        return model


def _as_model(recovered: RecoveredState) -> LogModel:
    return LogModel(recovered.hard_state, recovered.snapshot, recovered.entries)


class StorageHistory:
    """One data folder over several lives of its process.

    :param disk_fails: whether the disk also fills up and fails to sync now and then, after which
        the process opens the folder again.
    :ivar cuts: how often the process ended or the VM lost power in an operation.
    :ivar failures: how often the disk refused an operation.
    """

    def __init__(self, seed: int, disk_fails: bool = False) -> None:
        self.random = Random(seed)
        self.disk_fails = disk_fails
        self.failures = 0
        self.disk = MemoryDisk(Random(seed + 1))
        self.model = LogModel()
        self.term = 1
        self.cuts = 0

    def run(self) -> None:
        """Run all lives, and compare with the model at each start."""
        allowed = [self.model]
        for _ in range(self.random.randint(2, MAX_LIVES)):
            operations = self.random.randint(1, MAX_OPERATIONS)
            self.disk.power_loss_operation = self.disk.operation_count + operations
            try:
                while True:
                    self._open_and_write(allowed)
            except PowerLossError:
                self.cuts += 1
            self._repair_disk()
            if self.random.random() < 0.5:
                self.disk.kill_process()
            else:
                self.disk.lose_power()
        self._check(Storage(self.disk, lambda: "replica-a", SEGMENT_BYTES), allowed)

    def _open_and_write(self, allowed: list[LogModel]) -> None:
        """Write until the process is cut, or until the disk fails."""
        try:
            storage = Storage(self.disk, lambda: "replica-a", SEGMENT_BYTES)
            self._check(storage, allowed)
            self._write_until_cut(storage, allowed)
        except DiskError:
            self.failures += 1
            if self.random.random() < 0.6:
                self._repair_disk()

    def _let_disk_fail(self) -> None:
        """Now and then leave the disk little room, or let it fail to sync."""
        if not self.disk_fails or self.random.random() > 0.15:
            return
        used = sum(len(file.data) for file in self.disk.files.values())
        if self.random.random() < 0.7:
            self.disk.capacity_bytes = used + self.random.choice((0, self.random.randint(0, 600)))
        else:
            self.disk.sync_fails = True

    def _repair_disk(self) -> None:
        self.disk.capacity_bytes = None
        self.disk.sync_fails = False

    def _check(self, storage: Storage, allowed: list[LogModel]) -> None:
        """Compare what a start recovered with what it may be, which it then is."""
        recovered = _as_model(storage.recovered)
        assert recovered in allowed, (recovered, allowed)
        allowed[:] = [recovered]
        assert storage.identity == "replica-a"

    def _write_until_cut(self, storage: Storage, allowed: list[LogModel]) -> None:
        while True:
            persist = self._draw_write(allowed[0])
            after = allowed[0].apply(persist)
            allowed.append(after)
            self._let_disk_fail()
            storage.write([persist])
            if persist.snapshot is not None and storage.snapshot != persist.snapshot:
                after = self._check_left_out(allowed[0], persist)
            allowed[:] = [after]

    def _check_left_out(self, model: LogModel, persist: Persist) -> LogModel:
        """Check that the disk had no room for a snapshot of what the log holds."""
        snapshot = persist.snapshot
        assert snapshot is not None
        assert self.disk.capacity_bytes is not None
        assert (snapshot.index, snapshot.term) in {
            (each.index, each.term) for each in model.entries
        }
        return model.apply(replace(persist, snapshot=None))

    def _draw_write(self, model: LogModel) -> Persist:
        kind = self.random.random()
        if kind < 0.25 and model.last_index > model.snapshot.index:
            index = self.random.randint(model.snapshot.index + 1, model.last_index)
            term = next(each.term for each in model.entries if each.index == index)
            return Persist(1, snapshot=Snapshot(index, term, Membership(), b"s%d" % index))
        if kind < 0.3:
            # A leader's snapshot that is ahead of the whole log.
            index = model.last_index + self.random.randint(1, 5)
            return Persist(1, snapshot=Snapshot(index, self.term, Membership(), b"l%d" % index))
        first = model.last_index + 1
        if kind < 0.4 and model.entries:
            self.term += 1
            first = self.random.choice(model.entries).index
        count = self.random.randint(1, 3)
        entries = tuple(
            LogEntry(
                index,
                self.term,
                EntryContent.COMMAND,
                self.random.randbytes(self.random.choice((1, 90))),
            )
            for index in range(first, first + count)
        )
        hard_state = HardState("c", self.term, "a") if self.random.random() < 0.5 else None
        return Persist(1, hard_state, entries)
