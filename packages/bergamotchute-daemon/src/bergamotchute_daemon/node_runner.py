"""Runs the processes that find each other from seeds: sockets, signals, settings, logs."""

from __future__ import annotations

import logging
import signal
import sys
import time
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskGroup

from bergamotchute_daemon.event_log import LOGGER_NAME, EventLog, wall_clock
from bergamotchute_daemon.node_composition_root import (
    NodeEnvironment,
    compose_control,
    compose_direct_entry,
    compose_rank_agent,
)
from bergamotchute_daemon.node_metrics import NodeMetrics
from bergamotchute_daemon.node_settings import NodeSettings, NodeSettingsError, SettingsFile
from bergamotchute_daemon.stdout_log_handler import StdoutLog
from bergamotchute_model import events
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import NodeMessage
from bergamotchute_model.whole_configuration import WholeConfiguration
from bergamotchute_wire.http1_server import Handler, Http1Server
from bergamotchute_wire.message_codec import MessageCodec
from bergamotchute_wire.web_socket_link import LinkTiming
from bergamotchute_wire.web_socket_transport import (
    LinkRoute,
    serve_web_socket_links,
    web_socket_dial,
)

if TYPE_CHECKING:
    from bergamotchute_daemon.control_process import ControlProcess
    from bergamotchute_daemon.direct.direct_entry import DirectEntry
    from bergamotchute_daemon.direct.request_format import RequestFormat
    from bergamotchute_daemon.ranks.rank_api import RankApi

NODE_CODEC: MessageCodec[NodeMessage] = MessageCodec(NodeMessage)
RANKS_PATH = "/ranks"
"""Links of a rank group's commander to the agents of the group."""

SLOTS_PATH = "/slots"
"""Links of entries to agents, for slots of the endpoints beside these."""

NODES_PATH = "/nodes"
"""Links of entries and agents to control VMs."""

NODE_TIMING = LinkTiming(heartbeat_s=0.4, quiet_s=0.35, mute_s=1.3)
"""A frozen commander may hold its rank group: it must be replaced within two seconds."""

LINK_PAUSE_S = 0.02
"""Time between links of followers that a control VM opens. An opening takes 5 ms of a processor that
has a third of a core: so many a second leave a part of it to the log and to endpoints when hundreds
of processes start together."""

EXIT_ENDED = 0
EXIT_SETTINGS = 2

SETTINGS_LOOK_S = 1.0
"""How often the settings file is compared; it may change without a signal."""

STOP_S = 0.2
"""How long closing connections get."""


def log_to_stdout() -> None:
    """Send the events and warnings of this process to standard output as JSON lines."""
    logging.getLogger().addHandler(StdoutLog(sys.stdout.fileno(), time.monotonic))
    logging.getLogger(LOGGER_NAME).setLevel(logging.INFO)


def run_node(path: Path, main: Callable[[SettingsFile, NodeSettings], Awaitable[None]]) -> int:
    """Run a process with the settings of a file until it is told to stop."""
    log_to_stdout()
    file = SettingsFile(path)
    try:
        settings = file.read()
    except NodeSettingsError as error:
        logging.getLogger(LOGGER_NAME).error("%s", error)
        return EXIT_SETTINGS
    anyio.run(main, file, settings, backend_options={"use_uvloop": True})
    return EXIT_ENDED


