"""Cuts a stream of server-sent events at event ends."""

from __future__ import annotations

EVENT_END = b"\n\n"


class EventSplitter:
    """Collects bytes and gives them back in whole events.

    Only ``\\n\\n`` ends an event, the form that model engines send.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> tuple[bytes, int]:
        """Take the next bytes; return the whole events among them and how many they are."""
        unseen = max(0, len(self.buffer) - len(EVENT_END) + 1)
        self.buffer += data
        end = self.buffer.rfind(EVENT_END, unseen)
        if end < 0:
            return b"", 0
        end += len(EVENT_END)
        whole = bytes(self.buffer[:end])
        del self.buffer[:end]
        return whole, whole.count(EVENT_END)


def end_of_events(data: bytes, events: int) -> int:
    """Return where the first ``events`` events of ``data`` end."""
    end = 0
    for _ in range(events):
        end = data.index(EVENT_END, end) + len(EVENT_END)
    return end
