"""A configuration of one whole version: routes, services, teams and what callers may send."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """What may be repeated.

    A stream is idempotent exactly where its route says that it may be resumed.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(frozen=True)
class ServiceShare:
    """The part of a route's requests that one service gets.

    :param weight: relative to the other shares of the route.
    """

    service: str
    weight: int


@dataclass(frozen=True)
class RouteRule:
    """Where requests under one host and path go, and what they are owed.

    :param path_prefix: begins and ends with a slash.
    :param shares: at least one, with a positive sum of weights.
    :param timeout_s: longest wait that the operator wants, in seconds.
    :param objective_s: time to the answer, or to a stream's first event, for full credit.
    :param priority: 0 is the highest.
    :param max_endpoints: endpoints that one request may be sent to.
    :param open_to_all: whether no team key is needed.
    :param resumable: whether a stream may go on at another endpoint.
    :param gap_objective_s: longest pause between a stream's events for full credit.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    objective_s: float
    priority: int
    max_endpoints: int
    open_to_all: bool
    resumable: bool
    gap_objective_s: float

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True)
class EngineFigures:
    """How fast the engines of a service work, and how their ranks hold experts.

    :param slots: requests that an engine runs at once.
    :param memory_tokens: tokens that its memory holds.
    :param step_s: time of a token step without load, in seconds.
    :param step_per_request_s: what each running request adds to a step.
    :param step_per_context_token_s: what each token of running requests' context adds to a step.
    :param prefill_tokens_per_s: prompt tokens read in a second.
    :param prefill_chunk: prompt tokens read in one step at the most.
    :param stride: steps in one pass while any request writes.
    :param usual_prompt: mean prompt tokens.
    :param usual_output: mean output tokens.
    :param expert_sets: sets of layers that share a choice of experts; 0 where engines have none.
    :param experts: experts in a set.
    :param placements: experts that a rank can hold in a set.
    :param spare: experts of a set that a rank can copy for one new map.
    :param expert_share: part of a token's work that its experts do.
    :param expert_copy_s: how long a rank takes to copy one expert, in seconds.
    """

    slots: int
    memory_tokens: int
    step_s: float
    step_per_request_s: float
    step_per_context_token_s: float
    prefill_tokens_per_s: float
    prefill_chunk: int
    stride: int
    usual_prompt: float
    usual_output: float
    expert_sets: int = 0
    experts: int = 0
    placements: int = 0
    spare: int = 0
    expert_share: float = 0.0
    expert_copy_s: float = 0.0


@dataclass(frozen=True)
class ServiceRule:
    """A service that routes name.

    :param max_connections: connections that one endpoint accepts from all callers.
    :param engine: ``None`` for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineFigures | None = None


@dataclass(frozen=True)
class TeamRule:
    """A team and its keys.

    :param priority: goes before the route's where given.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send and how long it may take; sizes in bytes, times in seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class WholeConfiguration:
    """All that an operator put in force under one version."""

    version: int
    routes: tuple[RouteRule, ...] = ()
    services: tuple[ServiceRule, ...] = ()
    teams: tuple[TeamRule, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
