"""The schema of operator files: what a file may say.

Each file is a whole: what it no longer says is no longer in force.
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
    """Read the text of a time in UTC.

    :raises ValueError: for any other value.
    """
    try:
        if isinstance(value, str) and _UTC_TIME_PATTERN.fullmatch(value):
            return datetime.fromisoformat(value)
    except ValueError:
        pass
    raise ValueError("a UTC time such as 2026-01-31T22:00:00Z")


def _validate_address(value: str) -> str:
    """Pass ``HOST:PORT``.

    :raises ValueError: for another form.
    """
    try:
        Address.parse(value)
    except ValueError as error:
        raise ValueError("HOST:PORT with a port from 1 to 65535") from error
    return value


Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]
ShortText = Annotated[str, Field(min_length=1, max_length=200)]
Sha256Hex = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
HttpMethod = Annotated[str, Field(pattern=r"^(GET|HEAD|OPTIONS|PUT|DELETE|POST|PATCH)$")]
Seconds = Annotated[float, Field(ge=0.05, le=86_400)]
PositiveRatio = Annotated[float, Field(gt=0, le=1)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
UtcTime = Annotated[datetime, BeforeValidator(_parse_utc_time)]
AddressText = Annotated[str, AfterValidator(_validate_address)]


class ServiceKind(StrEnum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(frozen=True)
class Service:
    """Something that callers can send requests to.

    :param model: the model name that requests carry; for services of kind ``model`` alone.
    :param deadline_s: time for an answer where the request names none.
    :param max_deadline_s: the longest time that a request may name.
    :param max_body_bytes: the largest request body.
    :param idempotent_methods: HTTP methods whose requests may run more than once. Requests with
        others need an idempotency key and run at most once.
    :param max_tokens: the most tokens that one answer may have; 0 for no bound.
    :param long_tokens: expected tokens from which a request counts as long.
    :param long_share: the part of a runner's slots that long requests may hold.
    :param queue_count: requests that may wait at one entry.
    :param queue_bytes: bytes of request bodies that may wait at one entry.
    """

    name: Name
    kind: ServiceKind
    model: Annotated[str, Field(max_length=200)] = ""
    deadline_s: Seconds = 30.0
    max_deadline_s: Seconds = 600.0
    max_body_bytes: Annotated[int, Field(ge=1, le=16_777_216)] = 1_048_576
    idempotent_methods: tuple[HttpMethod, ...] = ("GET", "HEAD")
    max_tokens: Annotated[int, Field(ge=0, le=10_000_000)] = 0
    long_tokens: Count = 512
    long_share: PositiveRatio = 0.5
    queue_count: Count = 1_024
    queue_bytes: Annotated[int, Field(ge=1_048_576, le=1_073_741_824)] = 33_554_432

    __pydantic_config__ = STRICT_SCHEMA

    def is_idempotent(self, method: str) -> bool:
        """Tell whether a request with ``method`` may run more than once."""
        return method in self.idempotent_methods


@dataclass(frozen=True)
class PriorityClass:
    """A class of urgency.

    :param level: 0 is the most urgent.
    """

    name: Name
    level: Annotated[int, Field(ge=0, le=MAX_PRIORITY_LEVEL)]

    __pydantic_config__ = STRICT_SCHEMA


@dataclass(frozen=True)
class Team:
    """A group of callers that shares a token, a weight and limits.

    :param token_sha256: lower-case SHA-256 of the team's bearer token; never the token itself.
    :param services: the services that it may call.
    :param priority: its priority class; empty for the most urgent level.
    :param weight: its share of a busy service, relative to the other teams.
    :param requests_per_second: its rate over all entries.
    :param burst: requests that may come at once above the rate.
    :param max_concurrent: requests in flight over all entries.
    """

    name: Name
    token_sha256: Sha256Hex
    services: Annotated[tuple[Name, ...], Field(min_length=1)]
    priority: Annotated[str, Field(max_length=64)] = ""
    weight: Annotated[float, Field(ge=0.01, le=1000)] = 1.0
    requests_per_second: Annotated[float, Field(gt=0, le=1_000_000)] = 10.0
    burst: Count = 20
    max_concurrent: Count = 64

    __pydantic_config__ = STRICT_SCHEMA


@dataclass(frozen=True)
class Drain:
    """Endpoints and entries that take no new work; exactly one of the three is given."""

    endpoint: Name | None = None
    vm: Name | None = None
    availability_zone: Name | None = None

    __pydantic_config__ = STRICT_SCHEMA

    def covers(self, endpoint: str, vm: str, availability_zone: str) -> bool:
        """Tell whether an endpoint, by name, VM or zone, is drained by this."""
        return (
            endpoint == self.endpoint
            or vm == self.vm
            or availability_zone == self.availability_zone
        )


@dataclass(frozen=True)
class ModelTarget:
    """What the engines of a service, or one of them, shall have loaded.

    :param endpoint: the one endpoint that this is for; ``None`` for all of the service that no
        other target names.
    :param version: the version of the service's model.
    :param adapter: the adapter on top; empty for none.
    :param role: the engine's role.
    :param min_available: the part of the service's endpoints that a change leaves in service.
    """

    service: Name
    version: ShortText
    endpoint: Name | None = None
    adapter: Annotated[str, Field(max_length=200)] = ""
    role: Annotated[str, Field(pattern=r"^(serve|prefill|decode)$")] = "serve"
    min_available: PositiveRatio = 0.75

    __pydantic_config__ = STRICT_SCHEMA


@dataclass(frozen=True)
class PlannedChange:
    """A change that takes effect once, at a set time; exactly one of the changes is given.

    :param at: when it begins, in UTC; one that lies in the past begins at once.
    :param drain: what is drained from then on.
    :param load: the target that replaces the one for the same service and endpoint.
    """

    name: Name
    at: UtcTime
    drain: Drain | None = None
    load: ModelTarget | None = None

    __pydantic_config__ = STRICT_SCHEMA

    @property
    def decision_name(self) -> str:
        """The name of the decision that the change has begun."""
        return f"planned-change/{self.name}"

    @property
    def decision_value(self) -> bytes:
        """What the decision says; a change that is given a new time has yet to begin."""
        return self.at.isoformat().encode()


@dataclass(frozen=True)
class RankGroup:
    """A group of ranks that run in lock-step on one expert map.

    :param layers: layers that have experts.
    :param experts: experts a layer.
    :param slots_per_rank: experts of one layer that a rank can hold.
    :param expert_bytes: weights of one expert of one layer.
    :param store_bytes_per_second: what the group may draw from the weight store.
    :param rebalancing: whether the map may change by itself.
    """

    name: Name
    service: Name
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
    """A replica of the control log that has a vote.

    :param replica: the identity in its data folder; an emptied folder gets a new one.
    :param address: where its process listens for the others.
    """

    replica: ShortText
    address: AddressText
    availability_zone: Name

    __pydantic_config__ = STRICT_SCHEMA


@dataclass(frozen=True)
class Limits:
    """Bounds that hold for every entry.

    :param address_lifetime_s: how long callers may keep an address answer.
    """

    address_lifetime_s: Annotated[float, Field(ge=1, le=600)] = 15.0

    __pydantic_config__ = STRICT_SCHEMA


@dataclass(frozen=True)
class OperatorFile:
    """One operator file.

    :param file: its name; the files in force are told apart by it.
    :param number: one more than the number in force under that name; 1 at first.
    """

    file: Name
    number: Annotated[int, Field(ge=1, le=1_000_000_000)]
    services: tuple[Service, ...] = ()
    priorities: tuple[PriorityClass, ...] = ()
    teams: tuple[Team, ...] = ()
    drains: tuple[Drain, ...] = ()
    planned_changes: tuple[PlannedChange, ...] = ()
    models: tuple[ModelTarget, ...] = ()
    rank_groups: tuple[RankGroup, ...] = ()
    voters: tuple[Voter, ...] = ()
    limits: Limits | None = field(default=None)

    __pydantic_config__ = STRICT_SCHEMA
