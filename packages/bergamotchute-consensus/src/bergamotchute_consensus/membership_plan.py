"""The next step from the present membership to the one that the operators' files want."""

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
from bergamotchute_model.identifiers import Address


@dataclass(frozen=True)
class MemberHealth:
    """What the leader knows of a member.

    :param reachable: it answered lately; the leader itself always is.
    :param caught_up: it holds all that is committed.
    """

    reachable: bool
    caught_up: bool


def next_configured_change(
    membership: Membership, wanted_voters: Collection[str], health: Mapping[str, MemberHealth]
) -> MembershipChange | None:
    """Return the next change, or ``None`` when there is none to make now.

    A learner gets its vote once it holds the log and answers. The voter that it replaces goes
    before that when it is gone, because a dead voter only raises the quorum, and after that when
    it still works.

    :param wanted_voters: identities that shall vote; empty when no file says.
    """
    if not wanted_voters:
        return None
    surplus = [voter for voter in membership.voters if voter.replica not in wanted_voters]
    ready = [
        learner
        for learner in membership.learners
        if learner.replica in wanted_voters and _is_whole(health, learner)
    ]
    dead = [voter for voter in surplus if not health[voter.replica].reachable]
    if ready and dead and _survives_without(membership, dead[0], health):
        return RemoveMember(dead[0].replica)
    if ready:
        return PromoteLearner(ready[0].replica)
    voting = {voter.replica for voter in membership.voters}
    if (
        surplus
        and set(wanted_voters) <= voting
        and _survives_without(membership, surplus[0], health)
    ):
        return RemoveMember(surplus[0].replica)
    return None


VOTERS_MAX = 9
"""Voters beyond these only slow down each commit; four may be lost."""


def next_automatic_change(
    membership: Membership,
    health: Mapping[str, MemberHealth],
    gone: Collection[str],
    newcomers: Mapping[Address, str],
    fewest_voters: int,
) -> MembershipChange | None:
    """Return the next change where no operator names the voters, or ``None``.

    Each learner that holds the log becomes a voter. A voter is dropped when its folder was
    emptied, or when it is gone for long, as far as enough others stay.

    :param gone: identities that were silent for long.
    :param newcomers: replicas that ask to join, by their address.
    :param fewest_voters: how many voters stay at least.
    """
    for voter in membership.voters:
        emptied = newcomers.get(voter.address, voter.replica) != voter.replica
        given_up = voter.replica in gone and len(membership.voters) > fewest_voters
        if (emptied or given_up) and _survives_without(membership, voter, health):
            return RemoveMember(voter.replica)
    if len(membership.voters) < VOTERS_MAX:
        for learner in membership.learners:
            if _is_whole(health, learner):
                return PromoteLearner(learner.replica)
    return None


def can_lose(membership: Membership, health: Mapping[str, MemberHealth]) -> int:
    """Return how many further voters may be lost such that a quorum holding everything is left."""
    whole = sum(_is_whole(health, voter) for voter in membership.voters)
    return max(0, whole - membership.quorum)


def _is_whole(health: Mapping[str, MemberHealth], member: Member) -> bool:
    known = health.get(member.replica)
    return known is not None and known.reachable and known.caught_up


def _survives_without(
    membership: Membership, leaver: Member, health: Mapping[str, MemberHealth]
) -> bool:
    """Return whether the voters that would stay have a quorum that holds everything."""
    voters = tuple(voter for voter in membership.voters if voter != leaver)
    whole = sum(_is_whole(health, voter) for voter in voters)
    return bool(voters) and whole >= len(voters) // 2 + 1
