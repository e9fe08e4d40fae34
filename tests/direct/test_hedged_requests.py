"""A request whose endpoint is slow goes to a second one, within limits, and one answer is used."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import pytest
from anyio.abc import SocketStream

from bergamotchute_policy.hedging import MIN_KNOWN_TIMES, FirstAnswerTimes, HedgeLimit
from support.entry_fixture import (
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
    entry: EntryFixture, route: str, first: SlowEndpoint, second: SlowEndpoint
) -> tuple[str, list[str]]:
    """Send a request to the first endpoint; return whose answer came, and who was asked."""
    preferred = await entry.add_endpoint("runner-1", first.run)
    other = await entry.add_endpoint("runner-2", second.run)
    agents = [await add_agent(entry, each, n) for n, each in enumerate((preferred, other))]
    if not entry.placement.load(other).reported_others:
        entry.placement.on_load_reported(other, 3, anyio.current_time())
    response = await entry.send_request(route, "GET" if route == "status" else "POST")
    assert (response.status, response.whole) == (200, True)
    await wait_until(lambda: not any(each.ledger.requests for each in agents))
    assert not entry.calls.held.held
    assert not any(entry.placement.load(each).in_flight for each in entry.endpoints)
    return response.body.decode().strip()[-8:], [e.endpoint for e in entry.received_requests]


def enable(entry: EntryFixture, share: float = 1.0) -> None:
    """Allow extra requests, with enough known times of each route."""
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
def test_refusal_of_one_endpoint_ends_the_send_to_the_other(status: int) -> None:
    async def body(entry: EntryFixture) -> None:
        enable(entry)
        both = ["runner-1", "runner-2"]
        refusing = SlowEndpoint(status=status)
        assert await ask(entry, "status", SlowEndpoint(0.3), refusing) == ("runner-1", both)

    async def body_of_first(entry: EntryFixture) -> None:
        enable(entry)
        both = ["runner-1", "runner-2"]
        refusing = SlowEndpoint(0.2, status=status)
        assert await ask(entry, "status", refusing, SlowEndpoint(0.3)) == ("runner-2", both)

    run_with_entry(body)
    run_with_entry(body_of_first)


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


@pytest.mark.parametrize(
    ("route", "first", "prevent"),
    [
        ("order", SlowEndpoint(0.2), enable),
        ("stream", SlowEndpoint(pause_s=0.2), enable),
        ("status", SlowEndpoint(0.2), disable),
        ("status", SlowEndpoint(0.2), forget_times),
        ("status", SlowEndpoint(0.2), use_up_limit),
        ("status", SlowEndpoint(0.2), use_up_retries),
    ],
)
def test_request_that_may_not_be_sent_twice_is(
    route: str, first: SlowEndpoint, prevent: Callable[[EntryFixture], None]
) -> None:
    """Orders, streams after their first event, and requests without a limit that is left."""

    async def body(entry: EntryFixture) -> None:
        enable(entry)
        prevent(entry)
        assert await ask(entry, route, first, SlowEndpoint()) == ("runner-1", ["runner-1"])

    run_with_entry(body)
