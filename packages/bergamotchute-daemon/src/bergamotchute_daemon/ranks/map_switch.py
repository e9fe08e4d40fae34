"""Switch a whole rank group to a new expert map between two passes.

Ranks don't compare their maps, so a pass must never begin while some ranks have switched and others
have not. One rank holds the pass at which all ranks are to switch until every rank has confirmed that
it is armed for this pass.

A rank may carry out an unanswered order seconds later. Each order has a higher fence than those
before it, so once a rank has answered an order, it refuses all earlier ones.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

import anyio

from bergamotchute_model.node_messages import RankAction, RankStatus
from bergamotchute_model.packed_map import ExpertPlacement

COPY_POLL_INTERVAL_S = 0.02
"""Interval at which reported copies are checked; copying one expert takes 0.02 to 0.15 s."""

COPY_QUERY_INTERVAL_S = 0.3
"""Interval at which ranks without a complete copy are queried, as their reports may be lost."""

COPY_TIMEOUT_S = 4.0
"""Timeout of copying; after it the plan is stale, as popular experts change about as often."""

MIN_SWITCH_LEAD_S = 0.08
"""Least time between the order to hold a pass and the moment this pass is due.

Holding the pass, arming all ranks and ending the hold take about 50 ms.
"""

HOLD_EXTRA_PASSES = (0, 2, 5)
"""Passes added to the lead of the hold, by attempt; an earlier attempt's pass had already begun."""

MAX_CONCURRENT_PREPARES = 24
"""Most orders to prepare without an answer yet.

Maps for all ranks of a large group at once would queue on the commander's link for longer than the
timeout of an answer.
"""

MAX_ORDER_ATTEMPTS = 8
"""Attempts at one order before the switch is given up.

If a third of the orders get no answer, at least one of 32 ranks answers none of 4 attempts in 38%
of the switches, and none of 8 attempts in 0.7%.
"""

MAX_DISARM_ATTEMPTS = 40
"""Attempts at the order to disarm; if it stays unanswered, the group must remain held."""

MAX_RELEASE_ATTEMPTS = 40
"""Attempts at the order that ends a hold; the group makes no passes until one is accepted."""

RELEASE_RETRY_DELAY_S = 0.02


class SwitchOutcome(StrEnum):
    """The result of a switch.

    ``STILL_HELD``: a rank may still be armed, or the hold could not be ended; the group stays held.
    """

    SWITCHED = "switched"
    NOT_PREPARED = "not_prepared"
    NOT_HELD = "not_held"
    NOT_ARMED = "not_armed"
    STILL_HELD = "stuck"


class SwitchStage(StrEnum):
    """A stage of a switch, as named in logs."""

    PREPARE = "prepare"
    COPY = "copy"
    HOLD = "hold"
    ARM = "arm"


class RankOrderSender(Protocol):
    """Sends orders to the ranks of a group."""

    async def send_order(
        self, rank: int, action: RankAction, version: int, step: int, experts: ExpertPlacement
    ) -> RankStatus | None:
        """Send an order; return ``None`` if the rank's state after the order is unknown."""

    def known_status(self, rank: int) -> RankStatus | None:
        """Return the last known status of a rank; ``None`` if there is none."""


