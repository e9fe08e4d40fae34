"""Estimate the popularity of each expert from late and noisy counts."""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np

from bergamotchute_policy.expert_map import BoolArray, FloatArray

SLOW_HALF_LIFE_S = 12.0
FAST_HALF_LIFE_S = 1.0
NOISE_HALF_LIFE_S = 60.0
DRIFT_DEVIATIONS = 6.0
MIN_RELATIVE_DRIFT = 0.08


@dataclass(frozen=True, eq=False)
class ExpertCounts:
    """The number of tokens of each expert since the previous report.

    Counts depend on the requests and not on the map, so a report from the time of an older map is
    as valid as a new one, only later.

    :param sequence: grows with each report; repeated and late reports are dropped.
    :param counts: shape (layers, experts).
    :param period_s: the time that the counts cover, in seconds.
    """

    sequence: int
    counts: FloatArray
    period_s: float


@dataclass
class PopularityEstimate:
    """Decayed popularity by layer and expert, which is reset in a layer whose popularity drifted.

    Two decayed averages are kept. The slow one is used while both agree within the noise observed
    so far. Once the averages of an expert differ by more than ``DRIFT_DEVIATIONS`` standard
    deviations, the layer's slow average is reset to the fast one.

    :param popularity: the slow average, shape (layers, experts); each layer adds up to 1. Empty
        before the first report.
    :param fast_average: the fast average, of the same shape.
    :param noise_variance: the variance of samples around the slow average, of the same shape.
    :param drift_count: the number of layers that were reset, over all reports.
    :param detects_drift: whether layers are reset at all.
    """

    popularity: FloatArray = field(default_factory=lambda: np.zeros((0, 0)))
    fast_average: FloatArray = field(default_factory=lambda: np.zeros((0, 0)))
    noise_variance: FloatArray = field(default_factory=lambda: np.zeros((0, 0)))
    sequence: int = -1
    drift_count: int = 0
    detects_drift: bool = True

    @property
    def known(self) -> bool:
        """Whether a report was received."""
        return self.popularity.size > 0

    def observe(self, report: ExpertCounts) -> BoolArray:
        """Update the estimate with a report; return which layers were reset, shape (layers,).

        A report that is not newer than the last one is ignored.
        """
        layers = report.counts.shape[0]
        if report.sequence <= self.sequence:
            return np.zeros(layers, dtype=bool)
        self.sequence = report.sequence
        sample = report.counts / np.maximum(report.counts.sum(axis=1, keepdims=True), 1e-12)
        if not self.known:
            self.popularity, self.fast_average = sample.copy(), sample.copy()
            self.noise_variance = (0.05 * sample) ** 2
            return np.zeros(layers, dtype=bool)
        self.fast_average = _decayed_average(
            self.fast_average, sample, report.period_s, FAST_HALF_LIFE_S
        )
        is_drifted = self._drifted_layers()
        self.popularity = _decayed_average(
            self.popularity, sample, report.period_s, SLOW_HALF_LIFE_S
        )
        self.popularity[is_drifted] = self.fast_average[is_drifted]
        squared_residual = (sample - self.popularity) ** 2
        noise_variance = _decayed_average(
            self.noise_variance, squared_residual, report.period_s, NOISE_HALF_LIFE_S
        )
        self.noise_variance[~is_drifted] = noise_variance[~is_drifted]
        self.drift_count += int(is_drifted.sum())
        return is_drifted

    def _drifted_layers(self) -> BoolArray:
        """Return in which layers the fast average differs from the slow one by more than noise."""
        if not self.detects_drift:
            return np.zeros(len(self.popularity), dtype=bool)
        difference = np.abs(self.fast_average - self.popularity)
        is_beyond_noise = difference > DRIFT_DEVIATIONS * np.sqrt(self.noise_variance)
        is_large = difference > MIN_RELATIVE_DRIFT * np.maximum(
            self.popularity, 1.0 / difference.shape[1]
        )
        return np.asarray((is_beyond_noise & is_large).any(axis=1))


def _decayed_average(
    average: FloatArray, sample: FloatArray, period_s: float, half_life_s: float
) -> FloatArray:
    """Return a decayed average updated with one more sample."""
    retained_ratio = 0.5 ** (period_s / half_life_s)
    return np.asarray(retained_ratio * average + (1.0 - retained_ratio) * sample, dtype=np.float64)
