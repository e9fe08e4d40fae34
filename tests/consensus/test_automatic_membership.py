"""Voters that join and leave without an operator."""

from __future__ import annotations

from bergamotchute_consensus.membership import (
    Member,
    Membership,
    PromoteLearner,
    RemoveMember,
)
from bergamotchute_consensus.membership_plan import MemberHealth, next_automatic_change
from bergamotchute_model.identifiers import Address

IN_SYNC = MemberHealth(True, True)
UNREACHABLE = MemberHealth(False, False)


def member(number: int, identity: str = "") -> Member:
    return Member(identity or f"r{number}", Address(f"10.0.0.{number}", 1))


def voters(*numbers: int) -> tuple[Member, ...]:
    return tuple(member(number) for number in numbers)


def health(membership: Membership, *away: int) -> dict[str, MemberHealth]:
    gone = {f"r{number}" for number in away}
    return {
        each.replica: UNREACHABLE if each.replica in gone else IN_SYNC
        for each in membership.members
    }


def test_a_learner_that_holds_the_log_becomes_a_voter() -> None:
    group = Membership(voters(1, 2, 3), voters(4))
    change = next_automatic_change(group, health(group), set(), {}, 3)
    assert change == PromoteLearner("r4")


def test_a_learner_that_lags_waits() -> None:
    group = Membership(voters(1, 2, 3), voters(4))
    assert next_automatic_change(group, health(group, 4), set(), {}, 3) is None


def test_a_voter_that_is_gone_for_long_is_dropped() -> None:
    group = Membership(voters(1, 2, 3, 4, 5))
    change = next_automatic_change(group, health(group, 5), {"r5"}, {}, 3)
    assert change == RemoveMember("r5")


def test_no_voter_is_dropped_below_the_fewest() -> None:
    group = Membership(voters(1, 2, 3))
    assert next_automatic_change(group, health(group, 3), {"r3"}, {}, 3) is None


def test_a_voter_is_kept_while_the_others_would_have_no_quorum_without_it() -> None:
    group = Membership(voters(1, 2, 3, 4, 5))
    assert next_automatic_change(group, health(group, 3, 4, 5), {"r5"}, {}, 3) is None


def test_a_voter_whose_folder_was_emptied_is_replaced_at_once() -> None:
    group = Membership(voters(1, 2, 3, 4, 5))
    newcomers = {member(5).address: "fresh"}
    change = next_automatic_change(group, health(group, 5), set(), newcomers, 3)
    assert change == RemoveMember("r5")


def test_a_voter_that_makes_itself_known_again_is_not_replaced() -> None:
    group = Membership(voters(1, 2, 3))
    newcomers = {member(3).address: "r3"}
    assert next_automatic_change(group, health(group), set(), newcomers, 3) is None
