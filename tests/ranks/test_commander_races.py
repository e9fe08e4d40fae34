"""Two and three commanders, whose orders are lost, late or overtaken: no pass mixes two maps."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

import anyio
import pytest
import trio
import trio.testing

from bergamotchute_daemon.ranks import map_switch
from bergamotchute_daemon.ranks.map_switch import (
    MapSwitch,
    RankOrderSender,
    abort_unfinished_switch,
    disarm,
    release_hold,
)
from bergamotchute_model.node_messages import RankAction, RankStatus
from bergamotchute_model.packed_map import ExpertPlacement

RANKS = 3
SCHEDULES = 600
MAX_STEPS = 120
LAST_PASSES = 6
NEW_VERSION = 1
FENCES_PER_COMMANDER = 1_000


@dataclass
class OrderInFlight:
    """An order that a commander waits for, or that a rank may still carry out.

    :param answer: the rank's status after it; ``None`` if the answer was lost.
    """

    rank: int
    action: RankAction
    version: int
    step: int
    fence: int
    answered: anyio.Event = field(default_factory=anyio.Event)
    answer: RankStatus | None = None


class RankGroup:
    """Ranks that begin passes together, with the orders on their way to them.

    :param waiting: orders whose commanders wait for the answer.
    :param late: orders that were given up and may still be carried out.
    :param mixed: the passes that began while two ranks had different maps.
    """

    def __init__(self) -> None:
        self.step = 0
        self.statuses = {
            rank: RankStatus("g0", rank, RANKS, 1, True, 0, 0, 0, NEW_VERSION, None, None)
            for rank in range(RANKS)
        }
        self.fences = dict.fromkeys(range(RANKS), 0)
        self.waiting: list[OrderInFlight] = []
        self.late: list[OrderInFlight] = []
        self.mixed: list[int] = []

    def begin_pass(self) -> None:
        """Begin the next pass unless a rank holds it."""
        if any(status.held == self.step + 1 for status in self.statuses.values()):
            return
        self.step += 1
        for rank, status in self.statuses.items():
            if status.armed is not None and status.armed[1] == self.step:
                status = replace(status, map_version=status.armed[0], armed=None)  # noqa: PLW2901
            self.statuses[rank] = replace(status, step=self.step)
        if len({status.map_version for status in self.statuses.values()}) > 1:
            self.mixed.append(self.step)

    def carry_out(self, order: OrderInFlight) -> RankStatus:
        """Carry out an order as a rank does; return the status that it answers with."""
        rank = order.rank
        if order.action is RankAction.READ:
            # A commander reads the reports of the agents, which don't tell the ranks its fence.
            return self.statuses[rank]
        if order.fence < self.fences[rank]:
            return replace(self.statuses[rank], accepted=False)
        self.fences[rank] = order.fence
        changed = self._change(self.statuses[rank], order)
        if changed is not None:
            self.statuses[rank] = changed
        return replace(self.statuses[rank], accepted=changed is not None)

    def _change(self, status: RankStatus, order: OrderInFlight) -> RankStatus | None:
        """Return the status after an order that is not outdated; ``None`` if it is refused."""
        match order.action:
            case RankAction.ARM if order.step > self.step and status.map_version < order.version:
                return replace(status, armed=(order.version, order.step))
            case RankAction.DISARM if status.map_version != order.version:
                return replace(status, armed=None)
            case RankAction.HOLD if order.step > self.step and status.held in (None, order.step):
                return replace(status, held=order.step)
            case RankAction.GO if status.held == order.step:
                return replace(status, held=None)
        return None


@dataclass
class Commander:
    """Sends orders with the fences of one assignment."""

    group: RankGroup
    number: int
    orders: int = 0

    async def send_order(
        self, rank: int, action: RankAction, version: int, step: int, _: ExpertPlacement
    ) -> RankStatus | None:
        self.orders += 1
        fence = self.number * FENCES_PER_COMMANDER + self.orders
        order = OrderInFlight(rank, action, version, step, fence)
        self.group.waiting.append(order)
        await order.answered.wait()
        return order.answer

    def known_status(self, rank: int) -> RankStatus | None:
        return None

    async def switch(self) -> None:
        """Change the map; the copies are prepared."""
        change = MapSwitch(tuple(range(RANKS)), NEW_VERSION, (), lambda _: 2)
        step = await change._hold_pass(self)
        if step is not None:
            await change._arm_and_release(self, step)

    async def take_over(self, abort: Callable[..., object]) -> None:
        """Abort what an earlier commander left unfinished."""
        statuses: dict[int, RankStatus] = {}
        for rank in range(RANKS):
            status = await self.send_order(rank, RankAction.READ, 0, 0, ())
            if status is None:
                return
            statuses[rank] = status
        await abort(self, statuses, NEW_VERSION)  # type: ignore[misc]


async def play_schedule(random: Random, commanders: int, abort: Callable[..., object]) -> RankGroup:
    """Let commanders take over from each other while their orders are delayed, doubled and lost."""
    group = RankGroup()
    lost_share = random.choice((0.0, 0.1, 0.4))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(Commander(group, 1).switch)
        number = 1
        # Answers to a commander that is frozen are held back, while ranks carry out its orders.
        frozen: int | None = None
        for _ in range(MAX_STEPS):
            await trio.testing.wait_all_tasks_blocked()
            kind = random.random()
            if not group.waiting and not group.late and number == commanders:
                break
            if (kind < 0.1 or not group.waiting) and number < commanders:
                # A commander is mostly replaced because its VM is frozen.
                frozen = random.choice((None, number, number))
                number += 1
                tasks.start_soon(Commander(group, number).take_over, abort)
            elif kind < 0.2:
                frozen = random.choice((None, *range(1, number + 1)))
            elif kind < 0.3 and group.late:
                group.carry_out(group.late.pop(random.randrange(len(group.late))))
            elif kind < 0.4:
                group.begin_pass()
            else:
                _handle_one_order(group, random, frozen, lost_share)
        tasks.cancel_scope.cancel()
    for order in group.late:
        group.carry_out(order)
    for _ in range(LAST_PASSES):
        group.begin_pass()
    return group


def _handle_one_order(
    group: RankGroup, random: Random, frozen: int | None, lost_share: float
) -> None:
    awake = [each for each in group.waiting if each.fence // FENCES_PER_COMMANDER != frozen]
    if not awake:
        return
    order = random.choice(awake)
    group.waiting.remove(order)
    if random.random() < lost_share:
        if random.random() < 0.5:
            group.carry_out(order)
        else:
            group.late.append(order)
    else:
        order.answer = group.carry_out(order)
    order.answered.set()


def count_mixed_passes(commanders: int, abort: Callable[..., object], first_seed: int) -> int:
    """Return in how many schedules a pass began with two maps."""
    mixed = 0
    for seed in range(first_seed, first_seed + SCHEDULES):
        group = trio.run(
            play_schedule,
            Random(seed),
            commanders,
            abort,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
        mixed += bool(group.mixed)
    return mixed


@pytest.mark.parametrize("commanders", [2, 3])
def test_pass_begins_with_two_maps_when_an_earlier_commander_wakes(
    monkeypatch: pytest.MonkeyPatch, commanders: int
) -> None:
    """A commander that woke ended the hold of a pass while its successor disarmed the ranks."""
    monkeypatch.setattr(map_switch, "RELEASE_RETRY_DELAY_S", 0.0)
    assert not count_mixed_passes(commanders, abort_unfinished_switch, 0)


async def _abort_under_another_hold(
    order_sender: RankOrderSender, statuses: dict[int, RankStatus], newest_version: int
) -> None:
    """Disarm all ranks at once under a hold of the earlier commander, as was done before."""
    if map_switch.is_consistent(statuses):
        return
    if not await disarm(order_sender, statuses, newest_version):
        return
    for rank, status in statuses.items():
        if status.held is not None:
            await release_hold(order_sender, rank, status.held)


def test_schedules_miss_a_hold_that_its_commander_may_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(map_switch, "RELEASE_RETRY_DELAY_S", 0.0)
    assert count_mixed_passes(2, _abort_under_another_hold, 0)
