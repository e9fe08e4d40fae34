"""Weighted fair shares of teams, by start-time fair queueing."""

from __future__ import annotations

from collections.abc import Iterable

DEFAULT_WEIGHT = 1.0


class FairShare:
    """Says whose turn it is among the teams that wait.

    Each team has a virtual time that grows by its dispatched tokens over its weight; the team that
    is furthest behind goes next. A team that was idle starts level with the others: it can neither
    save up turns nor lose any, and what it leaves unused the others borrow.

    :param weights: weight of each team; others have 1.
    """

    def __init__(self, weights: dict[str, float] | None = None) -> None:
        self.weights = dict(weights or {})
        self.virtual_now = 0.0
        self.finish: dict[str, float] = {}

    def weight(self, team: str) -> float:
        """Return the weight of a team."""
        return self.weights.get(team, DEFAULT_WEIGHT)

    def start(self, team: str) -> float:
        """Return the virtual time at which the team's next request would start."""
        return max(self.virtual_now, self.finish.get(team, 0.0))

    def next_team(self, teams: Iterable[str]) -> str:
        """Return the team whose turn it is; the first one of equals.

        :raises ValueError: when there are no teams.
        """
        return min(teams, key=self.start)

    def charge(self, team: str, tokens: float) -> None:
        """Count work that is dispatched for a team."""
        start = self.start(team)
        self.virtual_now = start
        self.finish[team] = start + tokens / self.weight(team)
        if len(self.finish) > 4 * (len(self.weights) + 64):
            self._forget_idle()

    def share_of(self, team: str, active: Iterable[str]) -> float:
        """Return the part of the capacity that is due to a team while these teams wait."""
        own = self.weight(team)
        others = sum(self.weight(other) for other in active if other != team)
        return own / (own + others)

    def _forget_idle(self) -> None:
        """Drop teams that are level with the virtual time: they would start there anyway."""
        self.finish = {
            team: finish for team, finish in self.finish.items() if finish > self.virtual_now
        }
