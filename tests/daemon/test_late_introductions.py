"""An introduction of a replica whose folder has been emptied since, forwarded late by a follower."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from bergamotchute_consensus.messages import ConsensusMessage, Introduction
from support.control_group import ControlGroup, host, run_control

JOINING = 3


def hold_introductions(
    group: ControlGroup, number: int, introduced: int
) -> list[Callable[[], None]]:
    """Hold back the introductions of one VM that a follower forwards; return what sends them."""
    peers = group.processes[number].voter.peers
    assert peers is not None
    send = peers.send
    held: list[Callable[[], None]] = []

    def send_or_hold(address: object, message: ConsensusMessage) -> None:
        deliver = lambda: send(address, message)  # type: ignore[arg-type] # noqa: E731
        if isinstance(message, Introduction) and message.sender.address.host == host(introduced):
            held.append(deliver)
        else:
            deliver()

    peers.send = send_or_hold  # type: ignore[method-assign, assignment]
    return held


def test_a_late_introduction_of_an_emptied_folder_removes_no_live_voter() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        leader = group.leader
        assert leader is not None
        held = [
            deliver
            for number in range(3)
            if number != leader
            for deliver in [hold_introductions(group, number, JOINING)]
        ]
        group.start(JOINING)
        await group.wait_until(lambda: group.votes(JOINING))
        group.wipe(JOINING)
        await anyio.sleep(1.0)
        group.start(JOINING)
        await group.wait_until(lambda: group.votes(JOINING))
        await anyio.sleep(10.0)
        assert group.votes(JOINING)
        assert group.voter_count() == 4
        late = [deliver for each in held for deliver in each]
        assert late
        late[0]()
        voted: list[tuple[bool, int]] = []
        for _ in range(100):
            await anyio.sleep(0.1)
            voted.append((group.votes(JOINING), group.voter_count()))
        assert set(voted) == {(True, 4)}, (voted.count((True, 4)), set(voted))

    run_control(body)


def test_a_late_introduction_and_one_lost_control_vm_leave_a_leader() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        leader = group.leader
        assert leader is not None
        emptied, follower = (leader + 1) % 3, (leader + 2) % 3
        held = hold_introductions(group, follower, emptied)
        for _ in range(2):
            group.wipe(emptied)
            await anyio.sleep(1.0)
            group.start(emptied)
            await group.wait_until(lambda: group.votes(emptied))
            await anyio.sleep(10.0)
        assert (group.leader, group.voter_count()) == (leader, 3)
        assert held
        held[0]()
        await anyio.sleep(2.0)
        group.kill(follower)
        await anyio.sleep(30.0)
        assert group.leader is not None

    run_control(body)
