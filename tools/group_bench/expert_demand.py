"""The experts that requests select: uneven, and moving abruptly from time to time."""

from __future__ import annotations

from random import Random

import numpy as np
from numpy.typing import NDArray

from bergamotchute_model.versioned_configuration import EnginePerformance
from tools.group_bench.group_file import ExpertDemandShape

FloatArray = NDArray[np.float64]


class ExpertDemand:
    """The share of the selections that each expert of each set gets.

    :param popularity: shares by set and expert; each set sums up to 1.
    """

    def __init__(self, engine: EnginePerformance, shape: ExpertDemandShape, random: Random) -> None:
        self.engine = engine
        self.shape = shape
        self.random = random
        self.popularity = self._draw()

    def _draw(self) -> FloatArray:
        weights = np.arange(1, self.engine.experts + 1) ** -self.shape.zipf
        rows = []
        for _ in range(self.engine.expert_sets):
            order = list(range(self.engine.experts))
            self.random.shuffle(order)
            rows.append(weights[order] / weights.sum())
        return np.array(rows)

    def shift(self) -> None:
        """Let a share of the experts of each set exchange their popularity."""
        count = round(self.shape.shift_share * self.engine.experts)
        for row in self.popularity:
            chosen = self.random.sample(range(self.engine.experts), count)
            row[chosen] = row[self.random.sample(chosen, count)]
