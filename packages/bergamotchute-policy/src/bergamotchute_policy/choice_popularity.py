"""How popular each expert is now, from counts that ranks report a few times a second."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotchute_model.node_messages import RankCounts

HALF_LIFE_S = 0.25
"""Demand turns at once every few seconds; at a crest 0.2 s hold 700,000 choices a set, so noise is
small. On replayed choices, passes took 5% longer with 0.7 s."""

LEAST_CHOICES = 20_000.0
"""Choices in a set before a plan rests on them: a few prompts."""


@dataclass
class ChoicePopularity:
    """Decayed counts of choices, over all ranks of a group.

    :param counts: set by set, for each expert.
    """

    counts: list[float] = field(default_factory=list)
    decayed_at: float = 0.0

    def observe(self, report: RankCounts, now: float) -> None:
        """Add a rank's choices."""
        if len(self.counts) != len(report.counts):
            self.counts = [0.0] * len(report.counts)
            self.decayed_at = now
        self._decay(now)
        for index, count in enumerate(report.counts):
            if count:
                self.counts[index] += count

    def by_set(self, sets: int, now: float) -> list[list[float]] | None:
        """Return the popularity by set and expert, or ``None`` while too little was chosen."""
        if not self.counts or not sets:
            return None
        self._decay(now)
        size = len(self.counts) // sets
        by_set = [self.counts[start : start + size] for start in range(0, sets * size, size)]
        if min(sum(counts) for counts in by_set) < LEAST_CHOICES:
            return None
        return by_set

    def _decay(self, now: float) -> None:
        kept = 0.5 ** ((now - self.decayed_at) / HALF_LIFE_S)
        self.decayed_at = now
        self.counts = [count * kept for count in self.counts]
