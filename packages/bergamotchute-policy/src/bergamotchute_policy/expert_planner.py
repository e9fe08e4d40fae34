"""Decides when a rank group's expert map changes, and to what."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

import numpy as np

from bergamotchute_policy.expert_map import (
    EMPTY_SLOT,
    ExpertMap,
    Floats,
    normalized,
    rank_times,
    replica_counts,
)
from bergamotchute_policy.expert_repair import Move, balanced, relative_times, repaired

SHARES_FIRST_PART = 0.25


class PlanKind(StrEnum):
    """What a plan changes."""

    NOTHING = "nothing"
    SHARES = "shares"
    MOVES = "moves"


class PlanReason(StrEnum):
    """Why the planner acted, or why it did not."""

    GAIN_EXCEEDS_COST = "gain_exceeds_cost"
    EXPERT_WITHOUT_RANK = "expert_without_rank"
    BALANCED = "balanced"
    GAIN_BELOW_COST = "gain_below_cost"
    TOO_SOON = "too_soon"
    CREST = "crest"
    NO_BUDGET = "no_budget"


@dataclass(frozen=True)
class PlannerSettings:
    """What a change costs and how eager the planner is.

    :param expert_bytes: weights of one expert of one layer.
    :param switch_pause_s: time that all ranks lose at a switch.
    :param horizon_s: how long a gain is taken to last.
    :param least_gain: the least part of the step time that a change must save.
    :param gain_over_cost: how many times the cost a gain must be.
    :param moving_slowdown: part of the step time lost while weights load.
    :param start_over: how far a layer's slowest rank may be over a perfect split before experts
        move; once they move, it is brought down to ``stop_over``.
    :param calm_interval_s: the least time between two changes of little gain.
    :param urgent_gain: the part of the step time whose gain need not wait for the interval.
    :param staging_slots: weights that a rank can hold beside those in use, until the switch.
    :param pauses_at_crest: whether weights stay where they are while demand is at its crest.
    :param gated: whether gain is weighed against cost at all.
    """

    expert_bytes: int
    switch_pause_s: float = 0.002
    horizon_s: float = 60.0
    least_gain: float = 0.003
    gain_over_cost: float = 2.0
    moving_slowdown: float = 0.02
    start_over: float = 0.02
    stop_over: float = 0.005
    calm_interval_s: float = 10.0
    urgent_gain: float = 0.03
    staging_slots: int = 8
    pauses_at_crest: bool = True
    gated: bool = True


@dataclass(frozen=True, eq=False)
class Observation:
    """What the planner decides on.

    :param popularity: shape (layers, experts); each layer adds up to 1.
    :param speeds: shape (ranks,); 0 for a rank that was taken out.
    :param at_crest: demand is at its crest.
    :param rate_bytes_s: what the weight store grants this group now.
    :param budget_bytes: the most bytes for one change.
    """

    popularity: Floats
    speeds: Floats
    at_crest: bool
    rate_bytes_s: float
    budget_bytes: float


@dataclass(frozen=True, eq=False)
class Plan:
    """A decision of the planner and the figures it rests on, as ``explain`` shows them.

    :param planned: the map to change to; the present one when nothing changes.
    :param over_now: step time over that of a perfect split, as a part of it, with the present map.
    :param over_planned: the same with the planned map.
    :param gain_s: step time that the change should save over the horizon.
    :param cost_s: step time that the change costs.
    """

    kind: PlanKind
    reason: PlanReason
    planned: ExpertMap
    moves: tuple[Move, ...] = ()
    over_now: float = 0.0
    over_planned: float = 0.0
    gain_s: float = 0.0
    cost_s: float = 0.0


@dataclass
class Planner:
    """Plans one group's map; remembers when it last changed it.

    :param changed_at_s: when the last change was planned, by the caller's clock.
    """

    settings: PlannerSettings
    changed_at_s: float = field(default=float("-inf"))

    def plan(self, present: ExpertMap, seen: Observation, now: float) -> Plan:
        """Return what to do now; a plan that changes the map is taken as carried out."""
        plan = self._decide(present, seen, now)
        if plan.kind is not PlanKind.NOTHING:
            self.changed_at_s = now
        return plan

    def _decide(self, present: ExpertMap, seen: Observation, now: float) -> Plan:
        """Weigh new shares first and moves after them."""
        present = without_ranks(present, seen.speeds)
        orphans = (replica_counts(present.slots, present.experts) == 0).any()
        if orphans:
            return self._rescue(present, seen)
        shared = balanced(present, seen.popularity, seen.speeds)
        over_now = _over(present, seen)
        over_shared = _over(shared, seen)
        by_shares = self._weighed(
            present, shared, (), seen, over_now=over_now, over_planned=over_shared
        )
        if by_shares.kind is PlanKind.SHARES and self._helps_at_once(over_now, over_shared):
            return by_shares
        by_moves = self._with_moves(present, shared, seen, over_now)
        best = by_moves if by_moves.kind is PlanKind.MOVES else by_shares
        if best.kind is PlanKind.NOTHING:
            return by_moves
        too_soon = now - self.changed_at_s < self.settings.calm_interval_s
        little = over_now - best.over_planned < self.settings.urgent_gain
        if too_soon and little and self.settings.gated:
            return _nothing(present, PlanReason.TOO_SOON, best)
        return best

    def _helps_at_once(self, over_now: float, over_shared: float) -> bool:
        """Return whether new shares alone save so much that they should not wait for moves."""
        saved = over_now - over_shared
        return saved >= max(self.settings.urgent_gain, SHARES_FIRST_PART * over_now)

    def _with_moves(
        self, present: ExpertMap, shared: ExpertMap, seen: Observation, over_now: float
    ) -> Plan:
        """Plan moves where a layer is too far from a perfect split."""
        times = relative_times(shared, seen.popularity, seen.speeds).max(axis=1)
        wanting = times > 1 + self.settings.start_over
        if not wanting.any():
            return Plan(PlanKind.NOTHING, PlanReason.BALANCED, present, (), over_now, over_now)
        if seen.at_crest and self.settings.pauses_at_crest:
            return Plan(PlanKind.NOTHING, PlanReason.CREST, present, (), over_now, over_now)
        most = int(seen.budget_bytes // self.settings.expert_bytes)
        if most <= 0 or seen.rate_bytes_s <= 0:
            return Plan(PlanKind.NOTHING, PlanReason.NO_BUDGET, present, (), over_now, over_now)
        repair = repaired(
            shared,
            np.where(wanting[:, None], seen.popularity, 0.0),
            seen.speeds,
            tolerance=self.settings.stop_over,
            moves_per_rank=self.settings.staging_slots,
            most_moves=most,
        )
        over_planned = _over(repair.planned, seen)
        return self._weighed(
            present,
            repair.planned,
            repair.moves,
            seen,
            over_now=over_now,
            over_planned=over_planned,
        )

    def _weighed(
        self,
        present: ExpertMap,
        planned: ExpertMap,
        moves: tuple[Move, ...],
        seen: Observation,
        *,
        over_now: float,
        over_planned: float,
    ) -> Plan:
        """Return the change if its gain exceeds its cost, and otherwise no change."""
        kind = PlanKind.MOVES if moves else PlanKind.SHARES
        gain_s = (over_now - over_planned) / (1 + over_now) * self.settings.horizon_s
        cost_s = self.settings.switch_pause_s
        if moves:
            load_s = len(moves) * self.settings.expert_bytes / seen.rate_bytes_s
            cost_s += load_s * self.settings.moving_slowdown
        least_s = self.settings.least_gain * self.settings.horizon_s
        worth = gain_s > max(least_s, self.settings.gain_over_cost * cost_s)
        change = Plan(
            kind,
            PlanReason.GAIN_EXCEEDS_COST,
            planned,
            moves,
            over_now,
            over_planned,
            gain_s,
            cost_s,
        )
        if worth or not self.settings.gated:
            return change
        return _nothing(present, PlanReason.GAIN_BELOW_COST, change)

    def _rescue(self, present: ExpertMap, seen: Observation) -> Plan:
        """Give every expert that has no rank a place, whatever it costs and at any time."""
        planned, moves = with_every_expert(present, seen.popularity, seen.speeds)
        shared = balanced(planned, seen.popularity, seen.speeds)
        over = _over(shared, seen)
        reason = PlanReason.EXPERT_WITHOUT_RANK
        return Plan(PlanKind.MOVES, reason, shared, moves, float("inf"), over, float("inf"))


def _nothing(present: ExpertMap, reason: PlanReason, refused: Plan) -> Plan:
    """Return a plan that changes nothing and shows the change that was refused."""
    return Plan(
        PlanKind.NOTHING,
        reason,
        present,
        (),
        refused.over_now,
        refused.over_planned,
        refused.gain_s,
        refused.cost_s,
    )


def _over(placed: ExpertMap, seen: Observation) -> float:
    """Return step time over that of a perfect split, over all layers."""
    slowest = rank_times(placed, seen.popularity, seen.speeds).max(axis=1).sum()
    return float(slowest * seen.speeds.sum() / seen.popularity.sum() - 1.0)


def without_ranks(placed: ExpertMap, speeds: Floats) -> ExpertMap:
    """Return the map with the slots of ranks of speed 0 emptied."""
    gone = speeds <= 0
    if not gone.any():
        return placed
    slots = np.where(gone[None, :, None], np.int16(EMPTY_SLOT), placed.slots)
    # Shares of experts whose other replicas served nothing must not all become 0.
    shares = np.where(slots == EMPTY_SLOT, 0.0, np.maximum(placed.shares, 1e-9))
    return ExpertMap(slots, normalized(slots, shares, placed.experts), placed.experts)


def with_every_expert(
    placed: ExpertMap, popularity: Floats, speeds: Floats
) -> tuple[ExpertMap, tuple[Move, ...]]:
    """Return a map where each expert has a replica, and the moves to it.

    An orphan takes the slot that serves least on the rank that would be done earliest.

    :raises ValueError: when the ranks that are left have fewer slots than there are experts.
    """
    slots = placed.slots.copy()
    shares = placed.shares.copy()
    alive = speeds > 0
    if int(alive.sum()) * slots.shape[2] < placed.experts:
        raise ValueError("the ranks that are left cannot hold every expert")
    moves: list[Move] = []
    counts = replica_counts(slots, placed.experts)
    ideal = 1.0 / speeds.sum()
    for layer, expert in np.argwhere(counts == 0):
        occupant = np.maximum(slots[layer], 0)
        free = slots[layer] == EMPTY_SLOT
        loads = np.where(free, 0.0, shares[layer] * popularity[layer][occupant])
        allowed = (free | (counts[layer][occupant] > 1)) & alive[:, None]
        spare = speeds * ideal - loads.sum(axis=1)
        score = np.where(allowed, spare[:, None] - loads, -np.inf)
        rank, slot = divmod(int(score.argmax()), score.shape[1])
        replaced = int(slots[layer, rank, slot])
        if replaced != EMPTY_SLOT:
            counts[layer, replaced] -= 1
        counts[layer, expert] += 1
        slots[layer, rank, slot] = expert
        shares[layer, rank, slot] = 1.0
        shares[layer] = normalized(slots[layer][None], shares[layer][None], placed.experts)[0]
        moves.append(Move(int(layer), rank, slot, int(expert), replaced))
    return ExpertMap(slots, shares, placed.experts), tuple(moves)
