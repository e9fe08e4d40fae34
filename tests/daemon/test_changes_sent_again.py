"""A change that was acknowledged is acknowledged again, whatever happened to the control VMs since."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest

from bergamotchute_daemon import _voter_state
from bergamotchute_model.endpoint_heartbeat import EndpointPhase
from bergamotchute_model.node_messages import DeparturesRecorded, NodeMessage
from support.control_group import ControlGroup, heartbeat, run_control

SIZE = 5
VERSION = 7
TEXT = b"seven" * 2_000


async def do_nothing(_: ControlGroup) -> None:
    """Send the change again at once."""


async def elect(group: ControlGroup) -> None:
    """Have another control VM lead."""
    leader = group.leader
    assert leader is not None
    group.kill(leader)
    await group.wait_until(lambda: group.leader not in (None, leader))
    group.start(leader)


async def restart(group: ControlGroup, with_power_loss: bool = False) -> None:
    """Kill all control VMs at once."""
    for number in range(SIZE):
        group.kill(number, with_power_loss)
    for number in range(SIZE):
        group.start(number)


async def lose_power(group: ControlGroup) -> None:
    """Let all control VMs lose power at once."""
    await restart(group, True)


async def lose_disk(group: ControlGroup) -> None:
    """Empty the disk of the leader while all others lose power."""
    leader = group.leader
    assert leader is not None
    for number in range(SIZE):
        if number == leader:
            group.wipe(number)
        else:
            group.kill(number, with_power_loss=True)
    for number in range(SIZE):
        group.start(number)


async def reopen(group: ControlGroup) -> None:
    """Let the disks of two control VMs fail, so that they open their folders again."""
    before = {number: group.processes[number].voter.replica for number in (1, 3)}
    for number in before:
        group.disks[number].sync_fails = True
    await group.processes[0].record_endpoint_departure("runner-x", 1)
    await group.wait_until(
        lambda: all(group.processes[number].voter.replica is None for number in before)
    )
    for number in before:
        group.disks[number].sync_fails = False


async def take_snapshot(group: ControlGroup) -> None:
    """Have all control VMs take a snapshot, and restart them on it."""
    await group.processes[0].record_endpoint_departure("runner-y", 1)
    await restart(group)


EVENTS = (do_nothing, elect, restart, lose_power, lose_disk, reopen, take_snapshot)


@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.__name__)
def test_acknowledged_change_is_refused_when_it_is_sent_again(
    event: Callable[[ControlGroup], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    if event is take_snapshot:
        monkeypatch.setattr(_voter_state, "SNAPSHOT_LOG_BYTES", 1)

    async def body(group: ControlGroup) -> None:
        await group.found(SIZE)
        assert await group.processes[2].put_configuration(VERSION, TEXT)
        await event(group)
        await group.wait_until(lambda: group.leader is not None)
        await anyio.sleep(8.0)
        for number in range(SIZE):
            process = group.processes[number]
            assert await process.put_configuration(VERSION, TEXT), number
            assert await process.put_configuration(VERSION - 1, b"older"), number
            assert await process.put_configuration(VERSION, b"other content"), number
            held = await process.read_configuration()
            assert held is not None
            assert (held.version, held.text) == (VERSION, TEXT), number

    run_control(body)


@pytest.mark.parametrize("event", [lose_power, lose_disk, reopen], ids=lambda event: event.__name__)
def test_acknowledged_departure_is_unknown_after_a_loss(
    event: Callable[[ControlGroup], Awaitable[None]],
) -> None:
    """An endpoint counts on it that no entry sends it more requests."""

    async def body(group: ControlGroup) -> None:
        await group.found(SIZE)
        assert await group.processes[2].on_heartbeat(heartbeat(2, EndpointPhase.LEAVING))
        await event(group)
        await group.wait_until(lambda: group.leader is not None)
        await anyio.sleep(8.0)
        for number in range(SIZE):
            received: list[NodeMessage] = []
            with anyio.move_on_after(3.0):
                await group.follow(number, received)
            departures = [each for each in received if isinstance(each, DeparturesRecorded)]
            assert ("runner-1", 1000) in departures[0].departures, number

    run_control(body)
