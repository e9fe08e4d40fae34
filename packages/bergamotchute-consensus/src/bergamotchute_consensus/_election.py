"""Leader election: pre-vote, vote, and the leader's check that it still reaches a quorum."""

from __future__ import annotations

from dataclasses import replace

from bergamotchute_consensus import _replication
from bergamotchute_consensus.actions import RejectProposal, RejectRead, ReportLeadership
from bergamotchute_consensus.hard_state import HardState
from bergamotchute_consensus.log_entry import EntryContent, LogEntry
from bergamotchute_consensus.membership import Member
from bergamotchute_consensus.messages import RequestVote, VoteReply
from bergamotchute_consensus.progress import Progress
from bergamotchute_consensus.replica_state import EXTRA_ELECTION_TIMEOUTS, ReplicaRole, ReplicaState


def become_follower(state: ReplicaState, term: int, leader: Member | None, now: float) -> None:
    """Become a follower of ``leader`` in ``term``; ``None`` while the leader is unknown."""
    was_leading = state.is_leader
    if term > state.term:
        state.persist(replace(state.hard_state, term=term, voted_for=""))
    state.role = ReplicaRole.FOLLOWER
    state.leader = leader
    state.votes.clear()
    if was_leading:
        _end_leadership(state)
        state.reset_election_deadline(now)


def _end_leadership(state: ReplicaState) -> None:
    """Reject all proposals and reads that wait for this leader."""
    for token in state.proposal_tokens.values():
        state.actions.append(
            RejectProposal(
                token,
                True,
                "the leader stepped down; the proposal may still be committed",
                state.leader,
            )
        )
    for token in state.read_queue.take_all():
        state.actions.append(RejectRead(token, state.leader))
    state.proposal_tokens.clear()
    state.progress_by_replica.clear()
    state.actions.append(ReportLeadership(state.term, False))


def resign(state: ReplicaState, now: float) -> None:
    """Step down and wait long enough that another voter wins the next election."""
    if state.is_leader:
        _replication.send_resignation(state, now)
        become_follower(state, state.term, None, now)
        state.election_deadline += EXTRA_ELECTION_TIMEOUTS * state.settings.election_timeout_s


def on_resignation(state: ReplicaState, successor: str, now: float) -> None:
    """Forget the leader, which gave up; stand for election at once if it names this replica."""
    state.leader = None
    state.leader_message_at = float("-inf")
    state.schedule_next_election(now)
    if successor == state.local_member.replica:
        state.election_deadline = now


def check_quorum(state: ReplicaState, now: float) -> None:
    """Step down when no quorum replied within an election timeout.

    The cause may be a partition, or a long pause of this process.
    """
    timeout = state.settings.election_timeout_s
    heard = {
        replica
        for replica, peer in state.progress_by_replica.items()
        if now - peer.last_reply_at < timeout
    }
    heard.add(state.local_member.replica)
    if not state.membership.has_quorum(heard):
        become_follower(state, state.term, None, now)


def on_election_timeout(state: ReplicaState, now: float) -> None:
    """Start a pre-vote, unless this replica belongs to no cluster.

    A learner also stands for election, after a longer wait, and its own vote doesn't count: of the
    remaining replicas the learner may hold the newest log, and then no voter can win. Such a leader
    steps down once the voters hold its log.
    """
    state.schedule_next_election(now)
    if not state.membership.voters:
        return
    state.role = ReplicaRole.PRE_CANDIDATE
    state.leader = None
    state.votes = {state.local_member.replica}
    _request_votes(state, state.term + 1, pre=True)
    _count_pre_votes(state, now)


def _start_election(state: ReplicaState, now: float) -> None:
    """Start a new term as candidate, with this replica's own vote."""
    state.role = ReplicaRole.CANDIDATE
    state.reset_election_deadline(now)
    state.votes = {state.local_member.replica}
    state.persist(HardState(state.hard_state.cluster, state.term + 1, state.local_member.replica))
    _request_votes(state, state.term, pre=False)
    _count_votes(state, now)


def _request_votes(state: ReplicaState, term: int, pre: bool) -> None:
    for voter in state.membership.voters:
        if voter.replica == state.local_member.replica:
            continue
        request = RequestVote(
            state.hard_state.cluster,
            state.local_member,
            voter.replica,
            term,
            state.log.last_index,
            state.log.last_term,
            pre,
        )
        state.send(voter, request)


def on_request_vote(state: ReplicaState, request: RequestVote, now: float) -> None:
    """Reply to a vote request of the current term, or to a pre-vote request of any term."""
    current = (request.last_term, request.last_index) >= (
        state.log.last_term,
        state.log.last_index,
    )
    if request.pre:
        granted = current and request.term > state.term and not state.has_recent_leader(now)
    else:
        can_vote = state.hard_state.voted_for in ("", request.sender.replica)
        granted = (
            current and can_vote and state.role is ReplicaRole.FOLLOWER and state.leader is None
        )
        if granted:
            state.persist(replace(state.hard_state, voted_for=request.sender.replica))
            state.reset_election_deadline(now)
    term = request.term if granted else state.term
    reply = VoteReply(
        state.hard_state.cluster,
        state.local_member,
        request.sender.replica,
        term,
        granted,
        request.pre,
    )
    state.send(request.sender, reply)


def on_vote_reply(state: ReplicaState, reply: VoteReply, now: float) -> None:
    """Count a granted vote or pre-vote."""
    if not reply.granted:
        return
    if reply.pre and state.role is ReplicaRole.PRE_CANDIDATE and reply.term == state.term + 1:
        state.votes.add(reply.sender.replica)
        _count_pre_votes(state, now)
    elif not reply.pre and state.role is ReplicaRole.CANDIDATE and reply.term == state.term:
        state.votes.add(reply.sender.replica)
        _count_votes(state, now)


def _count_pre_votes(state: ReplicaState, now: float) -> None:
    if state.membership.has_quorum(state.votes):
        _start_election(state, now)


def _count_votes(state: ReplicaState, now: float) -> None:
    """Become leader once a majority of the voters granted their votes.

    This replica's own vote counts before it is durable, because no message of the new leader is
    sent before the vote is durable.
    """
    if state.membership.has_quorum(state.votes):
        _become_leader(state, now)


def _become_leader(state: ReplicaState, now: float) -> None:
    """Become leader and append an empty entry.

    Entries of older terms may count as committed only once an entry of this term is committed.
    """
    state.role = ReplicaRole.LEADER
    state.leader = state.local_member
    state.votes.clear()
    state.progress_by_replica = {
        member.replica: Progress(state.log.last_index + 1, last_reply_at=now)
        for member in state.membership.members
        if member.replica != state.local_member.replica
    }
    state.actions.append(ReportLeadership(state.term, True))
    state.term_start_index = state.log.last_index + 1
    state.append_entries((LogEntry(state.term_start_index, state.term, EntryContent.NO_OP, b""),))
    _replication.begin_quorum_round(state, now)
    _replication.advance_commit(state)
