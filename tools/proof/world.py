"""The real entries, relays and agents of one run, under the runtime's paused clock.

Processes are composed by the product's own composition root; links, wall clocks, chance and
endpoints come from here. Each process runs in a task group of its own, so that it can die.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup
from tests.support.memory_disk import MemoryDisk

from bergamotchute_daemon.agent_process import AgentProcess
from bergamotchute_daemon.composition_root import compose_agent, compose_entry
from bergamotchute_daemon.entry_process import EntryProcess
from bergamotchute_daemon.environment import (
    ATTEMPTS_PATH,
    CONSENSUS_PATH,
    CONTROL_PATH,
    VOTER_PATH,
    Environment,
)
from bergamotchute_daemon.event_log import LOGGER_NAME
from bergamotchute_daemon.settings import AgentSettings, EntrySettings
from bergamotchute_model.event_record import EventRecord
from bergamotchute_model.identifiers import Address
from tools.proof.endpoints import EXECUTIONS_EACH, MemoryEndpoint
from tools.proof.history import History, ProcessEnded, StopPlanned, ViewDropped, ViewUsed
from tools.proof.network import Network
from tools.proof.scenario import RunnerGroup, Scenario

LATENCY_S = 0.0005
VIEW_SAMPLE_S = 0.25
DRAIN_BOUND_S = 600.0
LAME_DUCK_S = 1.0
CLUSTER_TOKEN = "cluster-token-0123456789abcdef"
ADMIN_TOKEN = "admin-token-0123456789abcdef"
DISK_WRITE_S = 0.0005


@dataclass
class Process:
    """One process of the run, over all its lives.

    :param life: counts its starts.
    :param tasks: of its present life; ``None`` when it is down.
    :param running: the composed process of its present life.
    """

    name: str
    zone: str
    peer: Address
    life: int = 0
    tasks: TaskGroup | None = None
    running: EntryProcess | AgentProcess | None = None
    endpoint: MemoryEndpoint | None = None
    clock_ahead_us: int = 0


@dataclass
class World:
    """Everything that runs.

    :param tasks: where processes run.
    :param events: numbered events of all processes, in the order in which they came.
    :param on_event: told of each event.
    """

    scenario: Scenario
    seed: int
    tasks: TaskGroup
    history: History = field(default_factory=History)
    events: list[EventRecord] = field(default_factory=list)
    on_event: Callable[[EventRecord], None] = lambda _: None
    processes: dict[str, Process] = field(default_factory=dict)
    executions: int = 0

    def __post_init__(self) -> None:
        self.network = Network(LATENCY_S, Random(self.seed), self.tasks)
        self.disks: dict[str, MemoryDisk] = {}
        self.groups: dict[str, RunnerGroup] = {}
        self.relays: tuple[Address, ...] = ()

    async def start(self) -> None:
        """Start everything."""
        self.lay_out()
        for name in self.processes:
            await self.start_process(name)
        self.tasks.start_soon(self.sample_views)

    def lay_out(self) -> None:
        """Give every process its zone and address."""
        zones = self.scenario.zones
        for index, name in enumerate(self.scenario.entry_names):
            address = Address(f"10.0.0.{index + 1}", 7000)
            self.processes[name] = Process(name, zones[index % len(zones)], address)
        self.relays = tuple(
            self.processes[name].peer for name in self.scenario.entry_names[: self.scenario.voters]
        )
        number = 0
        for group in self.scenario.runners:
            for index, name in enumerate(group.names):
                number += 1
                self.groups[name] = group
                address = Address(f"10.0.{1 + number // 250}.{number % 250 + 1}", 7000)
                self.processes[name] = Process(name, zones[index % len(zones)], address)

    def entry(self, name: str) -> EntryProcess | None:
        """Return an entry that runs."""
        running = self.processes[name].running
        return running if isinstance(running, EntryProcess) else None

    def running_entries(self) -> list[str]:
        """Return the names of the entries that run."""
        return [name for name in self.scenario.entry_names if self.entry(name) is not None]

    async def start_process(self, name: str) -> None:
        """Start a process, or start it again."""
        process = self.processes[name]
        if process.tasks is not None:
            return
        process.life += 1
        composed = anyio.Event()
        self.tasks.start_soon(self._run, process, composed)
        await composed.wait()

    async def _run(self, process: Process, composed: anyio.Event) -> None:
        async with anyio.create_task_group() as tasks:
            process.tasks = tasks
            if process.name in self.groups:
                handlers = self._compose_agent(process, tasks)
            else:
                handlers = self._compose_entry(process, tasks)
            assert process.running is not None
            tasks.start_soon(self.network.listen, process.name, process.peer, handlers)
            tasks.start_soon(process.running.run)
            composed.set()

    def _compose_entry(self, process: Process, tasks: TaskGroup) -> dict[str, Any]:
        settings = EntrySettings(
            **self._settings(process),
            listen=Address(process.peer.host, 8080),
            data_folder=None,
            voters=self.relays,
            bootstrap=process.peer in self.relays and process.life == 1,
            relay=process.peer in self.relays,
            admin_token=ADMIN_TOKEN,
            lame_duck_s=LAME_DUCK_S,
        )
        disk = self._disk(process.name) if process.peer in self.relays else None
        entry = compose_entry(settings, self._environment(process), tasks, disk)
        process.running = entry
        handlers: dict[str, Any] = {}
        if entry.relay is not None:
            handlers[CONTROL_PATH] = entry.relay.serve_link
        if entry.voter is not None:
            entry.voter.run_blocking = _write_inline
            handlers[VOTER_PATH] = entry.voter.serve_relay
            handlers[CONSENSUS_PATH] = entry.voter.serve_peer
        return handlers

    def _disk(self, name: str) -> MemoryDisk:
        """Return the disk of a VM, which outlasts its processes."""
        if name not in self.disks:
            self.disks[name] = MemoryDisk(Random(f"{self.seed}/disk/{name}"))
        return self.disks[name]

    def _compose_agent(self, process: Process, tasks: TaskGroup) -> dict[str, Any]:
        group = self.groups[process.name]
        self.executions += EXECUTIONS_EACH
        endpoint = MemoryEndpoint(process.name, group, self.history, tasks, self.executions)
        settings = AgentSettings(
            **self._settings(process),
            endpoint_url="http://127.0.0.1:1",
            services=(group.service,),
            slots=group.slots,
            honours_fencing=False,
            group="",
            rank=-1,
            listen=None,
        )
        agent = compose_agent(settings, self._environment(process), endpoint.call, tasks)
        process.running, process.endpoint = agent, endpoint
        return {ATTEMPTS_PATH: agent.agent.serve_link}

    def _settings(self, process: Process) -> dict[str, Any]:
        return {
            "name": process.name,
            "vm": f"vm-{process.name}",
            "availability_zone": process.zone,
            "peer_listen": process.peer,
            "relays": self.relays,
            "cluster_token": CLUSTER_TOKEN,
            "drain_bound_s": DRAIN_BOUND_S,
            "event_loop": "trio",
            "event_file": None,
            "log_level": "none",
        }

    def _environment(self, process: Process) -> Environment:
        dial, name = self.network.dial, process.name
        return Environment(
            incarnation=f"{name}.{process.life}",
            random=Random(f"{self.seed}/{name}/{process.life}"),
            wall_us=lambda: round(anyio.current_time() * 1e6) + process.clock_ahead_us,
            dial_attempts=dial(name, ATTEMPTS_PATH),
            dial_control=dial(name, CONTROL_PATH),
            dial_voter=dial(name, VOTER_PATH),
            dial_consensus=dial(name, CONSENSUS_PATH),
        )

    def kill(self, name: str, *, silently: bool = False, loses_unsynced: bool = False) -> None:
        """End a process at once.

        :param silently: its VM is gone too, so that its peers hear nothing of it.
        :param loses_unsynced: bytes and names that its disk had not synced are gone.
        """
        process = self.processes[name]
        if process.tasks is None:
            return
        if not silently:
            self.network.reset_process(name)
        if process.endpoint is not None:
            process.endpoint.die()
        process.tasks.cancel_scope.cancel()
        self._gone(process, planned=False)
        if loses_unsynced and name in self.disks:
            self.disks[name].lose_power()

    async def stop(self, name: str) -> None:
        """Stop a process in order."""
        process = self.processes[name]
        if process.running is None or process.tasks is None:
            return
        life = process.life
        self.history.add(StopPlanned(anyio.current_time(), name))
        ended = await process.running.drain()
        if process.life == life and process.tasks is not None:
            process.tasks.cancel_scope.cancel()
            self._gone(process, planned=ended)

    def _gone(self, process: Process, *, planned: bool) -> None:
        process.tasks, process.running, process.endpoint = None, None, None
        self.history.add(ProcessEnded(anyio.current_time(), process.name, planned))

    async def sample_views(self) -> None:
        """Write into the history which view each entry would judge a request by."""
        used: dict[str, int | None] = {}
        while True:
            now = anyio.current_time()
            for name in self.scenario.entry_names:
                entry = self.entry(name)
                confirmed = entry is not None and entry.view.is_confirmed(now)
                revision = entry.view.revision if entry is not None and confirmed else None
                if revision != used.get(name):
                    used[name] = revision
                    dropped = ViewDropped(now, name)
                    self.history.add(dropped if revision is None else ViewUsed(now, name, revision))
            await anyio.sleep(VIEW_SAMPLE_S)


async def _write_inline(function: Callable[[], None]) -> None:
    """Run a disk write at once: the paused clock knows no threads."""
    function()
    await anyio.sleep(DISK_WRITE_S)


class EventCollector(logging.Handler):
    """Hands the numbered events of all processes to a world."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self.world = world

    def emit(self, record: logging.LogRecord) -> None:
        """Take one log record."""
        event = getattr(record, "event_record", None)
        if isinstance(event, EventRecord):
            self.world.events.append(event)
            self.world.on_event(event)


async def with_events(world: World, body: Callable[[], Awaitable[None]]) -> None:
    """Run ``body`` while the world collects events."""
    logger = logging.getLogger(LOGGER_NAME)
    collector = EventCollector(world)
    before = (logger.level, logger.propagate)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    logger.addHandler(collector)
    try:
        await body()
    finally:
        logger.removeHandler(collector)
        logger.setLevel(before[0])
        logger.propagate = before[1]
