"""A rank group with real agents and controllers, in-memory links and fake engines."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
import numpy as np
from anyio.abc import TaskGroup

from bergamotchute_daemon.control_client import ControlUnavailable
from bergamotchute_daemon.map_log import MapLog
from bergamotchute_daemon.rank_agent import EngineUnreachable, RankAgent
from bergamotchute_daemon.rank_group_controller import RankGroupController
from bergamotchute_daemon.view_holder import ViewHolder
from bergamotchute_model.commands import Command, CommandResult
from bergamotchute_model.control_messages import LeaseGrant, ViewDelta
from bergamotchute_model.identifiers import Address
from bergamotchute_model.operator_file import RankGroup
from bergamotchute_model.rank_messages import NO_STEP, RankReport
from bergamotchute_policy.expert_map import ExpertMap, step_skew
from bergamotchute_policy.expert_planner import ExpertPlan
from bergamotchute_policy.map_participant import PermitSteps
from bergamotchute_state.control_state import ControlState
from support.memory_links import MemoryNetwork
from support.step_checker import StepBegun

STEP_S = 0.1
VIEW_INTERVAL_S = 0.05
LEASE_S = 3.0
PROPOSE_DELAY_S = 0.004


@dataclass
class FakeEngine:
    """A fake engine that computes in lock-step with the other ranks of its group."""

    group: RankGroupHarness
    rank: int
    permission: PermitSteps = field(default_factory=lambda: PermitSteps(None, None))
    begun: int = NO_STEP
    maps: set[str] = field(default_factory=set)
    stalled: bool = False
    unreachable: bool = False
    load_duration_s: float = 0.2
    work: float = 0.0
    compute_s: float = 0.0
    waiting_since: float | None = None
    speed: float = 1.0

    async def load_map(self, digest: str, data: bytes) -> bool:
        if self.unreachable:
            raise EngineUnreachable
        self.group.map_data[digest] = data
        await anyio.sleep(self.load_duration_s)
        self.maps.add(digest)
        return True

    async def drop_map(self, digest: str) -> None:
        self.maps.discard(digest)

    async def permit_steps(self, permission: PermitSteps) -> int:
        if self.unreachable:
            raise EngineUnreachable
        await anyio.sleep(0.001)
        self.permission = permission
        return self.begun

    async def report(self) -> RankReport | None:
        now = anyio.current_time()
        waiting_s = 0.0 if self.waiting_since is None else now - self.waiting_since
        counts = self.group.counts if self.rank == 0 else b""
        work, compute_s = self.work, self.compute_s
        self.work = self.compute_s = 0.0
        self.group.report_count += 1
        return RankReport(
            "g",
            self.rank,
            "0",
            self.group.report_count,
            self.begun,
            0,
            waiting_s,
            work,
            compute_s,
            counts,
        )

    def startable_step(self) -> int | None:
        record = self.permission.record
        if self.stalled or record is None or self.permission.abandons_step:
            return None
        step = max(self.begun + 1, record.first_step(self.rank))
        if self.permission.hold is not None and step >= self.permission.hold:
            return None
        digest = record.digest if step >= record.switch_step else record.previous_digest
        return step if digest in self.maps else None


class RankGroupHarness:
    """A rank group with its agents, controllers and control log, for tests on a mock clock."""

    def __init__(self, tasks: TaskGroup, settings: RankGroup) -> None:
        self.tasks = tasks
        self.settings = settings
        self.network = MemoryNetwork(tasks)
        self.state = ControlState()
        self.log_index = 0
        self.views: dict[str, ViewHolder] = {}
        self.cut_off: set[str] = set()
        self.engines = [FakeEngine(self, rank) for rank in range(settings.ranks)]
        self.agents: dict[int, tuple[RankAgent, anyio.CancelScope]] = {}
        self.controllers: dict[str, tuple[RankGroupController, anyio.CancelScope]] = {}
        self.incarnations: dict[int, int] = {}
        self.history: list[StepBegun] = []
        self.map_data: dict[str, bytes] = {}
        self.popularity = np.full((settings.layers, settings.experts), 1.0 / settings.experts)
        self.report_count = 0
        self.store_rate_bytes_s = 1e9
        self.load = 0.5

    @property
    def counts(self) -> bytes:
        return (self.popularity * 100_000).astype("<f4").tobytes()

    def view(self, name: str) -> ViewHolder:
        self.views[name] = ViewHolder()
        return self.views[name]

    def proposer(self, name: str) -> Callable[[Command], Awaitable[CommandResult]]:
        async def propose(command: Command) -> CommandResult:
            await anyio.sleep(PROPOSE_DELAY_S)
            if name in self.cut_off:
                raise ControlUnavailable(command.kind)
            self.log_index += 1
            return self.state.apply(command, self.log_index)

        return propose

    async def distribute_views(self) -> None:
        """Bring every view that is not cut off up to date and renew its lease."""
        while True:
            revision = self.state.view_revision
            for name, view in self.views.items():
                if name in self.cut_off:
                    continue
                changes = self.state.changes_since(view.revision)
                assert changes is not None
                view.on_delta(ViewDelta(view.revision, revision, changes))
                view.on_grant(LeaseGrant(1, LEASE_S, revision), anyio.current_time())
            await anyio.sleep(VIEW_INTERVAL_S)

    async def run_steps(self) -> None:
        """Let the ranks compute in lock-step; a rank that cannot start its step stops all."""
        while True:
            await anyio.sleep(STEP_S)
            ready = {engine.rank: engine.startable_step() for engine in self.engines}
            steps = [step for step in ready.values() if step is not None]
            for engine in self.engines:
                self._step(engine, ready[engine.rank], min(steps, default=0))

    def _step(self, engine: FakeEngine, step: int | None, slowest: int) -> None:
        record = engine.permission.record
        if (
            step is None
            or record is None
            or step > slowest
            or not self._members_are_ready(record, step)
        ):
            if engine.waiting_since is None and not engine.stalled and record is not None:
                engine.waiting_since = anyio.current_time()
            return
        epoch = record.epoch_at(step)
        digest = record.digest if epoch == record.epoch else record.previous_digest
        self.history.append(StepBegun(engine.rank, step, epoch, digest))
        engine.begun = step
        engine.waiting_since = None
        engine.work += 100.0
        engine.compute_s += STEP_S / engine.speed

    def _members_are_ready(self, record: Any, step: int) -> bool:
        return all(
            step <= record.first_step(rank) or self.engines[rank].begun >= step - 1
            for rank in record.members
        )

    def dial_rank(self, name: str) -> Callable[[int], AbstractAsyncContextManager[Any]]:
        dial = self.network.dial(name, "/ranks")
        return lambda rank: dial(Address("10.0.0.1", 1000 + rank))

    async def run_agent(self, rank: int) -> None:
        """Run one rank's agent; a new run stops the previous incarnation."""
        if rank in self.agents:
            self.agents[rank][1].cancel()
        incarnation = self.incarnations[rank] = self.incarnations.get(rank, -1) + 1
        name = f"rank{rank}"
        log = MapLog("g", self.view(name), self.proposer(name), f"{name}/{incarnation}")
        agent = RankAgent(
            "g",
            rank,
            self.settings.ranks,
            self.engines[rank],
            log,
            self.dial_rank(name),
            lambda: f"{name}/{incarnation}",
        )
        with anyio.CancelScope() as scope:
            self.agents[rank] = (agent, scope)
            self.network.stop_serving(name)
            address = Address("10.0.0.1", 1000 + rank)
            self.network.serve(name, address, "/ranks", agent.serve_link)
            await agent.run()

    def restart_rank(self, rank: int) -> None:
        """Restart engine and agent; the engine gets the group's step from its peers."""
        begun = self.engines[rank].begun
        self.engines[rank] = FakeEngine(self, rank, begun=begun - 1)
        self.tasks.start_soon(self.run_agent, rank)

    async def run_controller(self, name: str, is_leader: Callable[[], bool] = lambda: True) -> None:
        incarnation = len(self.controllers) + 1
        log = MapLog("g", self.view(name), self.proposer(name), f"{name}/{incarnation}")
        controller = RankGroupController(
            self.settings,
            log,
            self.dial_rank(name),
            is_leader,
            lambda: self.store_rate_bytes_s,
            lambda: self.load,
            incarnation,
            lambda: {rank: str(number) for rank, number in self.incarnations.items()},
            run_plan=run_inline,
        )
        with anyio.CancelScope() as scope:
            self.controllers[name] = (controller, scope)
            await controller.run()

    def start(self, controllers: tuple[str, ...] = ("entry1",)) -> None:
        self.tasks.start_soon(self.distribute_views)
        self.tasks.start_soon(self.run_steps)
        for rank in range(self.settings.ranks):
            self.tasks.start_soon(self.run_agent, rank)
        for name in controllers:
            self.tasks.start_soon(self.run_controller, name)

    def skew(self) -> float:
        """Return the skew of the map that the last step used."""
        expert_map = ExpertMap.decode(self.map_data[self.history[-1].digest])
        speeds = np.array([engine.speed for engine in self.engines])
        return step_skew(expert_map, self.popularity, speeds)

    def stop_controller(self, name: str) -> None:
        self.controllers[name][1].cancel()


async def run_inline(work: Callable[[], ExpertPlan]) -> ExpertPlan:
    return work()


def rank_group_settings(**changes: Any) -> RankGroup:
    settings = RankGroup(
        name="g",
        service="drafting",
        ranks=4,
        layers=2,
        experts=8,
        slots_per_rank=4,
        expert_bytes=1000,
    )
    return replace(settings, **changes)
