"""When a stopping entry must send a request, from what recent responses took."""

from __future__ import annotations

from bergamotchute_policy.response_times import RECENT_RESPONSES, ResponseTimes

TIMEOUT_S = 8.0
ENDS_AT = 107.0


def latest_send_at(times: ResponseTimes, deadline: float = 200.0) -> float:
    return times.latest_send_at("draft", TIMEOUT_S, deadline, ENDS_AT)


def test_request_of_unknown_length_is_sent_when_only_its_timeout_bounds_it() -> None:
    assert latest_send_at(ResponseTimes()) == ENDS_AT - TIMEOUT_S


def test_request_that_is_due_before_the_end_is_refused() -> None:
    """Its caller has a final response by the deadline in any case."""
    assert latest_send_at(ResponseTimes(), deadline=106.0) == 106.0


def test_one_slow_response_is_forgotten_at_once() -> None:
    """Load pattern: 63 orders of 45 ms after one of 3.5 s; the next one may take as long."""
    times = ResponseTimes()
    times.record("draft", 3.5)
    for _ in range(RECENT_RESPONSES - 1):
        times.record("draft", 0.045)
    assert latest_send_at(times) < ENDS_AT - 3.5
    times.record("draft", 0.045)
    assert latest_send_at(times) > ENDS_AT - 0.1


def test_expected_time_exceeds_the_timeout_of_the_route() -> None:
    times = ResponseTimes()
    times.record("draft", 7.9)
    assert latest_send_at(times) == ENDS_AT - TIMEOUT_S
