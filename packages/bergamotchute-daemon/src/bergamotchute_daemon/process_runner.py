"""Runs entries and agents as operating system processes: sockets, signals, event files."""

from __future__ import annotations

import logging
import signal
import time
import uuid
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from bergamotchute_consensus.file_disk import FileDisk
from bergamotchute_daemon.composition_root import compose_agent, compose_entry
from bergamotchute_daemon.entry_process import EntryProcess
from bergamotchute_daemon.environment import (
    ATTEMPTS_PATH,
    CONSENSUS_PATH,
    CONTROL_PATH,
    VOTER_PATH,
    Environment,
)
from bergamotchute_daemon.event_log import EventLog, configure_logging, create_wall_clock
from bergamotchute_daemon.settings import AgentSettings, EntrySettings, ProcessSettings
from bergamotchute_daemon.voter import CONSENSUS_CODEC
from bergamotchute_model import events
from bergamotchute_model.attempt_messages import AttemptMessage
from bergamotchute_model.control_messages import ControlMessage
from bergamotchute_wire.asgi_server import serve_asgi_app
from bergamotchute_wire.endpoint_client import http_endpoint_call
from bergamotchute_wire.message_codec import MessageCodec
from bergamotchute_wire.web_socket_transport import (
    LinkRoute,
    serve_web_socket_links,
    web_socket_dial,
)

ATTEMPT_CODEC: MessageCodec[AttemptMessage] = MessageCodec(AttemptMessage)
CONTROL_CODEC: MessageCodec[ControlMessage] = MessageCodec(ControlMessage)

EXIT_SUCCESS = 0
EXIT_DRAIN_OVERRUN = 3
"""Requests still ran at the end of the drain bound and were cancelled."""

EXIT_FAILED = 1

INCARNATION_LENGTH = 12

_LOG_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}

CLOSE_TIMEOUT_S = 0.2
"""Time that connections are given to close."""


def run_process(settings: EntrySettings | AgentSettings) -> int:
    """Run a process until SIGTERM or SIGINT; return its exit status."""
    level = None if settings.log_level == "none" else _LOG_LEVELS[settings.log_level]
    remove_log_handlers = configure_logging(settings.event_file, level)
    status = EXIT_FAILED
    try:
        if isinstance(settings, EntrySettings):
            status = anyio.run(run_entry, settings, backend=settings.event_loop)
        else:
            status = anyio.run(run_agent, settings, backend=settings.event_loop)
    except* OSError as group:
        for error in group.exceptions:
            logging.getLogger("bergamotchute").error("%s", error)
    finally:
        remove_log_handlers()
    return status


async def run_entry(settings: EntrySettings) -> int:
    """Run an entry until a stop signal; return the exit status."""
    environment = _create_environment(settings)
    async with anyio.create_task_group() as tasks:
        disk = FileDisk(settings.data_folder) if settings.data_folder is not None else None
        process = compose_entry(settings, environment, tasks, disk)
        process.log.emit(events.PROCESS_STARTED, listen=str(settings.listen))
        routes = _entry_routes(process)
        if routes:
            tasks.start_soon(
                serve_web_socket_links, settings.peer_listen, routes, settings.cluster_token
            )
        tasks.start_soon(process.run)
        stop_requested = anyio.Event()
        tasks.start_soon(serve_asgi_app, process.app, settings.listen, stop_requested.wait)
        process.log.emit(events.PROCESS_READY)
        ended = await _drain_on_signal(process.drain)
        await _stop_tasks(tasks, stop_requested, process.log, ended)
    return EXIT_SUCCESS if ended else EXIT_DRAIN_OVERRUN


def _entry_routes(process: EntryProcess) -> dict[str, LinkRoute]:
    """Return the routes of links that an entry accepts for the relay and voter it hosts."""
    routes: dict[str, LinkRoute] = {}
    if process.relay is not None:
        routes[CONTROL_PATH] = LinkRoute(CONTROL_CODEC, process.relay.serve_link)
    if process.voter is not None:
        routes[VOTER_PATH] = LinkRoute(CONTROL_CODEC, process.voter.serve_relay)
        routes[CONSENSUS_PATH] = LinkRoute(CONSENSUS_CODEC, process.voter.serve_peer)
    return routes


async def run_agent(settings: AgentSettings) -> int:
    """Run an agent until a stop signal; return the exit status."""
    environment = _create_environment(settings)
    async with anyio.create_task_group() as tasks:
        call_endpoint = http_endpoint_call(settings.endpoint_url)
        process = compose_agent(settings, environment, call_endpoint, tasks)
        process.log.emit(events.PROCESS_STARTED, endpoint=settings.name)
        routes = {ATTEMPTS_PATH: LinkRoute(ATTEMPT_CODEC, process.agent.serve_link)}
        tasks.start_soon(
            serve_web_socket_links, settings.peer_listen, routes, settings.cluster_token
        )
        tasks.start_soon(process.run)
        stop_requested = anyio.Event()
        if settings.listen is not None:
            tasks.start_soon(serve_asgi_app, process, settings.listen, stop_requested.wait)
        process.log.emit(events.PROCESS_READY)
        ended = await _drain_on_signal(process.drain)
        await _stop_tasks(tasks, stop_requested, process.log, ended)
    return EXIT_SUCCESS if ended else EXIT_DRAIN_OVERRUN


async def _drain_on_signal(drain: Callable[[], Awaitable[bool]]) -> bool:
    """Wait for a stop signal, then drain; a second signal cancels the drain.

    :return: whether the drain was completed.
    """
    ended = False
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(signals)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_signal, signals, tasks.cancel_scope)
            ended = await drain()
            tasks.cancel_scope.cancel()
    return ended


async def _cancel_on_signal(signals: Any, scope: anyio.CancelScope) -> None:
    await anext(signals)
    scope.cancel()


async def _stop_tasks(
    tasks: TaskGroup, stop_requested: anyio.Event, log: EventLog, ended: bool
) -> None:
    """Stop the servers and cancel all tasks."""
    stop_requested.set()
    await anyio.sleep(CLOSE_TIMEOUT_S)
    log.emit(events.PROCESS_STOPPED, ended=ended)
    tasks.cancel_scope.cancel()


def _create_environment(settings: ProcessSettings) -> Environment:
    """Return the external dependencies of a process outside tests."""
    token = settings.cluster_token
    return Environment(
        incarnation=uuid.uuid4().hex[:INCARNATION_LENGTH],
        random=Random(),
        wall_us=create_wall_clock(
            time.time_ns() // 1_000, anyio.current_time(), anyio.current_time
        ),
        dial_attempts=web_socket_dial(ATTEMPTS_PATH, ATTEMPT_CODEC, token),
        dial_control=web_socket_dial(CONTROL_PATH, CONTROL_CODEC, token),
        dial_voter=web_socket_dial(VOTER_PATH, CONTROL_CODEC, token),
        dial_consensus=web_socket_dial(CONSENSUS_PATH, CONSENSUS_CODEC, token),
    )
