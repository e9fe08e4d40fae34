"""The task that keeps one rank group's expert map fit for its load."""

from __future__ import annotations

import hashlib
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from typing import TypeAlias

import anyio
import anyio.to_thread
import numpy as np

from bergamotchute_daemon._group_load import GroupLoad
from bergamotchute_daemon.control_client import ControlUnavailable
from bergamotchute_daemon.map_log import MapLog
from bergamotchute_daemon.on_demand_links import OnDemandLinks
from bergamotchute_daemon.rank_agent import fetch_map
from bergamotchute_daemon.rank_group_status import RankGroupStatus, status_of
from bergamotchute_daemon.rank_links import DialRank, RankLinks, fan_out
from bergamotchute_model.operator_file import RankGroup
from bergamotchute_model.rank_messages import (
    CoordinatorMessage,
    Gathered,
    MapDecided,
    RankMessage,
    RankReport,
)
from bergamotchute_policy.expert_map import ExpertMap
from bergamotchute_policy.expert_packing import pack_experts
from bergamotchute_policy.expert_planner import (
    ExpertPlan,
    ExpertPlanner,
    ExpertPlannerSettings,
    Observation,
    PlanKind,
)
from bergamotchute_policy.map_coordinator import (
    AcquireFence,
    ChangeEnded,
    ChangeEndReason,
    CoordinatorAction,
    CoordinatorEvent,
    CoordinatorPhase,
    LogDecision,
    MapChange,
    MapCoordinator,
    ProposeChange,
    SendToRanks,
)
from bergamotchute_policy.map_participant import ClockTick

TICK_S = 0.1
PLAN_S = 1.0
BATCH_S = 5.0
QUIET_AFTER_S = 8.0
ASK_FOR_REPORTS_S = 2.0
CREST_UTILISATION = 0.9
INBOX_MESSAGES = 4096
NUMBERS_PER_LIFE = 1_000_000_000

InThread: TypeAlias = Callable[[Callable[[], ExpertPlan]], Awaitable[ExpertPlan]]
"""Runs a planning away from the event loop."""


async def in_thread(work: Callable[[], ExpertPlan]) -> ExpertPlan:
    """Plan in a thread, as a large group takes a good part of a second."""
    return await anyio.to_thread.run_sync(work)


