"""The next change from the current membership towards the desired one."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from bergamotchute_consensus.membership import (
    Member,
    Membership,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
)


@dataclass(frozen=True)
class MemberHealth:
    """What the leader knows about a member.

    :param reachable: the member replied recently; always true for the leader itself.
    :param caught_up: the member holds all committed entries.
    :param silent: the member had time to reply and didn't; a new leader has to wait to know.
    """

    reachable: bool
    caught_up: bool
    silent: bool = False


def next_configured_change(
    membership: Membership, wanted_voters: Collection[str], health: Mapping[str, MemberHealth]
) -> MembershipChange | None:
    """Return the next change towards the operators' voters file, or ``None`` for no change now.

    A learner becomes a voter once it is reachable and holds all committed entries. An unreachable
    voter is removed before its replacement is promoted, because it only raises the quorum. A voter
    that still works is removed afterwards.

    :param wanted_voters: identities that the file names as voters; empty when there is no file.
    """
    if not wanted_voters:
        return None
    surplus = [voter for voter in membership.voters if voter.replica not in wanted_voters]
    ready = [
        learner
        for learner in membership.learners
        if learner.replica in wanted_voters and _is_in_sync(health, learner)
    ]
    unreachable = [voter for voter in surplus if not health[voter.replica].reachable]
    if ready and unreachable and _has_quorum_without(membership, unreachable[0], health):
        return RemoveMember(unreachable[0].replica)
    if ready:
        return PromoteLearner(ready[0].replica)
    voter_identities = {voter.replica for voter in membership.voters}
    if (
        surplus
        and set(wanted_voters) <= voter_identities
        and _has_quorum_without(membership, surplus[0], health)
    ):
        return RemoveMember(surplus[0].replica)
    return None


MAX_VOTERS = 9
"""Most voters of a cluster. Nine tolerate four losses; more voters only slow down commits."""


def next_automatic_change(
    membership: Membership,
    health: Mapping[str, MemberHealth],
    gone: Collection[str],
    min_voters: int,
) -> MembershipChange | None:
    """Return the next change when no operator names the voters, or ``None`` for no change now.

    Each learner that holds the log becomes a voter. A voter is removed when its data folder was
    emptied, or when it has been silent for long and more than ``min_voters`` exist. In both cases
    the remaining voters must have a quorum that holds all committed entries.

    :param gone: identities that have been silent for long.
    :param min_voters: number of voters below which a silent voter is kept.
    """
    for voter in membership.voters:
        is_lost = voter.replica in gone and len(membership.voters) > min_voters
        is_emptied = is_replaced_at_its_address(membership, voter, health)
        if (is_emptied or is_lost) and _has_quorum_without(membership, voter, health):
            return RemoveMember(voter.replica)
    if len(membership.voters) < MAX_VOTERS:
        for learner in membership.learners:
            if _is_in_sync(health, learner):
                return _add_vote(membership, learner, health, min_voters)
    return None


def is_replaced_at_its_address(
    membership: Membership, member: Member, health: Mapping[str, MemberHealth]
) -> bool:
    """Return whether the process at a member's address answers under another identity.

    Only an answer proves it: an introduction may have been sent before the member's own.
    """
    return not health[member.replica].reachable and any(
        other.address == member.address and health[other.replica].reachable
        for other in membership.members
    )


def _add_vote(
    membership: Membership,
    learner: Member,
    health: Mapping[str, MemberHealth],
    min_voters: int,
) -> MembershipChange:
    """Return the change towards a learner's vote: a silent voter leaves first.

    With another vote an odd number of voters needs a larger quorum. After a split, the voters that
    are left might not have it if one of them is dead.

    :param min_voters: number of voters that must remain, so that one may lose its disk meanwhile.
    """
    raises_quorum = len(membership.voters) % 2 == 1
    if raises_quorum and len(membership.voters) > min_voters:
        for voter in membership.voters:
            if health[voter.replica].silent and _has_quorum_without(membership, voter, health):
                return RemoveMember(voter.replica)
    return PromoteLearner(learner.replica)


def can_lose(membership: Membership, health: Mapping[str, MemberHealth]) -> int:
    """Return how many more voters may fail before no quorum holds all committed entries."""
    whole = sum(_is_in_sync(health, voter) for voter in membership.voters)
    return max(0, whole - membership.quorum)


def _is_in_sync(health: Mapping[str, MemberHealth], member: Member) -> bool:
    known = health.get(member.replica)
    return known is not None and known.reachable and known.caught_up


def _has_quorum_without(
    membership: Membership, removed: Member, health: Mapping[str, MemberHealth]
) -> bool:
    """Return whether the voters without ``removed`` have a quorum with all committed entries."""
    voters = tuple(voter for voter in membership.voters if voter != removed)
    whole = sum(_is_in_sync(health, voter) for voter in voters)
    return bool(voters) and whole >= len(voters) // 2 + 1
