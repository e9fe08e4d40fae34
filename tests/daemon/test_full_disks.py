"""Control VMs whose disks are full for a while, one after another, while changes are made."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import anyio
import pytest
import trio
import trio.testing

from bergamotchute_consensus.file_disk import FileDisk
from bergamotchute_consensus.replica_settings import ELECTION_TIMEOUT_S
from bergamotchute_daemon.control_process import ControlProcess
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.node_runner import open_data_folder
from bergamotchute_model.event_record import EventRecord
from support.control_group import ControlGroup, run_control
from support.voters import run_disk_write_inline

ACKNOWLEDGEMENT_LIMIT_S = 4.0
"""The stated limit of the time from a change being sent to its acknowledgement."""

CATCH_UP_S = 4.0
"""How long a VM still counts as lost once its disk has room again."""

CHANGE_INTERVAL_S = 0.2


@dataclass
class Changes:
    """Changes that an operator sends one after another, each until it is acknowledged.

    :param longest_wait_s: the longest time from a change being sent to its acknowledgement.
    :param version: the last version that was acknowledged.
    """

    group: ControlGroup
    longest_wait_s: float = 0.0
    version: int = 0

    async def run(self) -> None:
        """Send changes until cancelled, each attempt to the next VM."""
        attempts = 0
        while True:
            began = anyio.current_time()
            is_confirmed = False
            try:
                while not is_confirmed:
                    attempts += 1
                    process = self.group.processes[attempts % len(self.group.processes)]
                    version = self.version + 1
                    is_confirmed = await process.put_configuration(version, b"%d" % version)
                self.version += 1
            finally:
                waited_s = anyio.current_time() - began
                self.longest_wait_s = max(self.longest_wait_s, waited_s)
            await anyio.sleep(CHANGE_INTERVAL_S)


async def fill_disk(group: ControlGroup, number: int, full_s: float) -> None:
    group.disks[number].capacity_bytes = 0
    await anyio.sleep(full_s)
    group.disks[number].capacity_bytes = None


async def fill_disks_in_turn(group: ControlGroup, full_s: float, pause_s: float) -> None:
    """Fill each disk once for ``full_s``, the next one ``pause_s`` after it has room again."""
    for number in sorted(group.processes):
        await fill_disk(group, number, full_s)
        await anyio.sleep(pause_s)


def has_a_replica(group: ControlGroup, number: int) -> bool:
    replica = group.processes[number].voter.replica
    return replica is not None and not replica.failed


def records_of(process: ControlProcess, event: str) -> list[EventRecord]:
    return [record for record in process.log.recent_records if record.event == event]


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("full_s", [0.4, 1.2, 2.0, 5.5, 12.0])
@pytest.mark.parametrize("pause_s", [0.0, CATCH_UP_S])
def test_disks_full_one_after_another_delay_no_change(
    size: int, full_s: float, pause_s: float
) -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(size)
        changes = Changes(group)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(changes.run)
            await anyio.sleep(1.0)
            for _ in range(2):
                await fill_disks_in_turn(group, full_s, pause_s)
            await anyio.sleep(ACKNOWLEDGEMENT_LIMIT_S)
            tasks.cancel_scope.cancel()
        assert changes.longest_wait_s <= ACKNOWLEDGEMENT_LIMIT_S

    run_control(body)


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("full_s", [0.4, 1.2, 2.0, 5.5, 12.0])
def test_a_voter_whose_disk_has_room_again_takes_part_within_the_catch_up_time(
    size: int, full_s: float
) -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(size)
        changes = Changes(group)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(changes.run)
            await anyio.sleep(1.0)
            for number in sorted(group.processes):
                await fill_disk(group, number, full_s)
                await anyio.sleep(CATCH_UP_S)
                assert has_a_replica(group, number)
                assert group.votes(number)
            tasks.cancel_scope.cancel()

    run_control(body)


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("fault", ["sync", "hang"])
def test_disks_that_fail_to_sync_or_hang_one_after_another_delay_no_change(
    size: int, fault: str
) -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(size)
        changes = Changes(group)
        hanging = {number: hang_writes(group, number) for number in group.processes}
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(changes.run)
            await anyio.sleep(1.0)
            for _ in range(2):
                for number in sorted(group.processes):
                    if fault == "sync":
                        group.disks[number].sync_fails = True
                    else:
                        hanging[number].append(anyio.Event())
                    await anyio.sleep(2.0)
                    group.disks[number].sync_fails = False
                    if hanging[number]:
                        hanging[number].pop().set()
            await anyio.sleep(ACKNOWLEDGEMENT_LIMIT_S)
            tasks.cancel_scope.cancel()
        assert changes.longest_wait_s <= ACKNOWLEDGEMENT_LIMIT_S

    run_control(body)


def hang_writes(group: ControlGroup, number: int) -> list[anyio.Event]:
    """Let disk operations wait while the list returned holds an event, until that is set."""
    hanging: list[anyio.Event] = []

    async def run_when_released(function: Callable[[], None]) -> None:
        for released in hanging:
            await released.wait()
        await run_disk_write_inline(function)

    group.processes[number].voter.run_blocking = run_when_released
    disk_writer = group.processes[number].voter.disk_writer
    assert disk_writer is not None
    disk_writer.run_blocking = run_when_released
    return hanging


def test_a_voter_whose_disk_stays_full_refuses_operators_at_once() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        leader = group.leader
        assert leader is not None
        process = group.processes[(leader + 1) % 3]
        group.disks[(leader + 1) % 3].capacity_bytes = 0
        assert await group.processes[leader].put_configuration(1, b"one")
        await anyio.sleep(1.0)
        began = anyio.current_time()
        assert not await process.put_configuration(2, b"two")
        assert await process.read_configuration() is None
        assert anyio.current_time() == began
        assert await process.put_configuration(0, b"a version that is not higher")
        (refused,) = records_of(process, "configuration_unsure")
        assert "disk" in str(refused.fields["detail"])

    run_control(body)


def test_the_log_tells_of_each_of_two_failures_in_short_order() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(Changes(group).run)
            for _ in range(2):
                await fill_disk(group, 1, 1.0)
                await anyio.sleep(1.0)
            tasks.cancel_scope.cancel()
        process = group.processes[1]
        assert len(records_of(process, "voter_disk_failed")) == 2
        assert len(records_of(process, "voter_disk_recovered")) == 2

    run_control(body)


@pytest.mark.parametrize("with_power_loss", [False, True])
@pytest.mark.parametrize("is_empty", [False, True])
def test_a_voter_started_on_a_full_disk_takes_part_once_there_is_room(
    with_power_loss: bool, is_empty: bool
) -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(5)
        leader = group.leader
        assert leader is not None
        number, other = (leader + 1) % 5, (leader + 2) % 5
        assert await group.processes[other].put_configuration(1, b"one")
        group.kill(number, with_power_loss)
        if is_empty:
            group.disks[number].files.clear()
        group.disks[number].capacity_bytes = 0
        process = group.start(number)
        await anyio.sleep(12.0)
        assert await group.processes[other].put_configuration(2, b"two")
        assert not await process.put_configuration(3, b"three")
        assert await process.read_configuration() is None
        group.disks[number].capacity_bytes = None
        await group.wait_until(lambda: group.votes(number), CATCH_UP_S)
        held = await process.read_configuration()
        assert held is not None
        assert held.version >= 2

    run_control(body)


@pytest.mark.parametrize("size", [3, 5])
def test_a_leader_whose_disk_fails_is_replaced_before_the_others_miss_it(size: int) -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(size)
        leader = group.leader
        assert leader is not None
        other = (leader + 1) % size
        assert await group.processes[other].put_configuration(1, b"one")
        group.disks[leader].capacity_bytes = 0
        began = anyio.current_time()
        assert await group.processes[other].put_configuration(2, b"two")
        await group.wait_until(lambda: group.leader not in (None, leader))
        assert anyio.current_time() - began < ELECTION_TIMEOUT_S

    run_control(body)


def test_the_log_and_a_gauge_tell_that_a_disk_failed_and_for_how_long() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        process = group.processes[1]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(Changes(group).run)
            tasks.start_soon(fill_disk, group, 1, 25.0)
            await anyio.sleep(24.0)
            assert 22.0 < process.gauges()["disk_failed_s"] <= 24.0
            failures = records_of(process, "voter_disk_failed")
            assert all("no space left on device" in str(each.fields["detail"]) for each in failures)
            outages_s = [int(each.fields["outage_ms"]) // 1000 for each in failures]
            assert outages_s == [0, 10, 20]
            await anyio.sleep(2.0)
            assert process.gauges()["disk_failed_s"] == 0.0
            (recovered,) = records_of(process, "voter_disk_recovered")
            assert 23_000 < int(recovered.fields["outage_ms"]) < 26_000
            tasks.cancel_scope.cancel()

    run_control(body)


def test_a_control_process_waits_for_room_for_its_data_folder(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    open_file = os.open
    refused: list[str] = []

    def open_when_there_is_room(path: Path, flags: int, mode: int) -> int:
        if len(refused) < 3:
            refused.append(path.name)
            raise OSError(errno.ENOSPC, "no space left on device")
        return open_file(path, flags, mode)

    async def main() -> None:
        log = EventLog("control-0", "control", "life1", lambda: 0)
        disk = await open_data_folder(tmp_path / "data", log)
        disk.close()
        failures = [each for each in log.recent_records if each.event == "voter_disk_failed"]
        assert len(failures) == 3
        assert anyio.current_time() < CATCH_UP_S

    monkeypatch.setattr(os, "open", open_when_there_is_room)
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_data_folder_that_another_process_holds_is_an_error(tmp_path: Path) -> None:
    holder = FileDisk(tmp_path / "data")

    async def main() -> None:
        log = EventLog("control-0", "control", "life1", lambda: 0)
        with pytest.raises(BlockingIOError):
            await open_data_folder(tmp_path / "data", log)

    trio.run(main)
    holder.close()
