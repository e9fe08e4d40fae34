"""The description of a rank group and its load, read from a TOML file."""

from __future__ import annotations

import tomllib
from pathlib import Path

from pydantic import TypeAdapter
from pydantic.dataclasses import dataclass

from bergamotchute_model.versioned_configuration import EnginePerformance


@dataclass(frozen=True)
class GroupShape:
    """The ranks of the group and the processes around them.

    :param zones: count of availability zones, over which ranks and entries are spread evenly.
    :param first_event_s: time from the end of the pass that reads the end of a prompt to the first
        event, in seconds.
    :param handover_s: time from the end of a request until the next one of the queue has reached the
        endpoint, in seconds; it misses the pass that begins meanwhile.
    :param switch_s: time to prepare all ranks and to hold and arm a pass, without copying, in
        seconds.
    :param plan_step_s: time of one planning step on the VM that plans maps, in seconds.
    """

    ranks: int
    entries: int
    zones: int = 3
    first_event_s: float = 0.07
    handover_s: float = 0.0
    switch_s: float = 0.2
    plan_step_s: float = 0.001


@dataclass(frozen=True)
class ExpertDemandShape:
    """How unevenly the requests select experts, and how the selection moves.

    :param zipf: exponent of the popularity of the experts of a set, by their order.
    :param shift_every_s: interval between two abrupt shifts, in seconds.
    :param shift_share: share of the experts that exchange their popularity in one shift.
    """

    zipf: float
    shift_every_s: float
    shift_share: float


@dataclass(frozen=True)
class RequestKind:
    """A kind of stream request.

    :param per_s: mean arrivals per second.
    :param prompt: mean count of prompt tokens.
    :param events: mean count of events, each of one pass.
    :param spread: standard deviation of the logarithm of both.
    :param worth: value of a response that meets both objectives.
    :param late_worth: share of the value that a late response keeps.
    """

    name: str
    per_s: float
    prompt: float
    events: float
    objective_s: float
    pause_s: float
    worth: float = 1.0
    late_worth: float = 0.4
    priority: int = 1
    spread: float = 0.8
    deadline_s: float = 8.0


@dataclass(frozen=True)
class Crest:
    """A time in which more requests arrive.

    :param kind: the kind that arrives more often; empty for all kinds.
    """

    at: float
    for_s: float
    factor: float
    kind: str = ""


@dataclass(frozen=True)
class SlowRanks:
    """A time in which some ranks are slow.

    :param factor: how many times longer their part of each pass takes.
    """

    at: float
    for_s: float
    factor: float
    count: int = 1


@dataclass(frozen=True)
class Outage:
    """A time in which no request is taken; callers return together when it ends, with a new map."""

    at: float
    for_s: float


@dataclass(frozen=True)
class GroupFile:
    """A rank group, its load and what disturbs it.

    :param seconds: length of the simulated time.
    """

    group: GroupShape
    engine: EnginePerformance
    demand: ExpertDemandShape
    kinds: tuple[RequestKind, ...]
    crests: tuple[Crest, ...] = ()
    slow: tuple[SlowRanks, ...] = ()
    outages: tuple[Outage, ...] = ()
    seconds: float = 30.0


def read_group_file(path: Path) -> GroupFile:
    """Read a group file.

    :raises pydantic.ValidationError: when a field is missing or invalid.
    """
    return TypeAdapter(GroupFile).validate_python(tomllib.loads(path.read_text()))
