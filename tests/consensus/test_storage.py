"""Recovery of the data folder: durable, torn, damaged and missing data."""

from __future__ import annotations

import contextlib
import errno
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotchute_consensus.actions import Persist
from bergamotchute_consensus.file_disk import FileDisk
from bergamotchute_consensus.frames import encode_frame, scan_frames
from bergamotchute_consensus.hard_state import HardState
from bergamotchute_consensus.log_entry import EntryContent, LogEntry
from bergamotchute_consensus.membership import Membership
from bergamotchute_consensus.snapshot import Snapshot
from bergamotchute_consensus.storage import Storage
from bergamotchute_consensus.storage_errors import CorruptStorageError, DiskError
from support.memory_disk import MemoryDisk, PowerLossError
from support.storage_history import StorageHistory

FILES = ("log-00000000000000000001",)


def entry(index: int, term: int = 1, data: bytes = b"x") -> LogEntry:
    return LogEntry(index, term, EntryContent.COMMAND, data)


def open_storage(disk: MemoryDisk) -> Storage:
    return Storage(disk, lambda: "replica-a", segment_bytes=400)


def filled_disk(writes: int = 4) -> MemoryDisk:
    """Return a disk after ``writes`` writes of a vote and one entry each."""
    disk = MemoryDisk(Random(1))
    storage = open_storage(disk)
    for index in range(1, writes + 1):
        storage.write([Persist(index, HardState("c", 1, "a"), (entry(index),))])
    return disk


def test_written_data_survives_a_power_failure() -> None:
    disk = filled_disk(20)
    disk.lose_power()
    storage = open_storage(disk)
    assert storage.identity == "replica-a"
    assert storage.recovered.hard_state == HardState("c", 1, "a")
    assert [kept.index for kept in storage.recovered.entries] == list(range(1, 21))


def test_many_persists_share_one_sync() -> None:
    disk = filled_disk(1)
    storage = open_storage(disk)
    before = disk.operation_count
    storage.write([Persist(n, None, (entry(n + 1),)) for n in range(1, 51)])
    assert disk.operation_count - before == 3
    assert open_storage(disk).recovered.entries[-1].index == 51


def test_entry_replaces_the_log_from_its_index_on() -> None:
    disk = filled_disk(5)
    open_storage(disk).write([Persist(6, None, (entry(3, term=2),))])
    recovered = open_storage(disk).recovered
    assert [(kept.index, kept.term) for kept in recovered.entries] == [(1, 1), (2, 1), (3, 2)]


def test_snapshot_replaces_the_entries_that_it_covers() -> None:
    disk = filled_disk(10)
    snapshot = Snapshot(8, 1, Membership(), b"state")
    open_storage(disk).write([Persist(11, snapshot=snapshot)])
    recovered = open_storage(disk).recovered
    assert recovered.snapshot == snapshot
    assert [kept.index for kept in recovered.entries] == [9, 10]
    assert recovered.hard_state == HardState("c", 1, "a")
    assert sum(name.startswith("log-") for name in disk.file_names()) == 1


def test_torn_tail_is_truncated() -> None:
    disk = filled_disk(3)
    name = FILES[0]
    whole = bytes(disk.files[name].data)
    frame = encode_frame(4, b"never synced")
    for kept in range(len(frame)):
        disk.files[name].data = bytearray(whole + frame[:kept])
        assert open_storage(disk).recovered.entries[-1].index == 3


def test_damage_before_the_last_frame_is_rejected_at_every_byte() -> None:
    disk = filled_disk(3)
    name = FILES[0]
    whole = bytes(disk.files[name].data)
    marks_and_last = scan_frames(name, whole).frames
    end_of_last_frame = marks_and_last[-2].end
    refused = 0
    for offset in range(end_of_last_frame):
        damaged = bytearray(whole)
        damaged[offset] ^= 0x40
        disk.files[name].data = damaged
        try:
            assert len(open_storage(disk).recovered.entries) == 3, "an entry was lost silently"
        except CorruptStorageError:
            refused += 1
    assert refused > end_of_last_frame // 2


@pytest.mark.parametrize("name", ["identity", "snapshot-00000000000000000008"])
def test_damaged_single_frame_file_is_rejected(name: str) -> None:
    disk = filled_disk(10)
    open_storage(disk).write([Persist(11, snapshot=Snapshot(8, 1, Membership(), b"state"))])
    disk.files[name].data[-1] ^= 1
    with pytest.raises(CorruptStorageError):
        open_storage(disk)


