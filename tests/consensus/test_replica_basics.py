"""Election, replication and snapshots where nothing fails."""

from __future__ import annotations

from support.consensus_cluster import SimulatedCluster


def test_proposals_reach_every_replica() -> None:
    cluster = SimulatedCluster(3)
    leader = cluster.elect()
    tokens = cluster.propose(leader, 20)
    cluster.settle(1.0)
    assert set(tokens) <= cluster.checks.acknowledged
    assert len({(node.applied, node.digest) for node in cluster.nodes}) == 1


def test_a_single_voter_commits_by_itself() -> None:
    cluster = SimulatedCluster(1)
    leader = cluster.elect()
    tokens = cluster.propose(leader, 2)
    read = cluster.read(leader)
    cluster.pump()
    assert {*tokens, read} <= cluster.answered


def test_reads_wait_for_a_round_that_begins_after_them() -> None:
    cluster = SimulatedCluster(3)
    leader = cluster.elect()
    first = cluster.read(leader)
    second = cluster.read(leader)
    assert not {first, second} & cluster.answered
    cluster.pump()
    assert {first, second} <= cluster.answered
