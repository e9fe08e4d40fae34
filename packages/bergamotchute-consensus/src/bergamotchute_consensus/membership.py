"""Who replicates the log, who votes, and the single steps from one membership to the next."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, replace
from typing import Any, cast

import cbor2

from bergamotchute_model.identifiers import Address


@dataclass(frozen=True, order=True)
class Member:
    """A replica and where to reach it.

    :param replica: the identity in the replica's data folder; a fresh folder gets a fresh one.
    :param address: where its process listens.
    """

    replica: str
    address: Address


@dataclass(frozen=True)
class Membership:
    """The replicas of the log.

    :param voters: their acknowledgements and votes count.
    :param learners: they receive the log and count for nothing.
    """

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def members(self) -> tuple[Member, ...]:
        """All replicas, voters first."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """How many voters make a majority."""
        return len(self.voters) // 2 + 1

    def is_voter(self, replica: str) -> bool:
        """Return whether ``replica`` has a vote."""
        return any(member.replica == replica for member in self.voters)

    def find_member(self, replica: str) -> Member | None:
        """Return the member of that identity."""
        return next((member for member in self.members if member.replica == replica), None)

    def has_quorum(self, replicas: Collection[str]) -> bool:
        """Return whether the voters among ``replicas`` are a majority of the voters."""
        count = sum(member.replica in replicas for member in self.voters)
        return count >= self.quorum


@dataclass(frozen=True)
class AddLearner:
    """Begin to send the log to a new replica."""

    member: Member


@dataclass(frozen=True)
class PromoteLearner:
    """Give a learner that holds the log a vote."""

    replica: str


@dataclass(frozen=True)
class RemoveMember:
    """Take a voter or learner out."""

    replica: str


MembershipChange = AddLearner | PromoteLearner | RemoveMember


class MembershipError(ValueError):
    """A membership change that makes no sense for the present membership."""


def changed(membership: Membership, change: MembershipChange) -> Membership:
    """Return the membership after one change, which moves at most one vote.

    :raises MembershipError: when the member is unknown or known already, or the last voter.
    """
    if isinstance(change, AddLearner):
        if membership.find_member(change.member.replica) is not None:
            raise MembershipError(f"{change.member.replica} is a member already")
        return replace(membership, learners=(*membership.learners, change.member))
    member = membership.find_member(change.replica)
    if member is None:
        raise MembershipError(f"{change.replica} is not a member")
    learners = tuple(each for each in membership.learners if each != member)
    if isinstance(change, PromoteLearner):
        if member not in membership.learners:
            raise MembershipError(f"{change.replica} is no learner")
        return Membership((*membership.voters, member), learners)
    voters = tuple(each for each in membership.voters if each != member)
    if not voters:
        raise MembershipError("the last voter can't be removed")
    return Membership(voters, learners)


def encode_membership(membership: Membership) -> bytes:
    """Return ``membership`` as CBOR."""
    return cbor2.dumps([_plain(membership.voters), _plain(membership.learners)])


def decode_membership(data: bytes) -> Membership:
    """Read what :func:`encode_membership` gave."""
    voters, learners = cast("list[list[list[Any]]]", cbor2.loads(data))
    return Membership(_members(voters), _members(learners))


def _plain(members: tuple[Member, ...]) -> list[list[Any]]:
    return [[each.replica, each.address.host, each.address.port] for each in members]


def _members(plain: list[list[Any]]) -> tuple[Member, ...]:
    return tuple(Member(replica, Address(host, port)) for replica, host, port in plain)
