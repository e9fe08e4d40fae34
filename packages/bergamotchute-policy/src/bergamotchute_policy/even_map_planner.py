"""Plan expert maps for groups in which the replicas of an expert share its tokens evenly.

Load pattern: the popular experts change every few seconds, and in each set of a pass all ranks
wait for the most loaded one. A few quick copies now are therefore worth more than a perfect map
later.

Load pattern: two fifths of the ranks become twelve times slower at once. The fast ranks have too few
places for all experts, and most of these places hold the only replica of an expert. A popular expert
then leaves a slow rank only in exchange for an unpopular one, or by leaving its load to replicas on
other ranks. These steps are many, so each change is planned in part.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from heapq import nsmallest

from bergamotchute_model.packed_map import ExpertPlacement
from bergamotchute_policy.rank_pace import weighted_loads

LOAD_NORM_EXPONENT = 10
"""Exponent of the norm of rank loads; high enough that the most loaded rank dominates."""

CANDIDATE_EXPERT_COUNT = 4
"""Number of experts of the most loaded rank that are considered for another replica."""

CANDIDATE_RANK_COUNT = 6
"""Number of least loaded ranks that are considered as the place of the replica."""

SLOW_CANDIDATE_EXPERT_COUNT = 2
SLOW_CANDIDATE_RANK_COUNT = 3
"""The same for the most loaded rank if it is one of several slow ones. More candidates gave the same
map at three times the processor time."""

MAX_STEPS_WITH_SLOW_RANKS = 300
"""Planning steps for one change while several ranks are slow; a step takes up to 1 ms on a VM.

