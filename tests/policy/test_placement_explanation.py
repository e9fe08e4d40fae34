"""Explanations agree with the placement of requests and change nothing that an entry knows."""

from __future__ import annotations

import copy
from dataclasses import replace
from random import Random

from bergamotchute_model.endpoint_heartbeat import EndpointPhase
from bergamotchute_policy.direct_placement import DirectPlacement
from bergamotchute_policy.placement_explanation import (
    MAX_LISTED,
    MAX_RANKED,
    ExplainedPlacement,
    KnownEndpoint,
    explain_placement,
)
from policy.test_rate_limited_placement import NOW, endpoints


def explain(placement: DirectPlacement, known: list[KnownEndpoint]) -> ExplainedPlacement:
    return explain_placement(placement, known, None, NOW)


def test_endpoints_are_ranked_as_requests_are_placed() -> None:
    placement, known = DirectPlacement("north", Random(1)), endpoints(4)
    for number, requests in enumerate((3, 1, 2, 0)):
        placement.on_load_reported(known[number], requests, NOW)
    state = copy.deepcopy(placement.loads), placement.random.getstate()
    explained = explain(placement, [KnownEndpoint(each) for each in known]).endpoints
    assert [each.endpoint for each in explained] == ["runner-3", "runner-1", "runner-2", "runner-0"]
    assert [each.rank for each in explained] == [1, 2, 3, 4]
    assert (placement.loads, placement.random.getstate()) == state
    chosen = placement.select_endpoint(known, (), NOW)
    assert chosen is not None
    assert chosen.heartbeat.endpoint == explained[0].endpoint


def test_each_obstacle_of_an_endpoint_is_named() -> None:
    placement, known = DirectPlacement("north", Random(1)), endpoints(7)
    leaving = replace(known[1], phase=EndpointPhase.LEAVING)
    silent = replace(known[2], phase=EndpointPhase.SILENT)
    placement.on_pause_requested(known[3], 2.0, NOW)
    placement.on_failure(known[4], NOW)
    placement.on_permit_refused(known[5], 0.4, NOW)
    facts = [KnownEndpoint(each) for each in (known[0], leaving, silent, *known[3:6])]
    facts.append(KnownEndpoint(known[6], is_evacuated=True, is_used=False))
    explained = explain(placement, facts).endpoints
    obstacles = {each.endpoint: " ".join(each.obstacles) for each in explained}
    assert obstacles["runner-0"] == ""
    words = ("leaving", "heartbeats", "pause of another 2.00 s", "failed", "0.40 s", "evacuated")
    for number, word in enumerate(words, start=1):
        assert word in obstacles[f"runner-{number}"]
    assert [each.endpoint for each in explained if each.rank == 1] == ["runner-0"]
    assert {each.rank for each in explained if each.endpoint in ("runner-1", "runner-6")} == {None}


def test_wait_for_a_rate_is_told_and_many_endpoints_are_cut_short() -> None:
    placement, known = DirectPlacement("north", Random(1)), endpoints(2)
    for endpoint, wait_s in zip(known, (0.5, 0.25), strict=True):
        placement.on_permit_refused(endpoint, wait_s, NOW)
    assert explain(placement, [KnownEndpoint(each) for each in known]).permit_wait_s == 0.25
    assert explain(placement, []).permit_wait_s is None
    many = explain(placement, [KnownEndpoint(each) for each in endpoints(500)])
    assert (len(many.endpoints), many.omitted_count) == (MAX_LISTED, 500 - MAX_LISTED)
    assert sum(each.rank is not None for each in many.endpoints) == MAX_RANKED
