"""An endpoint that announces its departure or sends ``retry-after`` gets no more requests."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketStream

from bergamotchute_platform.request_format import read_response
from bergamotchute_wire.http1_messages import ResponseHead
from support.entry_fixture import (
    EndpointScript,
    EntryFixture,
    ReceivedRequest,
    answer,
    chunked,
    event,
    respond_with,
    run_with_entry,
    stream_head,
    wait_until,
)


def _announce_departure(status: int = 200, **headers: str) -> EndpointScript:
    return respond_with(lambda request: answer(request, status, server_leaving="1", **headers))


@pytest.mark.parametrize(
    "script",
    [
        _announce_departure(),
        _announce_departure(500),
        _announce_departure(503, bergamotchute_not_executed="1"),
        _announce_departure(421, bergamotchute_not_executed="1"),
    ],
    ids=["success", "failure", "not run", "wrong endpoint"],
)
def test_an_endpoint_that_announces_its_departure_gets_no_more_requests(
    script: EndpointScript,
) -> None:
    async def body(path: EntryFixture) -> None:
        leaving = await path.add_endpoint("runner-1", script)
        await path.send_request("order")
        assert [each.endpoint for each in path.leaving_endpoints] == [leaving.endpoint]
        for _ in range(3):
            assert (await path.send_request("order")).status == 503
        assert len(path.received_requests) == 1

    run_with_entry(body)


def test_a_departure_in_the_head_of_a_stream_takes_effect_at_once() -> None:
    async def body(path: EntryFixture) -> None:
        ended = anyio.Event()

        async def stream_leaving(request: ReceivedRequest, stream: SocketStream) -> None:
            head = stream_head(request).replace(b"\r\n\r\n", b"\r\nserver-leaving: 1\r\n\r\n")
            await stream.send(head + chunked(event(1)))
            await ended.wait()
            await stream.send(b"0\r\n\r\n")

        await path.add_endpoint("runner-1", stream_leaving)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.send_request, "stream")
            await wait_until(lambda: bool(path.leaving_endpoints))
            assert (await path.send_request("stream")).status == 503
            ended.set()
        assert len(path.received_requests) == 1

    run_with_entry(body)


def test_a_new_incarnation_of_a_departed_endpoint_is_used() -> None:
    async def body(path: EntryFixture) -> None:
        await path.add_endpoint("runner-1", _announce_departure())
        await path.send_request("order")
        path.restart(0)
        assert (await path.send_request("order")).status == 200

    run_with_entry(body)


def _refuse_with_retry_after(seconds: str, **headers: str) -> EndpointScript:
    return respond_with(lambda request: answer(request, 503, retry_after=seconds, **headers))


@pytest.mark.parametrize("headers", [{"bergamotchute_not_executed": "1"}, {}])
def test_an_endpoint_that_sent_retry_after_gets_no_requests_even_if_it_is_the_last(
    headers: dict[str, str],
) -> None:
    async def body(path: EntryFixture) -> None:
        await path.add_endpoint("runner-1", _refuse_with_retry_after("30", **headers))
        await path.send_request("order")
        for _ in range(3):
            response = await path.send_request("order")
            assert response.status == 503
            assert 20 < float(response.headers["retry-after"]) <= 31
        assert len(path.received_requests) == 1

    run_with_entry(body)


def test_another_endpoint_gets_the_requests_during_retry_after() -> None:
    async def body(path: EntryFixture) -> None:
        await path.add_endpoint(
            "runner-1", _refuse_with_retry_after("30", bergamotchute_not_executed="1")
        )
        other = await path.add_endpoint("runner-2", respond_with(answer))
        path.placement.on_load_reported(other, 3, anyio.current_time())
        statuses = [(await path.send_request("status", "GET")).status for _ in range(6)]
        assert statuses == [200] * 6
        assert [request.endpoint for request in path.received_requests].count("runner-1") == 1

    run_with_entry(body)


def test_a_successful_response_does_not_end_retry_after() -> None:
    async def body(path: EntryFixture) -> None:
        await path.add_endpoint("runner-1", _refuse_with_retry_after("30"))
        await path.send_request("order")
        path.placement.on_success(path.endpoints[0])
        assert (await path.send_request("order")).status == 503
        assert len(path.received_requests) == 1

    run_with_entry(body)


def test_an_endpoint_is_used_again_after_retry_after() -> None:
    async def body(path: EntryFixture) -> None:
        async def refuse_once(request: ReceivedRequest, stream: SocketStream) -> None:
            if len(path.received_requests) == 1:
                await _refuse_with_retry_after("0.3", bergamotchute_not_executed="1")(
                    request, stream
                )
            else:
                await stream.send(answer(request))

        await path.add_endpoint("runner-1", refuse_once)
        await path.send_request("order")
        await anyio.sleep(0.4)
        assert (await path.send_request("order")).status == 200

    run_with_entry(body)


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
def test_retry_after_counts_only_in_a_503_with_a_number_of_seconds(
    status: int, text: str, seconds: float | None
) -> None:
    assert read_response(ResponseHead(status, (("retry-after", text),))).retry_after_s == seconds


def test_only_the_value_1_announces_a_departure() -> None:
    for text, leaving in (("1", True), ("0", False), ("", False)):
        assert read_response(ResponseHead(200, (("server-leaving", text),))).leaving is leaving


ENDLESS_BYTES = 40_000_000
"""Many times the size of the sockets' buffers and of the largest response that is buffered."""


