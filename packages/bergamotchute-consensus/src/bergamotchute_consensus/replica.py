"""One replica of the replicated log: a deterministic state machine without input or output."""

from __future__ import annotations

from random import Random

from bergamotchute_consensus import (
    _election,
    _membership_change,
    _replication,
    _snapshot_transfer,
)
from bergamotchute_consensus.actions import Action, RejectProposal, RejectRead
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
    ResignationRequested,
    SnapshotTaken,
    Tick,
)
from bergamotchute_consensus.hard_state import HardState
from bergamotchute_consensus.log_entry import EntryContent, LogEntry
from bergamotchute_consensus.membership import Member
from bergamotchute_consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    RequestVote,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
)
from bergamotchute_consensus.replica_settings import ReplicaSettings
from bergamotchute_consensus.replica_state import RecoveredState, ReplicaRole, ReplicaState

ReplicaMessage = (
    RequestVote | VoteReply | AppendEntries | AppendEntriesReply | SnapshotChunk | SnapshotReply
)


class Replica:
    """One replica of the replicated log.

    The class does no input or output: :meth:`step` takes an event and the time, and returns the
    actions to carry out.

    :param local_member: the identity from the data folder and the address of this process.
    :param random: draws the election timeouts.
    :param recovered: the term, vote, snapshot and entries found on disk.
    :param now: the runtime's clock, in seconds.
    """

    def __init__(
        self,
        local_member: Member,
        settings: ReplicaSettings,
        random: Random,
        recovered: RecoveredState,
        now: float,
    ) -> None:
        self.state = ReplicaState(local_member, settings, random, recovered)
        self.state.schedule_next_election(now)

    @property
    def next_tick_at(self) -> float:
        """When the next :class:`Tick` is due, in seconds on the runtime's clock."""
        if self.state.is_leader:
            return self.state.next_heartbeat_at
        return self.state.election_deadline

    def step(self, event: Event, now: float) -> list[Action]:
        """Handle ``event`` at ``now`` and return the actions to carry out, in order.

        :raises ConsensusViolation: when a leader tries to replace a committed entry.
        """
        state = self.state
        state.actions = []
        if state.role is ReplicaRole.FAILED:
            self._reject_request(event)
            return state.actions
        if state.is_leader:
            _election.check_quorum(state, now)
        self._dispatch(event, now)
        if state.is_leader and self._is_removed():
            _election.become_follower(state, state.term, None, now)
        return state.actions

    def _is_removed(self) -> bool:
        """Return whether this leader is no voter and the voters hold its log."""
        state = self.state
        current = state.is_membership_committed and _replication.can_serve_reads(state)
        return current and not state.membership.is_voter(state.local_member.replica)

    def _dispatch(self, event: Event, now: float) -> None:
        state = self.state
        match event:
            case Tick():
                self._on_tick(now)
            case MessageReceived(message):
                self._on_received(message, now)
            case Persisted(sequence):
                state.on_persisted(sequence)
                if state.is_leader:
                    _replication.advance_commit(state)
                    _replication.complete_reads(state, now)
            case DiskFailed():
                self._on_disk_failed(now)
            case SnapshotTaken(index, data):
                _snapshot_transfer.on_snapshot_taken(state, index, data)
            case FoundingRequested():
                _membership_change.on_found_cluster(state, event)
            case ResignationRequested():
                _election.resign(state, now)
            case ProposalsRequested() | ReadsRequested() | MembershipChangeRequested():
                self._on_request(event, now)

    def _on_request(
        self, event: ProposalsRequested | ReadsRequested | MembershipChangeRequested, now: float
    ) -> None:
        if not self.state.is_leader:
            self._reject_request(event)
        elif isinstance(event, ProposalsRequested):
            self._on_proposals(event.proposals)
        elif isinstance(event, ReadsRequested):
            _replication.on_reads_requested(self.state, event.tokens, now)
        else:
            _membership_change.on_change_requested(self.state, event, now)

    def _reject_request(self, event: Event) -> None:
        """Reject a caller's request that this replica can't serve."""
        state = self.state
        reason = (
            "the disk of this replica failed" if self.failed else "this replica is not the leader"
        )
        match event:
            case ProposalsRequested(proposals):
                for proposal in proposals:
                    state.actions.append(
                        RejectProposal(proposal.token, False, reason, state.leader)
                    )
            case MembershipChangeRequested(token):
                state.actions.append(RejectProposal(token, False, reason, state.leader))
            case ReadsRequested(tokens):
                state.actions.extend(RejectRead(token, state.leader) for token in tokens)
            case _:
                pass

    @property
    def failed(self) -> bool:
        """Whether the disk failed, after which this replica handles no further events."""
        return self.state.role is ReplicaRole.FAILED

    def _on_tick(self, now: float) -> None:
        state = self.state
        if state.is_leader:
            if now >= state.next_heartbeat_at:
                _replication.begin_quorum_round(state, now)
        elif now >= state.election_deadline:
            _election.on_election_timeout(state, now)

    def _on_proposals(self, proposals: tuple[Proposal, ...]) -> None:
        """Append all proposals in one write, and send them before that write is durable."""
        state = self.state
        first = state.log.last_index + 1
        entries = tuple(
            LogEntry(first + position, state.term, EntryContent.COMMAND, proposal.data)
            for position, proposal in enumerate(proposals)
        )
        for entry, proposal in zip(entries, proposals, strict=True):
            state.proposal_tokens[entry.index] = proposal.token
        state.append_entries(entries)
        _replication.send_entries_to_all(state)

    def _on_disk_failed(self, now: float) -> None:
        """Stop taking part: the content of the disk is unknown until it is read again.

        A leader still says that it gives up, which needs nothing of its disk.
        """
        state = self.state
        if state.is_leader:
            _replication.send_resignation(state, now)
        _election.become_follower(state, state.term, None, now)
        state.role = ReplicaRole.FAILED

    def _on_received(self, message: ReplicaMessage, now: float) -> None:
        state = self.state
        if message.recipient != state.local_member.replica:
            return
        if not state.hard_state.cluster and message.cluster:
            state.persist(HardState(message.cluster, state.term, state.hard_state.voted_for))
        if message.cluster != state.hard_state.cluster:
            return
        if message.term > state.term and not self._adopt_term(message, now):
            return
        if message.term < state.term:
            self._reject_stale_term(message)
            return
        self._on_peer_message(message, now)

    def _adopt_term(self, message: ReplicaMessage, now: float) -> bool:
        """Adopt the newer term of a message unless it is a pre-vote's.

        :return: ``False`` when the message must be ignored.
        """
        if isinstance(message, RequestVote):
            if message.pre:
                return True
            if self.state.has_recent_leader(now):
                return False
        if isinstance(message, VoteReply) and message.pre and message.granted:
            return True
        leads = isinstance(message, AppendEntries | SnapshotChunk)
        leader = message.sender if leads else None
        _election.become_follower(self.state, message.term, leader, now)
        return True

    def _reject_stale_term(self, message: ReplicaMessage) -> None:
        """Reject a message of an older term, so that its sender learns the current term."""
        state = self.state
        me, cluster, recipient = (
            state.local_member,
            state.hard_state.cluster,
            message.sender.replica,
        )
        if isinstance(message, AppendEntries | SnapshotChunk):
            rejection = AppendEntriesReply(
                cluster, me, recipient, state.term, False, 0, 0, 0, accepts_packed=True
            )
            state.send(message.sender, rejection)
        elif isinstance(message, RequestVote):
            state.send(
                message.sender,
                VoteReply(cluster, me, recipient, state.term, False, message.pre),
            )

    def _on_peer_message(self, message: ReplicaMessage, now: float) -> None:
        """Handle a message of the current term, or a pre-vote message of a newer term."""
        state = self.state
        match message:
            case RequestVote():
                _election.on_request_vote(state, message, now)
            case VoteReply():
                _election.on_vote_reply(state, message, now)
            case AppendEntries():
                self._ensure_follower(message.sender, now)
                _replication.on_append(state, message, now)
                if message.successor:
                    _election.on_resignation(state, message.successor, now)
            case SnapshotChunk():
                self._ensure_follower(message.sender, now)
                _snapshot_transfer.on_snapshot_chunk(state, message, now)
            case AppendEntriesReply() | SnapshotReply():
                self._on_follower_reply(message, now)

    def _ensure_follower(self, leader: Member, now: float) -> None:
        if self.state.role is not ReplicaRole.FOLLOWER:
            _election.become_follower(self.state, self.state.term, leader, now)

    def _on_follower_reply(self, message: AppendEntriesReply | SnapshotReply, now: float) -> None:
        state = self.state
        if not state.is_leader:
            return
        if isinstance(message, AppendEntriesReply):
            _replication.on_append_reply(state, message, now)
        else:
            _snapshot_transfer.on_snapshot_reply(state, message, now)
        _replication.continue_after_reply(state, message.sender.replica, now)
