"""A replica's data folder: identity, log segments and snapshots.

One frame holds all that one sync makes durable. The identity is made with the folder, so that an
emptied folder is a new replica.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from bergamotchute_consensus.actions import Persist
from bergamotchute_consensus.disk import Disk
from bergamotchute_consensus.frames import Frame, encode_frame, read_frame, scan_frames
from bergamotchute_consensus.hard_state import HardState
from bergamotchute_consensus.log_entry import LogEntry
from bergamotchute_consensus.records import (
    LogBase,
    Record,
    decode_records,
    decode_snapshot,
    encode_records,
    encode_snapshot,
)
from bergamotchute_consensus.replica_log import ReplicaLog
from bergamotchute_consensus.replica_state import RecoveredState
from bergamotchute_consensus.snapshot import Snapshot
from bergamotchute_consensus.storage_errors import CorruptStorageError, DiskError

SEGMENT_BYTES = 8_388_608
IDENTITY_NAME = "identity"
STARTED_NAME = "started"
_SEGMENT_PREFIX = "log-"
_SNAPSHOT_PREFIX = "snapshot-"
_TEMPORARY_SUFFIX = ".new"


class Storage:
    """A replica's data folder.

    :param fresh_identity: gives the identity of a new folder.
    :param segment_bytes: a segment that holds so much is followed by a new one.
    :raises CorruptStorageError: when bytes that were durable are damaged or missing.
    :raises DiskError: when the disk refuses to work.
    """

    def __init__(
        self, disk: Disk, fresh_identity: Callable[[], str], segment_bytes: int = SEGMENT_BYTES
    ) -> None:
        self.disk = disk
        self.segment_bytes = segment_bytes
        self.hard_state = HardState()
        self.snapshot = Snapshot()
        self.log = ReplicaLog()
        self.sequence = 0
        self.segment = ""
        self.segment_size = 0
        self.failed = False
        try:
            self.identity = self._load_identity(fresh_identity)
            self._recover()
        except OSError as error:
            raise DiskError(f"the data folder can't be opened: {error}") from error

    @property
    def recovered(self) -> RecoveredState:
        """What a replica begins with after a start."""
        return RecoveredState(self.hard_state, self.snapshot, tuple(self.log.entries))

    def write(self, persists: Sequence[Persist]) -> None:
        """Make all of ``persists`` durable, with one sync unless they hold a snapshot.

        :raises DiskError: when the disk refuses; then, and from then on, nothing more is written.
        """
        if self.failed:
            raise DiskError("the disk failed before")
        try:
            self._write(persists)
        except OSError as error:
            self.failed = True
            raise DiskError(f"the disk refused a write: {error}") from error

    def _write(self, persists: Sequence[Persist]) -> None:
        records: list[Record] = []
        for persist in persists:
            if persist.snapshot is not None:
                self._append_frame(records)
                records = []
                self._save_snapshot(persist.snapshot)
            if persist.hard_state is not None:
                records.append(persist.hard_state)
            records.extend(persist.entries)
            self._replay([*_hard_states(persist), *persist.entries])
        self._append_frame(records)

    def _append_frame(self, records: list[Record]) -> None:
        """Write records as one frame and sync; a full segment is followed by a new one."""
        if not records:
            return
        if not self.segment or self.segment_size >= self.segment_bytes:
            self._begin_segment(records)
            return
        self._append_synced(records)

    def _begin_segment(self, records: list[Record]) -> None:
        self.segment = f"{_SEGMENT_PREFIX}{self.sequence + 1:020d}"
        self.segment_size = 0
        self._append_synced(records)
        self.disk.sync_folder()
        self._note_started()

    def _note_started(self) -> None:
        """Leave a file that shows, should the log vanish, that there was one."""
        if STARTED_NAME not in self.disk.file_names():
            self._write_whole(STARTED_NAME, b"")

    def _append_synced(self, records: list[Record]) -> None:
        self.sequence += 1
        frame = encode_frame(self.sequence, encode_records(records))
        self.disk.append(self.segment, frame)
        self.disk.sync(self.segment)
        mark = encode_frame(self.sequence, b"")
        self.disk.append(self.segment, mark)
        self.segment_size += len(frame) + len(mark)

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        """Write a snapshot, then a new segment with what follows it, then remove the old files."""
        self._write_whole(f"{_SNAPSHOT_PREFIX}{snapshot.index:020d}", encode_snapshot(snapshot))
        self._cover(snapshot)
        kept: list[Record] = [self.hard_state, LogBase(snapshot.index, snapshot.term)]
        self._begin_segment(kept + list(self.log.entries))
        self._remove_covered()

    def _cover(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        _cover_log(self.log, LogBase(snapshot.index, snapshot.term))

    def _remove_covered(self) -> None:
        """Remove files that the newest snapshot and segment make needless."""
        newest = f"{_SNAPSHOT_PREFIX}{self.snapshot.index:020d}"
        for name in self.disk.file_names():
            old_segment = name.startswith(_SEGMENT_PREFIX) and name < self.segment
            old_snapshot = name.startswith(_SNAPSHOT_PREFIX) and name < newest
            if old_segment or old_snapshot:
                self.disk.remove(name)

    def _write_whole(self, name: str, payload: bytes) -> None:
        """Put a file of one frame in place, so that it is there whole or not at all."""
        temporary = name + _TEMPORARY_SUFFIX
        self._remove_if_there(temporary)
        self.disk.append(temporary, encode_frame(0, payload))
        self.disk.sync(temporary)
        self.disk.rename(temporary, name)
        self.disk.sync_folder()

    def _remove_if_there(self, name: str) -> None:
        if name in self.disk.file_names():
            self.disk.remove(name)

    def _load_identity(self, fresh_identity: Callable[[], str]) -> str:
        names = self.disk.file_names()
        if IDENTITY_NAME in names:
            return self._read_whole(IDENTITY_NAME).decode()
        if any(name.startswith((_SEGMENT_PREFIX, _SNAPSHOT_PREFIX)) for name in names):
            raise CorruptStorageError(IDENTITY_NAME, 0, "missing beside a log")
        identity = fresh_identity()
        self._write_whole(IDENTITY_NAME, identity.encode())
        return identity

    def _read_whole(self, name: str) -> bytes:
        data = self.disk.read(name)
        frame = read_frame(data, 0)
        if frame is None or frame.end != len(data):
            raise CorruptStorageError(name, 0, "damaged")
        return frame.payload

    def _recover(self) -> None:
        names = self.disk.file_names()
        for name in names:
            if name.endswith(_TEMPORARY_SUFFIX):
                self.disk.remove(name)
        snapshots = [name for name in names if _is(name, _SNAPSHOT_PREFIX)]
        segments = [name for name in names if _is(name, _SEGMENT_PREFIX)]
        if segments:
            self._read_segments(sorted(segments))
            self._note_started()
        elif STARTED_NAME in names:
            raise CorruptStorageError(_SEGMENT_PREFIX, 0, "missing, though there was a log")
        if snapshots:
            self._cover(decode_snapshot(self._read_whole(max(snapshots))))
        if self.log.base_index > self.snapshot.index:
            raise CorruptStorageError(_SNAPSHOT_PREFIX, 0, f"none for {self.log.base_index}")

    def _read_segments(self, names: list[str]) -> None:
        """Replay all segments, and make the last one durable anew.

        After a sync that failed, what can be read needn't be on the disk; the copy is.
        """
        for name in names:
            data = self.disk.read(name)
            scanned = scan_frames(name, data)
            self._replay_frames(name, scanned.frames)
        self.segment = names[-1]
        self.segment_size = scanned.sound_bytes
        temporary = self.segment + _TEMPORARY_SUFFIX
        self.disk.append(temporary, data[: scanned.sound_bytes])
        self.disk.sync(temporary)
        self.disk.rename(temporary, self.segment)
        self.disk.sync_folder()

    def _replay_frames(self, name: str, frames: tuple[Frame, ...]) -> None:
        for frame in frames:
            if frame.is_mark:
                continue
            records = decode_records(frame.payload)
            if frame.sequence != self.sequence + 1 and not self._may_begin(frame, records):
                raise CorruptStorageError(
                    name, 0, f"frame {frame.sequence} follows {self.sequence}"
                )
            self.sequence = frame.sequence
            self._check_gap(name, records)
            self._replay(records)

    def _may_begin(self, frame: Frame, records: list[Record]) -> bool:
        """Return whether the log may begin with this frame: it says what a snapshot covers."""
        return self.sequence == 0 and any(isinstance(record, LogBase) for record in records)

    def _check_gap(self, name: str, records: list[Record]) -> None:
        last = self.log.last_index
        for record in records:
            if isinstance(record, LogBase):
                last = max(last, record.index)
            elif isinstance(record, LogEntry):
                if record.index > last + 1:
                    raise CorruptStorageError(name, 0, f"entry {record.index} follows {last}")
                last = record.index

    def _replay(self, records: Sequence[Record]) -> None:
        """Bring the copy in memory up to ``records``."""
        for record in records:
            if isinstance(record, HardState):
                self.hard_state = record
            elif isinstance(record, LogBase):
                _cover_log(self.log, record)
            elif record.index > self.log.base_index:
                self.log.truncate_from(record.index)
                self.log.append((record,))


def _hard_states(persist: Persist) -> list[Record]:
    return [] if persist.hard_state is None else [persist.hard_state]


def _is(name: str, prefix: str) -> bool:
    return name.startswith(prefix) and not name.endswith(_TEMPORARY_SUFFIX)


def _cover_log(log: ReplicaLog, base: LogBase) -> None:
    """Drop what a snapshot covers: all of the log, unless it holds the snapshot's last entry."""
    if base.index < log.base_index:
        return
    if log.term_at(base.index) == base.term:
        log.drop_through(base.index)
    else:
        log.reset(base.index, base.term)
