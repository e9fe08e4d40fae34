"""Followers spread over the control VMs, and always have a sound one."""

from __future__ import annotations

from collections import Counter
from itertools import combinations

import pytest

from bergamotchute_model.identifiers import Address
from bergamotchute_policy.control_parents import (
    PARENTS,
    PARENTS_MAX,
    ParentHealth,
    choose_parents,
    parent_order,
)

CONTROL = [Address(f"10.0.0.{number}", 7000) for number in range(9)]
FOLLOWERS = [f"node-{number}" for number in range(289)]


def _parents(follower: str, doubtful: tuple[Address, ...] = ()) -> list[Address]:
    def health(address: Address) -> ParentHealth:
        return ParentHealth.DOUBTFUL if address in doubtful else ParentHealth.SOUND

    return choose_parents(parent_order(follower, CONTROL), health)


def test_links_are_spread_evenly() -> None:
    """Load pattern: the 289 processes of a large fleet start together."""
    counts = Counter(parent for each in FOLLOWERS for parent in _parents(each))
    even = len(FOLLOWERS) * PARENTS / len(CONTROL)
    assert sum(counts.values()) == len(FOLLOWERS) * PARENTS
    assert all(0.75 * even < count < 1.25 * even for count in counts.values())


def test_a_control_vm_that_comes_or_goes_moves_few_followers() -> None:
    gone = CONTROL[4]
    for follower in FOLLOWERS:
        before = _parents(follower)
        after = choose_parents(
            parent_order(follower, [each for each in CONTROL if each != gone]),
            lambda _: ParentHealth.SOUND,
        )
        assert len(set(before) - set(after)) == (gone in before)


@pytest.mark.parametrize("lost", [1, 2, 4])
def test_a_sound_parent_stands_in_for_each_one_in_doubt(lost: int) -> None:
    for doubtful in combinations(CONTROL, lost):
        for follower in FOLLOWERS[:20]:
            parents = _parents(follower, doubtful)
            sound = [each for each in parents if each not in doubtful]
            assert sound
            assert len(sound) == PARENTS or len(parents) == PARENTS_MAX


def test_an_outage_of_all_does_not_link_everyone_to_everyone() -> None:
    assert len(_parents("node-1", tuple(CONTROL))) == PARENTS_MAX
