"""Entries that start while most control VMs are still down."""

from __future__ import annotations

import anyio
import pytest

from daemon.test_configuration_delay import FollowingEntry
from support.control_group import SEED_COUNT, ControlGroup, run_control

CONTROL_VMS = 9
ENTRIES = 8
MAX_DELAY_S = 1.0


@pytest.mark.parametrize("seed_that_runs", range(SEED_COUNT))
def test_starting_entry_drops_its_only_link_as_no_leader_is_known(seed_that_runs: int) -> None:
    async def body(group: ControlGroup) -> None:
        group.disks_to_lose = 2
        await group.found(CONTROL_VMS)
        assert await group.processes[0].put_configuration(4, b"4")
        for number in range(CONTROL_VMS):
            group.kill(number)
        others = [number for number in range(CONTROL_VMS) if number >= SEED_COUNT]
        for number in (seed_that_runs, *others[:3]):
            group.start(number)
        entries = [FollowingEntry(group, number) for number in range(ENTRIES)]
        async with anyio.create_task_group() as tasks:
            for each in entries:
                tasks.start_soon(each.run)
            await group.wait_until(lambda: all(each.links.linked for each in entries))
            for _ in range(300):
                await anyio.sleep(0.01)
                assert all(each.links.linked for each in entries)
            group.start(others[3])
            await group.wait_until(lambda: group.leader is not None)
            leader_known_at = anyio.current_time()
            await group.wait_until(lambda: all(each.in_force_at for each in entries))
            assert anyio.current_time() <= leader_known_at + MAX_DELAY_S
            tasks.cancel_scope.cancel()

    run_control(body)