@dataclass(frozen=True)
class MapSwitch:
    """One change of the expert map.

    :param ranks: all ranks of the group. The first one holds the pass. The last one, armed once all
        others are, is the commander's own, which its successor may be unable to reach.
    :param version: version of the new map, higher than all versions that any rank has had.
    :param passes_ahead: returns the number of passes between the current and the held one, given
        whether ranks left orders of this switch unanswered; these passes must take at least
        :data:`MIN_SWITCH_LEAD_S`.
    :param on_arming_ended: called with the time from the hold until all ranks confirmed that they
        are armed, or until arming was given up, in seconds.
    :param stages: duration of each stage that has ended, in seconds.
    :param unanswered: ranks that left an order of this switch unanswered.
    """

    ranks: tuple[int, ...]
    version: int
    experts: ExpertPlacement
    passes_ahead: Callable[[bool], int]
    on_arming_ended: Callable[[float], None] = lambda _: None
    stages: dict[SwitchStage, float] = field(default_factory=dict)
    unanswered: set[int] = field(default_factory=set)

    async def run(self, order_sender: RankOrderSender) -> SwitchOutcome:
        """Carry out the change, or undo the part of it that has been done."""
        if not await self._prepare_copies(order_sender):
            return SwitchOutcome.NOT_PREPARED
        started_at = anyio.current_time()
        step = await self._hold_pass(order_sender)
        self.stages[SwitchStage.HOLD] = anyio.current_time() - started_at
        if step is None:
            return SwitchOutcome.NOT_HELD
        return await self._arm_and_release(order_sender, step)

    def stage_ms(self, stage: SwitchStage) -> int:
        """Return how long a stage took, in milliseconds; 0 if it was not reached."""
        return round(self.stages.get(stage, 0.0) * 1000)

    async def _arm_and_release(self, order_sender: RankOrderSender, step: int) -> SwitchOutcome:
        outcome = SwitchOutcome.SWITCHED
        started_at = anyio.current_time()
        armed = await self._arm_ranks(order_sender, step, self.ranks[:-1])
        armed = armed and await self._arm_ranks(order_sender, step, self.ranks[-1:])
        self.stages[SwitchStage.ARM] = anyio.current_time() - started_at
        self.on_arming_ended(self.stages[SwitchStage.ARM])
        if not armed:
            outcome = SwitchOutcome.NOT_ARMED
            # Disarms the last rank first: a successor that can't reach this rank assumes that it is
            # unarmed as soon as any other rank is.
            last_disarmed = await disarm(order_sender, self.ranks[-1:], self.version)
            if not last_disarmed or not await disarm(order_sender, self.ranks, self.version):
                # The pass stays held, as a rank that is still armed would switch alone at it.
                return SwitchOutcome.STILL_HELD
        if not await release_hold(order_sender, self.ranks[0], step):
            return SwitchOutcome.STILL_HELD
        return outcome

    async def _arm_ranks(
        self, order_sender: RankOrderSender, step: int, ranks: tuple[int, ...]
    ) -> bool:
        """Arm the given ranks; return whether all of them have confirmed it."""
        armed = await self._order_ranks(
            order_sender, RankAction.ARM, step, self._armed_at(step), ranks
        )
        return all(armed.values())

    async def _prepare_copies(self, order_sender: RankOrderSender) -> bool:
        """Make every rank copy its new experts; return whether all copies are complete in time."""
        started_at = anyio.current_time()
        accepted_by_rank = await self._order_ranks(
            order_sender, RankAction.PREPARE, 0, self._has_accepted_prepare, self.ranks
        )
        self.stages[SwitchStage.PREPARE] = anyio.current_time() - started_at
        if not all(accepted_by_rank.values()):
            return False
        is_copied = await self._wait_for_copies(order_sender)
        self.stages[SwitchStage.COPY] = (
            anyio.current_time() - started_at - self.stages[SwitchStage.PREPARE]
        )
        return is_copied

    async def _wait_for_copies(self, order_sender: RankOrderSender) -> bool:
        """Wait until every rank has reported a complete copy; return whether all have in time."""
        waiting = self.ranks
        query_at = anyio.current_time() + COPY_QUERY_INTERVAL_S
        with anyio.move_on_after(COPY_TIMEOUT_S):
            while waiting:
                await anyio.sleep(COPY_POLL_INTERVAL_S)
                ready = {
                    rank
                    for rank in waiting
                    if self._has_complete_copy(order_sender.known_status(rank))
                }
                if anyio.current_time() >= query_at:
                    ready |= await self._query_copies(order_sender, waiting)
                    query_at = anyio.current_time() + COPY_QUERY_INTERVAL_S
                waiting = tuple(rank for rank in waiting if rank not in ready)
        return not waiting

    def _has_complete_copy(self, status: RankStatus | None) -> bool:
        return status is not None and status.prepared == self.version

    async def _query_copies(
        self, order_sender: RankOrderSender, ranks: tuple[int, ...]
    ) -> set[int]:
        """Query ranks; return those whose copy is complete."""
        ready: set[int] = set()

        async def query_rank(rank: int) -> None:
            status = await order_sender.send_order(rank, RankAction.READ, 0, 0, ())
            if self._has_complete_copy(status):
                ready.add(rank)

        await _run_concurrently([lambda rank=rank: query_rank(rank) for rank in ranks])  # type: ignore[misc]
        return ready

    async def _hold_pass(self, order_sender: RankOrderSender) -> int | None:
        """Hold a future pass at the first rank; return its number, or ``None`` if none is held."""
        first_rank = self.ranks[0]
        status = await order_sender.send_order(first_rank, RankAction.READ, 0, 0, ())
        passes_ahead = self.passes_ahead(bool(self.unanswered))
        for extra_passes in HOLD_EXTRA_PASSES:
            if status is None:
                return None
            step = status.step + passes_ahead + extra_passes
            status = await order_sender.send_order(first_rank, RankAction.HOLD, 0, step, ())
            if status is not None and status.held == step:
                return step
            if status is None or status.accepted is None:
                # The rank may hold the pass now or later, and nothing else would end this hold.
                await release_hold(order_sender, first_rank, step)
        return None

    async def _order_ranks(
        self,
        order_sender: RankOrderSender,
        action: RankAction,
        step: int,
        done: Callable[[RankStatus], bool],
        ranks: tuple[int, ...],
    ) -> dict[int, bool]:
        """Send an order to ranks until each has confirmed it; return by rank whether it has."""
        results = dict.fromkeys(ranks, False)
        is_prepare = action is RankAction.PREPARE
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_PREPARES if is_prepare else len(ranks))

        async def repeat_order(rank: int) -> None:
            was_unanswered = False
            for _ in range(MAX_ORDER_ATTEMPTS):
                async with limiter:
                    status = await order_sender.send_order(
                        rank, action, self.version, step, self.experts
                    )
                if status is not None and done(status):
                    results[rank] = True
                    return
                if status is not None and status.accepted is False:
                    # A rank refuses to prepare a version twice, also while it copies for an
                    # earlier order whose answer was lost. Only its reports tell whether it does.
                    results[rank] = is_prepare and was_unanswered
                    return
                was_unanswered = True
                self.unanswered.add(rank)

        await _run_concurrently([lambda rank=rank: repeat_order(rank) for rank in ranks])  # type: ignore[misc]
        return results

    def _has_accepted_prepare(self, status: RankStatus) -> bool:
        return bool(status.accepted) or status.prepared == self.version

    def _armed_at(self, step: int) -> Callable[[RankStatus], bool]:
        return lambda status: status.armed == (self.version, step)


