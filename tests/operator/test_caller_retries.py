"""The caller retries a request only where that is safe, and reports whether it may have run."""

from __future__ import annotations

import httpx
import trio
from trio.testing import MockClock

from bergamotchute_cli.caller import Caller, CallerOutcome, CallerRequest
from bergamotchute_model.identifiers import Address
from bergamotchute_model.verdict import Verdict
from support.scripted_entries import InterruptedBody, ScriptedEntries, problem_response

FIRST, SECOND = Address("10.0.0.1", 8080), Address("10.0.0.2", 8080)
ORDER = CallerRequest("POST", "/v1/services/orders/orders", b"{}", key="order-1")
ORDER_WITHOUT_KEY = CallerRequest("POST", "/v1/services/orders/orders", b"{}")
GENERATION = CallerRequest("POST", "/v1/chat/completions", b"{}")
CREATED = httpx.Response(201, content=b"booked")
LOST_ANSWER = httpx.ReadError("lost")
CONNECTION_REFUSED = httpx.ConnectError("refused")
STREAM_HEADERS = {"content-type": "text/event-stream", "x-request-id": "entry-1.1"}


def addresses(_: httpx.Request) -> httpx.Response:
    return httpx.Response(200, json={"addresses": [str(FIRST), str(SECOND)], "lifetime_s": 5})


def send(request: CallerRequest, first: list, second: list) -> tuple[CallerOutcome, bytes, list]:
    entries = ScriptedEntries({str(FIRST): [addresses, *first], str(SECOND): second})
    parts: list[bytes] = []

    async def run() -> CallerOutcome:
        caller = Caller([FIRST], "token", patience_s=5.0, transport=entries.transport())
        return await caller.send(request, parts.append)

    answer = trio.run(run, clock=MockClock(autojump_threshold=0))
    return answer, b"".join(parts), entries.request_lines()[1:]


def test_request_with_a_key_and_a_lost_answer_is_retried_at_another_entry() -> None:
    answer, body, request_lines = send(ORDER, [LOST_ANSWER], [CREATED])
    assert answer == CallerOutcome(201, Verdict.COMPLETED)
    assert body == b"booked"
    assert request_lines == [
        "POST 10.0.0.1/v1/services/orders/orders",
        "POST 10.0.0.2/v1/services/orders/orders",
    ]


def test_request_without_a_key_is_not_retried_once_it_may_have_run() -> None:
    for failure in (
        LOST_ANSWER,
        httpx.Response(700, content=b"no status of HTTP"),
        problem_response(503, "outcome_unknown", "may_have_run", retry=True),
    ):
        answer, _, request_lines = send(ORDER_WITHOUT_KEY, [failure], [CREATED])
        assert answer.verdict is Verdict.MAY_HAVE_RUN
        assert len(request_lines) == 1


def test_request_that_did_not_run_is_retried_at_the_named_entry() -> None:
    draining = problem_response(503, "draining", "not_run", retry=True, addresses=[str(SECOND)])
    for failure in (draining, CONNECTION_REFUSED):
        answer, body, request_lines = send(ORDER_WITHOUT_KEY, [failure], [CREATED])
        assert (answer.is_success, body, len(request_lines)) == (True, b"booked", 2)


def test_final_refusal_is_not_retried() -> None:
    for refusal in (
        problem_response(429, "team_limit", "not_run"),
        problem_response(409, "outcome_unknown", "may_have_run"),
    ):
        answer, body, request_lines = send(ORDER, [refusal], [CREATED])
        assert (answer.status, body, len(request_lines)) == (refusal.status_code, b"", 1)
        assert not answer.is_success


def test_later_not_run_does_not_override_may_have_run() -> None:
    answer, _, _ = send(ORDER, [LOST_ANSWER], [problem_response(503, "draining", "not_run")])
    assert answer.verdict is Verdict.MAY_HAVE_RUN


def test_interrupted_stream_resumes_at_the_first_missing_event() -> None:
    interrupted_stream = httpx.Response(
        200, headers=STREAM_HEADERS, stream=InterruptedBody([b"data: 1\n\ndata: 2\n", b"\ndata: 3"])
    )

    def remaining_events(request: httpx.Request) -> httpx.Response:
        assert request.url.params["offset"] == "2"
        return httpx.Response(200, headers=STREAM_HEADERS, content=b"data: 3\n\ndata: [DONE]\n\n")

    answer, body, request_lines = send(
        GENERATION, [interrupted_stream, remaining_events], [CREATED]
    )
    assert answer.is_success
    assert body == b"data: 1\n\ndata: 2\n\ndata: 3\n\ndata: [DONE]\n\n"
    assert request_lines[1] == "GET 10.0.0.1/v1/requests/entry-1.1/answer"


def test_stream_with_an_error_event_is_not_a_success() -> None:
    error = b'event: error\ndata: {"status": 502, "code": "interrupted", "detail": "x",'
    content = b"data: 1\n\n" + error + b' "verdict": "may_have_run"}\n\n'
    answer, body, request_lines = send(
        GENERATION, [httpx.Response(200, headers=STREAM_HEADERS, content=content)], [CREATED]
    )
    assert (answer.code, answer.is_success, body) == ("interrupted", False, b"data: 1\n\n")
    assert len(request_lines) == 1


def test_partly_read_response_is_requested_again_and_written_once() -> None:
    answer, body, _ = send(
        ORDER, [httpx.Response(201, stream=InterruptedBody([b"boo"]))], [CREATED]
    )
    assert (answer.is_success, body) == (True, b"booked")


def test_retries_end_after_patience_s() -> None:
    answer, _, request_lines = send(
        ORDER,
        [CONNECTION_REFUSED, addresses, CONNECTION_REFUSED] * 20,
        [CONNECTION_REFUSED],
    )
    assert (answer.status, answer.verdict) == (0, Verdict.NOT_RUN)
    assert 2 < len(request_lines) < 40
