"""Log handler that writes to standard output without ever blocking on a slow reader.

The volume is bounded: under load only a sample of the requests is logged, with all records of a
request or none. Warnings and errors are logged as long as the queue has space.
"""

from __future__ import annotations

import logging
import os
from collections import Counter, deque
from collections.abc import Callable
from zlib import crc32

from bergamotchute_daemon.event_log import JsonLineFormatter
from bergamotchute_model.event_record import EventRecord

MAX_QUEUED_LINES = 4_000
"""Maximum number of lines queued for a slow reader, about one megabyte."""

MAX_REQUEST_LINES_PER_S = 300
"""Lines about requests in one second above which requests are sampled.

At 5 µs a line, this takes less than 1% of a core.
"""

SAMPLE_BUCKET_COUNT = 1_000


class StdoutLogHandler(logging.Handler):
    """Formats records as JSON lines and writes them to a non-blocking file descriptor.

    :param descriptor: the file descriptor, which is set to non-blocking.
    :param read_clock_s: returns the time of the runtime clock, in seconds.
    """

    def __init__(self, descriptor: int, read_clock_s: Callable[[], float]) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.read_clock_s = read_clock_s
        self.formatter = JsonLineFormatter()
        self.lines: deque[bytes] = deque()
        self.dropped_line_counts: Counter[str] = Counter()
        self.kept_bucket_count = SAMPLE_BUCKET_COUNT
        self.second = 0
        self.request_line_count = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record or count it as dropped."""
        event = getattr(record, "event_record", None)
        self._write_queued_lines()
        self._start_second(int(self.read_clock_s()))
        if isinstance(event, EventRecord) and event.request_id and not self._is_kept(record, event):
            self.dropped_line_counts[event.event] += 1
            return
        if len(self.lines) >= MAX_QUEUED_LINES:
            self.dropped_line_counts[
                event.event if isinstance(event, EventRecord) else record.name
            ] += 1
            return
        self.lines.append(self.format(record).encode() + b"\n")
        self._write_queued_lines()

    def _is_kept(self, record: logging.LogRecord, event: EventRecord) -> bool:
        self.request_line_count += 1
        if record.levelno >= logging.WARNING:
            return True
        return crc32(event.request_id.encode()) % SAMPLE_BUCKET_COUNT < self.kept_bucket_count

    def _start_second(self, second: int) -> None:
        """Adjust the sample to the last second's lines, and log the counts of dropped lines."""
        if second == self.second:
            return
        allowed_line_count = MAX_REQUEST_LINES_PER_S * (second - self.second)
        self.second = second
        self.kept_bucket_count = min(
            SAMPLE_BUCKET_COUNT,
            SAMPLE_BUCKET_COUNT * allowed_line_count // max(1, self.request_line_count),
        )
        self.request_line_count = 0
        if self.dropped_line_counts and len(self.lines) < MAX_QUEUED_LINES:
            counts, self.dropped_line_counts = dict(self.dropped_line_counts), Counter()
            record = logging.LogRecord(
                "bergamotchute.log", logging.INFO, "", 0, "left out: %s", (counts,), None
            )
            self.lines.append(self.format(record).encode() + b"\n")

    def _write_queued_lines(self) -> None:
        """Write as many queued lines as the descriptor accepts without blocking."""
        while self.lines:
            line = self.lines.popleft()
            try:
                written_bytes = os.write(self.descriptor, line)
            except BlockingIOError:
                written_bytes = 0
            except OSError:
                # The descriptor can't be written any more, so the error can't be logged either.
                self.lines.clear()
                return
            if written_bytes < len(line):
                self.lines.appendleft(line[written_bytes:])
                return
