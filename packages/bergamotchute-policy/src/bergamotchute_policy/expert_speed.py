"""Estimate the speed of each rank, and find ranks that stall their group.

A straggler gets less work, in proportion to its speed.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np

from bergamotchute_policy.expert_map import BoolArray, FloatArray

RECOVERY_HALF_LIFE_S = 40.0
MIN_DROP_RATIO = 0.08
DROP_CONFIRMATION_SAMPLES = 2
MIN_SPEED = 0.05
STALL_TIMEOUT_S = 20.0


@dataclass(frozen=True, eq=False)
class RankSpeeds:
    """Measured speed of each rank: work done divided by the rank's own computing time.

    Both are measured over the same steps, so a report stays valid after the map has changed.

    :param sequence: grows with each report.
    :param speeds: shape (ranks,); 1 for a healthy rank; NaN for a rank that did not report.
    :param period_s: the time that the report covers in seconds, one value for all ranks or one
        for each.
    """

    sequence: int
    speeds: FloatArray
    period_s: float | FloatArray


@dataclass
class RankSpeedEstimate:
    """Estimated speed of each rank, lowered as soon as a drop is confirmed and raised slowly.

    A drop is confirmed when ``DROP_CONFIRMATION_SAMPLES`` reports in a row are below the estimate
    by more than the fraction ``MIN_DROP_RATIO``. A rank that recovers gets its work back gradually,
    so that a rank whose speed fluctuates does not cause moves of experts each time.

    :param speeds: shape (ranks,); 0 for an excluded rank.
    :param low_sample_counts: the number of consecutive low reports of each rank.
    :param highest_low_samples: the highest of the consecutive low reports of each rank, which
        becomes the estimate when the drop is confirmed.
    :param confirmed_drop_count: the number of confirmed drops, over all ranks.
    """

    speeds: FloatArray
    low_sample_counts: FloatArray = field(default_factory=lambda: np.zeros(0))
    highest_low_samples: FloatArray = field(default_factory=lambda: np.zeros(0))
    sequence: int = -1
    confirmed_drop_count: int = 0

    def __post_init__(self) -> None:
        self.low_sample_counts = np.zeros(len(self.speeds))
        self.highest_low_samples = np.zeros(len(self.speeds))

    def observe(self, report: RankSpeeds) -> BoolArray:
        """Update the estimate with a report; return which ranks' drop is confirmed, shape (ranks,).

        A report that is not newer than the last one is ignored.
        """
        if report.sequence <= self.sequence:
            return np.zeros(len(self.speeds), dtype=bool)
        self.sequence = report.sequence
        is_reported = ~np.isnan(report.speeds) & (self.speeds > 0)
        samples = np.where(is_reported, report.speeds, self.speeds)
        is_low = is_reported & (samples < self.speeds * (1.0 - MIN_DROP_RATIO))
        highest_low_samples = np.where(
            is_low & (self.low_sample_counts > 0),
            np.maximum(self.highest_low_samples, samples),
            samples,
        )
        self.highest_low_samples = np.where(
            is_reported, highest_low_samples, self.highest_low_samples
        )
        self.low_sample_counts = np.where(
            is_low, self.low_sample_counts + 1, np.where(is_reported, 0.0, self.low_sample_counts)
        )
        is_drop_confirmed = self.low_sample_counts >= DROP_CONFIRMATION_SAMPLES
        retained_ratio = 0.5 ** (np.asarray(report.period_s) / RECOVERY_HALF_LIFE_S)
        is_steady = is_reported & ~is_low
        blended = retained_ratio * self.speeds + (1.0 - retained_ratio) * samples
        self.speeds = np.where(is_steady, blended, self.speeds)
        self.speeds = np.where(
            is_drop_confirmed, np.maximum(self.highest_low_samples, MIN_SPEED), self.speeds
        )
        self.low_sample_counts[is_drop_confirmed] = 0.0
        self.confirmed_drop_count += int(is_drop_confirmed.sum())
        return np.asarray(is_drop_confirmed)

    def exclude(self, rank: int) -> None:
        """Exclude a rank from work; its speed stays 0 until :meth:`readmit`."""
        self.speeds[rank] = 0.0

    def readmit(self, rank: int) -> None:
        """Give work to an excluded rank again; its speed starts at the minimum and rises slowly."""
        self.speeds[rank] = MIN_SPEED


def stalled_ranks(
    newest_begun_steps: dict[int, int], waiting_since_s: dict[int, float], now: float
) -> tuple[int, ...]:
    """Return the ranks that stall the group.

    Ranks run in lock-step, so all of them stop when one does, and missing progress alone does not
    show which one is at fault. A rank stalls the group if it does not report that it waits, while
    all others have waited at the newest step for ``STALL_TIMEOUT_S``. No rank is returned unless
    the waiting ranks outnumber the stalling ones.

    :param newest_begun_steps: the newest step that each rank is known to have begun.
    :param waiting_since_s: the time since which a rank waits, for each rank that reports that it
        waits for others.
    """
    if not newest_begun_steps or not waiting_since_s:
        return ()
    newest_step = max(newest_begun_steps.values())
    long_waiting = [
        rank
        for rank, since in waiting_since_s.items()
        if newest_begun_steps.get(rank) == newest_step and now - since >= STALL_TIMEOUT_S
    ]
    not_waiting = [rank for rank in newest_begun_steps if rank not in waiting_since_s]
    if (
        not not_waiting
        or len(long_waiting) + len(not_waiting) != len(newest_begun_steps)
        or len(not_waiting) >= len(long_waiting)
    ):
        return ()
    return tuple(sorted(not_waiting))
