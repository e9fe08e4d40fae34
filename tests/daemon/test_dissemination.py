"""News reaches every entry through a few parents, whichever control VM hears it first."""

from __future__ import annotations

import json
import zlib
from collections.abc import Awaitable, Callable
from random import Random

import anyio

from bergamotchute_daemon.control_links import ControlLinks
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.link_set import LinkSet
from bergamotchute_daemon.node_runner import NODES_PATH
from bergamotchute_model.endpoint_heartbeat import EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    AgentState,
    AskConfiguration,
    CommanderAssigned,
    ConfigurationText,
    ConfigurationVersion,
    DeparturesRecorded,
    EntryState,
    FollowLoads,
    HeartbeatsHeard,
    LoadsTold,
    NodeMessage,
    RankPlaces,
)
from bergamotchute_policy.control_parents import PARENT_COUNT
from support.control_group import PORT, SEED_COUNT, ControlGroup, heartbeat, host, run_control


class Node:
    """An entry or agent that follows the control VMs and keeps what they say."""

    def __init__(self, group: ControlGroup, state: EntryState | AgentState) -> None:
        self.group = group
        self.heard: list[tuple[Address, NodeMessage]] = []
        log = EventLog(state.name, "node", "life", lambda: 0)
        dial = group.network.dial(state.name, NODES_PATH)
        self.links = ControlLinks(
            name=state.name,
            seeds=tuple(Address(host(number), PORT) for number in range(SEED_COUNT)),
            links=LinkSet(dial, Random(state.name), log, lambda: (state,)),
            on_message=lambda address, message: self.heard.append((address, message)),
            wants_loads=isinstance(state, EntryState),
        )

    @property
    def parents(self) -> list[int]:
        """The numbers of the control VMs that it is linked to."""
        hosts = [address.host for address in self.links.linked]
        return [number for number in self.group.processes if host(number) in hosts]

    def messages(self, kind: type[NodeMessage]) -> list[NodeMessage]:
        return [message for _, message in self.heard if isinstance(message, kind)]


def entry(number: int = 1) -> EntryState:
    return EntryState(f"entry-{number}", Address(f"10.1.0.{number}", 80), "north", True)


def agent(rank: int, size: int = 2) -> AgentState:
    endpoint = Address(f"10.3.0.{rank + 1}", 80)
    place = Address(f"10.2.0.{rank + 1}", PORT)
    return AgentState(f"agent-{rank}", place, endpoint, "group", rank, size, True)


def run_followed(
    size: int, states: list[EntryState | AgentState], body: Callable[..., Awaitable[None]]
) -> None:
    """Run a test with control processes and nodes that have found their parents."""

    async def main(group: ControlGroup) -> None:
        await group.found(size)
        nodes = [Node(group, state) for state in states]
        async with anyio.create_task_group() as tasks:
            for node in nodes:
                tasks.start_soon(node.links.run)
            await group.wait_until(lambda: all(len(node.parents) == PARENT_COUNT for node in nodes))
            await anyio.sleep(1.0)
            await body(group, *nodes)
            tasks.cancel_scope.cancel()

    run_control(main)


def test_an_entry_has_a_few_parents_and_hears_all_that_any_control_vm_hears() -> None:
    async def body(group: ControlGroup, node: Node) -> None:
        assert len(node.parents) == PARENT_COUNT
        elsewhere = next(number for number in range(7) if number not in node.parents)
        assert await group.processes[elsewhere].on_heartbeat(heartbeat(1))
        await anyio.sleep(0.5)
        told = [m for m in node.messages(HeartbeatsHeard) if m == HeartbeatsHeard((heartbeat(1),))]
        assert len(told) == PARENT_COUNT

    run_followed(7, [entry()], body)


def test_departures_and_versions_reach_entries_through_one_parent_that_is_left() -> None:
    async def body(group: ControlGroup, node: Node) -> None:
        for number in node.parents[:2]:
            group.kill(number, with_power_loss=True)
        await group.wait_until(lambda: group.leader is not None)
        speaker = next(number for number in range(7) if not group.scopes[number].cancel_called)
        assert await group.processes[speaker].put_configuration(3, b"three")
        assert await group.processes[speaker].record_endpoint_departure("runner-1", 1000)
        await anyio.sleep(0.5)
        assert ConfigurationVersion(3) in node.messages(ConfigurationVersion)
        told = DeparturesRecorded((("runner-1", 1000),))
        assert told in node.messages(DeparturesRecorded)

    run_followed(7, [entry()], body)


def test_lost_parents_are_replaced_and_spare_ones_dropped_once_they_are_back() -> None:
    async def body(group: ControlGroup, node: Node) -> None:
        first = set(node.parents)
        lost = node.parents[0]
        group.kill(lost)
        await group.wait_until(
            lambda: lost not in node.parents and len(node.parents) == PARENT_COUNT,
            wait_timeout_s=4.0,
        )
        group.start(lost)
        await group.wait_until(lambda: set(node.parents) == first, wait_timeout_s=10.0)

    run_followed(7, [entry()], body)


