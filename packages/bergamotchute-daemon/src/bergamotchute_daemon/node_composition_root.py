"""Composition of the processes that discover each other from seeds: entries, control VMs, agents.

Each function imports only the modules that its kind of process needs. Importing those of the other
kinds would double the start time of an entry or agent, and callers wait for the start after a loss
of power.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from bergamotchute_daemon.configuration_follower import ConfigurationFollower
from bergamotchute_daemon.control_links import ControlLinks
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.link_set import LinkSet
from bergamotchute_daemon.node_metrics import NodeMetrics
from bergamotchute_daemon.node_settings import NodeSettings
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import CommanderAssigned, NodeMessage
from bergamotchute_model.versioned_configuration import VersionedConfiguration
from bergamotchute_policy.control_parents import few_parents, majority_of_parents
from bergamotchute_policy.endpoint_table import EndpointTable
from bergamotchute_wire.http1_server import Http1Server
from bergamotchute_wire.link import Dial

if TYPE_CHECKING:
    from bergamotchute_consensus.disk import Disk
    from bergamotchute_consensus.messages import ConsensusMessage
    from bergamotchute_daemon.control_process import ControlProcess
    from bergamotchute_daemon.direct.direct_entry import DirectEntry
    from bergamotchute_daemon.direct.request_format import RequestFormat
    from bergamotchute_daemon.ranks.rank_agent_process import RankAgentProcess
    from bergamotchute_daemon.ranks.rank_api import RankApi
    from bergamotchute_daemon.ranks.rank_client import RankClient
    from bergamotchute_daemon.ranks.rank_commander import RankCommander

MAX_MISSED_HEARTBEATS = 3.0
"""Consecutive heartbeats that may be missing before an endpoint counts as silent."""

RETRY_BUDGET_RATIO = 0.7
"""Ratio of the shared retry budget that entries use, because each counts requests on its own."""

RETRY_BURST_RATIO = 0.45
"""Ratio of a window's fixed retries that may be sent at once.

The same number is refilled in the course of the window.
"""

RETRY_WINDOW_S = 10.0
"""The window to which :attr:`NodeSettings.retry_slack` refers."""

STOP_MARGIN_S = 1.0
"""Part of the time between SIGTERM and SIGKILL that a drain leaves unused."""

RANK_IDLE_TIMEOUT_S = 1.0
"""How long a connection to a rank on another VM may be idle.

