"""The commander of a simulated group: counts that come late, plans, and changes that take time."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from bergamotchute_daemon.ranks.rank_agent_process import MAX_GROUP_COUNTS_PER_S, STATUS_INTERVAL_S
from bergamotchute_model.node_messages import RankCounts
from bergamotchute_model.packed_map import ExpertPlacement
from bergamotchute_model.versioned_configuration import EnginePerformance
from bergamotchute_policy.choice_popularity import ChoicePopularity
from bergamotchute_policy.even_map_planner import EvenMapPlanner
from bergamotchute_policy.map_change_choice import (
    group_load_ratio,
    is_change_worthwhile,
    map_change_bounds,
)
from bergamotchute_policy.rank_pace import pace_weight
from tools.group_bench.expert_demand import FloatArray
from tools.group_bench.group_file import GroupShape
from tools.group_bench.ranks import SimulatedRank

SELECTIONS_PER_TOKEN = 48.0
"""Experts that one token selects in each set of layers."""


@dataclass
class SimulatedCommander:
    """Plans map changes from reported counts and puts them in force after a while.

    :param call_at: calls a function at a time.
    :param put_in_force: called with the new map.
    :param copying_until: the end of the copies for the present change.
    :param changes: count of changes so far.
    """

    shape: GroupShape
    engine: EnginePerformance
    experts: ExpertPlacement
    call_at: Callable[[float, Callable[[], None]], None]
    put_in_force: Callable[[ExpertPlacement], None]
    popularity: ChoicePopularity = field(default_factory=ChoicePopularity)
    round_number: int = 0
    is_switching: bool = False
    copying_from: float = 0.0
    copying_until: float = 0.0
    changes: int = 0

    def report_counts(self, ranks: list[SimulatedRank], demand: FloatArray, now: float) -> None:
        """Take the reports of the ranks whose turn it is."""
        counts_per_s = len(ranks) * demand.size / STATUS_INTERVAL_S
        turns = max(1, math.ceil(counts_per_s / MAX_GROUP_COUNTS_PER_S))
        flat = demand.ravel()
        for number, rank in enumerate(ranks):
            if (self.round_number + number) % turns == 0 and rank.tokens:
                counts = (flat * (rank.tokens * SELECTIONS_PER_TOKEN)).astype(int).tolist()
                self.popularity.observe(RankCounts(number, 1, 0, tuple(counts)), now)
            rank.tokens = 0.0
        self.round_number += 1

    def consider_change(self, ranks: list[SimulatedRank], now: float) -> None:
        """Plan a change of the map, and begin it if it is worthwhile."""
        if self.is_switching:
            return
        popularity = self.popularity.popularity_by_set(len(self.experts), now)
        if popularity is None:
            return
        busy = group_load_ratio(sum(len(rank.requests) for rank in ranks), len(ranks), self.engine)
        weights = [pace_weight(rank.pace) for rank in ranks]
        bounds = map_change_bounds(self.engine, busy)
        planner = EvenMapPlanner(
            self.experts, popularity, bounds, weights if max(weights) > 1.0 else ()
        )
        steps = 1
        while planner.plan_next_step():
            steps += 1
        plan = planner.plan()
        if not is_change_worthwhile(plan, busy):
            return
        most = max(planner.copies_by_rank)
        self.is_switching = True
        self.changes += 1
        self.copying_from = now + steps * self.shape.plan_step_s + self.shape.switch_s / 2
        self.copying_until = self.copying_from + most * self.engine.expert_copy_s
        self.call_at(
            self.copying_until + self.shape.switch_s / 2, lambda: self._finish(plan.experts)
        )

    def _finish(self, experts: ExpertPlacement) -> None:
        self.experts = experts
        self.is_switching = False
        self.put_in_force(experts)

    def is_copying(self, now: float) -> bool:
        """Return whether ranks copy experts now."""
        return self.copying_from <= now < self.copying_until
