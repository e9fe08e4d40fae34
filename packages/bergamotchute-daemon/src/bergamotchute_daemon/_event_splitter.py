"""Cuts a stream of server-sent events at event ends."""

from __future__ import annotations

EVENT_END = b"\n\n"


class EventSplitter:
    """Collects bytes and gives them back in whole events.

    Only ``\\n\\n`` ends an event, the form that model engines send.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> tuple[bytes, int]:
        """Take the next bytes; return the whole events among them and how many they are."""
        data = self.rest + data if self.rest else data
        end = data.rfind(EVENT_END)
        if end < 0:
            self.rest = data
            return b"", 0
        whole, self.rest = data[: end + 2], data[end + 2 :]
        return whole, whole.count(EVENT_END)


def end_of_events(data: bytes, events: int) -> int:
    """Return where the first ``events`` events of ``data`` end."""
    end = 0
    for _ in range(events):
        end = data.index(EVENT_END, end) + len(EVENT_END)
    return end
