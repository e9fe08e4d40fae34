"""The log on standard output never waits, and keeps or leaves out a request as a whole."""

from __future__ import annotations

import json
import logging
import os
from collections import Counter
from dataclasses import dataclass

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.stdout_log_handler import REQUEST_LINES_PER_S, WAITING_LINES, StdoutLog
from bergamotchute_model import events


@dataclass
class Clock:
    now: float = 0.0


def log_through(handler: logging.Handler, name: str) -> EventLog:
    log = EventLog(name, "entry", "life", lambda: 0)
    log.logger.handlers = [handler]
    log.logger.propagate = False
    log.logger.setLevel(logging.INFO)
    return log


@dataclass
class Reader:
    """Reads whole lines of a pipe.

    :param rest: the line that has not come whole.
    """

    descriptor: int
    rest: bytes = b""

    def lines(self) -> list[dict[str, object]]:
        os.set_blocking(self.descriptor, False)
        try:
            while part := os.read(self.descriptor, 1 << 20):
                self.rest += part
        except BlockingIOError:
            pass
        *whole, self.rest = self.rest.split(b"\n")
        return [json.loads(line) for line in whole]


def test_a_reader_that_stops_costs_lines_and_no_time() -> None:
    source, writer = os.pipe()
    reader = Reader(source)
    clock = Clock()
    handler = StdoutLog(writer, lambda: clock.now)
    log = log_through(handler, "stopped-reader")
    for number in range(WAITING_LINES + 5_000):
        clock.now = number / 100
        log.emit(events.PROCESS_READY, number=number)
    assert len(handler.lines) <= WAITING_LINES + 1
    assert handler.left_out["process_ready"] > 0
    first = reader.lines()
    assert first[0]["event"] == "process_ready"
    clock.now += 2
    told: list[dict[str, object]] = []
    for _ in range(200):
        clock.now += 0.1
        log.emit(events.PROCESS_READY)
        told += reader.lines()
    assert any("left out" in str(line.get("message")) for line in told)


def test_under_load_a_part_of_the_requests_is_kept_whole() -> None:
    source, writer = os.pipe()
    reader = Reader(source)
    clock = Clock()
    log = log_through(StdoutLog(writer, lambda: clock.now), "loaded")
    per_second = 4 * REQUEST_LINES_PER_S
    kept: list[dict[str, object]] = []
    for second in range(6):
        clock.now = float(second)
        for number in range(per_second // 2):
            request_id = f"{second}-{number}"
            log.emit(events.REQUEST_DISPATCHED, request_id=request_id)
            log.emit(events.REQUEST_COMPLETED, request_id=request_id)
            kept += reader.lines()
    settled = [line for line in kept if str(line.get("request_id", "")).startswith(("3", "4", "5"))]
    assert len(settled) < 3 * 1.5 * REQUEST_LINES_PER_S
    lines = Counter(line["request_id"] for line in settled)
    assert lines
    assert set(lines.values()) == {2}


def test_failures_are_kept_under_load() -> None:
    source, writer = os.pipe()
    reader = Reader(source)
    clock = Clock()
    log = log_through(StdoutLog(writer, lambda: clock.now), "failures")
    kept: list[dict[str, object]] = []
    for second in range(4):
        clock.now = float(second)
        for number in range(4 * REQUEST_LINES_PER_S):
            log.emit(events.REQUEST_COMPLETED, request_id=f"{second}-{number}")
            kept += reader.lines()
        log.emit(events.REQUEST_FAILED, request_id=f"{second}-failed")
        kept += reader.lines()
    failed = [line for line in kept if line.get("event") == "request_failed"]
    assert len(failed) == 4
