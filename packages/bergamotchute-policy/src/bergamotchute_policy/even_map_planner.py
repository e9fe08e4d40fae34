"""Plans expert maps of groups whose ranks share each expert's tokens evenly.

Load pattern: popular experts change every few seconds, and a pass lasts, set by set, as long as
its most loaded rank takes. So a few quick copies now are worth more than a perfect map later.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

SHARPNESS = 10
"""Power by which rank loads are weighed: high enough that the most loaded one decides."""

HOT_EXPERTS = 4
"""Experts of the most loaded rank that are considered for another replica."""

IDLE_RANKS = 6
"""Least loaded ranks that are considered as its place."""

ExpertSets = tuple[tuple[tuple[int, ...], ...], ...]
"""The experts of every rank: by set, by rank."""


@dataclass(frozen=True)
class PlannerBounds:
    """What a new map may cost.

    :param placements: experts that a rank holds in a set at the most.
    :param copies_per_set: experts new to a rank in one set at the most.
    :param copies_per_rank: experts new to a rank in all sets at the most.
    :param least_step_gain: what each copy must take off the busiest ranks of its set, as a part of
        the mean rank's load there.
    """

    placements: int
    copies_per_set: int
    copies_per_rank: int
    least_step_gain: float


@dataclass(frozen=True)
class EvenMapPlan:
    """A map and what it is expected to bring.

    :param skew_now: load of the most loaded ranks over the mean, with the present map.
    :param skew_planned: the same with the planned map.
    :param copies: experts to copy, over all ranks.
    """

    experts: ExpertSets
    skew_now: float
    skew_planned: float
    copies: int


def first_map(sets: int, ranks: int, experts: int) -> ExpertSets:
    """Return the map of a group that has just formed: experts in turn."""
    one_set = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return tuple(one_set for _ in range(sets))


def map_skew(experts: ExpertSets, popularity: Sequence[Sequence[float]]) -> float:
    """Return the sum over the sets of the most loaded rank's part, over the mean rank's."""
    most = 0.0
    mean = 0.0
    for placed, popular in zip(experts, popularity, strict=True):
        loads = _rank_loads(placed, popular)
        most += max(loads)
        mean += sum(loads) / len(loads)
    return most / mean if mean else 1.0


def plan_even_map(
    present: ExpertSets, popularity: Sequence[Sequence[float]], bounds: PlannerBounds
) -> EvenMapPlan:
    """Return a map nearer to an even load, copies with the most gain first.

    :param popularity: by set, for each expert; any unit.
    """
    planner = EvenMapPlanner(present, popularity, bounds)
    while planner.advance():
        pass
    return planner.plan()


class EvenMapPlanner:
    """Plans a map step by step, so that a process with other work can do that in between.

    :param popularity: by set, for each expert; any unit.
    """

    def __init__(
        self, present: ExpertSets, popularity: Sequence[Sequence[float]], bounds: PlannerBounds
    ) -> None:
        self.present = present
        self.popularity = popularity
        self._copies = [0] * len(present[0])
        self._sets = [
            _SetPlan(placed, popular, bounds, self._copies)
            for placed, popular in zip(present, popularity, strict=True)
        ]
        self._unseen = list(range(len(self._sets)))
        self._steps: dict[int, _Step] = {}

    def advance(self) -> bool:
        """Look at one set, or take the best step; return whether there is more to do."""
        if self._unseen:
            self._look(self._unseen.pop())
            return True
        if not self._steps:
            return False
        index = max(self._steps, key=lambda each: self._steps[each].gain)
        self._sets[index].take(self._steps.pop(index))
        self._unseen.append(index)
        for other, step in list(self._steps.items()):
            if not self._sets[other].allowed(step):
                del self._steps[other]
                self._unseen.append(other)
        return True

    def _look(self, index: int) -> None:
        step = self._sets[index].best_step()
        if step is not None:
            self._steps[index] = step

    def plan(self) -> EvenMapPlan:
        """Return what is planned so far."""
        planned = tuple(each.result() for each in self._sets)
        return EvenMapPlan(
            planned,
            map_skew(self.present, self.popularity),
            map_skew(planned, self.popularity),
            sum(self._copies),
        )


@dataclass(frozen=True)
class _Step:
    """One replica more on a rank.

    :param dropped: the expert that gives up its place there; ``None`` for a free place.
    :param moved_from: the rank that gives the expert up; ``None`` where it keeps it.
    :param gain: how much it lowers the set's weighed load.
    """

    expert: int
    rank: int
    dropped: int | None
    moved_from: int | None
    gain: float


@dataclass
class _SetPlan:
    """The plan of one set under way.

    :param copies: experts new to each rank so far, over all sets; shared by the sets.
    :param mean: the mean rank's load, in which loads are weighed.
    :param weight: sum of the weighed loads of all ranks, kept as steps are taken.
    """

    present: tuple[tuple[int, ...], ...]
    popularity: Sequence[float]
    bounds: PlannerBounds
    copies: list[int]
    held: list[set[int]] = field(init=False)
    holders: dict[int, set[int]] = field(init=False)
    loads: list[float] = field(init=False)
    new_here: list[int] = field(init=False)
    mean: float = field(init=False)
    weight: float = field(init=False)

    def __post_init__(self) -> None:
        self.held = [set(experts) for experts in self.present]
        self.holders = {}
        for rank, experts in enumerate(self.held):
            for expert in experts:
                self.holders.setdefault(expert, set()).add(rank)
        self.loads = _rank_loads(self.present, self.popularity)
        self.new_here = [0] * len(self.held)
        self.mean = sum(self.loads) / len(self.loads) or 1.0
        self.weight = sum(map(self._weight, self.loads))

    def _weight(self, load: float) -> float:
        return max(0.0, load / self.mean) ** SHARPNESS

    def result(self) -> tuple[tuple[int, ...], ...]:
        """Return the planned experts of each rank."""
        return tuple(tuple(sorted(experts)) for experts in self.held)

    def _is_copy(self, expert: int, rank: int) -> bool:
        return expert not in self.present[rank]

    def allowed(self, step: _Step) -> bool:
        """Return whether the bounds on copies leave room for a step."""
        if not self._is_copy(step.expert, step.rank):
            return True
        in_set = self.new_here[step.rank] < self.bounds.copies_per_set
        return in_set and self.copies[step.rank] < self.bounds.copies_per_rank

    def best_step(self) -> _Step | None:
        """Return the step that lowers the load most, if any does."""
        if not any(self.loads):
            return None
        ranks = range(len(self.loads))
        hot = max(ranks, key=lambda rank: self.loads[rank])
        idle = sorted(ranks, key=lambda rank: self.loads[rank])[:IDLE_RANKS]
        part = {expert: self._part(expert) for expert in self.held[hot]}
        best: _Step | None = None
        for expert in sorted(part, key=lambda each: -part[each])[:HOT_EXPERTS]:
            for rank in idle:
                for step in self._steps(expert, hot, rank):
                    if best is None or step.gain > best.gain:
                        best = step
        if best is None or best.gain <= self.bounds.least_step_gain * self.mean:
            return None
        return best

    def _part(self, expert: int) -> float:
        return self.popularity[expert] / len(self.holders[expert])

    def _steps(self, expert: int, hot: int, rank: int) -> list[_Step]:
        """Return the ways to give ``rank`` the expert too, or in place of the hot rank."""
        if expert in self.held[rank] or not self.allowed(_Step(expert, rank, None, None, 0.0)):
            return []
        dropped = self._droppable(rank)
        if dropped is None and len(self.held[rank]) >= self.bounds.placements:
            return []
        if len(self.held[rank]) < self.bounds.placements:
            dropped = None
        return [
            self._weigh(expert, rank, dropped, None),
            self._weigh(expert, rank, dropped, hot),
        ]

    def _droppable(self, rank: int) -> int | None:
        """Return the expert with another holder whose loss weighs least."""
        spare = [expert for expert in self.held[rank] if len(self.holders[expert]) > 1]
        return min(spare, key=self._part, default=None)

    def _weigh(self, expert: int, rank: int, dropped: int | None, moved_from: int | None) -> _Step:
        after = self.weight
        for changed, load in self._loads_after(expert, rank, dropped, moved_from).items():
            after += self._weight(load) - self._weight(self.loads[changed])
        gain = self._norm(self.weight) - self._norm(after)
        return _Step(expert, rank, dropped, moved_from, gain)

    def _norm(self, weight: float) -> float:
        return self.mean * float(max(0.0, weight) ** (1 / SHARPNESS))

    def _loads_after(
        self, expert: int, rank: int, dropped: int | None, moved_from: int | None
    ) -> dict[int, float]:
        """Return the loads of the ranks that a step touches."""
        loads: dict[int, float] = {}
        old = self.holders[expert]
        new = (old | {rank}) - ({moved_from} if moved_from is not None else set())
        self._shift(loads, self.popularity[expert], old, new)
        if dropped is not None:
            keeping = self.holders[dropped]
            self._shift(loads, self.popularity[dropped], keeping, keeping - {rank})
        return loads

    def _shift(
        self, loads: dict[int, float], popularity: float, old: set[int], new: set[int]
    ) -> None:
        """Move an expert's tokens from its old holders to its new ones."""
        for rank in old:
            loads[rank] = loads.get(rank, self.loads[rank]) - popularity / len(old)
        for rank in new:
            loads[rank] = loads.get(rank, self.loads[rank]) + popularity / len(new)

    def take(self, step: _Step) -> None:
        """Carry out a step."""
        after = self._loads_after(step.expert, step.rank, step.dropped, step.moved_from)
        for rank, load in after.items():
            self.weight += self._weight(load) - self._weight(self.loads[rank])
            self.loads[rank] = load
        if self._is_copy(step.expert, step.rank):
            self.copies[step.rank] += 1
            self.new_here[step.rank] += 1
        self.held[step.rank].add(step.expert)
        self.holders[step.expert].add(step.rank)
        if step.dropped is not None:
            self._drop(step.dropped, step.rank)
        if step.moved_from is not None:
            self._drop(step.expert, step.moved_from)

    def _drop(self, expert: int, rank: int) -> None:
        self.held[rank].remove(expert)
        self.holders[expert].remove(rank)
        if self._is_copy(expert, rank):
            # It was to be copied there by an earlier step of this plan.
            self.copies[rank] -= 1
            self.new_here[rank] -= 1


def _rank_loads(placed: Sequence[Sequence[int]], popularity: Sequence[float]) -> list[float]:
    holders: dict[int, int] = {}
    for experts in placed:
        for expert in experts:
            holders[expert] = holders.get(expert, 0) + 1
    return [sum(popularity[expert] / holders[expert] for expert in experts) for experts in placed]
