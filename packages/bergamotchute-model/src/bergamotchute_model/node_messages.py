"""Messages between control VMs, entries and agents."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Literal

from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.evacuations import EvacuationsInForce
from bergamotchute_model.identifiers import Address
from bergamotchute_model.prompt_parts import PromptEvidence
from bergamotchute_model.rate_limits import PermitAnswer, RateLimitsReported, RequestPermit


@dataclass(frozen=True)
class EntryState:
    """An entry's address for callers, and whether it accepts new ones.

    :param accepts_prompt_evidence: whether it reads :class:`PromptEvidence`; earlier builds don't.
    :param accepts_rate_limits: whether it reads :class:`RateLimitsReported`; earlier builds don't.
    :param accepts_evacuations: whether it reads :class:`EvacuationsInForce`; earlier builds don't.
    """

    name: str
    address: Address
    availability_zone: str
    open: bool
    kind: Literal["entry_state"] = "entry_state"
    accepts_prompt_evidence: bool = False
    accepts_rate_limits: bool = False
    accepts_evacuations: bool = False


@dataclass(frozen=True)
class AgentState:
    """An agent's addresses and the rank that it runs beside.

    :param address: address at which the agent accepts links.
    :param endpoint: address of the endpoint beside the agent.
    :param size: count of ranks in the group.
    :param open: whether the group accepts work.
    :param incarnation: identifies the run of the agent's process; earlier builds name none.
    """

    name: str
    address: Address
    endpoint: Address
    group: str
    rank: int
    size: int
    open: bool
    kind: Literal["agent_state"] = "agent_state"
    incarnation: str = ""


@dataclass(frozen=True)
class RankLocation:
    """The agent and rank group of an endpoint that is a rank.

    :param agent: address at which the agent beside the endpoint accepts links.
    :param takes_work: whether the group accepts work.
    """

    endpoint: Address
    agent: Address
    group: str
    takes_work: bool


@dataclass(frozen=True)
class RankLocations:
    """Agents and rank groups of several endpoints."""

    places: tuple[RankLocation, ...]
    kind: Literal["rank_places"] = "rank_places"


@dataclass(frozen=True)
class LoadsReported:
    """Recent loads of endpoints, as measured on their VMs.

    :param loads: address of each endpoint and count of requests that run or wait there.
    :param paces: address of an endpoint and its pace, for those that are slow or were so recently.
    """

    loads: tuple[tuple[Address, int], ...]
    paces: tuple[tuple[Address, float], ...] = ()
    kind: Literal["loads_told"] = "loads_told"


@dataclass(frozen=True)
class GroupMember:
    """A rank of a group, with the addresses of its agent and its endpoint."""

    rank: int
    agent: Address
    endpoint: Address


@dataclass(frozen=True)
class CommanderAssigned:
    """The leader of the control group assigns the commander of a rank group.

    :param fence: increases with each assignment; orders with an older fence are refused.
    :param earlier: the previous commander; ``None`` if the leader knows none.
    :param commander_incarnation: the run of the commander's process; empty for any.
    """

    group: str
    fence: int
    commander: Address
    members: tuple[GroupMember, ...]
    earlier: Address | None = None
    kind: Literal["commander_assigned"] = "commander_assigned"
    commander_incarnation: str = ""


@dataclass(frozen=True)
class ConfigurationVersion:
    """The version in force at the sender, confirmed by a quorum after the link opened."""

    version: int
    kind: Literal["configuration_version"] = "configuration_version"


@dataclass(frozen=True)
class QueryConfiguration:
    """An entry requests the text of the configuration in force."""

    kind: Literal["ask_configuration"] = "ask_configuration"


@dataclass(frozen=True)
class ConfigurationText:
    """The configuration in force at the sender.

    :param packed: the text, compressed with zlib as each version is sent in full to each entry.
    """

    version: int
    packed: bytes
    kind: Literal["configuration_text"] = "configuration_text"


@dataclass(frozen=True)
class HeartbeatsReceived:
    """Heartbeats that changed, or the newest heartbeat of every endpoint that the sender knows."""

    heartbeats: tuple[EndpointHeartbeat, ...]
    kind: Literal["heartbeats_heard"] = "heartbeats_heard"


@dataclass(frozen=True)
class DeparturesRecorded:
    """Incarnations of endpoints that the log records as leaving.

    :param departures: identifier of the endpoint and start of the incarnation, in Unix
        milliseconds.
    """

    departures: tuple[tuple[str, int], ...]
    kind: Literal["departures_recorded"] = "departures_recorded"


@dataclass(frozen=True)
class DepartureSeen:
    """An entry learned from an endpoint's response that this incarnation is leaving.

    :param born_ms: start of the incarnation, in Unix milliseconds.
    """

    endpoint: str
    born_ms: int
    kind: Literal["departure_seen"] = "departure_seen"


@dataclass(frozen=True)
class ControlGroup:
    """Link addresses of the control VMs.

    :param leading_term: the term in which the sender is leader; 0 if it is not.
    :param current: whether the sender is leader or has recently heard from one.
    :param entry_count: upper bound of the count of entries that are linked to any control VM; 0 if
        unknown.
    :param accepts_prompt_evidence: whether the sender reads :class:`PromptEvidence`; earlier builds
        don't.
    :param accepts_rate_limits: whether the sender reads :class:`RateLimitsReported` and
        :class:`RequestPermit`; earlier builds don't.
    """

    addresses: tuple[Address, ...]
    leading_term: int
    current: bool = True
    entry_count: int = 0
    kind: Literal["control_group"] = "control_group"
    accepts_prompt_evidence: bool = False
    accepts_rate_limits: bool = False


@dataclass(frozen=True)
class SubscribeToLoads:
    """An entry subscribes to the loads of endpoints at a control VM."""

    kind: Literal["follow_loads"] = "follow_loads"


@dataclass(frozen=True)
class ControlPeer:
    """A control VM identifies itself to another one, with which it shares what it hears.

    :param address: address at which the sender accepts links.
    :param accepts_prompt_evidence: whether the sender reads :class:`PromptEvidence`; earlier builds
        don't.
    :param accepts_rate_limits: whether the sender reads :class:`RateLimitsReported` and
        :class:`RequestPermit`; earlier builds don't.
    """

    address: Address
    kind: Literal["control_peer"] = "control_peer"
    accepts_prompt_evidence: bool = False
    accepts_rate_limits: bool = False


@dataclass(frozen=True)
class NodesLinked:
    """Entries and agents that are linked to the sender, a control VM.

    :param gone: names of entries and agents that are no longer linked.
    :param whole: whether the message lists all linked nodes rather than changes.
    """

    entries: tuple[EntryState, ...]
    agents: tuple[AgentState, ...]
    gone: tuple[str, ...]
    whole: bool
    kind: Literal["nodes_linked"] = "nodes_linked"


@dataclass(frozen=True)
class RankCounts:
    """Counts of how often a rank's requests selected each expert since the last message.

    :param epoch: identifies the incarnation of the rank's group.
    :param step: the newest pass that the rank has begun.
    :param counts: one count per expert, for one expert set after the other.
    """

    rank: int
    epoch: int
    step: int
    counts: tuple[int, ...]
    kind: Literal["rank_counts"] = "rank_counts"


@dataclass(frozen=True)
class RankStatus:
    """State of a rank, as read on its VM.

    :param size: count of ranks in the group.
    :param open: whether the group accepts work.
    :param requests: count of requests that run or wait at the rank.
    :param step: the newest pass that the rank has begun.
    :param map_version: version of the expert map in use.
    :param prepared: version of the map whose experts are completely copied; ``None`` if there is
        none.
    :param armed: map version and pass of a scheduled switch; ``None`` if there is none.
    :param held: the pass that the group does not begin while it is held; ``None`` without a hold.
    :param pace: how many times longer than usual the rank's part of a pass takes; ``None`` if
        unknown.
    :param order: number of the order that this status answers; 0 for an unsolicited status.
    :param accepted: whether the order took effect, now or earlier; ``None`` if the rank gave no
        answer, so that the order may still be carried out.
    :param base_missing: whether the order was not sent to the rank because the map that it is based
        on is not known here.
    :param detail: the rank's answer, for logs.
    :param experts: the rank's experts by expert set, if they were requested.
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
    pace: float | None = None
    kind: Literal["rank_status"] = "rank_status"