@dataclass
class RankGroupController:
    """Plans and carries out one group's map changes while it is the one to do so.

    The composition root runs one on an entry for each rank group in the files, and hands it the
    group's log over the entry's control client, a way to dial the ranks' agents by their
    announcements, and ``leads``. Two that lead at once do no harm: fencing numbers decide.

    :param leads: whether this process is the one to act, such as the first live entry by name.
    :param rate_bytes_s: what the weight store grants the group now.
    :param utilisation: demand over capacity of the group's service, from 0.
    :param incarnations: the agent's life of each rank that is announced now. A rank that was taken
        out is taken back in once its agent has begun another life.
    :param life: a number of this process's life, by which its fan-outs are told from others'.
    """

    settings: RankGroup
    log: MapLog
    dial: DialRank
    leads: Callable[[], bool]
    rate_bytes_s: Callable[[], float]
    utilisation: Callable[[], float]
    life: int
    incarnations: Callable[[], Mapping[int, str]] = dict
    run_plan: InThread = in_thread
    core: MapCoordinator = field(init=False)
    load: GroupLoad = field(init=False)
    planner: ExpertPlanner = field(init=False)
    present: ExpertMap | None = None
    present_digest: str = ""
    lost_lives: dict[int, str] = field(default_factory=dict)
    proposed: dict[str, ExpertMap] = field(default_factory=dict)
    plan: ExpertPlan | None = None
    ended: ChangeEnded | None = None
    fan_outs: int = 0
    repeats: int = 0
    sent: CoordinatorMessage | None = None
    asked_at_s: float = float("-inf")
    asking: bool = False

    def __post_init__(self) -> None:
        group = self.settings
        self.core = MapCoordinator(group.name, group.ranks)
        self.load = GroupLoad(group.ranks, group.layers, group.experts)
        self.planner = ExpertPlanner(ExpertPlannerSettings(group.expert_bytes))
        self.sender, self.receiver = anyio.create_memory_object_stream[CoordinatorEvent](
            INBOX_MESSAGES
        )

    async def run(self) -> None:
        """Keep the group balanced until cancelled."""
        async with self.sender, self.receiver, anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.links: RankLinks = OnDemandLinks(tasks, self.dial, self.on_from_ranks)
            tasks.start_soon(self._tick)
            tasks.start_soon(self._keep_balanced)
            async for event in self.receiver:
                if self.leads():
                    self._carry_out(self.core.step(event, anyio.current_time()))

    def status(self) -> RankGroupStatus:
        """Return what operators see of the group."""
        now = anyio.current_time()
        record = self.core.logged.record
        members = record.members if record is not None else ()
        silent = self.load.silent(members, now)
        return status_of(self.core, self.plan, self.ended, silent, self.load.slow())

    async def on_from_ranks(self, message: RankMessage) -> None:
        """Take the answers of ranks in."""
        if not isinstance(message, Gathered):
            return
        for answer in message.answers:
            if isinstance(answer, RankReport):
                self.load.on_report(answer, anyio.current_time())
            else:
                await self.sender.send(answer)

    async def _tick(self) -> None:
        """Tell the core of time."""
        while True:
            await self.sender.send(ClockTick())
            await anyio.sleep(TICK_S)

    def _carry_out(self, actions: list[CoordinatorAction]) -> None:
        """Carry out what the core says."""
        for action in actions:
            match action:
                case SendToRanks(ranks=ranks, message=message):
                    self._fan_out(ranks, message)
                case AcquireFence() | LogDecision():
                    if not self.asking:
                        self.asking = True
                        self.tasks.start_soon(self._ask_log, action)
                case ChangeEnded():
                    self.ended = action
                    planned = self.proposed.pop(action.digest, None)
                    if action.reason is ChangeEndReason.COMMITTED and planned is not None:
                        self.present, self.present_digest = planned, action.digest

    def _fan_out(self, ranks: tuple[int, ...], message: CoordinatorMessage) -> None:
        """Send a message down the tree; a repeat goes by other heads."""
        self.repeats = self.repeats + 1 if message == self.sent else 0
        self.sent = message
        self.fan_outs += 1
        number = self.life * NUMBERS_PER_LIFE + self.fan_outs
        fan_out(self.links, number, message, ranks, turn=self.repeats)

    def _ask_for_reports(self, now: float) -> None:
        """Speak to members that were not heard of, as a new agent knows no way up the tree."""
        record = self.core.logged.record
        if record is None or now - self.asked_at_s < ASK_FOR_REPORTS_S:
            return
        quiet = self.load.silent(record.members, now, QUIET_AFTER_S)
        if quiet:
            self.asked_at_s = now
            self._fan_out(quiet, MapDecided(self.settings.name, self.core.logged))

    async def _ask_log(self, action: AcquireFence | LogDecision) -> None:
        """Ask the log, one question at a time; the core asks again when no answer comes."""
        try:
            with suppress(ControlUnavailable):
                if isinstance(action, AcquireFence):
                    answer: CoordinatorEvent = await self.log.take_fence()
                else:
                    answer = await self.log.write(action.change, action.record)
                await self.sender.send(answer)
        finally:
            self.asking = False

    async def _keep_balanced(self) -> None:
        """Plan while no change is open."""
        while True:
            await anyio.sleep(PLAN_S)
            self.load.settle(anyio.current_time())
            if not self.leads() or self.core.phase is not CoordinatorPhase.IDLE:
                continue
            self._ask_for_reports(anyio.current_time())
            if await self._knows_present():
                await self._consider()

    async def _knows_present(self) -> bool:
        """Get hold of the map in force; propose a first one where there is none."""
        record = self.core.logged.record
        if record is None:
            await self._propose(self._first_map(), absent=())
            return False
        if self.present is not None and self.present_digest == record.digest:
            return True
        for rank in record.members:
            data = await fetch_map(self.dial, rank, self.settings.name, record.digest)
            if data:
                self.present, self.present_digest = ExpertMap.decode(data), record.digest
                return True
        return False

    def _first_map(self) -> ExpertMap:
        """Return a map for experts of even popularity on healthy ranks."""
        group = self.settings
        popularity = np.full((group.layers, group.experts), 1.0 / group.experts)
        return pack_experts(popularity, np.ones(group.ranks), group.slots_per_rank)

    async def _consider(self) -> None:
        """Take out ranks that are lost for good; otherwise weigh a change of the map."""
        record = self.core.logged.record
        assert record is not None
        assert self.present is not None
        now = anyio.current_time()
        lost = self.load.stalled(record.members, now)
        back = self._returned(record.absent)
        for rank in (*lost, *record.absent):
            self.load.speeds.exclude(rank)
        for rank in back:
            self.load.speeds.readmit(rank)
        must = bool(lost or back)
        if not must and not (self.settings.rebalancing and self.load.popularity.known):
            return
        seen = self._observation()
        self.plan = await self.run_plan(partial(self.planner.plan, self.present, seen, now))
        if must or self.plan.kind is not PlanKind.NO_CHANGE:
            lives = self.incarnations()
            self.lost_lives |= {rank: lives.get(rank, "") for rank in lost}
            absent = {*record.absent, *lost} - {*back}
            await self._propose(self.plan.planned, tuple(sorted(absent)), leaves=bool(lost))

    def _observation(self) -> Observation:
        """Return what to plan with; experts are even before the first counts."""
        group = self.settings
        rate = self.rate_bytes_s()
        known = self.load.popularity.known
        even = np.full((group.layers, group.experts), 1.0 / group.experts)
        return Observation(
            self.load.popularity.popularity.copy() if known else even,
            self.load.speeds.speeds.copy(),
            self.utilisation() >= CREST_UTILISATION,
            rate,
            rate * BATCH_S,
        )

    def _returned(self, absent: tuple[int, ...]) -> tuple[int, ...]:
        """Return the ranks taken out whose agents have begun another life since."""
        lives = self.incarnations()
        for rank in absent:
            # A controller that has just taken over knows no better than the life it finds.
            self.lost_lives.setdefault(rank, lives.get(rank, ""))
        return tuple(
            rank for rank in absent if rank in lives and lives[rank] != self.lost_lives[rank]
        )

    async def _propose(
        self, planned: ExpertMap, absent: tuple[int, ...], *, leaves: bool = False
    ) -> None:
        """Have a map put in force."""
        data = planned.encode()
        digest = hashlib.sha256(data).hexdigest()
        self.proposed = {digest: ExpertMap.decode(data)}
        await self.sender.send(ProposeChange(MapChange(digest, data, absent, leaves)))
