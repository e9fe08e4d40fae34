"""Estimates expert popularity and rank speeds from the ranks' reports for the planner."""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np

from bergamotchute_model.rank_messages import RankReport
from bergamotchute_policy.expert_popularity import ExpertCounts, PopularityEstimate
from bergamotchute_policy.expert_speed import RankSpeedEstimate, RankSpeeds, stalled_ranks

SILENCE_TIMEOUT_S = 15.0
SLOW_SPEED_RATIO = 0.9
MAX_PERIOD_S = 60.0


@dataclass
class GroupLoad:
    """Popularity and speeds of one group, estimated from late and partial reports.

    :param healthy_tokens_per_s: tokens per second of a healthy rank, the unit of speed; when 0, the
        median of the reported paces.
    :param newest_reports: newest report by rank.
    :param last_report_at_s: when the newest report arrived, by rank, on the runtime's clock.
    :param pending_reports: reports not yet included in the estimates.
    :param counts_updated_at_s: when expert counts were last included.
    :param paces_tokens_s: newest tokens per second of compute time, by rank.
    :param pace_updated_at_s: when the pace was last included, by rank.
    """

    ranks: int
    layers: int
    experts: int
    healthy_tokens_per_s: float = 0.0
    popularity_estimate: PopularityEstimate = field(default_factory=PopularityEstimate)
    speed_estimate: RankSpeedEstimate = field(init=False)
    newest_reports: dict[int, RankReport] = field(default_factory=dict)
    last_report_at_s: dict[int, float] = field(default_factory=dict)
    pending_reports: list[RankReport] = field(default_factory=list)
    sequence: int = 0
    counts_updated_at_s: float = float("-inf")
    paces_tokens_s: dict[int, float] = field(default_factory=dict)
    pace_updated_at_s: dict[int, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.speed_estimate = RankSpeedEstimate(np.ones(self.ranks))

    def on_report(self, report: RankReport, now: float) -> None:
        """Add a report; drop it if a newer one of the same incarnation has arrived."""
        known = self.newest_reports.get(report.rank)
        is_same_incarnation = known is not None and known.incarnation == report.incarnation
        if known is not None and is_same_incarnation and report.sequence <= known.sequence:
            return
        self.newest_reports[report.rank] = report
        self.last_report_at_s[report.rank] = now
        self.pending_reports.append(report)

    def update_estimates(self, now: float) -> None:
        """Update the estimates with the reports since the last call."""
        reports, self.pending_reports = self.pending_reports, []
        if not reports:
            return
        self.sequence += 1
        self._update_popularity(reports, now)
        self._update_speeds(reports, now)

    def _update_popularity(self, reports: list[RankReport], now: float) -> None:
        """Update the popularity with the sum of the routers' counts; ignore invalid counts."""
        size = 4 * self.layers * self.experts
        counted = [report.counts for report in reports if len(report.counts) == size]
        if not counted:
            return
        total = np.sum([np.frombuffer(data, dtype="<f4") for data in counted], axis=0)
        counts = total.reshape(self.layers, self.experts).astype(np.float64)
        if np.isfinite(counts).all() and (counts >= 0).all() and (counts.sum(axis=1) > 0).all():
            period_s = min(now - self.counts_updated_at_s, MAX_PERIOD_S)
            self.counts_updated_at_s = now
            self.popularity_estimate.observe(ExpertCounts(self.sequence, counts, period_s))

    def _update_speeds(self, reports: list[RankReport], now: float) -> None:
        """Update the speeds with each rank's pace relative to the median over all ranks.

        Paces are kept between calls, since ranks report at different times.
        """
        timed = [report for report in reports if report.compute_s > 0 and report.work > 0]
        if not timed:
            return
        self.paces_tokens_s |= {report.rank: report.work / report.compute_s for report in timed}
        healthy_pace = self.healthy_tokens_per_s or float(
            np.median(list(self.paces_tokens_s.values()))
        )
        speeds = np.full(self.ranks, np.nan)
        period_s = np.zeros(self.ranks)
        for report in timed:
            speeds[report.rank] = self.paces_tokens_s[report.rank] / healthy_pace
            previous_at_s = self.pace_updated_at_s.get(report.rank, float("-inf"))
            period_s[report.rank] = min(now - previous_at_s, MAX_PERIOD_S)
            self.pace_updated_at_s[report.rank] = now
        self.speed_estimate.observe(RankSpeeds(self.sequence, speeds, period_s))

    def stalled_members(self, members: tuple[int, ...], now: float) -> tuple[int, ...]:
        """Return the members that stall the others permanently."""
        begun = {
            rank: self.newest_reports[rank].begun for rank in members if rank in self.newest_reports
        }
        waiting = {
            rank: self.last_report_at_s[rank] - self.newest_reports[rank].waiting_s
            for rank in begun
            if self.newest_reports[rank].waiting_s > 0
            and now - self.last_report_at_s[rank] < SILENCE_TIMEOUT_S
        }
        return stalled_ranks(begun, waiting, now)

    def silent_members(
        self, members: tuple[int, ...], now: float, min_silence_s: float = SILENCE_TIMEOUT_S
    ) -> tuple[int, ...]:
        """Return the members without a report for at least ``min_silence_s`` seconds."""
        return tuple(
            rank
            for rank in members
            if now - self.last_report_at_s.get(rank, float("-inf")) >= min_silence_s
        )

    def slow_ranks(self) -> tuple[tuple[int, float], ...]:
        """Return the ranks well below the healthy speed, with their speeds."""
        return tuple(
            (rank, float(speed))
            for rank, speed in enumerate(self.speed_estimate.speeds)
            if speed < SLOW_SPEED_RATIO
        )
