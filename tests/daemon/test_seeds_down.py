"""Entries that start while two of the three control VMs that their settings name are down."""

from __future__ import annotations

from itertools import combinations

import anyio
import pytest

from daemon.test_configuration_delay import FollowingEntry
from support.control_group import SEED_COUNT, ControlGroup, run_control

CONTROL_VMS = 9
ENTRIES = 8
STABLE_S = 4.0
"""How long after their start entries have to work."""


@pytest.mark.parametrize("is_silent", [True, False], ids=["silent", "refusing"])
@pytest.mark.parametrize("down", [*combinations(range(SEED_COUNT), 2)], ids=str)
def test_entry_links_to_no_control_vm_as_the_first_two_seeds_that_it_tries_are_down(
    down: tuple[int, int], is_silent: bool
) -> None:
    async def body(group: ControlGroup) -> None:
        group.disks_to_lose = 2
        await group.found(CONTROL_VMS)
        assert await group.processes[SEED_COUNT].put_configuration(4, b"4")
        entries = [FollowingEntry(group, number) for number in range(ENTRIES)]
        for number in down:
            if is_silent:
                group.isolate(number)
                for each in entries:
                    group.network.cut(each.name, f"control-{number}")
            else:
                group.kill(number)
        await anyio.sleep(3.0)
        assert group.leader is not None
        async with anyio.create_task_group() as tasks:
            for each in entries:
                tasks.start_soon(each.run)
            await anyio.sleep(STABLE_S)
            assert [each.name for each in entries if 4 not in each.in_force_at] == []
            tasks.cancel_scope.cancel()

    run_control(body)
