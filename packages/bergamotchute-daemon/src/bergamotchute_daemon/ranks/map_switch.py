"""Changes the map of a whole rank group between two passes.

Ranks do not compare maps, so a pass must never begin while some ranks have switched and others
have not. One rank holds the pass at which all shall switch until every rank is seen armed for it.

An order without an answer may still be carried out seconds later. Each order has a higher fence
than those before it, so once a rank has answered an order, it refuses all earlier ones.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

import anyio

from bergamotchute_model.node_messages import RankAction, RankStatus
from bergamotchute_policy.even_map_planner import ExpertSets

COPY_LOOK_S = 0.02
"""How often it is looked whether all ranks' copies are complete; one expert takes 0.02 to 0.15 s."""

COPY_ASK_S = 0.3
"""How often ranks are asked that have not told it by themselves, as their words may be lost."""

COPY_BOUND_S = 4.0
"""Wait for copies; a plan is stale by then, as popular experts change about as often."""

SWITCH_S = 0.08
"""Hold, arms and go take about 50 ms and should be done before the pass is due."""

PASSES_LATER = (0, 2, 5)
"""How many more passes ahead is held, by try; an earlier one had begun already."""

ORDER_TRIES = 8
"""Sendings of one order before the switch is given up. Where a third of the orders get no answer, one
of 32 ranks answers none of 4 in 38% of the switches, none of 8 in 0.7%."""

DISARM_TRIES = 40
"""Sendings of the order to disarm; without its answer the group must stand still."""

GO_TRIES = 40
"""Sendings of the order that ends a hold; the group stands still until one is taken."""

GO_PAUSE_S = 0.02


class SwitchOutcome(StrEnum):
    """What became of a switch."""

    SWITCHED = "switched"
    NOT_PREPARED = "not_prepared"
    NOT_HELD = "not_held"
    NOT_ARMED = "not_armed"
    STUCK = "stuck"


class RankCaller(Protocol):
    """Gives orders to the ranks of a group."""

    async def give(
        self, rank: int, action: RankAction, version: int, step: int, experts: ExpertSets
    ) -> RankStatus | None:
        """Give an order; ``None`` when the rank's state behind it is unknown."""

    def told(self, rank: int) -> RankStatus | None:
        """Return the newest state of a rank that is known; ``None`` for none."""


@dataclass(frozen=True)
class MapSwitch:
    """One change of the map.

    :param ranks: all ranks of the group. The first one holds the pass. The last one is armed once
        all others are: the commander's own, which its successor may be unable to ask.
    :param version: higher than all versions that any of the ranks has had.
    :param passes_ahead: how far ahead the pass is held; enough for :data:`SWITCH_S`.
    :param on_armed: told how long it took from the hold until all ranks were seen armed, in seconds.
    """

    ranks: tuple[int, ...]
    version: int
    experts: ExpertSets
    passes_ahead: int
    on_armed: Callable[[float], None] = lambda _: None

    async def run(self, caller: RankCaller) -> SwitchOutcome:
        """Carry the change out, or undo what was begun of it."""
        if not await self._prepare(caller):
            return SwitchOutcome.NOT_PREPARED
        step = await self._hold(caller)
        if step is None:
            return SwitchOutcome.NOT_HELD
        return await self._arm_and_go(caller, step)

    async def _arm_and_go(self, caller: RankCaller, step: int) -> SwitchOutcome:
        outcome = SwitchOutcome.SWITCHED
        begun_at = anyio.current_time()
        armed = await self._arm(caller, step, self.ranks[:-1])
        armed = armed and await self._arm(caller, step, self.ranks[-1:])
        self.on_armed(anyio.current_time() - begun_at)
        if not armed:
            outcome = SwitchOutcome.NOT_ARMED
            # The last rank first: while another is not armed, a successor takes it to be unarmed.
            last_disarmed = await disarm(caller, self.ranks[-1:], self.version)
            if not last_disarmed or not await disarm(caller, self.ranks, self.version):
                # A rank that may switch alone must not get the pass.
                return SwitchOutcome.STUCK
        if not await release(caller, self.ranks[0], step):
            return SwitchOutcome.STUCK
        return outcome

    async def _arm(self, caller: RankCaller, step: int, ranks: tuple[int, ...]) -> bool:
        """Arm some ranks; return whether all of them are seen armed."""
        armed = await self._on_all(caller, RankAction.ARM, step, self._is_armed(step), ranks)
        return all(armed.values())

    async def _prepare(self, caller: RankCaller) -> bool:
        """Have every rank copy its new experts; return whether all of them hold the map."""
        taken = await self._on_all(caller, RankAction.PREPARE, 0, self._prepares, self.ranks)
        if not all(taken.values()):
            return False
        waiting = self.ranks
        ask_at = anyio.current_time() + COPY_ASK_S
        with anyio.move_on_after(COPY_BOUND_S):
            while waiting:
                await anyio.sleep(COPY_LOOK_S)
                ready = {rank for rank in waiting if self._is_ready(caller.told(rank))}
                if anyio.current_time() >= ask_at:
                    ready |= await self._look(caller, waiting)
                    ask_at = anyio.current_time() + COPY_ASK_S
                waiting = tuple(rank for rank in waiting if rank not in ready)
        return not waiting

    def _is_ready(self, status: RankStatus | None) -> bool:
        return status is not None and status.prepared == self.version

    async def _look(self, caller: RankCaller, ranks: tuple[int, ...]) -> set[int]:
        """Return the ranks whose copies are complete."""
        ready: set[int] = set()

        async def look(rank: int) -> None:
            status = await caller.give(rank, RankAction.READ, 0, 0, ())
            if self._is_ready(status):
                ready.add(rank)

        await _together([lambda rank=rank: look(rank) for rank in ranks])  # type: ignore[misc]
        return ready

    async def _hold(self, caller: RankCaller) -> int | None:
        """Hold a pass to come; return which one, or ``None`` when none could be held."""
        first = self.ranks[0]
        status = await caller.give(first, RankAction.READ, 0, 0, ())
        for later in PASSES_LATER:
            if status is None:
                return None
            step = status.step + self.passes_ahead + later
            status = await caller.give(first, RankAction.HOLD, 0, step, ())
            if status is not None and status.held == step:
                return step
            if status is None or status.accepted is None:
                # It may hold the pass, or be about to: nothing else would end that.
                await release(caller, first, step)
        return None

    async def _on_all(
        self,
        caller: RankCaller,
        action: RankAction,
        step: int,
        done: Callable[[RankStatus], bool],
        ranks: tuple[int, ...],
    ) -> dict[int, bool]:
        """Give an order to ranks, again where it was not seen carried out."""
        results = dict.fromkeys(ranks, False)

        async def give(rank: int) -> None:
            for _ in range(ORDER_TRIES):
                status = await caller.give(rank, action, self.version, step, self.experts)
                if status is not None and done(status):
                    results[rank] = True
                    return
                if status is not None and status.accepted is False:
                    return

        await _together([lambda rank=rank: give(rank) for rank in ranks])  # type: ignore[misc]
        return results

    def _prepares(self, status: RankStatus) -> bool:
        return bool(status.accepted) or status.prepared == self.version

    def _is_armed(self, step: int) -> Callable[[RankStatus], bool]:
        return lambda status: status.armed == (self.version, step)


