"""Plan expert maps for groups in which the replicas of an expert share its tokens evenly.

Load pattern: the popular experts change every few seconds, and in each set of a pass all ranks
wait for the most loaded one. A few quick copies now are therefore worth more than a perfect map
later.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from bergamotchute_model.packed_map import ExpertPlacement
from bergamotchute_policy.rank_pace import weighted_loads

LOAD_NORM_EXPONENT = 10
"""Exponent of the norm of rank loads; high enough that the most loaded rank dominates."""

CANDIDATE_EXPERT_COUNT = 4
"""Number of experts of the most loaded rank that are considered for another replica."""

CANDIDATE_RANK_COUNT = 6
"""Number of least loaded ranks that are considered as the place of the replica."""


@dataclass(frozen=True)
class MapChangeBounds:
    """Limits on the cost of changing to a new map.

    :param placements: the most experts that a rank may hold in a set.
    :param max_copies_per_set: the most experts of one set that may be new to a rank.
    :param max_copies_per_rank: the most experts of all sets that may be new to a rank.
    :param min_gain_per_copy: how much each copy must lower the norm of its set's rank loads, as a
        fraction of the mean rank load of the set.
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

    def plan_next_step(self) -> bool:
        """Evaluate one set, or apply the best step; return whether planning must continue."""
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
    """Adds a replica of an expert to a rank.

    :param dropped: the expert that the replica replaces on the rank; ``None`` if it takes a free
        place.
    :param moved_from: the rank that loses its replica of the expert; ``None`` if none does.
    :param gain: how much the step lowers the norm of the set's rank loads.
    """

    expert: int
    rank: int
    dropped: int | None
    moved_from: int | None
    gain: float


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

    def __post_init__(self) -> None:
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
        if not self._is_copy(step.expert, step.rank):
            return True
        in_set = self.copies_in_set[step.rank] < self.bounds.max_copies_per_set
        return in_set and self.copies[step.rank] < self.bounds.max_copies_per_rank

    def best_step(self) -> _PlanStep | None:
        """Return the step with the largest gain, or ``None`` if no step gains enough."""
        if not any(self.loads):
            return None
        ranks = range(len(self.loads))
        hot_rank = max(ranks, key=lambda rank: self.loads[rank])
        idle = sorted(ranks, key=lambda rank: self.loads[rank])[:CANDIDATE_RANK_COUNT]
        load_by_expert = {expert: self._load_per_replica(expert) for expert in self.held[hot_rank]}
        best: _PlanStep | None = None
        for expert in sorted(load_by_expert, key=lambda candidate: -load_by_expert[candidate])[
            :CANDIDATE_EXPERT_COUNT
        ]:
            for rank in idle:
                for step in self._possible_steps(expert, hot_rank, rank):
                    if best is None or step.gain > best.gain:
                        best = step
        if best is None or best.gain <= self.bounds.min_gain_per_copy * self.mean_load:
            return None
        return best

    def _load_per_replica(self, expert: int) -> float:
        return self.popularity[expert] / len(self.holders[expert])

    def _possible_steps(self, expert: int, hot_rank: int, rank: int) -> list[_PlanStep]:
        """Return the steps that copy the expert from the hot rank to ``rank`` or move it there."""
        if expert in self.held[rank] or not self.allowed(_PlanStep(expert, rank, None, None, 0.0)):
            return []
        dropped = self._least_loaded_spare_expert(rank)
        if dropped is None and len(self.held[rank]) >= self.bounds.placements:
            return []
        if len(self.held[rank]) < self.bounds.placements:
            dropped = None
        return [
            self._evaluate_step(expert, rank, dropped, None),
            self._evaluate_step(expert, rank, dropped, hot_rank),
        ]

    def _least_loaded_spare_expert(self, rank: int) -> int | None:
        """Return the expert with the least load per replica that another rank holds too."""
        spare = [expert for expert in self.held[rank] if len(self.holders[expert]) > 1]
        return min(spare, key=self._load_per_replica, default=None)

    def _evaluate_step(
        self, expert: int, rank: int, dropped: int | None, moved_from: int | None
    ) -> _PlanStep:
        after = self.weight
        for changed, load in self._loads_after(expert, rank, dropped, moved_from).items():
            after += self._load_power(load) - self._load_power(self.loads[changed])
        gain = self._load_norm(self.weight) - self._load_norm(after)
        return _PlanStep(expert, rank, dropped, moved_from, gain)

    def _load_norm(self, weight: float) -> float:
        return self.mean_load * float(max(0.0, weight) ** (1 / LOAD_NORM_EXPONENT))

    def _loads_after(
        self, expert: int, rank: int, dropped: int | None, moved_from: int | None
    ) -> dict[int, float]:
        """Return the loads of the affected ranks after a step."""
        loads: dict[int, float] = {}
        old_holders = self.holders[expert]
        new_holders = (old_holders | {rank}) - ({moved_from} if moved_from is not None else set())
        self._move_load(loads, self.popularity[expert], old_holders, new_holders)
        if dropped is not None:
            dropped_holders = self.holders[dropped]
            self._move_load(
                loads, self.popularity[dropped], dropped_holders, dropped_holders - {rank}
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
        after = self._loads_after(step.expert, step.rank, step.dropped, step.moved_from)
        for rank, load in after.items():
            self.weight += self._load_power(load) - self._load_power(self.loads[rank])
            self.loads[rank] = load
        if self._is_copy(step.expert, step.rank):
            self.copies[step.rank] += 1
            self.copies_in_set[step.rank] += 1
        self.held[step.rank].add(step.expert)
        self.holders[step.expert].add(step.rank)
        if step.dropped is not None:
            self._remove_expert(step.dropped, step.rank)
        if step.moved_from is not None:
            self._remove_expert(step.expert, step.moved_from)

    def _remove_expert(self, expert: int, rank: int) -> None:
        self.held[rank].remove(expert)
        self.holders[expert].remove(rank)
        if self._is_copy(expert, rank):
            # An earlier step of this plan added the expert to the rank, so no copy is needed.
            self.copies[rank] -= 1
            self.copies_in_set[rank] -= 1


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
