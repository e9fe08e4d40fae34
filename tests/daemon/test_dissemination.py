"""Tests that updates reach every entry through its parents, whichever control VM receives them."""

from __future__ import annotations

import json
import zlib
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from random import Random

import anyio
import pytest
import trio
import trio.testing

from bergamotchute_daemon.configuration_follower import ConfigurationFollower
from bergamotchute_daemon.control_links import ControlLinks
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.link_set import LinkSet
from bergamotchute_daemon.node_runner import NODES_PATH
from bergamotchute_model.endpoint_heartbeat import EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    AgentState,
    CommanderAssigned,
    ConfigurationText,
    ConfigurationVersion,
    DeparturesRecorded,
    EntryState,
    HeartbeatsReceived,
    LoadsReported,
    NodeMessage,
    QueryConfiguration,
    RankLocations,
    SubscribeToLoads,
)
from bergamotchute_model.prompt_parts import Crash, PromptEvidence
from bergamotchute_model.versioned_configuration import VersionedConfiguration
from bergamotchute_policy.control_parents import few_parents, majority_of_parents
from support.control_group import (
    FOLLOWING_ENTRY,
    PORT,
    SEED_COUNT,
    ControlGroup,
    heartbeat,
    host,
    run_control,
)


class Node:
    """An entry or agent that is linked to control VMs and records their messages."""

    def __init__(self, group: ControlGroup, state: EntryState | AgentState) -> None:
        self.group = group
        self.received_messages: list[tuple[Address, NodeMessage]] = []
        log = EventLog(state.name, "node", "incarnation", lambda: 0)
        dial = group.network.dial(state.name, NODES_PATH)
        self.links = ControlLinks(
            name=state.name,
            seeds=tuple(Address(host(number), PORT) for number in range(SEED_COUNT)),
            links=LinkSet(dial, Random(state.name), log, lambda: (state,)),
            on_message=lambda address, message: self.received_messages.append((address, message)),
            parent_count=majority_of_parents if isinstance(state, EntryState) else few_parents,
            wants_loads=isinstance(state, EntryState),
        )

    @property
    def parents(self) -> list[int]:
        """The numbers of the control VMs to which the node is linked."""
        hosts = [address.host for address in self.links.linked]
        return [number for number in self.group.processes if host(number) in hosts]

    @property
    def has_all_parents(self) -> bool:
        """Whether the node is linked to as many control VMs as it should be, if all are sound."""
        return len(self.parents) == self.links.parent_count(len(self.links.known))

    def messages(self, kind: type[NodeMessage]) -> list[NodeMessage]:
        return [message for _, message in self.received_messages if isinstance(message, kind)]


def entry(number: int = 1) -> EntryState:
    return EntryState(f"entry-{number}", Address(f"10.1.0.{number}", 80), "north", True)


def agent(rank: int, size: int = 2) -> AgentState:
    endpoint = Address(f"10.3.0.{rank + 1}", 80)
    link_address = Address(f"10.2.0.{rank + 1}", PORT)
    return AgentState(f"agent-{rank}", link_address, endpoint, "group", rank, size, True)


def run_with_followers(
    size: int, states: list[EntryState | AgentState], body: Callable[..., Awaitable[None]]
) -> None:
    """Run a test body with control processes and nodes that are linked to their parents."""

    async def main(group: ControlGroup) -> None:
        await group.found(size)
        nodes = [Node(group, state) for state in states]
        async with anyio.create_task_group() as tasks:
            for node in nodes:
                tasks.start_soon(node.links.run)
            await group.wait_until(lambda: all(node.has_all_parents for node in nodes))
            await anyio.sleep(1.0)
            await body(group, *nodes)
            tasks.cancel_scope.cancel()

    run_control(main)


