"""Entries of a control group that is split into two halves, one of which has a quorum."""

from __future__ import annotations

from random import Random

import anyio
import pytest

from daemon.test_configuration_delay import FollowingEntry
from support.control_group import ControlGroup, run_control

ENTRIES = 40
SPLIT_S = 7.5
CHANGE_INTERVAL_S = 0.3
STABLE_S = 3.0
"""How long after the split entries have to hold acknowledged versions again."""

APPLY_S = 2.0
"""How long after its acknowledgement a version has to be in force."""


@pytest.mark.parametrize("with_leader", [True, False], ids=["leader", "followers"])
@pytest.mark.parametrize("control_vms", [7, 9])
@pytest.mark.parametrize("seed", range(2))
def test_entry_keeps_an_old_configuration_as_all_its_parents_are_cut_off_from_the_quorum(
    seed: int, control_vms: int, with_leader: bool
) -> None:
    random = Random(seed)

    async def body(group: ControlGroup) -> None:
        group.disks_to_lose = 2
        await group.found(control_vms)
        entries = [FollowingEntry(group, number) for number in range(ENTRIES)]
        acknowledged_at: dict[int, float] = {}

        async with anyio.create_task_group() as tasks:
            for each in entries:
                tasks.start_soon(each.run)
            await anyio.sleep(6.0)
            minority = draw_minority(group, random, with_leader)
            majority = [number for number in range(control_vms) if number not in minority]
            split_at = anyio.current_time()
            for cut_off in minority:
                for number in majority:
                    group.network.cut(f"control-{cut_off}", f"control-{number}")
            async with anyio.create_task_group() as changes:
                for number in range(int(SPLIT_S / CHANGE_INTERVAL_S)):
                    changes.start_soon(
                        group.put_until_acknowledged,
                        number + 1,
                        lambda: random.choice(majority),
                        acknowledged_at,
                    )
                    await anyio.sleep(CHANGE_INTERVAL_S)
            await anyio.sleep(6.0)
            tasks.cancel_scope.cancel()
        assert acknowledged_at
        late = [
            (each.name, version, round(acknowledged - split_at, 2), round(delay_s, 2))
            for version, acknowledged in acknowledged_at.items()
            for each in entries
            if (delay_s := each.delay_s(version, acknowledged)) > APPLY_S
            and acknowledged + delay_s > split_at + STABLE_S
        ]
        assert not late, "entry, version, acknowledged after the split, in force after that"

    run_control(body)


def draw_minority(group: ControlGroup, random: Random, with_leader: bool) -> list[int]:
    """Return as many control VMs as leave a quorum, with the leader or without it."""
    leader = group.leader
    assert leader is not None
    others = [number for number in group.processes if number != leader]
    size = (len(group.processes) - 1) // 2
    return (
        [leader, *random.sample(others, size - 1)] if with_leader else random.sample(others, size)
    )
