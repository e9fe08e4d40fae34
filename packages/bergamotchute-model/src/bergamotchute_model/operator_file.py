"""The schema of operator files.

Each version of a file replaces the previous one completely; whatever it omits is no longer in
force.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from datetime import datetime
from enum import StrEnum
from typing import Annotated

from pydantic import AfterValidator, BeforeValidator, ConfigDict, Field

from bergamotchute_model.identifiers import Address

STRICT_SCHEMA = ConfigDict(extra="forbid", strict=True)

MAX_PRIORITY_LEVEL = 99

_UTC_TIME_PATTERN = re.compile(r"\d{4}-\d{2}-\d{2}T\d{2}:\d{2}(:\d{2})?Z", re.ASCII)


def _parse_utc_time(value: object) -> datetime:
    """Parse the text of a UTC time.

    :raises ValueError: for any other value; the message describes the allowed format.
    """
    try:
        if isinstance(value, str) and _UTC_TIME_PATTERN.fullmatch(value):
            return datetime.fromisoformat(value)
    except ValueError:
        pass
    raise ValueError("a UTC time such as 2026-01-31T22:00:00Z")


def _validate_address(value: str) -> str:
    """Return ``value`` unchanged if it has the form ``HOST:PORT``.

    :raises ValueError: for any other value; the message describes the allowed format.
    """
    try:
        Address.parse(value)
    except ValueError as error:
        raise ValueError("HOST:PORT with a port from 1 to 65535") from error
    return value


ResourceName = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]
ShortText = Annotated[str, Field(min_length=1, max_length=200)]
Sha256Hex = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
HttpMethod = Annotated[str, Field(pattern=r"^(GET|HEAD|OPTIONS|PUT|DELETE|POST|PATCH)$")]
DurationSeconds = Annotated[float, Field(ge=0.05, le=86_400)]
PositiveRatio = Annotated[float, Field(gt=0, le=1)]
PositiveCount = Annotated[int, Field(ge=1, le=1_000_000)]
UtcTime = Annotated[datetime, BeforeValidator(_parse_utc_time)]
AddressText = Annotated[str, AfterValidator(_validate_address)]


class ServiceKind(StrEnum):
    """Kind of the endpoints behind a service."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(frozen=True)
class Service:
    """A service that callers can send requests to.

    :param model: the model name in requests; only for services of kind ``model``.
    :param deadline_s: default deadline for requests that state none, in seconds.
    :param max_deadline_s: longest deadline that a request may state, in seconds.
    :param max_body_bytes: maximum size of a request body.
    :param idempotent_methods: HTTP methods whose requests may run more than once. Requests with
        other methods need an idempotency key and run at most once.
    :param max_tokens: maximum count of tokens in a response; 0 for no limit.
    :param long_tokens: expected token count from which a request is classified as long.
    :param long_share: ratio of a runner's slots that long requests may occupy.
    :param queue_count: maximum count of requests that wait in one entry.
    :param queue_bytes: maximum total size of the request bodies that wait in one entry.
    """

    name: ResourceName
    kind: ServiceKind
    model: Annotated[str, Field(max_length=200)] = ""
    deadline_s: DurationSeconds = 30.0
    max_deadline_s: DurationSeconds = 600.0
    max_body_bytes: Annotated[int, Field(ge=1, le=16_777_216)] = 1_048_576
    idempotent_methods: tuple[HttpMethod, ...] = ("GET", "HEAD")
    max_tokens: Annotated[int, Field(ge=0, le=10_000_000)] = 0
    long_tokens: PositiveCount = 512
    long_share: PositiveRatio = 0.5
    queue_count: PositiveCount = 1_024
    queue_bytes: Annotated[int, Field(ge=1_048_576, le=1_073_741_824)] = 33_554_432

    __pydantic_config__ = STRICT_SCHEMA

    def is_idempotent(self, method: str) -> bool:
        """Tell whether a request with ``method`` may run more than once."""
        return method in self.idempotent_methods


@dataclass(frozen=True)
class PriorityClass:
    """A priority class.

    :param level: 0 is the most urgent.
    """

    name: ResourceName
    level: Annotated[int, Field(ge=0, le=MAX_PRIORITY_LEVEL)]

    __pydantic_config__ = STRICT_SCHEMA


@dataclass(frozen=True)
class Team:
    """A group of callers that shares a token, a weight and limits.

    :param token_sha256: lower-case SHA-256 of the team's bearer token; never the token itself.
    :param services: names of the services that the team may call.
    :param priority: name of the team's priority class; empty for the most urgent level.
    :param weight: the team's share of a busy service, relative to other teams.
    :param requests_per_second: rate limit across all entries.
    :param burst: count of requests that may exceed the rate limit at once.
    :param max_concurrent: maximum count of requests in flight across all entries.
    """

    name: ResourceName
    token_sha256: Sha256Hex
    services: Annotated[tuple[ResourceName, ...], Field(min_length=1)]
    priority: Annotated[str, Field(max_length=64)] = ""
    weight: Annotated[float, Field(ge=0.01, le=1000)] = 1.0
    requests_per_second: Annotated[float, Field(gt=0, le=1_000_000)] = 10.0
    burst: PositiveCount = 20
    max_concurrent: PositiveCount = 64

    __pydantic_config__ = STRICT_SCHEMA