def test_an_entry_receives_heartbeats_from_any_control_vm_through_its_parents() -> None:
    async def body(group: ControlGroup, node: Node) -> None:
        assert len(node.parents) == 4
        monitor = next(number for number in range(7) if number not in node.parents)
        assert await group.processes[monitor].on_heartbeat(heartbeat(1))
        await anyio.sleep(0.5)
        received_heartbeats = [
            message
            for message in node.messages(HeartbeatsReceived)
            if message == HeartbeatsReceived((heartbeat(1),))
        ]
        assert len(received_heartbeats) == 4

    run_with_followers(7, [entry()], body)


def test_departures_and_versions_reach_entries_through_the_only_remaining_parent() -> None:
    async def body(group: ControlGroup, node: Node) -> None:
        for number in node.parents[:-1]:
            group.kill(number, with_power_loss=True)
        await group.wait_until(lambda: group.leader is not None)
        remaining = next(number for number in range(7) if not group.scopes[number].cancel_called)
        assert await group.processes[remaining].put_configuration(3, b"three")
        assert await group.processes[remaining].record_endpoint_departure("runner-1", 1000)
        await anyio.sleep(0.5)
        assert ConfigurationVersion(3) in node.messages(ConfigurationVersion)
        departures = DeparturesRecorded((("runner-1", 1000),))
        assert departures in node.messages(DeparturesRecorded)

    run_with_followers(7, [entry()], body)


def test_lost_parents_are_replaced_and_surplus_parents_dropped_after_recovery() -> None:
    async def body(group: ControlGroup, node: Node) -> None:
        initial_parents = set(node.parents)
        lost = node.parents[0]
        group.kill(lost)
        await group.wait_until(
            lambda: lost not in node.parents and node.has_all_parents,
            wait_timeout_s=4.0,
        )
        group.start(lost)
        await group.wait_until(lambda: set(node.parents) == initial_parents, wait_timeout_s=10.0)

    run_with_followers(7, [entry()], body)


def test_a_follower_always_has_a_parent_while_the_control_group_is_founded() -> None:
    """Load pattern: control VMs join one by one, and each changes which parents are preferred."""

    async def main(group: ControlGroup) -> None:
        for number in range(3):
            group.start(number, found=True)
        await group.wait_until(lambda: group.voter_count() == 3)
        nodes = [Node(group, entry(number)) for number in range(1, 9)]
        async with anyio.create_task_group() as tasks:
            for node in nodes:
                tasks.start_soon(node.links.run)
            await group.wait_until(lambda: all(node.parents for node in nodes))
            for number in range(3, 9):
                group.start(number)
            for _ in range(900):
                await anyio.sleep(0.01)
                assert all(node.parents for node in nodes)
            await group.wait_until(lambda: all(node.has_all_parents for node in nodes))
            tasks.cancel_scope.cancel()

    run_control(main)


def test_followers_are_linked_soon_after_all_vms_restart() -> None:
    """Load pattern: all VMs lose power, and entries start before control VMs."""

    async def main(group: ControlGroup) -> None:
        await group.found(5)
        for number in range(5):
            group.kill(number, with_power_loss=True)
        nodes = [Node(group, entry(number)) for number in range(1, 9)]
        async with anyio.create_task_group() as tasks:
            for node in nodes:
                tasks.start_soon(node.links.run)
            await anyio.sleep(1.5)
            for number in range(5):
                group.start(number)
            await group.wait_until(lambda: all(node.parents for node in nodes), wait_timeout_s=0.5)
            tasks.cancel_scope.cancel()

    run_control(main)


def test_an_agent_replaces_parents_that_are_partitioned_from_the_group() -> None:
    """A network partition separates all parents of an agent from the rest of the control group."""

    async def body(group: ControlGroup, node: Node) -> None:
        partitioned = node.parents
        others = [number for number in range(7) if number not in partitioned]
        for isolated in partitioned:
            for other in others:
                group.network.cut(f"control-{isolated}", f"control-{other}")
        await anyio.sleep(6.0)
        assert set(node.parents) & set(others)
        await group.wait_until(lambda: group.leader in others)
        assert await group.processes[others[0]].put_configuration(4, b"four")
        await anyio.sleep(1.0)
        assert ConfigurationVersion(4) in node.messages(ConfigurationVersion)

    run_with_followers(7, [agent(0)], body)


