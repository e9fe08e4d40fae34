"""Estimates how fast each rank works, and which rank holds its group up for good."""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np

from bergamotchute_policy.expert_map import Bools, Floats

RETURN_HALF_LIFE_S = 40.0
DEMOTION_DROP = 0.08
DEMOTION_SAMPLES = 2
LEAST_SPEED = 0.05
LOST_AFTER_S = 20.0


@dataclass(frozen=True, eq=False)
class RankSpeeds:
    """Measured speed of each rank: work done over the time that the rank itself computed.

    Both come from the same steps, so that a report stays true after the map has changed.

    :param sequence: grows with each report.
    :param speeds: shape (ranks,); 1 for a healthy rank; NaN where a rank did not report.
    :param period_s: the time that the report covers, for all ranks or for each.
    """

    sequence: int
    speeds: Floats
    period_s: float | Floats


@dataclass
class SpeedEstimate:
    """Speed of each rank: falls as soon as a drop is confirmed, returns slowly.

    A drop counts when ``DEMOTION_SAMPLES`` reports in a row lie below the estimate by more than
    ``DEMOTION_DROP``. A rank that recovers gets its work back little by little, so that one that
    comes and goes does not move experts each time.

    :param speeds: shape (ranks,).
    :param demotions: confirmed drops, over all ranks.
    """

    speeds: Floats
    below: Floats = field(default_factory=lambda: np.zeros(0))
    lowest: Floats = field(default_factory=lambda: np.zeros(0))
    sequence: int = -1
    demotions: int = 0

    def __post_init__(self) -> None:
        self.below = np.zeros(len(self.speeds))
        self.lowest = np.zeros(len(self.speeds))

    def observe(self, report: RankSpeeds) -> Bools:
        """Take a report in; return the ranks that were demoted, shape (ranks,).

        A report that is not newer than the last one changes nothing.
        """
        if report.sequence <= self.sequence:
            return np.zeros(len(self.speeds), dtype=bool)
        self.sequence = report.sequence
        heard = ~np.isnan(report.speeds) & (self.speeds > 0)
        seen = np.where(heard, report.speeds, self.speeds)
        low = heard & (seen < self.speeds * (1.0 - DEMOTION_DROP))
        lowest = np.where(low & (self.below > 0), np.maximum(self.lowest, seen), seen)
        self.lowest = np.where(heard, lowest, self.lowest)
        self.below = np.where(low, self.below + 1, np.where(heard, 0.0, self.below))
        demoted = self.below >= DEMOTION_SAMPLES
        kept = 0.5 ** (np.asarray(report.period_s) / RETURN_HALF_LIFE_S)
        calm = heard & ~low
        blended = kept * self.speeds + (1.0 - kept) * seen
        self.speeds = np.where(calm, blended, self.speeds)
        self.speeds = np.where(demoted, np.maximum(self.lowest, LEAST_SPEED), self.speeds)
        self.below[demoted] = 0.0
        self.demotions += int(demoted.sum())
        return np.asarray(demoted)

    def remove(self, rank: int) -> None:
        """Give a rank no more work; its speed stays 0 until :meth:`restore`."""
        self.speeds[rank] = 0.0

    def restore(self, rank: int) -> None:
        """Let a rank that was removed come back, at the least speed; it returns slowly."""
        self.speeds[rank] = LEAST_SPEED


def stalled_ranks(
    begun: dict[int, int], waiting_since_s: dict[int, float], now: float
) -> tuple[int, ...]:
    """Return the ranks that hold the group up for good.

    In lock-step every rank waits for the slowest one, so silence of the group blames nobody. The
    ranks to blame are those that do not say they wait at the newest step, once all others have
    waited there for ``LOST_AFTER_S``.

    :param begun: the newest step that each rank is known to have begun.
    :param waiting_since_s: for each rank that says it waits for the others, since when.
    """
    if not begun or not waiting_since_s:
        return ()
    newest = max(begun.values())
    patient = [
        rank
        for rank, since in waiting_since_s.items()
        if begun.get(rank) == newest and now - since >= LOST_AFTER_S
    ]
    others = [rank for rank in begun if rank not in waiting_since_s]
    if not others or len(patient) + len(others) != len(begun) or len(others) >= len(patient):
        return ()
    return tuple(sorted(others))
