"""Which limit of its rate holds for an endpoint, whatever the order of its responses."""

from __future__ import annotations

from bergamotchute_policy.rate_limit_table import LIMIT_TTL_S, UNLIMITED, RateLimitTable


def test_response_without_a_limit_ends_it() -> None:
    table = RateLimitTable()
    assert table.record("runner-1", 1, 2.0, sent_at=10.0)
    assert not table.record("runner-1", 1, 2.0, sent_at=11.0), "the same limit is no news"
    assert table.requests_per_s("runner-1", 1, 12.0) == 2.0
    assert table.record("runner-1", 1, UNLIMITED, sent_at=12.0)
    assert table.requests_per_s("runner-1", 1, 12.0) == UNLIMITED


def test_late_response_to_an_earlier_request_neither_sets_nor_ends_a_limit() -> None:
    table = RateLimitTable()
    table.record("runner-1", 1, 2.0, sent_at=10.0)
    assert not table.record("runner-1", 1, UNLIMITED, sent_at=9.0)
    assert table.requests_per_s("runner-1", 1, 10.0) == 2.0
    table.record("runner-1", 1, UNLIMITED, sent_at=11.0)
    assert not table.record("runner-1", 1, 2.0, sent_at=10.5)
    assert table.requests_per_s("runner-1", 1, 11.0) == UNLIMITED


def test_late_response_can_not_set_a_limit_where_none_was_named() -> None:
    table = RateLimitTable()
    table.record("runner-1", 1, UNLIMITED, sent_at=10.0)
    assert not table.record("runner-1", 1, 2.0, sent_at=9.0)


def test_limit_of_an_earlier_incarnation_does_not_hold() -> None:
    table = RateLimitTable()
    table.record("runner-1", 1, 2.0, sent_at=10.0)
    assert table.requests_per_s("runner-1", 2, 10.0) == UNLIMITED
    table.record("runner-1", 2, 5.0, sent_at=11.0)
    assert not table.record("runner-1", 1, 1.0, sent_at=12.0)
    assert table.requests_per_s("runner-1", 2, 12.0) == 5.0


def test_limit_holds_through_silence_of_seconds_but_not_for_ever() -> None:
    table = RateLimitTable()
    table.record("runner-1", 1, 0.0, sent_at=10.0)
    assert table.requests_per_s("runner-1", 1, 60.0) == 0.0
    assert table.requests_per_s("runner-1", 1, 10.1 + LIMIT_TTL_S) == UNLIMITED
    assert not table.limited(10.1 + LIMIT_TTL_S)
