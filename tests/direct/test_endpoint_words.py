"""An endpoint that says that it leaves, or asks for quiet, gets what it asks for."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketStream

from bergamotchute_platform.request_format import read_answer
from bergamotchute_wire.http1_messages import AnswerHead
from support.direct_path import (
    Arrival,
    DirectPath,
    Script,
    answer,
    chunked,
    event,
    run_direct,
    says,
    stream_head,
    until,
)


def _leaves(status: int = 200, **headers: str) -> Script:
    return says(lambda arrival: answer(arrival, status, server_leaving="1", **headers))


@pytest.mark.parametrize(
    "script",
    [
        _leaves(),
        _leaves(500),
        _leaves(503, bergamotchute_not_executed="1"),
        _leaves(421, bergamotchute_not_executed="1"),
    ],
    ids=["an answer", "a failure", "not run", "wrong endpoint"],
)
def test_an_endpoint_that_says_that_it_leaves_gets_nothing_more(script: Script) -> None:
    async def body(path: DirectPath) -> None:
        leaving = await path.add_endpoint("desk-1", script)
        await path.ask("order")
        assert [each.endpoint for each in path.left] == [leaving.endpoint]
        for _ in range(3):
            assert (await path.ask("order")).status == 503
        assert len(path.arrivals) == 1

    run_direct(body)


def test_a_stream_tells_at_its_head_that_its_endpoint_leaves() -> None:
    async def body(path: DirectPath) -> None:
        ended = anyio.Event()

        async def stream_leaving(arrival: Arrival, stream: SocketStream) -> None:
            head = stream_head(arrival).replace(b"\r\n\r\n", b"\r\nserver-leaving: 1\r\n\r\n")
            await stream.send(head + chunked(event(1)))
            await ended.wait()
            await stream.send(b"0\r\n\r\n")

        await path.add_endpoint("runner-1", stream_leaving)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.ask, "draft")
            await until(lambda: bool(path.left))
            assert (await path.ask("draft")).status == 503
            ended.set()
        assert len(path.arrivals) == 1

    run_direct(body)


def test_a_new_life_of_an_endpoint_that_left_is_used() -> None:
    async def body(path: DirectPath) -> None:
        await path.add_endpoint("desk-1", _leaves())
        await path.ask("order")
        path.restart(0)
        assert (await path.ask("order")).status == 200

    run_direct(body)


def _asks_for_quiet(seconds: str, **headers: str) -> Script:
    return says(lambda arrival: answer(arrival, 503, retry_after=seconds, **headers))


@pytest.mark.parametrize("headers", [{"bergamotchute_not_executed": "1"}, {}])
def test_an_endpoint_that_asks_for_quiet_is_left_alone_also_when_it_is_the_last(
    headers: dict[str, str],
) -> None:
    async def body(path: DirectPath) -> None:
        await path.add_endpoint("desk-1", _asks_for_quiet("30", **headers))
        await path.ask("order")
        for _ in range(3):
            got = await path.ask("order")
            assert got.status == 503
            assert 20 < float(got.headers["retry-after"]) <= 31
        assert len(path.arrivals) == 1

    run_direct(body)


def test_another_endpoint_takes_over_while_one_wants_quiet() -> None:
    async def body(path: DirectPath) -> None:
        await path.add_endpoint("desk-1", _asks_for_quiet("30", bergamotchute_not_executed="1"))
        other = await path.add_endpoint("desk-2", says(answer))
        path.placement.on_told(other, 3, anyio.current_time())
        statuses = [(await path.ask("status", "GET")).status for _ in range(6)]
        assert statuses == [200] * 6
        assert [arrival.endpoint for arrival in path.arrivals].count("desk-1") == 1

    run_direct(body)


def test_a_good_answer_does_not_end_the_quiet_that_an_endpoint_asked_for() -> None:
    async def body(path: DirectPath) -> None:
        await path.add_endpoint("desk-1", _asks_for_quiet("30"))
        await path.ask("order")
        path.placement.on_good_answer(path.endpoints[0])
        assert (await path.ask("order")).status == 503
        assert len(path.arrivals) == 1

    run_direct(body)


def test_an_endpoint_is_used_again_once_its_quiet_is_over() -> None:
    async def body(path: DirectPath) -> None:
        async def quiet_once(arrival: Arrival, stream: SocketStream) -> None:
            if len(path.arrivals) == 1:
                await _asks_for_quiet("0.3", bergamotchute_not_executed="1")(arrival, stream)
            else:
                await stream.send(answer(arrival))

        await path.add_endpoint("desk-1", quiet_once)
        await path.ask("order")
        await anyio.sleep(0.4)
        assert (await path.ask("order")).status == 200

    run_direct(body)


@pytest.mark.parametrize(
    ("status", "text", "seconds"),
    [
        (503, "2", 2.0),
        (503, "0.25", 0.25),
        (503, "soon", None),
        (503, "-1", None),
        (503, "nan", None),
        (503, "inf", None),
        (503, "", None),
        (500, "2", None),
    ],
)
def test_only_a_503_with_a_number_of_seconds_asks_for_quiet(
    status: int, text: str, seconds: float | None
) -> None:
    assert read_answer(AnswerHead(status, (("retry-after", text),))).retry_after_s == seconds


def test_only_the_word_1_says_that_an_endpoint_leaves() -> None:
    for text, leaving in (("1", True), ("0", False), ("", False)):
        assert read_answer(AnswerHead(200, (("server-leaving", text),))).leaving is leaving


ENOUGH_BYTES = 40_000_000
"""What fits into the sockets' buffers and the entry's largest answer, many times over."""


async def _without_end(stream: SocketStream, data: bytes) -> None:
    for _ in range(ENOUGH_BYTES // len(data)):
        await stream.send(data)
    pytest.fail("the entry reads on and on")


def _endless(head: bytes, data: bytes) -> Script:
    async def run(_: Arrival, stream: SocketStream) -> None:
        await stream.send(head)
        await _without_end(stream, data)

    return run


def _endless_signed(data: bytes, **headers: str) -> Script:
    async def run(arrival: Arrival, stream: SocketStream) -> None:
        await stream.send(answer(arrival, body=b"", content_length="", **headers))
        await _without_end(stream, data)

    return run


ENDLESS = {
    "no line end": _endless(b"HTTP/1.1 200 ", b"x" * 65_536),
    "header lines": _endless(b"HTTP/1.1 200 OK\r\n", b"x-one: two\r\n" * 5_000),
    "interim answers": _endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
    "body without length": _endless_signed(b"x" * 65_536),
    "large chunks": _endless_signed(
        b"fffff\r\n" + b"x" * 0xFFFFF + b"\r\n", transfer_encoding="chunked"
    ),
    "chunk line": _endless_signed(b"1;" + b"x" * 65_536, transfer_encoding="chunked"),
    "small chunks": _endless_signed(b"1\r\nx\r\n" * 10_000, transfer_encoding="chunked"),
}


@pytest.mark.parametrize("route", ["order", "draft"])
@pytest.mark.parametrize("script", ENDLESS.values(), ids=ENDLESS.keys())
def test_bytes_without_end_fail_the_endpoint_and_nothing_else(route: str, script: Script) -> None:
    async def body(path: DirectPath) -> None:
        await path.add_endpoint("runner-1", script)
        got = await path.ask(route)
        assert got.status in (502, 504) or not got.whole
        assert path.placement.load(path.endpoints[0]).failures == 1
        await until(lambda: bool(path.closed))

    run_direct(body)


@pytest.mark.parametrize("data", [b"x" * 65_536, b":\n\n" * 20_000, b"data: x\n\n" * 5_000])
def test_a_stream_without_progress_ends(data: bytes) -> None:
    async def body(path: DirectPath) -> None:
        async def script(arrival: Arrival, stream: SocketStream) -> None:
            await stream.send(stream_head(arrival) + chunked(event(1)))
            await _without_end(stream, chunked(data))

        await path.add_endpoint("runner-1", script)
        got = await path.ask("draft")
        assert got.body.startswith(event(1))
        assert not got.whole
        assert len(got.body) < 1_000_000
        await until(lambda: bool(path.closed))

    run_direct(body)


def test_answers_that_are_held_whole_share_one_bound() -> None:
    """Load pattern: several endpoints send bodies without end at once; the entry's memory holds."""

    async def body(path: DirectPath) -> None:
        path.runner.held.limit = 1_000_000

        async def stuck(arrival: Arrival, stream: SocketStream) -> None:
            await stream.send(answer(arrival, body=b"", content_length="10000000"))
            await stream.send(b"x" * 900_000)
            await stream.receive()

        async def large(arrival: Arrival, stream: SocketStream) -> None:
            await stream.send(answer(arrival, body=b"x" * 400_000))

        await path.add_endpoint("desk-1", stuck)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.ask, "order")
            await until(lambda: path.runner.held.held >= 900_000)
            path.endpoints.clear()
            await path.add_endpoint("desk-2", large)
            assert (await path.ask("order")).status == 502
            tasks.cancel_scope.cancel()
        await until(lambda: not path.runner.held.held)
        assert (await path.ask("order")).status == 200

    run_direct(body)
