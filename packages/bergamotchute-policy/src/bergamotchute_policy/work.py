"""What a scheduler knows of a request, and what it decides about it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from bergamotchute_model.problem import Problem


class Size(StrEnum):
    """The class of a request by its expected work."""

    SHORT = "short"
    LONG = "long"


@dataclass(frozen=True)
class Work:
    """A request as the scheduler sees it.

    :param request_id: unique over all entries.
    :param tokens: the work that it is expected to cost, in tokens of generation.
    :param deadline: when its caller gives up, on the runtime's clock.
    :param body_bytes: memory that it holds while it waits.
    :param idempotent: whether it may run more than once.
    :param priority: 0 is the most urgent; orders requests of one size at the engine.
    :param prefix: a hash of the prompt's beginning; 0 for none.
    :param avoid: endpoints that failed it before, taken only when no other has room.
    """

    request_id: str
    service: str
    team: str
    tokens: float
    size: Size
    deadline: float
    body_bytes: int = 0
    idempotent: bool = True
    priority: int = 0
    prefix: int = 0
    avoid: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Dispatch:
    """Send the request to this endpoint now.

    :param incarnation: the life of the endpoint's agent that the attempt is addressed to.
    :param engine_priority: what to tell the engine; 0 is the most urgent.
    """

    work: Work
    endpoint: str
    incarnation: str
    engine_priority: int


@dataclass(frozen=True)
class Shed:
    """Refuse the request now; it did not run.

    :param problem: what to answer; its verdict is ``NOT_RUN``.
    """

    work: Work
    problem: Problem


Decision = Dispatch | Shed
