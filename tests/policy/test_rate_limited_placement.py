"""Which endpoint a request gets where the rates of endpoints leave room for few."""

from __future__ import annotations

from random import Random

import pytest

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_policy.direct_placement import DirectPlacement
from bergamotchute_policy.rank_pace import SLOW_PACE
from bergamotchute_policy.slot_search import SlotSearch

NOW = 100.0


def endpoints(count: int) -> list[EndpointHeartbeat]:
    return [
        EndpointHeartbeat(
            f"runner-{number}",
            1,
            1,
            "model",
            Address("10.0.0.1", 8000 + number),
            "north",
            6,
            EndpointPhase.READY,
        )
        for number in range(count)
    ]


def select(
    placement: DirectPlacement, known: list[EndpointHeartbeat], latest_permit_at: float = NOW
) -> str | None:
    search = SlotSearch(placement, (), None)
    request = search.next_slot_request(known, NOW, latest_permit_at)
    return None if request is None else request.candidate.heartbeat.endpoint


def test_limited_endpoint_is_chosen_as_it_seems_the_least_loaded() -> None:
    placement, known = DirectPlacement("north", Random(1)), endpoints(2)
    for _ in range(3):
        placement.on_request_sent(known[1])
    assert select(placement, known) == "runner-0"
    placement.on_permit_refused(known[0], 0.5, NOW)
    assert select(placement, known) == "runner-1"
    assert select(placement, known, NOW + 1.0) == "runner-1", "it waits for no permit"


def test_request_waits_for_the_first_permit_but_not_for_a_late_one() -> None:
    placement, known = DirectPlacement("north", Random(1)), endpoints(3)
    for endpoint, wait_s in zip(known, (0.5, 0.2, 0.9), strict=True):
        placement.on_permit_refused(endpoint, wait_s, NOW)
    assert select(placement, known, NOW + 0.4) == "runner-1"
    assert select(placement, known, NOW + 0.1) is None
    assert placement.seconds_until_accepting(known, NOW) == pytest.approx(0.2)


def test_failed_endpoint_is_chosen_since_the_others_have_no_room() -> None:
    placement, known = DirectPlacement("north", Random(1)), endpoints(3)
    placement.on_failure(known[0], NOW)
    for endpoint in known[1:]:
        placement.on_permit_refused(endpoint, 0.2, NOW)
    assert select(placement, known) is None
    assert select(placement, known, NOW + 0.4) in ("runner-1", "runner-2")
    for endpoint in known[1:]:
        placement.on_failure(endpoint, NOW)
    assert select(placement, known) == "runner-0", "none is healthy"


def test_slow_endpoint_stays_unused_while_the_fast_ones_have_no_room() -> None:
    placement, known = DirectPlacement("north", Random(1)), endpoints(4)
    placement.on_pace_reported(known[0], 2 * SLOW_PACE, NOW)
    assert select(placement, known) != "runner-0"
    for endpoint in known[1:]:
        placement.on_permit_refused(endpoint, 0.2, NOW)
    assert select(placement, known) == "runner-0"


def test_pause_that_an_endpoint_asked_for_ends_with_its_permit() -> None:
    placement, known = DirectPlacement("north", Random(1)), endpoints(1)
    placement.on_pause_requested(known[0], 2.0, NOW)
    placement.on_permit_refused(known[0], 0.2, NOW)
    assert select(placement, known, NOW + 1.0) is None
    assert placement.seconds_until_accepting(known, NOW) == 2.0
