"""A versioned configuration of routes, services, teams and limits for callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """Kind of a route, which determines whether its requests may be repeated.

    A stream is idempotent only if its route allows it to be resumed.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(frozen=True)
class RouteShare:
    """The share of a route's requests that is sent to one service.

    :param weight: weight relative to the other shares of the route.
    """

    service: str
    weight: int


@dataclass(frozen=True)
class RouteRule:
    """Services, limits and objectives for requests under one host and path.

    :param path_prefix: begins and ends with a slash.
    :param shares: at least one, with a positive sum of weights.
    :param timeout_s: timeout of a request as set by the operator, in seconds.
    :param objective_s: objective for the time to the response, or to a stream's first event, in
        seconds.
    :param priority: 0 is the highest.
    :param max_endpoints: maximum count of endpoints that a request may be sent to.
    :param open_to_all: whether requests need no team key.
    :param resumable: whether a stream may be resumed at another endpoint.
    :param gap_objective_s: objective for the longest pause between events of a stream, in seconds.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[RouteShare, ...]
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

    def priority_for(self, team_priority: int | None) -> int:
        """Return the priority of a request: that of its team goes before that of the route.

        :param team_priority: ``None`` if the team has none, or there is no team.
        """
        return self.priority if team_priority is None else team_priority


@dataclass(frozen=True)
class EnginePerformance:
    """Performance of a service's engines and expert capacity of their ranks.

    :param slots: count of requests that an engine can run concurrently.
    :param memory_tokens: count of tokens that fit into an engine's memory.
    :param step_s: duration of a token step without load, in seconds.
    :param step_per_request_s: time that each running request adds to a step, in seconds.
    :param step_per_context_token_s: time that each context token of the running requests adds to a
        step, in seconds.
    :param prefill_tokens_per_s: prompt tokens processed per second.
    :param prefill_chunk: maximum count of prompt tokens processed in one step.
    :param stride: count of steps in a pass while any request generates output.
    :param usual_prompt: mean count of prompt tokens.
    :param usual_output: mean count of output tokens.
    :param expert_sets: count of expert sets, each a set of layers that share a choice of experts; 0
        for engines without experts.
    :param experts: count of experts per expert set.
    :param placements: count of experts per expert set that a rank can hold.
    :param spare: count of experts per expert set that a rank can copy for one new map.
    :param expert_share: ratio of a token's work that is done by its experts.
    :param expert_copy_s: time in which a rank copies one expert, in seconds.
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
    """A service to which routes send requests.

    :param max_connections: count of connections that an endpoint accepts in total.
    :param engine: ``None`` for a plain service.
    :param cold_s: time for which an endpoint is cold after its start, in seconds.
    :param cold_per_s: requests a second for a cold endpoint, over all entries; 0 for no limit.
    """

    name: str
    max_connections: int
    engine: EnginePerformance | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True)
class TeamRule:
    """A team and its keys.

    :param priority: overrides the priority of the route; ``None`` to keep it.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True)
class RequestLimits:
    """Limits for requests from callers; sizes in bytes, times in seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class VersionedConfiguration:
    """The complete configuration that an operator put in force under one version."""

    version: int
    routes: tuple[RouteRule, ...] = ()
    services: tuple[ServiceRule, ...] = ()
    teams: tuple[TeamRule, ...] = ()
    limits: RequestLimits = field(default_factory=RequestLimits)
