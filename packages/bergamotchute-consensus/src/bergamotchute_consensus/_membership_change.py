"""Membership changes, one at a time, and the founding of a cluster."""

from __future__ import annotations

from bergamotchute_consensus import _replication
from bergamotchute_consensus.actions import RejectProposal
from bergamotchute_consensus.events import FoundingRequested, MembershipChangeRequested
from bergamotchute_consensus.hard_state import HardState
from bergamotchute_consensus.log_entry import EntryContent, LogEntry
from bergamotchute_consensus.membership import (
    Membership,
    MembershipChange,
    MembershipError,
    PromoteLearner,
    RemoveMember,
    changed,
    encode_membership,
)
from bergamotchute_consensus.progress import Progress
from bergamotchute_consensus.replica_state import ReplicaState


def on_change_requested(
    state: ReplicaState, request: MembershipChangeRequested, now: float
) -> None:
    """Append the changed membership, which takes effect at once, or reject the request."""
    try:
        _check_change(state, request.change, now)
        membership = changed(state.membership, request.change)
    except MembershipError as error:
        state.actions.append(RejectProposal(request.token, False, str(error), state.leader))
        return
    entry = LogEntry(
        state.log.last_index + 1,
        state.term,
        EntryContent.MEMBERSHIP,
        encode_membership(membership),
    )
    state.proposal_tokens[entry.index] = request.token
    state.append_entries((entry,))
    _update_progress(state, now)
    _replication.send_entries_to_all(state)
    _replication.advance_commit(state)


def _check_change(state: ReplicaState, change: MembershipChange, now: float) -> None:
    """Check that the change is allowed now.

    An entry of this term must be committed first. Otherwise a change made under an earlier leader
    could still be committed later, and two majorities without a common voter could exist.

    :raises MembershipError: when the change is not allowed now.
    """
    if not _replication.can_serve_reads(state) or not state.is_membership_committed:
        raise MembershipError("the previous membership change is not committed yet; retry later")
    if isinstance(change, PromoteLearner):
        _check_learner(state, change.replica, now)
    if isinstance(change, RemoveMember) and change.replica == state.local_member.replica:
        raise MembershipError("the leader can't remove itself; let another voter lead first")


def _check_learner(state: ReplicaState, replica: str, now: float) -> None:
    """Check that a learner holds all committed entries and replies.

    :raises MembershipError: when the learner is unknown, behind or unresponsive.
    """
    peer = state.progress_by_replica.get(replica)
    if peer is None:
        raise MembershipError(f"replica {replica} is not a member")
    if peer.match_index < state.commit_index:
        raise MembershipError(
            f"learner {replica} holds the log only up to index {peer.match_index}"
        )
    if now - peer.last_reply_at > state.settings.election_timeout_s:
        raise MembershipError(f"learner {replica} is unresponsive")


def _update_progress(state: ReplicaState, now: float) -> None:
    """Add progress for new members and remove it for former members."""
    members = {member.replica for member in state.membership.members} - {state.local_member.replica}
    for replica in members - state.progress_by_replica.keys():
        state.progress_by_replica[replica] = Progress(state.log.last_index, last_reply_at=now)
    for replica in state.progress_by_replica.keys() - members:
        del state.progress_by_replica[replica]


def on_found_cluster(state: ReplicaState, event: FoundingRequested) -> None:
    """Found a cluster, with its membership as the first entry of its log.

    :raises MembershipError: when this replica belongs to a cluster already.
    """
    if state.hard_state.cluster or state.log.last_index:
        raise MembershipError("this replica belongs to a cluster already")
    membership = Membership(voters=event.voters)
    state.persist(HardState(event.cluster, 1, ""))
    entry = LogEntry(1, 1, EntryContent.MEMBERSHIP, encode_membership(membership))
    state.append_entries((entry,))
