"""An entry holds links to a bounded part of many endpoints, and can still ask any of them."""

from __future__ import annotations

import anyio

from bergamotchute_daemon.endpoint_directory import REAP_INTERVAL_S
from bergamotchute_daemon.watched_endpoint_selector import (
    INITIAL_WATCHED_COUNT,
    WatchedEndpointSelector,
)
from bergamotchute_model.attempt_messages import AttemptState
from bergamotchute_model.identifiers import Address, AttemptId
from bergamotchute_model.membership import EndpointAnnouncement
from bergamotchute_policy.watched_subset import MAX_WATCHED_COUNT, RingPosition
from support.request_path import RequestPath, ScriptedEndpoint, run_request_path

ENDPOINTS = 70


def announcements(count: int) -> list[EndpointAnnouncement]:
    address = Address("10.0.0.1", 1)
    return [
        EndpointAnnouncement(f"runner-{n}", "1", 1, "vm", "a", address, ("drafting",), 4)
        for n in range(count)
    ]


async def start_many(path: RequestPath) -> None:
    for number in range(ENDPOINTS):
        await path.add_agent(f"runner-{number}", ScriptedEndpoint())
    await anyio.sleep(2 * REAP_INTERVAL_S)


def test_all_are_watched_while_they_are_few() -> None:
    watch = WatchedEndpointSelector(lambda _: 0.0)
    assert len(watch.select_endpoints(announcements(MAX_WATCHED_COUNT))) == MAX_WATCHED_COUNT
    assert (
        len(watch.select_endpoints(announcements(MAX_WATCHED_COUNT + 1))) == INITIAL_WATCHED_COUNT
    )


def test_the_watched_grow_with_demand() -> None:
    busy = 0.95
    watch = WatchedEndpointSelector(lambda _: busy)
    watch.select_endpoints(announcements(ENDPOINTS))
    watch.adapt_watched_counts()
    assert len(watch.select_endpoints(announcements(ENDPOINTS))) == MAX_WATCHED_COUNT


def test_links_are_bounded_and_drafts_run_on_them() -> None:
    async def body(path: RequestPath) -> None:
        await start_many(path)
        linked = [one for one in path.directory.connections.values() if one.connector.link]
        assert 0 < len(linked) <= INITIAL_WATCHED_COUNT
        exchange = path.draft("r1")
        await path.request_runner.run_idempotent(exchange)
        assert exchange.answer.ended

    run_request_path(body)


def test_another_place_watches_other_endpoints_and_cuts_nothing_off() -> None:
    async def body(path: RequestPath) -> None:
        await start_many(path)
        before = path.directory.watched_endpoints
        exchange = path.draft("r1")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.request_runner.run_idempotent, exchange)
            await anyio.sleep(0.1)
            path.directory.on_ring_position(RingPosition("milano-a", 5, 10))
        assert before != path.directory.watched_endpoints
        assert exchange.answer.ended
        assert exchange.attempts == 1
        await anyio.sleep(2 * REAP_INTERVAL_S)
        linked = {name for name, _ in path.directory.connections}
        assert linked == path.directory.watched_endpoints

    run_request_path(body)


def test_an_endpoint_that_is_not_watched_can_be_asked() -> None:
    async def body(path: RequestPath) -> None:
        await start_many(path)
        unwatched = sorted(path.agents.keys() - path.directory.watched_endpoints)[0]
        attempt = AttemptId("r0", 1, unwatched, "1", "entry-9", 1)
        report = await path.directory.query_attempt_state(attempt, 3.0)
        assert report is not None
        assert report.state is AttemptState.BARRED
        assert unwatched not in path.scheduling.scheduler("drafting").endpoint_tracker.records
        await anyio.sleep(2 * REAP_INTERVAL_S)
        assert (unwatched, "1") not in path.directory.connections

    run_request_path(body)
