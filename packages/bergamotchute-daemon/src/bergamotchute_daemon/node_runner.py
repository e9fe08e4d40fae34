"""Runs the processes that discover each other from seeds: sockets, signals, settings, logs."""

from __future__ import annotations

import logging
import signal
import sys
import time
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskGroup

from bergamotchute_daemon.event_log import LOGGER_NAME, EventLog, create_wall_clock
from bergamotchute_daemon.node_composition_root import (
    NodeEnvironment,
    compose_control,
    compose_direct_entry,
    compose_rank_agent,
)
from bergamotchute_daemon.node_metrics import NodeMetrics
from bergamotchute_daemon.node_settings import NodeSettings, NodeSettingsError, SettingsFile
from bergamotchute_daemon.prompt_part_api import prompt_part_handler
from bergamotchute_daemon.stdout_log_handler import StdoutLogHandler
from bergamotchute_model import events
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import NodeMessage
from bergamotchute_model.versioned_configuration import VersionedConfiguration
from bergamotchute_wire.http1_server import (
    CallerRequest,
    Http1Server,
    RequestHandler,
    ResponseWriter,
)
from bergamotchute_wire.message_codec import MessageCodec
from bergamotchute_wire.web_socket_link import LinkTiming
from bergamotchute_wire.web_socket_transport import (
    LinkRoute,
    serve_web_socket_links,
    web_socket_dial,
)

if TYPE_CHECKING:
    from bergamotchute_consensus.file_disk import FileDisk
    from bergamotchute_daemon.control_process import ControlProcess
    from bergamotchute_daemon.direct.direct_entry import DirectEntry
    from bergamotchute_daemon.direct.request_format import RequestFormat
    from bergamotchute_daemon.ranks.rank_api import RankApi

NODE_CODEC: MessageCodec[NodeMessage] = MessageCodec(NodeMessage)
RANKS_PATH = "/ranks"
"""Path of links from a rank group's commander to the agents of the group."""

SLOTS_PATH = "/slots"
"""Path of links from entries to agents, for reserving slots of the agents' endpoints."""

NODES_PATH = "/nodes"
"""Path of links from entries and agents to control VMs."""

NODE_LINK_TIMING = LinkTiming(heartbeat_interval_s=0.4, ping_after_s=0.35, silence_timeout_s=1.3)
"""Detects an unresponsive process within 1.3 s.

A commander that stalls may hold its rank group, so it must be replaced within two seconds.
"""

LINK_ACCEPT_INTERVAL_S = 0.02
"""Time between two follower links that a control VM accepts.

Accepting a link takes 5 ms on a control VM that has a third of a core. The interval leaves
processor time for the log and for endpoints when hundreds of processes start together.
"""

EXIT_SUCCESS = 0
EXIT_INVALID_SETTINGS = 2

SETTINGS_POLL_INTERVAL_S = 1.0
"""How often the settings file is checked, because it may change without a signal."""

FOLDER_RETRY_INTERVAL_S = 0.5
"""How often a control VM tries to create its data folder on a full disk."""

CLOSE_TIMEOUT_S = 0.2
"""Time that connections are given to close."""


def configure_stdout_logging() -> None:
    """Write the events and warnings of this process to standard output as JSON lines."""
    logging.getLogger().addHandler(StdoutLogHandler(sys.stdout.fileno(), time.monotonic))
    logging.getLogger(LOGGER_NAME).setLevel(logging.INFO)


def run_node(path: Path, main: Callable[[SettingsFile, NodeSettings], Awaitable[None]]) -> int:
    """Run a process with the settings from a file until a stop signal; return its exit status."""
    configure_stdout_logging()
    file = SettingsFile(path)
    try:
        settings = file.read()
    except NodeSettingsError as error:
        logging.getLogger(LOGGER_NAME).error("%s", error)
        return EXIT_INVALID_SETTINGS
    anyio.run(main, file, settings, backend_options={"use_uvloop": True})
    return EXIT_SUCCESS


