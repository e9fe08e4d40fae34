"""Answers that arrive after the control VM that asked has been restarted on the same folder."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import pytest

from bergamotchute_consensus.messages import (
    ConsensusMessage,
    ForwardedAnswer,
    ForwardedRequest,
    RequestPurpose,
)
from bergamotchute_daemon.control_process import ControlProcess
from support.control_group import ControlGroup, run_control


def hold_sent(
    process: ControlProcess, is_held: Callable[[ConsensusMessage], bool]
) -> list[Callable[[], None]]:
    """Hold back messages to other control VMs; return the functions that send them."""
    peers = process.voter.peers
    assert peers is not None
    send = peers.send
    held: list[Callable[[], None]] = []

    def send_or_hold(address: object, message: ConsensusMessage) -> None:
        deliver = lambda: send(address, message)  # type: ignore[arg-type] # noqa: E731
        if is_held(message):
            held.append(deliver)
        else:
            deliver()

    peers.send = send_or_hold  # type: ignore[method-assign, assignment]
    return held


async def follower_of(group: ControlGroup) -> tuple[int, int]:
    """Return the numbers of the leader and of one follower of a new group of three."""
    await group.found(3)
    leader = group.leader
    assert leader is not None
    return leader, (leader + 1) % 3


async def restart(group: ControlGroup, number: int) -> ControlProcess:
    """Kill a process, start it on its folder and wait until it knows the leader."""
    group.kill(number)
    await anyio.sleep(0.1)
    process = group.start(number)
    await group.wait_until(lambda: bool(process.voter.leader_address))
    return process


def identity(process: ControlProcess) -> str:
    replica = process.voter.replica
    assert replica is not None
    return replica.state.local_member.replica


def is_request(purpose: RequestPurpose) -> Callable[[ConsensusMessage], bool]:
    return lambda message: isinstance(message, ForwardedRequest) and message.purpose is purpose


@pytest.mark.parametrize("earlier", [RequestPurpose.COMMAND, RequestPurpose.READ])
def test_a_late_answer_to_an_earlier_process_acknowledges_no_new_configuration(
    earlier: RequestPurpose,
) -> None:
    async def body(group: ControlGroup) -> None:
        leader, follower = await follower_of(group)
        answers = hold_sent(group.processes[leader], lambda each: isinstance(each, ForwardedAnswer))
        async with anyio.create_task_group() as tasks:
            if earlier is RequestPurpose.COMMAND:
                tasks.start_soon(group.processes[follower].put_configuration, 8, b"eight")
            else:
                tasks.start_soon(group.processes[follower].read_configuration)
            await group.wait_until(lambda: bool(answers))
            tasks.cancel_scope.cancel()
        restarted = await restart(group, follower)
        requests = hold_sent(restarted, is_request(RequestPurpose.COMMAND))
        acknowledged: list[bool] = []

        async def put() -> None:
            acknowledged.append(await restarted.put_configuration(9, b"nine"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(put)
            await group.wait_until(lambda: bool(requests))
            for deliver in answers:
                deliver()
        assert group.processes[leader].voter.state.state.configuration.version < 9
        assert acknowledged == [False]

    run_control(body)


def test_a_late_answer_to_an_earlier_process_confirms_no_read() -> None:
    async def body(group: ControlGroup) -> None:
        leader, follower = await follower_of(group)
        assert await group.processes[leader].put_configuration(8, b"eight")
        answers = hold_sent(group.processes[leader], lambda each: isinstance(each, ForwardedAnswer))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(group.processes[follower].read_configuration)
            await group.wait_until(lambda: bool(answers))
            tasks.cancel_scope.cancel()
        restarted = await restart(group, follower)
        await group.wait_until(lambda: restarted.voter.state.state.configuration.version == 8)
        requests = hold_sent(restarted, is_request(RequestPurpose.READ))
        hold_sent(
            group.processes[leader],
            lambda each: getattr(each, "recipient", "") == identity(restarted),
        )
        assert await group.processes[leader].put_configuration(9, b"nine")
        read_versions: list[int | None] = []

        async def read() -> None:
            held = await restarted.read_configuration()
            read_versions.append(None if held is None else held.version)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            await group.wait_until(lambda: bool(requests))
            for deliver in answers:
                deliver()
        assert read_versions == [None]

    run_control(body)