class SlotState(StrEnum):
    """State of a slot request."""

    RESERVED = "reserved"
    WAITING = "waiting"
    REFUSED = "refused"


class RankAction(StrEnum):
    """Action of an order to a rank.

    ``READ`` and ``LIST`` change nothing; ``LIST`` also returns the rank's experts.
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
        """Whether the action leaves the rank unchanged."""
        return self in (RankAction.READ, RankAction.LIST)


@dataclass(frozen=True)
class RankOrder:
    """An order from the commander of a rank group to a rank; the rank's status is returned.

    :param order: number of the order, repeated in :class:`RankStatus`.
    :param experts: for ``PREPARE``, the experts of every rank, by expert set and rank.
    :param base: for ``PREPARE``, the map version to which ``changes`` apply; 0 if ``experts`` holds
        the whole map.
    :param changes: expert set, rank and the experts that the rank holds in that set in the new map.
    :param packed: for ``PREPARE`` on its way to an agent, in place of ``experts`` or ``changes``,
        as encoded by :mod:`bergamotchute_model.packed_map`.
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
    packed: bytes = b""
    kind: Literal["rank_order"] = "rank_order"


@dataclass(frozen=True)
class ReserveSlot:
    """An entry requests a slot of the endpoint beside an agent.

    :param number: identifies the reservation on its link.
    :param most: greatest count of requests at the endpoint with which the slot is still wanted.
    :param queue: the request waits for a slot if fewer requests than this already wait.
    :param due_s: time within which the request must begin to meet its objective, in seconds;
        negative if it is late.
    :param priority: 0 is the most urgent.
    :param patience_s: time within which the request must begin before its caller gives up, in
        seconds.
    :param most_per_s: the most reservations that may exist in any second; 0 for no bound, ``None``
        if the entry doesn't say.
    :param tokens: tokens of its prompt and its longest output; 0 if unknown.
    :param memory_tokens: count of tokens that fit into the endpoint's memory; 0 if unknown.
    :param usual_tokens: tokens of a usual prompt and output, which count for a request whose own
        are unknown.
    """

    number: int
    most: int
    queue: int
    due_s: float
    priority: int
    patience_s: float
    most_per_s: int | None = None
    tokens: int = 0
    memory_tokens: int = 0
    usual_tokens: int = 0
    kind: Literal["reserve_slot"] = "reserve_slot"