def create_node_environment(settings: NodeSettings, role: str) -> NodeEnvironment:
    """Return the external dependencies of a process outside tests."""
    wall_clock_us = create_wall_clock(
        time.time_ns() // 1_000, anyio.current_time(), anyio.current_time
    )
    log = EventLog(settings.name, role, uuid.uuid4().hex[:12], wall_clock_us)
    return NodeEnvironment(
        random=Random(),
        log=log,
        dial_control=web_socket_dial(NODES_PATH, NODE_CODEC, timing=NODE_LINK_TIMING),
        dial_ranks=web_socket_dial(RANKS_PATH, NODE_CODEC, timing=NODE_LINK_TIMING),
        dial_slots=web_socket_dial(SLOTS_PATH, NODE_CODEC),
    )


async def run_entry(
    file: SettingsFile,
    settings: NodeSettings,
    request_format: RequestFormat,
    ready_handler: Callable[[DirectEntry], RequestHandler],
) -> None:
    """Run an entry until SIGTERM.

    :param ready_handler: answers the platform's readiness checks.
    """
    environment = create_node_environment(settings, "entry")
    process = compose_direct_entry(settings, request_format, environment)
    environment.log.emit(events.PROCESS_STARTED, listen=settings.listen.callers)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(process.run)
        guard, metrics = process.forwarder.prompt_guard, process.forwarder.metrics
        handler = prompt_part_handler(guard.table, guard.clear, metrics.handle_request)
        _serve_metrics(tasks, settings, _explain_or(process, handler))
        ready = Http1Server(ready_handler(process))
        tasks.start_soon(ready.serve, Address.parse(settings.listen.ready))
        await _run_until_stopped(
            tasks, file, process.links.set_seeds, environment.log, process.drain
        )


def _explain_or(process: DirectEntry, others: RequestHandler) -> RequestHandler:
    """Return the handler of explanations, which is imported with the first request."""

    async def handle(request: CallerRequest, writer: ResponseWriter) -> None:
        # Callers wait for an entry to start; operators who ask for an explanation come later.
        from bergamotchute_daemon.direct.explain_api import explain_handler

        await explain_handler(process, others)(request, writer)

    return handle


async def run_control(
    file: SettingsFile,
    settings: NodeSettings,
    control_handler: Callable[[ControlProcess], RequestHandler],
    directory_handler: Callable[[ControlProcess], RequestHandler],
) -> None:
    """Run a control VM's process until SIGTERM.

    :param control_handler: handles requests of operators and endpoints.
    :param directory_handler: handles requests of callers for the addresses of entries.
    """
    from bergamotchute_daemon.environment import CONSENSUS_PATH
    from bergamotchute_daemon.voter import CONSENSUS_CODEC

    environment = create_node_environment(settings, "control")
    disk = await open_data_folder(Path(settings.data_folder), environment.log)
    dial_consensus = web_socket_dial(CONSENSUS_PATH, CONSENSUS_CODEC, timing=NODE_LINK_TIMING)
    process = compose_control(settings, disk, dial_consensus, environment)
    environment.log.emit(events.PROCESS_STARTED, listen=settings.listen.control)
    routes = {
        NODES_PATH: LinkRoute(NODE_CODEC, process.node_hub.serve_link, LINK_ACCEPT_INTERVAL_S),
        CONSENSUS_PATH: LinkRoute(CONSENSUS_CODEC, process.voter.serve_peer),
    }
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            serve_web_socket_links, settings.link_address, routes, "", NODE_LINK_TIMING
        )
        tasks.start_soon(process.run)
        hub, metrics = process.node_hub, NodeMetrics(process.gauges)
        handler = prompt_part_handler(
            hub.prompt_evidence, hub.clear_prompt_part, metrics.handle_request
        )
        _serve_metrics(tasks, settings, handler)
        control = Http1Server(control_handler(process))
        tasks.start_soon(control.serve, Address.parse(settings.listen.control))
        directory = Http1Server(directory_handler(process))
        tasks.start_soon(directory.serve, Address.parse(settings.listen.directory))

        async def drain() -> None:
            await process.drain()
            control.refuse()
            directory.refuse()

        await _run_until_stopped(tasks, file, process.voter.set_seeds, environment.log, drain)


