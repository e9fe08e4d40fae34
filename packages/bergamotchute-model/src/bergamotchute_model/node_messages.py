"""Messages between control VMs and the processes that follow them: entries and agents."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Literal

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.identifiers import Address


@dataclass(frozen=True)
class EntryState:
    """An entry says where callers reach it, and whether they may be sent there."""

    name: str
    address: Address
    availability_zone: str
    open: bool
    kind: Literal["entry_state"] = "entry_state"


@dataclass(frozen=True)
class AgentState:
    """An agent says beside which rank of which group it runs.

    :param address: where its links arrive.
    :param endpoint: the address of the endpoint beside it.
    :param size: ranks of the group.
    :param open: whether the group takes work.
    """

    name: str
    address: Address
    endpoint: Address
    group: str
    rank: int
    size: int
    open: bool
    kind: Literal["agent_state"] = "agent_state"


@dataclass(frozen=True)
class RankPlace:
    """Where an endpoint that is a rank stands.

    :param agent: where the links of the agent beside it arrive.
    :param takes_work: whether its group takes work.
    """

    endpoint: Address
    agent: Address
    group: str
    takes_work: bool


@dataclass(frozen=True)
class RankPlaces:
    """The places of some endpoints."""

    places: tuple[RankPlace, ...]
    kind: Literal["rank_places"] = "rank_places"


@dataclass(frozen=True)
class LoadsTold:
    """Requests that run or wait at endpoints, read beside them a moment ago."""

    loads: tuple[tuple[Address, int], ...]
    kind: Literal["loads_told"] = "loads_told"


@dataclass(frozen=True)
class GroupMember:
    """A rank of a group and the agent beside it."""

    rank: int
    agent: Address
    endpoint: Address


@dataclass(frozen=True)
class CommanderAssigned:
    """The leader of the control group names the agent that commands a rank group.

    :param fence: grows with each assignment; orders under an older one are refused.
    :param earlier: the commander before this one; ``None`` where the leader knows none.
    """

    group: str
    fence: int
    commander: Address
    members: tuple[GroupMember, ...]
    earlier: Address | None = None
    kind: Literal["commander_assigned"] = "commander_assigned"


@dataclass(frozen=True)
class ConfigurationVersion:
    """The version in force at the sender, which a quorum confirmed after the link opened."""

    version: int
    kind: Literal["configuration_version"] = "configuration_version"


@dataclass(frozen=True)
class AskConfiguration:
    """An entry wants the text of the configuration in force."""

    kind: Literal["ask_configuration"] = "ask_configuration"


@dataclass(frozen=True)
class ConfigurationText:
    """The configuration in force at the sender.

    :param packed: its text, compressed with zlib: each version goes to each entry whole.
    """

    version: int
    packed: bytes
    kind: Literal["configuration_text"] = "configuration_text"


@dataclass(frozen=True)
class HeartbeatsHeard:
    """Heartbeats with news, or the newest of every endpoint that the sender knows."""

    heartbeats: tuple[EndpointHeartbeat, ...]
    kind: Literal["heartbeats_heard"] = "heartbeats_heard"


@dataclass(frozen=True)
class DeparturesRecorded:
    """Lives of endpoints that the log holds as leaving: identifier and start of the life."""

    departures: tuple[tuple[str, int], ...]
    kind: Literal["departures_recorded"] = "departures_recorded"


@dataclass(frozen=True)
class DepartureSeen:
    """An entry read in an endpoint's answer that this life of it is leaving."""

    endpoint: str
    born_ms: int
    kind: Literal["departure_seen"] = "departure_seen"


@dataclass(frozen=True)
class ControlGroup:
    """The control VMs' link addresses.

    :param leading_term: the term that the sender leads; 0 while it does not lead.
    :param current: whether the sender leads or has heard of a leader lately.
    """

    addresses: tuple[Address, ...]
    leading_term: int
    current: bool = True
    kind: Literal["control_group"] = "control_group"


@dataclass(frozen=True)
class FollowLoads:
    """An entry wants to be told the loads of endpoints by this control VM."""

    kind: Literal["follow_loads"] = "follow_loads"


@dataclass(frozen=True)
class ControlPeer:
    """A control VM tells another one of what it hears.

    :param address: where links of the sender arrive.
    """

    address: Address
    kind: Literal["control_peer"] = "control_peer"


@dataclass(frozen=True)
class NodesLinked:
    """Entries and agents that are linked to the sender, a control VM.

    :param gone: names of those that are not linked any more.
    :param whole: whether these are all; else what changed.
    """

    entries: tuple[EntryState, ...]
    agents: tuple[AgentState, ...]
    gone: tuple[str, ...]
    whole: bool
    kind: Literal["nodes_linked"] = "nodes_linked"


@dataclass(frozen=True)
class RankCounts:
    """How often each expert was chosen by a rank's requests since the last message.

    :param epoch: the life of the rank's group.
    :param step: the newest pass that the rank began.
    :param counts: set by set, for each expert.
    """

    rank: int
    epoch: int
    step: int
    counts: tuple[int, ...]
    kind: Literal["rank_counts"] = "rank_counts"


