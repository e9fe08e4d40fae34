"""Tests that prefix hints cope with late events, lost events and restarted endpoints."""

from __future__ import annotations

from bergamotchute_policy.prefix_hints import MAX_PREFIX_COUNT, PrefixCacheEvent, PrefixHints


def cache_event(
    sequence: int, prefix: int = 1, incarnation: str = "a", is_stored: bool = True
) -> PrefixCacheEvent:
    return PrefixCacheEvent("r", incarnation, sequence, prefix, is_stored)


def test_a_stored_prefix_has_confidence_until_it_is_dropped() -> None:
    hints = PrefixHints()
    hints.on_cache_event(cache_event(0), 0.0)
    assert hints.confidence(1, "r", 0.0) == 1.0
    hints.on_cache_event(cache_event(1, is_stored=False), 1.0)
    assert hints.confidence(1, "r", 1.0) == 0.0


def test_confidence_decays_with_time_and_with_gaps() -> None:
    hints = PrefixHints()
    hints.on_cache_event(cache_event(0), 0.0)
    assert hints.confidence(1, "r", 60.0) == 0.5
    hints.on_cache_event(cache_event(5, prefix=2), 60.0)
    assert hints.confidence(1, "r", 60.0) == 0.25
    assert hints.confidence(2, "r", 60.0) == 1.0


def test_a_late_event_is_ignored() -> None:
    hints = PrefixHints()
    hints.on_cache_event(cache_event(3), 0.0)
    hints.on_cache_event(cache_event(2, is_stored=False), 0.0)
    assert hints.confidence(1, "r", 0.0) == 1.0


def test_a_new_incarnation_has_no_cache() -> None:
    hints = PrefixHints()
    hints.on_cache_event(cache_event(3), 0.0)
    hints.on_cache_event(cache_event(0, prefix=2, incarnation="b"), 0.0)
    assert hints.confidence(1, "r", 0.0) == 0.0


def test_the_number_of_prefixes_is_bounded() -> None:
    hints = PrefixHints()
    for number in range(MAX_PREFIX_COUNT + 10):
        hints.on_dispatch(number, "r", "a", 0.0)
    assert len(hints.hints_by_prefix) == MAX_PREFIX_COUNT
