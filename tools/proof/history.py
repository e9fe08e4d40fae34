"""What was seen from outside during a run: by callers, engines, ranks and operators.

Times are seconds of the runtime clock. A call carries its name inside its body, so that an engine
knows which call it executes without any identifier that the system made.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TypeVar


class Ending(StrEnum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    CUT = "cut"
    LEFT = "left"


@dataclass(frozen=True)
class CallSent:
    """A caller sent a request.

    :param call: the caller's name for the work; a resend has the same.
    :param number: counts the sendings of one call from 1.
    :param entry: where it was sent to.
    :param key: the idempotency key of a non-idempotent request; empty for an idempotent one.
    :param expected: the whole right answer; empty when any answer is right.
    :param deadline_s: when the caller gives up.
    """

    at_s: float
    call: str
    number: int
    entry: str
    key: str
    expected: str
    deadline_s: float


@dataclass(frozen=True)
class CallEnded:
    """A caller's request ended.

    :param verdict: what the caller was told of its execution; empty when it was told nothing.
    :param answer: the answer's text, as far as it came.
    :param code: the problem's code; empty for none.
    """

    at_s: float
    call: str
    number: int
    ending: Ending
    verdict: str
    answer: str
    code: str = ""


@dataclass(frozen=True)
class ExecutionStarted:
    """An endpoint began to execute a call.

    :param execution: tells executions apart.
    """

    at_s: float
    endpoint: str
    execution: int
    call: str


@dataclass(frozen=True)
class ExecutionEnded:
    """An endpoint's execution ended.

    :param completed: it ran to its end.
    :param crashed: the endpoint died under it.
    """

    at_s: float
    endpoint: str
    execution: int
    completed: bool
    crashed: bool = False


@dataclass(frozen=True)
class EndpointLeaving:
    """An endpoint was told to leave, by a file or by its agent."""

    at_s: float
    endpoint: str


@dataclass(frozen=True)
class EndpointReturned:
    """An endpoint that was leaving was told to stay, or came back as a new life."""

    at_s: float
    endpoint: str


@dataclass(frozen=True)
class StopPlanned:
    """A process was told to stop in order."""

    at_s: float
    process: str


@dataclass(frozen=True)
class FaultBrought:
    """A fault was brought about at a process."""

    at_s: float
    process: str
    kind: str


@dataclass(frozen=True)
class ProcessEnded:
    """A process ended.

    :param planned: it ended by itself after it was told to.
    """

    at_s: float
    process: str
    planned: bool


@dataclass(frozen=True)
class RankStepped:
    """A rank ran one step.

    :param expert_map: digest of the map it used.
    """

    at_s: float
    group: str
    rank: int
    step: int
    expert_map: str


@dataclass(frozen=True)
class ChangeAccepted:
    """An operator was told that a file is accepted."""

    at_s: float
    revision: int
    file: str
    number: int
    digest: str


@dataclass(frozen=True)
class ViewUsed:
    """A process takes work under this revision, from now until the next such event."""

    at_s: float
    process: str
    revision: int


@dataclass(frozen=True)
class ViewDropped:
    """A process takes no work until it uses a view again."""

    at_s: float
    process: str


HistoryEvent = (
    CallSent
    | CallEnded
    | ExecutionStarted
    | ExecutionEnded
    | EndpointLeaving
    | EndpointReturned
    | StopPlanned
    | FaultBrought
    | ProcessEnded
    | RankStepped
    | ChangeAccepted
    | ViewUsed
    | ViewDropped
)
E = TypeVar("E")


@dataclass
class History:
    """All that was seen, in the order in which it was seen.

    :param ended_at_s: when the run was over.
    """

    events: list[HistoryEvent] = field(default_factory=list)
    ended_at_s: float = 0.0

    def add(self, event: HistoryEvent) -> None:
        """Append one event."""
        self.events.append(event)
        self.ended_at_s = max(self.ended_at_s, event.at_s)

    def of(self, kind: type[E]) -> Iterator[E]:
        """Yield the events of one kind in order."""
        return (event for event in self.events if isinstance(event, kind))
