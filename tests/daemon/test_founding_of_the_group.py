"""The first seconds of a control group: seeds start in any order, and some are killed meanwhile."""

from __future__ import annotations

from random import Random

import anyio
import pytest

from bergamotchute_daemon.control_process import ControlProcess
from support.control_group import SEED_COUNT, ControlGroup, run_control

SIZE = 5
START_WINDOW_S = 0.3
DISRUPTED_S = 4.0
SEEDS = 6


def cluster_of(process: ControlProcess) -> str:
    """Return the cluster that is durable in the folder of a control VM, or empty."""
    replica = process.voter.replica
    if replica is None or replica.state.pending_persists:
        return ""
    return replica.state.hard_state.cluster


class FirstSeconds:
    """Starts the control VMs, kills some, and puts versions as soon as one takes them.

    :ivar clusters: every cluster that any control VM ever belonged to.
    :ivar acknowledged: the newest version that was acknowledged.
    """

    def __init__(self, group: ControlGroup, random: Random) -> None:
        self.group = group
        self.random = random
        self.clusters: set[str] = set()
        self.acknowledged = 0
        self.is_disk_lost = False

    async def start(self, number: int) -> None:
        await anyio.sleep(self.random.uniform(0.0, START_WINDOW_S))
        self.group.start(number, found=True)

    async def disrupt(self) -> None:
        """Kill one control VM after the other; a disk is lost only after an acknowledgement."""
        ends_at = anyio.current_time() + DISRUPTED_S
        while anyio.current_time() < ends_at:
            await anyio.sleep(self.random.uniform(0.05, 0.6))
            numbers = [each for each in self.group.processes if not self._is_down(each)]
            if not numbers:
                continue
            number = self.random.choice(numbers)
            is_wiped = bool(self.acknowledged) and not self.is_disk_lost
            if is_wiped:
                self.is_disk_lost = True
                self.group.wipe(number)
            else:
                self.group.kill(number, self.random.random() < 0.5)
            await anyio.sleep(self.random.uniform(0.0, 0.5))
            self.group.start(number, found=not is_wiped)

    async def operate(self) -> None:
        version = 0
        while True:
            await anyio.sleep(0.05)
            for number in list(self.group.processes):
                if self._is_down(number):
                    continue
                version += 1
                if await self.group.processes[number].put_configuration(version, b"text"):
                    self.acknowledged = max(self.acknowledged, version)

    async def watch(self) -> None:
        while True:
            self.clusters |= {cluster_of(each) for each in self.group.processes.values()} - {""}
            await anyio.sleep(0.005)

    def _is_down(self, number: int) -> bool:
        return self.group.scopes[number].cancel_called


@pytest.mark.parametrize("seed", range(SEEDS))
def test_seeds_that_are_killed_in_the_first_seconds_found_two_groups(seed: int) -> None:
    random = Random(seed)

    async def body(group: ControlGroup) -> None:
        first = FirstSeconds(group, random)
        numbers = list(range(SIZE))
        random.shuffle(numbers)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(first.watch)
            async with anyio.create_task_group() as starts:
                for number in numbers:
                    starts.start_soon(first.start, number)
            tasks.start_soon(first.operate)
            await first.disrupt()
            await group.wait_until(lambda: group.voter_count() >= SEED_COUNT)
            await group.wait_until(lambda: all(map(group.votes, range(SIZE))), 60.0)
            tasks.cancel_scope.cancel()
        assert len(first.clusters) == 1
        assert first.acknowledged
        for number in range(SIZE):
            held = await group.processes[number].read_configuration()
            assert held is not None
            assert held.version >= first.acknowledged

    run_control(body)
