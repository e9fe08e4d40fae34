"""The state of one replica, shared by the modules that make up its state machine."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from zlib import crc32

from bergamotchute_consensus.actions import Action, ApplyEntry, Persist, SendMessage
from bergamotchute_consensus.hard_state import HardState
from bergamotchute_consensus.log_entry import EntryContent, LogEntry
from bergamotchute_consensus.membership import Member, Membership, decode_membership
from bergamotchute_consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    RequestVote,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
)
from bergamotchute_consensus.progress import Progress
from bergamotchute_consensus.read_index import ReadQueue
from bergamotchute_consensus.replica_log import ReplicaLog
from bergamotchute_consensus.replica_settings import ReplicaSettings
from bergamotchute_consensus.snapshot import Snapshot

FIRST_ELECTION_TIMEOUT_RATIOS = (0.2, 0.7)
"""Range, as ratios of the election timeout, of the wait of a replica that has received nothing from
a leader since it started. Five replicas that start together draw times about 0.1 s apart, which
is enough for one vote."""

EXTRA_ELECTION_TIMEOUTS = 4
"""Extra election timeouts that a replica waits when another replica should lead instead."""


class ReplicaRole(StrEnum):
    """The current role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


class ConsensusViolation(Exception):
    """Replicas disagree about committed entries; this replica must stop and needs an operator."""


@dataclass(frozen=True)
class RecoveredState:
    """The durable state that a replica reads from its data folder at start."""

    hard_state: HardState = field(default_factory=HardState)
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: tuple[LogEntry, ...] = ()


@dataclass
class IncomingSnapshot:
    """A snapshot of which some bytes have been received."""

    index: int
    index_term: int
    total: int
    checksum: int
    data: bytearray = field(default_factory=bytearray)


@dataclass
class PendingPersist:
    """A persist that is not durable yet, with the log's last index when it was issued."""

    sequence: int
    last_index: int


