"""A data folder in the file system."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

LOCK_FILE_NAME = "lock"


class FileDisk:
    """A :class:`Disk` in a folder that only one process at a time may open.

    :param folder: created if missing.
    :raises BlockingIOError: when another process has locked the folder.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self.descriptors: dict[str, int] = {}
        self.lock = os.open(folder / LOCK_FILE_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def file_names(self) -> list[str]:
        """Return the names of all files except the lock file."""
        return sorted(path.name for path in self.folder.iterdir() if path.name != LOCK_FILE_NAME)

    def read(self, name: str) -> bytes:
        """Return a file's bytes."""
        return (self.folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file, which is created if missing."""
        descriptor = self._descriptor(name)
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        os.fdatasync(self._descriptor(name))

    def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def truncate(self, name: str, size_bytes: int) -> None:
        """Cut a file to a size below its own; durable with the next sync of the file."""
        os.ftruncate(self._descriptor(name), size_bytes)

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, and replace any file of the new name."""
        self._close_file(name)
        self._close_file(new_name)
        os.replace(self.folder / name, self.folder / new_name)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_file(name)
        os.unlink(self.folder / name)

    def close(self) -> None:
        """Close all files and release the lock on the folder."""
        for name in list(self.descriptors):
            self._close_file(name)
        os.close(self.lock)

    def _descriptor(self, name: str) -> int:
        descriptor = self.descriptors.get(name)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            descriptor = os.open(self.folder / name, flags, 0o600)
            self.descriptors[name] = descriptor
        return descriptor

    def _close_file(self, name: str) -> None:
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
