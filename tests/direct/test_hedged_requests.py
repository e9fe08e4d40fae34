"""A request whose endpoint is slow goes to a second one, within limits, and one answer is used."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

import anyio
import pytest
from anyio.abc import SocketStream

from bergamotchute_daemon.direct.routing_table import RoutingTable
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.identifiers import Address
from bergamotchute_policy.hedging import MIN_KNOWN_TIMES, FirstAnswerTimes, HedgeLimit
from support.entry_fixture import (
    CONFIGURATION,
    EntryFixture,
    ReceivedRequest,
    add_agent,
    answer,
    chunked,
    event,
    run_with_entry,
    stream_head,
    wait_until,
)


@dataclass
class SlowEndpoint:
    """Sends all but the end of its answer, or of a stream's first event, then waits.

    :param wait_s: seconds before the rest.
    :param pause_s: seconds between the two events of a stream.
    :param status: the status of the response; 503 says that the request was not run.
    """

    wait_s: float = 0.0
    pause_s: float = 0.0
    status: int = 200

    async def run(self, request: ReceivedRequest, stream: SocketStream) -> None:
        name = request.endpoint.encode()
        refusal = {"bergamotchute_not_executed": "1"} if self.status == 503 else {}
        response, ending = answer(request, self.status, name, **refusal), b""
        if request.target.startswith("/stream"):
            response = stream_head(request) + chunked(event(1)[:-1])
            response += chunked(event(1)[-1:])
            ending = chunked(b"id: 2\ndata: " + name + b"\n\n") + b"0\r\n\r\n"
        await stream.send(response[:-3])
        for part, wait_s in ((response[-3:], self.wait_s), (ending, self.pause_s)):
            with anyio.move_on_after(wait_s):
                await stream.receive()
            await stream.send(part)


async def ask(
    entry: EntryFixture,
    route: str,
    first: SlowEndpoint,
    second: SlowEndpoint,
    occupied: int = 0,
) -> tuple[str, list[str]]:
    """Send a request to the first endpoint; return whose answer came, and who was asked.

    :param occupied: slots of the second endpoint that its agent knows to be taken.
    """
    preferred = await entry.add_endpoint("runner-1", first.run)
    other = await entry.add_endpoint("runner-2", second.run)
    agents = [await add_agent(entry, each, n) for n, each in enumerate((preferred, other))]
    agents[1].ledger.on_request_count(occupied)
    entry.placement.on_load_reported(other, 3, anyio.current_time())
    method = "GET" if route == "status" else "POST"
    response = await entry.send_request(route, method, bergamotchute_deadline_remaining="9000")
    assert (response.status, response.whole) == (200, True)
    await wait_until(lambda: [each.ledger.requests for each in agents] == [0, occupied])
    assert not entry.calls.held.held
    assert not any(entry.placement.load(each).in_flight for each in entry.endpoints)
    return response.body.decode().strip()[-8:], [e.endpoint for e in entry.received_requests]


def enable(entry: EntryFixture, share: float = 1.0) -> None:
    """Allow extra requests, with enough known times and a long timeout of each route."""
    routes = tuple(replace(each, timeout_s=9.0) for each in CONFIGURATION.routes)
    entry.routing_table = RoutingTable(replace(CONFIGURATION, routes=routes))
    entry.hedges.share = share
    entry.hedges.times = FirstAnswerTimes(share)
    for route in ("status", "stream", "order"):
        for _ in range(MIN_KNOWN_TIMES):
            entry.hedges.times.record((route, "model"), 0.03)


@pytest.mark.parametrize("route", ["status", "stream"])
@pytest.mark.parametrize("winner", ["runner-1", "runner-2"])
def test_slower_endpoint_keeps_its_slot_or_its_answer_is_used(
    route: str, winner: str, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)

    async def body(entry: EntryFixture) -> None:
        enable(entry)
        slow_s = (0.2, 5.0) if winner == "runner-1" else (5.0, 0.0)
        endpoints = [SlowEndpoint(each) for each in slow_s]
        assert await ask(entry, route, *endpoints) == (winner, ["runner-1", "runner-2"])
        await wait_until(lambda: bool(entry.closed_endpoints))
        assert winner not in entry.closed_endpoints
        results = [each.getMessage() for each in caplog.records if "hedge" in each.getMessage()]
        assert results == ["hedge_sent", "hedge_lost" if winner == "runner-1" else "hedge_won"]
        assert entry.hedges.gauges()["hedges_sent_total"] == 1.0

    run_with_entry(body)


@pytest.mark.parametrize("status", [500, 503])
@pytest.mark.parametrize("winner", ["runner-1", "runner-2"])
def test_refusal_of_one_endpoint_ends_the_send_to_the_other(winner: str, status: int) -> None:
    async def body(entry: EntryFixture) -> None:
        enable(entry)
        endpoints = [SlowEndpoint(0.3), SlowEndpoint(status=status)]
        if winner == "runner-2":
            endpoints = [SlowEndpoint(0.2, status=status), SlowEndpoint(0.3)]
        assert await ask(entry, "status", *endpoints) == (winner, ["runner-1", "runner-2"])

    run_with_entry(body)


def test_takeover_asks_a_third_endpoint_or_connections_outlast_the_deadline() -> None:
    """The route allows two endpoints; both are silent for longer than the timeout of takeovers."""

    async def body(entry: EntryFixture) -> None:
        enable(entry)
        for number in (1, 2, 3):
            await entry.add_endpoint(f"runner-{number}", SlowEndpoint(5.0).run)
        assert (await entry.send_request("status", "GET")).status == 504
        await wait_until(lambda: len(entry.closed_endpoints) == 2)
        assert len(entry.received_requests) == 2

    run_with_entry(body)


def allow_two_endpoints(entry: EntryFixture) -> None:
    """Let nothing but the kind of the route keep an order from a second endpoint."""
    routes = tuple(replace(each, max_endpoints=2, timeout_s=9.0) for each in CONFIGURATION.routes)
    entry.routing_table = RoutingTable(replace(CONFIGURATION, routes=routes))


def use_up_limit(entry: EntryFixture) -> None:
    enable(entry, 0.01)
    entry.hedges.limits["model"] = HedgeLimit(0.01)
    entry.hedges.limits["model"].on_sent(anyio.current_time())


def use_up_retries(entry: EntryFixture) -> None:
    entry.retries.retry_capacity, entry.retries.retry_ratio = 0.0, 0.0


def forget_times(entry: EntryFixture) -> None:
    entry.hedges.times = FirstAnswerTimes(1.0)


def disable(entry: EntryFixture) -> None:
    entry.hedges.share = 0.0


def cool_second_endpoint(entry: EntryFixture) -> None:
    """Let the second endpoint be cold, for a service that names no rate for cold endpoints."""
    limits = entry.forwarder.rate_permits.cold_limits
    announce = entry.announce

    def announce_cold(name: str, address: Address) -> EndpointHeartbeat:
        heartbeat = announce(name, address)
        if name == "runner-2":
            limits.table.on_heartbeat(replace(heartbeat, cold_left_s=9.0), anyio.current_time())
        return heartbeat

    entry.announce = announce_cold  # type: ignore[method-assign]


@pytest.mark.parametrize(
    ("route", "first", "prevent", "occupied"),
    [
        ("order", SlowEndpoint(0.2), allow_two_endpoints, 0),
        ("stream", SlowEndpoint(pause_s=0.2), enable, 0),
        ("status", SlowEndpoint(0.2), disable, 0),
        ("status", SlowEndpoint(0.2), forget_times, 0),
        ("status", SlowEndpoint(0.2), use_up_limit, 0),
        ("status", SlowEndpoint(0.2), use_up_retries, 0),
        ("status", SlowEndpoint(0.2), enable, 6),
        ("status", SlowEndpoint(0.2), cool_second_endpoint, 0),
    ],
)
def test_request_that_may_not_be_sent_twice_is(
    route: str, first: SlowEndpoint, prevent: Callable[[EntryFixture], None], occupied: int
) -> None:
    """Orders, streams after their first event, without a limit that is left, a slot or a warm endpoint."""

    async def body(entry: EntryFixture) -> None:
        enable(entry)
        prevent(entry)
        outcome = await ask(entry, route, first, SlowEndpoint(), occupied)
        assert outcome == ("runner-1", ["runner-1"])

    run_with_entry(body)
