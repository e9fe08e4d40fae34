"""An in-memory disk that simulates power loss, torn writes and I/O errors."""

from __future__ import annotations

import errno
from dataclasses import dataclass, field
from random import Random


class PowerLossError(Exception):
    """The VM lost power during a disk operation."""


@dataclass
class MemoryFile:
    """A file; the first ``synced_bytes`` survive a power failure.

    :param cut_off: bytes after ``data`` that a truncation removed, which may come back after a
        power failure until the file is synced or written again.
    """

    data: bytearray = field(default_factory=bytearray)
    synced_bytes: int = 0
    cut_off: bytes = b""


class MemoryDisk:
    """A :class:`~bergamotchute_consensus.disk.Disk` in memory.

    :param random: decides which unsynced bytes survive a power failure.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.files: dict[str, MemoryFile] = {}
        self.durable_names: dict[str, MemoryFile] = {}
        self.capacity_bytes: int | None = None
        self.sync_fails = False
        self.operation_count = 0
        self.power_loss_operation: int | None = None

    def file_names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise FileNotFoundError(name)
        return bytes(self.files[name].data)

    def append(self, name: str, data: bytes) -> None:
        held = self.files.setdefault(name, MemoryFile())
        held.cut_off = b""
        room = len(data)
        if self.capacity_bytes is not None:
            used = sum(len(file.data) for file in self.files.values())
            room = max(0, min(room, self.capacity_bytes - used))
        if self._loses_power():
            held.data += data[: self.random.randint(0, room)]
            raise PowerLossError
        held.data += data[:room]
        if room < len(data):
            raise OSError(errno.ENOSPC, "no space left on device")

    def sync(self, name: str) -> None:
        if self._loses_power():
            raise PowerLossError
        if self.sync_fails:
            raise OSError(errno.EIO, "input/output error")
        self.files[name].synced_bytes = len(self.files[name].data)
        self.files[name].cut_off = b""

    def truncate(self, name: str, size_bytes: int) -> None:
        if self._loses_power():
            raise PowerLossError
        held = self.files[name]
        held.cut_off = bytes(held.data[size_bytes:])
        del held.data[size_bytes:]
        held.synced_bytes = min(held.synced_bytes, size_bytes)

    def sync_folder(self) -> None:
        if self._loses_power():
            raise PowerLossError
        if self.sync_fails:
            raise OSError(errno.EIO, "input/output error")
        self.durable_names = dict(self.files)

    def rename(self, name: str, new_name: str) -> None:
        if self._loses_power():
            raise PowerLossError
        self.files[new_name] = self.files.pop(name)

    def remove(self, name: str) -> None:
        if self._loses_power():
            raise PowerLossError
        del self.files[name]

    def lose_power(self) -> None:
        """Drop or tear unsynced data; the disk can be used again afterwards.

        Each name that was created, renamed or removed since the folder was synced is kept or lost
        independently of the others.
        """
        chance = self.random.choice((0.0, 0.5, 1.0))
        kept: dict[str, MemoryFile] = {}
        for name in sorted(self.files.keys() | self.durable_names.keys()):
            newest, durable = self.files.get(name), self.durable_names.get(name)
            held = newest if self.random.random() < chance else durable
            if held is not None:
                # A renamed file may be left under both names; they no longer share their bytes.
                kept[name] = MemoryFile(bytearray(held.data), held.synced_bytes, held.cut_off)
        self.files = kept
        self.durable_names = dict(self.files)
        for held in self.files.values():
            self._lose_unsynced(held)
        self.power_loss_operation = None

    def _lose_unsynced(self, held: MemoryFile) -> None:
        if held.cut_off and self.random.random() < 0.5:
            held.data += held.cut_off
        held.cut_off = b""
        unsynced = len(held.data) - held.synced_bytes
        kept = self.random.choice((0, self.random.randint(0, unsynced), unsynced))
        del held.data[held.synced_bytes + kept :]
        if kept and self.random.random() < 0.3:
            held.data[held.synced_bytes + self.random.randrange(kept)] ^= 0xFF
        held.synced_bytes = len(held.data)

    def kill_process(self) -> None:
        """End the process; all written data is kept."""
        self.power_loss_operation = None

    def _loses_power(self) -> bool:
        self.operation_count += 1
        return (
            self.power_loss_operation is not None
            and self.operation_count >= self.power_loss_operation
        )
