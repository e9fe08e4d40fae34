"""Frames: checked units of bytes, one for each sync of the log.

A frame is written and synced before the next one is begun. So a damaged frame with a sound one
behind it was durable once and is an error, while a damaged one at the very end was never
acknowledged. After each sync a mark follows, itself unsynced, that tells the two apart even for
the newest frame while the machine keeps its power.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from zlib import crc32

from bergamotchute_consensus.storage_errors import CorruptStorageError

MAGIC = b"\xb5BCL"
_BODY = struct.Struct("<4sQII")
_CHECK = struct.Struct("<I")
HEADER_BYTES = _BODY.size + _CHECK.size
MAX_PAYLOAD_BYTES = 1 << 30


@dataclass(frozen=True)
class Frame:
    """A sound frame.

    :param sequence: counts the frames of a log from 1; a mark repeats the one it follows.
    :param end: the offset behind it, in bytes.
    """

    sequence: int
    payload: bytes
    end: int

    @property
    def is_mark(self) -> bool:
        """Whether it only says that the frame before it was synced."""
        return not self.payload


@dataclass(frozen=True)
class ScannedFile:
    """The sound frames of a file.

    :param sound_bytes: where the sound frames end.
    :param torn: whether other bytes follow.
    """

    frames: tuple[Frame, ...]
    sound_bytes: int
    torn: bool


def encode_frame(sequence: int, payload: bytes) -> bytes:
    """Return a frame around ``payload``."""
    body = _BODY.pack(MAGIC, sequence, len(payload), crc32(payload))
    return body + _CHECK.pack(crc32(body)) + payload


def scan_frames(name: str, data: bytes) -> ScannedFile:
    """Read the frames of a file.

    :param name: the file's name, for errors.
    :raises CorruptStorageError: when a damaged frame was durable once.
    """
    frames: list[Frame] = []
    offset = 0
    while True:
        frame = read_frame(data, offset)
        if frame is None:
            frame = _sound_frame_after(data, offset)
            if frame is None:
                break
            if frame.is_mark or frame.sequence != _last_sequence(frames) + 1:
                raise CorruptStorageError(name, offset, "damaged, with sound bytes behind")
        frames.append(frame)
        offset = frame.end
    return ScannedFile(tuple(frames), offset, offset < len(data))


def _last_sequence(frames: list[Frame]) -> int:
    return frames[-1].sequence if frames else 0


def read_frame(data: bytes, offset: int) -> Frame | None:
    """Return the frame at ``offset``, or ``None`` when there is no sound one."""
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    body = data[offset : offset + _BODY.size]
    magic, sequence, length, checksum = _BODY.unpack(body)
    (header_checksum,) = _CHECK.unpack_from(data, offset + _BODY.size)
    if magic != MAGIC or crc32(body) != header_checksum or length > MAX_PAYLOAD_BYTES:
        return None
    payload = data[start : start + length]
    if len(payload) < length or crc32(payload) != checksum:
        return None
    return Frame(sequence, payload, start + length)


def _sound_frame_after(data: bytes, offset: int) -> Frame | None:
    """Return the first sound frame that begins behind ``offset``.

    Where it is the very next one, only a mark between the two was lost, which is never synced.
    """
    found = data.find(MAGIC, offset + 1)
    while found >= 0:
        frame = read_frame(data, found)
        if frame is not None:
            return frame
        found = data.find(MAGIC, found + 1)
    return None