class ReplicaState:
    """The state of one replica.

    :param local_member: the identity and address of this replica.
    :param random: draws the election timeouts.
    """

    def __init__(
        self,
        local_member: Member,
        settings: ReplicaSettings,
        random: Random,
        recovered: RecoveredState,
    ) -> None:
        self.local_member = local_member
        self.settings = settings
        self.random = random
        self.hard_state = recovered.hard_state
        self.snapshot = recovered.snapshot
        self.checksum_snapshot_index = 0
        self.checksum = 0
        self.log = ReplicaLog(recovered.snapshot.index, recovered.snapshot.term, recovered.entries)
        self.memberships: list[tuple[int, Membership]] = [
            (self.snapshot.index, self.snapshot.membership)
        ]
        self.add_memberships(recovered.entries)
        self.role = ReplicaRole.FOLLOWER
        self.leader: Member | None = None
        self.leader_message_at = float("-inf")
        self.commit_index = recovered.snapshot.index
        self.applied_index = recovered.snapshot.index
        self.durable_index = self.log.last_index
        self.persist_sequence = 0
        self.pending_persists: list[PendingPersist] = []
        self.election_deadline = 0.0
        self.next_heartbeat_at = 0.0
        self.votes: set[str] = set()
        self.progress_by_replica: dict[str, Progress] = {}
        self.round = 0
        self.term_start_index = 0
        self.proposal_tokens: dict[int, str] = {}
        self.read_queue = ReadQueue()
        self.incoming_snapshot: IncomingSnapshot | None = None
        self.actions: list[Action] = []

    @property
    def term(self) -> int:
        """The newest term that this replica has seen."""
        return self.hard_state.term

    @property
    def snapshot_checksum(self) -> int:
        """CRC-32 of the newest snapshot, computed once per snapshot."""
        if self.checksum_snapshot_index != self.snapshot.index:
            self.checksum = crc32(self.snapshot.data)
            self.checksum_snapshot_index = self.snapshot.index
        return self.checksum

    @property
    def membership(self) -> Membership:
        """The newest membership in the log, committed or not."""
        return self.memberships[-1][1]

    @property
    def is_membership_committed(self) -> bool:
        """Whether the newest membership is committed."""
        return self.memberships[-1][0] <= self.commit_index

    @property
    def is_leader(self) -> bool:
        """Whether this replica is leader of its term."""
        return self.role is ReplicaRole.LEADER

    def add_memberships(self, entries: tuple[LogEntry, ...]) -> None:
        """Put the memberships in ``entries`` into effect; they apply before they are committed."""
        for entry in entries:
            if entry.content is EntryContent.MEMBERSHIP:
                self.memberships.append((entry.index, decode_membership(entry.data)))

    def membership_at(self, index: int) -> Membership:
        """Return the membership in effect at ``index``, which the log or snapshot must cover."""
        return next(held for since, held in reversed(self.memberships) if since <= index)

    def persist(
        self,
        hard_state: HardState | None = None,
        entries: tuple[LogEntry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        """Request a write of the given parts, ordered after all earlier writes."""
        self.persist_sequence += 1
        if hard_state is not None:
            self.hard_state = hard_state
        self.pending_persists.append(PendingPersist(self.persist_sequence, self.log.last_index))
        self.actions.append(Persist(self.persist_sequence, hard_state, entries, snapshot))

    def append_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries that follow the log's last index, and request a write of them."""
        self.log.append(entries)
        self.add_memberships(entries)
        self.persist(entries=entries)

    def truncate_from(self, index: int) -> None:
        """Remove the uncommitted entries from ``index`` on.

        :raises ConsensusViolation: when the entry at ``index`` is committed.
        """
        if index <= self.commit_index:
            raise ConsensusViolation(f"a leader tried to replace entry {index}, which is committed")
        self.log.truncate_from(index)
        while self.memberships[-1][0] >= index:
            self.memberships.pop()
        self.durable_index = min(self.durable_index, index - 1)
        for mark in self.pending_persists:
            mark.last_index = min(mark.last_index, index - 1)

    def reset_durable_index(self) -> None:
        """Reset the durable index after the whole log was dropped; only its base is durable."""
        for mark in self.pending_persists:
            mark.last_index = 0
        self.durable_index = 0

    def on_persisted(self, sequence: int) -> None:
        """Record that all persists up to ``sequence`` are durable."""
        while self.pending_persists and self.pending_persists[0].sequence <= sequence:
            self.durable_index = max(self.durable_index, self.pending_persists.pop(0).last_index)

    def send(
        self,
        to: Member,
        message: (
            RequestVote
            | VoteReply
            | AppendEntries
            | AppendEntriesReply
            | SnapshotChunk
            | SnapshotReply
        ),
        durable_first: bool = True,
    ) -> None:
        """Request a send of ``message``, by default after all requested writes are durable."""
        after = self.persist_sequence if durable_first and self.pending_persists else 0
        self.actions.append(SendMessage(to, message, after))

    def commit_through(self, index: int) -> None:
        """Commit and apply the entries up to ``index``."""
        self.commit_index = max(self.commit_index, index)
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.entry(self.applied_index)
            self.actions.append(ApplyEntry(entry, self.proposal_tokens.pop(entry.index, "")))

    def has_recent_leader(self, now: float) -> bool:
        """Return whether this replica leads, or had a leader within the election timeout."""
        if self.is_leader:
            return True
        return now - self.leader_message_at < self.settings.election_timeout_s

    def schedule_next_election(self, now: float) -> None:
        """Schedule the next election attempt, sooner if no leader was seen since the start.

        Load pattern: all voters failed together, and no request is served before a voter leads.
        The first voter to restart finds no quorum yet, so it has to ask again soon. Voters that
        still receive messages of a leader refuse the pre-vote, so the short wait does no harm.
        """
        if self.leader_message_at > float("-inf"):
            self.reset_election_deadline(now)
        else:
            self._set_election_deadline(now, *FIRST_ELECTION_TIMEOUT_RATIOS)

    def reset_election_deadline(self, now: float) -> None:
        """Set the deadline to one to two election timeouts from now, later for a non-voter."""
        self._set_election_deadline(now, 1.0, 2.0)

    def _set_election_deadline(self, now: float, min_ratio: float, most: float) -> None:
        timeout = self.settings.election_timeout_s
        self.election_deadline = now + self.random.uniform(min_ratio, most) * timeout
        if self.membership.voters and not self.membership.is_voter(self.local_member.replica):
            self.election_deadline += EXTRA_ELECTION_TIMEOUTS * timeout
