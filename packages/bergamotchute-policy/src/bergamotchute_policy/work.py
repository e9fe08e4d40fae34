"""The scheduler's view of a request, and its decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from bergamotchute_model.problem import Problem


class RequestSize(StrEnum):
    """The class of a request by its expected work."""

    SHORT = "short"
    LONG = "long"


@dataclass(frozen=True)
class Work:
    """A request as the scheduler sees it.

    :param request_id: unique over all entries.
    :param expected_tokens: expected work, in generated tokens.
    :param deadline: when the caller gives up, on the runtime's clock.
    :param body_bytes: memory held by the request body while the request waits.
    :param idempotent: whether the request may run more than once.
    :param priority: 0 is the most urgent; orders requests of one size at the engine.
    :param prefix_hash: hash of the beginning of the prompt; 0 for none.
    :param avoided_endpoints: endpoints that failed the request, used only if no other has room.
    """

    request_id: str
    service: str
    team: str
    expected_tokens: float
    size: RequestSize
    deadline: float
    body_bytes: int = 0
    idempotent: bool = True
    priority: int = 0
    prefix_hash: int = 0
    avoided_endpoints: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Dispatch:
    """The decision to send a request to an endpoint now.

    :param incarnation: incarnation of the endpoint's agent that the attempt is addressed to.
    :param engine_priority: priority passed to the engine; 0 is the most urgent.
    """

    work: Work
    endpoint: str
    incarnation: str
    engine_priority: int


@dataclass(frozen=True)
class Shed:
    """The decision to refuse a request now, before it ran.

    :param problem: the answer to the caller; its verdict is ``NOT_RUN``.
    """

    work: Work
    problem: Problem


Decision = Dispatch | Shed
