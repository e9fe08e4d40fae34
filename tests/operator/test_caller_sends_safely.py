"""A caller sends a request again only where that is safe, and says what may have run."""

from __future__ import annotations

import httpx
import trio
from trio.testing import MockClock

from bergamotchute_cli.caller import Caller, CallerAnswer, CallerRequest
from bergamotchute_model.identifiers import Address
from bergamotchute_model.verdict import Verdict
from support.scripted_entries import InterruptedBody, ScriptedEntries, problem_response

FIRST, SECOND = Address("10.0.0.1", 8080), Address("10.0.0.2", 8080)
ORDER = CallerRequest("POST", "/v1/services/orders/orders", b"{}", key="order-1")
UNKEYED = CallerRequest("POST", "/v1/services/orders/orders", b"{}")
DRAFT = CallerRequest("POST", "/v1/chat/completions", b"{}")
BOOKED = httpx.Response(201, content=b"booked")
LOST = httpx.ReadError("lost")
REFUSED = httpx.ConnectError("refused")
STREAM = {"content-type": "text/event-stream", "x-request-id": "entry-1.1"}


def addresses(_: httpx.Request) -> httpx.Response:
    return httpx.Response(200, json={"addresses": [str(FIRST), str(SECOND)], "lifetime_s": 5})


def send(request: CallerRequest, first: list, second: list) -> tuple[CallerAnswer, bytes, list]:
    entries = ScriptedEntries({str(FIRST): [addresses, *first], str(SECOND): second})
    parts: list[bytes] = []

    async def run() -> CallerAnswer:
        caller = Caller([FIRST], "token", patience_s=5.0, transport=entries.transport())
        return await caller.send(request, parts.append)

    answer = trio.run(run, clock=MockClock(autojump_threshold=0))
    return answer, b"".join(parts), entries.request_lines()[1:]


def test_a_keyed_order_whose_answer_is_lost_goes_through_another_entry() -> None:
    answer, body, asked = send(ORDER, [LOST], [BOOKED])
    assert answer == CallerAnswer(201, Verdict.COMPLETED)
    assert body == b"booked"
    assert asked == [
        "POST 10.0.0.1/v1/services/orders/orders",
        "POST 10.0.0.2/v1/services/orders/orders",
    ]


def test_an_order_without_a_key_is_never_sent_again_once_it_may_have_run() -> None:
    for failure in (LOST, problem_response(503, "outcome_unknown", "may_have_run", retry=True)):
        answer, _, asked = send(UNKEYED, [failure], [BOOKED])
        assert answer.verdict is Verdict.MAY_HAVE_RUN
        assert len(asked) == 1


def test_what_was_not_run_is_sent_again_where_the_problem_says() -> None:
    draining = problem_response(503, "draining", "not_run", retry=True, addresses=[str(SECOND)])
    for failure in (draining, REFUSED):
        answer, body, asked = send(UNKEYED, [failure], [BOOKED])
        assert (answer.is_whole, body, len(asked)) == (True, b"booked", 2)


def test_a_final_refusal_is_not_repeated() -> None:
    for refusal in (
        problem_response(429, "team_limit", "not_run"),
        problem_response(409, "outcome_unknown", "may_have_run"),
    ):
        answer, body, asked = send(ORDER, [refusal], [BOOKED])
        assert (answer.status, body, len(asked)) == (refusal.status_code, b"", 1)
        assert not answer.is_whole


def test_after_one_sending_may_have_run_a_later_not_run_says_no_more() -> None:
    answer, _, _ = send(ORDER, [LOST], [problem_response(503, "draining", "not_run")])
    assert answer.verdict is Verdict.MAY_HAVE_RUN


def test_a_stream_that_breaks_off_is_taken_up_at_the_first_missing_event() -> None:
    broken = httpx.Response(
        200, headers=STREAM, stream=InterruptedBody([b"data: 1\n\ndata: 2\n", b"\ndata: 3"])
    )

    def rest(request: httpx.Request) -> httpx.Response:
        assert request.url.params["offset"] == "2"
        return httpx.Response(200, headers=STREAM, content=b"data: 3\n\ndata: [DONE]\n\n")

    answer, body, asked = send(DRAFT, [broken, rest], [BOOKED])
    assert answer.is_whole
    assert body == b"data: 1\n\ndata: 2\n\ndata: 3\n\ndata: [DONE]\n\n"
    assert asked[1] == "GET 10.0.0.1/v1/requests/entry-1.1/answer"


def test_a_stream_that_says_it_broke_off_is_no_whole_answer() -> None:
    error = b'event: error\ndata: {"status": 502, "code": "interrupted", "detail": "x",'
    content = b"data: 1\n\n" + error + b' "verdict": "may_have_run"}\n\n'
    answer, body, asked = send(
        DRAFT, [httpx.Response(200, headers=STREAM, content=content)], [BOOKED]
    )
    assert (answer.code, answer.is_whole, body) == ("interrupted", False, b"data: 1\n\n")
    assert len(asked) == 1


def test_a_half_read_order_is_asked_for_again_and_printed_once() -> None:
    answer, body, _ = send(ORDER, [httpx.Response(201, stream=InterruptedBody([b"boo"]))], [BOOKED])
    assert (answer.is_whole, body) == (True, b"booked")


def test_patience_ends() -> None:
    answer, _, asked = send(ORDER, [REFUSED, addresses, REFUSED] * 20, [REFUSED])
    assert (answer.status, answer.verdict) == (0, Verdict.NOT_RUN)
    assert 2 < len(asked) < 40
