"""Frames: units of bytes with checksums, one per sync of the log.

Each frame is written and synced before the next frame. So a damaged frame that is followed by a
valid frame was once durable, which is an error, while a damaged frame at the end of the file was
never acknowledged. After each sync a sync mark is written, itself unsynced. Unless the machine
loses power, the mark distinguishes the two cases for the newest frame too.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from zlib import crc32

from bergamotchute_consensus.storage_errors import CorruptStorageError

MAGIC = b"\xb5BCL"
_HEADER_FIELDS = struct.Struct("<4sQII")
_HEADER_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = _HEADER_FIELDS.size + _HEADER_CHECKSUM.size
MAX_PAYLOAD_BYTES = 1 << 30


@dataclass(frozen=True)
class Frame:
    """A valid frame.

    :param sequence: number of the frame in its log, from 1; a sync mark repeats the number of the
        frame before it.
    :param end: offset of the first byte after the frame.
    """

    sequence: int
    payload: bytes
    end: int

    @property
    def is_sync_mark(self) -> bool:
        """Whether this frame only records that the frame before it was synced."""
        return not self.payload


@dataclass(frozen=True)
class ScannedFrames:
    """The valid frames of a file.

    :param valid_bytes: length of the valid frames, in bytes.
    :param has_torn_tail: whether invalid bytes follow.
    """

    frames: tuple[Frame, ...]
    valid_bytes: int
    has_torn_tail: bool


def encode_frame(sequence: int, payload: bytes) -> bytes:
    """Return a frame that holds ``payload``."""
    body = _HEADER_FIELDS.pack(MAGIC, sequence, len(payload), crc32(payload))
    return body + _HEADER_CHECKSUM.pack(crc32(body)) + payload


def scan_frames(name: str, data: bytes) -> ScannedFrames:
    """Read the frames of a file.

    :param name: name of the file, for error messages.
    :raises CorruptStorageError: when a frame that was once durable is damaged.
    """
    frames: list[Frame] = []
    offset = 0
    while True:
        frame = read_frame(data, offset)
        if frame is None:
            frame = _find_frame_after(data, offset)
            if frame is None:
                break
            if frame.is_sync_mark or frame.sequence != _last_sequence(frames) + 1:
                raise CorruptStorageError(
                    name, offset, "a damaged frame is followed by a valid frame"
                )
        frames.append(frame)
        offset = frame.end
    return ScannedFrames(tuple(frames), offset, offset < len(data))


def _last_sequence(frames: list[Frame]) -> int:
    return frames[-1].sequence if frames else 0


def read_frame(data: bytes, offset: int) -> Frame | None:
    """Return the frame at ``offset``, or ``None`` if there is no valid frame."""
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    body = data[offset : offset + _HEADER_FIELDS.size]
    magic, sequence, length, checksum = _HEADER_FIELDS.unpack(body)
    (header_checksum,) = _HEADER_CHECKSUM.unpack_from(data, offset + _HEADER_FIELDS.size)
    if magic != MAGIC or crc32(body) != header_checksum or length > MAX_PAYLOAD_BYTES:
        return None
    payload = data[start : start + length]
    if len(payload) < length or crc32(payload) != checksum:
        return None
    return Frame(sequence, payload, start + length)


def _find_frame_after(data: bytes, offset: int) -> Frame | None:
    """Return the first valid frame that starts after ``offset``.

    If its sequence number is the next one, only the sync mark in between was damaged, which is
    never synced.
    """
    found = data.find(MAGIC, offset + 1)
    while found >= 0:
        frame = read_frame(data, found)
        if frame is not None:
            return frame
        found = data.find(MAGIC, found + 1)
    return None
