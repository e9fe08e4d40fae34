"""Members of the replicated log, their votes, and single-step membership changes."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, replace
from typing import Any, cast

import cbor2

from bergamotchute_model.identifiers import Address


@dataclass(frozen=True, order=True)
class Member:
    """A replica and its network address.

    :param replica: the identity in the replica's data folder; an empty folder gets a new identity.
    :param address: the address at which its process listens.
    """

    replica: str
    address: Address


@dataclass(frozen=True)
class Membership:
    """The replicas of the log.

    :param voters: replicas whose acknowledgements and votes count.
    :param learners: replicas that receive the log without a vote.
    """

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def members(self) -> tuple[Member, ...]:
        """All members, voters first."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """The number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    def is_voter(self, replica: str) -> bool:
        """Return whether ``replica`` has a vote."""
        return any(member.replica == replica for member in self.voters)

    def find_member(self, replica: str) -> Member | None:
        """Return the member with the identity ``replica``, if any."""
        return next((member for member in self.members if member.replica == replica), None)

    def has_quorum(self, replicas: Collection[str]) -> bool:
        """Return whether the voters among ``replicas`` are a majority of the voters."""
        count = sum(member.replica in replicas for member in self.voters)
        return count >= self.quorum


@dataclass(frozen=True)
class AddLearner:
    """Add a replica that receives the log without a vote."""

    member: Member


@dataclass(frozen=True)
class PromoteLearner:
    """Make a learner that holds the log a voter."""

    replica: str


@dataclass(frozen=True)
class RemoveMember:
    """Remove a voter or learner."""

    replica: str


MembershipChange = AddLearner | PromoteLearner | RemoveMember


class MembershipError(ValueError):
    """A membership change is invalid for the current membership."""


def changed(membership: Membership, change: MembershipChange) -> Membership:
    """Return the membership after one change, which adds or removes at most one vote.

    :raises MembershipError: when the member to add exists, the member to change is unknown or no
        learner, or the last voter would be removed.
    """
    if isinstance(change, AddLearner):
        if membership.find_member(change.member.replica) is not None:
            raise MembershipError(f"replica {change.member.replica} is already a member")
        return replace(membership, learners=(*membership.learners, change.member))
    member = membership.find_member(change.replica)
    if member is None:
        raise MembershipError(f"replica {change.replica} is not a member")
    learners = tuple(each for each in membership.learners if each != member)
    if isinstance(change, PromoteLearner):
        if member not in membership.learners:
            raise MembershipError(f"replica {change.replica} is a voter, not a learner")
        return Membership((*membership.voters, member), learners)
    voters = tuple(each for each in membership.voters if each != member)
    if not voters:
        raise MembershipError("the last voter can't be removed")
    return Membership(voters, learners)


def encode_membership(membership: Membership) -> bytes:
    """Return ``membership`` as CBOR."""
    return cbor2.dumps([_encode_members(membership.voters), _encode_members(membership.learners)])


def decode_membership(data: bytes) -> Membership:
    """Decode the output of :func:`encode_membership`."""
    voters, learners = cast("list[list[list[Any]]]", cbor2.loads(data))
    return Membership(_decode_members(voters), _decode_members(learners))


def _encode_members(members: tuple[Member, ...]) -> list[list[Any]]:
    return [[each.replica, each.address.host, each.address.port] for each in members]


def _decode_members(plain: list[list[Any]]) -> tuple[Member, ...]:
    return tuple(Member(replica, Address(host, port)) for replica, host, port in plain)
