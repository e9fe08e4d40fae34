"""What can go wrong with a data folder."""

from __future__ import annotations


class StorageError(Exception):
    """The data folder can't be used; the replica must not vote."""


class CorruptStorageError(StorageError):
    """Bytes that were durable are damaged or missing.

    :param name: the file.
    :param offset: where in it, in bytes.
    """

    def __init__(self, name: str, offset: int, detail: str) -> None:
        super().__init__(f"{name} at byte {offset}: {detail}")
        self.name = name
        self.offset = offset


class DiskError(StorageError):
    """The disk refused a write or a sync.

    What it holds since the last sync that went well is unknown until the folder is opened again.
    """
