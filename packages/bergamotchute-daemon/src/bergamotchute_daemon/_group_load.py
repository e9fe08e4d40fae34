"""Turns the reports of ranks into what the planner decides on."""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np

from bergamotchute_model.rank_messages import RankReport
from bergamotchute_policy.expert_popularity import ExpertCounts, PopularityEstimate
from bergamotchute_policy.expert_speed import RankSpeedEstimate, RankSpeeds, stalled_ranks

SILENT_AFTER_S = 15.0
SLOW_BELOW = 0.9
LONGEST_PERIOD_S = 60.0


@dataclass
class GroupLoad:
    """Popularity and speeds of one group, gathered from late and partial reports.

    :param tokens_s: tokens a second that a healthy rank works off, by which speed is measured;
        the median of what ranks report when 0.
    """

    ranks: int
    layers: int
    experts: int
    tokens_s: float = 0.0
    popularity: PopularityEstimate = field(default_factory=PopularityEstimate)
    speeds: RankSpeedEstimate = field(init=False)
    newest: dict[int, RankReport] = field(default_factory=dict)
    heard_at_s: dict[int, float] = field(default_factory=dict)
    pending: list[RankReport] = field(default_factory=list)
    sequence: int = 0
    counted_at_s: float = float("-inf")
    paces: dict[int, float] = field(default_factory=dict)
    paced_at_s: dict[int, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.speeds = RankSpeedEstimate(np.ones(self.ranks))

    def on_report(self, report: RankReport, now: float) -> None:
        """Take a report in; one that is older than another of the same life is dropped."""
        known = self.newest.get(report.rank)
        same = known is not None and known.incarnation == report.incarnation
        if known is not None and same and report.sequence <= known.sequence:
            return
        self.newest[report.rank] = report
        self.heard_at_s[report.rank] = now
        self.pending.append(report)

    def settle(self, now: float) -> None:
        """Work the reports since the last call into the estimates."""
        reports, self.pending = self.pending, []
        if not reports:
            return
        self.sequence += 1
        self._settle_counts(reports, now)
        self._settle_speeds(reports, now)

    def _settle_counts(self, reports: list[RankReport], now: float) -> None:
        """Add up what routers counted; counts that make no sense are left out."""
        size = 4 * self.layers * self.experts
        counted = [report.counts for report in reports if len(report.counts) == size]
        if not counted:
            return
        total = np.sum([np.frombuffer(one, dtype="<f4") for one in counted], axis=0)
        counts = total.reshape(self.layers, self.experts).astype(np.float64)
        if np.isfinite(counts).all() and (counts >= 0).all() and (counts.sum(axis=1) > 0).all():
            period_s = min(now - self.counted_at_s, LONGEST_PERIOD_S)
            self.counted_at_s = now
            self.popularity.observe(ExpertCounts(self.sequence, counts, period_s))

    def _settle_speeds(self, reports: list[RankReport], now: float) -> None:
        """Compare each rank's pace with the median of all, as ranks report in turn."""
        heard = [one for one in reports if one.compute_s > 0 and one.work > 0]
        if not heard:
            return
        self.paces |= {one.rank: one.work / one.compute_s for one in heard}
        healthy = self.tokens_s or float(np.median(list(self.paces.values())))
        speeds = np.full(self.ranks, np.nan)
        period_s = np.zeros(self.ranks)
        for one in heard:
            speeds[one.rank] = self.paces[one.rank] / healthy
            since = self.paced_at_s.get(one.rank, float("-inf"))
            period_s[one.rank] = min(now - since, LONGEST_PERIOD_S)
            self.paced_at_s[one.rank] = now
        self.speeds.observe(RankSpeeds(self.sequence, speeds, period_s))

    def stalled(self, members: tuple[int, ...], now: float) -> tuple[int, ...]:
        """Return the members that hold the others up for good."""
        begun = {rank: self.newest[rank].begun for rank in members if rank in self.newest}
        waiting = {
            rank: self.heard_at_s[rank] - self.newest[rank].waiting_s
            for rank in begun
            if self.newest[rank].waiting_s > 0 and now - self.heard_at_s[rank] < SILENT_AFTER_S
        }
        return stalled_ranks(begun, waiting, now)

    def silent(
        self, members: tuple[int, ...], now: float, after_s: float = SILENT_AFTER_S
    ) -> tuple[int, ...]:
        """Return the members without a report for ``after_s``."""
        return tuple(
            rank for rank in members if now - self.heard_at_s.get(rank, float("-inf")) >= after_s
        )

    def slow(self) -> tuple[tuple[int, float], ...]:
        """Return the ranks that work well under the healthy speed."""
        return tuple(
            (rank, float(speed))
            for rank, speed in enumerate(self.speeds.speeds)
            if speed < SLOW_BELOW
        )
