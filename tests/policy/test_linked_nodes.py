"""What control VMs tell each other of their followers adds up to the same picture everywhere."""

from __future__ import annotations

from random import Random

import pytest

from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import AgentState, EntryState
from bergamotchute_policy.linked_nodes import LinkedNodes

PEER = Address("10.0.0.2", 7000)
OTHER = Address("10.0.0.3", 7000)


def entry(number: int, is_open: bool = True) -> EntryState:
    return EntryState(f"entry-{number}", Address(f"10.1.0.{number}", 80), "north", is_open)


def agent(number: int, is_open: bool = True) -> AgentState:
    here = Address(f"10.2.0.{number}", 7000)
    return AgentState(f"agent-{number}", here, here, "group", number, 8, is_open)


def test_entries_of_all_control_vms_are_offered() -> None:
    nodes, peer = LinkedNodes(), LinkedNodes()
    nodes.on_own("link", entry(1))
    peer.on_own("link", entry(2))
    nodes.on_theirs(PEER, peer.whole())
    assert [each.name for each in nodes.open_entries()] == ["entry-1", "entry-2"]


def test_an_entry_that_closes_is_not_offered_though_one_parent_has_not_heard() -> None:
    nodes, peer = LinkedNodes(), LinkedNodes()
    nodes.on_own("link", entry(1, is_open=False))
    peer.on_own("link", entry(1))
    nodes.on_theirs(PEER, peer.whole())
    assert not nodes.open_entries()


def test_an_entry_is_offered_while_one_of_its_parents_is_linked() -> None:
    nodes, peer, other = LinkedNodes(), LinkedNodes(), LinkedNodes()
    for sender, told in ((PEER, peer), (OTHER, other)):
        told.on_own("link", entry(1))
        nodes.on_theirs(sender, told.whole())
    nodes.on_peer_lost(PEER)
    assert nodes.open_entries() == (entry(1),)
    other.on_own_closed("link", "entry-1")
    news = other.take_news()
    assert news is not None
    nodes.on_theirs(OTHER, news)
    assert not nodes.open_entries()


def test_the_end_of_an_older_link_does_not_end_a_newer_one() -> None:
    nodes = LinkedNodes()
    nodes.on_own("old", entry(1))
    nodes.on_own("new", entry(1))
    nodes.on_own_closed("old", "entry-1")
    assert nodes.open_entries() == (entry(1),)


@pytest.mark.parametrize("seed", range(20))
def test_news_adds_up_to_the_whole(seed: int) -> None:
    """Links come and go at random; a peer that heard all news knows what a fresh one is told."""
    random = Random(seed)
    here, follower = LinkedNodes(), LinkedNodes()
    for _ in range(200):
        number = random.randrange(6)
        node = random.choice([entry, agent])(number, random.random() < 0.7)
        if random.random() < 0.7:
            here.on_own(number, node)
        else:
            here.on_own_closed(number, node.name)
        news = here.take_news() if random.random() < 0.4 else None
        if news is not None:
            follower.on_theirs(PEER, news)
    news = here.take_news()
    if news is not None:
        follower.on_theirs(PEER, news)
    fresh = LinkedNodes()
    fresh.on_theirs(PEER, here.whole())
    assert fresh.theirs == follower.theirs
    assert fresh.agents() == follower.agents() == here.agents()
    assert fresh.open_entries() == follower.open_entries() == here.open_entries()


def test_nothing_new_is_told_twice() -> None:
    nodes = LinkedNodes()
    nodes.on_own("link", agent(1))
    assert nodes.take_news() is not None
    assert nodes.take_news() is None
