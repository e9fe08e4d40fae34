"""A caller gets its own whole answer, and "not run" only where that is proved."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketStream

from bergamotchute_model.identifiers import Address
from bergamotchute_platform.request_format import TEAM
from support.direct_path import (
    Arrival,
    DirectPath,
    answer,
    chunked,
    event,
    run_direct,
    says,
    stream_head,
)


def test_an_answer_is_passed_on_with_its_signature() -> None:
    async def body(path: DirectPath) -> None:
        await path.add_endpoint("desk-1", says(answer))
        got = await path.ask("order")
        assert (got.status, got.body, got.whole) == (200, b"done", True)
        assert got.headers["bergamotchute-server-seal"] == "seal-desk-1"
        arrival = path.arrivals[0]
        assert (arrival.method, arrival.target) == ("POST", "/order/one?a=b")
        assert arrival.headers["bergamotchute-expect-instance"] == "desk-1"
        assert arrival.headers[TEAM] == "parish"
        assert "x-api-key" not in arrival.headers
        assert int(arrival.headers["bergamotchute-deadline-remaining"]) <= 1500

    run_direct(body)


def test_the_callers_own_word_on_its_team_is_replaced() -> None:
    async def body(path: DirectPath) -> None:
        await path.add_endpoint("desk-1", says(answer))
        await path.ask("order", **{TEAM: "another"})
        assert path.arrivals[0].headers[TEAM] == "parish"

    run_direct(body)


@pytest.mark.parametrize(
    ("route", "headers", "status"),
    [("elsewhere", {}, 404), ("order", {"x_api_key": "unknown"}, 401)],
)
def test_what_no_configuration_allows_is_refused(
    route: str, headers: dict[str, str], status: int
) -> None:
    async def body(path: DirectPath) -> None:
        await path.add_endpoint("desk-1", says(answer))
        assert (await path.ask(route, **headers)).status == status
        assert not path.arrivals

    run_direct(body)


def test_an_entry_without_a_configuration_says_not_run() -> None:
    async def body(path: DirectPath) -> None:
        path.table = None
        got = await path.ask("order")
        assert got.status == 503
        assert float(got.headers["retry-after"]) > 0

    run_direct(body)


def test_a_refused_connection_leads_to_another_endpoint() -> None:
    async def body(path: DirectPath) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        gone = Address(*listener.extra(anyio.abc.SocketAttribute.local_address))
        await listener.aclose()
        path.announce("gone", gone)
        await path.add_endpoint("desk-1", says(answer))
        path.placement.on_told(path.endpoints[1], 3, anyio.current_time())
        assert (await path.ask("order")).status == 200

    run_direct(body)


def test_an_order_that_an_endpoint_did_not_run_is_refused_as_not_run() -> None:
    async def body(path: DirectPath) -> None:
        full = says(lambda arrival: answer(arrival, 503, bergamotchute_not_executed="1"))
        await path.add_endpoint("desk-1", full)
        got = await path.ask("order")
        assert got.status == 503
        assert float(got.headers["retry-after"]) > 0
        assert len(path.arrivals) == 1

    run_direct(body)


async def _reset(_: Arrival, stream: SocketStream) -> None:
    await anyio.aclose_forcefully(stream)


@pytest.mark.parametrize(
    "script",
    [
        _reset,
        says(lambda _: b"not HTTP at all\r\n\r\n"),
        says(lambda arrival: answer(arrival, bergamotchute_request_id="another")),
        says(lambda arrival: answer(arrival, bergamotchute_server_seal="")),
        says(lambda arrival: answer(arrival, body=b"cut")[:-1]),
        says(lambda arrival: answer(arrival, 503)),
    ],
    ids=["reset", "garbage", "another's answer", "unsigned", "cut", "503 without a promise"],
)
def test_an_order_that_may_have_run_is_never_refused_as_not_run(script: object) -> None:
    async def body(path: DirectPath) -> None:
        await path.add_endpoint("desk-1", script)  # type: ignore[arg-type]
        await path.add_endpoint("desk-2", script)  # type: ignore[arg-type]
        got = await path.ask("order")
        assert got.status == 502
        assert "bergamotchute-server-seal" not in got.headers
        assert len(path.arrivals) == 1

    run_direct(body)


def test_bytes_behind_an_answer_belong_to_no_request() -> None:
    async def body(path: DirectPath) -> None:
        await path.add_endpoint("desk-1", says(lambda arrival: answer(arrival) * 2))
        assert (await path.ask("order")).body == b"done"
        assert (await path.ask("order")).body == b"done"
        assert len(path.arrivals) == 2

    run_direct(body)


def test_a_status_check_that_failed_is_tried_elsewhere() -> None:
    async def body(path: DirectPath) -> None:
        async def fails_first(arrival: Arrival, stream: SocketStream) -> None:
            status = 500 if len(path.arrivals) == 1 else 200
            await stream.send(answer(arrival, status))

        await path.add_endpoint("desk-1", fails_first)
        await path.add_endpoint("desk-2", fails_first)
        assert (await path.ask("status", "GET")).status == 200
        assert len({arrival.endpoint for arrival in path.arrivals}) == 2

    run_direct(body)


def test_an_order_that_failed_at_its_endpoint_is_passed_on() -> None:
    async def body(path: DirectPath) -> None:
        await path.add_endpoint("desk-1", says(lambda arrival: answer(arrival, 500)))
        got = await path.ask("order")
        assert got.status == 500
        assert got.headers["bergamotchute-server-seal"] == "seal-desk-1"

    run_direct(body)


def test_an_order_without_an_answer_ends_with_its_time() -> None:
    async def body(path: DirectPath) -> None:
        async def silent(_: Arrival, stream: SocketStream) -> None:
            await stream.receive()

        await path.add_endpoint("desk-1", silent)
        got = await path.ask("order", bergamotchute_deadline_remaining="200")
        assert got.status == 504

    run_direct(body)


def test_a_draft_goes_on_elsewhere_at_the_border_of_an_event() -> None:
    async def body(path: DirectPath) -> None:
        async def draft(arrival: Arrival, stream: SocketStream) -> None:
            begun = int(arrival.headers.get("last-event-id", "0"))
            events = b"".join(event(number) for number in range(begun + 1, 6))
            await stream.send(stream_head(arrival))
            if begun:
                await stream.send(chunked(events) + b"0\r\n\r\n")
                return
            cut = len(event(1) + event(2)) + 5
            await stream.send(chunked(events[:cut]))
            await anyio.aclose_forcefully(stream)

        await path.add_endpoint("runner-1", draft)
        await path.add_endpoint("runner-2", draft)
        got = await path.ask("draft")
        assert got.whole
        assert got.body == b"".join(event(number) for number in range(1, 6))
        assert path.arrivals[1].headers["last-event-id"] == "2"

    run_direct(body)


def test_a_draft_that_can_not_go_on_does_not_look_complete() -> None:
    async def body(path: DirectPath) -> None:
        async def breaks(arrival: Arrival, stream: SocketStream) -> None:
            await stream.send(stream_head(arrival) + chunked(event(1)))
            await anyio.aclose_forcefully(stream)

        await path.add_endpoint("runner-1", breaks)
        got = await path.ask("draft")
        assert got.status == 200
        assert not got.whole

    run_direct(body)


def test_an_endpoint_stops_when_the_caller_has_left() -> None:
    async def body(path: DirectPath) -> None:
        reached, ended = anyio.Event(), anyio.Event()

        async def waits(_: Arrival, stream: SocketStream) -> None:
            reached.set()
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await stream.receive()
            ended.set()

        await path.add_endpoint("runner-1", waits)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.ask, "draft")
            await reached.wait()
            tasks.cancel_scope.cancel()
        await ended.wait()

    run_direct(body)


def test_a_silent_runner_is_waited_for_where_no_other_may_help() -> None:
    """Load pattern: a group stands still for a second; a draft that is late is still of use."""

    async def body(path: DirectPath) -> None:
        async def late(arrival: Arrival, stream: SocketStream) -> None:
            await anyio.sleep(1.1)
            await stream.send(stream_head(arrival) + chunked(event(1)) + b"0\r\n\r\n")

        await path.add_endpoint("runner-1", late)
        got = await path.ask("draft")
        assert got.whole
        assert got.body == event(1)
        assert len(path.arrivals) == 1

    run_direct(body)


def test_a_silent_runner_is_left_for_one_that_is_sound() -> None:
    async def body(path: DirectPath) -> None:
        async def silent(_: Arrival, stream: SocketStream) -> None:
            await stream.receive()

        async def quick(arrival: Arrival, stream: SocketStream) -> None:
            await stream.send(stream_head(arrival) + chunked(event(1)) + b"0\r\n\r\n")

        await path.add_endpoint("runner-1", silent)
        second = await path.add_endpoint("runner-2", quick)
        path.placement.on_told(second, 3, anyio.current_time())
        got = await path.ask("draft")
        assert got.body == event(1)
        assert [arrival.endpoint for arrival in path.arrivals] == ["runner-1", "runner-2"]

    run_direct(body)
