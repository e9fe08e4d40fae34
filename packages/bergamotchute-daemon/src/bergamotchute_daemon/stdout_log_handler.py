"""Writes a process's log to standard output without ever waiting for who reads it.

The volume is bounded: under load, the records of a part of the requests are written, all records
of a request or none; warnings and errors are written as long as there is room.
"""

from __future__ import annotations

import logging
import os
from collections import Counter, deque
from collections.abc import Callable
from zlib import crc32

from bergamotchute_daemon.event_log import JsonLines
from bergamotchute_model.event_record import EventRecord

WAITING_LINES = 4_000
"""Lines that wait for a reader that is slow; about a megabyte."""

REQUEST_LINES_PER_S = 300
"""Lines about requests in a second before they are sampled: at 5 µs a line below 1% of a core."""

SAMPLE_PARTS = 1_000


class StdoutLog(logging.Handler):
    """Formats records as JSON lines and writes them to a descriptor that never blocks.

    :param descriptor: is made non-blocking.
    :param now: the runtime's clock, in seconds.
    """

    def __init__(self, descriptor: int, now: Callable[[], float]) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.now = now
        self.formatter = JsonLines()
        self.lines: deque[bytes] = deque()
        self.left_out: Counter[str] = Counter()
        self.kept_parts = SAMPLE_PARTS
        self.second = 0
        self.request_lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as left out."""
        event = getattr(record, "event_record", None)
        self._write()
        self._begin_second(int(self.now()))
        if isinstance(event, EventRecord) and event.request_id and not self._keeps(record, event):
            self.left_out[event.event] += 1
            return
        if len(self.lines) >= WAITING_LINES:
            self.left_out[event.event if isinstance(event, EventRecord) else record.name] += 1
            return
        self.lines.append(self.format(record).encode() + b"\n")
        self._write()

    def _keeps(self, record: logging.LogRecord, event: EventRecord) -> bool:
        self.request_lines += 1
        if record.levelno >= logging.WARNING:
            return True
        return crc32(event.request_id.encode()) % SAMPLE_PARTS < self.kept_parts

    def _begin_second(self, second: int) -> None:
        """Set the sample by the last second's lines, and say what was left out of them."""
        if second == self.second:
            return
        wanted = REQUEST_LINES_PER_S * (second - self.second)
        self.second = second
        self.kept_parts = min(SAMPLE_PARTS, SAMPLE_PARTS * wanted // max(1, self.request_lines))
        self.request_lines = 0
        if self.left_out and len(self.lines) < WAITING_LINES:
            counts, self.left_out = dict(self.left_out), Counter()
            record = logging.LogRecord(
                "bergamotchute.log", logging.INFO, "", 0, "left out: %s", (counts,), None
            )
            self.lines.append(self.format(record).encode() + b"\n")

    def _write(self) -> None:
        """Write what the descriptor takes now."""
        while self.lines:
            line = self.lines.popleft()
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads any more; there is nowhere left to say so.
                self.lines.clear()
                return
            if written < len(line):
                self.lines.appendleft(line[written:])
                return
