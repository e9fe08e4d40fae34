"""Automatic membership changes, without a voters file of the operators."""

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
UNREACHABLE = MemberHealth(False, False, silent=True)


def member(number: int, identity: str = "") -> Member:
    return Member(identity or f"r{number}", Address(f"10.0.0.{number}", 1))


def voters(*numbers: int) -> tuple[Member, ...]:
    return tuple(member(number) for number in numbers)


def health(membership: Membership, *unreachable: int) -> dict[str, MemberHealth]:
    gone = {f"r{number}" for number in unreachable}
    return {
        each.replica: UNREACHABLE if each.replica in gone else IN_SYNC
        for each in membership.members
    }


def test_learner_with_the_whole_log_becomes_a_voter() -> None:
    group = Membership(voters(1, 2, 3), voters(4))
    change = next_automatic_change(group, health(group), set(), 3)
    assert change == PromoteLearner("r4")


def test_lagging_learner_is_not_promoted() -> None:
    group = Membership(voters(1, 2, 3), voters(4))
    assert next_automatic_change(group, health(group, 4), set(), 3) is None


def test_voter_that_is_silent_for_long_is_removed() -> None:
    group = Membership(voters(1, 2, 3, 4, 5))
    change = next_automatic_change(group, health(group, 5), {"r5"}, 3)
    assert change == RemoveMember("r5")


def test_no_voter_is_removed_below_the_minimum() -> None:
    group = Membership(voters(1, 2, 3))
    assert next_automatic_change(group, health(group, 3), {"r3"}, 3) is None


def test_voter_is_kept_while_the_others_have_no_quorum() -> None:
    group = Membership(voters(1, 2, 3, 4, 5))
    assert next_automatic_change(group, health(group, 3, 4, 5), {"r5"}, 3) is None


def test_voter_with_an_emptied_folder_is_removed_once_its_address_answers_under_another_identity() -> (
    None
):
    group = Membership(voters(1, 2, 3, 4, 5), (member(5, "fresh"),))
    lagging = health(group, 5) | {"fresh": MemberHealth(True, False)}
    assert next_automatic_change(group, lagging, set(), 3) == RemoveMember("r5")
    unanswered = lagging | {"fresh": UNREACHABLE}
    assert next_automatic_change(group, unanswered, set(), 3) is None


def test_healthy_voter_is_kept_beside_a_learner_of_its_address() -> None:
    group = Membership(voters(1, 2, 3), (member(3, "former"),))
    without_answer = health(group) | {"former": UNREACHABLE}
    assert next_automatic_change(group, without_answer, set(), 3) is None


def test_silent_voter_leaves_before_its_successor_gets_the_vote() -> None:
    group = Membership(voters(1, 2, 3, 4, 5), voters(6))
    assert next_automatic_change(group, health(group, 2), set(), 3) == RemoveMember("r2")
    group = Membership(voters(1, 3, 4, 5), voters(6))
    assert next_automatic_change(group, health(group), set(), 3) == PromoteLearner("r6")


def test_only_one_silent_voter_leaves_for_one_successor() -> None:
    group = Membership(voters(1, 2, 3, 4, 5, 6, 7), voters(8))
    assert next_automatic_change(group, health(group, 2, 3), set(), 3) == RemoveMember("r2")
    group = Membership(voters(1, 3, 4, 5, 6, 7), voters(8))
    assert next_automatic_change(group, health(group, 3), set(), 3) == PromoteLearner("r8")


def test_silent_voter_stays_beside_a_successor_where_the_loss_of_a_disk_would_leave_no_quorum() -> (
    None
):
    group = Membership(voters(1, 2, 3), voters(4))
    assert next_automatic_change(group, health(group, 3), set(), 3) == PromoteLearner("r4")


def test_voter_that_a_new_leader_has_not_heard_yet_is_not_removed() -> None:
    group = Membership(voters(1, 2, 3, 4, 5), voters(6))
    unheard = health(group) | {"r2": MemberHealth(False, False)}
    assert next_automatic_change(group, unheard, set(), 3) == PromoteLearner("r6")