Endpoints close idle connections without notice.
"""

ELECTION_HEARTBEAT_S = 0.15
ELECTION_TIMEOUT_S = 0.9
"""Makes elections end within 2 s; callers of a control VM wait 4 s for an acknowledgement."""


@dataclass(frozen=True)
class NodeEnvironment:
    """The external dependencies of a process: randomness, its event log and outgoing links."""

    random: Random
    log: EventLog
    dial_control: Dial[NodeMessage]
    dial_ranks: Dial[NodeMessage]
    dial_slots: Dial[NodeMessage]


def compose_direct_entry(
    settings: NodeSettings, request_format: RequestFormat, environment: NodeEnvironment
) -> DirectEntry:
    """Return an entry that sends requests to endpoints itself, without starting it."""
    from bergamotchute_daemon.direct.attempt_steps import AttemptSteps
    from bergamotchute_daemon.direct.caller_stream import UnreadStreams
    from bergamotchute_daemon.direct.cold_limits import ColdLimits
    from bergamotchute_daemon.direct.direct_entry import DirectEntry
    from bergamotchute_daemon.direct.direct_forwarder import DirectForwarder
    from bergamotchute_daemon.direct.endpoint_calls import EndpointCalls
    from bergamotchute_daemon.direct.endpoint_chooser import EndpointChooser
    from bergamotchute_daemon.direct.hedged_requests import HedgedRequests
    from bergamotchute_daemon.direct.prompt_guard import PromptGuard
    from bergamotchute_daemon.direct.rate_permits import RatePermits
    from bergamotchute_daemon.direct.retry_decisions import RetryDecisions
    from bergamotchute_daemon.direct.slot_reservations import SlotReservations
    from bergamotchute_daemon.direct.takeover import Takeover
    from bergamotchute_daemon.prompt_evidence_table import PromptEvidenceTable
    from bergamotchute_daemon.rate_limit_log import RateLimitLog
    from bergamotchute_policy.direct_placement import DirectPlacement

    table = EndpointTable(MAX_MISSED_HEARTBEATS * settings.heartbeat_ms / 1000)
    process: DirectEntry
    placement = DirectPlacement(settings.availability_zone, environment.random)
    rate_permits = RatePermits(
        limits=RateLimitLog(environment.log),
        post_request=lambda request: links.post_permit_request(request),
        post_limits=lambda report: links.post_to_all_that(
            lambda group: group.accepts_rate_limits, report
        ),
        entry_count=lambda: retries.entry_count,
        random=environment.random,
        log=environment.log,
        cold_limits=ColdLimits(
            table=table,
            excess=settings.cold_excess,
            slack=settings.cold_slack,
            entry_count=lambda: retries.entry_count,
        ),
    )
    prompt_guard = PromptGuard(
        table=PromptEvidenceTable(environment.log),
        post=lambda evidence: links.post_to_all_that(
            lambda group: group.accepts_prompt_evidence, evidence
        ),
        log=environment.log,
        stops_group=lambda service: placement.has_rank_group(
            process.endpoints_by_service.get(service, ())
        ),
    )
    calls = EndpointCalls(
        request_format=request_format,
        placement=placement,
        on_endpoint_leaving=lambda endpoint: process.on_endpoint_leaving(endpoint),
        log=environment.log,
        prompt_guard=prompt_guard,
        rate_permits=rate_permits,
    )
    chooser = EndpointChooser(
        placement=placement,
        slots=SlotReservations(environment.dial_slots, environment.random, environment.log),
        rate_permits=rate_permits,
        endpoints=lambda service: process.endpoints(service),
        random=environment.random,
        is_evacuated=lambda service: process.is_evacuated(service),
    )
    retries = RetryDecisions(
        log=environment.log,
        retry_ratio=RETRY_BUDGET_RATIO * settings.retry_ratio,
        retry_capacity=RETRY_BURST_RATIO * settings.retry_slack,
        retry_refill_per_s=RETRY_BURST_RATIO * settings.retry_slack / RETRY_WINDOW_S,
    )
    metrics = NodeMetrics(lambda: process.gauges())
    steps = AttemptSteps(calls, placement, environment.log, metrics)
    forwarder = DirectForwarder(
        calls=calls,
        steps=steps,
        takeover=Takeover(
            steps=steps,
            placement=placement,
            chooser=chooser,
            endpoints=lambda service: process.endpoints(service),
            prompt_guard=prompt_guard,
            retries=retries,
        ),
        hedges=HedgedRequests(
            share=settings.second_send_share,
            steps=steps,
            chooser=chooser,
            prompt_guard=prompt_guard,
            retries=retries,
            log=environment.log,
        ),
        retries=retries,
        placement=placement,
        chooser=chooser,
        random=environment.random,
        log=environment.log,
        metrics=metrics,
        prompt_guard=prompt_guard,
        rate_permits=rate_permits,
        unread=UnreadStreams(environment.log),
    )
    links = _compose_control_links(
        settings, environment, lambda: process, majority_of_parents, wants_loads=True
    )
    server = Http1Server(lambda request, writer: process.handle_request(request, writer))
    process = DirectEntry(
        name=settings.name,
        address=Address.parse(settings.listen.callers),
        availability_zone=settings.availability_zone,
        request_format=request_format,
        endpoint_table=table,
        forwarder=forwarder,
        follower=ConfigurationFollower(
            read=request_format.read_configuration,
            post=links.post,
            post_all=links.post_all,
            on_configuration=lambda configuration: process.on_configuration(configuration),
            log=environment.log,
        ),
        links=links,
        server=server,
        random=environment.random,
        log=environment.log,
        drain_bound_s=settings.stop_s - STOP_MARGIN_S,
    )
    return process


def compose_control(
    settings: NodeSettings,
    disk: Disk,
    dial_consensus: Dial[ConsensusMessage],
    environment: NodeEnvironment,
) -> ControlProcess:
    """Return the process of a control VM, without starting it."""
    from bergamotchute_consensus.replica_settings import ReplicaSettings
    from bergamotchute_daemon.control_log import ControlLog
    from bergamotchute_daemon.control_process import ControlProcess
    from bergamotchute_daemon.evacuations.evacuation_orders import EvacuationOrders
    from bergamotchute_daemon.node_hub import NodeHub
    from bergamotchute_daemon.permit_server import PermitServer
    from bergamotchute_daemon.prompt_evidence_table import PromptEvidenceTable
    from bergamotchute_daemon.rate_limit_log import RateLimitLog
    from bergamotchute_daemon.voter import Voter, VoterSettings

    voter = Voter(
        VoterSettings(
            settings.link_address,
            settings.seed_link_addresses,
            settings.found,
            min_voters=2 * settings.disks_to_lose + 1,
        ),
        disk,
        dial_consensus,
        log=environment.log,
        random=environment.random,
        replica_settings=ReplicaSettings(
            heartbeat_interval_s=ELECTION_HEARTBEAT_S, election_timeout_s=ELECTION_TIMEOUT_S
        ),
    )
    control = ControlLog(voter)
    table = EndpointTable(MAX_MISSED_HEARTBEATS * settings.heartbeat_ms / 1000)
    peers = LinkSet(environment.dial_control, environment.random, environment.log, tuple)
    hub = NodeHub(
        address=settings.link_address,
        voter=voter,
        control=control,
        endpoint_table=table,
        peers=peers,
        log=environment.log,
        prompt_evidence=PromptEvidenceTable(environment.log),
        rate_limits=RateLimitLog(environment.log),
        permits=PermitServer(settings.link_address, peers),
    )
    evacuations = EvacuationOrders(
        control=control,
        state=lambda: voter.state.state,
        holder=settings.name,
        log=environment.log,
        require_disk=lambda: process.check_disk(),
        known_zones=lambda: frozenset(settings.zones) | hub.known_zones(),
        on_committed=hub.send_evacuation,
    )
    process = ControlProcess(
        address=settings.link_address,
        voter=voter,
        control=control,
        endpoint_table=table,
        node_hub=hub,
        evacuations=evacuations,
        log=environment.log,
    )
    return process


def compose_rank_agent(
    settings: NodeSettings,
    rank_api: RankApi,
    read_configuration: Callable[[bytes], VersionedConfiguration],
    environment: NodeEnvironment,
) -> RankAgentProcess:
    """Return the agent beside a rank, without starting it.

    :param read_configuration: parses a configuration; raises :class:`ValueError` for invalid
        text.
    """
    from bergamotchute_daemon.ranks.rank_agent_process import RankAgentProcess
    from bergamotchute_daemon.ranks.rank_client import RankClient
    from bergamotchute_daemon.ranks.rank_commander import RankCommander
    from bergamotchute_wire.persistent_connection import PersistentConnection

    own_endpoint = Address.parse(settings.endpoint)

    def reach(endpoint: Address) -> RankClient:
        if endpoint == own_endpoint:
            return RankClient(PersistentConnection(endpoint), rank_api)
        return RankClient(
            PersistentConnection(endpoint, RANK_IDLE_TIMEOUT_S), rank_api, is_report_delayed=True
        )

    def make_commander(assignment: CommanderAssigned) -> RankCommander:
        return RankCommander(
            assignment=assignment,
            dial_agent=environment.dial_ranks,
            reach=reach,
            log=environment.log,
            engine=lambda: process.engine,
        )

    process: RankAgentProcess
    links = _compose_control_links(settings, environment, lambda: process, few_parents)
    process = RankAgentProcess(
        name=settings.name,
        address=settings.link_address,
        rank_client=reach(own_endpoint),
        links=links,
        follower=ConfigurationFollower(
            read=read_configuration,
            post=links.post,
            post_all=links.post_all,
            on_configuration=lambda configuration: process.on_configuration(configuration),
            log=environment.log,
        ),
        log=environment.log,
        make_commander=make_commander,
    )
    return process


def _compose_control_links(
    settings: NodeSettings,
    environment: NodeEnvironment,
    process: Callable[[], DirectEntry | RankAgentProcess],
    parent_count: Callable[[int], int],
    wants_loads: bool = False,
) -> ControlLinks:
    """Return the links of an entry or agent to control VMs.

    :param process: returns the entry or agent once it is composed.
    :param parent_count: returns how many parents to have in a control group of a given size.
    """
    return ControlLinks(
        name=settings.name,
        seeds=settings.seed_link_addresses,
        links=LinkSet(
            environment.dial_control,
            environment.random,
            environment.log,
            get_greeting=lambda: process().greeting(),
        ),
        on_message=lambda address, message: process().on_message(address, message),
        parent_count=parent_count,
        wants_loads=wants_loads,
    )