def test_a_follower_is_never_without_a_parent_while_the_group_founds_itself() -> None:
    """Load pattern: control VMs join one after the other, and each changes who is preferred."""

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
            await group.wait_until(lambda: all(len(node.parents) == PARENT_COUNT for node in nodes))
            tasks.cancel_scope.cancel()

    run_control(main)


def test_followers_are_linked_soon_after_all_vms_are_back() -> None:
    """Load pattern: all VMs lose power, and entries are up before control VMs."""

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


def test_a_parent_that_lost_the_group_is_not_relied_on() -> None:
    """A part of the control group is cut off, and all parents are in it."""

    async def body(group: ControlGroup, node: Node) -> None:
        cut = node.parents
        others = [number for number in range(7) if number not in cut]
        for one in cut:
            for other in others:
                group.network.cut(f"control-{one}", f"control-{other}")
        await anyio.sleep(6.0)
        assert set(node.parents) & set(others)
        await group.wait_until(lambda: group.leader in others)
        assert await group.processes[others[0]].put_configuration(4, b"four")
        await anyio.sleep(1.0)
        assert ConfigurationVersion(4) in node.messages(ConfigurationVersion)

    run_followed(7, [entry()], body)


def test_the_directory_of_every_control_vm_names_every_entry() -> None:
    async def body(group: ControlGroup, *nodes: Node) -> None:
        for number in range(5):
            offered = group.processes[number].node_hub.entry_addresses("north")
            assert len(offered) == len(nodes)

    run_followed(5, [entry(number) for number in range(1, 7)], body)


def test_a_group_gets_one_commander_whoever_its_agents_follow() -> None:
    async def body(group: ControlGroup, *nodes: Node) -> None:
        told = [node.messages(CommanderAssigned) for node in nodes]
        assert all(told)
        newest = {max(each, key=lambda one: one.fence).commander for each in told}  # type: ignore[attr-defined]
        assert len(newest) == 1

    run_followed(7, [agent(rank, 6) for rank in range(6)], body)


def test_entries_learn_the_places_of_ranks_and_loads_once() -> None:
    async def body(group: ControlGroup, reader: Node, teller: Node) -> None:
        places = [place for told in reader.messages(RankPlaces) for place in told.places]  # type: ignore[attr-defined]
        assert agent(0).endpoint in [place.endpoint for place in places]
        teller.links.post_to_one(LoadsTold(((agent(0).endpoint, 4),)))
        await anyio.sleep(0.5)
        assert reader.messages(LoadsTold) == [LoadsTold(((agent(0).endpoint, 4),))]

    run_followed(7, [entry(), agent(0, 1)], body)


def test_a_configuration_of_many_routes_goes_to_entries_packed() -> None:
    """Load pattern: a hundred versions a day, of hundreds of routes, to each of the entries."""

    async def body(group: ControlGroup, node: Node) -> None:
        routes = [{"name": f"r-{number}", "host": "a.example"} for number in range(500)]
        content = json.dumps({"version": 5, "routes": routes}).encode()
        assert await group.processes[0].put_configuration(5, content)
        await anyio.sleep(0.5)
        node.links.post_to_one(AskConfiguration())
        await anyio.sleep(0.5)
        told = node.messages(ConfigurationText)[0]
        assert isinstance(told, ConfigurationText)
        assert zlib.decompress(told.packed) == content
        assert len(told.packed) < len(content) / 4

    run_followed(5, [entry()], body)


def test_loads_are_asked_for_again_on_a_link_that_closed_and_opened_at_once() -> None:
    """A connection is reset; the new link is open before the parents are looked at again."""

    async def body(group: ControlGroup, node: Node) -> None:
        sent: list[NodeMessage] = []
        node.links.links.post = lambda _, message: sent.append(message)  # type: ignore[method-assign]
        parent = node.links.loads_source
        assert parent is not None
        told = node.links.control_groups[parent]
        node.links._on_closed(parent)
        node.links._on_message(parent, told)
        node.links._choose_loads_source()
        assert sent == [FollowLoads()]

    run_followed(5, [entry()], body)


def test_an_endpoint_that_moves_to_another_control_vm_is_not_taken_to_be_quiet() -> None:
    async def body(group: ControlGroup, node: Node) -> None:
        sequence = 0
        for speaker in (0, 3, 0):
            for _ in range(8):
                sequence += 1
                assert await group.processes[speaker].on_heartbeat(heartbeat(sequence))
                await anyio.sleep(1.0)
        told = [one for m in node.messages(HeartbeatsHeard) for one in m.heartbeats]  # type: ignore[attr-defined]
        assert told
        assert not [one for one in told if one.phase is EndpointPhase.QUIET]

    run_followed(5, [entry()], body)


def test_silence_is_noticed_though_the_control_vm_that_heard_the_endpoint_is_lost() -> None:
    async def body(group: ControlGroup, node: Node) -> None:
        hearer = next(number for number in range(5) if number != group.leader)
        assert await group.processes[hearer].on_heartbeat(heartbeat(1))
        await anyio.sleep(0.5)
        group.kill(hearer)
        await anyio.sleep(8.0)
        told = [one for m in node.messages(HeartbeatsHeard) for one in m.heartbeats]  # type: ignore[attr-defined]
        assert told[-1].phase is EndpointPhase.QUIET

    run_followed(5, [entry()], body)