def test_the_directory_of_every_control_vm_lists_every_entry() -> None:
    async def body(group: ControlGroup, *nodes: Node) -> None:
        for number in range(5):
            addresses = group.processes[number].node_hub.entry_addresses("north")
            assert len(addresses) == len(nodes)

    run_with_followers(5, [entry(number) for number in range(1, 7)], body)


def test_a_group_gets_one_commander_whichever_control_vms_its_agents_follow() -> None:
    async def body(group: ControlGroup, *nodes: Node) -> None:
        assignments = [node.messages(CommanderAssigned) for node in nodes]
        assert all(assignments)
        newest_commanders = {
            max(messages, key=lambda message: message.fence).commander  # type: ignore[attr-defined]
            for messages in assignments
        }
        assert len(newest_commanders) == 1

    run_with_followers(7, [agent(rank, 6) for rank in range(6)], body)


def test_entries_receive_rank_places_and_each_load_once() -> None:
    async def body(group: ControlGroup, receiver: Node, reporter: Node) -> None:
        places = [place for message in receiver.messages(RankLocations) for place in message.places]  # type: ignore[attr-defined]
        assert agent(0).endpoint in [place.endpoint for place in places]
        reporter.links.post_to_one(LoadsReported(((agent(0).endpoint, 4),)))
        await anyio.sleep(0.5)
        assert receiver.messages(LoadsReported) == [LoadsReported(((agent(0).endpoint, 4),))]

    run_with_followers(7, [entry(), agent(0, 1)], body)


def test_a_configuration_with_many_routes_is_sent_compressed_to_entries() -> None:
    """Load pattern: a hundred versions a day, each with hundreds of routes, sent to every entry."""

    async def body(group: ControlGroup, node: Node) -> None:
        routes = [{"name": f"r-{number}", "host": "a.example"} for number in range(500)]
        content = json.dumps({"version": 5, "routes": routes}).encode()
        assert await group.processes[0].put_configuration(5, content)
        await anyio.sleep(0.5)
        node.links.post_to_one(QueryConfiguration())
        await anyio.sleep(0.5)
        configuration = node.messages(ConfigurationText)[0]
        assert isinstance(configuration, ConfigurationText)
        assert zlib.decompress(configuration.packed) == content
        assert len(configuration.packed) < len(content) / 4

    run_with_followers(5, [entry()], body)


def test_loads_are_requested_again_after_a_link_closes_and_reopens_at_once() -> None:
    """A connection is reset, and the new link opens before the parents are evaluated again."""

    async def body(group: ControlGroup, node: Node) -> None:
        sent: list[NodeMessage] = []
        node.links.links.post = lambda _, message: sent.append(message)  # type: ignore[method-assign]
        parent = node.links.loads_source
        assert parent is not None
        parent_group = node.links.control_groups[parent]
        node.links._on_closed(parent)
        node.links._on_message(parent, parent_group)
        node.links._choose_loads_source()
        assert sent == [SubscribeToLoads()]

    run_with_followers(5, [entry()], body)


def test_an_endpoint_that_moves_to_another_control_vm_is_not_reported_silent() -> None:
    async def body(group: ControlGroup, node: Node) -> None:
        sequence = 0
        for monitor in (0, 3, 0):
            for _ in range(8):
                sequence += 1
                assert await group.processes[monitor].on_heartbeat(heartbeat(sequence))
                await anyio.sleep(1.0)
        reported = [
            endpoint_heartbeat
            for message in node.messages(HeartbeatsReceived)
            for endpoint_heartbeat in message.heartbeats  # type: ignore[attr-defined]
        ]
        assert reported
        assert not [
            endpoint_heartbeat
            for endpoint_heartbeat in reported
            if endpoint_heartbeat.phase is EndpointPhase.SILENT
        ]

    run_with_followers(5, [entry()], body)


