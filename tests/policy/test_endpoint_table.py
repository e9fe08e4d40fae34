"""Tests that heartbeats are ordered by process start and sequence, not by arrival."""

from __future__ import annotations

from dataclasses import replace

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_policy.endpoint_table import ENDPOINT_RETENTION_S, EndpointTable

FIRST_HEARTBEAT = EndpointHeartbeat(
    "runner-1", 1000, 5, "model", Address("10.0.0.1", 80), "north", 6, EndpointPhase.READY
)


def phase(table: EndpointTable) -> EndpointPhase:
    return table.endpoints["runner-1"].heartbeat.phase


def test_only_changed_heartbeats_are_passed_on() -> None:
    table = EndpointTable(quiet_timeout_s=3.0)
    assert table.on_heartbeat(FIRST_HEARTBEAT, 0.0)
    assert not table.on_heartbeat(replace(FIRST_HEARTBEAT, sequence=6), 1.0)
    assert table.on_heartbeat(replace(FIRST_HEARTBEAT, sequence=7, slots=8), 2.0)


def test_late_heartbeats_are_ignored() -> None:
    table = EndpointTable(quiet_timeout_s=3.0)
    table.on_heartbeat(replace(FIRST_HEARTBEAT, phase=EndpointPhase.LEAVING), 0.0)
    assert not table.on_heartbeat(replace(FIRST_HEARTBEAT, sequence=4), 0.1)
    assert not table.on_heartbeat(replace(FIRST_HEARTBEAT, born_ms=900, sequence=50), 0.2)
    assert phase(table) is EndpointPhase.LEAVING


def test_later_heartbeats_of_a_departed_process_stay_leaving() -> None:
    table = EndpointTable(quiet_timeout_s=3.0)
    table.on_heartbeat(FIRST_HEARTBEAT, 0.0)
    assert table.on_departure("runner-1", 1000)
    assert not table.on_departure("runner-1", 1000)
    table.on_heartbeat(replace(FIRST_HEARTBEAT, sequence=9), 1.0)
    assert phase(table) is EndpointPhase.LEAVING


def test_a_restarted_endpoint_is_ready_again() -> None:
    table = EndpointTable(quiet_timeout_s=3.0)
    table.on_heartbeat(FIRST_HEARTBEAT, 0.0)
    table.on_departure("runner-1", 1000)
    assert table.on_heartbeat(replace(FIRST_HEARTBEAT, born_ms=2000, sequence=1), 1.0)
    assert phase(table) is EndpointPhase.READY


def test_a_departure_applies_to_heartbeats_that_arrive_after_it() -> None:
    table = EndpointTable(quiet_timeout_s=3.0)
    table.on_departure("runner-1", 1000)
    table.on_heartbeat(FIRST_HEARTBEAT, 0.0)
    assert phase(table) is EndpointPhase.LEAVING


def test_a_silent_endpoint_is_quiet_until_its_next_heartbeat() -> None:
    table = EndpointTable(quiet_timeout_s=3.0)
    table.on_heartbeat(FIRST_HEARTBEAT, 0.0)
    assert table.mark_silent_endpoints(2.9) == []
    assert [each.phase for each in table.mark_silent_endpoints(3.1)] == [EndpointPhase.SILENT]
    assert table.on_heartbeat(replace(FIRST_HEARTBEAT, sequence=6), 3.2)
    assert phase(table) is EndpointPhase.READY


def test_a_quiet_mark_from_elsewhere_does_not_replace_a_later_heartbeat() -> None:
    table = EndpointTable(quiet_timeout_s=3.0)
    table.on_heartbeat(replace(FIRST_HEARTBEAT, sequence=8), 0.0)
    assert not table.on_heartbeat(
        replace(FIRST_HEARTBEAT, sequence=7, phase=EndpointPhase.SILENT), 0.1
    )
    assert table.on_heartbeat(replace(FIRST_HEARTBEAT, sequence=8, phase=EndpointPhase.SILENT), 0.2)


def test_an_endpoint_that_left_is_removed_after_the_retention_time() -> None:
    table = EndpointTable(quiet_timeout_s=3.0)
    table.on_heartbeat(FIRST_HEARTBEAT, 0.0)
    table.on_departure("runner-1", 1000)
    table.mark_silent_endpoints(ENDPOINT_RETENTION_S + 1)
    assert not table.endpoints


def test_cold_time_is_sent_as_of_now_and_is_no_news_as_it_passes() -> None:
    table, other = EndpointTable(quiet_timeout_s=3.0), EndpointTable(quiet_timeout_s=3.0)
    cold = replace(FIRST_HEARTBEAT, cold_left_s=3.0)
    assert table.on_heartbeat(cold, 10.0)
    assert not table.on_heartbeat(replace(cold, sequence=6, cold_left_s=2.01), 11.0)
    assert table.on_heartbeat(replace(cold, sequence=7, cold_left_s=3.0), 12.0), "cold again"
    assert not table.on_heartbeat(replace(cold, sequence=8, cold_left_s=0.0), 14.9)
    for sent in (table.all_heartbeats, table.local_heartbeats):
        assert [each.cold_left_s for each in sent(13.5)] == [1.5]
        assert [each.cold_left_s for each in sent(15.5)] == [0.0]
    # The clock of the process that is told has another origin.
    assert other.on_heartbeat(table.all_heartbeats(14.0)[0], 100.0)
    assert other.cold_left_s("runner-1", 1000, 100.9) > 0
    assert other.cold_left_s("runner-1", 1000, 101.1) == 0
    assert other.cold_left_s("runner-1", 2000, 100.5) == 0


def test_copies_that_arrive_late_do_not_make_an_endpoint_cold_again() -> None:
    table = EndpointTable(quiet_timeout_s=3.0)
    cold = replace(FIRST_HEARTBEAT, cold_left_s=3.0)
    assert table.on_heartbeat(cold, 10.0)
    assert not table.on_heartbeat(cold, 12.0)
    assert not table.on_heartbeat(replace(cold, sequence=4), 12.5)
    assert not table.on_heartbeat(replace(cold, born_ms=900, sequence=50), 12.6)
    assert table.cold_left_s("runner-1", 1000, 13.1) == 0
    assert table.on_heartbeat(replace(cold, sequence=6), 14.0)
    assert table.on_heartbeat(replace(FIRST_HEARTBEAT, sequence=7), 14.5), "it is warm early"
    assert table.cold_left_s("runner-1", 1000, 14.5) == 0
