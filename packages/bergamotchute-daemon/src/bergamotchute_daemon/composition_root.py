"""Wires the parts of each process; the one place that knows them all."""

from __future__ import annotations

from anyio.abc import TaskGroup

from bergamotchute_consensus.disk import Disk
from bergamotchute_daemon.address_book import AddressBook
from bergamotchute_daemon.admin_api import ADMIN_PREFIX, AdminApi, MakeReport
from bergamotchute_daemon.agent import Agent
from bergamotchute_daemon.agent_process import AgentProcess
from bergamotchute_daemon.attempt_table import AttemptTable
from bergamotchute_daemon.caller_api import CallerApi
from bergamotchute_daemon.caller_filters import (
    RequestFilter,
    classify_request,
    create_exchange,
    enforce_team_limits,
    find_service,
    identify_team,
    read_request_body,
    require_confirmed_view,
)
from bergamotchute_daemon.claim_client import ClaimClient
from bergamotchute_daemon.claimed_runner import ClaimedRunner
from bergamotchute_daemon.configuration_holder import ConfigurationHolder
from bergamotchute_daemon.control_client import ControlClient
from bergamotchute_daemon.endpoint_directory import EndpointDirectory
from bergamotchute_daemon.entry_app import EntryApp
from bergamotchute_daemon.entry_process import EntryProcess
from bergamotchute_daemon.environment import Environment
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.metrics import Metrics
from bergamotchute_daemon.operator_reports import OperatorReports
from bergamotchute_daemon.planned_change_controller import PlannedChangeController
from bergamotchute_daemon.process_app import ProcessApp
from bergamotchute_daemon.relay import Relay
from bergamotchute_daemon.request_runner import RequestRunner
from bergamotchute_daemon.scheduling_controller import SchedulingController
from bergamotchute_daemon.settings import AgentSettings, EntrySettings
from bergamotchute_daemon.team_limiter import TeamLimiter
from bergamotchute_daemon.view_holder import ViewHolder
from bergamotchute_daemon.voter import Voter, VoterSettings
from bergamotchute_daemon.watched_endpoint_selector import WatchedEndpointSelector
from bergamotchute_model.hello import Hello
from bergamotchute_model.membership import Role
from bergamotchute_policy.retry import RetryBudget
from bergamotchute_wire.endpoint_client import CallEndpoint


def compose_entry(
    settings: EntrySettings,
    environment: Environment,
    tasks: TaskGroup,
    disk: Disk | None = None,
) -> EntryProcess:
    """Return an entry whose parts know each other; nothing runs yet.

    :param tasks: where work that outlives its connection runs.
    :param disk: the data folder of the voter that this entry hosts; ``None`` for no voter.
    """
    random = environment.random
    log = EventLog(settings.name, Role.ENTRY, environment.incarnation, environment.wall_us)
    metrics = Metrics()
    hello = Hello(settings.name, Role.ENTRY, environment.incarnation)
    view = ViewHolder()
    holder = ConfigurationHolder(log)
    scheduling = SchedulingController(settings.availability_zone, random)
    directory = EndpointDirectory(
        scheduling_controller=scheduling,
        dial=environment.dial_attempts,
        hello=hello,
        log=log,
        random=random,
        tasks=tasks,
        endpoint_selector=WatchedEndpointSelector(scheduling.busy_slot_ratio),
    )
    client = ControlClient(
        peer_addresses=settings.relays,
        dial=environment.dial_control,
        hello=hello,
        view=view,
        log=log,
        random=random,
    )
    epoch = f"{settings.name}.{environment.incarnation}"
    runner = RequestRunner(scheduling, directory.find_connector, epoch, log, random, RetryBudget())
    keeper = ClaimClient(client.propose, directory.query_attempt_state, log)
    claimed = ClaimedRunner(scheduling, runner, keeper, tasks.start_soon, log)
    limiter = TeamLimiter(lambda: addresses.entry_count())
    process: EntryProcess
    addresses = AddressBook(
        lambda: process.announcement(), client.ask_addresses, directory.on_ring_position
    )
    filters: tuple[RequestFilter, ...] = (
        require_confirmed_view(
            view, holder, lambda: addresses.other_entry_addresses(holder.configuration)
        ),
        identify_team,
        read_request_body,
        find_service,
        classify_request,
        enforce_team_limits(limiter),
        create_exchange({}),
    )
    callers = CallerApi(
        entry=epoch,
        filters=filters,
        holder=holder,
        request_runner=runner,
        claimed_runner=claimed,
        team_limiter=limiter,
        addresses=addresses,
        start_soon=tasks.start_soon,
        log=log,
        metrics=metrics,
    )
    reports = OperatorReports(
        settings.name, client, holder, directory, scheduling, limiter, addresses, log
    )
    admin = AdminApi(settings.admin_token, view, client.propose, _report_paths(reports), log)
    shared = ProcessApp(
        log=log,
        metrics=metrics,
        refresh=lambda one: process.refresh_metrics(one),
        why_not_ready=lambda: process.why_not_ready(),
        admin_token=settings.admin_token,
    )
    process = EntryProcess(
        settings=settings,
        epoch=environment.incarnation,
        log=log,
        view=view,
        holder=holder,
        scheduling=scheduling,
        directory=directory,
        limiter=limiter,
        control_client=client,
        app=EntryApp(callers, admin, shared),
        relay=_compose_relay(settings, environment, tasks, log) if settings.relay else None,
        voter=_compose_voter(settings, environment, disk, log) if disk is not None else None,
        planned_changes=PlannedChangeController(
            holder, view, client.propose, environment.wall_us, random, log, epoch
        ),
    )
    client.announce = process.announce
    client.on_membership_delta = process.on_membership
    client.on_view_change = holder.on_view_change
    client.on_lease_change = process.on_lease
    holder.listeners.append(process.on_configuration)
    return process


