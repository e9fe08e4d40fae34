"""The last log line of a request tells how long it took, and how long its route allows."""

from __future__ import annotations

import pytest

from bergamotchute_model.event_record import EventRecord
from support.entry_fixture import EntryFixture, answer, respond_with, run_with_entry


def last_lines(entry: EntryFixture) -> list[EventRecord]:
    ends = ("request_completed", "request_failed")
    return [record for record in entry.log.recent_records if record.event in ends]


@pytest.mark.parametrize("status", [500, 504])
@pytest.mark.parametrize("route", ["status", "order", "stream"])
def test_request_that_its_endpoint_failed_has_no_last_log_line(route: str, status: int) -> None:
    async def body(entry: EntryFixture) -> None:
        await entry.add_endpoint("runner-1", respond_with(lambda sent: answer(sent, status)))
        response = await entry.send_request(route)
        assert response.status == status
        (line,) = last_lines(entry)
        assert line.request_id == "request-1"
        assert line.endpoint == "runner-1"
        assert line.fields["status"] == status
        assert line.fields["timeout_ms"] == 2000
        assert 0 <= int(line.fields["took_ms"]) <= 2000

    run_with_entry(body)
