"""Evacuations of availability zones: committed before they are acknowledged, and lifted in order."""

from __future__ import annotations

from dataclasses import replace

import anyio
import pytest

from bergamotchute_daemon._voter_state import COMMAND_CODEC
from bergamotchute_daemon.evacuations.evacuation_orders import OrderOutcome, read_evacuations
from bergamotchute_daemon.node_runner import NODES_PATH
from bergamotchute_model.commands import RecordDecision
from bergamotchute_model.evacuations import EvacuationsInForce, ZoneEvacuation
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import ConfigurationVersion, EntryState, NodeMessage
from bergamotchute_state.control_state import ControlState
from support.control_group import FOLLOWING_ENTRY, PORT, ControlGroup, heartbeat, host, run_control

ENTRY = replace(FOLLOWING_ENTRY, accepts_evacuations=True)


async def found_with_zone(group: ControlGroup, size: int = 3) -> None:
    """Found a group whose first process heard from an endpoint of the zone ``north``."""
    await group.found(size)
    for number in range(size):
        assert await group.processes[number].on_heartbeat(heartbeat(1))


async def order(group: ControlGroup, number: int, is_evacuated: bool) -> OrderOutcome:
    return await group.processes[number].evacuations.order("north", is_evacuated)


def state_at(group: ControlGroup, number: int) -> tuple[ZoneEvacuation, ...]:
    return read_evacuations(group.processes[number].voter.state.state)


async def follow(
    group: ControlGroup, number: int, heard: list[NodeMessage], entry: EntryState = ENTRY
) -> None:
    """Follow a process as an entry does, until cancelled."""
    async with group.network.dial(entry.name, NODES_PATH)(Address(host(number), PORT)) as link:
        await link.send(entry)
        while True:
            heard.append(await link.receive())


def newest(heard: list[NodeMessage]) -> ZoneEvacuation | None:
    zones = [z for each in heard if isinstance(each, EvacuationsInForce) for z in each.zones]
    return max(zones, key=lambda zone: zone.version, default=None)


def test_acknowledged_evacuation_reaches_the_followers_of_all_control_vms() -> None:
    async def body(group: ControlGroup) -> None:
        await found_with_zone(group)
        heard: dict[int, list[NodeMessage]] = {number: [] for number in range(3)}
        async with anyio.create_task_group() as tasks:
            for number in range(3):
                tasks.start_soon(follow, group, number, heard[number])
            await anyio.sleep(1)
            for is_evacuated in (True, False):
                assert await order(group, 1, is_evacuated) is OrderOutcome.ACKNOWLEDGED
                acknowledged_at = anyio.current_time()
                expected = ZoneEvacuation("north", 1 if is_evacuated else 2, is_evacuated)
                await group.wait_until(
                    lambda expected=expected: all(
                        newest(each) == expected for each in heard.values()
                    )
                )
                assert anyio.current_time() - acknowledged_at < 1.0
            tasks.cancel_scope.cancel()

    run_control(body)


def test_entry_that_starts_later_learns_of_evacuations_before_its_configuration() -> None:
    async def body(group: ControlGroup) -> None:
        await found_with_zone(group)
        assert await group.processes[0].put_configuration(3, b"three")
        await order(group, 0, True)
        heard: list[NodeMessage] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow, group, 2, heard)
            await group.wait_until(lambda: ConfigurationVersion(3) in heard)
            tasks.cancel_scope.cancel()
        kinds = [each.kind for each in heard]
        assert kinds.index("evacuations_in_force") < kinds.index("configuration_version")

    run_control(body)


def test_entry_of_an_earlier_build_gets_no_message_that_it_cannot_read() -> None:
    async def body(group: ControlGroup) -> None:
        await found_with_zone(group)
        heard: list[NodeMessage] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow, group, 0, heard, FOLLOWING_ENTRY)
            await anyio.sleep(1)
            await order(group, 0, True)
            await anyio.sleep(1)
            tasks.cancel_scope.cancel()
        assert heard
        assert newest(heard) is None

    run_control(body)


