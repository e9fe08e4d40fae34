"""The task that keeps one rank group's expert map balanced for its load."""

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
from bergamotchute_daemon.rank_group_status import RankGroupStatus, make_status
from bergamotchute_daemon.rank_links import DialRank, RankLinks, fan_out
from bergamotchute_model.operator_file import RankGroup
from bergamotchute_model.rank_messages import (
    CoordinatorMessage,
    GatheredAnswers,
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

TICK_INTERVAL_S = 0.1
PLAN_INTERVAL_S = 1.0
MOVE_BUDGET_PERIOD_S = 5.0
REQUEST_REPORTS_AFTER_S = 8.0
REPORT_REQUEST_INTERVAL_S = 2.0
PEAK_LOAD_UTILISATION = 0.9
MAX_QUEUED_EVENTS = 4096
FAN_OUTS_PER_INCARNATION = 1_000_000_000

PlanRunner: TypeAlias = Callable[[Callable[[], ExpertPlan]], Awaitable[ExpertPlan]]
"""Runs the planner outside the event loop."""


async def run_in_thread(work: Callable[[], ExpertPlan]) -> ExpertPlan:
    """Run the planner in a thread, as planning a large group takes a good part of a second."""
    return await anyio.to_thread.run_sync(work)


@dataclass
class RankGroupController:
    """Plans and executes the map changes of one group while this process leads.

    The composition root runs one on an entry for each rank group in the files, and passes it the
    group's log over the entry's control client, a function that dials the ranks' agents by their
    announcements, and ``is_leader``. Two leaders at the same time are safe: only changes under the
    newest fencing number take effect.

    :param is_leader: returns whether this process is to act, such as the first live entry by name.
    :param rate_bytes_s: returns the rate that the weight store grants the group, in bytes/s.
    :param utilisation: returns demand divided by capacity of the group's service, from 0.
    :param incarnations: returns the agent's incarnation of each announced rank. An excluded rank
        is readmitted once its agent has another incarnation.
    :param process_incarnation: number of this incarnation of the process, which keeps the numbers
        of its fan-outs apart from those of others.
    :param repeat_count: how often the newest fan-out has been repeated.
    """

    settings: RankGroup
    log: MapLog
    dial_rank: DialRank
    is_leader: Callable[[], bool]
    rate_bytes_s: Callable[[], float]
    utilisation: Callable[[], float]
    process_incarnation: int
    incarnations: Callable[[], Mapping[int, str]] = dict
    run_plan: PlanRunner = run_in_thread
    coordinator: MapCoordinator = field(init=False)
    load: GroupLoad = field(init=False)
    planner: ExpertPlanner = field(init=False)
    current_map: ExpertMap | None = None
    current_digest: str = ""
    excluded_incarnations: dict[int, str] = field(default_factory=dict)
    proposed: dict[str, ExpertMap] = field(default_factory=dict)
    newest_plan: ExpertPlan | None = None
    ended: ChangeEnded | None = None
    fan_out_count: int = 0
    repeat_count: int = 0
    last_sent: CoordinatorMessage | None = None
    reports_requested_at_s: float = float("-inf")
    is_log_request_open: bool = False

    def __post_init__(self) -> None:
        group = self.settings
        self.coordinator = MapCoordinator(group.name, group.ranks)
        self.load = GroupLoad(group.ranks, group.layers, group.experts)
        self.planner = ExpertPlanner(ExpertPlannerSettings(group.expert_bytes))
        self.sender, self.receiver = anyio.create_memory_object_stream[CoordinatorEvent](
            MAX_QUEUED_EVENTS
        )

    async def run(self) -> None:
        """Keep the group's map balanced until cancelled."""
        async with self.sender, self.receiver, anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.links: RankLinks = OnDemandLinks(tasks, self.dial_rank, self.on_rank_message)
            tasks.start_soon(self._run_clock)
            tasks.start_soon(self._keep_balanced)
            async for event in self.receiver:
                if self.is_leader():
                    self._execute_actions(self.coordinator.step(event, anyio.current_time()))

    def status(self) -> RankGroupStatus:
        """Return the group's status for operators."""
        now = anyio.current_time()
        record = self.coordinator.logged.record
        members = record.members if record is not None else ()
        silent_ranks = self.load.silent_members(members, now)
        return make_status(
            self.coordinator, self.newest_plan, self.ended, silent_ranks, self.load.slow_ranks()
        )

    async def on_rank_message(self, message: RankMessage) -> None:
        """Handle load reports and answers of ranks."""
        if not isinstance(message, GatheredAnswers):
            return
        for answer in message.answers:
            if isinstance(answer, RankReport):
                self.load.on_report(answer, anyio.current_time())
            else:
                await self.sender.send(answer)

    async def _run_clock(self) -> None:
        """Pass clock ticks to the coordinator."""
        while True:
            await self.sender.send(ClockTick())
            await anyio.sleep(TICK_INTERVAL_S)

    def _execute_actions(self, actions: list[CoordinatorAction]) -> None:
        """Execute the actions of the coordinator."""
        for action in actions:
            match action:
                case SendToRanks(ranks=ranks, message=message):
                    self._fan_out(ranks, message)
                case AcquireFence() | LogDecision():
                    if not self.is_log_request_open:
                        self.is_log_request_open = True
                        self.tasks.start_soon(self._request_log, action)
                case ChangeEnded():
                    self.ended = action
                    planned = self.proposed.pop(action.digest, None)
                    if action.reason is ChangeEndReason.COMMITTED and planned is not None:
                        self.current_map, self.current_digest = planned, action.digest

    def _fan_out(self, ranks: tuple[int, ...], message: CoordinatorMessage) -> None:
        """Send a message down the tree; repeated messages use other branch roots."""
        self.repeat_count = self.repeat_count + 1 if message == self.last_sent else 0
        self.last_sent = message
        self.fan_out_count += 1
        number = self.process_incarnation * FAN_OUTS_PER_INCARNATION + self.fan_out_count
        fan_out(self.links, number, message, ranks, previous_send_count=self.repeat_count)

    def _request_reports(self, now: float) -> None:
        """Send the current map to silent members, as a new agent has no route up the tree yet."""
        record = self.coordinator.logged.record
        if record is None or now - self.reports_requested_at_s < REPORT_REQUEST_INTERVAL_S:
            return
        quiet = self.load.silent_members(record.members, now, REQUEST_REPORTS_AFTER_S)
        if quiet:
            self.reports_requested_at_s = now
            self._fan_out(quiet, MapDecided(self.settings.name, self.coordinator.logged))

    async def _request_log(self, action: AcquireFence | LogDecision) -> None:
        """Execute one log request at a time; the coordinator repeats it if no answer comes."""
        try:
            with suppress(ControlUnavailable):
                if isinstance(action, AcquireFence):
                    answer: CoordinatorEvent = await self.log.acquire_fence()
                else:
                    answer = await self.log.write_record(action.change, action.record)
                await self.sender.send(answer)
        finally:
            self.is_log_request_open = False

    async def _keep_balanced(self) -> None:
        """Plan map changes while none is in progress."""
        while True:
            await anyio.sleep(PLAN_INTERVAL_S)
            self.load.update_estimates(anyio.current_time())
            if not self.is_leader() or self.coordinator.phase is not CoordinatorPhase.IDLE:
                continue
            self._request_reports(anyio.current_time())
            if await self._ensure_current_map():
                await self._plan_change()

    async def _ensure_current_map(self) -> bool:
        """Fetch the current map or propose the initial one; return whether the map is known."""
        record = self.coordinator.logged.record
        if record is None:
            await self._propose_map(self._initial_map(), absent=())
            return False
        if self.current_map is not None and self.current_digest == record.digest:
            return True
        for rank in record.members:
            data = await fetch_map(self.dial_rank, rank, self.settings.name, record.digest)
            if data:
                self.current_map, self.current_digest = ExpertMap.decode(data), record.digest
                return True
        return False

    def _initial_map(self) -> ExpertMap:
        """Return a map for uniform expert popularity on healthy ranks."""
        group = self.settings
        popularity = np.full((group.layers, group.experts), 1.0 / group.experts)
        return pack_experts(popularity, np.ones(group.ranks), group.slots_per_rank)

    async def _plan_change(self) -> None:
        """Plan a change; always propose it when ranks are to be excluded or readmitted."""
        record = self.coordinator.logged.record
        assert record is not None
        assert self.current_map is not None
        now = anyio.current_time()
        stalled_ranks = self.load.stalled_members(record.members, now)
        readmitted_ranks = self._readmissible_ranks(record.absent)
        for rank in (*stalled_ranks, *record.absent):
            self.load.speed_estimate.exclude(rank)
        for rank in readmitted_ranks:
            self.load.speed_estimate.readmit(rank)
        is_required = bool(stalled_ranks or readmitted_ranks)
        if not is_required and not (
            self.settings.rebalancing and self.load.popularity_estimate.known
        ):
            return
        observation = self._make_observation()
        self.newest_plan = await self.run_plan(
            partial(self.planner.plan, self.current_map, observation, now)
        )
        if is_required or self.newest_plan.kind is not PlanKind.NO_CHANGE:
            rank_incarnations = self.incarnations()
            self.excluded_incarnations |= {
                rank: rank_incarnations.get(rank, "") for rank in stalled_ranks
            }
            absent = {*record.absent, *stalled_ranks} - {*readmitted_ranks}
            await self._propose_map(
                self.newest_plan.planned, tuple(sorted(absent)), leaves=bool(stalled_ranks)
            )

    def _make_observation(self) -> Observation:
        """Return the planner's input; popularity is uniform until the first counts arrive."""
        group = self.settings
        rate = self.rate_bytes_s()
        known = self.load.popularity_estimate.known
        uniform_popularity = np.full((group.layers, group.experts), 1.0 / group.experts)
        return Observation(
            self.load.popularity_estimate.popularity.copy() if known else uniform_popularity,
            self.load.speed_estimate.speeds.copy(),
            self.utilisation() >= PEAK_LOAD_UTILISATION,
            rate,
            rate * MOVE_BUDGET_PERIOD_S,
        )

    def _readmissible_ranks(self, absent: tuple[int, ...]) -> tuple[int, ...]:
        """Return the excluded ranks whose agents have a new incarnation since."""
        rank_incarnations = self.incarnations()
        for rank in absent:
            # A controller that has just taken over can only compare with the incarnation it finds.
            self.excluded_incarnations.setdefault(rank, rank_incarnations.get(rank, ""))
        return tuple(
            rank
            for rank in absent
            if rank in rank_incarnations
            and rank_incarnations[rank] != self.excluded_incarnations[rank]
        )

    async def _propose_map(
        self, planned: ExpertMap, absent: tuple[int, ...], *, leaves: bool = False
    ) -> None:
        """Propose a map to the coordinator."""
        data = planned.encode()
        digest = hashlib.sha256(data).hexdigest()
        self.proposed = {digest: ExpertMap.decode(data)}
        await self.sender.send(ProposeChange(MapChange(digest, data, absent, leaves)))