async def open_data_folder(folder: Path, log: EventLog) -> FileDisk:
    """Create and lock a control VM's data folder, which a full disk delays.

    :raises OSError: when it fails for another reason, or another process has locked the folder.
    """
    from bergamotchute_consensus.file_disk import FileDisk
    from bergamotchute_consensus.storage import NO_ROOM_ERRNOS

    while True:
        try:
            return FileDisk(folder)
        except OSError as error:
            if error.errno not in NO_ROOM_ERRNOS:
                raise
            log.emit(events.VOTER_DISK_FAILED, detail=f"could not create the data folder: {error}")
        await anyio.sleep(FOLDER_RETRY_INTERVAL_S)


async def run_rank_agent(
    file: SettingsFile,
    settings: NodeSettings,
    rank_api: RankApi,
    read_configuration: Callable[[bytes], VersionedConfiguration],
) -> None:
    """Run the agent beside a rank until SIGTERM.

    :param read_configuration: parses a configuration; raises :class:`ValueError` for invalid
        text.
    """
    environment = create_node_environment(settings, "agent")
    process = compose_rank_agent(settings, rank_api, read_configuration, environment)
    environment.log.emit(events.PROCESS_STARTED, endpoint=settings.endpoint)
    routes = {
        RANKS_PATH: LinkRoute(NODE_CODEC, process.serve_link),
        SLOTS_PATH: LinkRoute(NODE_CODEC, process.slots.serve_entry),
    }
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            serve_web_socket_links, settings.link_address, routes, "", NODE_LINK_TIMING
        )
        tasks.start_soon(process.run)
        _serve_metrics(tasks, settings, NodeMetrics(process.gauges).handle_request)
        await _run_until_stopped(tasks, file, process.links.set_seeds, environment.log)


def _serve_metrics(tasks: TaskGroup, settings: NodeSettings, handler: RequestHandler) -> None:
    """Serve the metrics, and what goes with them, if the settings give a port for them."""
    if settings.metrics_port:
        address = Address(settings.host, settings.metrics_port)
        tasks.start_soon(Http1Server(handler).serve, address)


UseSeeds = Callable[[tuple[Address, ...]], None]
"""Applies new seeds, the only setting that may change while the process runs."""


async def _run_until_stopped(
    tasks: TaskGroup,
    file: SettingsFile,
    use_seeds: UseSeeds,
    log: EventLog,
    drain: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Wait for SIGTERM or SIGINT, drain, and cancel all tasks.

    The settings are reloaded on SIGHUP and when the file changes, also while the process drains.

    :param drain: returns when no request is in progress any more.
    """
    tasks.start_soon(_poll_settings, file, use_seeds, log)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        await _handle_signals(signals, file, use_seeds, log)
        # Without a receiver a further signal would end the process with its requests unanswered.
        tasks.start_soon(_handle_further_signals, signals, file, use_seeds, log)
        if drain is not None:
            await drain()
        await anyio.sleep(CLOSE_TIMEOUT_S)
        log.emit(events.PROCESS_STOPPED)
        tasks.cancel_scope.cancel()


async def _handle_signals(
    signals: AsyncIterator[signal.Signals], file: SettingsFile, use_seeds: UseSeeds, log: EventLog
) -> None:
    """Reload the settings on SIGHUP; return after a signal to stop."""
    async for received in signals:
        if received is not signal.SIGHUP:
            log.emit(events.PROCESS_DRAINING, signal=received.name)
            return
        _reload_settings(file, use_seeds, log)


async def _handle_further_signals(
    signals: AsyncIterator[signal.Signals], file: SettingsFile, use_seeds: UseSeeds, log: EventLog
) -> None:
    """Reload the settings on SIGHUP while the process drains; log further signals to stop."""
    while True:
        await _handle_signals(signals, file, use_seeds, log)


async def _poll_settings(file: SettingsFile, use_seeds: UseSeeds, log: EventLog) -> None:
    while True:
        await anyio.sleep(SETTINGS_POLL_INTERVAL_S)
        if file.changed():
            _reload_settings(file, use_seeds, log)


def _reload_settings(file: SettingsFile, use_seeds: UseSeeds, log: EventLog) -> None:
    try:
        settings = file.read()
    except NodeSettingsError as error:
        log.emit(events.SETTINGS_RELOADED, used=False, detail=str(error))
        return
    use_seeds(settings.seed_link_addresses)
    log.emit(events.SETTINGS_RELOADED, used=True, seeds=",".join(settings.seeds))
