"""Replicas on disks in memory, joined by a network that a random source or a test drives."""

from __future__ import annotations

import contextlib
import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from bergamotchute_consensus.actions import (
    Action,
    ApplyEntry,
    ConfirmRead,
    Persist,
    RejectProposal,
    RejectRead,
    ReportLeadership,
    RestoreSnapshot,
    SendMessage,
)
from bergamotchute_consensus.events import (
    DiskFailed,
    Event,
    FoundingRequested,
    MembershipChangeRequested,
    MessageReceived,
    Persisted,
    Proposal,
    ProposalsRequested,
    ReadsRequested,
    SnapshotTaken,
    Tick,
)
from bergamotchute_consensus.log_entry import EntryContent, LogEntry
from bergamotchute_consensus.membership import Member, MembershipChange
from bergamotchute_consensus.replica import Replica
from bergamotchute_consensus.replica_settings import ReplicaSettings
from bergamotchute_consensus.storage import Storage
from bergamotchute_consensus.storage_errors import DiskError
from bergamotchute_model.identifiers import Address
from support.consensus_checks import ConsensusChecks, PromiseBroken
from support.memory_disk import MemoryDisk, PowerLossError

MOST_PUMP_ROUNDS = 2_000
SETTINGS = ReplicaSettings(
    heartbeat_interval_s=0.2,
    election_timeout_s=1.0,
    max_append_bytes=64,
    chunk_bytes=16,
    in_flight_appends=3,
    trailing_entries=2,
)


def next_digest(digest: bytes, entry: LogEntry) -> bytes:
    """Return the state after ``entry``: a digest of all commands so far."""
    if entry.content is not EntryContent.COMMAND:
        return digest
    return hashlib.sha256(digest + entry.data).digest()


@dataclass
class SimulatedNode:
    """A VM that hosts a replica."""

    address: Address
    disk: MemoryDisk
    storage: Storage | None = None
    replica: Replica | None = None
    applied: int = 0
    digest: bytes = b""
    unwritten: list[Persist] = field(default_factory=list)
    held: list[SendMessage] = field(default_factory=list)
    clock_offset_s: float = 0.0
    frozen: bool = False

    @property
    def is_up(self) -> bool:
        return self.replica is not None

    @property
    def identity(self) -> str:
        assert self.storage is not None
        return self.storage.identity

    @property
    def member(self) -> Member:
        return Member(self.identity, self.address)

    @property
    def is_leader(self) -> bool:
        return self.replica is not None and self.replica.state.is_leader


