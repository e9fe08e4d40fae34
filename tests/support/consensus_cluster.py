"""A simulated cluster: replicas with in-memory disks and a network that the test drives."""

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
from support.consensus_checks import ConsensusChecks, InvariantViolation
from support.memory_disk import MemoryDisk, PowerLossError

MAX_PUMP_ROUNDS = 2_000
SETTINGS = ReplicaSettings(
    heartbeat_interval_s=0.2,
    election_timeout_s=1.0,
    max_append_bytes=64,
    snapshot_chunk_bytes=16,
    max_in_flight_appends=3,
    trailing_entries=2,
)


def next_digest(digest: bytes, entry: LogEntry) -> bytes:
    """Return the state after ``entry``, which is a digest of all commands so far."""
    if entry.content is not EntryContent.COMMAND:
        return digest
    return hashlib.sha256(digest + entry.data).digest()


@dataclass
class SimulatedNode:
    """A VM that runs a replica.

    :param pending_persists: writes that are not durable yet.
    :param held: messages that wait for a write.
    :param clock_offset_s: offset of the VM's clock from the cluster's, in seconds.
    :param frozen: whether the VM's clock stands still.
    """

    address: Address
    disk: MemoryDisk
    storage: Storage | None = None
    replica: Replica | None = None
    applied: int = 0
    digest: bytes = b""
    pending_persists: list[Persist] = field(default_factory=list)
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
    """Replicas, their disks, the messages in flight and the checks.

    :param sync: makes a batch of persists durable; a mutation test passes a faulty one.
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
        self.digest_by_index: dict[int, bytes] = {0: b""}
        self.messages_in_flight: list[SendMessage] = []
        self.identity_count = 0
        self.token_count = 0
        self.proposed: dict[str, bytes] = {}
        self.rejected_proposals: dict[str, RejectProposal] = {}
        self.rejected_reads: set[str] = set()
        self.completed_tokens: set[str] = set()
        self.isolated_addresses: set[Address] = set()
        self.cut_links: set[frozenset[Address]] = set()
        self.nodes = [self.add_node() for _ in range(size)]
        voters = tuple(node.member for node in self.nodes)
        self.step(self.nodes[0], FoundingRequested("cluster", voters))

    def add_node(self) -> SimulatedNode:
        number = getattr(self, "node_count", 0) + 1
        self.node_count = number
        node = SimulatedNode(Address("10.0.0.1", 7000 + number), MemoryDisk(self.random))
        self.start(node)
        return node

    def new_identity(self) -> str:
        self.identity_count += 1
        return f"replica-{self.identity_count}"

    def start(self, node: SimulatedNode) -> None:
        """Start the process of a node from the content of its disk."""
        node.storage = Storage(node.disk, self.new_identity, segment_bytes=512)
        recovered = node.storage.recovered
        me = Member(node.storage.identity, node.address)
        now = self.now + node.clock_offset_s
        node.replica = Replica(me, self.settings, Random(self.random.random()), recovered, now)
        node.applied = recovered.snapshot.index
        node.digest = recovered.snapshot.data
        node.pending_persists = []
        node.held = []

    def crash(self, node: SimulatedNode, power: bool) -> None:
        """End the process of a node; ``power`` loss also drops or tears unsynced bytes."""
        node.replica = None
        node.storage = None
        if power:
            node.disk.lose_power()
        else:
            node.disk.kill_process()

    def wipe(self, node: SimulatedNode) -> None:
        """Replace the disk of a node by an empty disk, and start the node."""
        node.disk = MemoryDisk(self.random)
        self.start(node)

    def step(self, node: SimulatedNode, event: Event) -> None:
        assert node.replica is not None
        self.execute_actions(node, node.replica.step(event, self.now + node.clock_offset_s))

    def execute_actions(self, node: SimulatedNode, actions: list[Action]) -> None:
        for action in actions:
            self.execute_action(node, action)

    def execute_action(self, node: SimulatedNode, action: Action) -> None:
        assert node.replica is not None
        state = node.replica.state
        match action:
            case Persist():
                self.checks.on_append(state, action.entries)
                node.pending_persists.append(action)
            case SendMessage(after=0):
                self.messages_in_flight.append(action)
            case SendMessage():
                node.held.append(action)
            case ApplyEntry(entry, token):
                self.apply(node, entry, token)
            case RestoreSnapshot(snapshot):
                expected = self.digest_by_index[snapshot.index]
                self.checks.on_restore(snapshot.index, node.applied, snapshot.data, expected)
                node.applied = snapshot.index
                node.digest = snapshot.data
            case ConfirmRead(token):
                self.completed_tokens.add(token)
                self.checks.on_read_allowed(token, node.applied)
            case RejectProposal(token):
                self.rejected_proposals[token] = action
            case RejectRead(token):
                self.rejected_reads.add(token)
            case ReportLeadership(_, True):
                self.checks.on_leader_elected(node.identity, state)
            case ReportLeadership():
                pass

    def apply(self, node: SimulatedNode, entry: LogEntry, token: str) -> None:
        self.checks.on_apply(entry, node.applied)
        node.applied = entry.index
        node.digest = next_digest(node.digest, entry)
        self.digest_by_index.setdefault(entry.index, node.digest)
        if token:
            self.completed_tokens.add(token)
            if token in self.proposed:
                assert entry.data == self.proposed[token]
                self.checks.acknowledged.add(token)

    def write_pending(self, node: SimulatedNode) -> None:
        """Make the pending persists of a node durable, and send the messages that wait for them."""
        if not node.pending_persists or node.storage is None:
            return
        batch, node.pending_persists = node.pending_persists, []
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
        """Write on a disk that may lose power meanwhile, then crash the node."""
        with contextlib.suppress(PowerLossError):
            self.write_pending(node)
        self.crash(node, power=True)

    def deliver_message(self, send: SendMessage) -> None:
        """Deliver a message to the process at its address, if that process is up and reachable."""
        target = next((each for each in self.nodes if each.address == send.to.address), None)
        source = send.message.sender.address
        if target is None or not target.is_up or self.isolated_addresses & {target.address, source}:
            return
        if frozenset((target.address, source)) in self.cut_links:
            return
        self.step(target, MessageReceived(send.message))

    def tick(self, seconds: float) -> None:
        """Advance the clocks of all VMs except frozen ones."""
        self.now += seconds
        for node in self.nodes:
            if node.frozen:
                node.clock_offset_s -= seconds
            elif node.replica and self.now + node.clock_offset_s >= node.replica.next_tick_at:
                self.step(node, Tick())

    def propose(self, node: SimulatedNode, count: int = 1) -> list[str]:
        """Propose commands at a node and return their tokens."""
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
        self.token_count += 1
        return f"{prefix}{self.token_count}"

    def settle(self, seconds: float = 6.0) -> None:
        """Run disks and network without new faults for ``seconds`` of simulated time."""
        end = self.now + seconds
        while self.now < end:
            self.drain_messages()
            self.tick(0.05)
        self.drain_messages()

    def drain_messages(self) -> None:
        """Write and deliver until no write or message is pending."""
        for _ in range(MAX_PUMP_ROUNDS):
            if not self.messages_in_flight and not any(
                node.pending_persists for node in self.nodes
            ):
                return
            for node in self.nodes:
                if node.is_up:
                    self.write_pending(node)
                else:
                    node.pending_persists = []
            waiting, self.messages_in_flight = self.messages_in_flight, []
            for send in waiting:
                self.deliver_message(send)
        raise InvariantViolation("the replicas never stop sending messages")

    @property
    def leader(self) -> SimulatedNode | None:
        """The leader of the newest term, except for leaders that are cut off."""
        leaders = [
            node
            for node in self.nodes
            if node.is_leader and node.address not in self.isolated_addresses
        ]
        return max(leaders, key=lambda node: node.replica.state.term, default=None)  # type: ignore[union-attr]

    def elect(self) -> SimulatedNode:
        """Settle and return the leader."""
        self.settle()
        leader = self.leader
        assert leader is not None
        return leader
