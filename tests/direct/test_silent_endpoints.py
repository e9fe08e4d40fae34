"""An endpoint that is silent for a while is given up only once another one has taken over."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import pytest
from anyio.abc import SocketStream

from bergamotchute_daemon.direct import direct_forwarder
from support.entry_fixture import (
    CallerResponse,
    EndpointScript,
    EntryFixture,
    ReceivedRequest,
    answer,
    chunked,
    event,
    run_with_entry,
    stream_head,
)

LAST_CHUNK = b"0\r\n\r\n"
WHOLE_STREAM = b"".join(event(number) for number in range(1, 4))


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(direct_forwarder, "STREAM_IDLE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(direct_forwarder, "MIN_HEAD_TIMEOUT_S", 0.1)
    monkeypatch.setattr(direct_forwarder, "HEAD_TIMEOUT_OBJECTIVE_RATIO", 0.0)


@dataclass
class SilentEndpoint:
    """Answers the first request it gets in two parts, and is silent between them until told.

    :param before: what it sends at once.
    :param after: what it sends when it goes on.
    """

    before: Callable[[ReceivedRequest], bytes]
    after: Callable[[ReceivedRequest], bytes]
    goes_on: anyio.Event = field(default_factory=anyio.Event)
    closed_by_entry: anyio.Event = field(default_factory=anyio.Event)

    async def run(self, request: ReceivedRequest, stream: SocketStream) -> None:
        if data := self.before(request):
            await stream.send(data)

        async def notice_close() -> None:
            try:
                await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                self.closed_by_entry.set()
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(notice_close)
            await self.goes_on.wait()
            tasks.cancel_scope.cancel()
        if data := self.after(request):
            await stream.send(data)


def silent_stream() -> SilentEndpoint:
    """Return an endpoint that is silent after the first event of a stream of three."""
    return SilentEndpoint(
        lambda request: stream_head(request) + chunked(event(1)),
        lambda _: chunked(event(2)) + chunked(event(3)) + LAST_CHUNK,
    )


def silent_head() -> SilentEndpoint:
    """Return an endpoint that is silent before the head of its response."""
    return SilentEndpoint(lambda _: b"", lambda request: answer(request, body=b"first"))


async def ask_both(
    entry: EntryFixture, first: SilentEndpoint, second: EndpointScript, route: str
) -> CallerResponse:
    """Send a request to the first endpoint, which the second one may take over."""
    await entry.add_endpoint("runner-1", first.run)
    other = await entry.add_endpoint("runner-2", second)
    entry.placement.on_load_reported(other, 3, anyio.current_time())
    method = "GET" if route == "status" else "POST"
    return await entry.send_request(route, method)


def assert_nothing_is_held(entry: EntryFixture) -> None:
    assert not entry.calls.held.held
    for endpoint in entry.endpoints:
        assert not entry.placement.load(endpoint).in_flight


Refusal = Callable[[ReceivedRequest, SocketStream], Awaitable[None]]


async def refuse_full(request: ReceivedRequest, stream: SocketStream) -> None:
    await stream.send(answer(request, 503, b"", bergamotchute_not_executed="1"))


async def fail(request: ReceivedRequest, stream: SocketStream) -> None:
    await stream.send(answer(request, 500))


async def close_at_once(_: ReceivedRequest, stream: SocketStream) -> None:
    await anyio.aclose_forcefully(stream)


async def answer_another_request(request: ReceivedRequest, stream: SocketStream) -> None:
    await stream.send(answer(request, bergamotchute_request_id="another"))


async def send_empty_stream(request: ReceivedRequest, stream: SocketStream) -> None:
    await stream.send(stream_head(request) + LAST_CHUNK)


REFUSALS = [refuse_full, fail, close_at_once, answer_another_request]


def refuse_before(first: SilentEndpoint, refuse: Refusal) -> EndpointScript:
    """Return a script that refuses the request; then the first endpoint goes on."""

    async def run(request: ReceivedRequest, stream: SocketStream) -> None:
        await refuse(request, stream)
        await anyio.aclose_forcefully(stream)
        first.goes_on.set()

    return run


@pytest.mark.parametrize("refuse", [*REFUSALS, send_empty_stream])
def test_silent_stream_is_cut_when_the_next_endpoint_refuses_it(refuse: Refusal) -> None:
    """A caller lost a stream whose endpoint was about to go on."""

    async def body(entry: EntryFixture) -> None:
        first = silent_stream()
        response = await ask_both(entry, first, refuse_before(first, refuse), "stream")
        assert (response.body, response.whole) == (WHOLE_STREAM, True)
        assert len(entry.received_requests) == 2
        assert_nothing_is_held(entry)

    run_with_entry(body)


@pytest.mark.parametrize("refuse", REFUSALS)
def test_silent_request_fails_when_the_next_endpoint_refuses_it(refuse: Refusal) -> None:
    """A caller got an error in place of the response on its way."""

    async def body(entry: EntryFixture) -> None:
        first = silent_head()
        response = await ask_both(entry, first, refuse_before(first, refuse), "status")
        assert (response.status, response.body) == (200, b"first")
        assert_nothing_is_held(entry)

    run_with_entry(body)


@pytest.mark.parametrize("route", ["stream", "status"])
def test_endpoint_that_goes_on_is_cut_while_another_one_has_not_begun(
    route: str, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)

    async def body(entry: EntryFixture) -> None:
        first = silent_stream() if route == "stream" else silent_head()
        second = silent_head()

        async def run_second(request: ReceivedRequest, stream: SocketStream) -> None:
            first.goes_on.set()
            await second.run(request, stream)

        response = await ask_both(entry, first, run_second, route)
        expected = WHOLE_STREAM if route == "stream" else b"first"
        assert (response.body, response.whole) == (expected, True)
        await second.closed_by_entry.wait()
        assert_nothing_is_held(entry)
        dropped = [each for each in caplog.records if each.getMessage() == "attempt_dropped"]
        assert len(dropped) == 1

    run_with_entry(body)


@pytest.mark.parametrize("route", ["stream", "status"])
@pytest.mark.parametrize("status", [503, 500])
def test_late_refusal_ends_the_attempt_that_takes_over(route: str, status: int) -> None:
    """A rank group that stalls refuses its requests after a while; another group had them by then."""

    async def body(entry: EntryFixture) -> None:
        headers = {"bergamotchute_not_executed": "1"} if status == 503 else {}
        first = SilentEndpoint(
            lambda _: b"", lambda request: answer(request, status, b"", **headers)
        )

        async def answer_later(request: ReceivedRequest, stream: SocketStream) -> None:
            first.goes_on.set()
            await anyio.sleep(0.05)
            if route == "stream":
                data = chunked(event(1)) + chunked(event(2)) + chunked(event(3)) + LAST_CHUNK
                await stream.send(stream_head(request) + data)
            else:
                await stream.send(answer(request, body=WHOLE_STREAM))

        response = await ask_both(entry, first, answer_later, route)
        assert (response.status, response.body, response.whole) == (200, WHOLE_STREAM, True)
        assert_nothing_is_held(entry)

    run_with_entry(body)


def test_silent_endpoint_keeps_a_stream_that_another_one_continues() -> None:
    async def body(entry: EntryFixture) -> None:
        first = silent_stream()

        async def resume(request: ReceivedRequest, stream: SocketStream) -> None:
            assert request.headers["last-event-id"] == "1"
            data = chunked(event(2)) + chunked(event(3)) + LAST_CHUNK
            await stream.send(stream_head(request) + data)

        response = await ask_both(entry, first, resume, "stream")
        assert (response.body, response.whole) == (WHOLE_STREAM, True)
        await first.closed_by_entry.wait()
        assert_nothing_is_held(entry)

    run_with_entry(body)


def test_part_of_an_event_of_a_silent_endpoint_is_mixed_into_the_next_stream() -> None:
    async def body(entry: EntryFixture) -> None:
        first = SilentEndpoint(
            lambda request: stream_head(request) + chunked(event(1) + event(2)[:-4]), lambda _: b""
        )

        async def resume(request: ReceivedRequest, stream: SocketStream) -> None:
            data = chunked(event(2)) + chunked(event(3)) + LAST_CHUNK
            await stream.send(stream_head(request) + data)

        response = await ask_both(entry, first, resume, "stream")
        assert (response.body, response.whole) == (WHOLE_STREAM, True)

    run_with_entry(body)


def test_endpoint_that_breaks_off_ends_the_attempt_that_takes_over() -> None:
    async def body(entry: EntryFixture) -> None:
        first = SilentEndpoint(
            lambda request: stream_head(request) + chunked(event(1)), lambda _: b""
        )

        async def resume(request: ReceivedRequest, stream: SocketStream) -> None:
            first.goes_on.set()
            await anyio.sleep(0.05)
            data = chunked(event(2)) + chunked(event(3)) + LAST_CHUNK
            await stream.send(stream_head(request) + data)

        response = await ask_both(entry, first, resume, "stream")
        assert (response.body, response.whole) == (WHOLE_STREAM, True)
        assert len(entry.received_requests) == 2

    run_with_entry(body)


def test_connections_leak_when_the_deadline_passes_during_a_takeover() -> None:
    async def body(entry: EntryFixture) -> None:
        first, second = silent_head(), silent_head()
        await entry.add_endpoint("runner-1", first.run)
        await entry.add_endpoint("runner-2", second.run)
        response = await entry.send_request("status", "GET", bergamotchute_deadline_remaining="400")
        assert response.status == 504
        await first.closed_by_entry.wait()
        await second.closed_by_entry.wait()
        assert_nothing_is_held(entry)

    run_with_entry(body)


def test_resumed_stream_keeps_the_length_that_its_first_endpoint_announced() -> None:
    """The second endpoint's events did not fit the length, and the entry failed to send them."""

    async def body(entry: EntryFixture) -> None:
        async def respond(request: ReceivedRequest, stream: SocketStream) -> None:
            if "last-event-id" in request.headers:
                head = stream_head(request)
                events = chunked(event(2) + event(3) + event(4)) + LAST_CHUNK
            else:
                head = answer(
                    request, body=b"", content_length="40", content_type="text/event-stream"
                )
                events = event(1)
            await stream.send(head + events)

        await entry.add_endpoint("runner-1", respond)
        await entry.add_endpoint("runner-2", respond)
        response = await entry.send_request("stream")
        assert (response.body, response.whole) == (WHOLE_STREAM + event(4), True)

    run_with_entry(body)