@dataclass(frozen=True)
class RankStatus:
    """The state of a rank, read on its own VM.

    :param size: ranks of the group.
    :param open: whether the group takes work.
    :param requests: requests that run or wait there.
    :param step: the newest pass that was begun.
    :param map_version: the expert map in use.
    :param prepared: the version whose copy is complete; ``None`` without one.
    :param armed: version and pass of a switch to come; ``None`` without one.
    :param held: the pass that the group won't begin; ``None`` without one.
    :param order: number of the order that this answers; 0 for an unasked status.
    :param accepted: whether that order took effect or had before; ``None`` where the rank gave no
        answer, so that it may still be carried out.
    :param base_missing: the order was not given, as the map that it is based on is not known here.
    :param detail: the rank's answer, for logs.
    :param experts: the experts of this rank by set, where they were asked for.
    """

    group: str
    rank: int
    size: int
    epoch: int
    open: bool
    requests: int
    step: int
    map_version: int
    prepared: int | None
    armed: tuple[int, int] | None
    held: int | None
    order: int = 0
    accepted: bool | None = None
    detail: str = ""
    experts: tuple[tuple[int, ...], ...] = ()
    base_missing: bool = False
    kind: Literal["rank_status"] = "rank_status"


class SlotState(StrEnum):
    """What became of a wish for a slot."""

    RESERVED = "reserved"
    WAITING = "waiting"
    REFUSED = "refused"


class RankAction(StrEnum):
    """What a rank is ordered to do.

    ``READ`` and ``LIST`` change nothing; ``LIST`` also asks for the rank's experts.
    """

    PREPARE = "prepare"
    ARM = "arm"
    DISARM = "disarm"
    HOLD = "hold"
    GO = "go"
    READ = "read"
    LIST = "list"

    @property
    def is_read(self) -> bool:
        """Whether it changes nothing at the rank."""
        return self in (RankAction.READ, RankAction.LIST)


@dataclass(frozen=True)
class RankOrder:
    """The commander of a rank group wants one order given to a rank, and its status back.

    :param order: number of this order, answered in :class:`RankStatus`.
    :param experts: for ``PREPARE``, the experts of every rank: by set, by rank.
    :param base: for ``PREPARE``, the version that ``changes`` are based on in place of
        ``experts``; 0 where the whole map is given.
    :param changes: set, rank and the experts that it holds there in the new map.
    """

    order: int
    fence: int
    epoch: int
    action: RankAction
    version: int = 0
    step: int = 0
    experts: tuple[tuple[tuple[int, ...], ...], ...] = ()
    base: int = 0
    changes: tuple[tuple[int, int, tuple[int, ...]], ...] = ()
    kind: Literal["rank_order"] = "rank_order"


@dataclass(frozen=True)
class ReserveSlot:
    """An entry asks an agent for a slot of the endpoint beside it.

    :param number: names the reservation on its link.
    :param most: requests there with which the slot is still wanted.
    :param queue: the request waits for a slot if fewer others do.
    :param due_s: in how many seconds it must begin to be in time; below zero for a late one.
    :param priority: 0 is the most urgent.
    :param patience_s: in how many seconds it must have begun, as its caller leaves.
    """

    number: int
    most: int
    queue: int
    due_s: float
    priority: int
    patience_s: float
    kind: Literal["reserve_slot"] = "reserve_slot"


@dataclass(frozen=True)
class EnginePace:
    """An entry tells an agent how engines of the service beside it work, before its first question.

    :param slots: requests that an engine runs at once.
    :param empty_pass_s: time of a pass that reads a usual prompt and writes nothing, in seconds.
    :param added_s: what a request that writes adds to it where the experts' map fits no demand.
    :param pause_s: longest pause between events with which a stream is in time, in seconds.
    """

    slots: int
    empty_pass_s: float
    added_s: float
    pause_s: float
    kind: Literal["engine_pace"] = "engine_pace"


@dataclass(frozen=True)
class SlotAnswer:
    """An agent's answer to :class:`ReserveSlot`; a second one follows once a wait has ended.

    :param requests: other requests that are at the endpoint or wait for it.
    """

    number: int
    state: SlotState
    requests: int
    kind: Literal["slot_answer"] = "slot_answer"


@dataclass(frozen=True)
class ReleaseSlot:
    """An entry's request has left the endpoint, or never went there."""

    number: int
    kind: Literal["release_slot"] = "release_slot"


NodeMessage = (
    EntryState
    | AgentState
    | ConfigurationVersion
    | AskConfiguration
    | ConfigurationText
    | HeartbeatsHeard
    | DeparturesRecorded
    | DepartureSeen
    | ControlGroup
    | ControlPeer
    | NodesLinked
    | FollowLoads
    | CommanderAssigned
    | RankPlaces
    | LoadsTold
    | RankCounts
    | RankStatus
    | RankOrder
    | ReserveSlot
    | EnginePace
    | SlotAnswer
    | ReleaseSlot
)
