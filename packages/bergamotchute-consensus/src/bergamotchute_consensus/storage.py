"""A replica's data folder: identity, log segments and snapshots.

One frame holds all records that one sync makes durable. The identity is created with the folder, so
that an emptied folder is a new replica.
"""

from __future__ import annotations

import errno
from collections.abc import Callable, Sequence
from contextlib import suppress

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

SEGMENT_BYTES = 1_048_576
"""Size at which a segment is followed by another; each opening copies the newest one."""

IDENTITY_FILE_NAME = "identity"
STARTED_FILE_NAME = "started"
PROBE_FILE_NAME = "probe.new"
PROBE_BYTES = 65_536
_SEGMENT_PREFIX = "log-"
_SNAPSHOT_PREFIX = "snapshot-"
_TEMPORARY_SUFFIX = ".new"
NO_ROOM_ERRNOS = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EFBIG))
"""Errors of a write for which there is no room, which ends without a change of the disk itself."""


def probe_disk(disk: Disk) -> None:
    """Check that a folder accepts a small file, which costs far less than opening the folder.

    Files that an interrupted write left behind are removed first, as they take up room.

    :raises DiskError: when an operation of the disk fails.
    """
    try:
        _remove_temporary_files(disk)
        try:
            disk.append(PROBE_FILE_NAME, bytes(PROBE_BYTES))
            disk.sync(PROBE_FILE_NAME)
        finally:
            _remove_temporary_files(disk)
    except OSError as error:
        raise DiskError(f"could not write to the data folder: {error}") from error


