"""Commands one rank group: follows which experts are chosen and changes the map."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field, replace

import anyio
import anyio.lowlevel

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.ranks.map_switch import (
    SWITCH_S,
    MapSwitch,
    SwitchOutcome,
    clean_up,
    is_settled,
)
from bergamotchute_daemon.ranks.rank_gate import RankGate, RankSilent
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
from bergamotchute_model.whole_configuration import EngineFigures
from bergamotchute_policy.choice_popularity import ChoicePopularity
from bergamotchute_policy.even_map_planner import EvenMapPlanner, ExpertSets
from bergamotchute_policy.map_change_choice import busyness, change_bounds, is_worth_changing
from bergamotchute_policy.map_delta import map_changes
from bergamotchute_policy.pass_pace import PassPace
from bergamotchute_wire.link import Dial, DialFailed, Link, LinkClosed
from bergamotchute_wire.outbox import Outbox, open_outbox

ORDER_WAIT_S = 0.4
"""Wait for an agent's answer; its calls to the rank are bounded by less."""

PLAN_S = 0.1
"""Wait between two looks at the demand; agents tell it every 0.2 s."""

LOOK_S = 0.05
"""Wait between two looks while the state of a rank is unknown."""

MUTE_S = 2.0
"""How long a rank is called directly after its agent gave no answer; such calls cost more."""

ORDERS_PER_ASSIGNMENT = 100_000_000
"""Orders of one commander that have a fence of their own below the next assignment's.

A crest takes 40 a second, so these are enough for a month of it; fences stay below 2**53, which JSON
carries exactly, for 9,000 terms.
"""

RELINK_S = 0.2

LONGEST_SWITCH_S = 1.0
"""How far ahead a pass is held at the most; demand turns every few seconds."""

TELL_BOUND_S = 0.4
"""Agents tell of a switch within this time, two of their looks; then their ranks are asked."""

CALLED_FROM_HERE = (RankAction.HOLD, RankAction.GO)
"""Orders that go out from the commander's VM. An agent that is lost right after its rank held a pass
leaves nobody who can end that if its VM froze; a commander that is lost leaves a rank that its
successor can call."""

MAPS_KEPT = 8
"""Maps on which changes may be based; agents keep fewer."""


@dataclass
class _Member:
    """One rank as the commander sees it.

    :param gate: calls the rank from here.
    :param mute_until: the rank is called past its agent until then, on the runtime's clock.
    :param silent_until: it gave no answer to a call past its agent; where that agent answers, only
        that one calls it until then.
    :param map_held: the version of the last map that its agent took from this commander.
    """

    place: GroupMember
    gate: RankGate
    outbox: Outbox[NodeMessage] | None = None
    mute_until: float = float("-inf")
    silent_until: float = float("-inf")
    status: RankStatus | None = None
    map_held: int = 0

    def answers(self, now: float) -> bool:
        """Return whether its agent is linked and answered the last order."""
        return self.outbox is not None and self.mute_until <= now


@dataclass
class _Answer:
    """The answer that an order waits for.

    :param outbox: where the order went.
    :param settled: set once it came, or can't come any more.
    """

    outbox: Outbox[NodeMessage]
    settled: anyio.Event = field(default_factory=anyio.Event)
    status: RankStatus | None = None