async def _send_endlessly(stream: SocketStream, data: bytes) -> None:
    for _ in range(ENDLESS_BYTES // len(data)):
        await stream.send(data)
    pytest.fail("the entry did not stop reading")


def _endless_response(head: bytes, data: bytes) -> EndpointScript:
    async def run(_: ReceivedRequest, stream: SocketStream) -> None:
        await stream.send(head)
        await _send_endlessly(stream, data)

    return run


def _endless_signed_response(data: bytes, **headers: str) -> EndpointScript:
    async def run(request: ReceivedRequest, stream: SocketStream) -> None:
        await stream.send(answer(request, body=b"", content_length="", **headers))
        await _send_endlessly(stream, data)

    return run


ENDLESS_RESPONSES = {
    "no line end": _endless_response(b"HTTP/1.1 200 ", b"x" * 65_536),
    "header lines": _endless_response(b"HTTP/1.1 200 OK\r\n", b"x-one: two\r\n" * 5_000),
    "interim responses": _endless_response(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
    "body without length": _endless_signed_response(b"x" * 65_536),
    "large chunks": _endless_signed_response(
        b"fffff\r\n" + b"x" * 0xFFFFF + b"\r\n", transfer_encoding="chunked"
    ),
    "chunk line": _endless_signed_response(b"1;" + b"x" * 65_536, transfer_encoding="chunked"),
    "small chunks": _endless_signed_response(b"1\r\nx\r\n" * 10_000, transfer_encoding="chunked"),
}


@pytest.mark.parametrize("route", ["order", "stream"])
@pytest.mark.parametrize("script", ENDLESS_RESPONSES.values(), ids=ENDLESS_RESPONSES.keys())
def test_an_endless_response_fails_only_its_endpoint(route: str, script: EndpointScript) -> None:
    async def body(path: EntryFixture) -> None:
        await path.add_endpoint("runner-1", script)
        response = await path.send_request(route)
        assert response.status in (502, 504) or not response.whole
        assert path.placement.load(path.endpoints[0]).failures == 1
        await wait_until(lambda: bool(path.closed_endpoints))

    run_with_entry(body)


@pytest.mark.parametrize("data", [b"x" * 65_536, b":\n\n" * 20_000, b"data: x\n\n" * 5_000])
def test_a_stream_without_numbered_events_is_ended(data: bytes) -> None:
    async def body(path: EntryFixture) -> None:
        async def script(request: ReceivedRequest, stream: SocketStream) -> None:
            await stream.send(stream_head(request) + chunked(event(1)))
            await _send_endlessly(stream, chunked(data))

        await path.add_endpoint("runner-1", script)
        response = await path.send_request("stream")
        assert response.body.startswith(event(1))
        assert not response.whole
        assert len(response.body) < 1_000_000
        await wait_until(lambda: bool(path.closed_endpoints))

    run_with_entry(body)


def test_buffered_responses_share_one_memory_limit() -> None:
    """Several endpoints send endless bodies at once; the entry must not run out of memory."""

    async def body(path: EntryFixture) -> None:
        path.calls.held.limit_bytes = 1_000_000

        async def stuck(request: ReceivedRequest, stream: SocketStream) -> None:
            await stream.send(answer(request, body=b"", content_length="10000000"))
            await stream.send(b"x" * 900_000)
            await stream.receive()

        async def large(request: ReceivedRequest, stream: SocketStream) -> None:
            await stream.send(answer(request, body=b"x" * 400_000))

        await path.add_endpoint("runner-1", stuck)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.send_request, "order")
            await wait_until(lambda: path.calls.held.held >= 900_000)
            path.endpoints.clear()
            await path.add_endpoint("runner-2", large)
            assert (await path.send_request("order")).status == 502
            tasks.cancel_scope.cancel()
        await wait_until(lambda: not path.calls.held.held)
        assert (await path.send_request("order")).status == 200

    run_with_entry(body)
