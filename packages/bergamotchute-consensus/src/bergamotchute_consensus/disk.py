"""File operations that the storage needs."""

from __future__ import annotations

from typing import Protocol


class Disk(Protocol):
    """One flat folder of files.

    Names and bytes survive a power failure only once they are synced: bytes by :meth:`sync`,
    created, renamed and removed names by :meth:`sync_folder`. Every method may raise
    :class:`OSError`.
    """

    def file_names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes:
        """Return a file's bytes."""

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file, which is created if missing."""

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""

    def truncate(self, name: str, size_bytes: int) -> None:
        """Cut a file to a size below its own; durable with the next sync of the file."""

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, and replace any file of the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""