A whole plan for 25 slow ranks takes 870 steps, in which demand has often moved on. Three changes of
300 steps each give the same map, and the first of them halves the time of the experts.
"""


@dataclass(frozen=True)
class MapChangeBounds:
    """Limits on the cost of changing to a new map.

    :param placements: the most experts that a rank may hold in a set.
    :param max_copies_per_set: the most experts of one set that may be new to a rank.
    :param max_copies_per_rank: the most experts of all sets that may be new to a rank.
    :param min_gain_per_copy: how much each copy must lower the norm of its set's rank loads, as a
        fraction of the mean rank load of the set. It is divided by the number of slow ranks, each
        of which must be relieved before the norm falls.
    """

    placements: int
    max_copies_per_set: int
    max_copies_per_rank: int
    min_gain_per_copy: float


@dataclass(frozen=True)
class EvenMapPlan:
    """A planned map and its expected effect.

    :param skew_now: the skew of the current map, as returned by :func:`map_skew`.
    :param skew_planned: the skew of the planned map.
    :param copies: the number of experts to copy, over all ranks.
    """

    experts: ExpertPlacement
    skew_now: float
    skew_planned: float
    copies: int


def initial_map(sets: int, ranks: int, experts: int) -> ExpertPlacement:
    """Return the initial map of a new group, with the experts assigned to the ranks in turn."""
    one_set = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return tuple(one_set for _ in range(sets))


def map_skew(
    experts: ExpertPlacement,
    popularity: Sequence[Sequence[float]],
    weights: Sequence[float] = (),
) -> float:
    """Return the ratio of the most loaded rank's time to the mean rank load, each summed over sets.

    :param popularity: the load of each expert by set, in any unit.
    :param weights: time that a unit of load takes at each rank; empty if it is 1 at all ranks.
    """
    most = 0.0
    mean_sum = 0.0
    for experts_by_rank, set_popularity in zip(experts, popularity, strict=True):
        loads = _rank_loads(experts_by_rank, set_popularity)
        most += max(weighted_loads(loads, weights))
        mean_sum += sum(loads) / len(loads)
    return most / mean_sum if mean_sum else 1.0


def plan_even_map(
    current: ExpertPlacement,
    popularity: Sequence[Sequence[float]],
    bounds: MapChangeBounds,
    weights: Sequence[float] = (),
) -> EvenMapPlan:
    """Return a map with a more even load, making the copies with the largest gain first.

    :param popularity: the load of each expert by set, in any unit.
    :param weights: time that a unit of load takes at each rank; empty if it is 1 at all ranks.
    """
    planner = EvenMapPlanner(current, popularity, bounds, weights)
    while planner.plan_next_step():
        pass
    return planner.plan()


class EvenMapPlanner:
    """Plans a map in small steps, so that the process can do other work in between.

    :param popularity: the load of each expert by set, in any unit.
    :param weights: time that a unit of load takes at each rank; empty if it is 1 at all ranks.
    :param copies_by_rank: the number of experts new to each rank in the plan so far, over all sets.
    """

    def __init__(
        self,
        current: ExpertPlacement,
        popularity: Sequence[Sequence[float]],
        bounds: MapChangeBounds,
        weights: Sequence[float] = (),
    ) -> None:
        self.current = current
        self.popularity = popularity
        self.weights = weights
        self.copies_by_rank = [0] * len(current[0])
        self._sets = [
            _SetPlan(experts_by_rank, set_popularity, bounds, self.copies_by_rank, weights)
            for experts_by_rank, set_popularity in zip(current, popularity, strict=True)
        ]
        self._unevaluated_sets = list(range(len(self._sets)))
        self._best_step_by_set: dict[int, _PlanStep] = {}
        has_slow_ranks = _slow_count(weights) > 1
        self._steps_left = MAX_STEPS_WITH_SLOW_RANKS if has_slow_ranks else None

    def plan_next_step(self) -> bool:
        """Evaluate one set, or apply the best step; return whether planning must continue."""
        if self._steps_left is not None:
            self._steps_left -= 1
            if self._steps_left < 0:
                return False
        if self._unevaluated_sets:
            self._evaluate_set(self._unevaluated_sets.pop())
            return True
        if not self._best_step_by_set:
            return False
        index = max(
            self._best_step_by_set, key=lambda candidate: self._best_step_by_set[candidate].gain
        )
        self._sets[index].apply_step(self._best_step_by_set.pop(index))
        self._unevaluated_sets.append(index)
        for other, step in list(self._best_step_by_set.items()):
            if not self._sets[other].allowed(step):
                del self._best_step_by_set[other]
                self._unevaluated_sets.append(other)
        return True

    def _evaluate_set(self, index: int) -> None:
        step = self._sets[index].best_step()
        if step is not None:
            self._best_step_by_set[index] = step

    def plan(self) -> EvenMapPlan:
        """Return the plan made so far."""
        planned = tuple(set_plan.result() for set_plan in self._sets)
        return EvenMapPlan(
            planned,
            map_skew(self.current, self.popularity, self.weights),
            map_skew(planned, self.popularity, self.weights),
            sum(self.copies_by_rank),
        )


@dataclass(frozen=True)
class _PlanStep:
    """Adds a replica of an expert to a rank, or only removes one from a rank.

    :param rank: the rank that gets the replica; ``None`` if none does.
    :param dropped: the expert that the replica replaces on the rank; ``None`` if it takes a free
        place.
    :param moved_from: the rank that loses its replica of the expert; ``None`` if none does.
    :param gain: how much the step lowers the norm of the set's rank loads.
    :param is_swap: whether ``moved_from`` gets the dropped expert in exchange.
    """

    expert: int
    rank: int | None
    dropped: int | None
    moved_from: int | None
    gain: float = 0.0
    is_swap: bool = False

    def added(self) -> list[tuple[int, int]]:
        """Return the experts that ranks get, each with its rank."""
        added = [] if self.rank is None else [(self.expert, self.rank)]
        if self.is_swap and self.dropped is not None and self.moved_from is not None:
            added.append((self.dropped, self.moved_from))
        return added

    def removed(self) -> list[tuple[int, int]]:
        """Return the experts that ranks lose, each with its rank."""
        removed = []
        if self.dropped is not None and self.rank is not None:
            removed.append((self.dropped, self.rank))
        if self.moved_from is not None:
            removed.append((self.expert, self.moved_from))
        return removed


@dataclass
class _SetPlan:
    """The unfinished plan of one set.

    :param copies: the number of experts new to each rank so far, over all sets; the list is shared
        by the plans of all sets.
    :param weights: time that a unit of load takes at each rank; empty if it is 1 at all ranks.
    :param held: the planned experts of each rank.
    :param holders: the ranks that hold each expert.
    :param copies_in_set: the number of experts of this set new to each rank so far.
    :param mean_load: the mean rank load; loads are divided by it before they are raised to the
        power ``LOAD_NORM_EXPONENT``.
    :param weight: the sum of these powers over all ranks, updated with each step.
    :param slow_count: the number of slow ranks.
    """

    current: tuple[tuple[int, ...], ...]
    popularity: Sequence[float]
    bounds: MapChangeBounds
    copies: list[int]
    weights: Sequence[float]
    held: list[set[int]] = field(init=False)
    holders: dict[int, set[int]] = field(init=False)
    loads: list[float] = field(init=False)
    copies_in_set: list[int] = field(init=False)
    mean_load: float = field(init=False)
    weight: float = field(init=False)
    slow_count: int = field(init=False)

    def __post_init__(self) -> None:
        self.slow_count = _slow_count(self.weights)
        self.held = [set(experts) for experts in self.current]
        self.holders = {}
        for rank, experts in enumerate(self.held):
            for expert in experts:
                self.holders.setdefault(expert, set()).add(rank)
        loads = _rank_loads(self.current, self.popularity)
        self.copies_in_set = [0] * len(self.held)
        self.mean_load = sum(loads) / len(loads) or 1.0
        self.loads = weighted_loads(loads, self.weights)
        self.weight = sum(map(self._load_power, self.loads))

    def _load_power(self, load: float) -> float:
        return max(0.0, load / self.mean_load) ** LOAD_NORM_EXPONENT

    def result(self) -> tuple[tuple[int, ...], ...]:
        """Return the planned experts of each rank."""
        return tuple(tuple(sorted(experts)) for experts in self.held)

    def _is_copy(self, expert: int, rank: int) -> bool:
        return expert not in self.current[rank]

    def allowed(self, step: _PlanStep) -> bool:
        """Return whether a step keeps within the limits on copies."""
        return all(
            self.copies_in_set[rank] < self.bounds.max_copies_per_set
            and self.copies[rank] < self.bounds.max_copies_per_rank
            for expert, rank in step.added()
            if self._is_copy(expert, rank)
        )

    def best_step(self) -> _PlanStep | None:
        """Return the step with the largest gain, or ``None`` if no step gains enough."""
        if not any(self.loads):
            return None
        hot_rank = max(range(len(self.loads)), key=lambda rank: self.loads[rank])
        is_one_of_slow = self._is_one_of_slow(hot_rank)
        expert_count = SLOW_CANDIDATE_EXPERT_COUNT if is_one_of_slow else CANDIDATE_EXPERT_COUNT
        target_ranks = self._target_ranks(hot_rank)
        load_by_expert = {expert: self._load_per_replica(expert) for expert in self.held[hot_rank]}
        best: _PlanStep | None = None
        for expert in sorted(load_by_expert, key=lambda candidate: -load_by_expert[candidate])[
            :expert_count
        ]:
            steps = self._removal_steps(expert, hot_rank)
            for rank in target_ranks:
                steps += self._possible_steps(expert, hot_rank, rank)
            for step in steps:
                if best is None or step.gain > best.gain:
                    best = step
        min_gain = self.bounds.min_gain_per_copy * self.mean_load / max(1, self.slow_count)
        return best if best is not None and best.gain > min_gain else None

    def _target_ranks(self, hot_rank: int) -> list[int]:
        """Return the ranks that may get an expert of the hot rank.

        Beside several slow ranks, all fast ranks are idle. Those that can give up an expert at the
        least cost are then candidates too.
        """
        ranks = range(len(self.loads))
        idle = sorted(ranks, key=lambda rank: self.loads[rank])[:CANDIDATE_RANK_COUNT]
        if not self._is_one_of_slow(hot_rank):
            return idle
        fast = (rank for rank in ranks if self.weights[rank] <= 1.0)
        cheapest = nsmallest(SLOW_CANDIDATE_RANK_COUNT, fast, key=self._least_release_cost)
        return list(dict.fromkeys(idle[:SLOW_CANDIDATE_RANK_COUNT] + cheapest))

    def _is_one_of_slow(self, rank: int) -> bool:
        """Return whether the rank and at least one other are slow."""
        return self.slow_count > 1 and self.weights[rank] > 1.0

    def _least_release_cost(self, rank: int) -> float:
        """Return the least load that other ranks get when the rank gives up one of its experts."""
        if len(self.held[rank]) < self.bounds.placements:
            return 0.0
        slowest = max(self.weights)
        return min(
            self._load_per_replica(expert) * (slowest if len(self.holders[expert]) == 1 else 1.0)
            for expert in self.held[rank]
        )

    def _removal_steps(self, expert: int, rank: int) -> list[_PlanStep]:
        """Return the step that leaves an expert of one of several slow ranks to its other holders."""
        if not self._is_one_of_slow(rank) or len(self.holders[expert]) < 2:
            return []
        return [self._evaluate_step(_PlanStep(expert, None, None, rank))]

    def _load_per_replica(self, expert: int) -> float:
        return self.popularity[expert] / len(self.holders[expert])

    def _possible_steps(self, expert: int, hot_rank: int, rank: int) -> list[_PlanStep]:
        """Return the steps that copy the expert from the hot rank to ``rank`` or move it there.

        If it is one of several slow ranks, it may get the least loaded expert of ``rank`` in exchange.
        """
        if expert in self.held[rank] or not self.allowed(_PlanStep(expert, rank, None, None)):
            return []
        has_place = len(self.held[rank]) < self.bounds.placements
        dropped = None if has_place else self._least_loaded_spare_expert(rank)
        steps = []
        if has_place or dropped is not None:
            steps.append(_PlanStep(expert, rank, dropped, None))
            steps.append(_PlanStep(expert, rank, dropped, hot_rank))
        if not has_place and self._is_one_of_slow(hot_rank):
            swapped = min(
                self.held[rank] - self.held[hot_rank], key=self._load_per_replica, default=None
            )
            swap = _PlanStep(expert, rank, swapped, hot_rank, is_swap=True)
            if swapped is not None and self.allowed(swap):
                steps.append(swap)
        return [self._evaluate_step(step) for step in steps]

    def _least_loaded_spare_expert(self, rank: int) -> int | None:
        """Return the expert with the least load per replica that another rank holds too."""
        spare = [expert for expert in self.held[rank] if len(self.holders[expert]) > 1]
        return min(spare, key=self._load_per_replica, default=None)

    def _evaluate_step(self, step: _PlanStep) -> _PlanStep:
        after = self.weight
        for changed, load in self._loads_after(step).items():
            after += self._load_power(load) - self._load_power(self.loads[changed])
        return replace(step, gain=self._load_norm(self.weight) - self._load_norm(after))

    def _load_norm(self, weight: float) -> float:
        return self.mean_load * float(max(0.0, weight) ** (1 / LOAD_NORM_EXPONENT))

    def _loads_after(self, step: _PlanStep) -> dict[int, float]:
        """Return the loads of the affected ranks after a step."""
        loads: dict[int, float] = {}
        added, removed = step.added(), step.removed()
        for expert in dict.fromkeys(expert for expert, _ in added + removed):
            old_holders = self.holders[expert]
            gained = {rank for each, rank in added if each == expert}
            lost = {rank for each, rank in removed if each == expert}
            self._move_load(
                loads, self.popularity[expert], old_holders, (old_holders | gained) - lost
            )
        return loads

    def _move_load(
        self,
        loads: dict[int, float],
        popularity: float,
        old_holders: set[int],
        new_holders: set[int],
    ) -> None:
        """Move an expert's load from its old holders to its new ones."""
        for holders, sign in ((old_holders, -1.0), (new_holders, 1.0)):
            for rank in holders:
                weight = self.weights[rank] if self.weights else 1.0
                change = sign * weight * popularity / len(holders)
                loads[rank] = loads.get(rank, self.loads[rank]) + change

    def apply_step(self, step: _PlanStep) -> None:
        """Apply a step to the plan."""
        for rank, load in self._loads_after(step).items():
            self.weight += self._load_power(load) - self._load_power(self.loads[rank])
            self.loads[rank] = load
        for expert, rank in step.added():
            if self._is_copy(expert, rank):
                self.copies[rank] += 1
                self.copies_in_set[rank] += 1
            self.held[rank].add(expert)
            self.holders[expert].add(rank)
        for expert, rank in step.removed():
            self._remove_expert(expert, rank)

    def _remove_expert(self, expert: int, rank: int) -> None:
        self.held[rank].remove(expert)
        self.holders[expert].remove(rank)
        if self._is_copy(expert, rank):
            # An earlier step of this plan added the expert to the rank, so no copy is needed.
            self.copies[rank] -= 1
            self.copies_in_set[rank] -= 1


def _slow_count(weights: Sequence[float]) -> int:
    return sum(weight > 1.0 for weight in weights)


def _rank_loads(
    experts_by_rank: Sequence[Sequence[int]], popularity: Sequence[float]
) -> list[float]:
    holders: dict[int, int] = {}
    for experts in experts_by_rank:
        for expert in experts:
            holders[expert] = holders.get(expert, 0) + 1
    return [
        sum(popularity[expert] / holders[expert] for expert in experts)
        for experts in experts_by_rank
    ]
