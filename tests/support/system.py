"""Complete entries, relays and agents on the simulated clock, connected by links in memory."""

from __future__ import annotations

import hashlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

import anyio
import trio
import trio.testing
from anyio.abc import TaskGroup

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
from bergamotchute_daemon.settings import AgentSettings, EntrySettings
from bergamotchute_model.identifiers import Address
from support.caller import ADMIN_TOKEN, TEAM_TOKEN, Caller
from support.memory_links import MemoryNetwork
from support.request_path import ScriptedEndpoint
from support.stand_in_voter import StandInVoter

ZONES = ("milano-a", "bergamo-b", "brescia-c")
CLUSTER_TOKEN = "cluster-token-0123456789abcdef"
VOTER_ADDRESS = Address("10.0.9.1", 7000)
SERVICES_FILE = """\
file: services
number: 1
services:
  - name: drafting
    kind: model
    model: booklets
    max_deadline_s: 900
  - name: orders
    kind: plain
"""


def teams_file(number: int = 1, drains: str = "") -> str:
    """Return the teams file, which defines one team.

    :param drains: further lines of the file.
    """
    digest = hashlib.sha256(TEAM_TOKEN.encode()).hexdigest()
    return f"""\
file: teams
number: {number}
teams:
  - name: parish
    token_sha256: {digest}
    services: [drafting, orders]
    requests_per_second: 1000
    burst: 1000
    max_concurrent: 1000
{drains}"""


@dataclass
class System:
    """Processes by name, each in a task group of its own that a test can cancel."""

    tasks: TaskGroup
    network: MemoryNetwork
    voter: StandInVoter = field(default_factory=StandInVoter)
    entries: dict[str, EntryProcess] = field(default_factory=dict)
    agents: dict[str, AgentProcess] = field(default_factory=dict)
    endpoints: dict[str, ScriptedEndpoint] = field(default_factory=dict)
    scopes: dict[str, anyio.CancelScope] = field(default_factory=dict)
    relays: tuple[Address, ...] = ()
    started: int = 0

    async def start(self, entries: int = 3, relays: int = 2, runners: int = 2) -> None:
        """Start a voter, entries and agents, and apply the services and teams files.

        :param entries: the number of entries.
        :param relays: the number of entries, from the first, that host a relay.
        :param runners: the number of agents, each with an endpoint.
        """
        self.network.serve("voter", VOTER_ADDRESS, VOTER_PATH, self.voter.serve_link)
        self.relays = tuple(Address(f"10.0.0.{n + 1}", 7000) for n in range(relays))
        for number in range(entries):
            await self.start_entry(number)
        for number in range(runners):
            await self.start_agent(number)
        await anyio.sleep(3.0)
        for name, text in (("services", SERVICES_FILE), ("teams", teams_file())):
            answer = await self.caller(0).apply(name, text)
            assert answer.status == 200, answer.body
        await anyio.sleep(3.0)

    def caller(self, entry: int) -> Caller:
        """Return a caller that sends its requests to one entry."""
        return Caller(self.entries[f"entry-{entry}"].app)

    async def start_entry(self, number: int) -> EntryProcess:
        """Start an entry and return its process."""
        name = f"entry-{number}"
        address = Address(f"10.0.0.{number + 1}", 7000)
        settings = EntrySettings(
            name=name,
            vm=f"vm-{number}",
            availability_zone=ZONES[number % 3],
            peer_listen=address,
            relays=self.relays,
            cluster_token=CLUSTER_TOKEN,
            drain_bound_s=600.0,
            event_file=None,
            log_level="none",
            event_loop="trio",
            listen=Address(f"10.0.0.{number + 1}", 8000),
            data_folder=None,
            voters=(VOTER_ADDRESS,),
            bootstrap=False,
            relay=address in self.relays,
            admin_token=ADMIN_TOKEN,
            lame_duck_s=2.0,
        )
        await self._start(name, partial(self._compose_entry, settings))
        return self.entries[name]

    async def start_agent(
        self, number: int, endpoint: ScriptedEndpoint | None = None
    ) -> AgentProcess:
        """Start an agent beside a scripted endpoint and return its process."""
        name = f"runner-{number}"
        self.endpoints[name] = endpoint or ScriptedEndpoint()
        settings = AgentSettings(
            name=name,
            vm=f"vm-r{number}",
            availability_zone=ZONES[number % 3],
            peer_listen=Address(f"10.0.1.{number + 1}", 7000),
            relays=self.relays,
            cluster_token=CLUSTER_TOKEN,
            drain_bound_s=600.0,
            event_file=None,
            log_level="none",
            event_loop="trio",
            endpoint_url="http://127.0.0.1:1",
            services=("drafting", "orders"),
            slots=4,
            honours_fencing=False,
            group="",
            rank=-1,
            listen=None,
        )
        await self._start(name, partial(self._compose_agent, settings))
        return self.agents[name]

    def kill(self, name: str) -> None:
        """Cancel a process without a drain."""
        self.scopes[name].cancel()
        self.network.stop_serving(name)

    async def _start(
        self, name: str, compose: Callable[[Environment, TaskGroup], Callable[[], Any]]
    ) -> None:
        self.started += 1
        scope = anyio.CancelScope()
        self.scopes[name] = scope
        is_composed = anyio.Event()

        async def run() -> None:
            with scope:
                async with anyio.create_task_group() as tasks:
                    main = compose(self._environment(name), tasks)
                    is_composed.set()
                    await main()

        self.tasks.start_soon(run)
        await is_composed.wait()

    def _compose_entry(
        self, settings: EntrySettings, environment: Environment, tasks: TaskGroup
    ) -> Callable[[], Awaitable[None]]:
        process = compose_entry(settings, environment, tasks)
        self.entries[settings.name] = process
        if process.relay is not None:
            serve = process.relay.serve_link
            self.network.serve(settings.name, settings.peer_listen, CONTROL_PATH, serve)
        return process.run

    def _compose_agent(
        self, settings: AgentSettings, environment: Environment, tasks: TaskGroup
    ) -> Callable[[], Awaitable[None]]:
        call = self.endpoints[settings.name].call
        process = compose_agent(settings, environment, call, tasks)
        self.agents[settings.name] = process
        serve = process.agent.serve_link
        self.network.serve(settings.name, settings.peer_listen, ATTEMPTS_PATH, serve)
        return process.run

    def _environment(self, name: str) -> Environment:
        return Environment(
            incarnation=f"i{self.started}",
            random=Random(self.started),
            wall_us=lambda: round(anyio.current_time() * 1e6),
            dial_attempts=self.network.dial(name, ATTEMPTS_PATH),
            dial_control=self.network.dial(name, CONTROL_PATH),
            dial_voter=self.network.dial(name, VOTER_PATH),
            dial_consensus=self.network.dial(name, CONSENSUS_PATH),
        )


def run_system(body: Callable[[System], Awaitable[None]]) -> None:
    """Run a test body with a system on the simulated clock."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            await body(System(tasks, MemoryNetwork(tasks)))
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
