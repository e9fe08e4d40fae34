"""A caller gets its own complete response, and "not run" only if that is confirmed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import anyio
import pytest
from anyio.abc import SocketStream

from bergamotchute_daemon.direct.routing_table import RoutingTable
from bergamotchute_model.identifiers import Address
from bergamotchute_platform.request_format import TEAM_HEADER
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
)


def test_a_response_is_forwarded_with_its_signature() -> None:
    async def body(path: EntryFixture) -> None:
        await path.add_endpoint("runner-1", respond_with(answer))
        response = await path.send_request("order")
        assert (response.status, response.body, response.whole) == (200, b"done", True)
        assert response.headers["bergamotchute-server-seal"] == "seal-runner-1"
        request = path.received_requests[0]
        assert (request.method, request.target) == ("POST", "/order/one?a=b")
        assert request.headers["bergamotchute-expect-instance"] == "runner-1"
        assert request.headers[TEAM_HEADER] == "team-1"
        assert "x-api-key" not in request.headers
        assert int(request.headers["bergamotchute-deadline-remaining"]) <= 1500

    run_with_entry(body)


def test_a_team_header_from_the_caller_is_replaced() -> None:
    async def body(path: EntryFixture) -> None:
        await path.add_endpoint("runner-1", respond_with(answer))
        await path.send_request("order", **{TEAM_HEADER: "another"})
        assert path.received_requests[0].headers[TEAM_HEADER] == "team-1"

    run_with_entry(body)


@pytest.mark.parametrize(
    ("route", "headers", "status"),
    [("elsewhere", {}, 404), ("order", {"x_api_key": "unknown"}, 401)],
)
def test_a_request_without_a_route_or_a_known_key_is_refused(
    route: str, headers: dict[str, str], status: int
) -> None:
    async def body(path: EntryFixture) -> None:
        await path.add_endpoint("runner-1", respond_with(answer))
        assert (await path.send_request(route, **headers)).status == status
        assert not path.received_requests

    run_with_entry(body)


def test_an_entry_without_a_configuration_refuses_with_503() -> None:
    async def body(path: EntryFixture) -> None:
        path.routing_table = None
        response = await path.send_request("order")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0

    run_with_entry(body)


def test_a_refused_connection_is_retried_at_another_endpoint() -> None:
    async def body(path: EntryFixture) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        gone = Address(*listener.extra(anyio.abc.SocketAttribute.local_address))
        await listener.aclose()
        path.announce("gone", gone)
        await path.add_endpoint("runner-1", respond_with(answer))
        path.placement.on_load_reported(path.endpoints[1], 3, anyio.current_time())
        assert (await path.send_request("order")).status == 200

    run_with_entry(body)


def test_a_request_that_the_endpoint_did_not_run_is_refused_with_503() -> None:
    async def body(path: EntryFixture) -> None:
        full = respond_with(lambda request: answer(request, 503, bergamotchute_not_executed="1"))
        await path.add_endpoint("runner-1", full)
        response = await path.send_request("order")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert len(path.received_requests) == 1

    run_with_entry(body)


async def _reset(_: ReceivedRequest, stream: SocketStream) -> None:
    await anyio.aclose_forcefully(stream)


@pytest.mark.parametrize(
    "script",
    [
        _reset,
        respond_with(lambda _: b"not HTTP at all\r\n\r\n"),
        respond_with(lambda request: answer(request, bergamotchute_request_id="another")),
        respond_with(lambda request: answer(request, bergamotchute_server_seal="")),
        respond_with(lambda request: answer(request, body=b"cut")[:-1]),
        respond_with(lambda request: answer(request, 503)),
    ],
    ids=[
        "reset",
        "garbage",
        "another request's response",
        "unsigned",
        "cut",
        "503 without a not-run confirmation",
    ],
)
def test_a_request_that_may_have_run_is_never_refused_with_503(script: object) -> None:
    async def body(path: EntryFixture) -> None:
        await path.add_endpoint("runner-1", script)  # type: ignore[arg-type]
        await path.add_endpoint("runner-2", script)  # type: ignore[arg-type]
        response = await path.send_request("order")
        assert response.status == 502
        assert "bergamotchute-server-seal" not in response.headers
        assert len(path.received_requests) == 1

    run_with_entry(body)


def test_extra_bytes_after_a_response_belong_to_no_request() -> None:
    async def body(path: EntryFixture) -> None:
        await path.add_endpoint("runner-1", respond_with(lambda request: answer(request) * 2))
        assert (await path.send_request("order")).body == b"done"
        assert (await path.send_request("order")).body == b"done"
        assert len(path.received_requests) == 2

    run_with_entry(body)


def test_an_idempotent_request_that_failed_is_retried_at_another_endpoint() -> None:
    async def body(path: EntryFixture) -> None:
        async def fail_first_request(request: ReceivedRequest, stream: SocketStream) -> None:
            status = 500 if len(path.received_requests) == 1 else 200
            await stream.send(answer(request, status))

        await path.add_endpoint("runner-1", fail_first_request)
        await path.add_endpoint("runner-2", fail_first_request)
        assert (await path.send_request("status", "GET")).status == 200
        assert len({request.endpoint for request in path.received_requests}) == 2

    run_with_entry(body)


def test_an_endpoint_that_answers_with_errors_gets_no_requests_for_a_while() -> None:
    """It answers faster than the others, so it would seem the least loaded and get the most.

    Load pattern: a tenth of the endpoints fails all requests while their health check is good.
    """

    async def body(path: EntryFixture) -> None:
        async def fail_at_first_endpoint(request: ReceivedRequest, stream: SocketStream) -> None:
            await stream.send(answer(request, 500 if request.endpoint == "runner-1" else 200))

        await path.add_endpoint("runner-1", fail_at_first_endpoint)
        await path.add_endpoint("runner-2", fail_at_first_endpoint)
        for _ in range(12):
            assert (await path.send_request("status", "GET")).status == 200
        failed = [each for each in path.received_requests if each.endpoint == "runner-1"]
        assert len(failed) <= 1

    run_with_entry(body)


def test_the_entries_together_keep_to_the_retry_budget() -> None:
    """Guards against parts of the budget that were meant for ten entries at 37 of them.

    Load pattern: so many attempts fail that each entry spends its whole part.
    """

    async def body(path: EntryFixture) -> None:
        async def fail(request: ReceivedRequest, stream: SocketStream) -> None:
            await stream.send(answer(request, 500))

        for number in range(3):
            await path.add_endpoint(f"runner-{number}", fail)
        path.retries.retry_capacity, path.retries.retry_ratio = 100.0, 0.0
        path.retries.set_entry_count(40)
        for _ in range(20):
            await path.send_request("status", "GET")
        # Each of 40 entries may send 2.5 retries: 100 together.
        assert len(path.received_requests) == 20 + 2
        # More entries were linked; the lower count comes from one that knows few.
        path.retries.set_entry_count(100)
        path.retries.set_entry_count(4)
        budget = next(iter(path.retries.retry_budgets.values()))
        assert budget.capacity == 1.0
        assert budget.available_retries <= 1.0

    run_with_entry(body)


def test_an_error_response_to_a_non_idempotent_request_is_forwarded() -> None:
    async def body(path: EntryFixture) -> None:
        await path.add_endpoint("runner-1", respond_with(lambda request: answer(request, 500)))
        response = await path.send_request("order")
        assert response.status == 500
        assert response.headers["bergamotchute-server-seal"] == "seal-runner-1"

    run_with_entry(body)


def test_a_request_without_a_response_ends_at_its_deadline() -> None:
    async def body(path: EntryFixture) -> None:
        async def stay_silent(_: ReceivedRequest, stream: SocketStream) -> None:
            await stream.receive()

        await path.add_endpoint("runner-1", stay_silent)
        response = await path.send_request("order", bergamotchute_deadline_remaining="200")
        assert response.status == 504

    run_with_entry(body)


def test_a_broken_stream_resumes_elsewhere_after_the_last_complete_event() -> None:
    async def body(path: EntryFixture) -> None:
        async def resume_or_break(request: ReceivedRequest, stream: SocketStream) -> None:
            last_event_id = int(request.headers.get("last-event-id", "0"))
            events = b"".join(event(number) for number in range(last_event_id + 1, 6))
            await stream.send(stream_head(request))
            if last_event_id:
                await stream.send(chunked(events) + b"0\r\n\r\n")
                return
            cut_at = len(event(1) + event(2)) + 5
            await stream.send(chunked(events[:cut_at]))
            await anyio.aclose_forcefully(stream)

        await path.add_endpoint("runner-1", resume_or_break)
        await path.add_endpoint("runner-2", resume_or_break)
        response = await path.send_request("stream")
        assert response.whole
        assert response.body == b"".join(event(number) for number in range(1, 6))
        assert path.received_requests[1].headers["last-event-id"] == "2"

    run_with_entry(body)


def test_a_stream_that_cannot_be_resumed_ends_incomplete() -> None:
    async def body(path: EntryFixture) -> None:
        async def send_one_event_and_reset(request: ReceivedRequest, stream: SocketStream) -> None:
            await stream.send(stream_head(request) + chunked(event(1)))
            await anyio.aclose_forcefully(stream)

        await path.add_endpoint("runner-1", send_one_event_and_reset)
        response = await path.send_request("stream")
        assert response.status == 200
        assert not response.whole

    run_with_entry(body)


def test_the_connection_to_the_endpoint_closes_when_the_caller_disconnects() -> None:
    async def body(path: EntryFixture) -> None:
        request_arrived, ended = anyio.Event(), anyio.Event()

        async def wait_for_close(_: ReceivedRequest, stream: SocketStream) -> None:
            request_arrived.set()
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await stream.receive()
            ended.set()

        await path.add_endpoint("runner-1", wait_for_close)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.send_request, "stream")
            await request_arrived.wait()
            tasks.cancel_scope.cancel()
        await ended.wait()

    run_with_entry(body)


def test_a_silent_endpoint_is_waited_for_if_no_other_is_available() -> None:
    """A rank group may stall for a second; a late stream is better than a failed one."""

    async def body(path: EntryFixture) -> None:
        async def respond_late(request: ReceivedRequest, stream: SocketStream) -> None:
            await anyio.sleep(1.1)
            await stream.send(stream_head(request) + chunked(event(1)) + b"0\r\n\r\n")

        await path.add_endpoint("runner-1", respond_late)
        response = await path.send_request("stream")
        assert response.whole
        assert response.body == event(1)
        assert len(path.received_requests) == 1

    run_with_entry(body)


def test_a_silent_endpoint_is_replaced_by_a_healthy_one() -> None:
    async def body(path: EntryFixture) -> None:
        async def stay_silent(_: ReceivedRequest, stream: SocketStream) -> None:
            await stream.receive()

        async def respond_at_once(request: ReceivedRequest, stream: SocketStream) -> None:
            await stream.send(stream_head(request) + chunked(event(1)) + b"0\r\n\r\n")

        await path.add_endpoint("runner-1", stay_silent)
        second = await path.add_endpoint("runner-2", respond_at_once)
        path.placement.on_load_reported(second, 3, anyio.current_time())
        response = await path.send_request("stream")
        assert response.body == event(1)
        assert [request.endpoint for request in path.received_requests] == ["runner-1", "runner-2"]

    run_with_entry(body)


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (503, {"bergamotchute_not_executed": "1"}),
        (429, {"bergamotchute_not_executed": "1"}),
        (421, {}),
    ],
)
@pytest.mark.parametrize("request_id", ["another", ""])
def test_refusal_of_another_request_proves_that_this_one_did_not_run(
    status: int, headers: dict[str, str], request_id: str
) -> None:
    async def body(entry: EntryFixture) -> None:
        refuse = respond_with(
            lambda request: answer(request, status, **headers, bergamotchute_request_id=request_id)
        )
        await entry.add_endpoint("runner-1", refuse)
        await entry.add_endpoint("runner-2", refuse)
        assert (await entry.send_request("order")).status == 502
        assert len(entry.received_requests) == 1

    run_with_entry(body)


def test_head_of_another_request_changes_what_is_known_of_an_endpoint() -> None:
    async def body(entry: EntryFixture) -> None:
        foreign = {
            "bergamotchute_request_id": "another",
            "bergamotchute_server_load": "40,9,6",
            "retry_after": "9",
            "server_leaving": "1",
        }
        script = respond_with(lambda request: answer(request, 503, **foreign))
        heartbeat = await entry.add_endpoint("runner-1", script)
        await entry.send_request("order")
        assert not entry.leaving_endpoints
        assert entry.placement.accepts_requests(heartbeat, anyio.current_time())
        assert entry.placement.load(heartbeat).reported_others == 0

    run_with_entry(body)


STREAM_START = event(1) + event(2)


def break_first_stream(
    entry: EntryFixture, second: Callable[[ReceivedRequest], bytes]
) -> EndpointScript:
    """Return a script that breaks off the first stream after two events.

    :param second: returns the response to the attempt that resumes it.
    """

    async def run(request: ReceivedRequest, stream: SocketStream) -> None:
        if len(entry.received_requests) == 1:
            await stream.send(stream_head(request) + chunked(STREAM_START))
            await anyio.aclose_forcefully(stream)
            return
        assert request.headers["last-event-id"] == "2"
        await stream.send(second(request))

    return run


@pytest.mark.parametrize(
    "second",
    [
        *(
            lambda request, status=status: answer(request, status, b"error: 1\n\nlost\n\n")
            for status in (200, 204, 206, 302, 400, 404, 408, 429, 500, 503, 504)
        ),
        lambda request: answer(request, 503, b"full\n\n", bergamotchute_not_executed="1"),
        lambda request: stream_head(request) + b"0\r\n\r\n",
        lambda request: stream_head(request) + chunked(b"id: 3\ndata: half") + b"0\r\n\r\n",
        lambda request: answer(request, body=event(3), content_type="application/json"),
    ],
    ids=[
        *(str(status) for status in (200, 204, 206, 302, 400, 404, 408, 429, 500, 503, 504)),
        "not run",
        "no event",
        "half an event",
        "another type",
    ],
)
def test_error_of_the_next_endpoint_ends_a_stream_that_has_begun(
    second: Callable[[ReceivedRequest], bytes],
) -> None:
    async def body(entry: EntryFixture) -> None:
        for name in ("runner-1", "runner-2", "runner-3"):
            await entry.add_endpoint(name, break_first_stream(entry, second))
        response = await entry.send_request("stream")
        assert response.status == 200
        assert response.body == STREAM_START
        assert not response.whole, "the caller must see that the stream broke off"

    run_with_entry(body)


def test_stream_goes_on_at_a_third_endpoint_after_an_error_of_the_second() -> None:
    async def body(entry: EntryFixture) -> None:
        async def run(request: ReceivedRequest, stream: SocketStream) -> None:
            match len(entry.received_requests):
                case 1:
                    await stream.send(stream_head(request) + chunked(STREAM_START))
                    await anyio.aclose_forcefully(stream)
                case 2:
                    await stream.send(answer(request, 404, b"no such stream"))
                case _:
                    await stream.send(stream_head(request) + chunked(event(3)) + b"0\r\n\r\n")

        for name in ("runner-1", "runner-2", "runner-3"):
            await entry.add_endpoint(name, run)
        assert entry.routing_table is not None
        routes = tuple(
            replace(route, max_endpoints=3) for route in entry.routing_table.configuration.routes
        )
        configuration = replace(entry.routing_table.configuration, routes=routes)
        entry.routing_table = RoutingTable(configuration)
        response = await entry.send_request("stream")
        assert response.whole
        assert response.body == STREAM_START + event(3)

    run_with_entry(body)
