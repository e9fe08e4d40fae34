"""Weighted fair shares among teams, by start-time fair queueing."""

from __future__ import annotations

from collections.abc import Iterable

DEFAULT_WEIGHT = 1.0


class FairShare:
    """Selects the next team to serve among those with waiting requests.

    Each team has a virtual time that grows by its dispatched tokens divided by its weight; the team
    with the lowest virtual time goes next. A team that was idle starts at the current virtual time:
    it neither accumulates nor loses turns, and the others use the capacity that it leaves.

    :param weights: weight of each team; other teams have weight 1.
    """

    def __init__(self, weights: dict[str, float] | None = None) -> None:
        self.weights = dict(weights or {})
        self.virtual_time = 0.0
        self.virtual_finish: dict[str, float] = {}

    def weight(self, team: str) -> float:
        """Return the weight of a team."""
        return self.weights.get(team, DEFAULT_WEIGHT)

    def virtual_start(self, team: str) -> float:
        """Return the virtual time at which the team's next request would start."""
        return max(self.virtual_time, self.virtual_finish.get(team, 0.0))

    def next_team(self, teams: Iterable[str]) -> str:
        """Return the team to serve next; the first of several equal ones.

        :raises ValueError: when there are no teams.
        """
        return min(teams, key=self.virtual_start)

    def charge(self, team: str, tokens: float) -> None:
        """Add dispatched work to the virtual time of a team."""
        virtual_start = self.virtual_start(team)
        self.virtual_time = virtual_start
        self.virtual_finish[team] = virtual_start + tokens / self.weight(team)
        if len(self.virtual_finish) > 4 * (len(self.weights) + 64):
            self._forget_idle()

    def share_of(self, team: str, active: Iterable[str]) -> float:
        """Return the share of the capacity that is due to a team while these teams are active."""
        own_weight = self.weight(team)
        other_weights = sum(self.weight(other) for other in active if other != team)
        return own_weight / (own_weight + other_weights)

    def _forget_idle(self) -> None:
        """Drop teams that are not ahead of the virtual time: they would start there anyway."""
        self.virtual_finish = {
            team: virtual_finish
            for team, virtual_finish in self.virtual_finish.items()
            if virtual_finish > self.virtual_time
        }
