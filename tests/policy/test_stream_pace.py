"""The time to a first event, as an entry observes it."""

from __future__ import annotations

from random import Random

import pytest

from bergamotchute_policy.stream_pace import (
    INITIAL_FIRST_EVENT_S,
    MAX_FIRST_EVENT_S,
    QUANTILE,
    StreamPace,
)


@pytest.mark.parametrize(("low_s", "high_s"), [(0.08, 0.16), (0.2, 0.5)])
def test_the_estimate_covers_most_streams_of_a_fast_and_of_a_slow_group(
    low_s: float, high_s: float
) -> None:
    random, pace = Random(1), StreamPace()
    covered = 0
    for number in range(1_000):
        first_event_s = random.uniform(low_s, high_s)
        covered += number >= 500 and first_event_s <= pace.first_event_s
        pace.on_first_event(first_event_s)
    assert covered / 500 == pytest.approx(QUANTILE, abs=0.06)


def test_a_stall_does_not_lengthen_the_estimate() -> None:
    """While a rank group is held, first events of all its streams come a second late."""
    pace = StreamPace()
    for _ in range(100):
        pace.on_first_event(MAX_FIRST_EVENT_S + 0.1)
    assert pace.first_event_s == INITIAL_FIRST_EVENT_S