def test_missing_files_are_rejected() -> None:
    for name in [each for each in filled_disk(10).file_names() if each != "started"]:
        disk = filled_disk(10)
        last = max(file_name for file_name in disk.file_names() if file_name.startswith("log-"))
        disk.remove(name)
        if name == last:
            continue
        with pytest.raises(CorruptStorageError):
            open_storage(disk)


def test_missing_log_is_rejected() -> None:
    disk = filled_disk(10)
    for name in disk.file_names():
        if name.startswith("log-"):
            disk.remove(name)
    with pytest.raises(CorruptStorageError):
        open_storage(disk)


@pytest.mark.parametrize("fault", ["full", "sync"])
def test_disk_is_not_written_again_after_a_failure(fault: str) -> None:
    disk = filled_disk(3)
    storage = open_storage(disk)
    disk.sync_fails = fault == "sync"
    disk.capacity_bytes = 0 if fault == "full" else None
    for _ in range(2):
        with pytest.raises(DiskError):
            storage.write([Persist(4, None, (entry(4),))])
        disk.sync_fails, disk.capacity_bytes = False, None
    assert [kept.index for kept in open_storage(disk).recovered.entries][:3] == [1, 2, 3]


def test_an_identity_whose_name_was_not_synced_is_synced_before_anything_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail() -> None:
        raise OSError(errno.EIO, "input/output error")

    disk = MemoryDisk(Random(1))
    with monkeypatch.context() as patch:
        patch.setattr(disk, "sync_folder", fail)
        with pytest.raises(DiskError):
            open_storage(disk)
    open_storage(disk)
    assert "identity" in disk.durable_names


def used_bytes(disk: MemoryDisk) -> int:
    return sum(len(file.data) for file in disk.files.values())


@pytest.mark.parametrize("killed", [False, True])
def test_folder_opens_in_the_room_that_was_left_before_a_write_that_did_not_fit(
    killed: bool,
) -> None:
    disk = filled_disk(3)
    storage = open_storage(disk)
    disk.capacity_bytes = used_bytes(disk) + len(disk.files[FILES[0]].data) + 500
    with pytest.raises(DiskError):
        storage.write([Persist(4, None, (entry(4, data=bytes(2_000)),))])
    if killed:
        disk.kill_process()
        disk.files[FILES[0]].data += bytes(disk.capacity_bytes - used_bytes(disk))
    storage = open_storage(disk)
    assert [kept.index for kept in storage.recovered.entries] == [1, 2, 3]
    storage.write([Persist(4, None, (entry(4),))])
    assert [kept.index for kept in open_storage(disk).recovered.entries] == [1, 2, 3, 4]


def test_a_snapshot_that_does_not_fit_leaves_the_log_as_it_was() -> None:
    disk = filled_disk(10)
    storage = open_storage(disk)
    disk.capacity_bytes = used_bytes(disk) + 900
    storage.write([Persist(11, snapshot=Snapshot(8, 1, Membership(), bytes(2_000)))])
    storage.write([Persist(12, None, (entry(11),))])
    assert storage.recovered.snapshot.index == 0
    recovered = open_storage(disk).recovered
    assert [kept.index for kept in recovered.entries] == list(range(1, 12))
    storage = open_storage(disk)
    storage.write([Persist(13, snapshot=Snapshot(10, 1, Membership(), b"small"))])
    recovered = open_storage(disk).recovered
    assert recovered.snapshot.index == 10
    assert [kept.index for kept in recovered.entries] == [11]


def test_a_snapshot_of_a_leader_that_does_not_fit_is_an_error() -> None:
    disk = filled_disk(3)
    storage = open_storage(disk)
    disk.capacity_bytes = used_bytes(disk) + 900
    with pytest.raises(DiskError):
        storage.write([Persist(4, snapshot=Snapshot(8, 1, Membership(), bytes(2_000)))])


def test_data_read_after_a_failed_sync_is_made_durable_first() -> None:
    disk = filled_disk(3)
    storage = open_storage(disk)
    disk.sync_fails = True
    with pytest.raises(DiskError):
        storage.write([Persist(4, None, (entry(4),))])
    disk.sync_fails = False
    read = open_storage(disk).recovered.entries
    disk.lose_power()
    assert open_storage(disk).recovered.entries == read


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 3))
def test_any_bytes_are_read_or_refused(data: bytes, frames: int) -> None:
    disk = filled_disk(3)
    name = FILES[0]
    whole = bytes(disk.files[name].data)
    keep = scan_frames(name, whole).frames[frames].end if frames else 0
    disk.files[name].data = bytearray(whole[:keep] + data)
    with contextlib.suppress(CorruptStorageError):
        open_storage(disk)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.randoms(use_true_random=False), st.integers(1, 60))
