"""A scenario as typed data; :mod:`tools.proof.scenario_parser` reads it from text."""

from __future__ import annotations

from dataclasses import dataclass
from fnmatch import fnmatchcase


@dataclass(frozen=True)
class RunnerGroup:
    """Endpoints that are alike, named after their service: ``drafts-1``, ``drafts-2``, ...

    :param speed: tokens a second of each request.
    :param work_s: how long a call of a plain service takes.
    :param plain: a plain service rather than a model engine.
    """

    service: str
    count: int
    slots: int = 4
    speed: int = 50
    work_s: float = 0.05
    plain: bool = False

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of the endpoints."""
        return tuple(f"{self.service}-{index + 1}" for index in range(self.count))


@dataclass(frozen=True)
class RankGroup:
    """A group of ranks in lock-step."""

    name: str
    ranks: int
    experts: int


@dataclass(frozen=True)
class Call:
    """A caller sends work.

    :param kind: ``draft`` (streamed, idempotent), ``order`` (non-idempotent) or ``check``.
    :param service: where it goes; empty for the first group that fits the kind.
    :param through: the entry; empty for the next in turn.
    """

    kind: str
    name: str
    tokens: int = 16
    service: str = ""
    team: str = "team-1"
    within_s: float = 30.0
    through: str = ""
    priority: int = 5


@dataclass(frozen=True)
class Operation:
    """An operator acts: ``drain``, ``return``, ``stop``, ``apply``, ``change``, ``rebalance``.

    :param target: an endpoint, process, file or rank group.
    :param number: the number of the applied file.
    :param variant: tells apart contents under one number.
    """

    kind: str
    target: str
    number: int = 0
    variant: str = ""
    through: str = ""


@dataclass(frozen=True)
class Fault:
    """Something fails.

    :param for_s: how long; 0 for good.
    :param by_s: by how much a delay delays or a clock jumps.
    :param times: how many times slower a store gets.
    :param direction: ``inward`` or ``outward`` for a partition of one way; empty for both.
    :param loses_unsynced: a crash also loses bytes that were not synced.
    """

    kind: str
    target: str
    for_s: float = 0.0
    by_s: float = 0.0
    times: int = 1
    direction: str = ""
    loses_unsynced: bool = False


Action = Call | Operation | Fault


@dataclass(frozen=True)
class Step:
    """An action at a moment, with the line that it stands on."""

    at_s: float
    action: Action
    line: int


@dataclass(frozen=True)
class Expectation:
    """What a scenario expects besides the promises, which are always checked.

    :param pattern: names of calls or files, ``*`` for any characters.
    :param outcome: how they end, or ``runs``.
    :param runs: executions of each, for ``runs``.
    :param at_least: how many of them; 0 for all.
    :param within_s: from sending to end; 0 for any time.
    """

    pattern: str
    outcome: str
    line: int
    runs: int = 0
    at_least: int = 0
    within_s: float = 0.0

    def covers(self, name: str) -> bool:
        """Return whether ``name`` is meant."""
        return fnmatchcase(name, self.pattern)


@dataclass(frozen=True)
class Scenario:
    """A scenario as read.

    :param entries: entry VMs; the first ``voters`` of them hold a disk and a vote.
    """

    title: str
    zones: tuple[str, ...] = ("milano-a", "bergamo-b", "brescia-c")
    entries: int = 3
    voters: int = 3
    runners: tuple[RunnerGroup, ...] = ()
    groups: tuple[RankGroup, ...] = ()
    steps: tuple[Step, ...] = ()
    expectations: tuple[Expectation, ...] = ()

    @property
    def entry_names(self) -> tuple[str, ...]:
        """Return the names of the entries."""
        return tuple(f"entry-{index + 1}" for index in range(self.entries))

    @property
    def names(self) -> tuple[str, ...]:
        """Return all names that an operation or a fault may aim at."""
        endpoints = tuple(name for group in self.runners for name in group.names)
        groups = tuple(group.name for group in self.groups)
        return self.entry_names + endpoints + groups

    @property
    def length_s(self) -> float:
        """Return the moment of the last step."""
        return max((step.at_s for step in self.steps), default=0.0)
