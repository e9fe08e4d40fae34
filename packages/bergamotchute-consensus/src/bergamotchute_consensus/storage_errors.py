"""Errors of a replica's data folder."""

from __future__ import annotations


class StorageError(Exception):
    """The data folder is unusable; the replica must not vote."""


class CorruptStorageError(StorageError):
    """Durable bytes are damaged or missing.

    :param name: name of the file, or the prefix of the missing files.
    :param offset: position of the damage, in bytes.
    """

    def __init__(self, name: str, offset: int, detail: str) -> None:
        super().__init__(f"{name} at byte {offset}: {detail}")
        self.name = name
        self.offset = offset


class DiskError(StorageError):
    """A write or sync of the disk failed.

    The bytes written since the last successful sync are in an unknown state until the folder is
    opened again.
    """
