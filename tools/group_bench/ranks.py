"""The ranks of a simulated group: what a pass does and how long it takes."""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np

from bergamotchute_model.packed_map import ExpertPlacement
from bergamotchute_model.versioned_configuration import EnginePerformance
from tools.group_bench.expert_demand import FloatArray
from tools.group_bench.simulated_request import SimulatedRequest

COPY_SLOWDOWN = 1.15
"""How much longer passes take while ranks copy experts."""


@dataclass
class SimulatedRank:
    """One rank and the requests at it.

    :param requests: in order of arrival; the engine runs as many as it has slots.
    :param tokens: tokens processed since the last report.
    :param pace: how many times longer than usual the rank's part of a pass takes.
    """

    requests: list[SimulatedRequest] = field(default_factory=list)
    tokens: float = 0.0
    pace: float = 1.0

    def plan_pass(self, engine: EnginePerformance) -> tuple[int, float]:
        """Let the prompts be read for one pass; return the writing requests and the tokens read."""
        left = float(engine.prefill_chunk * engine.stride)
        writing, read = 0, 0.0
        for request in self.requests[: engine.slots]:
            if not request.prompt_left:
                writing += 1
                continue
            part = min(left, request.prompt_left)
            request.prompt_left -= part
            left -= part
            read += part
        self.tokens += read + writing * engine.stride
        return writing, read


def rank_fractions(experts: ExpertPlacement, popularity: FloatArray) -> FloatArray:
    """Return the share of each set's selections that each rank gets, by set and rank."""
    fractions = np.zeros((len(experts), len(experts[0])))
    for index, by_rank in enumerate(experts):
        holders = np.zeros(popularity.shape[1])
        for held in by_rank:
            holders[list(held)] += 1
        each = popularity[index] / holders
        fractions[index] = [each[list(held)].sum() for held in by_rank]
    return fractions


def pass_duration_s(
    engine: EnginePerformance,
    ranks: list[SimulatedRank],
    work: list[tuple[int, float]],
    fractions: FloatArray,
) -> float:
    """Return the duration of a pass in seconds: the slowest own part, and set by set the experts'.

    :param work: the writing requests and the tokens read at each rank.
    """
    paces = np.array([rank.pace for rank in ranks])
    token_s = np.array(
        [
            writing * engine.stride * engine.step_per_request_s + read / engine.prefill_tokens_per_s
            for writing, read in work
        ]
    )
    is_writing = any(writing for writing, _ in work)
    steps = engine.stride if is_writing else 1
    own = (steps * engine.step_s + (1 - engine.expert_share) * token_s) * paces
    shared = engine.expert_share * token_s.sum() / len(fractions)
    expert = (fractions * paces).max(axis=1).sum() * shared
    return float(own.max() + expert)