async def disarm(order_sender: RankOrderSender, ranks: Iterable[int], version: int) -> bool:
    """Disarm every rank; return whether all have answered and none is armed.

    A rank that left the order to arm unanswered must answer too: only then does it refuse that earlier
    order for good.
    """
    remaining = set(ranks)

    async def disarm_rank(rank: int) -> None:
        for _ in range(MAX_DISARM_ATTEMPTS):
            status = await order_sender.send_order(rank, RankAction.DISARM, version, 0, ())
            if status is not None and status.accepted and status.armed is None:
                remaining.discard(rank)
                return

    await _run_concurrently([lambda rank=rank: disarm_rank(rank) for rank in ranks])  # type: ignore[misc]
    return not remaining


async def release_hold(order_sender: RankOrderSender, rank: int, step: int) -> bool:
    """End a rank's hold of a pass; return whether the rank has confirmed it."""
    for _ in range(MAX_RELEASE_ATTEMPTS):
        status = await order_sender.send_order(rank, RankAction.GO, 0, step, ())
        if status is not None and status.held != step:
            return True
        await anyio.sleep(RELEASE_RETRY_DELAY_S)
    return False


def is_consistent(statuses: Mapping[int, RankStatus]) -> bool:
    """Return whether no pass is held and no rank is armed, or all are armed for the same switch."""
    held = any(status.held is not None for status in statuses.values())
    return not held and len({status.armed for status in statuses.values()}) == 1


async def abort_unfinished_switch(
    order_sender: RankOrderSender, statuses: Mapping[int, RankStatus], newest_version: int
) -> bool:
    """Abort a switch that another commander left unfinished: disarm the ranks, then end the holds.

    Ranks are disarmed only while a pass no later than the switch is held. The other commander may
    still end its own hold, so the pass is held once more with this commander's fence: the rank that
    answers it refuses the other's order from then on.

    :param statuses: the newest status of each rank that can be reached.
    :param newest_version: the highest map version that any rank has had.
    :return: whether no armed rank and no hold is left.
    """
    if is_consistent(statuses):
        return True
    armed = [status.armed for status in statuses.values() if status.armed is not None]
    held_steps = {rank: status.held for rank, status in statuses.items() if status.held is not None}
    earliest_step = min((step for _, step in armed), default=None)
    if earliest_step is None or any(step <= earliest_step for step in held_steps.values()):
        rank, step = min(held_steps.items(), key=lambda rank_and_step: rank_and_step[1])
    else:
        rank = next((each for each in statuses if each not in held_steps), min(statuses))
        step = earliest_step
    status = await order_sender.send_order(rank, RankAction.HOLD, 0, step, ())
    if status is None or status.held != step:
        return False
    held_steps[rank] = step
    for version in {version for version, _ in armed} or {newest_version + 1}:
        if not await disarm(order_sender, statuses, version):
            return False
    for rank, step in held_steps.items():
        if not await release_hold(order_sender, rank, step):
            return False
    return True


async def _run_concurrently(calls: list[Callable[[], Coroutine[Any, Any, None]]]) -> None:
    async with anyio.create_task_group() as tasks:
        for call in calls:
            tasks.start_soon(call)
