"""Random walks over faults of whole control VMs, reproducible by seed.

Many seeds by hand, in the folder of the tests:
``python -m support.control_walk --kind RestartingWalk --size 5 --first 100 --seeds 50``.
"""

from __future__ import annotations

import argparse
import logging
import math
import zlib
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any, cast

import anyio
import trio
import trio.testing
from anyio.abc import TaskGroup
from trio._core import _run

from bergamotchute_consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    ForwardedAnswer,
    ForwardedRequest,
    Introduction,
    RequestVote,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
)
from bergamotchute_daemon.configuration_follower import ConfigurationFollower
from bergamotchute_daemon.control_process import ControlProcess
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.node_runner import NODES_PATH
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    ConfigurationText,
    ConfigurationVersion,
    DeparturesRecorded,
    EntryState,
    NodeMessage,
)
from bergamotchute_wire.link import DialFailed, LinkClosed
from bergamotchute_wire.outbox import Outbox, open_outbox
from support.configuration_history import ConfigurationHistory, FollowedVersions, HistoryViolation
from support.control_group import PORT, SEED_COUNT, ControlGroup, host
from support.late_network import LateNetwork, MessageFaults
from support.memory_disk import MemoryDisk, PowerLossError

WALK_DURATIONS_S = (5.0, 10.0, 15.0)
MOVE_INTERVALS_S = (0.2, 0.5, 1.5)
WAIT_FOR_REDUNDANCY_S = 10.0
MEMBERSHIP_CHECK_INTERVAL_S = 0.1
DISK_REOPENING_S = 5.0
"""A voter whose disk failed has opened its folder again by then."""

STABILITY_S = 3.0
CLIENTS_AFTER_HEALING_S = 1.0
ACKNOWLEDGEMENT_LIMIT_S = 4.0
FOLLOWER_LIMIT_S = 2.0
REDUNDANCY_LIMIT_S = 30.0
SILENCE_S = 10.0
"""A voter that was silent for less time than this may not be removed."""

EXCHANGES = (
    (ForwardedRequest, ForwardedAnswer),
    (AppendEntries, AppendEntriesReply),
    (RequestVote, VoteReply),
    (SnapshotChunk, SnapshotReply),
    (Introduction,),
)
"""Kinds of message that belong together."""

LARGE_TEXT_BYTES = 6_000
"""Above the size from which voters compress commands and entries."""


class LivenessViolation(Exception):
    """A healed group doesn't serve in time, or a healthy voter was removed."""


@dataclass
class WalkedGroup(ControlGroup):
    """Control processes whose disks may be slow, fail, or lose their power during a write."""

    random: Random = field(default_factory=lambda: Random(0))
    slow_disks: dict[int, float] = field(default_factory=dict)

    def start(self, number: int, found: bool = False) -> ControlProcess:
        """Start a process on its disk."""
        if number not in self.disks:
            self.disks[number] = MemoryDisk(Random(self.random.getrandbits(32)))
        process = super().start(number, found)
        cast("LateNetwork", self.network).starts[f"control-{number}"] += 1
        process.voter.random = Random(self.random.getrandbits(32))
        process.voter.run_blocking = partial(self._run_disk_write, number)
        return process

    async def _run_disk_write(self, number: int, function: Callable[[], None]) -> None:
        disk = self.disks[number]
        await anyio.sleep(self.slow_disks.get(number, 0.0))
        try:
            function()
        except PowerLossError:
            self.tasks.start_soon(self._restart_after_power_loss, number, disk)
            await anyio.sleep_forever()
        await anyio.sleep(0.0005)

    async def _restart_after_power_loss(self, number: int, disk: MemoryDisk) -> None:
        if self.disks.get(number) is disk and self.is_up(number):
            self.kill(number, with_power_loss=True)
            await anyio.sleep(0.2)
            if self.disks.get(number) is disk and not self.is_up(number):
                self.start(number, found=number < SEED_COUNT)

    def is_up(self, number: int) -> bool:
        """Return whether a process runs."""
        return number in self.scopes and not self.scopes[number].cancel_called

    def is_running(self, number: int, process: ControlProcess) -> bool:
        """Return whether this process has not been killed."""
        return self.processes.get(number) is process and self.is_up(number)