@dataclass
class RankCommander:
    """Commands one group as long as it runs.

    :param reach: opens a gate to a rank whose agent can't be reached.
    :param engine: the figures of the group's engines; ``None`` while no configuration came.
    """

    assignment: CommanderAssigned
    dial: Dial[NodeMessage]
    reach: Callable[[Address], RankGate]
    log: EventLog
    engine: Callable[[], EngineFigures | None]
    members: dict[int, _Member] = field(default_factory=dict)
    waiting: dict[int, _Answer] = field(default_factory=dict)
    popularity: ChoicePopularity = field(default_factory=ChoicePopularity)
    pace: PassPace = field(default_factory=PassPace)
    experts: ExpertSets = ()
    experts_of: tuple[int, int] = (0, -1)
    orders: int = 0
    changes: int = 0
    newest_version: int = 0
    maps: dict[int, ExpertSets] = field(default_factory=dict)
    unsettled_since: float | None = None
    switch_s: float = SWITCH_S

    async def run(self) -> None:
        """Command the group until cancelled."""
        self.members = {
            place.rank: _Member(place, self.reach(place.endpoint))
            for place in self.assignment.members
        }
        self.log.emit(
            events.COMMAND_TAKEN, group=self.assignment.group, fence=self.assignment.fence
        )
        async with anyio.create_task_group() as tasks:
            for member in self.members.values():
                tasks.start_soon(self._keep_link, member)
            await self._command()

    async def _keep_link(self, member: _Member) -> None:
        while True:
            with suppress(DialFailed, LinkClosed):
                async with self.dial(member.place.agent) as link:
                    await self._serve(member, link)
            await anyio.sleep(RELINK_S)

    async def _serve(self, member: _Member, link: Link[NodeMessage]) -> None:
        async with open_outbox(link) as outbox:
            member.outbox = outbox
            member.mute_until = float("-inf")
            member.map_held = 0
            outbox.post(self._next_order(RankAction.READ))
            try:
                while True:
                    self._take(member, await link.receive())
            finally:
                member.outbox = None
                for answer in self.waiting.values():
                    if answer.outbox is outbox:
                        answer.settled.set()

    def _take(self, member: _Member, message: NodeMessage) -> None:
        if isinstance(message, RankCounts):
            self.popularity.observe(message, anyio.current_time())
        elif isinstance(message, RankStatus):
            self._note(member, message)
            answer = self.waiting.pop(message.order, None)
            if answer is not None:
                answer.status = message
                answer.settled.set()

    def _note(self, member: _Member, status: RankStatus) -> None:
        member.status = status
        self.pace.observe(status.epoch, status.step, anyio.current_time())
        armed = status.armed[0] if status.armed is not None else 0
        self.newest_version = max(
            self.newest_version, status.map_version, status.prepared or 0, armed
        )

    def _next_order(
        self,
        action: RankAction,
        version: int = 0,
        step: int = 0,
        experts: ExpertSets = (),
    ) -> RankOrder:
        """Return an order; one that changes something has a fence above all earlier ones."""
        self.orders += 1
        if not action.is_read:
            self.changes += 1
        fence = self.assignment.fence * ORDERS_PER_ASSIGNMENT + self.changes
        return RankOrder(self.orders, fence, self.epoch, action, version, step, experts)

    @property
    def epoch(self) -> int:
        """The newest life of the group."""
        return max((each.status.epoch for each in self.members.values() if each.status), default=0)

    async def give(
        self, rank: int, action: RankAction, version: int, step: int, experts: ExpertSets
    ) -> RankStatus | None:
        """Give an order to a rank; ``None`` when its state behind it is unknown."""
        member = self.members[rank]
        now = anyio.current_time()
        if action in CALLED_FROM_HERE and member.silent_until <= now:
            status = await self._give_directly(rank, self._next_order(action, version, step))
            if status is not None:
                return status
        sent = experts if action is RankAction.PREPARE else ()
        if not member.answers(now):
            return await self._give_directly(rank, self._next_order(action, version, step, sent))
        order = self._shortened(member, action, version, step, sent)
        status = await self._give_linked(member, order)
        if status is not None and status.base_missing:
            order = self._next_order(action, version, step, sent)
            status = await self._give_linked(member, order)
        if status is None:
            member.mute_until = now + MUTE_S
        elif sent:
            member.map_held = version
        return status

    async def _give_directly(self, rank: int, order: RankOrder) -> RankStatus | None:
        """Call a rank past its agent."""
        member = self.members[rank]
        try:
            status = await member.gate.give(order)
        except RankSilent as error:
            member.silent_until = anyio.current_time() + MUTE_S
            self.log.emit(
                events.RANK_SILENT, group=self.assignment.group, rank=rank, detail=str(error)
            )
            return None
        if status is not None:
            self._note(member, status)
        return status

    def _shortened(
        self, member: _Member, action: RankAction, version: int, step: int, experts: ExpertSets
    ) -> RankOrder:
        """Return an order that says only what changed since the map that the agent holds."""
        base = self.maps.get(member.map_held) if experts else None
        if base is None:
            return self._next_order(action, version, step, experts)
        order = self._next_order(action, version, step)
        return replace(order, base=member.map_held, changes=map_changes(base, experts))

    def told(self, rank: int) -> RankStatus | None:
        """Return what is known of a rank's state."""
        return self.members[rank].status

    async def _give_linked(self, member: _Member, order: RankOrder) -> RankStatus | None:
        if member.outbox is None:
            return None
        answer = self.waiting[order.order] = _Answer(member.outbox)
        member.outbox.post(order)
        with anyio.move_on_after(ORDER_WAIT_S):
            await answer.settled.wait()
        self.waiting.pop(order.order, None)
        return answer.status

    async def _command(self) -> None:
        while True:
            statuses = self._whole_group()
            if statuses is None:
                await anyio.sleep(LOOK_S)
                await self._read_missing()
                await self._rescue()
                continue
            if not is_settled(statuses):
                await self._clean_up(statuses)
            elif await self._learn_map(statuses):
                await self._plan(statuses)
            await anyio.sleep(PLAN_S)

    async def _rescue(self) -> None:
        """End what the earlier commander left where its own rank can't be asked.

        That one arms its own rank last, so it is not armed while any other isn't.
        """
        known = {rank: one.status for rank, one in self.members.items() if one.status}
        missing = [one.place.agent for rank, one in self.members.items() if rank not in known]
        if missing != [self.assignment.earlier] or is_settled(known):
            return
        fresh = await self._read_anew(known)
        if len(fresh) != len(known) or all(status.armed for status in fresh.values()):
            return
        cleaned = await clean_up(self, fresh, self.newest_version)
        self.log.emit(
            events.MAP_CLEANED, group=self.assignment.group, cleaned=cleaned, without=len(missing)
        )

    async def _read_missing(self) -> None:
        """Ask ranks that have not told their state since the group's newest life began."""
        epoch = self.epoch
        missing = [
            rank
            for rank, member in self.members.items()
            if member.status is None or member.status.epoch != epoch
        ]
        await self._read_anew(missing)

    def _whole_group(self) -> dict[int, RankStatus] | None:
        """Return the newest state of every rank, or ``None`` while any is missing."""
        statuses = {rank: member.status for rank, member in self.members.items() if member.status}
        sizes = {status.size for status in statuses.values()}
        epochs = {status.epoch for status in statuses.values()}
        if len(sizes) != 1 or len(epochs) != 1 or len(statuses) != next(iter(sizes)):
            return None
        if not all(status.open for status in statuses.values()):
            return None
        return statuses

    async def _clean_up(self, statuses: dict[int, RankStatus]) -> None:
        """Look again with this commander's fence, then end what another one left."""
        fresh = await self._read_anew(statuses)
        if len(fresh) != len(statuses):
            return
        if is_settled(fresh):
            return
        cleaned = await clean_up(self, fresh, self.newest_version)
        self.log.emit(events.MAP_CLEANED, group=self.assignment.group, cleaned=cleaned)

    async def _read_anew(
        self, ranks: Iterable[int], action: RankAction = RankAction.READ
    ) -> dict[int, RankStatus]:
        """Return the present state of the ranks that answer."""
        fresh: dict[int, RankStatus] = {}

        async def read(rank: int) -> None:
            status = await self.give(rank, action, 0, 0, ())
            if status is not None:
                fresh[rank] = status

        async with anyio.create_task_group() as tasks:
            for rank in ranks:
                tasks.start_soon(read, rank)
        return fresh

    async def _learn_map(self, statuses: dict[int, RankStatus]) -> bool:
        """Know the map in use; return whether it is known and the same on all ranks."""
        versions = {status.map_version for status in statuses.values()}
        if len(versions) != 1 or any(status.armed for status in statuses.values()):
            # The pass of a switch is to come, or has come; agents tell of it.
            now = anyio.current_time()
            if self.unsettled_since is None:
                self.unsettled_since = now
            if now - self.unsettled_since > TELL_BOUND_S:
                await self._read_anew(statuses)
            return False
        self.unsettled_since = None
        wanted = (self.epoch, versions.pop())
        if self.experts_of == wanted:
            return True
        fresh = await self._read_anew(statuses, RankAction.LIST)
        ranks = sorted(fresh)
        for status in fresh.values():
            if not status.experts or (status.epoch, status.map_version) != wanted:
                return False
        if len(ranks) != len(statuses):
            return False
        sets = len(fresh[ranks[0]].experts)
        self.experts = tuple(
            tuple(fresh[rank].experts[index] for rank in ranks) for index in range(sets)
        )
        self.experts_of = wanted
        return True

    async def _plan(self, statuses: dict[int, RankStatus]) -> None:
        engine = self.engine()
        popularity = self.popularity.by_set(len(self.experts), anyio.current_time())
        if popularity is None or engine is None:
            return
        requests = sum(status.requests for status in statuses.values())
        busy = busyness(requests, len(statuses), engine)
        planner = EvenMapPlanner(self.experts, popularity, change_bounds(engine, busy))
        while planner.advance():
            # The agent answers entries meanwhile.
            await anyio.lowlevel.checkpoint()
        plan = planner.plan()
        if not is_worth_changing(plan, busy):
            return
        self.newest_version += 1
        self.maps[self.newest_version] = plan.experts
        while len(self.maps) > MAPS_KEPT:
            del self.maps[next(iter(self.maps))]
        ahead = self.pace.passes_ahead(self.switch_s)
        switch = MapSwitch(
            self._order_of_ranks(statuses), self.newest_version, plan.experts, ahead, self._on_armed
        )
        began_at = anyio.current_time()
        outcome = await switch.run(self)
        if outcome is SwitchOutcome.SWITCHED:
            self.experts = plan.experts
            self.experts_of = (self.epoch, switch.version)
        self.log.emit(
            events.MAP_CHANGED,
            group=self.assignment.group,
            outcome=outcome,
            version=switch.version,
            epoch=self.epoch,
            copies=plan.copies,
            busy=round(busy, 2),
            pass_ms=round(self.pace.pass_s * 1000),
            skew_now=round(plan.skew_now, 3),
            skew_planned=round(plan.skew_planned, 3),
            took_ms=round((anyio.current_time() - began_at) * 1000),
        )

    def _on_armed(self, took_s: float) -> None:
        """Hold the next pass as far ahead as arming takes now.

        Load pattern: orders get no answer and are sent again; a group that waits for them stands still.
        """
        longer = max(took_s, (self.switch_s + took_s) / 2)
        self.switch_s = min(LONGEST_SWITCH_S, max(SWITCH_S, longer))

    def _order_of_ranks(self, ranks: Iterable[int]) -> tuple[int, ...]:
        """Return the ranks with one first whose agent answers, and the one beside this commander last."""
        own = self.assignment.commander
        now = anyio.current_time()

        def place(rank: int) -> tuple[bool, bool]:
            member = self.members[rank]
            return member.place.agent == own, not member.answers(now)

        return tuple(sorted(ranks, key=place))
