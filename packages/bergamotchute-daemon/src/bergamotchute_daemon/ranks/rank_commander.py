"""Command one rank group: follow which experts are selected and change the expert map."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field, replace

import anyio
import anyio.lowlevel

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.ranks.map_switch import (
    MIN_SWITCH_LEAD_S,
    MapSwitch,
    SwitchOutcome,
    SwitchStage,
    abort_unfinished_switch,
    is_consistent,
)
from bergamotchute_daemon.ranks.rank_client import RankClient, RankUnresponsiveError
from bergamotchute_model import events
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    CommanderAssigned,
    GroupMember,
    NodeMessage,
    RankAction,
    RankCounts,
    RankOrder,
    RankStatus,
)
from bergamotchute_model.packed_map import ExpertPlacement, pack_changes, pack_map
from bergamotchute_model.versioned_configuration import EnginePerformance
from bergamotchute_policy.choice_popularity import ChoicePopularity
from bergamotchute_policy.even_map_planner import EvenMapPlanner
from bergamotchute_policy.map_change_choice import (
    group_load_ratio,
    is_change_worthwhile,
    map_change_bounds,
)
from bergamotchute_policy.map_delta import diff_maps
from bergamotchute_policy.pass_timer import PassTimer
from bergamotchute_policy.rank_pace import pace_weight
from bergamotchute_wire.link import Dial, DialFailed, Link, LinkClosed
from bergamotchute_wire.outbox import Outbox, open_outbox

ORDER_TIMEOUT_S = 0.4
"""Timeout of an agent's answer; longer than the timeout of the agent's own calls to its rank."""

PLAN_INTERVAL_S = 0.1
"""Interval between two evaluations of the demand; agents report the demand every 0.2 s."""

STATUS_POLL_INTERVAL_S = 0.05
"""Interval between two status queries while the state of a rank is unknown."""

UNRESPONSIVE_BACKOFF_S = 2.0
"""How long a path to a rank is avoided after it gave no answer.

An agent that doesn't answer is bypassed for this time by direct calls to its rank, which cost more.
A rank that doesn't answer a direct call is reached through its agent for this time.
"""

FENCES_PER_ASSIGNMENT = 100_000_000
"""Fencing numbers that one assignment may use before those of the next assignment begin.

Peak load takes 40 orders a second, so one assignment has enough for a month of peak load. For 9,000
terms the fencing numbers stay below 2**53, the bound up to which JSON represents integers exactly.
"""

RECONNECT_DELAY_S = 0.2

UNANSWERED_SWITCH_LEAD_S = 0.6
"""Lead of a hold while some orders get no answer: three attempts at each order to arm a rank."""

MAX_SWITCH_LEAD_S = 1.0
"""Longest lead of a hold before its pass is due; demand changes every few seconds."""

SWITCH_REPORT_TIMEOUT_S = 0.4
"""Time within which agents report a switch, two of their polling intervals; after it the ranks are
queried."""

DIRECT_ACTIONS = (RankAction.HOLD, RankAction.GO)
"""Orders that the commander sends to the rank itself, bypassing the rank's agent.

If the agent's VM freezes right after the agent held a pass at its rank, no process can reach the
rank to end the hold. If the commander's VM freezes instead, its successor can still call the rank.
"""

MAX_BASE_MAPS = 8
"""Number of maps kept as a base for orders that contain only changes; agents keep fewer."""


@dataclass
class _MemberState:
    """What the commander knows of one rank and how it reaches the rank.

    :param rank_client: calls the rank from this VM, bypassing its agent.
    :param agent_bypassed_until: time on the runtime's clock until which the rank is called
        directly, as its agent didn't answer.
    :param direct_calls_paused_until: time on the runtime's clock until which only the agent, if it
        is responsive, calls the rank, as the rank didn't answer a direct call.
    :param agent_map_version: version of the last map that the agent accepted from this commander; 0
        for none.
    """

    group_member: GroupMember
    rank_client: RankClient
    outbox: Outbox[NodeMessage] | None = None
    agent_bypassed_until: float = float("-inf")
    direct_calls_paused_until: float = float("-inf")
    status: RankStatus | None = None
    agent_map_version: int = 0

    def is_agent_responsive(self, now: float) -> bool:
        """Return whether the agent is connected and isn't bypassed after an unanswered order."""
        return self.outbox is not None and self.agent_bypassed_until <= now


