"""Tests that all control VMs arrive at the same state of all followers."""

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
    address = Address(f"10.2.0.{number}", 7000)
    return AgentState(f"agent-{number}", address, address, "group", number, 8, is_open)


def test_entries_of_all_control_vms_are_open() -> None:
    nodes, peer = LinkedNodes(), LinkedNodes()
    nodes.on_local_state("link", entry(1))
    peer.on_local_state("link", entry(2))
    nodes.on_peer_update(PEER, peer.whole())
    assert [each.name for each in nodes.open_entries()] == ["entry-1", "entry-2"]


def test_a_closed_entry_is_not_open_while_one_parent_still_reports_it_open() -> None:
    nodes, peer = LinkedNodes(), LinkedNodes()
    nodes.on_local_state("link", entry(1, is_open=False))
    peer.on_local_state("link", entry(1))
    nodes.on_peer_update(PEER, peer.whole())
    assert not nodes.open_entries()


def test_an_entry_is_open_while_one_of_its_parents_is_linked() -> None:
    nodes, peer, other = LinkedNodes(), LinkedNodes(), LinkedNodes()
    for sender, sending in ((PEER, peer), (OTHER, other)):
        sending.on_local_state("link", entry(1))
        nodes.on_peer_update(sender, sending.whole())
    nodes.on_peer_lost(PEER)
    assert nodes.open_entries() == (entry(1),)
    other.on_local_link_closed("link", "entry-1")
    delta = other.take_delta()
    assert delta is not None
    nodes.on_peer_update(OTHER, delta)
    assert not nodes.open_entries()


def test_closing_an_older_link_keeps_the_newer_one() -> None:
    nodes = LinkedNodes()
    nodes.on_local_state("old", entry(1))
    nodes.on_local_state("new", entry(1))
    nodes.on_local_link_closed("old", "entry-1")
    assert nodes.open_entries() == (entry(1),)


@pytest.mark.parametrize("seed", range(20))
def test_deltas_add_up_to_the_full_state(seed: int) -> None:
    """Random link changes: a peer that got all deltas has the state that a new peer is sent."""
    random = Random(seed)
    local, follower = LinkedNodes(), LinkedNodes()
    for _ in range(200):
        number = random.randrange(6)
        node = random.choice([entry, agent])(number, random.random() < 0.7)
        if random.random() < 0.7:
            local.on_local_state(number, node)
        else:
            local.on_local_link_closed(number, node.name)
        delta = local.take_delta() if random.random() < 0.4 else None
        if delta is not None:
            follower.on_peer_update(PEER, delta)
    delta = local.take_delta()
    if delta is not None:
        follower.on_peer_update(PEER, delta)
    fresh = LinkedNodes()
    fresh.on_peer_update(PEER, local.whole())
    assert fresh.peer_nodes == follower.peer_nodes
    assert fresh.agents() == follower.agents() == local.agents()
    assert fresh.open_entries() == follower.open_entries() == local.open_entries()


def test_a_change_is_sent_once() -> None:
    nodes = LinkedNodes()
    nodes.on_local_state("link", agent(1))
    assert nodes.take_delta() is not None
    assert nodes.take_delta() is None


def test_entries_of_all_control_vms_are_counted_once_and_rounded_up() -> None:
    """Each entry spends its part of the shared retry budget by this count."""
    nodes, peer = LinkedNodes(), LinkedNodes()
    assert nodes.entry_count() == 0
    for number in range(1, 6):
        nodes.on_local_state(f"link-{number}", entry(number, is_open=number > 2))
    nodes.on_local_state("link-agent", agent(9))
    for number in range(5, 11):
        peer.on_local_state(f"link-{number}", entry(number))
    nodes.on_peer_update(PEER, peer.whole())
    assert nodes.entry_count() == 12
