"""Entries share the rate of an endpoint by permits of the control VMs."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import anyio

from bergamotchute_daemon.control_links import ControlLinks
from bergamotchute_daemon.direct.rate_permits import RatePermits
from bergamotchute_daemon.direct.request_format import ResponseMetadata
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.link_set import LinkSet
from bergamotchute_daemon.node_runner import NODES_PATH
from bergamotchute_daemon.rate_limit_log import RateLimitLog
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import EntryState, NodeMessage
from bergamotchute_model.rate_limits import PermitAnswer, RateLimitsReported
from bergamotchute_policy.permit_schedule import choose_permit_host
from bergamotchute_policy.rate_limit_table import UNLIMITED
from support.control_group import PORT, SEED_COUNT, ControlGroup, heartbeat, host, run_control

ENDPOINT = heartbeat(1)
ENTRY_COUNT = 12
WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_REQUESTS = 5


class Entry:
    """An entry that asks for permits, without callers and endpoints."""

    def __init__(self, group: ControlGroup, number: int) -> None:
        name = f"entry-{number}"
        self.state = EntryState(
            name, Address(f"10.2.0.{number}", 80), "north", True, accepts_rate_limits=True
        )
        log = EventLog(name, "entry", "incarnation", lambda: 0)
        random = Random(name)
        dial = group.network.dial(name, NODES_PATH)
        self.links = ControlLinks(
            name=name,
            seeds=tuple(Address(host(number), PORT) for number in range(SEED_COUNT)),
            links=LinkSet(dial, random, log, lambda: (self.state,)),
            on_message=lambda _, message: self._on_message(message),
        )
        self.permits = RatePermits(
            limits=RateLimitLog(log),
            post_request=self.links.post_permit_request,
            post_limits=lambda report: self.links.post_to_all_that(
                lambda each: each.accepts_rate_limits, report
            ),
            entry_count=lambda: ENTRY_COUNT,
            random=random,
            log=log,
        )
        self.random = random
        group.tasks.start_soon(self.links.run)

    def _on_message(self, message: NodeMessage) -> None:
        if isinstance(message, RateLimitsReported | PermitAnswer):
            self.permits.on_message(message)

    def read_response(self, limit: float, sent_at: float | None = None) -> None:
        """Read the limit of a response."""
        metadata = ResponseMetadata("request-1", True, False, False, None, rate_limit=limit)
        sent_at = anyio.current_time() if sent_at is None else sent_at
        self.permits.on_response(ENDPOINT, metadata, sent_at)

    async def send_load(self, requests_per_s: float, duration_s: float, sent: list[float]) -> None:
        """Send requests at random times where permits are granted."""
        ends_at = anyio.current_time() + duration_s
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < ends_at:
                tasks.start_soon(self._send, sent)
                await anyio.sleep(self.random.expovariate(requests_per_s))

    async def _send(self, sent: list[float]) -> None:
        if (await self.permits.acquire(ENDPOINT, "request-1", 0.2)).granted:
            sent.append(anyio.current_time())


async def start_entries(group: ControlGroup, count: int = ENTRY_COUNT) -> list[Entry]:
    await group.found()
    entries = [Entry(group, number) for number in range(count)]
    await group.wait_until(lambda: all(len(each.links.control_groups) == 3 for each in entries))
    return entries


async def send_load_of_all(entries: list[Entry], duration_s: float) -> list[float]:
    sent: list[float] = []
    async with anyio.create_task_group() as tasks:
        for entry in entries:
            tasks.start_soon(entry.send_load, 2.0, duration_s, sent)
    return sorted(sent)


def assert_within_rate(sent: list[float], limit: float) -> None:
    most = max(sum(begin <= each < begin + WINDOW_S for each in sent) for begin in sent)
    assert most <= ALLOWED_RATIO * WINDOW_S * limit + ALLOWED_REQUESTS


def host_number(group: ControlGroup, endpoint: EndpointHeartbeat = ENDPOINT) -> int:
    """Return the number of the control VM that holds the schedule of an endpoint."""
    numbers = {Address(host(number), PORT): number for number in group.processes}
    chosen = choose_permit_host(endpoint.endpoint, numbers)
    assert chosen is not None
    return numbers[chosen]


def test_all_entries_together_keep_the_rate_of_an_endpoint() -> None:
    async def body(group: ControlGroup) -> None:
        entries = await start_entries(group)
        entries[0].read_response(1.0)
        await anyio.sleep(0.1)
        assert all(each.permits.requests_per_s(ENDPOINT) == 1.0 for each in entries)
        sent = await send_load_of_all(entries, 20.0)
        assert_within_rate(sent, 1.0)
        assert len(sent) >= 18, "the rate is used"
        granted = [each.node_hub.permits.granted_count for each in group.processes.values()]
        assert sum(granted) == len(sent)
        assert sorted(granted)[:-1] == [0, 0, 0, 0], "one control VM holds the schedule"

    run_control(body)


def test_rate_is_kept_while_its_host_is_lost() -> None:
    async def body(group: ControlGroup) -> None:
        entries = await start_entries(group)
        entries[0].read_response(1.0)
        await anyio.sleep(0.1)
        lost = host_number(group)
        sent: list[float] = []
        async with anyio.create_task_group() as tasks:
            for entry in entries:
                tasks.start_soon(entry.send_load, 2.0, 30.0, sent)
            await anyio.sleep(8.0)
            group.network.frozen.add(f"control-{lost}")
            await anyio.sleep(6.0)
            group.network.frozen.discard(f"control-{lost}")
            group.kill(lost)
        assert_within_rate(sorted(sent), 1.0)
        assert len([each for each in sent if each > sent[0] + 18.0]) >= 8, "another one grants them"

    run_control(body)


def test_rate_is_kept_without_any_control_vm() -> None:
    async def body(group: ControlGroup) -> None:
        entries = await start_entries(group)
        entries[0].read_response(6.0)
        await anyio.sleep(0.1)
        for number in group.processes:
            group.kill(number)
        await anyio.sleep(0.5)
        sent = await send_load_of_all(entries, 30.0)
        assert_within_rate(sent, 6.0)
        assert len(sent) >= 0.5 * 6.0 * 30.0, "each entry uses its own part"

    run_control(body)


def test_entry_that_starts_knows_the_limits_of_others() -> None:
    async def body(group: ControlGroup) -> None:
        entries = await start_entries(group, 2)
        entries[0].read_response(2.5)
        await anyio.sleep(0.1)
        late = Entry(group, 50)
        await group.wait_until(lambda: late.permits.requests_per_s(ENDPOINT) == 2.5, 5.0)

    run_control(body)


def test_end_of_a_limit_reaches_all_entries_and_an_older_response_changes_nothing() -> None:
    async def body(group: ControlGroup) -> None:
        entries = await start_entries(group, 3)
        began = anyio.current_time()
        entries[0].read_response(2.5)
        await anyio.sleep(0.1)
        entries[1].read_response(UNLIMITED)
        await anyio.sleep(0.1)
        entries[2].read_response(1.0, sent_at=began - 1.0)
        await anyio.sleep(0.1)
        assert all(each.permits.requests_per_s(ENDPOINT) == UNLIMITED for each in entries)

    run_control(body)


def test_earlier_builds_are_sent_no_limits_and_asked_for_no_permits() -> None:
    async def body(group: ControlGroup) -> None:
        entries = await start_entries(group, 1)
        received: list[NodeMessage] = []
        group.tasks.start_soon(group.follow, 0, received)
        await anyio.sleep(0.5)
        entries[0].read_response(2.5)
        await anyio.sleep(0.1)
        assert not any(isinstance(each, RateLimitsReported) for each in received)
        links = entries[0].links
        links.control_groups = {
            address: replace(each, accepts_rate_limits=False)
            for address, each in links.control_groups.items()
        }
        began = anyio.current_time()
        await entries[0].permits.acquire(ENDPOINT, "request-1", 0.0)
        assert anyio.current_time() == began, "the entry uses its own part at once"

    run_control(body)
