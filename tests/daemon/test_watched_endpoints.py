"""Tests that an entry links to a bounded subset of endpoints and can still query any of them."""

from __future__ import annotations

import anyio

from bergamotchute_daemon.endpoint_directory import REAP_S
from bergamotchute_daemon.endpoint_watch import FIRST_WATCHED, EndpointWatch
from bergamotchute_model.attempt_messages import AttemptState
from bergamotchute_model.identifiers import Address, AttemptId
from bergamotchute_model.membership import EndpointAnnouncement
from bergamotchute_policy.watched_subset import MAX_WATCHED_COUNT, RingPosition
from support.request_path import RequestPath, ScriptedEndpoint, run_path

ENDPOINT_COUNT = 70


def create_announcements(count: int) -> list[EndpointAnnouncement]:
    address = Address("10.0.0.1", 1)
    return [
        EndpointAnnouncement(f"runner-{number}", "1", 1, "vm", "a", address, ("drafting",), 4)
        for number in range(count)
    ]


async def start_endpoints(path: RequestPath) -> None:
    for number in range(ENDPOINT_COUNT):
        await path.add_agent(f"runner-{number}", ScriptedEndpoint())
    await anyio.sleep(2 * REAP_S)


def test_all_endpoints_are_watched_while_there_are_few() -> None:
    watch = EndpointWatch(lambda _: 0.0)
    assert len(watch.choose(create_announcements(MAX_WATCHED_COUNT))) == MAX_WATCHED_COUNT
    assert len(watch.choose(create_announcements(MAX_WATCHED_COUNT + 1))) == FIRST_WATCHED


def test_the_watched_subset_grows_with_demand() -> None:
    busy = 0.95
    watch = EndpointWatch(lambda _: busy)
    watch.choose(create_announcements(ENDPOINT_COUNT))
    watch.adapt()
    assert len(watch.choose(create_announcements(ENDPOINT_COUNT))) == MAX_WATCHED_COUNT


def test_the_number_of_links_is_bounded_and_requests_use_them() -> None:
    async def body(path: RequestPath) -> None:
        await start_endpoints(path)
        linked = [
            connection
            for connection in path.directory.connections.values()
            if connection.connector.link
        ]
        assert 0 < len(linked) <= FIRST_WATCHED
        exchange = path.draft("r1")
        await path.runner.run_idempotent(exchange)
        assert exchange.answer.ended

    run_path(body)


def test_a_new_ring_position_changes_the_subset_without_interrupting_requests() -> None:
    async def body(path: RequestPath) -> None:
        await start_endpoints(path)
        previous_subset = path.directory.watched
        exchange = path.draft("r1")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.runner.run_idempotent, exchange)
            await anyio.sleep(0.1)
            path.directory.on_place(RingPosition("milano-a", 5, 10))
        assert previous_subset != path.directory.watched
        assert exchange.answer.ended
        assert exchange.attempts == 1
        await anyio.sleep(2 * REAP_S)
        linked = {name for name, _ in path.directory.connections}
        assert linked == path.directory.watched

    run_path(body)


def test_an_unwatched_endpoint_can_be_queried() -> None:
    async def body(path: RequestPath) -> None:
        await start_endpoints(path)
        unwatched = sorted(path.agents.keys() - path.directory.watched)[0]
        attempt = AttemptId("r0", 1, unwatched, "1", "entry-9", 1)
        report = await path.directory.query(attempt, 3.0)
        assert report is not None
        assert report.state is AttemptState.BARRED
        assert unwatched not in path.scheduling.scheduler("drafting").endpoint_tracker.records
        await anyio.sleep(2 * REAP_S)
        assert (unwatched, "1") not in path.directory.connections

    run_path(body)
