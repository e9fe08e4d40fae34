"""Composition root: creates and connects the components of entries and agents."""

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
from bergamotchute_model.membership import ProcessRole
from bergamotchute_policy.retry import RetryBudget
from bergamotchute_wire.endpoint_client import CallEndpoint


def compose_entry(
    settings: EntrySettings,
    environment: Environment,
    tasks: TaskGroup,
    disk: Disk | None = None,
) -> EntryProcess:
    """Return an entry with its components connected, without starting it.

    :param tasks: the task group for work that outlives its connection.
    :param disk: the data folder of the voter that this entry hosts; ``None`` for no voter.
    """
    random = environment.random
    log = EventLog(settings.name, ProcessRole.ENTRY, environment.incarnation, environment.wall_us)
    metrics = Metrics()
    hello = Hello(settings.name, ProcessRole.ENTRY, environment.incarnation)
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
    control_client = ControlClient(
        peer_addresses=settings.relays,
        dial=environment.dial_control,
        hello=hello,
        view=view,
        log=log,
        random=random,
    )
    epoch = f"{settings.name}.{environment.incarnation}"
    request_runner = RequestRunner(
        scheduling, directory.find_connector, epoch, log, random, RetryBudget()
    )
    claim_keeper = ClaimClient(control_client.propose, directory.query_attempt_state, log)
    claimed_runner = ClaimedRunner(scheduling, request_runner, claim_keeper, tasks.start_soon, log)
    limiter = TeamLimiter(lambda: addresses.entry_count())
    process: EntryProcess
    addresses = AddressBook(
        lambda: process.announcement(), control_client.ask_addresses, directory.on_ring_position
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
        request_runner=request_runner,
        claimed_runner=claimed_runner,
        team_limiter=limiter,
        addresses=addresses,
        start_soon=tasks.start_soon,
        log=log,
        metrics=metrics,
    )
    operator_reports = OperatorReports(
        settings.name, control_client, holder, directory, scheduling, limiter, addresses, log
    )
    admin = AdminApi(
        settings.admin_token, view, control_client.propose, _reports_by_path(operator_reports), log
    )
    process_app = ProcessApp(
        log=log,
        metrics=metrics,
        refresh_metrics=lambda process_metrics: process.refresh_metrics(process_metrics),
        get_unready_reason=lambda: process.unready_reason(),
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
        control_client=control_client,
        app=EntryApp(callers, admin, process_app),
        relay=_compose_relay(settings, environment, tasks, log) if settings.relay else None,
        voter=_compose_voter(settings, environment, disk, log) if disk is not None else None,
        planned_changes=PlannedChangeController(
            holder, view, control_client.propose, environment.wall_us, random, log, epoch
        ),
    )
    control_client.announce = process.announce
    control_client.on_membership_delta = process.on_membership
    control_client.on_view_change = holder.on_view_change
    control_client.on_lease_change = process.on_lease
    holder.listeners.append(process.on_configuration)
    return process


def _reports_by_path(reports: OperatorReports) -> dict[str, MakeReport]:
    """Return the reports for operators by path."""
    return {f"{ADMIN_PREFIX}status": reports.status, f"{ADMIN_PREFIX}explain": reports.explain}


def _compose_voter(
    settings: EntrySettings, environment: Environment, disk: Disk, log: EventLog
) -> Voter:
    """Return the voter hosted by an entry."""
    voter_settings = VoterSettings(settings.peer_listen, settings.voters, settings.bootstrap)
    dial = environment.dial_consensus
    return Voter(voter_settings, disk, dial, log=log, random=environment.random)


def _compose_relay(
    settings: EntrySettings, environment: Environment, tasks: TaskGroup, log: EventLog
) -> Relay:
    """Return the relay hosted by an entry."""
    hello = Hello(settings.name, ProcessRole.RELAY, environment.incarnation)
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
    """Return an agent with its components connected, without starting it.

    :param call_endpoint: sends requests to the endpoint beside the agent.
    :param tasks: the task group for attempts.
    """
    log = EventLog(settings.name, ProcessRole.AGENT, environment.incarnation, environment.wall_us)
    metrics = Metrics()
    view = ViewHolder()
    table = AttemptTable(settings.name, environment.incarnation)
    agent = Agent(table, call_endpoint, settings.slots, log, tasks)
    control_client = ControlClient(
        peer_addresses=settings.relays,
        dial=environment.dial_control,
        hello=Hello(settings.name, ProcessRole.AGENT, environment.incarnation),
        view=view,
        log=log,
        random=environment.random,
    )
    process: AgentProcess
    process_app = ProcessApp(
        log=log,
        metrics=metrics,
        refresh_metrics=lambda process_metrics: process.refresh_metrics(process_metrics),
        get_unready_reason=lambda: process.unready_reason(),
        admin_token=settings.cluster_token,
    )
    process = AgentProcess(settings, log, view, agent, control_client, process_app)
    control_client.announce = process.announce
    return process
