"""Estimates how popular each expert is, from counts that come late and with noise."""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np

from bergamotchute_policy.expert_map import Bools, Floats

CALM_HALF_LIFE_S = 12.0
FAST_HALF_LIFE_S = 1.0
NOISE_HALF_LIFE_S = 60.0
DRIFT_SCORE = 6.0
LEAST_RELATIVE_DRIFT = 0.08


@dataclass(frozen=True, eq=False)
class ExpertCounts:
    """How many tokens each expert got since the report before.

    Counts say what callers asked for, whatever the map: a report that was made under an older
    map is as good as a new one, only later.

    :param sequence: grows with each report; repeats and stragglers are dropped.
    :param counts: shape (layers, experts).
    :param period_s: the time that the counts cover.
    """

    sequence: int
    counts: Floats
    period_s: float


@dataclass
class PopularityEstimate:
    """Decayed popularity per layer and expert, which starts anew in a layer that changed.

    Two decayed averages run side by side. While they agree within the noise seen so far the slow
    one is used; once an expert's fast average leaves the slow one by more than
    ``DRIFT_SCORE`` deviations, the layer takes over the fast one.

    :param popularity: shape (layers, experts); each layer adds up to 1. Empty before a report.
    :param drifts: layers that started anew, counted over all reports.
    :param detects_drift: whether layers start anew at all.
    """

    popularity: Floats = field(default_factory=lambda: np.zeros((0, 0)))
    fast: Floats = field(default_factory=lambda: np.zeros((0, 0)))
    noise: Floats = field(default_factory=lambda: np.zeros((0, 0)))
    sequence: int = -1
    drifts: int = 0
    detects_drift: bool = True

    @property
    def known(self) -> bool:
        """Whether a report has come."""
        return self.popularity.size > 0

    def observe(self, report: ExpertCounts) -> Bools:
        """Take a report in; return the layers that started anew, shape (layers,).

        A report that is not newer than the last one changes nothing.
        """
        layers = report.counts.shape[0]
        if report.sequence <= self.sequence:
            return np.zeros(layers, dtype=bool)
        self.sequence = report.sequence
        seen = report.counts / np.maximum(report.counts.sum(axis=1, keepdims=True), 1e-12)
        if not self.known:
            self.popularity, self.fast = seen.copy(), seen.copy()
            self.noise = (0.05 * seen) ** 2
            return np.zeros(layers, dtype=bool)
        self.fast = _decayed(self.fast, seen, report.period_s, FAST_HALF_LIFE_S)
        moved = self._drifted()
        self.popularity = _decayed(self.popularity, seen, report.period_s, CALM_HALF_LIFE_S)
        self.popularity[moved] = self.fast[moved]
        residual = (seen - self.popularity) ** 2
        noise = _decayed(self.noise, residual, report.period_s, NOISE_HALF_LIFE_S)
        self.noise[~moved] = noise[~moved]
        self.drifts += int(moved.sum())
        return moved

    def _drifted(self) -> Bools:
        """Return the layers where the fast average left the slow one."""
        if not self.detects_drift:
            return np.zeros(len(self.popularity), dtype=bool)
        gap = np.abs(self.fast - self.popularity)
        beyond = gap > DRIFT_SCORE * np.sqrt(self.noise)
        large = gap > LEAST_RELATIVE_DRIFT * np.maximum(self.popularity, 1.0 / gap.shape[1])
        return np.asarray((beyond & large).any(axis=1))


def _decayed(average: Floats, seen: Floats, period_s: float, half_life_s: float) -> Floats:
    """Return the average after one more sample."""
    kept = 0.5 ** (period_s / half_life_s)
    return np.asarray(kept * average + (1.0 - kept) * seen, dtype=np.float64)
