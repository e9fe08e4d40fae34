"""Each team's rate and concurrency at this entry."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil

from bergamotchute_model.operator_file import Team
from bergamotchute_model.problem import Problem, ProblemCode, ProblemError


@dataclass
class TeamUse:
    """What one team uses here.

    :param tokens: requests that the team may still send at once.
    :param filled_at: when ``tokens`` was last counted, on the runtime's clock.
    """

    tokens: float
    filled_at: float
    running: int = 0


@dataclass
class TeamLimiter:
    """Admits requests within this entry's even part of each team's limits.

    :param entry_count: how many entries share the limits.
    """

    entry_count: Callable[[], int] = lambda: 1
    usage_by_team: dict[str, TeamUse] = field(default_factory=dict)

    def take(self, team: Team, now: float) -> None:
        """Count a request in; :meth:`give_back` counts it out.

        :raises ProblemError: when the team is over its rate or its concurrency.
        """
        entries = self.entry_count()
        rate = team.requests_per_second / entries
        burst = max(1.0, team.burst / entries)
        use = self.usage_by_team.setdefault(team.name, TeamUse(burst, now))
        use.tokens = min(burst, use.tokens + (now - use.filled_at) * rate)
        use.filled_at = now
        if use.tokens < 1.0:
            raise ProblemError(_over_rate(team, (1.0 - use.tokens) / rate))
        if use.running >= ceil(team.max_concurrent / entries):
            raise ProblemError(_over_concurrency(team))
        use.tokens -= 1.0
        use.running += 1

    def give_back(self, team: str) -> None:
        """Count a request out."""
        self.usage_by_team[team].running -= 1


def _over_rate(team: Team, wait_s: float) -> Problem:
    detail = f"team {team.name} is over {team.requests_per_second:g} requests a second"
    return Problem(429, ProblemCode.TEAM_LIMIT, detail, retry=True, retry_after_s=wait_s)


def _over_concurrency(team: Team) -> Problem:
    detail = f"team {team.name} has {team.max_concurrent} requests in flight"
    return Problem(429, ProblemCode.TEAM_LIMIT, detail, retry=True, retry_after_s=1.0)
