"""One replica of the replicated log: a state and the one function that moves it."""

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
    Append,
    AppendReply,
    RequestVote,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
)
from bergamotchute_consensus.replica_settings import ReplicaSettings
from bergamotchute_consensus.replica_state import RecoveredState, ReplicaRole, ReplicaState

PeerRequest = RequestVote | VoteReply | Append | AppendReply | SnapshotChunk | SnapshotReply


class Replica:
    """One replica of the replicated log.

    It does no input or output: :meth:`step` takes an event and the time, and returns what is to
    be done. A replica with a term, a vote or entries on disk is given them as ``recovered``.

    :param local_member: the identity from the data folder and the address of this process.
    :param random: draws the election timeouts.
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
        self.state.set_next_stand(now)

    @property
    def next_tick_at(self) -> float:
        """When :class:`Tick` is due, on the runtime's clock."""
        if self.state.is_leader:
            return self.state.heartbeat_due
        return self.state.election_deadline

    def step(self, event: Event, now: float) -> list[Action]:
        """Take ``event`` at ``now`` and return what is to be done, in order.

        :raises ConsensusViolation: when a leader wants a committed entry replaced.
        """
        state = self.state
        state.actions = []
        if state.role is ReplicaRole.FAILED:
            self._refuse(event)
            return state.actions
        if state.is_leader:
            _election.check_quorum(state, now)
        self._dispatch(event, now)
        if state.is_leader and self._removed():
            _election.become_follower(state, state.term, None, now)
        return state.actions

    def _removed(self) -> bool:
        """Return whether this leader has no vote, and the voters hold its log."""
        state = self.state
        current = state.is_membership_committed and _replication.may_read(state)
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
                    _replication.finish_reads(state, now)
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
            self._refuse(event)
        elif isinstance(event, ProposalsRequested):
            self._on_proposals(event.proposals)
        elif isinstance(event, ReadsRequested):
            _replication.on_reads_requested(self.state, event.tokens, now)
        else:
            _membership_change.on_change_requested(self.state, event, now)

    def _refuse(self, event: Event) -> None:
        """Answer whoever asks a replica that can't help."""
        state = self.state
        reason = "the replica's disk failed" if self.failed else "this replica doesn't lead"
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
        """Whether the disk failed, so that this replica takes no further part."""
        return self.state.role is ReplicaRole.FAILED

    def _on_tick(self, now: float) -> None:
        state = self.state
        if state.is_leader:
            if now >= state.heartbeat_due:
                _replication.begin_round(state, now)
        elif now >= state.election_deadline:
            _election.on_election_timeout(state, now)

    def _on_proposals(self, proposals: tuple[Proposal, ...]) -> None:
        """Append all in one write, and send them before that write is durable."""
        state = self.state
        first = state.log.last_index + 1
        entries = tuple(
            LogEntry(first + position, state.term, EntryContent.COMMAND, proposal.data)
            for position, proposal in enumerate(proposals)
        )
        for entry, proposal in zip(entries, proposals, strict=True):
            state.proposals[entry.index] = proposal.token
        state.append_entries(entries)
        _replication.send_all(state)

    def _on_disk_failed(self, now: float) -> None:
        """Answer nothing more: what the disk holds is not known until it is read again."""
        state = self.state
        _election.become_follower(state, state.term, None, now)
        state.role = ReplicaRole.FAILED

    def _on_received(self, message: PeerRequest, now: float) -> None:
        state = self.state
        if message.recipient != state.local_member.replica:
            return
        if not state.hard_state.cluster and message.cluster:
            state.persist(HardState(message.cluster, state.term, state.hard_state.voted_for))
        if message.cluster != state.hard_state.cluster:
            return
        if message.term > state.term and not self._take_term(message, now):
            return
        if message.term < state.term:
            self._answer_old_term(message)
            return
        self._on_peer_message(message, now)

    def _take_term(self, message: PeerRequest, now: float) -> bool:
        """Take a newer term, where the message gives one; ``False`` to ignore the message."""
        if isinstance(message, RequestVote):
            if message.pre:
                return True
            if self.state.heard_lately(now):
                return False
        if isinstance(message, VoteReply) and message.pre and message.granted:
            return True
        leads = isinstance(message, Append | SnapshotChunk)
        leader = message.sender if leads else None
        _election.become_follower(self.state, message.term, leader, now)
        return True

    def _answer_old_term(self, message: PeerRequest) -> None:
        """Let the sender of an old term learn the new one."""
        state = self.state
        me, cluster, recipient = (
            state.local_member,
            state.hard_state.cluster,
            message.sender.replica,
        )
        if isinstance(message, Append | SnapshotChunk):
            refusal = AppendReply(cluster, me, recipient, state.term, False, 0, 0, 0)
            state.send(message.sender, refusal)
        elif isinstance(message, RequestVote):
            state.send(
                message.sender,
                VoteReply(cluster, me, recipient, state.term, False, message.pre),
            )

    def _on_peer_message(self, message: PeerRequest, now: float) -> None:
        """Handle a message of the present term, or a pre-vote's of any newer one."""
        state = self.state
        match message:
            case RequestVote():
                _election.on_request_vote(state, message, now)
            case VoteReply():
                _election.on_vote_reply(state, message, now)
            case Append():
                self._follow(message.sender, now)
                _replication.on_append(state, message, now)
            case SnapshotChunk():
                self._follow(message.sender, now)
                _snapshot_transfer.on_snapshot_chunk(state, message, now)
            case AppendReply() | SnapshotReply():
                self._on_answer(message, now)

    def _follow(self, leader: Member, now: float) -> None:
        if self.state.role is not ReplicaRole.FOLLOWER:
            _election.become_follower(self.state, self.state.term, leader, now)

    def _on_answer(self, message: AppendReply | SnapshotReply, now: float) -> None:
        state = self.state
        if not state.is_leader:
            return
        if isinstance(message, AppendReply):
            _replication.on_append_reply(state, message, now)
        else:
            _snapshot_transfer.on_snapshot_reply(state, message, now)
        _replication.after_answer(state, message.sender.replica, now)