class ControlWalk:
    """One random walk: moves against a group, beside lanes of puts, reads and followers.

    :param totals: counts what the walk met.
    :param size: the number of control VMs.
    """

    def __init__(self, seed: int, totals: Counter[str], size: int, tasks: TaskGroup) -> None:
        self.random = Random(seed)
        self.totals = totals
        self.tasks = tasks
        self.network = LateNetwork(tasks)
        self.group = WalkedGroup(tasks, self.network, random=Random(seed + 1))
        self.group.disks_to_lose = 1 if size == 3 else self.random.choice((1, 2))
        self.numbers = list(range(size))
        self.next_number = size
        self.unsteady = self.random.randrange(size)
        self.unsteady_call_ratio = 0.0
        self.history = ConfigurationHistory()
        self.version = 0
        self.troubled_until: dict[int, float] = {}
        self.committed_voters: frozenset[str] = frozenset()
        self.entries: list[WalkedEntry] = []
        self.put_count = 0
        self.clients_pause_s = self.random.choice((0.02, 0.05, 0.1))
        self.move_interval_s = self.random.choice(MOVE_INTERVALS_S)
        self.moves: list[tuple[Callable[[], Awaitable[None]], int]] = [
            (self.restart, 8),
            (self.restart_in_series, 4),
            (self.lose_power, 3),
            (self.lose_power_in_write, 3),
            (self.lose_all_power, 1),
            (self.stop, 2),
            (self.freeze, 5),
            (self.cut, 4),
            (self.cut_one_way, 3),
            (self.fill_disk, 4),
            (self.fail_sync, 3),
            (self.slow_disk, 3),
            (self.lose_disks, 3),
            (self.replace, 1),
        ]
        self.moves = [each for each in self.moves if self.random.random() < 0.7]
        self.moves.append((self.start_entry, 8))
        self.duration_s = self.random.choice(WALK_DURATIONS_S)
        self.well_s = SILENCE_S

    async def run(self) -> None:
        """Found a group, make random moves, then heal all faults and check that it works.

        :raises HistoryViolation: when a client saw what the history doesn't allow.
        :raises LivenessViolation: when the healed group doesn't serve in time.
        """
        await self.group.found(len(self.numbers))
        self.network.faults = self._draw_faults()
        moves = [move for move, _ in self.moves]
        weights = [weight for _, weight in self.moves]
        async with anyio.create_task_group() as clients:
            for lane in range(self.random.randint(1, 4)):
                clients.start_soon(self._put_in_turn, lane)
            for _ in range(self.random.randint(1, 4)):
                clients.start_soon(self._read_in_turn)
            clients.start_soon(self._watch_membership)
            end = anyio.current_time() + self.duration_s
            async with anyio.create_task_group() as faults:
                while anyio.current_time() < end:
                    await anyio.sleep(self.random.expovariate(1 / self.move_interval_s))
                    move = self.random.choices(moves, weights)[0]
                    self.totals[move.__name__] += 1
                    faults.start_soon(move)
                faults.cancel_scope.cancel()
            self._heal()
            await anyio.sleep(CLIENTS_AFTER_HEALING_S)
            clients.cancel_scope.cancel()
        async with anyio.create_task_group() as watch:
            watch.start_soon(self._watch_membership)
            await self._check_healed()
            watch.cancel_scope.cancel()
        self._count()

    def _draw_faults(self) -> MessageFaults:
        """Draw how messages fare in this walk, which stresses a few kinds of exchange."""
        draw = self.random
        exchanges = draw.sample(EXCHANGES, draw.randint(1, 2))
        kinds = tuple(kind for exchange in exchanges for kind in exchange)
        return MessageFaults(
            draw,
            late_ratio=draw.choice((0.0, 0.01, 0.05, 0.2)),
            lost_ratio=draw.choice((0.0, 0.005, 0.02)),
            doubled_ratio=draw.choice((0.0, 0.02, 0.1)),
            often_late=kinds,
            often_late_ratio=draw.choice((0.2, 0.4, 0.6)),
            longest_range=draw.randint(1, 4),
        )

    def _count(self) -> None:
        self.totals["walks"] += 1
        self.totals["starts"] += sum(self.network.starts.values())
        self.totals["puts"] += self.put_count
        self.totals["acknowledged"] += self.history.acknowledged_count
        self.totals["reads"] += self.history.read_count
        self.totals["confirmed links"] += self.history.follower_count
        self.totals.update(self.network.counts)

    # Clients.

    def _random_process(self) -> tuple[int, ControlProcess]:
        number = self.random.choice(self.numbers)
        if self.unsteady in self.numbers and self.random.random() < self.unsteady_call_ratio:
            number = self.unsteady
        return number, self.group.processes[number]

    async def _put_in_turn(self, lane: int) -> None:
        while True:
            await anyio.sleep(self.random.expovariate(1 / self.clients_pause_s))
            await self._put(lane, *self._random_process())

    async def _put(self, lane: int, number: int, process: ControlProcess) -> bool:
        """Put a higher version, or the newest one with another text."""
        if not self.version or self.random.random() < 0.85:
            self.version += self.random.randint(1, 3)
        self.put_count += 1
        version, text = self.version, f"{self.version} {lane} {self.put_count}".encode()
        if self.random.random() < 0.1:
            text += b" " * LARGE_TEXT_BYTES
        self.history.begin_put(version, text)
        succeeded = await process.put_configuration(version, text)
        if not succeeded or not self.group.is_running(number, process):
            return False
        self.history.acknowledge(version)
        return True

    async def _read_in_turn(self) -> None:
        while True:
            await anyio.sleep(self.random.expovariate(1 / self.clients_pause_s))
            await self._read(*self._random_process())

    async def _read(self, number: int, process: ControlProcess) -> bool:
        in_effect = self.history.in_effect
        held = await process.read_configuration()
        if held is None or not self.group.is_running(number, process):
            return False
        self.history.end_read(in_effect, held.version, held.text)
        return True

    async def start_entry(self) -> None:
        """Start an entry that follows a few control VMs; at times it leaves again."""
        numbers = self.random.sample(self.numbers, min(3, len(self.numbers)))
        entry = WalkedEntry(f"entry-{len(self.entries)}", self.network, self.history)
        self.entries.append(entry)
        with anyio.move_on_after(self.random.choice((0.5, 3.0, 10.0, 60.0))):
            await entry.run(numbers)

    # Faults.

    def _trouble(self, number: int, duration_s: float) -> None:
        until = anyio.current_time() + duration_s
        self.troubled_until[number] = max(until, self.troubled_until.get(number, 0.0))

    def _random_up_number(self) -> int | None:
        """Return a process that is up, often the same one, or the leader."""
        up = [number for number in self.numbers if self.group.is_up(number)]
        if self.unsteady in up and self.random.random() < 0.4:
            return self.unsteady
        leader = self.group.leader
        if leader in up and self.random.random() < 0.3:
            return leader
        return self.random.choice(up) if up else None

    def _start_again(self, number: int, disk: MemoryDisk) -> None:
        if self.group.disks.get(number) is disk and not self.group.is_up(number):
            self.group.start(number, found=number < SEED_COUNT)

    async def _kill_and_start(
        self, number: int, down_s: float, with_power_loss: bool = False
    ) -> None:
        if not self.group.is_up(number):
            return
        disk = self.group.disks[number]
        self._trouble(number, down_s + 1.0)
        self.group.kill(number, with_power_loss)
        await anyio.sleep(down_s)
        self._start_again(number, disk)

    async def restart(self) -> None:
        """Kill a process and start it again on its disk."""
        number = self._random_up_number()
        if number is not None:
            await self._kill_and_start(number, self.random.choice((0.02, 0.2, 1.0, 4.0)))

    async def restart_in_series(self) -> None:
        """Kill and start a process several times in short order."""
        number = self._random_up_number()
        for _ in range(self.random.randint(2, 6)):
            if number is not None:
                await self._kill_and_start(number, self.random.choice((0.02, 0.1)))
                await anyio.sleep(self.random.choice((0.3, 0.6, 1.0, 2.0)))

    async def lose_power(self) -> None:
        """Kill a process and lose the bytes that were not synced."""
        number = self._random_up_number()
        if number is not None:
            await self._kill_and_start(number, self.random.choice((0.1, 1.0)), True)

    async def lose_power_in_write(self) -> None:
        """Lose the power of a VM at a random operation of its disk."""
        number = self._random_up_number()
        if number is not None:
            self._trouble(number, 2.0)
            disk = self.group.disks[number]
            disk.power_loss_operation = disk.operation_count + self.random.randint(1, 6)

    async def lose_all_power(self) -> None:
        """Lose the power of all VMs at once, and sometimes the disks of some of them."""
        lost = self._disks_that_may_be_lost() if self.random.random() < 0.5 else []
        for number in list(self.numbers):
            self._trouble(number, 8.0)
            if self.group.is_up(number):
                self.group.kill(number, with_power_loss=True)
            if number in lost:
                del self.group.disks[number]
        await anyio.sleep(self.random.choice((0.2, 2.0)))
        for number in list(self.numbers):
            if not self.group.is_up(number):
                self.group.start(number, found=number < SEED_COUNT)

    async def stop(self) -> None:
        """Drain a process as a stop by an operator does, then end and start it."""
        number = self._random_up_number()
        if number is None:
            return
        process = self.group.processes[number]
        await process.drain()
        if self.group.is_running(number, process):
            await self._kill_and_start(number, self.random.choice((0.05, 2.0)))

    async def freeze(self) -> None:
        """Freeze a VM; its messages wait."""
        number = self._random_up_number()
        if number is None:
            return
        duration_s = self.random.choice((0.2, 1.0, 2.5, 5.0))
        self._trouble(number, duration_s + 1.0)
        self.network.frozen.add(f"control-{number}")
        try:
            await anyio.sleep(duration_s)
        finally:
            self.network.frozen.discard(f"control-{number}")

    async def cut(self) -> None:
        """Cut a VM off from the others."""
        number = self._random_up_number()
        others = [other for other in self.numbers if other != number]
        if number is None:
            return
        cut = self.random.sample(others, self.random.randint(1, len(others)))
        duration_s = self.random.choice((0.3, 2.0, 6.0))
        for other in cut:
            self._trouble(other, duration_s + 4.0)
            self.network.cut(f"control-{number}", f"control-{other}")
        self._trouble(number, duration_s + 4.0)
        try:
            await anyio.sleep(duration_s)
        finally:
            for other in cut:
                self.network.reconnect(f"control-{number}", f"control-{other}")

    async def cut_one_way(self) -> None:
        """Lose the messages from one VM to another."""
        first, second = self.random.sample(self.numbers, 2)
        duration_s = self.random.choice((0.3, 2.0, 6.0))
        self._trouble(first, duration_s + 4.0)
        self._trouble(second, duration_s + 4.0)
        direction = (f"control-{first}", f"control-{second}")
        self.network.cut_directions.add(direction)
        try:
            await anyio.sleep(duration_s)
        finally:
            self.network.cut_directions.discard(direction)

    async def fill_disk(self) -> None:
        """Let a disk be full for some time."""
        number = self.random.choice(self.numbers)
        disk = self.group.disks.get(number)
        if disk is None:
            return
        duration_s = self.random.choice((0.05, 0.5, 2.0, 6.0))
        self._trouble(number, duration_s + 2 * DISK_REOPENING_S)
        used = sum(len(file.data) for file in disk.files.values())
        disk.capacity_bytes = used + self.random.choice((0, 10, 300))
        try:
            await anyio.sleep(duration_s)
        finally:
            disk.capacity_bytes = None

    async def fail_sync(self) -> None:
        """Let the syncs of a disk fail for some time."""
        number = self.random.choice(self.numbers)
        disk = self.group.disks.get(number)
        if disk is None:
            return
        duration_s = self.random.choice((0.05, 0.5, 2.0))
        self._trouble(number, duration_s + 2 * DISK_REOPENING_S)
        disk.sync_fails = True
        try:
            await anyio.sleep(duration_s)
        finally:
            disk.sync_fails = False

    async def slow_disk(self) -> None:
        """Let the writes of a disk take long for some time."""
        number = self.random.choice(self.numbers)
        self._trouble(number, 6.0)
        self.group.slow_disks[number] = self.random.choice((0.02, 0.3, 1.0))
        try:
            await anyio.sleep(self.random.choice((0.5, 3.0)))
        finally:
            self.group.slow_disks.pop(number, None)

    def _disks_that_may_be_lost(self) -> list[int]:
        """Return VMs whose disks may be lost now: none unless all VMs vote and hold everything."""
        leader = self.group.leader
        replica = self.group.processes[leader].voter.replica if leader is not None else None
        if replica is None or not replica.state.is_membership_committed:
            return []
        held: set[str] = set()
        for number in self.numbers:
            own = self.group.processes[number].voter.replica
            if own is None or not self.group.is_up(number):
                return []
            if own.state.durable_index < replica.state.commit_index:
                return []
            held.add(own.state.local_member.replica)
        members = {member.replica for member in replica.state.membership.members}
        if held != members or not all(map(replica.state.membership.is_voter, held)):
            return []
        count = self.random.randint(1, self.group.disks_to_lose)
        lost = self.random.sample(self.numbers, count)
        if self.unsteady in self.numbers and self.random.random() < 0.5:
            return [self.unsteady]
        return lost

    async def _next_disks_that_may_be_lost(self) -> list[int]:
        """Wait for a moment at which disks may be lost; return none if there isn't one soon."""
        for _ in range(round(WAIT_FOR_REDUNDANCY_S / MEMBERSHIP_CHECK_INTERVAL_S)):
            if lost := self._disks_that_may_be_lost():
                return lost
            await anyio.sleep(MEMBERSHIP_CHECK_INTERVAL_S)
        return []

    async def lose_disks(self) -> None:
        """Empty disks; their VMs start again at the same addresses."""
        lost = await self._next_disks_that_may_be_lost()
        self.totals["lost disks"] += len(lost)
        for number in lost:
            self._trouble(number, 3.0)
            self.group.wipe(number)
        await anyio.sleep(self.random.choice((0.05, 0.5, 3.0)))
        for number in lost:
            if number in self.numbers and not self.group.is_up(number):
                self.group.start(number, found=number < SEED_COUNT)

    async def replace(self) -> None:
        """Lose a VM for good; another one starts at another address."""
        lost = (await self._next_disks_that_may_be_lost())[:1]
        if not lost or lost[0] < SEED_COUNT - 1 or self.next_number > 8:
            return
        self.totals["replaced VMs"] += 1
        self.group.wipe(lost[0])
        self.numbers.remove(lost[0])
        self.numbers.append(self.next_number)
        self.group.start(self.next_number)
        self._trouble(self.next_number, 3.0)
        self.next_number += 1

    # Checks.

    async def _watch_membership(self) -> None:
        """Check that no voter is removed that was well all the time.

        :raises LivenessViolation: when one is.
        """
        while True:
            await anyio.sleep(MEMBERSHIP_CHECK_INTERVAL_S)
            leader = self.group.leader
            replica = self.group.processes[leader].voter.replica if leader is not None else None
            if replica is None or not replica.state.is_membership_committed:
                continue
            voters = frozenset(voter.replica for voter in replica.state.membership.voters)
            removed, self.committed_voters = self.committed_voters - voters, voters
            for number in self.numbers:
                own = self.group.processes[number].voter.replica
                if own is None or own.state.local_member.replica not in removed:
                    continue
                well_s = anyio.current_time() - self.troubled_until.get(number, float("-inf"))
                if self.group.is_up(number) and well_s > self.well_s:
                    raise LivenessViolation(f"control VM {number} was removed while it was well")

    def _heal(self) -> None:
        """End all faults and start the processes that are down."""
        self.network.cut_directions.clear()
        self.network.frozen.clear()
        self.group.slow_disks.clear()
        for disk in self.group.disks.values():
            disk.capacity_bytes = None
            disk.sync_fails = False
            disk.power_loss_operation = None
        self.network.settle()
        for number in self.numbers:
            if not self.group.is_up(number):
                self.group.start(number, found=number < SEED_COUNT)

    async def _check_healed(self) -> None:
        """Check that the healed group serves in time and regains its redundancy."""
        await anyio.sleep(STABILITY_S - CLIENTS_AFTER_HEALING_S)
        for position in range(len(self.numbers)):
            order = self.numbers[position:] + self.numbers[:position]
            await self._within_limit("put", self._put_at_any(order))
            await self._within_limit("read", self._read_at_any(order))
        entry = WalkedEntry("last-entry", self.network, self.history)
        self.tasks.start_soon(entry.run, self.numbers[:3])
        await self._within_limit("new entry", entry.wait_for(self.history), FOLLOWER_LIMIT_S)
        for each in self.entries:
            if each.is_running:
                await self._within_limit("entry", each.wait_for(self.history), FOLLOWER_LIMIT_S)
        await self._within_limit("votes", self._wait_for_votes(), REDUNDANCY_LIMIT_S)
        for number in self.numbers:
            read = self._read_at_any([number])
            await self._within_limit(f"read at {number}", read)

    async def _within_limit(
        self, what: str, call: Awaitable[None], limit_s: float = ACKNOWLEDGEMENT_LIMIT_S
    ) -> None:
        began = anyio.current_time()
        with anyio.move_on_after(limit_s):
            await call
            longest = max(self.totals[f"longest {what} ms"], 1000 * (anyio.current_time() - began))
            self.totals[f"longest {what} ms"] = round(longest)
            return
        raise LivenessViolation(f"{what}: not within {limit_s} s of a healed group")

    async def _put_at_any(self, order: list[int]) -> None:
        while True:
            for number in order:
                if await self._put(9, number, self.group.processes[number]):
                    return

    async def _read_at_any(self, order: list[int]) -> None:
        while True:
            for number in order:
                if await self._read(number, self.group.processes[number]):
                    return

    async def _wait_for_votes(self) -> None:
        await self.group.wait_until(
            lambda: self.group.voter_count() == len(self.numbers)
            and all(map(self.group.votes, self.numbers)),
            wait_timeout_s=math.inf,
        )