def test_a_silent_endpoint_is_detected_after_the_loss_of_its_monitor() -> None:
    async def body(group: ControlGroup, node: Node) -> None:
        monitor = next(number for number in range(5) if number != group.leader)
        assert await group.processes[monitor].on_heartbeat(heartbeat(1))
        await anyio.sleep(0.5)
        group.kill(monitor)
        await anyio.sleep(8.0)
        reported = [
            endpoint_heartbeat
            for message in node.messages(HeartbeatsReceived)
            for endpoint_heartbeat in message.heartbeats  # type: ignore[attr-defined]
        ]
        assert reported[-1].phase is EndpointPhase.SILENT

    run_with_followers(5, [entry()], body)


CRASH = Crash("model", "runner-1", 7, ("dead",))
READING_ENTRY = replace(FOLLOWING_ENTRY, accepts_prompt_evidence=True)


async def follow_as(
    group: ControlGroup,
    number: int,
    state: EntryState,
    heard: list[NodeMessage],
    sent: Sequence[NodeMessage] = (),
) -> None:
    """Follow a control VM with a state, send messages, and record what it sends."""
    dial = group.network.dial(state.name, NODES_PATH)
    async with dial(Address(host(number), PORT)) as link:
        await link.send(state)
        for message in sent:
            await link.send(message)
        while True:
            heard.append(await link.receive())


def evidence_in(heard: list[NodeMessage]) -> list[PromptEvidence]:
    return [
        message
        for message in heard
        if isinstance(message, PromptEvidence) and message != PromptEvidence()
    ]


def test_crash_seen_by_one_entry_is_unknown_to_the_others() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        near: list[NodeMessage] = []
        far: list[NodeMessage] = []
        earlier: list[NodeMessage] = []
        later: list[NodeMessage] = []
        evidence = PromptEvidence(crashes=((CRASH, 0.0),))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow_as, group, 0, replace(READING_ENTRY, name="near"), near)
            tasks.start_soon(follow_as, group, 2, replace(READING_ENTRY, name="far"), far)
            tasks.start_soon(follow_as, group, 1, replace(FOLLOWING_ENTRY, name="old"), earlier)
            await anyio.sleep(1.0)
            own: list[NodeMessage] = []
            writer = replace(READING_ENTRY, name="writer")
            tasks.start_soon(follow_as, group, 0, writer, own, (evidence, evidence))
            await anyio.sleep(0.1)
            for heard in (near, far):
                assert len(evidence_in(heard)) == 1, "each entry hears news once"
                assert evidence_in(heard)[0].crashes[0][0] == CRASH
            assert not evidence_in(own)
            assert not evidence_in(earlier), "an entry of an earlier build can't read it"
            await anyio.sleep(5.0)
            tasks.start_soon(follow_as, group, 2, replace(READING_ENTRY, name="later"), later)
            await anyio.sleep(1.0)
            ((crash, age_s),) = evidence_in(later)[0].crashes
            assert crash == CRASH
            assert 4.0 < age_s < 7.0
            version_at = [isinstance(message, ConfigurationVersion) for message in later]
            assert not any(version_at), "evidence comes before the configuration"
            tasks.cancel_scope.cancel()

    run_control(body)


def test_storm_of_configurations_sends_each_text_to_each_follower() -> None:
    # Each version was requested at once, while earlier texts still waited on the follower's link.
    async def body(group: ControlGroup, node: Node) -> None:
        parent = group.processes[node.parents[0]]
        follower = next(each for each in parent.node_hub.followers if each.node is not None)
        posted: list[NodeMessage] = []
        follower.outbox.post = posted.append  # type: ignore[method-assign]
        for version in range(3, 13):
            assert await parent.put_configuration(version, str(version).encode())
            await anyio.sleep(0.5)
            for _ in range(4):
                parent.node_hub._on_message(follower, QueryConfiguration())
        texts = [message for message in posted if isinstance(message, ConfigurationText)]
        assert [text.version for text in texts] == list(range(3, 13))

    run_with_followers(7, [entry()], body)


