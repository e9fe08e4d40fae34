"""What the storage needs of a data folder."""

from __future__ import annotations

from typing import Protocol


class Disk(Protocol):
    """One flat folder of files.

    Names and bytes last over a power failure only once they are synced: bytes by :meth:`sync`,
    new, renamed and removed names by :meth:`sync_folder`. Every method may raise
    :class:`OSError`.
    """

    def file_names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes:
        """Return a file's bytes."""

    def append(self, name: str, data: bytes) -> None:
        """Add bytes to a file's end; the file is made when there is none."""

    def sync(self, name: str) -> None:
        """Make a file's bytes durable."""

    def sync_folder(self) -> None:
        """Make the names durable."""

    def rename(self, name: str, new_name: str) -> None:
        """Give a file another name, in place of any file of that name."""

    def remove(self, name: str) -> None:
        """Remove a file."""
