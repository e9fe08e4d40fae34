"""Tests that followers spread over the control VMs and always have a sound parent."""

from __future__ import annotations

from collections import Counter
from itertools import combinations

import pytest

from bergamotchute_model.identifiers import Address
from bergamotchute_policy.control_parents import (
    MAX_PARENT_COUNT,
    PARENT_COUNT,
    ParentHealth,
    choose_parents,
    majority_of_parents,
    order_parents,
)

CONTROL_VMS = [Address(f"10.0.0.{number}", 7000) for number in range(9)]
FOLLOWERS = [f"node-{number}" for number in range(289)]


def _parents(follower: str, doubtful: tuple[Address, ...] = ()) -> list[Address]:
    def health(address: Address) -> ParentHealth:
        return ParentHealth.DOUBTFUL if address in doubtful else ParentHealth.SOUND

    return choose_parents(order_parents(follower, CONTROL_VMS), health)


def test_followers_are_spread_evenly_over_control_vms() -> None:
    """The 289 processes of a large fleet start together and must not overload a control VM."""
    counts = Counter(parent for follower in FOLLOWERS for parent in _parents(follower))
    even_count = len(FOLLOWERS) * PARENT_COUNT / len(CONTROL_VMS)
    assert sum(counts.values()) == len(FOLLOWERS) * PARENT_COUNT
    assert all(0.75 * even_count < count < 1.25 * even_count for count in counts.values())


def test_a_removed_control_vm_moves_only_its_followers() -> None:
    gone = CONTROL_VMS[4]
    for follower in FOLLOWERS:
        before = _parents(follower)
        after = choose_parents(
            order_parents(follower, [address for address in CONTROL_VMS if address != gone]),
            lambda _: ParentHealth.SOUND,
        )
        assert len(set(before) - set(after)) == (gone in before)


@pytest.mark.parametrize("doubtful_count", [1, 2, 4])
def test_each_doubtful_parent_is_supplemented_by_a_sound_one(doubtful_count: int) -> None:
    for doubtful in combinations(CONTROL_VMS, doubtful_count):
        for follower in FOLLOWERS[:20]:
            parents = _parents(follower, doubtful)
            sound = [address for address in parents if address not in doubtful]
            assert sound
            assert len(sound) == PARENT_COUNT or len(parents) == MAX_PARENT_COUNT


def test_the_parent_count_is_bounded_while_all_are_doubtful() -> None:
    assert len(_parents("node-1", tuple(CONTROL_VMS))) == MAX_PARENT_COUNT


@pytest.mark.parametrize("group_size", range(1, 13))
def test_some_parent_of_an_entry_is_in_each_quorum(group_size: int) -> None:
    quorum = group_size // 2 + 1
    parents = min(majority_of_parents(group_size), group_size)
    assert parents + quorum > group_size
