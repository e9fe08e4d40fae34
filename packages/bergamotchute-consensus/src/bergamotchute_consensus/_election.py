"""Elections: pre-vote, vote, and the leader's check that it still reaches a quorum."""

from __future__ import annotations

from dataclasses import replace

from bergamotchute_consensus import _replication
from bergamotchute_consensus.actions import RejectProposal, RejectRead, ReportLeadership
from bergamotchute_consensus.hard_state import HardState
from bergamotchute_consensus.log_entry import EntryContent, LogEntry
from bergamotchute_consensus.membership import Member
from bergamotchute_consensus.messages import RequestVote, VoteReply
from bergamotchute_consensus.progress import Progress
from bergamotchute_consensus.replica_state import PATIENT_TIMEOUTS, ReplicaRole, ReplicaState


def become_follower(state: ReplicaState, term: int, leader: Member | None, now: float) -> None:
    """Follow ``leader``, or nobody yet, in ``term``."""
    was_leading = state.is_leader
    if term > state.term:
        state.persist(replace(state.hard_state, term=term, voted_for=""))
    state.role = ReplicaRole.FOLLOWER
    state.leader = leader
    state.votes.clear()
    if was_leading:
        _give_up_leadership(state)
        state.reset_election_deadline(now)


def _give_up_leadership(state: ReplicaState) -> None:
    """Answer all who wait for this leader."""
    for token in state.proposals.values():
        state.actions.append(RejectProposal(token, True, "the leader lost its term", state.leader))
    for token in state.reads.take_all():
        state.actions.append(RejectRead(token, state.leader))
    state.proposals.clear()
    state.progress_by_replica.clear()
    state.actions.append(ReportLeadership(state.term, False))


def resign(state: ReplicaState, now: float) -> None:
    """Cease to lead and leave the others time to elect one of themselves."""
    if state.is_leader:
        become_follower(state, state.term, None, now)
        state.election_deadline += PATIENT_TIMEOUTS * state.settings.election_timeout_s


def check_quorum(state: ReplicaState, now: float) -> None:
    """Step down when no quorum answered for an election timeout, as after a long pause."""
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
    """Ask whether the others would give a vote; blank replicas never stand.

    A replica without a vote stands too, if late, and its own vote counts for nothing: it may hold
    the newest log of all that are left, without which no voter wins. It leads only until the voters
    hold that log.
    """
    state.set_next_stand(now)
    if not state.membership.voters:
        return
    state.role = ReplicaRole.PRE_CANDIDATE
    state.leader = None
    state.votes = {state.local_member.replica}
    _ask_for_votes(state, state.term + 1, pre=True)
    _count_pre_votes(state, now)


def _stand(state: ReplicaState, now: float) -> None:
    """Begin a new term with this replica's own vote."""
    state.role = ReplicaRole.CANDIDATE
    state.reset_election_deadline(now)
    state.votes = {state.local_member.replica}
    state.persist(HardState(state.hard_state.cluster, state.term + 1, state.local_member.replica))
    _ask_for_votes(state, state.term, pre=False)
    _count_votes(state, now)


def _ask_for_votes(state: ReplicaState, term: int, pre: bool) -> None:
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
    """Answer a request of the present term, or a pre-vote of any."""
    current = (request.last_term, request.last_index) >= (
        state.log.last_term,
        state.log.last_index,
    )
    if request.pre:
        granted = current and request.term > state.term and not state.heard_lately(now)
    else:
        free = state.hard_state.voted_for in ("", request.sender.replica)
        granted = current and free and state.role is ReplicaRole.FOLLOWER and state.leader is None
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
    """Count a vote."""
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
        _stand(state, now)


def _count_votes(state: ReplicaState, now: float) -> None:
    """Lead once a majority of the voters voted.

    This replica's own vote counts before it is durable: nothing it sends as leader goes out
    before that.
    """
    if state.membership.has_quorum(state.votes):
        _become_leader(state, now)


def _become_leader(state: ReplicaState, now: float) -> None:
    """Lead: append an empty entry, without whose commit nothing older may be counted."""
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
    state.append_entries((LogEntry(state.term_start_index, state.term, EntryContent.NOTHING, b""),))
    _replication.begin_round(state, now)
    _replication.advance_commit(state)
