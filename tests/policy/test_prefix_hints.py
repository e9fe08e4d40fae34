"""Cache hints: late, gappy and of one incarnation."""

from __future__ import annotations

from bergamotchute_policy.prefix_hints import MAX_PREFIXES, CacheEvent, PrefixHints


def stored(sequence: int, prefix: int = 1, life: str = "a", kept: bool = True) -> CacheEvent:
    return CacheEvent("r", life, sequence, prefix, kept)


def test_a_stored_prefix_is_known_until_it_is_dropped() -> None:
    hints = PrefixHints()
    hints.on_event(stored(0), 0.0)
    assert hints.confidence(1, "r", 0.0) == 1.0
    hints.on_event(stored(1, kept=False), 1.0)
    assert hints.confidence(1, "r", 1.0) == 0.0


def test_confidence_fades_with_time_and_with_gaps() -> None:
    hints = PrefixHints()
    hints.on_event(stored(0), 0.0)
    assert hints.confidence(1, "r", 60.0) == 0.5
    hints.on_event(stored(5, prefix=2), 60.0)
    assert hints.confidence(1, "r", 60.0) == 0.25
    assert hints.confidence(2, "r", 60.0) == 1.0


def test_a_late_event_changes_nothing() -> None:
    hints = PrefixHints()
    hints.on_event(stored(3), 0.0)
    hints.on_event(stored(2, kept=False), 0.0)
    assert hints.confidence(1, "r", 0.0) == 1.0


def test_a_new_incarnation_has_no_cache() -> None:
    hints = PrefixHints()
    hints.on_event(stored(3), 0.0)
    hints.on_event(stored(0, prefix=2, life="b"), 0.0)
    assert hints.confidence(1, "r", 0.0) == 0.0


def test_hints_are_bounded() -> None:
    hints = PrefixHints()
    for number in range(MAX_PREFIXES + 10):
        hints.on_dispatch(number, "r", "a", 0.0)
    assert len(hints.hints) == MAX_PREFIXES
