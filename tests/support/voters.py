"""Voters under a mock clock, with disks and links in memory."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import anyio
import trio
import trio.testing
from anyio.abc import TaskGroup

from bergamotchute_daemon.environment import CONSENSUS_PATH, VOTER_PATH
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.voter import Voter, VoterSettings
from bergamotchute_model.commands import Command, CommandResult, IssueFence
from bergamotchute_model.control_messages import (
    ControlMessage,
    LeaseGrant,
    Propose,
    Proposed,
    RenewLease,
)
from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import ProcessRole
from bergamotchute_model.status_messages import ControlStatus, QueryStatus, StatusReport
from bergamotchute_wire.link import LinkClosed
from support.memory_disk import MemoryDisk
from support.memory_links import MemoryNetwork


async def run_disk_write_inline(function: Callable[[], None]) -> None:
    """Run a disk write inline, as threads don't advance with the mock clock."""
    function()
    await anyio.sleep(0.0005)


@dataclass
class VoterGroup:
    """Voters by number; each runs in its own cancel scope, which a test can cancel."""

    tasks: TaskGroup
    network: MemoryNetwork
    size: int = 3
    disks: dict[int, MemoryDisk] = field(default_factory=dict)
    voters: dict[int, Voter] = field(default_factory=dict)
    scopes: dict[int, anyio.CancelScope] = field(default_factory=dict)
    start_count: int = 0

    def address(self, number: int) -> Address:
        return Address(f"10.0.0.{number + 1}", 7000)

    def start_all(self, bootstrap: bool = True) -> None:
        for number in range(self.size):
            self.start(number, bootstrap=bootstrap)

    def start(self, number: int, bootstrap: bool = False) -> Voter:
        """Start a voter on its disk, which is empty at its first start."""
        self.start_count += 1
        name = f"voter-{number}"
        disk = self.disks.setdefault(number, MemoryDisk(Random(number)))
        addresses = tuple(self.address(index) for index in range(self.size))
        voter = Voter(
            VoterSettings(self.address(number), addresses, bootstrap),
            disk,
            self.network.dial(name, CONSENSUS_PATH),
            log=EventLog(name, ProcessRole.VOTER, f"i{self.start_count}", lambda: 0),
            random=Random(self.start_count),
            run_blocking=run_disk_write_inline,
        )
        self.voters[number] = voter
        self.network.serve(name, self.address(number), CONSENSUS_PATH, voter.serve_peer)
        self.network.serve(name, self.address(number), VOTER_PATH, voter.serve_relay)
        scope = self.scopes[number] = anyio.CancelScope()

        async def run() -> None:
            with scope:
                await voter.run()

        self.tasks.start_soon(run)
        return voter

    def kill(self, number: int, with_power_loss: bool = False) -> None:
        """Kill a voter; with ``power``, it also loses the bytes that were not synced."""
        self.scopes[number].cancel()
        self.network.stop_serving(f"voter-{number}")
        if with_power_loss:
            self.disks[number].lose_power()

    def wipe(self, number: int) -> None:
        """Kill a voter and erase its disk."""
        self.kill(number)
        del self.disks[number]

    @property
    def leader(self) -> int | None:
        """The number of the voter that leads in the newest term, if any."""
        leading = [
            (voter.replica.state.term, number)
            for number, voter in self.voters.items()
            if voter.replica is not None and voter.replica.state.is_leader
        ]
        return max(leading)[1] if leading else None

    def identity(self, number: int) -> str:
        replica = self.voters[number].replica
        assert replica is not None
        return replica.state.local_member.replica

    async def ask(
        self, number: int, message: ControlMessage, answer_timeout_s: float = 3.0
    ) -> ControlMessage | None:
        """Send a message of a relay to a voter and return the answer, if it arrives in time."""
        with anyio.move_on_after(answer_timeout_s):
            try:
                async with self.network.dial("relay", VOTER_PATH)(self.address(number)) as link:
                    await link.send(message)
                    return await link.receive()
            except LinkClosed:
                return None
        return None

    async def commit(self, number: int, command: Command) -> CommandResult | None:
        """Propose a command at a voter; ``None`` when it is refused or not answered."""
        answer = await self.ask(number, Propose("p", command))
        return answer.result if isinstance(answer, Proposed) else None

    async def lease(self, number: int) -> LeaseGrant | None:
        """Ask a voter for a lease."""
        answer = await self.ask(number, RenewLease(1, 0))
        return answer if isinstance(answer, LeaseGrant) else None

    async def status(self, number: int) -> ControlStatus | None:
        """Ask a voter for the status of the control group."""
        answer = await self.ask(number, QueryStatus("q"))
        return answer.control if isinstance(answer, StatusReport) else None


def fence(number: int, scope: str = "runner-0") -> IssueFence:
    """Return a command whose result counts the commands of its scope committed before it."""
    return IssueFence(scope, "tester", f"grant-{number}")


def run_voters(body: Callable[[VoterGroup], Awaitable[None]], size: int = 3) -> None:
    """Run a test body with voters under a mock clock."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            await body(VoterGroup(tasks, MemoryNetwork(tasks), size))
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