def test_a_power_failure_at_any_operation_loses_nothing_acknowledged(
    random: Random, operation: int
) -> None:
    disk = MemoryDisk(random)
    acknowledged = 0
    disk.power_loss_operation = operation
    try:
        storage = open_storage(disk)
        for index in range(1, 20):
            storage.write([Persist(index, None, (entry(index),))])
            acknowledged = index
            if index % 7 == 0:
                snapshot = Snapshot(index - 1, 1, Membership(), b"s")
                storage.write([Persist(index, snapshot=snapshot)])
    except PowerLossError:
        pass
    disk.lose_power()
    recovered = open_storage(disk).recovered
    last = recovered.entries[-1].index if recovered.entries else recovered.snapshot.index
    assert last >= acknowledged


def test_folder_is_locked_by_one_process(tmp_path: Path) -> None:
    disk = FileDisk(tmp_path / "data")
    storage = Storage(disk, lambda: "replica-a")
    storage.write([Persist(1, HardState("c", 1, "a"), (entry(1),))])
    with pytest.raises(BlockingIOError):
        FileDisk(tmp_path / "data")
    disk.close()
    again = FileDisk(tmp_path / "data")
    assert Storage(again, lambda: "other").recovered.entries == (entry(1),)
    again.close()


HISTORIES = 400


def test_replaced_segments_that_are_left_stop_a_start() -> None:
    """A control VM that was killed while it removed them never took part again."""
    disk = filled_disk(20)
    segments = [name for name in disk.file_names() if name.startswith("log-")]
    assert len(segments) >= 3
    held = {name: bytes(disk.files[name].data) for name in segments}
    open_storage(disk).write([Persist(21, snapshot=Snapshot(15, 1, Membership(), b"state"))])
    for left in range(2 ** len(segments)):
        again = MemoryDisk(Random(1))
        for name in disk.file_names():
            again.append(name, bytes(disk.files[name].data))
        for number, name in enumerate(segments):
            if left & 1 << number:
                again.append(name, held[name][: -9 if left % 3 == 0 else None])
        recovered = open_storage(again).recovered
        assert recovered.snapshot.index == 15
        assert [each.index for each in recovered.entries] == list(range(16, 21))


@pytest.mark.parametrize("number", [1, 2])
def test_start_goes_unnoticed_with_a_segment_missing_that_nothing_replaces(number: int) -> None:
    disk = filled_disk(8)
    open_storage(disk).write([Persist(9, snapshot=Snapshot(2, 1, Membership(), b"state"))])
    storage = open_storage(disk)
    for index in range(9, 25):
        storage.write([Persist(index, None, (entry(index, data=b"x" * 90),))])
    segments = [name for name in disk.file_names() if name.startswith("log-")]
    disk.remove(segments[number])
    with pytest.raises(CorruptStorageError):
        open_storage(disk)


def test_entries_after_a_snapshot_ahead_of_the_log_are_refused() -> None:
    """A control VM that lost power while it took over a leader's snapshot never started again."""
    for operation in range(1, 20):
        disk = filled_disk(3)
        disk.power_loss_operation = disk.operation_count + operation
        with contextlib.suppress(PowerLossError):
            open_storage(disk).write([Persist(4, snapshot=Snapshot(10, 1, Membership(), b"state"))])
        disk.lose_power()
        storage = open_storage(disk)
        recovered = storage.recovered
        index = 1 + max(recovered.snapshot.index, *(each.index for each in recovered.entries), 0)
        storage.write([Persist(5, None, (entry(index),))])
        assert open_storage(disk).recovered.entries[-1].index == index


def test_cut_at_any_operation_loses_or_invents_something() -> None:
    """Random histories of writes, snapshots, segments and starts, each cut at random operations."""
    for seed in range(HISTORIES):
        StorageHistory(seed).run()


def test_a_full_or_failing_disk_leaves_a_folder_that_holds_what_was_written() -> None:
    """The same histories on a disk that fills up or fails to sync at random operations."""
    failures = 0
    for seed in range(HISTORIES):
        history = StorageHistory(seed, disk_fails=True)
        history.run()
        failures += history.failures
    assert failures > HISTORIES
