"""A seeded day in the life of a rank group: popularity that drifts and swaps, ranks that slow."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from bergamotchute_policy.expert_map import FloatArray

TICK_S = 1.0


@dataclass(frozen=True)
class Workload:
    """What a simulated group meets.

    :param zipf: exponent of the popularity of experts by their place.
    :param swap_every_s: how often two experts of each layer change places at once; 0 for never.
    :param drift: size of the slow swing of the logarithm of popularity; 0 for none.
    :param straggler: from when to when, in parts of the run, one rank works at 0.6 speed.
    :param tokens: token assignments a layer gets in a tick.
    :param tokens_together: assignments that go to an expert together, which makes counts noisier.
    """

    ranks: int
    slots: int
    layers: int
    seconds: int
    experts: int = 64
    zipf: float = 0.6
    swap_every_s: int = 600
    drift: float = 0.5
    straggler: tuple[float, float] = (0.4, 0.65)
    straggler_speed: float = 0.6
    crest_every_s: int = 900
    crest_s: int = 60
    tokens: int = 0
    tokens_together: int = 8

    @property
    def assignments(self) -> int:
        """Token assignments a tick: 64 tokens a rank, 8 experts a token, steps of 34 ms."""
        return self.tokens or int(self.ranks * 64 * 8 * TICK_S / 0.034)


class Trace:
    """The popularity, counts and speeds of one seeded run, tick by tick."""

    def __init__(self, workload: Workload, seed: int) -> None:
        self.workload = workload
        self.random = np.random.default_rng(seed)
        shape = (workload.layers, workload.experts)
        places = np.tile(np.arange(1, workload.experts + 1), (workload.layers, 1))
        self.base = self.random.permuted(-workload.zipf * np.log(places), axis=1)
        self.period_s = self.random.uniform(1.5, 6.0, shape) * 3600
        self.phase = self.random.uniform(0, 2 * np.pi, shape)
        self.slow_rank = int(self.random.integers(workload.ranks))

    def popularity(self, tick: int) -> FloatArray:
        """Return the true popularity, shape (layers, experts); ticks must be asked in order."""
        every = self.workload.swap_every_s
        if every and tick and tick % every == 0:
            self._swap()
        swing = np.sin(2 * np.pi * tick * TICK_S / self.period_s + self.phase)
        weight = np.exp(self.base + self.workload.drift * swing)
        return np.asarray(weight / weight.sum(axis=1, keepdims=True), dtype=np.float64)

    def _swap(self) -> None:
        """Let two experts of each layer change places."""
        for layer in self.base:
            one, other = self.random.choice(self.workload.experts, 2, replace=False)
            layer[[one, other]] = layer[[other, one]]

    def counts(self, popularity: FloatArray) -> FloatArray:
        """Return what the routers counted in a tick, with the noise of finite batches."""
        together = self.workload.tokens_together
        draws = self.random.multinomial(self.workload.assignments // together, popularity)
        return draws.astype(np.float64) * together

    def speeds(self, tick: int) -> FloatArray:
        """Return the true speed of each rank, shape (ranks,)."""
        begin, end = (part * self.workload.seconds for part in self.workload.straggler)
        speeds = np.ones(self.workload.ranks)
        if begin <= tick < end:
            speeds[self.slow_rank] = self.workload.straggler_speed
        return speeds

    def measured(self, speeds: FloatArray) -> FloatArray:
        """Return the speeds as ranks report them, with noise of 1%."""
        return np.asarray(speeds * self.random.normal(1.0, 0.01, len(speeds)))

    def at_crest(self, tick: int) -> bool:
        """Whether demand is at its crest in a tick."""
        return tick % self.workload.crest_every_s >= (
            self.workload.crest_every_s - self.workload.crest_s
        )
