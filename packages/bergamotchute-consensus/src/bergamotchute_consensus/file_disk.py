"""A data folder on a real disk."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

LOCK_NAME = "lock"


class FileDisk:
    """A :class:`Disk` in a folder, which one process at a time may open.

    :param folder: made when there is none.
    :raises BlockingIOError: when another process holds the folder.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self.open_files: dict[str, int] = {}
        self.lock = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def file_names(self) -> list[str]:
        """Return the names of all files but the lock."""
        return sorted(path.name for path in self.folder.iterdir() if path.name != LOCK_NAME)

    def read(self, name: str) -> bytes:
        """Return a file's bytes."""
        return (self.folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Add bytes to a file's end; the file is made when there is none."""
        descriptor = self._descriptor(name)
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, name: str) -> None:
        """Make a file's bytes durable."""
        os.fdatasync(self._descriptor(name))

    def sync_folder(self) -> None:
        """Make the names durable."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, name: str, new_name: str) -> None:
        """Give a file another name, in place of any file of that name."""
        self._close(name)
        self._close(new_name)
        os.replace(self.folder / name, self.folder / new_name)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close(name)
        os.unlink(self.folder / name)

    def close(self) -> None:
        """Close all files and let go of the folder."""
        for name in list(self.open_files):
            self._close(name)
        os.close(self.lock)

    def _descriptor(self, name: str) -> int:
        descriptor = self.open_files.get(name)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            descriptor = os.open(self.folder / name, flags, 0o600)
            self.open_files[name] = descriptor
        return descriptor

    def _close(self, name: str) -> None:
        descriptor = self.open_files.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
