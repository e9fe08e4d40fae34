"""An entry keeps to the rate that an endpoint names, with no control VM to grant permits."""

from __future__ import annotations

import anyio

from bergamotchute_model.rate_limits import EndpointRateLimit, RateLimitsReported
from support.entry_fixture import (
    CallerResponse,
    EntryFixture,
    ReceivedRequest,
    answer,
    respond_with,
    run_with_entry,
)

ALLOWED_RATIO = 1.5
ALLOWED_REQUESTS = 5
REQUEST_COUNT = 30


def name_limit(limit: str) -> dict[str, str]:
    return {"server_limit": limit}


async def send_requests(entry: EntryFixture, count: int = REQUEST_COUNT) -> list[CallerResponse]:
    return [
        await entry.send_request("order", bergamotchute_request_id=f"request-{number}")
        for number in range(count)
    ]


def count_arrivals(entry: EntryFixture, endpoint: str) -> int:
    return sum(each.endpoint == endpoint for each in entry.received_requests)


def test_endpoint_gets_more_requests_than_the_limit_that_it_named() -> None:
    async def body(entry: EntryFixture) -> None:
        await entry.add_endpoint(
            "runner-1", respond_with(lambda request: answer(request, **name_limit("1")))
        )
        began = anyio.current_time()
        responses = await send_requests(entry)
        elapsed_s = anyio.current_time() - began
        allowed = ALLOWED_RATIO * elapsed_s + ALLOWED_REQUESTS
        assert len(entry.received_requests) <= allowed
        refused = [each for each in responses if each.status == 503]
        assert len(refused) == REQUEST_COUNT - len(entry.received_requests)
        assert all(float(each.headers["retry-after"]) > 0.1 for each in refused)

    run_with_entry(body)


def test_requests_beyond_a_limit_go_to_other_endpoints() -> None:
    async def body(entry: EntryFixture) -> None:
        await entry.add_endpoint(
            "runner-1", respond_with(lambda request: answer(request, **name_limit("0.3")))
        )
        await entry.add_endpoint("runner-2", respond_with(answer))
        responses = await send_requests(entry)
        assert all(each.status == 200 for each in responses)
        assert count_arrivals(entry, "runner-1") <= ALLOWED_REQUESTS

    run_with_entry(body)


def test_limit_is_reported_once_and_ends_with_a_response_that_names_none() -> None:
    async def body(entry: EntryFixture) -> None:
        limits = iter(["50", "50", ""])

        def respond(request: ReceivedRequest) -> bytes:
            return answer(request, **name_limit(next(limits, "")))

        heartbeat = await entry.add_endpoint("runner-1", respond_with(respond))
        await send_requests(entry, 4)
        permits = entry.forwarder.rate_permits
        assert permits.requests_per_s(heartbeat) == float("inf")
        told = [limit.requests_per_s for each in entry.posted_limits for limit in each.limits]
        assert told == [50.0, None]

    run_with_entry(body)


def test_unreadable_limit_and_that_of_another_request_change_nothing() -> None:
    async def body(entry: EntryFixture) -> None:
        limits = iter(["50", "many"])

        def respond(request: ReceivedRequest) -> bytes:
            if (limit := next(limits, None)) is not None:
                return answer(request, **name_limit(limit))
            foreign = {"bergamotchute_request_id": "request-99"}
            return answer(request, **name_limit("0.5"), **foreign)

        heartbeat = await entry.add_endpoint("runner-1", respond_with(respond))
        await send_requests(entry, 3)
        assert entry.forwarder.rate_permits.requests_per_s(heartbeat) == 50.0

    run_with_entry(body)


def test_limit_told_by_another_entry_holds_for_the_first_request() -> None:
    async def body(entry: EntryFixture) -> None:
        heartbeat = await entry.add_endpoint("runner-1", respond_with(answer))
        permits = entry.forwarder.rate_permits
        limit = EndpointRateLimit(heartbeat.endpoint, heartbeat.born_ms, 0.4, age_s=0.2)
        permits.on_message(RateLimitsReported((limit,)))
        assert permits.requests_per_s(heartbeat) == 0.4
        assert not entry.posted_limits, "it is passed on by control VMs alone"

    run_with_entry(body)
