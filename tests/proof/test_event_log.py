"""Numbered events: stamps never go back, secrets never show, lines read back."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotchute_daemon.event_log import REDACTED, EventLog, configure_logging
from bergamotchute_model import events
from bergamotchute_model.event_record import parse_event
from bergamotchute_model.hybrid_clock import MAX_CLOCK_AHEAD_US, HybridClock, HybridTimestamp

WALLS = st.integers(min_value=0, max_value=4_000_000_000_000_000)


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.tuples(st.booleans(), WALLS, WALLS), max_size=20))
def test_stamps_grow_whatever_the_wall_does(steps: list[tuple[bool, int, int]]) -> None:
    clock = HybridClock()
    before = HybridTimestamp(0, 0)
    for witnessed, wall, remote in steps:
        if witnessed:
            clock.observe(HybridTimestamp(remote, 3), wall)
            if remote <= wall + MAX_CLOCK_AHEAD_US:
                before = max(before, HybridTimestamp(remote, 3))
        stamp = clock.stamp(wall)
        assert stamp > before
        assert HybridTimestamp.parse(str(stamp)) == stamp
        before = stamp


def test_a_clock_far_ahead_is_not_followed() -> None:
    clock = HybridClock()
    clock.observe(HybridTimestamp(MAX_CLOCK_AHEAD_US + 2, 0), 1)
    assert clock.refused == 1
    assert clock.stamp(1) == HybridTimestamp(1, 0)


@pytest.mark.parametrize("text", ["", "1.2+3", "1.000002", "a.000002+1", "-1.000002+1", "1+1"])
def test_a_malformed_stamp_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match="expected"):
        HybridTimestamp.parse(text)


def test_events_read_back_from_the_file(tmp_path: Path) -> None:
    path = tmp_path / "events.jsonl"
    undo = configure_logging(path, None)
    log = EventLog("entry-1", "entry", "life-1", lambda: 5)
    sent = log.emit(events.REQUEST_DISPATCHED, request_id="r-1", endpoint="runner-1", attempt=2)
    logging.getLogger("elsewhere").warning("plain")
    undo()
    lines = path.read_text().splitlines()
    assert parse_event(lines[0]) == sent
    assert parse_event(lines[1]) is None
    assert log.records_since("life-1", 0) == [sent]
    assert log.records_since("life-1", 1) == []
    assert log.records_since("an earlier life", 7) == [sent]


def test_secrets_are_not_written() -> None:
    log = EventLog("entry-1", "entry", "life-1", lambda: 5)
    record = log.emit(events.PROCESS_STARTED, admin_token="hush", tokens=3)
    assert record.fields == {"admin_token": REDACTED, "tokens": 3}


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=200))
def test_any_bytes_are_an_event_or_none(line: bytes) -> None:
    assert parse_event(line) is None
