"""Entries whose parents are lost in turn, two control VMs at once, while versions follow each other."""

from __future__ import annotations

from random import Random

import anyio
import pytest

from bergamotchute_daemon.node_runner import NODE_LINK_TIMING
from daemon.test_configuration_delay import FollowingEntry
from support.control_group import ControlGroup, run_control

CONTROL_VMS = 9
ENTRIES = 37
ROUNDS = 4
CHANGE_INTERVAL_S = 0.3
STABLE_S = 4.0
APPLY_S = 2.5


def set_silent(group: ControlGroup, entries: list[FollowingEntry], number: int) -> None:
    """Let a control VM send and receive nothing, as one that is frozen or has no power."""
    group.isolate(number)
    for each in entries:
        group.network.cut(each.name, f"control-{number}")


def reconnect(group: ControlGroup, entries: list[FollowingEntry], number: int) -> None:
    for other in range(CONTROL_VMS):
        group.network.reconnect(f"control-{number}", f"control-{other}")
    for each in entries:
        group.network.reconnect(each.name, f"control-{number}")


@pytest.mark.parametrize("overlaps", [False, True], ids=["in turn", "overlapping"])
@pytest.mark.parametrize("seed", range(1))
def test_acknowledged_version_is_late_as_parents_of_an_entry_are_lost_in_turn(
    seed: int, overlaps: bool
) -> None:
    random = Random(seed)

    async def body(group: ControlGroup) -> None:
        group.disks_to_lose = 2
        group.network.silence_timeout_s = NODE_LINK_TIMING.silence_timeout_s
        await group.found(CONTROL_VMS)
        entries = [FollowingEntry(group, number) for number in range(ENTRIES)]
        acknowledged_at: dict[int, float] = {}
        events_at: list[float] = []
        silent: list[int] = []

        def choose_working() -> int:
            return random.choice([n for n in range(CONTROL_VMS) if n not in silent])

        async def put_all(tasks: anyio.abc.TaskGroup) -> None:
            version = 0
            while True:
                version += 1
                tasks.start_soon(
                    group.put_until_acknowledged, version, choose_working, acknowledged_at
                )
                await anyio.sleep(CHANGE_INTERVAL_S)

        def lose(number: int) -> None:
            silent.append(number)
            set_silent(group, entries, number)
            events_at.append(anyio.current_time())

        def restore(number: int) -> None:
            silent.remove(number)
            reconnect(group, entries, number)
            events_at.append(anyio.current_time())

        async with anyio.create_task_group() as tasks:
            for each in entries:
                tasks.start_soon(each.run)
            await anyio.sleep(6.0)
            tasks.start_soon(put_all, tasks)
            for _ in range(ROUNDS):
                lost = random.sample([n for n in range(CONTROL_VMS) if n not in silent], 2)
                if overlaps:
                    for number in silent[:]:
                        restore(number)
                for number in lost:
                    lose(number)
                await anyio.sleep(random.uniform(STABLE_S, STABLE_S + 4.0))
                if not overlaps:
                    for number in lost:
                        restore(number)
                    await anyio.sleep(random.uniform(0.5, STABLE_S + 2.0))
            tasks.cancel_scope.cancel()
        ended_at = anyio.current_time()
        assert len(acknowledged_at) > 20
        for version, at in acknowledged_at.items():
            disturbed = [event for event in events_at if event < at + APPLY_S]
            # A disturbance after the acknowledgement gives the entries STABLE_S from then on.
            due_at = max([at + APPLY_S, *(event + STABLE_S for event in disturbed)])
            if due_at < ended_at:
                late = [e.name for e in entries if at + e.delay_s(version, at) > due_at]
                assert not late, (version, at, due_at)

    run_control(body)
