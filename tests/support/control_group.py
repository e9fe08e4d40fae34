"""Control processes under a mock clock, with disks and links in memory."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import anyio
import trio
import trio.testing
from anyio.abc import TaskGroup

from bergamotchute_daemon.control_process import ControlProcess
from bergamotchute_daemon.environment import CONSENSUS_PATH
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.node_composition_root import NodeEnvironment, compose_control
from bergamotchute_daemon.node_runner import NODES_PATH
from bergamotchute_daemon.node_settings import ListenSettings, NodeSettings
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import EntryState, NodeMessage
from support.memory_disk import MemoryDisk
from support.memory_links import MemoryNetwork
from support.voters import run_disk_write_inline

PORT = 7000
SEED_COUNT = 3


def host(number: int) -> str:
    return f"10.0.0.{number + 1}"


@dataclass
class ControlGroup:
    """Control processes by number; the first three are the seeds."""

    tasks: TaskGroup
    network: MemoryNetwork
    disks: dict[int, MemoryDisk] = field(default_factory=dict)
    processes: dict[int, ControlProcess] = field(default_factory=dict)
    scopes: dict[int, anyio.CancelScope] = field(default_factory=dict)
    start_count: int = 0
    disks_to_lose: int = 1

    def settings(self, number: int, found: bool) -> NodeSettings:
        return NodeSettings(
            name=f"control-{number}",
            availability_zone="north",
            host=host(number),
            link_port=PORT,
            seeds=tuple(f"{host(seed)}:80" for seed in range(SEED_COUNT)),
            found=found,
            disks_to_lose=self.disks_to_lose,
            heartbeat_ms=1200,
            stop_s=8,
            retry_ratio=0.2,
            retry_slack=90,
            listen=ListenSettings(),
        )

    def start(self, number: int, found: bool = False) -> ControlProcess:
        """Start a process on its disk, which is empty at its first start."""
        self.start_count += 1
        name = f"control-{number}"
        environment = NodeEnvironment(
            random=Random(self.start_count),
            log=EventLog(name, "control", f"life{self.start_count}", lambda: 0),
            dial_control=self.network.dial(name, NODES_PATH),
            dial_ranks=self.network.dial(name, "/ranks"),
            dial_slots=self.network.dial(name, "/slots"),
        )
        disk = self.disks.setdefault(number, MemoryDisk(Random(number)))
        dial_consensus = self.network.dial(name, CONSENSUS_PATH)
        process = compose_control(self.settings(number, found), disk, dial_consensus, environment)
        process.voter.run_blocking = run_disk_write_inline
        self.processes[number] = process
        address = Address(host(number), PORT)
        self.network.serve(name, address, CONSENSUS_PATH, process.voter.serve_peer)
        self.network.serve(name, address, NODES_PATH, process.node_hub.serve_link)
        scope = self.scopes[number] = anyio.CancelScope()

        async def run() -> None:
            with scope:
                await process.run()

        self.tasks.start_soon(run)
        return process

    async def found(self, size: int = 5) -> None:
        """Start a new group and wait until all of its processes are voters."""
        for number in range(size):
            self.start(number, found=True)
        await self.wait_until(lambda: self.voter_count() == size)

    def kill(self, number: int, with_power_loss: bool = False) -> None:
        """Kill a process; with ``power``, it also loses the bytes that were not synced."""
        self.scopes[number].cancel()
        self.network.stop_serving(f"control-{number}")
        if with_power_loss:
            self.disks[number].lose_power()

    async def restart_all(self, with_power_loss: bool) -> None:
        """Kill all processes at once, start them after half a second and wait for a leader."""
        for number in self.processes:
            self.kill(number, with_power_loss)
        await anyio.sleep(0.5)
        for number in list(self.processes):
            self.start(number)
        await self.wait_until(lambda: self.leader is not None)

    def wipe(self, number: int) -> None:
        """Kill a process and erase its disk."""
        self.kill(number)
        del self.disks[number]

    def isolate(self, number: int) -> None:
        """Cut the links between a process and all others."""
        for other in self.processes:
            if other != number:
                self.network.cut(f"control-{number}", f"control-{other}")

    @property
    def leader(self) -> int | None:
        """The number of the running process that leads in the newest term, if any."""
        leading = {
            process.leading_term(): number
            for number, process in self.processes.items()
            if not self.scopes[number].cancel_called
        }
        newest = max(leading, default=0)
        return leading[newest] if newest else None

    def voter_count(self) -> int:
        """Return how many voters the leader knows; 0 without a leader."""
        if self.leader is None:
            return 0
        replica = self.processes[self.leader].voter.replica
        assert replica is not None
        return len(replica.state.membership.voters)

    def votes(self, number: int) -> bool:
        """Return whether the leader counts the current identity of a process as a voter."""
        if self.leader is None:
            return False
        replica, own = (
            self.processes[self.leader].voter.replica,
            self.processes[number].voter.replica,
        )
        if replica is None or own is None:
            return False
        return replica.state.membership.is_voter(own.state.local_member.replica)

    async def wait_until(self, reached: Callable[[], bool], wait_timeout_s: float = 30.0) -> None:
        """Wait until a condition holds; fail after ``bound_s`` seconds."""
        with anyio.fail_after(wait_timeout_s):
            while not reached():  # noqa: ASYNC110 - the condition has no event to wait for.
                await anyio.sleep(0.05)

    async def put_until_acknowledged(
        self, version: int, choose: Callable[[], int], acknowledged_at: dict[int, float]
    ) -> None:
        """Put a version at one process after the other until it is acknowledged, and record when.

        :param choose: returns the process to try next.
        """
        for _ in range(20):
            process = self.processes[choose()]
            if await process.put_configuration(version, b"%d" % version):
                acknowledged_at.setdefault(version, anyio.current_time())
                return
            await anyio.sleep(0.1)

    async def follow(self, number: int, heard: list[NodeMessage]) -> None:
        """Follow a process as an entry does, recording its messages, until cancelled."""
        async with self.network.dial("entry", NODES_PATH)(Address(host(number), PORT)) as link:
            await link.send(FOLLOWING_ENTRY)
            while True:
                heard.append(await link.receive())


FOLLOWING_ENTRY = EntryState("entry", Address("10.2.0.1", 80), "north", True)
"""The state that the following entry announces."""


def heartbeat(sequence: int, phase: EndpointPhase = EndpointPhase.READY) -> EndpointHeartbeat:
    return EndpointHeartbeat(
        "runner-1", 1000, sequence, "model", Address("10.1.0.1", 80), "north", 6, phase
    )


def run_control(body: Callable[[ControlGroup], Awaitable[None]]) -> None:
    """Run a test body with control processes under a mock clock."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            group = ControlGroup(tasks, MemoryNetwork(tasks))
            await body(group)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
