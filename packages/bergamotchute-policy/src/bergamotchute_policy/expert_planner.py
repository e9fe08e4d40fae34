"""Plan when a rank group's expert map changes, and to which map."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

import numpy as np

from bergamotchute_policy.expert_map import (
    EMPTY_SLOT,
    ExpertMap,
    FloatArray,
    normalized_shares,
    rank_times,
    replica_counts,
)
from bergamotchute_policy.expert_repair import Move, balanced, relative_rank_times, repair_map

SHARES_FIRST_MIN_SAVED_RATIO = 0.25


class PlanKind(StrEnum):
    """The kind of change that a plan makes."""

    NO_CHANGE = "nothing"
    NEW_SHARES = "shares"
    MOVES = "moves"


class PlanReason(StrEnum):
    """Why the planner changed the map, or why it did not."""

    GAIN_EXCEEDS_COST = "gain_exceeds_cost"
    EXPERT_WITHOUT_RANK = "expert_without_rank"
    BALANCED = "balanced"
    GAIN_BELOW_COST = "gain_below_cost"
    TOO_SOON = "too_soon"
    PEAK_LOAD = "crest"
    NO_BUDGET = "no_budget"


@dataclass(frozen=True)
class ExpertPlannerSettings:
    """The cost of a change and the thresholds for making one.

    :param expert_bytes: the size of the weights of one expert of one layer.
    :param switch_pause_s: the time that all ranks lose at a switch, in seconds.
    :param horizon_s: how long a gain is assumed to last, in seconds.
    :param min_gain_ratio: the least fraction of the current step time that a change must save.
    :param min_gain_to_cost_ratio: the least ratio of gain to cost.
    :param loading_slowdown_ratio: the fraction of the step time lost while weights are loaded.
    :param move_threshold_excess: by what fraction a layer's slowest rank may exceed the time of a
        perfectly even split before experts move; when they move, the excess is reduced to
        ``move_target_excess``.
    :param move_target_excess: the excess at which no further experts of a layer are moved.
    :param min_change_interval_s: the least time between two changes of little gain, in seconds.
    :param urgent_gain_ratio: the gain from which a change does not wait for the interval, as a
        fraction of the step time of a perfectly even split.
    :param staging_slots: the number of experts that a rank can load beside those in use, until
        the switch.
    :param pauses_moves_at_peak_load: whether no weights are moved while demand is at its peak.
    :param requires_gain_over_cost: whether a change must gain more than it costs.
    """

    expert_bytes: int
    switch_pause_s: float = 0.002
    horizon_s: float = 60.0
    min_gain_ratio: float = 0.003
    min_gain_to_cost_ratio: float = 2.0
    loading_slowdown_ratio: float = 0.02
    move_threshold_excess: float = 0.02
    move_target_excess: float = 0.005
    min_change_interval_s: float = 10.0
    urgent_gain_ratio: float = 0.03
    staging_slots: int = 8
    pauses_moves_at_peak_load: bool = True
    requires_gain_over_cost: bool = True


@dataclass(frozen=True, eq=False)
class Observation:
    """The state of a rank group that a plan is based on.

    :param popularity: each expert's fraction of the tokens of its layer, shape (layers, experts).
    :param speeds: shape (ranks,); 0 for an excluded rank.
    :param at_peak_load: whether demand is at its peak.
    :param rate_bytes_s: the load rate that the weight store grants this group now, in bytes per
        second.
    :param budget_bytes: the most bytes that one change may load.
    """

    popularity: FloatArray
    speeds: FloatArray
    at_peak_load: bool
    rate_bytes_s: float
    budget_bytes: float


@dataclass(frozen=True, eq=False)
class ExpertPlan:
    """A decision of the planner and the figures behind it, as shown by ``explain``.

    :param planned: the map to change to; the current map when nothing changes.
    :param moves: the experts to load for the planned map.
    :param excess_now: by what fraction the step time with the current map exceeds that of a
        perfectly even split.
    :param excess_planned: the same with the planned map.
    :param gain_s: the step time that the change is expected to save over the horizon, in seconds.
    :param cost_s: the step time that the change costs, in seconds.
    """

    kind: PlanKind
    reason: PlanReason
    planned: ExpertMap
    moves: tuple[Move, ...] = ()
    excess_now: float = 0.0
    excess_planned: float = 0.0
    gain_s: float = 0.0
    cost_s: float = 0.0


@dataclass
class ExpertPlanner:
    """Plans the changes of one group's map.

    :param changed_at_s: when the last change was planned, on the caller's clock.
    """

    settings: ExpertPlannerSettings
    changed_at_s: float = field(default=float("-inf"))

    def plan(self, current: ExpertMap, observation: Observation, now: float) -> ExpertPlan:
        """Return a plan; one that changes the map is assumed to be carried out."""
        plan = self._choose_plan(current, observation, now)
        if plan.kind is not PlanKind.NO_CHANGE:
            self.changed_at_s = now
        return plan

    def _choose_plan(self, current: ExpertMap, observation: Observation, now: float) -> ExpertPlan:
        """Consider new shares first, then moves of experts."""
        current = without_excluded_ranks(current, observation.speeds)
        has_orphans = (replica_counts(current.slots, current.experts) == 0).any()
        if has_orphans:
            return self._place_orphans(current, observation)
        reshared_map = balanced(current, observation.popularity, observation.speeds)
        excess_now = _excess_step_time(current, observation)
        excess_reshared = _excess_step_time(reshared_map, observation)
        share_plan = self._plan_if_worthwhile(
            current,
            reshared_map,
            (),
            observation,
            excess_now=excess_now,
            excess_planned=excess_reshared,
        )
        if share_plan.kind is PlanKind.NEW_SHARES and self._saves_enough_at_once(
            excess_now, excess_reshared
        ):
            return share_plan
        move_plan = self._plan_moves(current, reshared_map, observation, excess_now)
        best = move_plan if move_plan.kind is PlanKind.MOVES else share_plan
        if best.kind is PlanKind.NO_CHANGE:
            return move_plan
        too_soon = now - self.changed_at_s < self.settings.min_change_interval_s
        is_small_gain = excess_now - best.excess_planned < self.settings.urgent_gain_ratio
        if too_soon and is_small_gain and self.settings.requires_gain_over_cost:
            return _no_change(current, PlanReason.TOO_SOON, best)
        return best

    def _saves_enough_at_once(self, excess_now: float, excess_reshared: float) -> bool:
        """Return whether new shares alone save enough to be applied before any moves."""
        saved_ratio = excess_now - excess_reshared
        return saved_ratio >= max(
            self.settings.urgent_gain_ratio, SHARES_FIRST_MIN_SAVED_RATIO * excess_now
        )

    def _plan_moves(
        self,
        current: ExpertMap,
        reshared_map: ExpertMap,
        observation: Observation,
        excess_now: float,
    ) -> ExpertPlan:
        """Plan moves in the layers that are too far from a perfectly even split."""
        slowest_rank_times = relative_rank_times(
            reshared_map, observation.popularity, observation.speeds
        ).max(axis=1)
        is_unbalanced = slowest_rank_times > 1 + self.settings.move_threshold_excess
        if not is_unbalanced.any():
            return ExpertPlan(
                PlanKind.NO_CHANGE, PlanReason.BALANCED, current, (), excess_now, excess_now
            )
        if observation.at_peak_load and self.settings.pauses_moves_at_peak_load:
            return ExpertPlan(
                PlanKind.NO_CHANGE, PlanReason.PEAK_LOAD, current, (), excess_now, excess_now
            )
        most = int(observation.budget_bytes // self.settings.expert_bytes)
        if most <= 0 or observation.rate_bytes_s <= 0:
            return ExpertPlan(
                PlanKind.NO_CHANGE, PlanReason.NO_BUDGET, current, (), excess_now, excess_now
            )
        repair = repair_map(
            reshared_map,
            np.where(is_unbalanced[:, None], observation.popularity, 0.0),
            observation.speeds,
            tolerance=self.settings.move_target_excess,
            max_moves_per_rank=self.settings.staging_slots,
            max_moves=most,
        )
        excess_planned = _excess_step_time(repair.planned, observation)
        return self._plan_if_worthwhile(
            current,
            repair.planned,
            repair.moves,
            observation,
            excess_now=excess_now,
            excess_planned=excess_planned,
        )

    def _plan_if_worthwhile(
        self,
        current: ExpertMap,
        planned: ExpertMap,
        moves: tuple[Move, ...],
        observation: Observation,
        *,
        excess_now: float,
        excess_planned: float,
    ) -> ExpertPlan:
        """Return the change if its gain exceeds its cost, otherwise a plan without change."""
        kind = PlanKind.MOVES if moves else PlanKind.NEW_SHARES
        gain_s = (excess_now - excess_planned) / (1 + excess_now) * self.settings.horizon_s
        cost_s = self.settings.switch_pause_s
        if moves:
            loading_s = len(moves) * self.settings.expert_bytes / observation.rate_bytes_s
            cost_s += loading_s * self.settings.loading_slowdown_ratio
        min_gain_s = self.settings.min_gain_ratio * self.settings.horizon_s
        is_worthwhile = gain_s > max(min_gain_s, self.settings.min_gain_to_cost_ratio * cost_s)
        change = ExpertPlan(
            kind,
            PlanReason.GAIN_EXCEEDS_COST,
            planned,
            moves,
            excess_now,
            excess_planned,
            gain_s,
            cost_s,
        )
        if is_worthwhile or not self.settings.requires_gain_over_cost:
            return change
        return _no_change(current, PlanReason.GAIN_BELOW_COST, change)

    def _place_orphans(self, current: ExpertMap, observation: Observation) -> ExpertPlan:
        """Place every expert that has no rank, regardless of cost, interval and peak load."""
        planned, moves = with_orphans_placed(current, observation.popularity, observation.speeds)
        reshared_map = balanced(planned, observation.popularity, observation.speeds)
        excess = _excess_step_time(reshared_map, observation)
        reason = PlanReason.EXPERT_WITHOUT_RANK
        return ExpertPlan(
            PlanKind.MOVES, reason, reshared_map, moves, float("inf"), excess, float("inf")
        )


def _no_change(current: ExpertMap, reason: PlanReason, refused: ExpertPlan) -> ExpertPlan:
    """Return a plan without change that has the figures of the refused change."""
    return ExpertPlan(
        PlanKind.NO_CHANGE,
        reason,
        current,
        (),
        refused.excess_now,
        refused.excess_planned,
        refused.gain_s,
        refused.cost_s,
    )


def _excess_step_time(expert_map: ExpertMap, observation: Observation) -> float:
    """Return by what fraction the step time exceeds that of a perfectly even split."""
    slowest = rank_times(expert_map, observation.popularity, observation.speeds).max(axis=1).sum()
    return float(slowest * observation.speeds.sum() / observation.popularity.sum() - 1.0)


def without_excluded_ranks(expert_map: ExpertMap, speeds: FloatArray) -> ExpertMap:
    """Return the map with the slots of all ranks of speed 0 emptied."""
    gone = speeds <= 0
    if not gone.any():
        return expert_map
    slots = np.where(gone[None, :, None], np.int16(EMPTY_SLOT), expert_map.slots)
    # If the remaining replicas of an expert had a share of 0, its shares could not be normalized.
    shares = np.where(slots == EMPTY_SLOT, 0.0, np.maximum(expert_map.shares, 1e-9))
    return ExpertMap(
        slots, normalized_shares(slots, shares, expert_map.experts), expert_map.experts
    )


def with_orphans_placed(
    expert_map: ExpertMap, popularity: FloatArray, speeds: FloatArray
) -> tuple[ExpertMap, tuple[Move, ...]]:
    """Return a map in which every expert has a replica, and the moves that lead to it.

    An expert without a replica gets the slot with the largest difference between the spare
    capacity of its rank and the load that the slot serves.

    :raises ValueError: if the remaining ranks have fewer slots than there are experts.
    """
    slots = expert_map.slots.copy()
    shares = expert_map.shares.copy()
    is_available = speeds > 0
    if int(is_available.sum()) * slots.shape[2] < expert_map.experts:
        raise ValueError("the remaining ranks have too few slots and cannot hold every expert")
    moves: list[Move] = []
    counts = replica_counts(slots, expert_map.experts)
    ideal_time = 1.0 / speeds.sum()
    for layer, expert in np.argwhere(counts == 0):
        occupants = np.maximum(slots[layer], 0)
        free = slots[layer] == EMPTY_SLOT
        loads = np.where(free, 0.0, shares[layer] * popularity[layer][occupants])
        allowed = (free | (counts[layer][occupants] > 1)) & is_available[:, None]
        spare = speeds * ideal_time - loads.sum(axis=1)
        score = np.where(allowed, spare[:, None] - loads, -np.inf)
        rank, slot = divmod(int(score.argmax()), score.shape[1])
        replaced = int(slots[layer, rank, slot])
        if replaced != EMPTY_SLOT:
            counts[layer, replaced] -= 1
        counts[layer, expert] += 1
        slots[layer, rank, slot] = expert
        shares[layer, rank, slot] = 1.0
        shares[layer] = normalized_shares(
            slots[layer][None], shares[layer][None], expert_map.experts
        )[0]
        moves.append(Move(int(layer), rank, slot, int(expert), replaced))
    return ExpertMap(slots, shares, expert_map.experts), tuple(moves)
