"""The state of an entry: configuration, endpoints, readiness."""

from __future__ import annotations

import json
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random

import anyio
import pytest
import trio
import trio.testing

from bergamotchute_daemon.direct.admitted_request import AdmittedRequest
from bergamotchute_daemon.direct.direct_entry import FIRST_CONFIGURATION_TIMEOUT_S, DirectEntry
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.node_composition_root import NodeEnvironment, compose_direct_entry
from bergamotchute_daemon.node_settings import ListenSettings, NodeSettings
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.evacuations import EvacuationsInForce, ZoneEvacuation
from bergamotchute_model.headers import Headers
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    ConfigurationText,
    ConfigurationVersion,
    DeparturesRecorded,
    EntryState,
    HeartbeatsReceived,
    NodeMessage,
    QueryConfiguration,
)
from bergamotchute_platform.request_format import REQUEST_FORMAT
from bergamotchute_policy.endpoint_subset import SUBSET_SIZE
from bergamotchute_wire.http1_messages import RequestHead
from bergamotchute_wire.http1_server import CallerRequest
from support.control_group import heartbeat
from support.memory_links import MemoryNetwork

CONTROL_ADDRESS = Address("10.0.0.1", 7000)
MAX_LATE_S = 0.25
"""Half of what operators allow beyond the timeout of a route."""

OTHER_CONTROL_ADDRESS = Address("10.0.0.2", 7000)


def text(version: int) -> bytes:
    return zlib.compress(b'{"version": %d, "routes": [], "services": []}' % version)


class RecordingWriter:
    """Records a response, and when it was written, in place of a connection."""

    def __init__(self) -> None:
        self.status = 0
        self.started = False
        self.finished = False
        self.at = 0.0
        self.retry_after_s = 0.0

    async def respond(self, status: int, headers: Headers = (), _: bytes = b"") -> None:
        self.status = status
        self.retry_after_s = float(dict(headers).get("retry-after", 0.0))
        self.started = True
        self.finished = True
        self.at = anyio.current_time()


def run_with_entry(body: Callable[[DirectEntry, list[NodeMessage]], Awaitable[None]]) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            network = MemoryNetwork(tasks)
            environment = NodeEnvironment(
                random=Random(1),
                log=EventLog("entry-1", "entry", "incarnation-1", lambda: 0),
                dial_control=network.dial("entry-1", "/nodes"),
                dial_ranks=network.dial("entry-1", "/none"),
                dial_slots=network.dial("entry-1", "/none"),
            )
            settings = NodeSettings(
                name="entry-1",
                availability_zone="north",
                host="10.0.0.9",
                link_port=7000,
                seeds=("10.0.0.1:80",),
                found=True,
                disks_to_lose=1,
                heartbeat_ms=1200,
                stop_s=8,
                retry_ratio=0.2,
                retry_slack=90,
                listen=ListenSettings(callers="10.0.0.9:8000"),
            )
            entry = compose_direct_entry(settings, REQUEST_FORMAT, environment)
            sent: list[NodeMessage] = []
            entry.links.post_all = sent.append  # type: ignore[method-assign]
            entry.follower.post = lambda _, message: sent.append(message)
            entry.follower.post_all = sent.append
            await body(entry, sent)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_an_older_configuration_is_ignored() -> None:
    async def body(entry: DirectEntry, _: list[NodeMessage]) -> None:
        entry.on_message(CONTROL_ADDRESS, ConfigurationText(5, text(5)))
        entry.on_message(OTHER_CONTROL_ADDRESS, ConfigurationText(4, text(4)))
        assert entry.follower.version == 5
        assert entry.routing_table is not None
        assert entry.routing_table.configuration.version == 5

    run_with_entry(body)


def test_a_configuration_is_requested_once_and_again_after_a_timeout() -> None:
    async def body(entry: DirectEntry, sent: list[NodeMessage]) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(entry.follower.run)
            entry.on_message(CONTROL_ADDRESS, ConfigurationVersion(5))
            entry.on_message(OTHER_CONTROL_ADDRESS, ConfigurationVersion(5))
            assert sent == [QueryConfiguration()]
            await anyio.sleep(1.0)
            assert len(sent) > 1
            entry.on_message(OTHER_CONTROL_ADDRESS, ConfigurationText(5, text(5)))
            message_count = len(sent)
            await anyio.sleep(2.0)
            assert len([each for each in sent if each == QueryConfiguration()]) <= message_count
            tasks.cancel_scope.cancel()

    run_with_entry(body)


