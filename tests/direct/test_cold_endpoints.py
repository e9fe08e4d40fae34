"""A cold endpoint must not get more requests in a second than its service allows."""

from __future__ import annotations

from dataclasses import replace

import anyio

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.versioned_configuration import ServiceRule
from support.entry_fixture import (
    CallerResponse,
    EntryFixture,
    ReceivedRequest,
    add_agent,
    answer,
    respond_with,
    run_with_entry,
)

RULE = ServiceRule("model", 100, cold_s=3.0, cold_per_s=4.0)
MOST_PER_S = 11
REQUEST_COUNT = 40


def set_cold(entry: EntryFixture, endpoint: EndpointHeartbeat, cold_left_s: float) -> None:
    limits = entry.forwarder.rate_permits.cold_limits
    limits.excess, limits.slack = 1.5, 5.0
    limits.set_services((RULE,))
    heartbeat = replace(endpoint, cold_left_s=cold_left_s)
    limits.table.on_heartbeat(heartbeat, anyio.current_time())


async def send_requests(entry: EntryFixture, count: int = REQUEST_COUNT) -> list[CallerResponse]:
    return [
        await entry.send_request("order", bergamotchute_request_id=f"request-{number}")
        for number in range(count)
    ]


def arrivals(entry: EntryFixture, endpoint: str) -> list[ReceivedRequest]:
    return [each for each in entry.received_requests if each.endpoint == endpoint]


def test_requests_beyond_the_rate_of_a_cold_endpoint_go_to_warm_ones() -> None:
    async def body(entry: EntryFixture) -> None:
        cold = await entry.add_endpoint("runner-1", respond_with(answer))
        await entry.add_endpoint("runner-2", respond_with(answer))
        set_cold(entry, cold, 10.0)
        began = anyio.current_time()
        responses = await send_requests(entry)
        assert all(each.status == 200 for each in responses)
        # Without a control VM an entry sends one request in any second.
        assert 1 <= len(arrivals(entry, "runner-1")) <= 1 + (anyio.current_time() - began)

    run_with_entry(body)


def test_endpoint_that_is_warm_again_has_no_limit() -> None:
    async def body(entry: EntryFixture) -> None:
        cold = await entry.add_endpoint("runner-1", respond_with(answer))
        set_cold(entry, cold, 0.3)
        responses = await send_requests(entry, 4)
        assert [each.status for each in responses[1:]] == [503, 503, 503]
        await anyio.sleep(0.35)
        assert entry.forwarder.rate_permits.requests_per_s(cold) == float("inf")
        assert all(each.status == 200 for each in await send_requests(entry))

    run_with_entry(body)


def test_agent_keeps_the_bound_while_an_entry_does_not_know_that_the_endpoint_is_cold() -> None:
    async def body(entry: EntryFixture) -> None:
        unknown = await entry.add_endpoint("runner-1", respond_with(answer))
        agent = await add_agent(entry, unknown, 1)
        set_cold(entry, unknown, 0.0)
        with anyio.fail_after(10):
            began = anyio.current_time()
            responses = await send_requests(entry)
            elapsed_s = anyio.current_time() - began
        sent = len(arrivals(entry, "runner-1"))
        assert MOST_PER_S <= sent <= MOST_PER_S * (1 + elapsed_s)
        assert agent.rate.refused_count
        refused = [each for each in responses if each.status != 200]
        assert {each.status for each in refused} == {503}
        assert all(float(each.headers["retry-after"]) > 0 for each in refused)

    run_with_entry(body)