class Storage:
    """A replica's data folder.

    :param new_identity: returns the identity for an empty folder.
    :param segment_bytes: size at which a new segment is started, in bytes.
    :ivar skipped_snapshot_count: how many snapshots were left out for lack of room.
    :raises CorruptStorageError: when durable bytes are damaged or missing.
    :raises DiskError: when an operation of the disk fails.
    """

    def __init__(
        self, disk: Disk, new_identity: Callable[[], str], segment_bytes: int = SEGMENT_BYTES
    ) -> None:
        self.disk = disk
        self.segment_bytes = segment_bytes
        self.hard_state = HardState()
        self.snapshot = Snapshot()
        self.log = ReplicaLog()
        self.sequence = 0
        self.segment_name = ""
        self.segment_size_bytes = 0
        self.failed = False
        self.skipped_snapshot_count = 0
        try:
            self.identity = self._load_identity(new_identity)
            self._recover()
        except OSError as error:
            raise DiskError(f"could not open the data folder: {error}") from error

    @property
    def recovered(self) -> RecoveredState:
        """The state with which a replica starts."""
        return RecoveredState(self.hard_state, self.snapshot, tuple(self.log.entries))

    def write(self, persists: Sequence[Persist]) -> None:
        """Make all of ``persists`` durable, with one sync unless they hold a snapshot.

        :raises DiskError: when a write or sync fails; all later writes fail too.
        """
        if self.failed:
            raise DiskError("an earlier write failed; reopen the data folder")
        try:
            self._write(persists)
        except OSError as error:
            self.failed = True
            size = sum(len(entry.data) for persist in persists for entry in persist.entries)
            raise DiskError(
                f"could not write {size} bytes of entries to the data folder: {error}"
            ) from error

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
            self._replay([*_hard_state_records(persist), *persist.entries])
        self._append_frame(records)

    def _append_frame(self, records: list[Record]) -> None:
        """Write records as one frame and sync, in a new segment if the current one is full."""
        if not records:
            return
        if not self.segment_name or self.segment_size_bytes >= self.segment_bytes:
            self._begin_segment(records)
            return
        self._append_synced(records)

    def _begin_segment(self, records: list[Record]) -> None:
        self.segment_name = self._next_segment_name()
        self.segment_size_bytes = 0
        self._append_synced(records)
        self.disk.sync_folder()
        self._ensure_started_file()

    def _ensure_started_file(self) -> None:
        """Create a file whose presence reveals a later loss of all log segments."""
        if STARTED_FILE_NAME not in self.disk.file_names():
            self._write_file_atomically(STARTED_FILE_NAME, b"")

    def _append_synced(self, records: list[Record]) -> None:
        self.sequence += 1
        frame = encode_frame(self.sequence, encode_records(records))
        try:
            self.disk.append(self.segment_name, frame)
        except OSError:
            # The part that was written takes up the room that opening the folder needs.
            with suppress(OSError):
                self.disk.truncate(self.segment_name, self.segment_size_bytes)
            raise
        self.disk.sync(self.segment_name)
        mark = encode_frame(self.sequence, b"")
        self.disk.append(self.segment_name, mark)
        self.segment_size_bytes += len(frame) + len(mark)

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        """Write a snapshot and a new segment with the entries after it, then remove old files.

        Both are written beside first, so that the folder stays as it was if there is no room. Then
        a snapshot of entries that the log holds is left out: the log says the same.
        """
        name = f"{_SNAPSHOT_PREFIX}{snapshot.index:020d}"
        is_logged = self.log.term_at(snapshot.index) == snapshot.term
        try:
            self._write_temporary_file(name, encode_frame(0, encode_snapshot(snapshot)))
            segment = self._write_next_segment(snapshot, is_logged)
        except OSError as error:
            if not is_logged or error.errno not in NO_ROOM_ERRNOS:
                raise
            _remove_temporary_files(self.disk)
            self.skipped_snapshot_count += 1
            return
        self._put_in_place(name)
        self._set_snapshot(snapshot)
        self._replace_segments(segment)

    def _write_next_segment(self, snapshot: Snapshot, is_logged: bool) -> bytes:
        """Write a segment that begins after a snapshot beside the others; return its frame."""
        entries = [entry for entry in self.log.entries if entry.index > snapshot.index]
        base = LogBase(snapshot.index, snapshot.term)
        records: list[Record] = [self.hard_state, base, *(entries if is_logged else [])]
        frame = encode_frame(self.sequence + 1, encode_records(records))
        self._write_temporary_file(self._next_segment_name(), frame)
        return frame

    def _next_segment_name(self) -> str:
        return f"{_SEGMENT_PREFIX}{self.sequence + 1:020d}"

    def _replace_segments(self, frame: bytes) -> None:
        """Put the segment of one frame that was written beside in place of all others."""
        self.segment_name = self._next_segment_name()
        self._put_in_place(self.segment_name)
        self.sequence += 1
        mark = encode_frame(self.sequence, b"")
        self.disk.append(self.segment_name, mark)
        self.segment_size_bytes = len(frame) + len(mark)
        self._ensure_started_file()
        self._remove_obsolete_files()

    def _set_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        _drop_covered_entries(self.log, LogBase(snapshot.index, snapshot.term))

    def _remove_obsolete_files(self) -> None:
        """Remove the files that the newest snapshot and segment replace."""
        newest = f"{_SNAPSHOT_PREFIX}{self.snapshot.index:020d}"
        for name in self.disk.file_names():
            old_segment = name.startswith(_SEGMENT_PREFIX) and name < self.segment_name
            old_snapshot = name.startswith(_SNAPSHOT_PREFIX) and name < newest
            if old_segment or old_snapshot:
                self.disk.remove(name)

    def _write_file_atomically(self, name: str, payload: bytes) -> None:
        """Write a file of one frame and rename it into place, so that it is never partial."""
        self._write_temporary_file(name, encode_frame(0, payload))
        self._put_in_place(name)

    def _write_temporary_file(self, name: str, data: bytes) -> None:
        temporary = name + _TEMPORARY_SUFFIX
        self._remove_if_present(temporary)
        self.disk.append(temporary, data)
        self.disk.sync(temporary)

    def _put_in_place(self, name: str) -> None:
        self.disk.rename(name + _TEMPORARY_SUFFIX, name)
        self.disk.sync_folder()

    def _remove_if_present(self, name: str) -> None:
        if name in self.disk.file_names():
            self.disk.remove(name)

    def _load_identity(self, new_identity: Callable[[], str]) -> str:
        names = self.disk.file_names()
        if IDENTITY_FILE_NAME in names:
            # Its name may not be durable yet, and a log without it would be refused.
            self.disk.sync_folder()
            return self._read_single_frame_file(IDENTITY_FILE_NAME).decode()
        if any(name.startswith((_SEGMENT_PREFIX, _SNAPSHOT_PREFIX)) for name in names):
            raise CorruptStorageError(
                IDENTITY_FILE_NAME,
                0,
                "the file is missing although the folder holds a log or snapshot",
            )
        identity = new_identity()
        self._write_file_atomically(IDENTITY_FILE_NAME, identity.encode())
        return identity

    def _read_single_frame_file(self, name: str) -> bytes:
        data = self.disk.read(name)
        frame = read_frame(data, 0)
        if frame is None or frame.end != len(data):
            raise CorruptStorageError(name, 0, "the file is not a single valid frame")
        return frame.payload

    def _recover(self) -> None:
        _remove_temporary_files(self.disk)
        names = self.disk.file_names()
        snapshots = [name for name in names if name.startswith(_SNAPSHOT_PREFIX)]
        segments = [name for name in names if name.startswith(_SEGMENT_PREFIX)]
        if segments:
            self._read_segments(sorted(segments))
            self._ensure_started_file()
        elif STARTED_FILE_NAME in names:
            raise CorruptStorageError(
                _SEGMENT_PREFIX, 0, "all log segments are missing although the log was started"
            )
        if snapshots:
            self._load_snapshot(max(snapshots))
        if self.log.base_index > self.snapshot.index:
            raise CorruptStorageError(
                _SNAPSHOT_PREFIX, 0, f"no snapshot covers index {self.log.base_index}"
            )

    def _load_snapshot(self, name: str) -> None:
        """Load a snapshot; if the process ended while it saved it, replace the segments.

        Entries after it may not follow on those of the segments, which may end earlier.
        """
        snapshot = decode_snapshot(self._read_single_frame_file(name))
        is_newer = snapshot.index > self.log.base_index
        is_logged = self.log.term_at(snapshot.index) == snapshot.term
        self._set_snapshot(snapshot)
        if not is_newer:
            return
        try:
            segment = self._write_next_segment(snapshot, is_logged)
        except OSError as error:
            if not is_logged or error.errno not in NO_ROOM_ERRNOS:
                raise
            _remove_temporary_files(self.disk)
            return
        self._replace_segments(segment)

    def _read_segments(self, names: list[str]) -> None:
        """Replay the segments from the newest one that begins with a snapshot's index.

        That one replaces those before it. Any of them may be left, torn or whole, as removed names
        become durable independently. The last segment is rewritten: after a failed sync, bytes that
        can be read may not be on the disk, and the synced copy makes them durable.
        """
        contents: dict[str, bytes] = {}
        for name in reversed(names):
            contents[name] = self.disk.read(name)
            if _begins_log(contents[name]):
                break
        for name, data in reversed(contents.items()):
            scanned = scan_frames(name, data)
            self._replay_frames(name, scanned.frames)
        self.segment_name = names[-1]
        self.segment_size_bytes = scanned.valid_bytes
        if scanned.has_torn_tail:
            self.disk.truncate(self.segment_name, scanned.valid_bytes)
        self._write_temporary_file(self.segment_name, data[: scanned.valid_bytes])
        self._put_in_place(self.segment_name)

    def _replay_frames(self, name: str, frames: tuple[Frame, ...]) -> None:
        for frame in frames:
            if frame.is_sync_mark:
                continue
            records = decode_records(frame.payload)
            if frame.sequence != self.sequence + 1 and not self._can_begin_log(records):
                raise CorruptStorageError(
                    name, 0, f"frame {frame.sequence} follows frame {self.sequence}"
                )
            self.sequence = frame.sequence
            self._check_gap(name, records)
            self._replay(records)

    def _can_begin_log(self, records: list[Record]) -> bool:
        """Return whether the log may start with a frame of these records."""
        return self.sequence == 0 and _names_snapshot(records)

    def _check_gap(self, name: str, records: list[Record]) -> None:
        last = self.log.last_index
        for record in records:
            if isinstance(record, LogBase):
                last = max(last, record.index)
            elif isinstance(record, LogEntry):
                if record.index > last + 1:
                    raise CorruptStorageError(name, 0, f"entry {record.index} follows entry {last}")
                last = record.index

    def _replay(self, records: Sequence[Record]) -> None:
        """Apply ``records`` to the copy of the log in memory."""
        for record in records:
            if isinstance(record, HardState):
                self.hard_state = record
            elif isinstance(record, LogBase):
                _drop_covered_entries(self.log, record)
            elif record.index > self.log.base_index:
                self.log.truncate_from(record.index)
                self.log.append((record,))


def _hard_state_records(persist: Persist) -> list[Record]:
    return [] if persist.hard_state is None else [persist.hard_state]


def _remove_temporary_files(disk: Disk) -> None:
    for name in disk.file_names():
        if name.endswith(_TEMPORARY_SUFFIX):
            disk.remove(name)


def _begins_log(data: bytes) -> bool:
    """Return whether a segment begins with a snapshot's index and the entries after it."""
    frame = read_frame(data, 0)
    return frame is not None and _names_snapshot(decode_records(frame.payload))


def _names_snapshot(records: list[Record]) -> bool:
    return any(isinstance(record, LogBase) for record in records)


def _drop_covered_entries(log: ReplicaLog, base: LogBase) -> None:
    """Drop the entries that a snapshot covers, or all if the log lacks its last entry."""
    if base.index < log.base_index:
        return
    if log.term_at(base.index) == base.term:
        log.drop_through(base.index)
    else:
        log.reset(base.index, base.term)