class SimulatedCluster:
    """Replicas, their disks, the messages under way and the checks.

    :param sync: how a node's storage makes persists durable; a mutant may do less.
    """

    def __init__(
        self,
        size: int,
        seed: int = 0,
        settings: ReplicaSettings = SETTINGS,
        sync: Callable[[Storage, list[Persist]], None] = Storage.write,
    ) -> None:
        self.random = Random(seed)
        self.settings = settings
        self.sync = sync
        self.now = 0.0
        self.checks = ConsensusChecks()
        self.digests: dict[int, bytes] = {0: b""}
        self.messages_in_flight: list[SendMessage] = []
        self.identities = 0
        self.tokens = 0
        self.proposed: dict[str, bytes] = {}
        self.rejected: dict[str, RejectProposal] = {}
        self.reads_rejected: set[str] = set()
        self.answered: set[str] = set()
        self.isolated_addresses: set[Address] = set()
        self.cut_links: set[frozenset[Address]] = set()
        self.nodes = [self.add_node() for _ in range(size)]
        voters = tuple(node.member for node in self.nodes)
        self.step(self.nodes[0], FoundingRequested("cluster", voters))

    def add_node(self) -> SimulatedNode:
        number = getattr(self, "vms", 0) + 1
        self.vms = number
        node = SimulatedNode(Address("10.0.0.1", 7000 + number), MemoryDisk(self.random))
        self.start(node)
        return node

    def fresh_identity(self) -> str:
        self.identities += 1
        return f"replica-{self.identities}"

    def start(self, node: SimulatedNode) -> None:
        """Start the process of a node, with what its disk holds."""
        node.storage = Storage(node.disk, self.fresh_identity, segment_bytes=512)
        recovered = node.storage.recovered
        me = Member(node.storage.identity, node.address)
        now = self.now + node.clock_offset_s
        node.replica = Replica(me, self.settings, Random(self.random.random()), recovered, now)
        node.applied = recovered.snapshot.index
        node.digest = recovered.snapshot.data
        node.unwritten = []
        node.held = []

    def crash(self, node: SimulatedNode, power: bool) -> None:
        """End the process of a node; with ``power`` lost its unsynced bytes go too."""
        node.replica = None
        node.storage = None
        if power:
            node.disk.lose_power()
        else:
            node.disk.kill_process()

    def wipe(self, node: SimulatedNode) -> None:
        """Empty the folder of a node and start it."""
        node.disk = MemoryDisk(self.random)
        self.start(node)

    def step(self, node: SimulatedNode, event: Event) -> None:
        assert node.replica is not None
        self.take_actions(node, node.replica.step(event, self.now + node.clock_offset_s))

    def take_actions(self, node: SimulatedNode, actions: list[Action]) -> None:
        for action in actions:
            self.take_action(node, action)

    def take_action(self, node: SimulatedNode, action: Action) -> None:
        assert node.replica is not None
        state = node.replica.state
        match action:
            case Persist():
                self.checks.on_append(state, action.entries)
                node.unwritten.append(action)
            case SendMessage(after=0):
                self.messages_in_flight.append(action)
            case SendMessage():
                node.held.append(action)
            case ApplyEntry(entry, token):
                self.apply(node, entry, token)
            case RestoreSnapshot(snapshot):
                expected = self.digests[snapshot.index]
                self.checks.on_restore(snapshot.index, node.applied, snapshot.data, expected)
                node.applied = snapshot.index
                node.digest = snapshot.data
            case ConfirmRead(token):
                self.answered.add(token)
                self.checks.on_read_allowed(token, node.applied)
            case RejectProposal(token):
                self.rejected[token] = action
            case RejectRead(token):
                self.reads_rejected.add(token)
            case ReportLeadership(_, True):
                self.checks.on_leading(node.identity, state)
            case ReportLeadership():
                pass

    def apply(self, node: SimulatedNode, entry: LogEntry, token: str) -> None:
        self.checks.on_apply(entry, node.applied)
        node.applied = entry.index
        node.digest = next_digest(node.digest, entry)
        self.digests.setdefault(entry.index, node.digest)
        if token:
            self.answered.add(token)
            if token in self.proposed:
                assert entry.data == self.proposed[token]
                self.checks.acknowledged.add(token)

    def write_pending(self, node: SimulatedNode) -> None:
        """Make durable all that a node wants written, and let go what waits for it."""
        if not node.unwritten or node.storage is None:
            return
        batch, node.unwritten = node.unwritten, []
        try:
            self.sync(node.storage, batch)
        except DiskError:
            node.held = []
            self.step(node, DiskFailed())
            return
        durable = batch[-1].sequence
        self.messages_in_flight += [send for send in node.held if send.after <= durable]
        node.held = [send for send in node.held if send.after > durable]
        self.step(node, Persisted(durable))

    def write_or_crash(self, node: SimulatedNode) -> None:
        """Write, on a disk that may lose its power meanwhile."""
        with contextlib.suppress(PowerLossError):
            self.write_pending(node)
        self.crash(node, power=True)

    def deliver_message(self, send: SendMessage) -> None:
        """Hand a message to the process that listens at its address, if any."""
        target = next((each for each in self.nodes if each.address == send.to.address), None)
        source = send.message.sender.address
        if target is None or not target.is_up or self.isolated_addresses & {target.address, source}:
            return
        if frozenset((target.address, source)) in self.cut_links:
            return
        self.step(target, MessageReceived(send.message))

    def tick(self, seconds: float) -> None:
        """Let time pass for all but the VMs whose clock is frozen."""
        self.now += seconds
        for node in self.nodes:
            if node.frozen:
                node.clock_offset_s -= seconds
            elif node.replica and self.now + node.clock_offset_s >= node.replica.next_tick_at:
                self.step(node, Tick())

    def propose(self, node: SimulatedNode, count: int = 1) -> list[str]:
        """Propose commands at a node; the tokens name them."""
        proposals = []
        for _ in range(count):
            token = self.token("p")
            self.proposed[token] = token.encode()
            proposals.append(Proposal(token, token.encode()))
        self.step(node, ProposalsRequested(tuple(proposals)))
        return [proposal.token for proposal in proposals]

    def read(self, node: SimulatedNode) -> str:
        token = self.token("r")
        self.checks.on_read_requested(token)
        self.step(node, ReadsRequested((token,)))
        return token

    def change(self, node: SimulatedNode, change: MembershipChange) -> str:
        token = self.token("m")
        self.step(node, MembershipChangeRequested(token, change))
        return token

    def snapshot(self, node: SimulatedNode) -> None:
        self.step(node, SnapshotTaken(node.applied, node.digest))

    def token(self, prefix: str) -> str:
        self.tokens += 1
        return f"{prefix}{self.tokens}"

    def settle(self, seconds: float = 6.0) -> None:
        """Let disks and network work without faults for so long."""
        end = self.now + seconds
        while self.now < end:
            self.pump()
            self.tick(0.05)
        self.pump()

    def pump(self) -> None:
        """Write and deliver until all is quiet."""
        for _ in range(MOST_PUMP_ROUNDS):
            if not self.messages_in_flight and not any(node.unwritten for node in self.nodes):
                return
            for node in self.nodes:
                if node.is_up:
                    self.write_pending(node)
                else:
                    node.unwritten = []
            waiting, self.messages_in_flight = self.messages_in_flight, []
            for send in waiting:
                self.deliver_message(send)
        raise PromiseBroken("messages never end")

    @property
    def leader(self) -> SimulatedNode | None:
        """The leader of the newest term that reaches others."""
        leaders = [
            node
            for node in self.nodes
            if node.is_leader and node.address not in self.isolated_addresses
        ]
        return max(leaders, key=lambda node: node.replica.state.term, default=None)  # type: ignore[union-attr]

    def elect(self) -> SimulatedNode:
        """Settle until there is a leader."""
        self.settle()
        leader = self.leader
        assert leader is not None
        return leader