def node_environment(settings: NodeSettings, role: str) -> NodeEnvironment:
    """Return the real outside of a process."""
    wall_us = wall_clock(time.time_ns() // 1_000, anyio.current_time(), anyio.current_time)
    log = EventLog(settings.name, role, uuid.uuid4().hex[:12], wall_us)
    return NodeEnvironment(
        random=Random(),
        log=log,
        dial_control=web_socket_dial(NODES_PATH, NODE_CODEC, timing=NODE_TIMING),
        dial_ranks=web_socket_dial(RANKS_PATH, NODE_CODEC, timing=NODE_TIMING),
        dial_slots=web_socket_dial(SLOTS_PATH, NODE_CODEC),
    )


async def run_entry(
    file: SettingsFile,
    settings: NodeSettings,
    request_format: RequestFormat,
    ready_handler: Callable[[DirectEntry], Handler],
) -> None:
    """Run an entry until SIGTERM.

    :param ready_handler: answers the platform's question whether the entry is ready.
    """
    environment = node_environment(settings, "entry")
    process = compose_direct_entry(settings, request_format, environment)
    environment.log.emit(events.PROCESS_STARTED, listen=settings.listen.callers)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(process.run)
        _serve_metrics(tasks, settings, process.forwarder.metrics)
        ready = Http1Server(ready_handler(process))
        tasks.start_soon(ready.serve, Address.parse(settings.listen.ready))
        await _until_stopped(tasks, file, process.links.set_seeds, environment.log)
        await process.drain()
        await _finish(tasks, environment.log)


async def run_control(
    file: SettingsFile,
    settings: NodeSettings,
    control_handler: Callable[[ControlProcess], Handler],
    directory_handler: Callable[[ControlProcess], Handler],
) -> None:
    """Run a control VM's process until SIGTERM.

    :param control_handler: answers operators and endpoints.
    :param directory_handler: answers callers that ask for entries.
    """
    from bergamotchute_consensus.file_disk import FileDisk
    from bergamotchute_daemon.environment import CONSENSUS_PATH
    from bergamotchute_daemon.voter import CONSENSUS_CODEC

    environment = node_environment(settings, "control")
    folder = Path(settings.data_folder)
    folder.mkdir(parents=True, exist_ok=True)
    dial_consensus = web_socket_dial(CONSENSUS_PATH, CONSENSUS_CODEC, timing=NODE_TIMING)
    process = compose_control(settings, FileDisk(folder), dial_consensus, environment)
    environment.log.emit(events.PROCESS_STARTED, listen=settings.listen.control)
    routes = {
        NODES_PATH: LinkRoute(NODE_CODEC, process.node_hub.serve_link, LINK_PAUSE_S),
        CONSENSUS_PATH: LinkRoute(CONSENSUS_CODEC, process.voter.serve_peer),
    }
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_web_socket_links, settings.link_address, routes, "", NODE_TIMING)
        tasks.start_soon(process.run)
        _serve_metrics(tasks, settings, NodeMetrics(process.gauges))
        control = Http1Server(control_handler(process))
        tasks.start_soon(control.serve, Address.parse(settings.listen.control))
        directory = Http1Server(directory_handler(process))
        tasks.start_soon(directory.serve, Address.parse(settings.listen.directory))
        await _until_stopped(tasks, file, process.voter.set_seeds, environment.log)
        await process.drain()
        await _finish(tasks, environment.log)


async def run_rank_agent(
    file: SettingsFile,
    settings: NodeSettings,
    rank_api: RankApi,
    read_configuration: Callable[[bytes], WholeConfiguration],
) -> None:
    """Run the process beside a rank until SIGTERM.

    :param read_configuration: raises :class:`ValueError` for what can't be read.
    """
    environment = node_environment(settings, "agent")
    process = compose_rank_agent(settings, rank_api, read_configuration, environment)
    environment.log.emit(events.PROCESS_STARTED, endpoint=settings.endpoint)
    routes = {
        RANKS_PATH: LinkRoute(NODE_CODEC, process.serve_link),
        SLOTS_PATH: LinkRoute(NODE_CODEC, process.slots.serve_entry),
    }
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_web_socket_links, settings.link_address, routes, "", NODE_TIMING)
        tasks.start_soon(process.run)
        _serve_metrics(tasks, settings, NodeMetrics(process.gauges))
        await _until_stopped(tasks, file, process.links.set_seeds, environment.log)
        await _finish(tasks, environment.log)


def _serve_metrics(tasks: TaskGroup, settings: NodeSettings, metrics: NodeMetrics) -> None:
    """Serve the metrics where the settings give a port for them."""
    if settings.metrics_port:
        address = Address(settings.host, settings.metrics_port)
        tasks.start_soon(Http1Server(metrics.handle).serve, address)


UseSeeds = Callable[[tuple[Address, ...]], None]
"""Takes the only setting that may change under way."""


async def _until_stopped(
    tasks: TaskGroup, file: SettingsFile, use_seeds: UseSeeds, log: EventLog
) -> None:
    """Wait for SIGTERM or SIGINT; read the settings again on SIGHUP and when the file changes."""
    tasks.start_soon(_follow_settings, file, use_seeds, log)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for received in signals:
            if received is not signal.SIGHUP:
                log.emit(events.PROCESS_DRAINING, signal=received.name)
                return
            _read_again(file, use_seeds, log)


async def _follow_settings(file: SettingsFile, use_seeds: UseSeeds, log: EventLog) -> None:
    while True:
        await anyio.sleep(SETTINGS_LOOK_S)
        if file.changed():
            _read_again(file, use_seeds, log)


def _read_again(file: SettingsFile, use_seeds: UseSeeds, log: EventLog) -> None:
    try:
        settings = file.read()
    except NodeSettingsError as error:
        log.emit(events.SETTINGS_RELOADED, used=False, detail=str(error))
        return
    use_seeds(settings.seed_links)
    log.emit(events.SETTINGS_RELOADED, used=True, seeds=",".join(settings.seeds))


async def _finish(tasks: TaskGroup, log: EventLog) -> None:
    await anyio.sleep(STOP_S)
    log.emit(events.PROCESS_STOPPED)
    tasks.cancel_scope.cancel()
