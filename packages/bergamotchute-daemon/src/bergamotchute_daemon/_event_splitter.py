"""Split a stream of server-sent events at event boundaries."""

from __future__ import annotations

EVENT_END = b"\n\n"


class EventSplitter:
    """Buffers bytes and returns them in complete events.

    Only ``\\n\\n`` is accepted as the end of an event, since model engines send that form.

    :param buffer: the bytes after the last complete event.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> tuple[bytes, int]:
        """Add bytes; return the complete events received so far and their count."""
        search_start = max(0, len(self.buffer) - len(EVENT_END) + 1)
        self.buffer += data
        end = self.buffer.rfind(EVENT_END, search_start)
        if end < 0:
            return b"", 0
        end += len(EVENT_END)
        whole = bytes(self.buffer[:end])
        del self.buffer[:end]
        return whole, whole.count(EVENT_END)


def find_events_end(data: bytes, events: int) -> int:
    """Return the offset in ``data`` at which its first ``events`` events end."""
    end = 0
    for _ in range(events):
        end = data.index(EVENT_END, end) + len(EVENT_END)
    return end
