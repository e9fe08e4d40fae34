"""The state of one replica, shared by the parts of its decisions."""

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
    Append,
    AppendReply,
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

FIRST_WAIT_PARTS = (0.2, 0.7)
"""Parts of the election timeout between which a replica waits that has heard no leader since its
start. Five replicas that start together draw times that are a vote of 0.1 s apart."""

PATIENT_TIMEOUTS = 4
"""Election timeouts that a replica waits beyond the usual while another one should lead."""


class ReplicaRole(StrEnum):
    """What a replica does at present."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


class ConsensusViolation(Exception):
    """Replicas disagree where they never may; this replica must stop and be looked at."""


@dataclass(frozen=True)
class RecoveredState:
    """What a replica finds in its data folder."""

    hard_state: HardState = field(default_factory=HardState)
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: tuple[LogEntry, ...] = ()


@dataclass
class IncomingSnapshot:
    """A snapshot of which some bytes have come."""

    index: int
    index_term: int
    total: int
    checksum: int
    data: bytearray = field(default_factory=bytearray)


@dataclass
class PersistMark:
    """The log's last index as of one persist that is not durable yet."""

    sequence: int
    last_index: int


class ReplicaState:
    """The state of one replica.

    :param local_member: this replica's identity and address.
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
        self.checksum_of = 0
        self.checksum = 0
        self.log = ReplicaLog(recovered.snapshot.index, recovered.snapshot.term, recovered.entries)
        self.memberships: list[tuple[int, Membership]] = [
            (self.snapshot.index, self.snapshot.membership)
        ]
        self.note_memberships(recovered.entries)
        self.role = ReplicaRole.FOLLOWER
        self.leader: Member | None = None
        self.leader_heard_at = float("-inf")
        self.commit_index = recovered.snapshot.index
        self.applied_index = recovered.snapshot.index
        self.durable_index = self.log.last_index
        self.persist_sequence = 0
        self.persist_marks: list[PersistMark] = []
        self.election_deadline = 0.0
        self.heartbeat_due = 0.0
        self.votes: set[str] = set()
        self.progress_by_replica: dict[str, Progress] = {}
        self.round = 0
        self.term_start_index = 0
        self.proposals: dict[int, str] = {}
        self.reads = ReadQueue()
        self.incoming: IncomingSnapshot | None = None
        self.actions: list[Action] = []

    @property
    def term(self) -> int:
        """The newest term seen."""
        return self.hard_state.term

    @property
    def snapshot_checksum(self) -> int:
        """CRC-32 of the newest snapshot, worked out once for each."""
        if self.checksum_of != self.snapshot.index:
            self.checksum = crc32(self.snapshot.data)
            self.checksum_of = self.snapshot.index
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

    def note_memberships(self, entries: tuple[LogEntry, ...]) -> None:
        """Take the memberships in ``entries`` into force."""
        for entry in entries:
            if entry.content is EntryContent.MEMBERSHIP:
                self.memberships.append((entry.index, decode_membership(entry.data)))

    def membership_at(self, index: int) -> Membership:
        """Return the membership in force at ``index``, which the log or snapshot covers."""
        return next(held for since, held in reversed(self.memberships) if since <= index)

    def persist(
        self,
        hard_state: HardState | None = None,
        entries: tuple[LogEntry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        """Ask for these to be written, after all that was asked for before."""
        self.persist_sequence += 1
        if hard_state is not None:
            self.hard_state = hard_state
        self.persist_marks.append(PersistMark(self.persist_sequence, self.log.last_index))
        self.actions.append(Persist(self.persist_sequence, hard_state, entries, snapshot))

    def append_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Put entries that follow the log's end into the log and ask for them to be written."""
        self.log.append(entries)
        self.note_memberships(entries)
        self.persist(entries=entries)

    def truncate_from(self, index: int) -> None:
        """Drop ``index`` and all after it, which never were committed."""
        if index <= self.commit_index:
            raise ConsensusViolation(f"entry {index} is committed and would be replaced")
        self.log.truncate_from(index)
        while self.memberships[-1][0] >= index:
            self.memberships.pop()
        self.durable_index = min(self.durable_index, index - 1)
        for mark in self.persist_marks:
            mark.last_index = min(mark.last_index, index - 1)

    def forget_durable(self) -> None:
        """Note that the log was dropped whole; only its base is sure to be on disk."""
        for mark in self.persist_marks:
            mark.last_index = 0
        self.durable_index = 0

    def on_persisted(self, sequence: int) -> None:
        """Note that all persists up to ``sequence`` are durable."""
        while self.persist_marks and self.persist_marks[0].sequence <= sequence:
            self.durable_index = max(self.durable_index, self.persist_marks.pop(0).last_index)

    def send(
        self,
        to: Member,
        message: RequestVote | VoteReply | Append | AppendReply | SnapshotChunk | SnapshotReply,
        durable_first: bool = True,
    ) -> None:
        """Ask for a message to be sent, by default once all asked to be written is durable."""
        after = self.persist_sequence if durable_first and self.persist_marks else 0
        self.actions.append(SendMessage(to, message, after))

    def commit_through(self, index: int) -> None:
        """Commit and apply up to ``index``."""
        self.commit_index = max(self.commit_index, index)
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.entry(self.applied_index)
            self.actions.append(ApplyEntry(entry, self.proposals.pop(entry.index, "")))

    def heard_lately(self, now: float) -> bool:
        """Return whether this replica leads, or heard its leader within an election timeout."""
        if self.is_leader:
            return True
        return now - self.leader_heard_at < self.settings.election_timeout_s

    def set_next_stand(self, now: float) -> None:
        """Wait less than usual while no leader was heard since the start.

        Load pattern: all voters died together, and nothing is served before one leads. The first
        to start finds no quorum yet, so it soon asks again. Others that hear a leader refuse the
        pre-vote.
        """
        if self.leader_heard_at > float("-inf"):
            self.reset_election_deadline(now)
        else:
            self._set_election_deadline(now, *FIRST_WAIT_PARTS)

    def reset_election_deadline(self, now: float) -> None:
        """Wait between one and two election timeouts from now, and longer without a vote."""
        self._set_election_deadline(now, 1.0, 2.0)

    def _set_election_deadline(self, now: float, least: float, most: float) -> None:
        timeout = self.settings.election_timeout_s
        self.election_deadline = now + self.random.uniform(least, most) * timeout
        if self.membership.voters and not self.membership.is_voter(self.local_member.replica):
            self.election_deadline += PATIENT_TIMEOUTS * timeout