def test_follower_asks_again_while_the_text_is_on_its_way() -> None:
    async def main() -> None:
        asked: list[Address] = []
        used: list[int] = []
        follower = ConfigurationFollower(
            read=lambda text: VersionedConfiguration(int(text)),
            post=lambda address, _: asked.append(address),
            post_all=lambda _: None,
            on_configuration=lambda configuration: used.append(configuration.version),
            log=EventLog("entry", "entry", "life", lambda: 0),
        )
        parent = Address("10.0.0.1", PORT)
        for version in range(1, 11):
            follower.on_version(parent, ConfigurationVersion(version))
        assert asked == [parent]
        follower.on_text(parent, ConfigurationText(2, zlib.compress(b"2")))
        assert asked == [parent, parent], "later versions are asked for once, as one"
        follower.on_text(parent, ConfigurationText(10, zlib.compress(b"10")))
        assert asked == [parent, parent]
        assert used == [2, 10]

    anyio.run(main)


@pytest.mark.parametrize("transfer_s", [0.45, 0.75, 0.9])
@pytest.mark.parametrize("interval_s", [0.25, 0.33, 0.5])
def test_new_entry_gets_no_configuration_while_versions_outrun_their_texts(
    transfer_s: float, interval_s: float
) -> None:
    """Load pattern: a storm of changes, and a text that takes longer than the next change."""
    parent = Address("10.0.0.1", PORT)
    used_at: list[float] = []

    async def main() -> None:
        newest = sent = 0

        async def send_text(version: int) -> None:
            await anyio.sleep(transfer_s)
            packed = zlib.compress(b"%d" % version)
            follower.on_text(parent, ConfigurationText(version, packed))

        def on_query(*_: object) -> None:
            nonlocal sent
            if newest > sent:
                sent = newest
                tasks.start_soon(send_text, sent)

        follower = ConfigurationFollower(
            read=lambda text: VersionedConfiguration(int(text)),
            post=on_query,
            post_all=on_query,
            on_configuration=lambda _: used_at.append(anyio.current_time()),
            log=EventLog("entry", "entry", "life", lambda: 0),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            for version in range(1, 20):
                newest = version
                follower.on_version(parent, ConfigurationVersion(version))
                await anyio.sleep(interval_s)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert used_at[0] <= 2 * transfer_s


def test_new_entry_uses_no_configuration_older_than_the_version_it_was_told() -> None:
    async def main() -> None:
        used: list[int] = []
        follower = ConfigurationFollower(
            read=lambda text: VersionedConfiguration(int(text)),
            post=lambda *_: None,
            post_all=lambda _: None,
            on_configuration=lambda configuration: used.append(configuration.version),
            log=EventLog("entry", "entry", "life", lambda: 0),
        )
        told, lagging = Address("10.0.0.1", PORT), Address("10.0.0.2", PORT)
        follower.on_version(told, ConfigurationVersion(9))
        follower.on_text(lagging, ConfigurationText(5, zlib.compress(b"5")))
        assert used == []
        follower.on_text(told, ConfigurationText(9, zlib.compress(b"9")))
        follower.on_text(lagging, ConfigurationText(5, zlib.compress(b"5")))
        assert used == [9]

    anyio.run(main)


def test_control_vm_without_quorum_sends_no_text_to_a_new_entry() -> None:
    """An entry asks every linked control VM while a text that one of them reported is late."""

    async def body(group: ControlGroup) -> None:
        await group.found(3)
        assert group.leader is not None
        number = (group.leader + 1) % 3
        assert await group.processes[group.leader].put_configuration(3, b"three")
        await anyio.sleep(1.0)
        group.isolate(number)
        assert await group.processes[group.leader].put_configuration(4, b"four")
        received: list[NodeMessage] = []
        with anyio.move_on_after(5.0):
            await follow_as(group, number, entry(), received, (QueryConfiguration(),))
        assert received
        assert not [message for message in received if isinstance(message, ConfigurationText)]

    run_control(body)
