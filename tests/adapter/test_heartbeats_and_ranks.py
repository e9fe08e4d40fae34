"""Heartbeats of endpoints, and reports and orders of ranks, in the platform's format."""

from __future__ import annotations

import json
from typing import Any

import pytest

from bergamotchute_model.endpoint_heartbeat import EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import RankAction, RankOrder
from bergamotchute_platform.control_calls import read_heartbeat
from bergamotchute_platform.rank_calls import (
    order_request,
    parse_counts,
    parse_experts,
    parse_status,
)

HEARTBEAT: dict[str, Any] = {
    "service": "model",
    "address": "10.128.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 4,
    "born": 1775642652344,
}


def test_a_heartbeat_is_read() -> None:
    heartbeat = read_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
    assert heartbeat.endpoint == "i-1"
    assert heartbeat.order == (1775642652344, 4)
    assert heartbeat.address == Address("10.128.0.9", 8080)
    assert heartbeat.phase is EndpointPhase.READY
    assert heartbeat.cold_left_s == 0
    cold = read_heartbeat("i-1", json.dumps({**HEARTBEAT, "coldLeftMs": 1250.5}).encode())
    assert cold.cold_left_s == pytest.approx(1.2505)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "elsewhere"},
        {"seq": "4"},
        {"seq": None},
        {"address": "nowhere"},
        {"service": 7},
        {"slots": True},
        {"born": "yesterday"},
    ],
)
def test_a_heartbeat_with_an_invalid_field_is_rejected(change: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=r"\S"):
        read_heartbeat("i-1", json.dumps(HEARTBEAT | change).encode())


REPORT = {
    "group": {"name": "g0-0", "epoch": 2, "rank": 3, "state": "open"},
    "size": 8,
    "step": 29,
    "map": 4,
    "prepared": None,
    "armed": None,
    "held": None,
}


def test_the_status_of_a_rank_is_read() -> None:
    status = parse_status(json.dumps(REPORT).encode())
    assert status is not None
    assert (status.group, status.rank, status.size, status.epoch) == ("g0-0", 3, 8, 2)
    assert (status.open, status.step, status.map_version) == (True, 29, 4)
    assert (status.prepared, status.armed, status.held) == (None, None, None)


@pytest.mark.parametrize("pace", [None, 0, -1.5, "fast", True, [2], float("nan"), float("inf")])
def test_a_pace_that_is_no_positive_number_is_unknown(pace: Any) -> None:
    assert parse_status(json.dumps(REPORT).encode()).pace is None  # type: ignore[union-attr]
    for report in (REPORT | {"pace": pace}, REPORT | {"pace": 4.37}):
        status = parse_status(json.dumps(report).encode())
        assert status is not None
        assert status.pace == (4.37 if report["pace"] == 4.37 else None)


def test_an_endpoint_without_a_group_has_no_rank_status() -> None:
    assert parse_status(b'{"busy": false}') is None


def test_counts_and_experts_are_read() -> None:
    counts = parse_counts(b'{"step": 8, "epoch": 1, "counts": [5, 0, 9]}')
    assert (counts.epoch, counts.step, counts.counts) == (1, 8, (5, 0, 9))
    assert parse_experts(b'{"map": {"version": 0, "experts": [[0, 8], [1]]}}') == ((0, 8), (1,))


def test_an_order_carries_its_fence_and_epoch() -> None:
    http_request = order_request(
        RankOrder(1, 70001, 2, RankAction.PREPARE, 5, 0, (((0, 1), (2,)),))
    )
    assert json.loads(http_request.body) == {
        "operation": "prepare",
        "fence": 70001,
        "epoch": 2,
        "version": 5,
        "map": [[[0, 1], [2]]],
    }
    held = json.loads(order_request(RankOrder(2, 70002, 2, RankAction.HOLD, 0, 33)).body)
    assert held == {"operation": "hold", "fence": 70002, "epoch": 2, "step": 33}
