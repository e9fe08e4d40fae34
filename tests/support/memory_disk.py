"""A disk in memory that loses, tears and refuses as real ones do."""

from __future__ import annotations

import errno
from dataclasses import dataclass, field
from random import Random


class PowerLossError(Exception):
    """The machine lost its power in the middle of an operation."""


@dataclass
class MemoryFile:
    """A file; the bytes up to ``synced`` outlast a power failure."""

    data: bytearray = field(default_factory=bytearray)
    synced: int = 0


class MemoryDisk:
    """A :class:`~bergamotchute_consensus.disk.Disk` in memory.

    :param random: decides what of the unsynced bytes outlasts a power failure.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.files: dict[str, MemoryFile] = {}
        self.durable_names: dict[str, MemoryFile] = {}
        self.capacity_bytes: int | None = None
        self.sync_fails = False
        self.operations = 0
        self.power_lost_at: int | None = None

    def file_names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise FileNotFoundError(name)
        return bytes(self.files[name].data)

    def append(self, name: str, data: bytes) -> None:
        held = self.files.setdefault(name, MemoryFile())
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
        self.files[name].synced = len(self.files[name].data)

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
        """Drop or tear what isn't synced; the disk can be used again afterwards."""
        if self.random.random() < 0.5:
            self.files = dict(self.durable_names)
        self.durable_names = dict(self.files)
        for held in self.files.values():
            self._lose_unsynced(held)
        self.power_lost_at = None

    def _lose_unsynced(self, held: MemoryFile) -> None:
        unsynced = len(held.data) - held.synced
        kept = self.random.choice((0, self.random.randint(0, unsynced), unsynced))
        del held.data[held.synced + kept :]
        if kept and self.random.random() < 0.3:
            held.data[held.synced + self.random.randrange(kept)] ^= 0xFF
        held.synced = len(held.data)

    def kill_process(self) -> None:
        """Keep everything that was written: only the process ended."""
        self.power_lost_at = None

    def _loses_power(self) -> bool:
        self.operations += 1
        return self.power_lost_at is not None and self.operations >= self.power_lost_at
