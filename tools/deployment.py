"""A whole deployment on loopback, of real processes: entries, agents, fake engines and services."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field
from pathlib import Path

from tools.fleet import LOOPBACK, Fleet, free_ports

CLUSTER_TOKEN_FILE = "cluster.token"
ADMIN_TOKEN_FILE = "admin.token"


@dataclass(frozen=True)
class EntryVm:
    """An entry of the deployment.

    :param voter: it holds a data folder and a control voter, and hosts a relay.
    """

    name: str
    zone: str
    port: int
    peer_port: int
    voter: bool

    @property
    def address(self) -> str:
        """Return where callers and operators connect."""
        return f"{LOOPBACK}:{self.port}"

    @property
    def peer(self) -> str:
        """Return where other processes connect."""
        return f"{LOOPBACK}:{self.peer_port}"


@dataclass(frozen=True)
class EndpointPlan:
    """Endpoints that are alike, named ``NAME-1``, ``NAME-2``, ...

    :param plain: order services rather than model engines.
    """

    name: str
    services: tuple[str, ...]
    count: int
    plain: bool = False


@dataclass(frozen=True)
class EndpointVm:
    """An endpoint with its agent.

    :param plain: an order service rather than a model engine.
    """

    name: str
    zone: str
    services: tuple[str, ...]
    port: int
    peer_port: int
    agent_port: int
    plain: bool = False
    slots: int = 4
    tokens_per_s: float = 40.0
    work_s: float = 0.05

    @property
    def agent_name(self) -> str:
        """Return the name of the agent's process."""
        return f"{self.name}-agent"


@dataclass
class Deployment:
    """Starts and stops the processes of one deployment.

    :param folder: tokens, data folders, logs, event files and journals go here.
    """

    fleet: Fleet
    folder: Path
    entries: list[EntryVm] = field(default_factory=list)
    endpoints: list[EndpointVm] = field(default_factory=list)

    def __post_init__(self) -> None:
        for name in ("events", "journals", "data"):
            (self.folder / name).mkdir(parents=True, exist_ok=True)
        self.cluster_token = self._write_secret(CLUSTER_TOKEN_FILE)
        self.admin_token = self._write_secret(ADMIN_TOKEN_FILE)

    def _write_secret(self, name: str) -> str:
        secret = secrets.token_hex(16)
        path = self.folder / name
        path.touch(mode=0o600)
        path.write_text(secret, encoding="utf-8")
        return secret

    def plan(
        self, zones: tuple[str, ...], voters: int, others: int, endpoints: list[EndpointPlan]
    ) -> None:
        """Lay out entries and endpoints over the zones; nothing starts yet."""
        count = voters + others
        ports = free_ports(2 * count + 3 * sum(plan.count for plan in endpoints))
        for index in range(count):
            zone = zones[index % len(zones)]
            port, peer_port = ports[2 * index : 2 * index + 2]
            name = f"entry-{index + 1}"
            self.entries.append(EntryVm(name, zone, port, peer_port, index < voters))
        rest = ports[2 * count :]
        for plan in endpoints:
            for index in range(plan.count):
                (port, peer, agent), rest = rest[:3], rest[3:]
                zone, name = zones[index % len(zones)], f"{plan.name}-{index + 1}"
                endpoint = EndpointVm(name, zone, plan.services, port, peer, agent, plan.plain)
                self.endpoints.append(endpoint)

    def entry(self, name: str) -> EntryVm:
        """Return an entry by its name."""
        return next(entry for entry in self.entries if entry.name == name)

    def start_entry(self, entry: EntryVm, *, bootstrap: bool = False) -> None:
        """Start an entry; a voter founds the control group with ``bootstrap``."""
        arguments = ["bergamotchuted", "entry", *self._common(entry.name, entry.zone, entry.peer)]
        arguments += ["--listen", entry.address, "--lame-duck", "0.5"]
        arguments += ["--admin-token-file", str(self.folder / ADMIN_TOKEN_FILE)]
        if entry.voter:
            voters = ",".join(other.peer for other in self.entries if other.voter)
            arguments += ["--data", str(self.folder / "data" / entry.name), "--voters", voters]
            arguments += ["--relay"] + (["--bootstrap"] if bootstrap else [])
        self.fleet.start(entry.name, arguments)

    def start_endpoint(self, endpoint: EndpointVm) -> None:
        """Start a fake endpoint."""
        module = "order_service" if endpoint.plain else "engine"
        arguments = [f"module:tools.fakes.{module}", "--bind", f"{LOOPBACK}:{endpoint.port}"]
        arguments += ["--name", endpoint.name, "--journal", str(self.journal(endpoint.name))]
        if endpoint.plain:
            arguments += ["--work-s", str(endpoint.work_s)]
        else:
            arguments += ["--slots", str(endpoint.slots)]
            arguments += ["--tokens-per-s", str(endpoint.tokens_per_s)]
        self.fleet.start(endpoint.name, arguments)

    def start_agent(self, endpoint: EndpointVm) -> None:
        """Start the agent beside an endpoint."""
        peer = f"{LOOPBACK}:{endpoint.peer_port}"
        common = self._common(endpoint.agent_name, endpoint.zone, peer)
        common[common.index(endpoint.agent_name)] = endpoint.name
        arguments = ["bergamotchuted", "agent", *common]
        arguments += ["--endpoint-url", f"http://{LOOPBACK}:{endpoint.port}"]
        arguments += ["--services", ",".join(endpoint.services), "--slots", str(endpoint.slots)]
        arguments += ["--listen", f"{LOOPBACK}:{endpoint.agent_port}"]
        self.fleet.start(endpoint.agent_name, arguments)

    def start_all(self) -> None:
        """Start everything; voters found the control group."""
        for endpoint in self.endpoints:
            self.start_endpoint(endpoint)
        for entry in self.entries:
            self.start_entry(entry, bootstrap=entry.voter)
        for endpoint in self.endpoints:
            self.start_agent(endpoint)

    def journal(self, endpoint: str) -> Path:
        """Return the file of what an endpoint executed."""
        return self.folder / "journals" / f"{endpoint}.jsonl"

    def _common(self, name: str, zone: str, peer: str) -> list[str]:
        relays = ",".join(entry.peer for entry in self._relays(zone))
        events = str(self.folder / "events" / f"{name}.jsonl")
        token = str(self.folder / CLUSTER_TOKEN_FILE)
        return [
            *("--name", name, "--zone", zone, "--peer-listen", peer, "--relays", relays),
            *("--cluster-token-file", token, "--event-file", events, "--log-level", "warning"),
        ]

    def _relays(self, zone: str) -> list[EntryVm]:
        """Return the relays, those of the own zone first."""
        return sorted((e for e in self.entries if e.voter), key=lambda e: e.zone != zone)