class RestartingWalk(ControlWalk):
    """A walk on which one control VM restarts often and what voters ask the leader comes late."""

    def __init__(self, seed: int, totals: Counter[str], size: int, tasks: TaskGroup) -> None:
        super().__init__(seed, totals, size, tasks)
        self.moves = [
            (self.restart_in_series, 8),
            (self.cut, 2),
            (self.start_entry, 2),
        ]
        self.move_interval_s = 0.7
        self.duration_s = 10.0
        self.clients_pause_s = 0.04
        self.unsteady_call_ratio = 0.7

    def _draw_faults(self) -> MessageFaults:
        return MessageFaults(
            self.random,
            lost_ratio=self.random.choice((0.0, 0.02)),
            often_late=EXCHANGES[0],
            often_late_ratio=0.6,
            longest_range=2,
        )


class EmptyingWalk(ControlWalk):
    """A walk on which disks are emptied again and again and introductions come late."""

    def __init__(self, seed: int, totals: Counter[str], size: int, tasks: TaskGroup) -> None:
        super().__init__(seed, totals, size, tasks)
        self.moves = [
            (self.lose_disks, 6),
            (self.replace, 1),
            (self.restart, 1),
            (self.start_entry, 2),
        ]
        self.move_interval_s = 1.0
        self.duration_s = 25.0
        self.clients_pause_s = 0.3
        self.well_s = 3.0

    def _draw_faults(self) -> MessageFaults:
        return MessageFaults(
            self.random,
            doubled_ratio=self.random.choice((0.0, 0.05)),
            often_late=(Introduction,),
            often_late_ratio=0.6,
            longest_range=4,
        )


