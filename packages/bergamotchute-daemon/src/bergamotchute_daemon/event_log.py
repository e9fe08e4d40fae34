"""Numbered events of one process, written as JSON lines through :mod:`logging`."""

from __future__ import annotations

import json
import logging
from collections import deque
from collections.abc import Callable
from functools import cache
from pathlib import Path

from bergamotchute_model.event_record import EventRecord, FieldValue
from bergamotchute_model.events import EventKind
from bergamotchute_model.hybrid_clock import HybridClock, HybridTimestamp

RECENT_EVENT_COUNT = 4096
REDACTED = "[redacted]"
LOGGER_NAME = "bergamotchute"
_SECRET_NAME_PARTS = ("token", "secret", "password", "authorization", "bearer", "credential")
_UNREDACTED_FIELD_NAMES = frozenset({"tokens", "work_left_tokens", "resume_tokens", "max_tokens"})

WallClock = Callable[[], int]


def create_wall_clock(
    started_unix_us: int, started_s: float, current_s: Callable[[], float]
) -> WallClock:
    """Return wall time in microseconds that advances with the runtime clock.

    :param started_unix_us: wall time when the process started, in microseconds.
    :param started_s: the runtime clock at the same moment, in seconds.
    :param current_s: reads the runtime clock, such as :func:`anyio.current_time`.
    """
    return lambda: started_unix_us + round((current_s() - started_s) * 1_000_000)


class EventLog:
    """Writes the numbered events of one process and keeps the newest for the admin API.

    :param process: the name of the process.
    :param role: the role of the process, such as ``entry``.
    :param incarnation: identifies one run of the process; unique to each start.
    :param wall_us: returns wall time in microseconds, from the runtime clock.
    :param clock: the hybrid clock that orders this process's events among all others.
    """

    def __init__(
        self,
        process: str,
        role: str,
        incarnation: str,
        wall_us: WallClock,
        clock: HybridClock | None = None,
    ) -> None:
        self.process = process
        self.role = role
        self.incarnation = incarnation
        self.wall_us = wall_us
        self.clock = clock or HybridClock()
        self.sequence = 0
        self.recent_records: deque[EventRecord] = deque(maxlen=RECENT_EVENT_COUNT)
        self.logger = logging.getLogger(f"{LOGGER_NAME}.events.{process}")

    def emit(
        self,
        kind: EventKind,
        *,
        request_id: str = "",
        endpoint: str = "",
        group: str = "",
        revision: int = -1,
        **fields: FieldValue,
    ) -> EventRecord:
        """Write one event and return it.

        A field whose name suggests a secret is written as :data:`REDACTED`.
        """
        self.sequence += 1
        record = EventRecord(
            stamp=str(self.clock.stamp(self.wall_us())),
            sequence=self.sequence,
            number=kind.number,
            event=kind.name,
            level=logging.getLevelName(kind.level),
            process=self.process,
            role=self.role,
            incarnation=self.incarnation,
            request_id=request_id,
            endpoint=endpoint,
            group=group,
            revision=revision,
            fields={
                name: REDACTED if _is_secret(name) else value for name, value in fields.items()
            },
        )
        self.recent_records.append(record)
        if self.logger.isEnabledFor(kind.level):
            # Unlike Logger.log, this doesn't look up the caller, which no handler writes.
            self.logger.handle(
                self.logger.makeRecord(
                    self.logger.name,
                    kind.level,
                    "(unknown file)",
                    0,
                    kind.name,
                    (),
                    None,
                    extra={"event_record": record},
                )
            )
        return record

    def stamp(self) -> HybridTimestamp:
        """Return a stamp to send along with a message."""
        return self.clock.stamp(self.wall_us())

    def observe_stamp(self, remote: HybridTimestamp) -> None:
        """Advance the clock past a received stamp, so that later events sort after it."""
        self.clock.observe(remote, self.wall_us())

    def records_since(self, incarnation: str, sequence: int) -> list[EventRecord]:
        """Return the kept events after ``sequence``, or all of them for another incarnation."""
        after = sequence if incarnation == self.incarnation else 0
        return [record for record in self.recent_records if record.sequence > after]


@cache
def _is_secret(name: str) -> bool:
    """Return whether the name of a field, which stands in the code, suggests a secret."""
    if name in _UNREDACTED_FIELD_NAMES:
        return False
    return any(part in name.lower() for part in _SECRET_NAME_PARTS)


class JsonLineFormatter(logging.Formatter):
    """Formats numbered events as JSON lines, and other log records as JSON messages."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line of JSON without a line break."""
        event = getattr(record, "event_record", None)
        if isinstance(event, EventRecord):
            return event.to_json()
        plain = {
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        if record.exc_info:
            plain["exception"] = self.formatException(record.exc_info)
        return json.dumps(plain)


def configure_logging(event_file: Path | None, stderr_level: int | None) -> Callable[[], None]:
    """Send all log records to stderr and a file; return a function that removes the handlers.

    :param event_file: the file to append to; ``None`` for no file.
    :param stderr_level: the lowest level written to stderr; ``None`` to write nothing.
    :raises OSError: when the file can't be opened.
    """
    handlers: list[logging.Handler] = []
    if event_file is not None:
        handlers.append(logging.FileHandler(event_file, encoding="utf-8"))
    if stderr_level is not None:
        handlers.append(logging.StreamHandler())
        handlers[-1].setLevel(stderr_level)
    root = logging.getLogger()
    logging.getLogger(LOGGER_NAME).setLevel(logging.INFO)
    for handler in handlers:
        handler.setFormatter(JsonLineFormatter())
        root.addHandler(handler)

    def remove_handlers() -> None:
        for handler in handlers:
            root.removeHandler(handler)
            handler.close()

    return remove_handlers