@dataclass(frozen=True)
class Drain:
    """Endpoints and entries that accept no new work; exactly one of the three keys is given."""

    endpoint: ResourceName | None = None
    vm: ResourceName | None = None
    availability_zone: ResourceName | None = None

    __pydantic_config__ = STRICT_SCHEMA

    def matches(self, endpoint: str, vm: str, availability_zone: str) -> bool:
        """Tell whether an endpoint or entry matches by its name, VM or availability zone."""
        return (
            endpoint == self.endpoint
            or vm == self.vm
            or availability_zone == self.availability_zone
        )


@dataclass(frozen=True)
class ModelTarget:
    """The model version, adapter and role that engines of a service should have loaded.

    :param endpoint: the endpoint that the target is for; ``None`` for all endpoints of the service
        without a target of their own.
    :param version: version of the service's model.
    :param adapter: name of the adapter to load with the model; empty if none.
    :param role: role of the engine.
    :param min_available: ratio of the service's endpoints that stay available during a change.
    """

    service: ResourceName
    version: ShortText
    endpoint: ResourceName | None = None
    adapter: Annotated[str, Field(max_length=200)] = ""
    role: Annotated[str, Field(pattern=r"^(serve|prefill|decode)$")] = "serve"
    min_available: PositiveRatio = 0.75

    __pydantic_config__ = STRICT_SCHEMA


@dataclass(frozen=True)
class PlannedChange:
    """A change that takes effect once, at a set time; exactly one of drain and load is given.

    :param at: time at which the change begins, in UTC; a time in the past begins it immediately.
    :param drain: endpoints and entries that are drained from then on.
    :param load: model target that replaces the one for the same service and endpoint.
    """

    name: ResourceName
    at: UtcTime
    drain: Drain | None = None
    load: ModelTarget | None = None

    __pydantic_config__ = STRICT_SCHEMA

    @property
    def decision_name(self) -> str:
        """Name of the decision that records the start of the change."""
        return f"planned-change/{self.name}"

    @property
    def decision_value(self) -> bytes:
        """Value of the decision: the time, so that a rescheduled change has yet to begin."""
        return self.at.isoformat().encode()


@dataclass(frozen=True)
class RankGroup:
    """A group of ranks that run in lockstep with one expert map.

    :param layers: count of layers that have experts.
    :param experts: count of experts per layer.
    :param slots_per_rank: count of experts per layer that a rank can hold.
    :param expert_bytes: size of the weights of one expert in one layer.
    :param store_bytes_per_second: rate limit for the group's reads from the weight store.
    :param rebalancing: whether the map is rebalanced automatically.
    """

    name: ResourceName
    service: ResourceName
    ranks: Annotated[int, Field(ge=1, le=1_024)]
    layers: Annotated[int, Field(ge=1, le=1_024)]
    experts: Annotated[int, Field(ge=1, le=4_096)]
    slots_per_rank: Annotated[int, Field(ge=1, le=4_096)]
    expert_bytes: Annotated[int, Field(ge=1, le=1_000_000_000_000)]
    store_bytes_per_second: Annotated[int, Field(ge=1, le=1_000_000_000_000)] = 1_000_000_000
    rebalancing: bool = True

    __pydantic_config__ = STRICT_SCHEMA


@dataclass(frozen=True)
class Voter:
    """A replica of the control log that votes.

    :param replica: the identity in its data folder; an emptied folder gets a new identity.
    :param address: address at which the process accepts links from other voters.
    """

    replica: ShortText
    address: AddressText
    availability_zone: ResourceName

    __pydantic_config__ = STRICT_SCHEMA


@dataclass(frozen=True)
class EntryLimits:
    """Limits that apply to every entry.

    :param address_lifetime_s: time for which callers may cache an address answer, in seconds.
    """

    address_lifetime_s: Annotated[float, Field(ge=1, le=600)] = 15.0

    __pydantic_config__ = STRICT_SCHEMA


@dataclass(frozen=True)
class OperatorFile:
    """One operator file.

    :param file: name of the file, unique among the files in force.
    :param number: one more than the number in force for that name; 1 for a new file.
    """

    file: ResourceName
    number: Annotated[int, Field(ge=1, le=1_000_000_000)]
    services: tuple[Service, ...] = ()
    priorities: tuple[PriorityClass, ...] = ()
    teams: tuple[Team, ...] = ()
    drains: tuple[Drain, ...] = ()
    planned_changes: tuple[PlannedChange, ...] = ()
    models: tuple[ModelTarget, ...] = ()
    rank_groups: tuple[RankGroup, ...] = ()
    voters: tuple[Voter, ...] = ()
    limits: EntryLimits | None = field(default=None)

    __pydantic_config__ = STRICT_SCHEMA
