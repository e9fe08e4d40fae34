"""Each request that was not served in time is attributed to one cause."""

from __future__ import annotations

from pathlib import Path

import pytest

from bergamotchute_cli.__main__ import main
from bergamotchute_cli.loss_report import LossCause, attribute_losses
from bergamotchute_model.event_record import EventRecord, FieldValue
from bergamotchute_model.hybrid_clock import HybridTimestamp


class EntryLog:
    """Builds the event log of one entry."""

    def __init__(self) -> None:
        self.records: list[EventRecord] = []

    def add(self, event: str, request_id: str, at_s: float, **fields: FieldValue) -> None:
        stamp = str(HybridTimestamp(round(at_s * 1e6), 0))
        number = len(self.records) + 1
        self.records.append(
            EventRecord(
                stamp,
                number,
                1,
                event,
                "INFO",
                "entry-1",
                "entry",
                "incarnation",
                request_id,
                "",
                "",
                -1,
                fields,
            )
        )

    def answer(
        self, request_id: str, at_s: float, waited_ms: int = 0, **fields: FieldValue
    ) -> None:
        self.add("request_dispatched", request_id, at_s, waited_ms=waited_ms)
        whole = {
            "status": 200,
            "objective_ms": 400,
            "pause_bound_ms": 120,
            "attempts": 1,
            "first_ms": 200,
            "longest_pause_ms": 70,
            **fields,
        }
        self.add("request_completed", request_id, at_s + 1.0, **whole)


@pytest.mark.parametrize(
    ("waited_ms", "fields", "cause"),
    [
        (0, {}, None),
        (300, {"first_ms": 600}, LossCause.WAITED_FOR_SLOT),
        (50, {"first_ms": 600}, LossCause.STARTED_LATE),
        (0, {"first_ms": 900, "attempts": 2}, LossCause.ATTEMPT_LOST),
        (0, {"longest_pause_ms": 130}, LossCause.SLOW_PASSES),
        (0, {"longest_pause_ms": 1900}, LossCause.STREAM_STALLED),
    ],
)
def test_late_answer_has_one_cause(
    waited_ms: int, fields: dict[str, FieldValue], cause: LossCause | None
) -> None:
    log = EntryLog()
    log.answer("r-1", 5.0, waited_ms, **fields)
    assert list(attribute_losses(log.records).count_by_cause()) == ([cause] if cause else [])


@pytest.mark.parametrize(
    ("status", "reason", "cause"),
    [
        (503, "all endpoints are full, the emptiest to 1.83", LossCause.REFUSED_AT_CAPACITY),
        (
            503,
            "all endpoints are full, the emptiest to 1.8; waited 0.9 s for a slot",
            LossCause.REFUSED_AFTER_WAIT,
        ),
        (503, "no configuration is confirmed yet", LossCause.NO_CONFIGURATION),
        (502, "the connection was reset", LossCause.REFUSED_OTHER),
        (404, "no route matches", None),
    ],
)
def test_refusal_has_one_cause_and_a_caller_error_has_none(
    status: int, reason: str, cause: LossCause | None
) -> None:
    log = EntryLog()
    log.add("request_refused", "r-1", 1.0, status=status, reason=reason)
    assert list(attribute_losses(log.records).count_by_cause()) == ([cause] if cause else [])


def test_request_without_an_end_event_is_lost() -> None:
    log = EntryLog()
    log.add("request_dispatched", "r-1", 1.0, waited_ms=0)
    assert attribute_losses(log.records).count_by_cause() == {LossCause.NO_END_LOGGED: 1}


def test_command_prints_tables_and_draws_a_chart(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = EntryLog()
    log.answer("r-1", 0.0)
    log.answer("r-2", 3.0, first_ms=800)
    log.add("request_refused", "r-3", 3.5, status=503, reason="all endpoints are full")
    file = tmp_path / "entry.jsonl"
    file.write_text("\n".join(record.to_json() for record in log.records) + "\n")
    picture = tmp_path / "losses.svg"
    assert main(["losses", str(file), "--by-second", "--picture", str(picture)]) == 0
    output = capsys.readouterr().out
    assert "3 requests, 1 in time, 2 not" in output
    assert "began late at the endpoint" in output
    assert "refused at once, all full" in output
    assert picture.read_text().startswith("<svg")


def test_missing_source_is_reported(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["losses", str(tmp_path / "none.jsonl")]) == 2
    assert "none.jsonl" in capsys.readouterr().err
