"""A control VM that opens its data folder again in the same process, after a disk failure.

Its state begins anew from the newest snapshot in the folder, while links and requests stay.
"""

from __future__ import annotations

import zlib
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import pytest

from bergamotchute_daemon import _voter_state
from bergamotchute_daemon.control_process import ControlProcess
from bergamotchute_daemon.node_runner import NODES_PATH
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    ConfigurationText,
    ConfigurationVersion,
    NodeMessage,
    QueryConfiguration,
)
from bergamotchute_wire.link import Link
from support.control_group import FOLLOWING_ENTRY, PORT, ControlGroup, host, run_control

OLD = 5
NEW = 9

REOPENED_WITHIN_S = 5.0
"""Time within which a folder is open again once its disk works."""


def is_reopened(process: ControlProcess, before: object) -> Callable[[], bool]:
    return lambda: process.voter.replica not in (None, before)


async def fail_disk(group: ControlGroup, number: int) -> None:
    """Let writes of a control VM fail until it closes its data folder."""
    process = group.processes[number]
    group.disks[number].sync_fails = True
    other = (number + 1) % len(group.processes)
    async with anyio.create_task_group() as tasks:
        # A commit makes the control VM write.
        tasks.start_soon(group.processes[other].record_endpoint_departure, "runner-x", 1)
        await group.wait_until(lambda: process.voter.replica is None)
        tasks.cancel_scope.cancel()
    group.disks[number].sync_fails = False


async def reopen(group: ControlGroup, number: int) -> None:
    """Let the disk of a control VM fail and wait until its data folder is open again."""
    before = group.processes[number].voter.replica
    await fail_disk(group, number)
    await group.wait_until(is_reopened(group.processes[number], before))


async def group_with_old_snapshot(group: ControlGroup, monkeypatch: pytest.MonkeyPatch) -> int:
    """Found a group whose snapshots hold an old configuration; return the number of a follower."""
    await group.found(3)
    assert group.leader is not None
    follower = (group.leader + 1) % 3
    with monkeypatch.context() as small:
        small.setattr(_voter_state, "SNAPSHOT_LOG_BYTES", 1)
        assert await group.processes[group.leader].put_configuration(OLD, b"old")
        await anyio.sleep(1.0)
    assert await group.processes[group.leader].put_configuration(NEW, b"new")
    await anyio.sleep(1.0)
    assert group.processes[follower].voter.state.state.configuration.version == NEW
    return follower


@asynccontextmanager
async def following(
    group: ControlGroup, number: int, received: list[NodeMessage]
) -> AsyncIterator[Link[NodeMessage]]:
    """Open a link as an entry does, and record what the control VM sends."""

    async def receive(link: Link[NodeMessage]) -> None:
        while True:
            received.append(await link.receive())

    async with (
        group.network.dial("entry", NODES_PATH)(Address(host(number), PORT)) as link,
        anyio.create_task_group() as tasks,
    ):
        await link.send(FOLLOWING_ENTRY)
        tasks.start_soon(receive, link)
        yield link
        tasks.cancel_scope.cancel()


def texts(received: list[NodeMessage]) -> list[bytes]:
    return [
        zlib.decompress(message.packed)
        for message in received
        if isinstance(message, ConfigurationText)
    ]


def test_reopened_folder_sends_no_text_older_than_the_version_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An entry that has just started learns the version before the failure, and asks after it."""

    async def body(group: ControlGroup) -> None:
        number = await group_with_old_snapshot(group, monkeypatch)
        received: list[NodeMessage] = []
        async with following(group, number, received) as link:
            await group.wait_until(lambda: ConfigurationVersion(NEW) in received)
            await fail_disk(group, number)
            group.isolate(number)
            await anyio.sleep(REOPENED_WITHIN_S + 1.0)
            assert group.processes[number].voter.state.state.configuration.version == OLD
            await link.send(QueryConfiguration())
            await anyio.sleep(1.0)
            assert texts(received) == []
            for other in range(3):
                group.network.reconnect(f"control-{number}", f"control-{other}")
            await group.wait_until(lambda: group.votes(number))
            with anyio.move_on_after(5.0):
                while not texts(received):
                    await link.send(QueryConfiguration())
                    await anyio.sleep(0.4)
        assert texts(received) == [b"new"]

    run_control(body)


def test_reopened_folder_is_read_only_once_it_holds_what_was_acknowledged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body(group: ControlGroup) -> None:
        number = await group_with_old_snapshot(group, monkeypatch)
        process = group.processes[number]
        before = process.voter.replica
        await fail_disk(group, number)
        read: list[int | None] = []
        held_before: set[int] = set()

        async def read_once() -> None:
            held_before.add(process.voter.state.state.configuration.version)
            held = await process.read_configuration()
            read.append(held.version if held is not None else None)

        async with anyio.create_task_group() as reads:
            with anyio.move_on_after(REOPENED_WITHIN_S):
                while True:
                    reads.start_soon(read_once)
                    await anyio.sleep(0.001)
        assert is_reopened(process, before)()
        assert OLD in held_before, "some reads arrive before the log is applied again"
        assert NEW in read
        assert set(read) <= {None, NEW}

    run_control(body)


def test_acknowledged_change_is_acknowledged_again_after_the_folder_was_reopened(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body(group: ControlGroup) -> None:
        number = await group_with_old_snapshot(group, monkeypatch)
        await reopen(group, number)
        process = group.processes[number]
        await group.wait_until(lambda: bool(process.voter.leader_address))
        for version, text in ((NEW, b"new"), (OLD, b"old"), (NEW, b"other")):
            assert await process.put_configuration(version, text)
        held = await process.read_configuration()
        assert held is not None
        assert (held.version, held.text) == (NEW, b"new")

    run_control(body)