@pytest.mark.parametrize("with_power_loss", [False, True])
def test_acknowledged_evacuation_survives_the_loss_of_all_control_vms(
    with_power_loss: bool,
) -> None:
    async def body(group: ControlGroup) -> None:
        await found_with_zone(group, 5)
        assert await order(group, 2, True) is OrderOutcome.ACKNOWLEDGED
        await group.restart_all(with_power_loss)
        heard: list[NodeMessage] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow, group, 3, heard)
            await group.wait_until(lambda: newest(heard) == ZoneEvacuation("north", 1, True))
            tasks.cancel_scope.cancel()

    run_control(body)


def test_snapshot_with_evacuations_is_the_same_kind_that_earlier_builds_read() -> None:
    async def body(group: ControlGroup) -> None:
        await found_with_zone(group)
        await order(group, 0, True)
        restored = ControlState()
        restored.restore(group.processes[0].voter.state.state.snapshot())
        assert read_evacuations(restored) == (ZoneEvacuation("north", 1, True),)

    run_control(body)


def test_repeated_orders_are_acknowledged_without_another_record() -> None:
    async def body(group: ControlGroup) -> None:
        await found_with_zone(group)
        assert await order(group, 0, False) is OrderOutcome.ACKNOWLEDGED
        assert state_at(group, 0) == ()
        await order(group, 0, True)
        revision = group.processes[0].voter.state.state.revision
        for number in range(3):
            assert await order(group, number, True) is OrderOutcome.ACKNOWLEDGED
        assert group.processes[0].voter.state.state.revision == revision

    run_control(body)


def test_order_is_found_again_after_the_leader_was_lost_before_its_acknowledgement() -> None:
    async def body(group: ControlGroup) -> None:
        await found_with_zone(group, 5)
        leader = group.leader
        assert leader is not None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(order, group, leader, True)
            with anyio.fail_after(1):
                while not any(state_at(group, number) for number in range(5)):  # noqa: ASYNC110
                    await anyio.sleep(0.0001)
            group.kill(leader)
            tasks.cancel_scope.cancel()
        other = (leader + 1) % 5
        await group.wait_until(lambda: group.leader not in (None, leader))
        assert await order(group, other, True) is OrderOutcome.ACKNOWLEDGED
        assert state_at(group, other) == (ZoneEvacuation("north", 1, True),)

    run_control(body)


def test_copy_of_an_order_that_is_committed_late_does_not_undo_a_newer_one() -> None:
    async def body(group: ControlGroup) -> None:
        await found_with_zone(group)
        await order(group, 0, True)
        decision = group.processes[0].voter.state.state.decisions.in_force["evacuation/north"]
        late = RecordDecision("evacuation/north", decision.fence, 0, decision.value)
        await order(group, 1, False)
        assert COMMAND_CODEC.encode(late)
        await group.processes[2].control.commit(late, 1.0)
        assert state_at(group, 2) == (ZoneEvacuation("north", 2, False),)

    run_control(body)


def test_orders_of_two_operators_at_once_are_seen_in_one_order_everywhere() -> None:
    async def body(group: ControlGroup) -> None:
        await found_with_zone(group)
        for _ in range(10):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(order, group, 0, True)
                tasks.start_soon(order, group, 1, False)
                tasks.start_soon(order, group, 2, True)
        await anyio.sleep(1)
        assert len({state_at(group, number) for number in range(3)}) == 1

    run_control(body)


def test_order_on_an_unknown_zone_is_refused_and_on_an_isolated_vm_not_acknowledged() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        process = group.processes[0]
        assert await process.evacuations.order("north", True) is OrderOutcome.UNCONFIRMED
        await process.on_heartbeat(heartbeat(1))
        assert await process.evacuations.order("nowhere", True) is OrderOutcome.UNKNOWN_ZONE
        group.isolate(0)
        assert await process.evacuations.order("north", True) is OrderOutcome.UNCONFIRMED

    run_control(body)