class WalkedEntry:
    """An entry that follows control VMs and puts their configurations in force."""

    def __init__(self, name: str, network: LateNetwork, history: ConfigurationHistory) -> None:
        self.name = name
        self.network = network
        self.history = history
        self.in_effect_at_start = history.in_effect
        self.outboxes: dict[Address, Outbox[NodeMessage]] = {}
        self.is_running = False
        self.follower = ConfigurationFollower(
            read=lambda text: cast("Any", text),
            post=lambda address, message: self.outboxes[address].post(message),
            post_all=self._post_all,
            on_configuration=lambda text: self._on_configuration(cast("bytes", text)),
            log=EventLog(name, "entry", name, lambda: 0),
        )

    def _post_all(self, message: NodeMessage) -> None:
        for outbox in self.outboxes.values():
            outbox.post(message)

    def _on_configuration(self, text: bytes) -> None:
        version = self.follower.version
        self.history.check_text(version, text)
        if version < self.in_effect_at_start:
            raise HistoryViolation(
                f"an entry put version {version} in force; "
                f"{self.in_effect_at_start} was in effect before it started"
            )

    async def run(self, numbers: list[int]) -> None:
        """Follow these control VMs until cancelled."""
        self.is_running = True
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.follower.run)
                for number in numbers:
                    tasks.start_soon(self._follow, Address(host(number), PORT))
        finally:
            self.is_running = False

    async def wait_for(self, history: ConfigurationHistory) -> None:
        """Wait until the version now in effect is in force here."""
        version = history.in_effect
        while self.follower.version < version:  # noqa: ASYNC110 - no event to wait for.
            await anyio.sleep(0.02)

    async def _follow(self, address: Address) -> None:
        dial = self.network.dial(self.name, NODES_PATH)
        state = EntryState(self.name, Address("10.2.0.1", 80), "north", True)
        while True:
            with suppress(DialFailed, LinkClosed):
                async with dial(address) as link, open_outbox(link) as outbox:
                    seen = FollowedVersions(self.history, self.history.in_effect)
                    outbox.post(state)
                    self.outboxes[address] = outbox
                    try:
                        while True:
                            self._on_message(address, seen, await link.receive())
                    finally:
                        del self.outboxes[address]
            await anyio.sleep(0.2)

    def _on_message(self, address: Address, seen: FollowedVersions, message: NodeMessage) -> None:
        match message:
            case DeparturesRecorded():
                seen.on_confirmed()
            case ConfigurationVersion(version):
                seen.on_version(version)
                self.follower.on_version(address, message)
            case ConfigurationText(version, packed):
                self.history.check_text(version, zlib.decompress(packed))
                self.follower.on_text(address, message)
        if not isinstance(message, DeparturesRecorded):
            seen.check_first_version()