def test_an_entry_is_ready_from_its_first_configuration_until_it_drains() -> None:
    async def body(entry: DirectEntry, sent: list[NodeMessage]) -> None:
        assert not entry.ready
        entry.on_message(CONTROL_ADDRESS, ConfigurationText(5, text(5)))
        assert entry.ready
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(entry.drain)
            await anyio.sleep(0.01)
            assert not entry.ready
            tasks.cancel_scope.cancel()
        states = [each.open for each in sent if isinstance(each, EntryState)]
        assert states == [True, False]

    run_with_entry(body)


REQUEST = CallerRequest(RequestHead("GET", "/a/b", (("host", "api.example"),)), b"")


def test_a_request_waits_for_the_first_configuration_of_a_new_entry() -> None:
    """After a power loss of all VMs, callers return before the entry has its configuration."""

    async def body(entry: DirectEntry, _: list[NodeMessage]) -> None:
        answer = RecordingWriter()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(entry.handle_request, REQUEST, answer)
            await anyio.sleep(FIRST_CONFIGURATION_TIMEOUT_S / 2)
            assert not answer.finished
            entry.on_message(CONTROL_ADDRESS, ConfigurationText(5, text(5)))
        assert answer.status == 404
        assert answer.at < FIRST_CONFIGURATION_TIMEOUT_S

    run_with_entry(body)


def test_request_outlasts_its_timeout_at_an_entry_without_a_configuration() -> None:
    """Each request was kept for 1.2 s; operators allow half a second beyond a route's timeout."""

    async def body(entry: DirectEntry, _: list[NodeMessage]) -> None:
        answer = RecordingWriter()
        begun_at = anyio.current_time()
        await entry.handle_request(REQUEST, answer)  # type: ignore[arg-type]
        assert answer.status == 503
        assert answer.at - begun_at <= MAX_LATE_S

    run_with_entry(body)


def test_wait_for_the_first_configuration_is_added_to_the_timeout_of_a_route() -> None:
    """A request was kept up to 1.2 s longer than its route's timeout."""
    route = (
        b'{"version": 5, "services": [{"name": "desk"}], "routes": [{"host": "api.example",'
        b' "pathPrefix": "/a/", "kind": "safe", "timeoutMs": 800, "service": "desk"}]}'
    )

    async def body(entry: DirectEntry, _: list[NodeMessage]) -> None:
        answer = RecordingWriter()
        deadlines: list[float] = []

        async def forward(request: AdmittedRequest, writer: RecordingWriter) -> None:
            deadlines.append(request.deadline)
            await writer.respond(200)

        entry.forwarder.forward_request = forward  # type: ignore[method-assign,assignment]
        begun_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(entry.handle_request, REQUEST, answer)
            await anyio.sleep(0.2)
            entry.on_message(CONTROL_ADDRESS, ConfigurationText(5, zlib.compress(route)))
        assert deadlines == [pytest.approx(begun_at + 0.8)]

    run_with_entry(body)


def test_a_request_is_refused_if_the_entry_gets_no_configuration() -> None:
    async def body(entry: DirectEntry, _: list[NodeMessage]) -> None:
        answer = RecordingWriter()
        await entry.handle_request(REQUEST, answer)  # type: ignore[arg-type]
        assert answer.status == 503

    run_with_entry(body)


def _heartbeats(count: int, phase: EndpointPhase) -> tuple[EndpointHeartbeat, ...]:
    return tuple(
        EndpointHeartbeat(
            f"runner-{number}",
            1000,
            1 if phase is EndpointPhase.READY else 2,
            "model",
            Address(f"10.1.0.{number}", 80),
            "north",
            6,
            phase,
        )
        for number in range(count)
    )


def test_an_entry_uses_a_subset_of_a_large_service_and_all_endpoints_if_that_is_lost() -> None:
    async def body(entry: DirectEntry, _: list[NodeMessage]) -> None:
        entry.on_message(CONTROL_ADDRESS, HeartbeatsReceived(_heartbeats(60, EndpointPhase.READY)))
        subset = entry.endpoints("model")
        assert len(subset) == SUBSET_SIZE
        names = {each.endpoint for each in subset}
        quiet = [each for each in _heartbeats(60, EndpointPhase.SILENT) if each.endpoint in names]
        entry.on_message(CONTROL_ADDRESS, HeartbeatsReceived(tuple(quiet)))
        chosen = entry.forwarder.placement.select_endpoint(entry.endpoints("model"), (), 0.0)
        assert chosen is not None
        assert chosen.heartbeat.endpoint not in names

    run_with_entry(body)


