"""Tests that the log on standard output never blocks, and samples whole requests under load."""

from __future__ import annotations

import json
import logging
import os
from collections import Counter
from dataclasses import dataclass

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.stdout_log_handler import (
    MAX_QUEUED_LINES,
    MAX_REQUEST_LINES_PER_S,
    StdoutLogHandler,
)
from bergamotchute_model import events


@dataclass
class Clock:
    now: float = 0.0


def create_event_log(handler: logging.Handler, name: str) -> EventLog:
    log = EventLog(name, "entry", "incarnation", lambda: 0)
    log.logger.handlers = [handler]
    log.logger.propagate = False
    log.logger.setLevel(logging.INFO)
    return log


@dataclass
class Reader:
    """Reads complete lines from a pipe.

    :param rest: the last line while it is incomplete.
    """

    descriptor: int
    rest: bytes = b""

    def lines(self) -> list[dict[str, object]]:
        os.set_blocking(self.descriptor, False)
        try:
            while data_chunk := os.read(self.descriptor, 1 << 20):
                self.rest += data_chunk
        except BlockingIOError:
            pass
        *whole, self.rest = self.rest.split(b"\n")
        return [json.loads(line) for line in whole]


def test_a_stopped_reader_causes_dropped_lines_but_no_blocking() -> None:
    read_descriptor, write_descriptor = os.pipe()
    reader = Reader(read_descriptor)
    clock = Clock()
    handler = StdoutLogHandler(write_descriptor, lambda: clock.now)
    log = create_event_log(handler, "stopped-reader")
    for number in range(MAX_QUEUED_LINES + 5_000):
        clock.now = number / 100
        log.emit(events.PROCESS_READY, number=number)
    assert len(handler.lines) <= MAX_QUEUED_LINES + 1
    assert handler.dropped_line_counts["process_ready"] > 0
    first_lines = reader.lines()
    assert first_lines[0]["event"] == "process_ready"
    clock.now += 2
    received_lines: list[dict[str, object]] = []
    for _ in range(200):
        clock.now += 0.1
        log.emit(events.PROCESS_READY)
        received_lines += reader.lines()
    assert any("left out" in str(line.get("message")) for line in received_lines)


def test_under_load_a_sample_of_requests_is_logged_completely() -> None:
    read_descriptor, write_descriptor = os.pipe()
    reader = Reader(read_descriptor)
    clock = Clock()
    log = create_event_log(StdoutLogHandler(write_descriptor, lambda: clock.now), "loaded")
    lines_per_s = 4 * MAX_REQUEST_LINES_PER_S
    logged_lines: list[dict[str, object]] = []
    for second in range(6):
        clock.now = float(second)
        for number in range(lines_per_s // 2):
            request_id = f"{second}-{number}"
            log.emit(events.REQUEST_DISPATCHED, request_id=request_id)
            log.emit(events.REQUEST_COMPLETED, request_id=request_id)
            logged_lines += reader.lines()
    settled = [
        line for line in logged_lines if str(line.get("request_id", "")).startswith(("3", "4", "5"))
    ]
    assert len(settled) < 3 * 1.5 * MAX_REQUEST_LINES_PER_S
    lines = Counter(line["request_id"] for line in settled)
    assert lines
    assert set(lines.values()) == {2}


def test_failures_are_logged_under_load() -> None:
    read_descriptor, write_descriptor = os.pipe()
    reader = Reader(read_descriptor)
    clock = Clock()
    log = create_event_log(StdoutLogHandler(write_descriptor, lambda: clock.now), "failures")
    logged_lines: list[dict[str, object]] = []
    for second in range(4):
        clock.now = float(second)
        for number in range(4 * MAX_REQUEST_LINES_PER_S):
            log.emit(events.REQUEST_COMPLETED, request_id=f"{second}-{number}")
            logged_lines += reader.lines()
        log.emit(events.REQUEST_FAILED, request_id=f"{second}-failed")
        logged_lines += reader.lines()
    failed = [line for line in logged_lines if line.get("event") == "request_failed"]
    assert len(failed) == 4
