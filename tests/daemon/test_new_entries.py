"""Entries that start while control VMs are lost, cut off and reopen their folders.

An entry that starts may put no version in force that is older than one acknowledged before.
"""

from __future__ import annotations

from random import Random

import anyio
import pytest

from bergamotchute_daemon import _voter_state
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import ConfigurationText, NodeMessage
from daemon.test_configuration_delay import FollowingEntry
from support.control_group import ControlGroup, run_control

CONTROL_VMS = 5
ROUNDS = 5
SEEDS = 3
DISRUPTION_S = 7.0
STABLE_S = 3.0
APPLY_S = 2.0
MAX_TRANSFER_S = 0.8


class SlowEntry(FollowingEntry):
    """An entry to which texts take long; it then asks every control VM that it is linked to."""

    def __init__(self, group: ControlGroup, number: int, random: Random) -> None:
        super().__init__(group, number)
        self.random = random

    def on_message(self, address: Address, message: NodeMessage) -> None:
        if isinstance(message, ConfigurationText):
            self.tasks.start_soon(self._on_late_text, address, message)
        else:
            super().on_message(address, message)

    async def _on_late_text(self, address: Address, message: ConfigurationText) -> None:
        await anyio.sleep(self.random.uniform(0.0, MAX_TRANSFER_S))
        self.follower.on_text(address, message)

    async def run(self) -> None:
        async with anyio.create_task_group() as self.tasks:
            await super().run()


class Operator:
    """Puts versions at random control VMs, and remembers which were acknowledged when."""

    def __init__(self, group: ControlGroup, random: Random) -> None:
        self.group = group
        self.random = random
        self.newest = 0
        self.acknowledged: list[tuple[float, int]] = []

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                self.newest += self.random.randint(1, 3)
                tasks.start_soon(self._put, self.newest)
                await anyio.sleep(self.random.uniform(0.2, 0.6))

    async def _put(self, version: int) -> None:
        for _ in range(20):
            number = self.random.randrange(CONTROL_VMS)
            process = self.group.processes[number]
            if self.group.scopes[number].cancel_called:
                continue
            if await process.put_configuration(version, b"%d" % version):
                self.acknowledged.append((anyio.current_time(), version))
                return
            await anyio.sleep(0.1)

    def acknowledged_by(self, time: float) -> int:
        """Return the newest version acknowledged by a time; 0 if there is none."""
        return max((version for at, version in self.acknowledged if at <= time), default=0)


async def disrupt(group: ControlGroup, random: Random, number: int) -> None:
    """Lose a control VM in one of the ways that may happen, and bring it back."""
    kind = random.choice(("kill", "power", "wipe", "cut", "disk", "disk"))
    if kind in ("kill", "power", "wipe"):
        if kind == "wipe":
            group.wipe(number)
        else:
            group.kill(number, kind == "power")
        await anyio.sleep(random.uniform(0.1, DISRUPTION_S))
        group.start(number)
    elif kind == "cut":
        group.isolate(number)
        await anyio.sleep(random.uniform(0.1, DISRUPTION_S))
        for other in range(CONTROL_VMS):
            group.network.reconnect(f"control-{number}", f"control-{other}")
    else:
        group.disks[number].sync_fails = True
        await anyio.sleep(random.uniform(0.1, DISRUPTION_S))
        group.disks[number].sync_fails = False


@pytest.mark.parametrize("seed", range(SEEDS))
def test_new_entry_puts_no_replaced_version_in_force(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    random = Random(seed)
    monkeypatch.setattr(_voter_state, "SNAPSHOT_LOG_BYTES", 2_000)

    async def body(group: ControlGroup) -> None:
        group.disks_to_lose = 2
        await group.found(CONTROL_VMS)
        operator = Operator(group, random)
        entries: list[tuple[SlowEntry, int]] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(operator.run)

            async def start_entries() -> None:
                while True:
                    entry = SlowEntry(group, len(entries), random)
                    entries.append((entry, operator.acknowledged_by(anyio.current_time())))
                    tasks.start_soon(entry.run)
                    await anyio.sleep(random.uniform(0.3, 1.5))

            tasks.start_soon(start_entries)
            for _ in range(ROUNDS):
                lost = random.sample(range(CONTROL_VMS), random.randint(1, 2))
                async with anyio.create_task_group() as disruptions:
                    for number in lost:
                        disruptions.start_soon(disrupt, group, random, number)
                await anyio.sleep(STABLE_S)
                due = operator.acknowledged_by(anyio.current_time() - APPLY_S)
                for entry, _ in entries:
                    # One without a configuration answers 503.
                    is_settled = entry.started_at <= anyio.current_time() - STABLE_S
                    if is_settled and entry.in_force_at:
                        assert max(entry.in_force_at) >= due, entry.name
                await group.wait_until(lambda: group.voter_count() == CONTROL_VMS)
            tasks.cancel_scope.cancel()
        firsts = [
            (entry.name, min(entry.in_force_at), acknowledged)
            for entry, acknowledged in entries
            if entry.in_force_at
        ]
        assert firsts
        assert not [each for each in firsts if each[1] < each[2]]

    run_control(body)