def test_a_single_entry_uses_every_endpoint_of_a_large_service_before_it_refuses() -> None:
    """Two entries share 99 endpoints, and the subset of each is half of them."""

    async def body(entry: DirectEntry, _: list[NodeMessage]) -> None:
        entry.on_message(CONTROL_ADDRESS, HeartbeatsReceived(_heartbeats(99, EndpointPhase.READY)))
        placement = entry.forwarder.placement
        for sent in range(99 * 6):
            chosen = placement.select_endpoint(entry.endpoints("model"), (), 0.0)
            assert chosen is not None
            assert chosen.fullness < 1.0, sent
            placement.on_request_sent(chosen.heartbeat)
        assert len(entry.endpoints("model")) == SUBSET_SIZE

    run_with_entry(body)


def test_an_endpoint_is_not_chosen_after_its_departure() -> None:
    async def body(entry: DirectEntry, _: list[NodeMessage]) -> None:
        entry.on_message(CONTROL_ADDRESS, HeartbeatsReceived((heartbeat(1),)))
        placement = entry.forwarder.placement
        assert placement.select_endpoint(entry.endpoints("model"), (), 0.0) is not None
        entry.on_message(OTHER_CONTROL_ADDRESS, DeparturesRecorded((("runner-1", 1000),)))
        assert placement.select_endpoint(entry.endpoints("model"), (), 0.0) is None
        entry.on_message(CONTROL_ADDRESS, HeartbeatsReceived((heartbeat(2),)))
        assert placement.select_endpoint(entry.endpoints("model"), (), 0.0) is None

    run_with_entry(body)


def configuration_with_routes(version: int, names: tuple[str, ...]) -> ConfigurationText:
    """Return a configuration with a route and a service of each name."""
    engine = {
        "slots": 6,
        "kvCapacityTokens": 247_000,
        "step_ms": 4.84,
        "per_seq_ms": 0.724,
        "context_per_k": 0.022,
        "read_per_s": 74_800.0,
    }
    plain = {
        "version": version,
        "services": [{"name": name, "engine": engine} for name in names],
        "routes": [
            {
                "name": name,
                "host": "api.example",
                "pathPrefix": f"/{name}/",
                "kind": "stream",
                "timeoutMs": 800,
                "sloMs": 200,
                "gapTargetMs": 120,
                "service": name,
            }
            for name in names
        ],
    }
    return ConfigurationText(version, zlib.compress(json.dumps(plain).encode()))


def service_heartbeat(service: str, number: int) -> EndpointHeartbeat:
    address = Address(f"10.1.{len(service)}.{number}", 80)
    return EndpointHeartbeat(
        f"{service}-{number}", 1000, 1, service, address, "north", 6, EndpointPhase.READY
    )


@pytest.mark.parametrize("is_known_before", [False, True])
def test_route_added_later_is_served_less_often(is_known_before: bool) -> None:
    async def body(entry: DirectEntry, _: list[NodeMessage]) -> None:
        later_endpoints = HeartbeatsReceived(
            tuple(service_heartbeat("later", number) for number in range(3))
        )
        entry.on_message(CONTROL_ADDRESS, configuration_with_routes(5, ("first",)))
        entry.on_message(CONTROL_ADDRESS, HeartbeatsReceived((service_heartbeat("first", 1),)))
        if is_known_before:
            entry.on_message(CONTROL_ADDRESS, later_endpoints)
        # Beyond the time in which a new entry treats requests in another way.
        await anyio.sleep(20.0)
        forwarded: list[str] = []

        async def forward(request: AdmittedRequest, writer: RecordingWriter) -> None:
            service = request.service.name
            chosen = await entry.forwarder.chooser.choose(request, (), False)
            assert chosen is not None
            forwarded.append(f"{service} at {chosen.candidate.heartbeat.service}")
            await writer.respond(200)

        entry.forwarder.forward_request = forward  # type: ignore[method-assign,assignment]

        async def status(name: str) -> int:
            head = RequestHead("GET", f"/{name}/x", (("host", "api.example"),))
            answer = RecordingWriter()
            await entry.handle_request(CallerRequest(head, b""), answer)  # type: ignore[arg-type]
            return answer.status

        assert [await status("first"), await status("later")] == [200, 404]
        entry.on_message(CONTROL_ADDRESS, configuration_with_routes(6, ("first", "later")))
        if not is_known_before:
            entry.on_message(CONTROL_ADDRESS, later_endpoints)
        assert [await status("first"), await status("later")] == [200, 200]
        assert forwarded[1:] == ["first at first", "later at later"]
        assert entry.forwarder.placement.engine_timings.keys() == {"first", "later"}
        entry.on_message(OTHER_CONTROL_ADDRESS, configuration_with_routes(5, ("first",)))
        assert [await status("first"), await status("later")] == [200, 200]
        entry.on_message(CONTROL_ADDRESS, configuration_with_routes(7, ("later",)))
        assert [await status("first"), await status("later")] == [404, 200]

    run_with_entry(body)


