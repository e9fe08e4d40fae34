"""Limit each team's request rate and concurrency at this entry."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil

from bergamotchute_model.operator_file import Team
from bergamotchute_model.problem import Problem, ProblemCode, ProblemError


@dataclass
class TeamUsage:
    """One team's use of its limits at this entry.

    :param tokens: the content of the token bucket: requests that the team may send at once.
    :param refilled_at: when ``tokens`` was last refilled, on the runtime's clock.
    :param running: requests in flight.
    """

    tokens: float
    refilled_at: float
    running: int = 0


@dataclass
class TeamLimiter:
    """Admits requests within this entry's equal share of each team's limits.

    :param entry_count: how many entries share the limits.
    """

    entry_count: Callable[[], int] = lambda: 1
    usage_by_team: dict[str, TeamUsage] = field(default_factory=dict)

    def acquire(self, team: Team, now: float) -> None:
        """Admit a request, whose end :meth:`release` reports.

        :raises ProblemError: when the team exceeds its rate or its concurrency.
        """
        entries = self.entry_count()
        rate = team.requests_per_second / entries
        burst = max(1.0, team.burst / entries)
        usage = self.usage_by_team.setdefault(team.name, TeamUsage(burst, now))
        usage.tokens = min(burst, usage.tokens + (now - usage.refilled_at) * rate)
        usage.refilled_at = now
        if usage.tokens < 1.0:
            raise ProblemError(_over_rate(team, (1.0 - usage.tokens) / rate))
        if usage.running >= ceil(team.max_concurrent / entries):
            raise ProblemError(_over_concurrency(team))
        usage.tokens -= 1.0
        usage.running += 1

    def release(self, team: str) -> None:
        """Report the end of an admitted request."""
        self.usage_by_team[team].running -= 1


def _over_rate(team: Team, wait_s: float) -> Problem:
    detail = f"team {team.name} exceeds its limit of {team.requests_per_second:g} requests/s"
    return Problem(429, ProblemCode.TEAM_LIMIT, detail, retry=True, retry_after_s=wait_s)


def _over_concurrency(team: Team) -> Problem:
    detail = f"team {team.name} exceeds its limit of {team.max_concurrent} requests in flight"
    return Problem(429, ProblemCode.TEAM_LIMIT, detail, retry=True, retry_after_s=1.0)
