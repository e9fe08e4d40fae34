"""Heartbeats are ordered by life and sequence, whichever way and however late they come."""

from __future__ import annotations

from dataclasses import replace

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_policy.endpoint_table import ENDPOINT_FORGOTTEN_S, EndpointTable

FIRST = EndpointHeartbeat(
    "runner-1", 1000, 5, "model", Address("10.0.0.1", 80), "north", 6, EndpointPhase.READY
)


def phase(table: EndpointTable) -> EndpointPhase:
    return table.endpoints["runner-1"].heartbeat.phase


def test_only_news_is_told_on() -> None:
    table = EndpointTable(quiet_s=3.0)
    assert table.on_heartbeat(FIRST, 0.0)
    assert not table.on_heartbeat(replace(FIRST, sequence=6), 1.0)
    assert table.on_heartbeat(replace(FIRST, sequence=7, slots=8), 2.0)


def test_late_heartbeats_change_nothing() -> None:
    table = EndpointTable(quiet_s=3.0)
    table.on_heartbeat(replace(FIRST, phase=EndpointPhase.LEAVING), 0.0)
    assert not table.on_heartbeat(replace(FIRST, sequence=4), 0.1)
    assert not table.on_heartbeat(replace(FIRST, born_ms=900, sequence=50), 0.2)
    assert phase(table) is EndpointPhase.LEAVING


def test_a_departure_outlasts_every_word_of_its_life() -> None:
    table = EndpointTable(quiet_s=3.0)
    table.on_heartbeat(FIRST, 0.0)
    assert table.on_departure("runner-1", 1000)
    assert not table.on_departure("runner-1", 1000)
    table.on_heartbeat(replace(FIRST, sequence=9), 1.0)
    assert phase(table) is EndpointPhase.LEAVING


def test_a_new_life_under_the_same_name_is_ready_again() -> None:
    table = EndpointTable(quiet_s=3.0)
    table.on_heartbeat(FIRST, 0.0)
    table.on_departure("runner-1", 1000)
    assert table.on_heartbeat(replace(FIRST, born_ms=2000, sequence=1), 1.0)
    assert phase(table) is EndpointPhase.READY


def test_a_departure_that_is_heard_first_counts_for_the_heartbeat_behind_it() -> None:
    table = EndpointTable(quiet_s=3.0)
    table.on_departure("runner-1", 1000)
    table.on_heartbeat(FIRST, 0.0)
    assert phase(table) is EndpointPhase.LEAVING


def test_silence_makes_an_endpoint_quiet_until_it_is_heard() -> None:
    table = EndpointTable(quiet_s=3.0)
    table.on_heartbeat(FIRST, 0.0)
    assert table.silence(2.9) == []
    assert [each.phase for each in table.silence(3.1)] == [EndpointPhase.QUIET]
    assert table.on_heartbeat(replace(FIRST, sequence=6), 3.2)
    assert phase(table) is EndpointPhase.READY


def test_silence_noticed_elsewhere_yields_to_a_later_heartbeat() -> None:
    table = EndpointTable(quiet_s=3.0)
    table.on_heartbeat(replace(FIRST, sequence=8), 0.0)
    assert not table.on_heartbeat(replace(FIRST, sequence=7, phase=EndpointPhase.QUIET), 0.1)
    assert table.on_heartbeat(replace(FIRST, sequence=8, phase=EndpointPhase.QUIET), 0.2)


def test_an_endpoint_that_left_is_forgotten_after_its_late_words() -> None:
    table = EndpointTable(quiet_s=3.0)
    table.on_heartbeat(FIRST, 0.0)
    table.on_departure("runner-1", 1000)
    table.silence(ENDPOINT_FORGOTTEN_S + 1)
    assert not table.endpoints