def _report_paths(reports: OperatorReports) -> dict[str, MakeReport]:
    """Return the operators' reports by path."""
    return {f"{ADMIN_PREFIX}status": reports.status, f"{ADMIN_PREFIX}explain": reports.explain}


def _compose_voter(
    settings: EntrySettings, environment: Environment, disk: Disk, log: EventLog
) -> Voter:
    """Return the voter that an entry hosts."""
    voter_settings = VoterSettings(settings.peer_listen, settings.voters, settings.bootstrap)
    dial = environment.dial_consensus
    return Voter(voter_settings, disk, dial, log=log, random=environment.random)


def _compose_relay(
    settings: EntrySettings, environment: Environment, tasks: TaskGroup, log: EventLog
) -> Relay:
    """Return the relay that an entry hosts."""
    hello = Hello(settings.name, Role.RELAY, environment.incarnation)
    upstream = ControlClient(
        peer_addresses=settings.voters,
        dial=environment.dial_voter,
        hello=hello,
        view=ViewHolder(),
        log=log,
        random=environment.random,
    )
    peers = tuple(address for address in settings.relays if address != settings.peer_listen)
    return Relay(
        voter_client=upstream,
        peers=peers,
        dial=environment.dial_control,
        hello=hello,
        log=log,
        random=environment.random,
        tasks=tasks,
    )


def compose_agent(
    settings: AgentSettings,
    environment: Environment,
    call_endpoint: CallEndpoint,
    tasks: TaskGroup,
) -> AgentProcess:
    """Return an agent whose parts know each other; nothing runs yet.

    :param call_endpoint: reaches the endpoint beside it.
    :param tasks: where attempts run.
    """
    log = EventLog(settings.name, Role.AGENT, environment.incarnation, environment.wall_us)
    metrics = Metrics()
    view = ViewHolder()
    table = AttemptTable(settings.name, environment.incarnation)
    agent = Agent(table, call_endpoint, settings.slots, log, tasks)
    client = ControlClient(
        peer_addresses=settings.relays,
        dial=environment.dial_control,
        hello=Hello(settings.name, Role.AGENT, environment.incarnation),
        view=view,
        log=log,
        random=environment.random,
    )
    process: AgentProcess
    shared = ProcessApp(
        log=log,
        metrics=metrics,
        refresh=lambda one: process.refresh_metrics(one),
        why_not_ready=lambda: process.unready_reason(),
        admin_token=settings.cluster_token,
    )
    process = AgentProcess(settings, log, view, agent, client, shared)
    client.announce = process.announce
    return process