def run_walk(
    seed: int, totals: Counter[str], size: int = 3, kind: type[ControlWalk] = ControlWalk
) -> None:
    """Run one walk under a mock clock.

    :raises HistoryViolation: when a client saw what the history doesn't allow.
    :raises LivenessViolation: when the healed group doesn't serve in time.
    """

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            await kind(seed, totals, size, tasks).run()
            tasks.cancel_scope.cancel()

    setattr(_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)  # noqa: B010 - trio declares it Final.
    _run._r.seed(seed)
    try:
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    except BaseExceptionGroup as group:
        raise _first_error(group) from group


def _first_error(error: BaseException) -> BaseException:
    """Return a violation from nested groups if there is one, else some other error."""
    if not isinstance(error, BaseExceptionGroup):
        return error
    errors = [_first_error(each) for each in error.exceptions]
    violations = [each for each in errors if isinstance(each, HistoryViolation | LivenessViolation)]
    return (violations or errors)[0]


def main() -> None:
    """Run walks with consecutive seeds; print what they found and what they met."""
    kinds = {kind.__name__: kind for kind in (ControlWalk, RestartingWalk, EmptyingWalk)}
    flags = argparse.ArgumentParser()
    flags.add_argument("--kind", choices=kinds, default=ControlWalk.__name__)
    flags.add_argument("--size", type=int, default=3)
    flags.add_argument("--first", type=int, default=0)
    flags.add_argument("--seeds", type=int, default=10)
    settings = flags.parse_args()
    logging.disable()
    totals: Counter[str] = Counter()
    for seed in range(settings.first, settings.first + settings.seeds):
        try:
            run_walk(seed, totals, settings.size, kinds[settings.kind])
        except Exception as error:
            totals["failed"] += 1
            print(f"seed {seed}: {type(error).__name__}: {error}", flush=True)
        if (seed - settings.first) % 10 == 9:
            print(f"up to seed {seed}: {dict(totals)}", flush=True)
    print(dict(totals))


if __name__ == "__main__":
    main()
