"""One change of the membership at a time, and the founding of a cluster."""

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
    """Append the changed membership, which is in force at once, or say why not."""
    try:
        _check(state, request.change, now)
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
    state.proposals[entry.index] = request.token
    state.append_entries((entry,))
    _follow_membership(state, now)
    _replication.send_all(state)
    _replication.advance_commit(state)


def _check(state: ReplicaState, change: MembershipChange, now: float) -> None:
    """Raise unless the change may be made now.

    The commit of an entry of this term comes first: without it a change made under an earlier
    leader might still come back, and two majorities could miss each other.
    """
    if not _replication.may_read(state) or not state.is_membership_committed:
        raise MembershipError("another change is not committed yet")
    if isinstance(change, PromoteLearner):
        _check_learner(state, change.replica, now)
    if isinstance(change, RemoveMember) and change.replica == state.local_member.replica:
        raise MembershipError("the leader doesn't remove itself")


def _check_learner(state: ReplicaState, replica: str, now: float) -> None:
    """Raise unless a learner holds all that is committed and answers."""
    peer = state.progress_by_replica.get(replica)
    if peer is None:
        raise MembershipError(f"{replica} is not a member")
    if peer.match_index < state.commit_index:
        raise MembershipError(f"{replica} holds the log only up to {peer.match_index}")
    if now - peer.last_reply_at > state.settings.election_timeout_s:
        raise MembershipError(f"{replica} doesn't answer")


def _follow_membership(state: ReplicaState, now: float) -> None:
    """Keep progress of the present members alone."""
    members = {member.replica for member in state.membership.members} - {state.local_member.replica}
    for replica in members - state.progress_by_replica.keys():
        state.progress_by_replica[replica] = Progress(state.log.last_index, last_reply_at=now)
    for replica in state.progress_by_replica.keys() - members:
        del state.progress_by_replica[replica]


def on_found_cluster(state: ReplicaState, event: FoundingRequested) -> None:
    """Begin a cluster: its membership is the first entry of its log.

    :raises MembershipError: when this replica belongs to a cluster already.
    """
    if state.hard_state.cluster or state.log.last_index:
        raise MembershipError("this replica belongs to a cluster already")
    membership = Membership(voters=event.voters)
    state.persist(HardState(event.cluster, 1, ""))
    entry = LogEntry(1, 1, EntryContent.MEMBERSHIP, encode_membership(membership))
    state.append_entries((entry,))