def test_entry_follows_so_few_control_vms_that_none_may_have_a_quorum() -> None:
    async def body(entry: DirectEntry, _: list[NodeMessage]) -> None:
        assert entry.links.parent_count(9) == 5

    run_with_entry(body)


def test_each_parent_that_tells_the_same_heartbeat_wakes_the_waiting_requests() -> None:
    """With more parents, an entry indexed all its endpoints more often, to the same result."""

    async def body(entry: DirectEntry, _: list[NodeMessage]) -> None:
        entry.on_message(CONTROL_ADDRESS, HeartbeatsReceived((heartbeat(1),)))
        departures = DeparturesRecorded((("runner-1", 1000),))
        entry.on_message(CONTROL_ADDRESS, departures)
        indexed = entry.endpoints_by_address
        entry.on_message(OTHER_CONTROL_ADDRESS, HeartbeatsReceived((heartbeat(1),)))
        entry.on_message(OTHER_CONTROL_ADDRESS, departures)
        assert entry.endpoints_by_address is indexed
        entry.on_message(CONTROL_ADDRESS, HeartbeatsReceived((replace(heartbeat(2), slots=7),)))
        assert entry.endpoints_by_address is not indexed

    run_with_entry(body)


def _evacuate(version: int, is_evacuated: bool) -> EvacuationsInForce:
    return EvacuationsInForce((ZoneEvacuation("north", version, is_evacuated),))


def test_endpoints_of_an_evacuated_zone_are_not_used_until_the_evacuation_ends() -> None:
    async def body(entry: DirectEntry, _: list[NodeMessage]) -> None:
        south = replace(
            heartbeat(1),
            endpoint="runner-2",
            availability_zone="south",
            address=Address("10.1.0.2", 80),
        )
        entry.on_message(CONTROL_ADDRESS, HeartbeatsReceived((heartbeat(1), south)))
        entry.on_message(CONTROL_ADDRESS, _evacuate(1, True))
        assert [each.endpoint for each in entry.endpoints("model")] == ["runner-2"]
        # Heartbeats that come later must not bring the endpoint back.
        entry.on_message(CONTROL_ADDRESS, HeartbeatsReceived((replace(heartbeat(2), slots=7),)))
        assert [each.endpoint for each in entry.endpoints("model")] == ["runner-2"]
        entry.on_message(CONTROL_ADDRESS, _evacuate(2, False))
        entry.on_message(OTHER_CONTROL_ADDRESS, _evacuate(1, True))
        assert len(entry.endpoints("model")) == 2

    run_with_entry(body)


def test_request_of_a_wholly_evacuated_service_is_refused_at_once_although_an_entry_just_started() -> (
    None
):
    """An entry that has just started waits for endpoints, which an evacuation makes pointless."""
    route = (
        b'{"version": 5, "services": [{"name": "model"}], "routes": [{"host": "api.example",'
        b' "pathPrefix": "/a/", "kind": "safe", "timeoutMs": 800, "service": "model"}]}'
    )

    async def body(entry: DirectEntry, _: list[NodeMessage]) -> None:
        entry.on_message(CONTROL_ADDRESS, ConfigurationText(5, zlib.compress(route)))
        entry.on_message(CONTROL_ADDRESS, HeartbeatsReceived((heartbeat(1),)))
        entry.on_message(CONTROL_ADDRESS, _evacuate(1, True))
        answer = RecordingWriter()
        began = anyio.current_time()
        await entry.handle_request(REQUEST, answer)  # type: ignore[arg-type]
        assert answer.status == 503
        assert answer.at - began < 0.1
        assert answer.retry_after_s >= 2.0

    run_with_entry(body)