async def disarm(caller: RankCaller, ranks: Iterable[int], version: int) -> bool:
    """Have every rank answer an order to disarm; return whether all did and none is armed.

    A rank whose arm got no answer must answer too: only then is that arm refused for good.
    """
    left = set(ranks)

    async def disarm_rank(rank: int) -> None:
        for _ in range(DISARM_TRIES):
            status = await caller.give(rank, RankAction.DISARM, version, 0, ())
            if status is not None and status.accepted and status.armed is None:
                left.discard(rank)
                return

    await _together([lambda rank=rank: disarm_rank(rank) for rank in ranks])  # type: ignore[misc]
    return not left


async def release(caller: RankCaller, rank: int, step: int) -> bool:
    """End a hold; return whether the rank is seen without it."""
    for _ in range(GO_TRIES):
        status = await caller.give(rank, RankAction.GO, 0, step, ())
        if status is not None and status.held != step:
            return True
        await anyio.sleep(GO_PAUSE_S)
    return False


def is_settled(statuses: Mapping[int, RankStatus]) -> bool:
    """Return whether nothing of a switch is left, or all ranks will switch at the same pass."""
    held = any(status.held is not None for status in statuses.values())
    return not held and len({status.armed for status in statuses.values()}) == 1


async def clean_up(
    caller: RankCaller, statuses: Mapping[int, RankStatus], newest_version: int
) -> bool:
    """End what another commander left: arms under a hold, then the holds.

    :param statuses: the newest state of every rank of the group.
    :param newest_version: no rank has had a higher one.
    :returns: whether nothing is left.
    """
    if is_settled(statuses):
        return True
    armed = [status.armed for status in statuses.values() if status.armed is not None]
    holds = {rank: status.held for rank, status in statuses.items() if status.held is not None}
    soonest = min((step for _, step in armed), default=None)
    if soonest is not None and all(step > soonest for step in holds.values()):
        # Ranks that are disarmed one after the other must not meet the pass meanwhile.
        first = next((rank for rank in statuses if rank not in holds), min(statuses))
        status = await caller.give(first, RankAction.HOLD, 0, soonest, ())
        if status is None or status.held != soonest:
            return False
        holds[first] = soonest
    for version in {version for version, _ in armed} or {newest_version + 1}:
        if not await disarm(caller, statuses, version):
            return False
    for rank, step in holds.items():
        if not await release(caller, rank, step):
            return False
    return True


async def _together(calls: list[Callable[[], Coroutine[Any, Any, None]]]) -> None:
    async with anyio.create_task_group() as tasks:
        for call in calls:
            tasks.start_soon(call)
