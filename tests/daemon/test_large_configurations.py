"""Configurations of thousands of routes at control VMs with slow links, lost and stalled VMs."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

import anyio
import pytest

from bergamotchute_consensus.messages import AppendEntries, ForwardedRequest, SnapshotChunk
from bergamotchute_daemon._proposed_commands import ProposedCommands
from support.control_group import ControlGroup, run_control

SIZE = 9
ROUTE_COUNT = 2_000

ACKNOWLEDGE_S = 5.0
"""The target for acknowledging a configuration."""

ATTEMPT_S = 1.0
"""How long an operator waits for one control VM before trying another."""

LINK_BYTES_PER_S = 3_000_000
"""What a control VM sends in a second; a seventh of the slowest link that is deployed."""

MESSAGE_OVERHEAD_BYTES = 200
MIN_LARGE_BYTES = 100_000


def message_bytes(message: Any) -> int:
    """Return about how many bytes a message between control VMs takes."""
    match message:
        case AppendEntries():
            content = sum(len(entry.data) for entry in message.entries + message.packed_entries)
        case ForwardedRequest():
            content = len(message.command) + len(message.packed_command)
        case SnapshotChunk():
            content = len(message.data)
        case _:
            content = 0
    return MESSAGE_OVERHEAD_BYTES + content


def configuration_text(version: int, route_count: int = ROUTE_COUNT) -> bytes:
    routes = [
        {
            "name": f"r-{number:07x}",
            "host": f"h{number % 7}.example",
            "pathPrefix": f"/{number * 7919 % 99991:x}/",
            "kind": "stream",
            "timeoutMs": 8000,
            "sloMs": 402,
            "priority": 1,
            "service": "model",
            "maxAttempts": 2,
            "noAuth": False,
            "sessionAffinity": True,
            "resumable": True,
            "gapTargetMs": 120,
        }
        for number in range(route_count)
    ]
    return json.dumps({"version": version, "routes": routes}).encode()


@dataclass
class Operator:
    """Puts each configuration at one control VM after the other until one acknowledges it.

    :param delays_s: how long each version took to be acknowledged, in seconds.
    """

    group: ControlGroup
    reachable: list[int]
    delays_s: dict[int, float] = field(default_factory=dict)
    next_vm: int = 0

    async def put(self, version: int, text: bytes) -> None:
        began = anyio.current_time()
        while True:
            number = self.reachable[self.next_vm % len(self.reachable)]
            self.next_vm += 1
            acknowledged = False
            with anyio.move_on_after(ATTEMPT_S):
                acknowledged = await self.group.processes[number].put_configuration(version, text)
            if acknowledged:
                self.delays_s[version] = anyio.current_time() - began
                return
            await anyio.sleep(0.1)

    async def put_all(self, versions: list[int]) -> None:
        """Put versions one after the other; a version may overtake the one before it."""
        async with anyio.create_task_group() as tasks:
            for version in versions:
                tasks.start_soon(self.put, version, configuration_text(version))
                await anyio.sleep(0.8)


async def slow_group(group: ControlGroup) -> None:
    """Found a group of nine whose links then become slow."""
    group.disks_to_lose = 2
    await group.found(SIZE)
    assert await group.processes[0].put_configuration(1, configuration_text(1, 20))
    group.network.message_bytes = message_bytes
    group.network.bytes_per_s = LINK_BYTES_PER_S


@pytest.mark.parametrize("trouble", ["none", "stalled and cut off", "leader lost"])
def test_large_configuration_is_acknowledged_late(trouble: str) -> None:
    # Repeated proposals of a large configuration filled the links until nothing was committed.
    async def body(group: ControlGroup) -> None:
        await slow_group(group)
        leader = group.leader
        assert leader is not None
        others = [number for number in range(SIZE) if number != leader]
        reachable = others
        if trouble == "stalled and cut off":
            group.network.frozen.add(f"control-{others[0]}")
            group.isolate(others[1])
            reachable = others[2:]
        elif trouble == "leader lost":
            group.isolate(leader)
        operator = Operator(group, reachable)
        with anyio.move_on_after(60.0):
            await operator.put_all([3, 6, 9])
        assert set(operator.delays_s) == {3, 6, 9}
        assert max(operator.delays_s.values()) <= ACKNOWLEDGE_S
        for number in reachable:
            store = await group.processes[number].read_configuration()
            assert store is not None
            assert store.version == 9
        if trouble != "leader lost":
            assert large_entry_count(group, leader) == 3, "each version enters the log once"

    run_control(body)


def large_entry_count(group: ControlGroup, number: int) -> int:
    replica = group.processes[number].voter.replica
    assert replica is not None
    return sum(len(entry.data) > MIN_LARGE_BYTES for entry in replica.state.log.entries)


def test_calls_for_one_configuration_at_several_vms_make_several_entries() -> None:
    # Each control VM that was called proposed the configuration for itself.
    async def body(group: ControlGroup) -> None:
        await slow_group(group)
        leader = group.leader
        assert leader is not None
        text = configuration_text(4)
        async with anyio.create_task_group() as tasks:
            for number in range(SIZE):
                tasks.start_soon(group.processes[number].put_configuration, 4, text)
        assert large_entry_count(group, leader) == 1
        # Whoever asks later gets the acknowledgement without another entry.
        assert await group.processes[leader].put_configuration(4, text)
        assert large_entry_count(group, leader) == 1

    run_control(body)


def test_call_after_a_call_that_gave_up_proposes_again() -> None:
    # A call that gave up left its proposal behind, and the next one at the same VM added another.
    async def body(group: ControlGroup) -> None:
        await slow_group(group)
        leader = group.leader
        assert leader is not None
        caller = (leader + 1) % SIZE
        text = configuration_text(4)
        with anyio.move_on_after(0.1):
            await group.processes[caller].put_configuration(4, text)
        assert await group.processes[caller].put_configuration(4, text)
        assert large_entry_count(group, leader) == 1
        assert not group.processes[caller].control.in_progress

    run_control(body)


def test_answer_lost_between_control_vms_leaves_a_configuration_unacknowledged() -> None:
    # The answer of the leader was the only way to learn of a commit that the VM itself had applied.
    async def body(group: ControlGroup) -> None:
        await slow_group(group)
        leader = group.leader
        assert leader is not None
        caller = (leader + 1) % SIZE
        process = group.processes[caller]
        process.voter.on_forwarded_answer = lambda message: None  # type: ignore[method-assign]
        assert await process.put_configuration(4, configuration_text(4))

    run_control(body)


def test_joined_calls_get_no_answer_when_the_leader_steps_down() -> None:
    # Requests that joined a proposal must fail with it, or they would wait until they expire.
    commands = ProposedCommands()
    assert commands.join(b"put", "1")
    assert not commands.join(b"put", "2")
    assert commands.join(b"other", "3")
    assert commands.take_tokens("1") == ["1", "2"]
    assert commands.join(b"put", "4"), "a command whose proposal ended is proposed again"
    assert commands.take_tokens("unknown") == ["unknown"]