@dataclass
class _PendingAnswer:
    """The pending answer to an order that was sent through an agent.

    :param outbox: the outbox of the link on which the order was sent.
    :param settled: set once the answer has arrived or the link is closed.
    :param status: the answer; ``None`` while there is none.
    """

    outbox: Outbox[NodeMessage]
    settled: anyio.Event = field(default_factory=anyio.Event)
    status: RankStatus | None = None


@dataclass
class RankCommander:
    """Command one rank group: plan changes of its expert map and carry them out.

    :param reach: returns a client that calls a rank directly, without its agent.
    :param engine: returns the performance figures of the group's engines; ``None`` while no
        configuration has been received.
    :param waiting: pending answers, by order number.
    :param experts_key: epoch and map version to which ``experts`` belongs.
    :param order_count: number of orders created so far.
    :param changes: number of orders created so far that change the state of a rank.
    :param newest_map_version: highest map version seen or used so far.
    :param recent_maps: recently planned maps, by version.
    :param packed_maps: encoded maps or changes of recent orders, by base and version of the map.
    :param inconsistent_since: time on the runtime's clock since which the ranks' map versions have
        differed or a switch has been armed; ``None`` while neither is so.
    :param switch_lead_s: time between the order to hold a pass and the moment this pass is due.
    """

    assignment: CommanderAssigned
    dial_agent: Dial[NodeMessage]
    reach: Callable[[Address], RankClient]
    log: EventLog
    engine: Callable[[], EnginePerformance | None]
    members: dict[int, _MemberState] = field(default_factory=dict)
    waiting: dict[int, _PendingAnswer] = field(default_factory=dict)
    popularity: ChoicePopularity = field(default_factory=ChoicePopularity)
    pace: PassTimer = field(default_factory=PassTimer)
    experts: ExpertPlacement = ()
    experts_key: tuple[int, int] = (0, -1)
    order_count: int = 0
    changes: int = 0
    newest_map_version: int = 0
    recent_maps: dict[int, ExpertPlacement] = field(default_factory=dict)
    packed_maps: dict[tuple[int, int], bytes] = field(default_factory=dict)
    inconsistent_since: float | None = None
    switch_lead_s: float = MIN_SWITCH_LEAD_S

    async def run(self) -> None:
        """Command the group until cancelled."""
        self.members = {
            group_member.rank: _MemberState(group_member, self.reach(group_member.endpoint))
            for group_member in self.assignment.members
        }
        self.log.emit(
            events.GROUP_COMMAND_STARTED, group=self.assignment.group, fence=self.assignment.fence
        )
        async with anyio.create_task_group() as tasks:
            for member in self.members.values():
                tasks.start_soon(self._maintain_link, member)
            await self._command_group()

    async def _maintain_link(self, member: _MemberState) -> None:
        while True:
            with suppress(DialFailed, LinkClosed):
                async with self.dial_agent(member.group_member.agent) as link:
                    await self._receive_from_agent(member, link)
            await anyio.sleep(RECONNECT_DELAY_S)

    async def _receive_from_agent(self, member: _MemberState, link: Link[NodeMessage]) -> None:
        async with open_outbox(link) as outbox:
            member.outbox = outbox
            member.agent_bypassed_until = float("-inf")
            member.agent_map_version = 0
            outbox.post(self._new_order(RankAction.READ))
            try:
                while True:
                    self._handle_message(member, await link.receive())
            finally:
                member.outbox = None
                for answer in self.waiting.values():
                    if answer.outbox is outbox:
                        answer.settled.set()

    def _handle_message(self, member: _MemberState, message: NodeMessage) -> None:
        if isinstance(message, RankCounts):
            self.popularity.observe(message, anyio.current_time())
        elif isinstance(message, RankStatus):
            self._record_status(member, message)
            answer = self.waiting.pop(message.order, None)
            if answer is not None:
                answer.status = message
                answer.settled.set()

    def _record_status(self, member: _MemberState, status: RankStatus) -> None:
        member.status = status
        self.pace.observe(status.epoch, status.step, anyio.current_time())
        armed = status.armed[0] if status.armed is not None else 0
        self.newest_map_version = max(
            self.newest_map_version, status.map_version, status.prepared or 0, armed
        )

    def _new_order(
        self,
        action: RankAction,
        version: int = 0,
        step: int = 0,
        experts: ExpertPlacement = (),
    ) -> RankOrder:
        """Return a new order; one that changes state has a higher fence than all earlier ones."""
        self.order_count += 1
        if not action.is_read:
            self.changes += 1
        fence = self.assignment.fence * FENCES_PER_ASSIGNMENT + self.changes
        return RankOrder(self.order_count, fence, self.epoch, action, version, step, experts)

    @property
    def epoch(self) -> int:
        """The newest epoch of the group that any rank has reported."""
        return max(
            (member.status.epoch for member in self.members.values() if member.status), default=0
        )

    async def send_order(
        self, rank: int, action: RankAction, version: int, step: int, experts: ExpertPlacement
    ) -> RankStatus | None:
        """Send an order to a rank; return ``None`` if the rank's state after it is unknown."""
        member = self.members[rank]
        now = anyio.current_time()
        if action in DIRECT_ACTIONS and member.direct_calls_paused_until <= now:
            status = await self._send_directly(rank, self._new_order(action, version, step))
            if status is not None:
                return status
        sent_experts = experts if action is RankAction.PREPARE else ()
        if not member.is_agent_responsive(now):
            return await self._send_directly(
                rank, self._new_order(action, version, step, sent_experts)
            )
        order = self._new_order_with_changes(member, action, version, step, sent_experts)
        status = await self._send_through_agent(member, order)
        if status is not None and status.base_missing:
            member.agent_map_version = 0
            order = self._new_order_with_changes(member, action, version, step, sent_experts)
            status = await self._send_through_agent(member, order)
        if status is None:
            member.agent_bypassed_until = now + UNRESPONSIVE_BACKOFF_S
        elif sent_experts:
            member.agent_map_version = version
        return status

    async def _send_directly(self, rank: int, order: RankOrder) -> RankStatus | None:
        """Send an order to a rank without its agent."""
        member = self.members[rank]
        try:
            status = await member.rank_client.send_order(order)
        except RankUnresponsiveError as error:
            member.direct_calls_paused_until = anyio.current_time() + UNRESPONSIVE_BACKOFF_S
            self.log.emit(
                events.RANK_SILENT, group=self.assignment.group, rank=rank, detail=str(error)
            )
            return None
        if status is not None:
            self._record_status(member, status)
        return status

    def _new_order_with_changes(
        self,
        member: _MemberState,
        action: RankAction,
        version: int,
        step: int,
        experts: ExpertPlacement,
    ) -> RankOrder:
        """Return an order with the changes to the agent's map, or with the whole map if need be.

        The encoding is the same for all agents with the same base, so it is kept.
        """
        order = self._new_order(action, version, step)
        if not experts:
            return order
        base_version = member.agent_map_version
        base = self.recent_maps.get(base_version)
        if base is None:
            base_version = 0
        key = (base_version, version)
        if key not in self.packed_maps:
            while len(self.packed_maps) >= MAX_BASE_MAPS:
                del self.packed_maps[next(iter(self.packed_maps))]
            self.packed_maps[key] = (
                pack_map(experts) if base is None else pack_changes(diff_maps(base, experts))
            )
        return replace(order, base=base_version, packed=self.packed_maps[key])

    def known_status(self, rank: int) -> RankStatus | None:
        """Return the last known status of a rank; ``None`` if there is none."""
        return self.members[rank].status

    async def _send_through_agent(
        self, member: _MemberState, order: RankOrder
    ) -> RankStatus | None:
        if member.outbox is None:
            return None
        answer = self.waiting[order.order] = _PendingAnswer(member.outbox)
        member.outbox.post(order)
        with anyio.move_on_after(ORDER_TIMEOUT_S):
            await answer.settled.wait()
        self.waiting.pop(order.order, None)
        return answer.status

    async def _command_group(self) -> None:
        while True:
            statuses = self._complete_statuses()
            if statuses is None:
                await anyio.sleep(STATUS_POLL_INTERVAL_S)
                await self._read_missing_statuses()
                await self._recover_without_commander_rank()
                continue
            if not is_consistent(statuses):
                await self._abort_unfinished_switch(statuses)
            elif await self._update_current_map(statuses):
                await self._plan_map_change(statuses)
            await anyio.sleep(PLAN_INTERVAL_S)

    async def _recover_without_commander_rank(self) -> None:
        """Abort the previous commander's switch if only that commander's rank is unreachable.

        A commander arms its own rank last, so this rank isn't armed while any other rank isn't.
        """
        known = {rank: member.status for rank, member in self.members.items() if member.status}
        missing = [
            member.group_member.agent for rank, member in self.members.items() if rank not in known
        ]
        if missing != [self.assignment.earlier] or is_consistent(known):
            return
        fresh = await self._read_statuses(known)
        if len(fresh) != len(known) or all(status.armed for status in fresh.values()):
            return
        cleaned = await abort_unfinished_switch(self, fresh, self.newest_map_version)
        self.log.emit(
            events.MAP_CLEANED_UP,
            group=self.assignment.group,
            cleaned=cleaned,
            without=len(missing),
        )

    async def _read_missing_statuses(self) -> None:
        """Query the ranks that have not reported their state in the group's newest epoch."""
        epoch = self.epoch
        missing = [
            rank
            for rank, member in self.members.items()
            if member.status is None or member.status.epoch != epoch
        ]
        await self._read_statuses(missing)

    def _complete_statuses(self) -> dict[int, RankStatus] | None:
        """Return the status of every rank; ``None`` if any is missing, not open or outdated."""
        statuses = {rank: member.status for rank, member in self.members.items() if member.status}
        sizes = {status.size for status in statuses.values()}
        epochs = {status.epoch for status in statuses.values()}
        if len(sizes) != 1 or len(epochs) != 1 or len(statuses) != next(iter(sizes)):
            return None
        if not all(status.open for status in statuses.values()):
            return None
        return statuses

    async def _abort_unfinished_switch(self, statuses: dict[int, RankStatus]) -> None:
        """Query all ranks with this commander's fence, then abort another commander's switch."""
        fresh = await self._read_statuses(statuses)
        if len(fresh) != len(statuses):
            return
        if is_consistent(fresh):
            return
        cleaned = await abort_unfinished_switch(self, fresh, self.newest_map_version)
        self.log.emit(events.MAP_CLEANED_UP, group=self.assignment.group, cleaned=cleaned)

    async def _read_statuses(
        self, ranks: Iterable[int], action: RankAction = RankAction.READ
    ) -> dict[int, RankStatus]:
        """Query ranks concurrently; return the current status of those that answer."""
        fresh: dict[int, RankStatus] = {}

        async def read(rank: int) -> None:
            status = await self.send_order(rank, action, 0, 0, ())
            if status is not None:
                fresh[rank] = status

        async with anyio.create_task_group() as tasks:
            for rank in ranks:
                tasks.start_soon(read, rank)
        return fresh

    async def _update_current_map(self, statuses: dict[int, RankStatus]) -> bool:
        """Read the map in use; return whether it is known and the same on all ranks."""
        versions = {status.map_version for status in statuses.values()}
        if len(versions) != 1 or any(status.armed for status in statuses.values()):
            # A switch is due or has just happened; agents report it without being asked.
            now = anyio.current_time()
            if self.inconsistent_since is None:
                self.inconsistent_since = now
            if now - self.inconsistent_since > SWITCH_REPORT_TIMEOUT_S:
                await self._read_statuses(statuses)
            return False
        self.inconsistent_since = None
        current_key = (self.epoch, versions.pop())
        if self.experts_key == current_key:
            return True
        fresh = await self._read_statuses(statuses, RankAction.LIST)
        ranks = sorted(fresh)
        for status in fresh.values():
            if not status.experts or (status.epoch, status.map_version) != current_key:
                return False
        if len(ranks) != len(statuses):
            return False
        sets = len(fresh[ranks[0]].experts)
        self.experts = tuple(
            tuple(fresh[rank].experts[index] for rank in ranks) for index in range(sets)
        )
        self.experts_key = current_key
        return True

    async def _plan_map_change(self, statuses: dict[int, RankStatus]) -> None:
        engine = self.engine()
        popularity = self.popularity.popularity_by_set(len(self.experts), anyio.current_time())
        if popularity is None or engine is None:
            return
        requests = sum(status.requests for status in statuses.values())
        busy = group_load_ratio(requests, len(statuses), engine)
        planning_since = anyio.current_time()
        weights = self._pace_weights(statuses)
        planner = EvenMapPlanner(self.experts, popularity, map_change_bounds(engine, busy), weights)
        while planner.plan_next_step():
            # Lets the agent answer entries between two planning steps.
            await anyio.lowlevel.checkpoint()
        plan = planner.plan()
        if not is_change_worthwhile(plan, busy):
            return
        self.newest_map_version += 1
        self.recent_maps[self.newest_map_version] = plan.experts
        while len(self.recent_maps) > MAX_BASE_MAPS:
            del self.recent_maps[next(iter(self.recent_maps))]
        switch = MapSwitch(
            self._switch_order(statuses),
            self.newest_map_version,
            plan.experts,
            self._passes_ahead,
            self._adjust_switch_lead,
        )
        started_at = anyio.current_time()
        outcome = await switch.run(self)
        if outcome is SwitchOutcome.SWITCHED:
            self.experts = plan.experts
            self.experts_key = (self.epoch, switch.version)
        self.log.emit(
            events.MAP_CHANGED,
            group=self.assignment.group,
            outcome=outcome,
            version=switch.version,
            epoch=self.epoch,
            copies=plan.copies,
            busy=round(busy, 2),
            pass_ms=round(self.pace.pass_s * 1000),
            unanswered=len(switch.unanswered),
            slow_ranks=sum(weight > 1.0 for weight in weights),
            skew_now=round(plan.skew_now, 3),
            skew_planned=round(plan.skew_planned, 3),
            took_ms=round((anyio.current_time() - started_at) * 1000),
            plan_ms=round((started_at - planning_since) * 1000),
            prepare_ms=switch.stage_ms(SwitchStage.PREPARE),
            copy_ms=switch.stage_ms(SwitchStage.COPY),
            hold_ms=switch.stage_ms(SwitchStage.HOLD),
            arm_ms=switch.stage_ms(SwitchStage.ARM),
        )

    def _pace_weights(self, statuses: dict[int, RankStatus]) -> tuple[float, ...]:
        """Return the weight of each rank's load; empty if no rank is known to be slow.

        The pace of a rank whose agent is not connected may be outdated and counts as usual.
        """
        weights = tuple(
            pace_weight(statuses[rank].pace if self.members[rank].outbox is not None else None)
            for rank in sorted(statuses)
        )
        return weights if max(weights) > 1.0 else ()

    def _passes_ahead(self, has_unanswered_orders: bool) -> int:
        """Return how far ahead a pass is held, in passes.

        If ranks left orders to prepare unanswered, orders to arm them will need repeating too.
        """
        lead_s = self.switch_lead_s
        if has_unanswered_orders:
            lead_s = max(lead_s, UNANSWERED_SWITCH_LEAD_S)
        return self.pace.passes_ahead(lead_s)

    def _adjust_switch_lead(self, took_s: float) -> None:
        """Adjust the lead of the next hold to the time that arming all ranks took.

        Unanswered orders are sent again, so arming takes longer. If the held pass becomes due
        before all ranks are armed, the whole group stalls.
        """
        new_lead_s = max(took_s, (self.switch_lead_s + took_s) / 2)
        self.switch_lead_s = min(MAX_SWITCH_LEAD_S, max(MIN_SWITCH_LEAD_S, new_lead_s))

    def _switch_order(self, ranks: Iterable[int]) -> tuple[int, ...]:
        """Return the ranks in the order of :attr:`MapSwitch.ranks`.

        Ranks with a responsive agent come first, and the rank on this commander's VM comes last.
        """
        own = self.assignment.commander
        now = anyio.current_time()

        def sort_key(rank: int) -> tuple[bool, bool]:
            member = self.members[rank]
            return member.group_member.agent == own, not member.is_agent_responsive(now)

        return tuple(sorted(ranks, key=sort_key))