@dataclass(frozen=True)
class SlotAnswer:
    """An agent's answer to :class:`ReserveSlot`; a second answer follows when a wait ends.

    :param requests: count of other requests that run at the endpoint or wait for it.
    :param lacks_memory: whether the request does not fit into the endpoint's memory now.
    """

    number: int
    state: SlotState
    requests: int
    lacks_memory: bool = False
    kind: Literal["slot_answer"] = "slot_answer"


@dataclass(frozen=True)
class ReleaseSlot:
    """An entry releases a slot: its request has left the endpoint or was never sent there."""

    number: int
    kind: Literal["release_slot"] = "release_slot"


NodeMessage = (
    EntryState
    | AgentState
    | ConfigurationVersion
    | QueryConfiguration
    | ConfigurationText
    | HeartbeatsReceived
    | DeparturesRecorded
    | DepartureSeen
    | ControlGroup
    | ControlPeer
    | NodesLinked
    | SubscribeToLoads
    | CommanderAssigned
    | RankLocations
    | LoadsReported
    | RankCounts
    | RankStatus
    | RankOrder
    | ReserveSlot
    | SlotAnswer
    | ReleaseSlot
    | PromptEvidence
    | RateLimitsReported
    | RequestPermit
    | PermitAnswer
    | EvacuationsInForce
)
