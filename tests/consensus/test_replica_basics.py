"""Election, replication and reads without failures."""

from __future__ import annotations

import anyio

from bergamotchute_consensus.events import Proposal, ProposalsRequested
from bergamotchute_consensus.log_entry import EntryContent, LogEntry
from bergamotchute_consensus.membership import Member
from bergamotchute_consensus.messages import AppendEntries, RequestVote
from bergamotchute_daemon._voter_peer_links import PeerQueue
from bergamotchute_model.identifiers import Address
from support.consensus_cluster import SimulatedCluster


def test_proposals_reach_every_replica() -> None:
    cluster = SimulatedCluster(3)
    leader = cluster.elect()
    tokens = cluster.propose(leader, 20)
    cluster.settle(1.0)
    assert set(tokens) <= cluster.checks.acknowledged
    assert len({(node.applied, node.digest) for node in cluster.nodes}) == 1


def test_single_voter_commits_by_itself() -> None:
    cluster = SimulatedCluster(1)
    leader = cluster.elect()
    tokens = cluster.propose(leader, 2)
    read = cluster.read(leader)
    cluster.drain_messages()
    assert {*tokens, read} <= cluster.completed_tokens


def test_reads_wait_for_a_quorum_round_that_starts_after_them() -> None:
    cluster = SimulatedCluster(3)
    leader = cluster.elect()
    first = cluster.read(leader)
    second = cluster.read(leader)
    assert not {first, second} & cluster.completed_tokens
    cluster.drain_messages()
    assert {first, second} <= cluster.completed_tokens


def test_large_entries_pile_up_in_front_of_heartbeats() -> None:
    # Sixteen messages of any size could await one follower's reply on a slow link.
    cluster = SimulatedCluster(3)
    leader = cluster.elect()
    cluster.drain_messages()
    data = bytes(cluster.settings.max_in_flight_bytes)
    for number in range(5):
        cluster.step(leader, ProposalsRequested((Proposal(f"large-{number}", data),)))
    sent: dict[str, int] = {}
    for send in cluster.messages_in_flight:
        if isinstance(send.message, AppendEntries):
            size = sum(len(entry.data) for entry in send.message.entries)
            sent[send.message.recipient] = sent.get(send.message.recipient, 0) + size
    assert set(sent.values()) == {len(data)}
    cluster.drain_messages()
    assert {f"large-{number}" for number in range(5)} <= cluster.completed_tokens


def test_large_entries_behind_a_snapshot_fill_the_memory() -> None:
    # The count of entries kept for replicas that lag was bounded, but not their size.
    cluster = SimulatedCluster(3)
    leader = cluster.elect()
    cluster.drain_messages()
    data = bytes(500_000)
    for number in range(60):
        cluster.step(leader, ProposalsRequested((Proposal(f"large-{number}", data),)))
        cluster.drain_messages()
        cluster.snapshot(leader)
    assert leader.replica is not None
    log = leader.replica.state.log
    assert sum(len(entry.data) for entry in log.entries) <= cluster.settings.trailing_bytes
    assert log.last_index > 60


def test_vote_waits_behind_entries_on_a_slow_link() -> None:
    queue = PeerQueue()
    queue.linked = True
    sender = Member("a", Address("10.0.0.1", 7000))
    large = LogEntry(2, 1, EntryContent.COMMAND, bytes(500_000))
    append = AppendEntries("c", sender, "b", 1, 1, 1, (large,), 1, 1)
    heartbeat = AppendEntries("c", sender, "b", 1, 2, 1, (), 1, 2)
    vote = RequestVote("c", sender, "b", 2, 2, 1, False)
    for message in (append, heartbeat, vote):
        queue.put(message)

    async def take_all() -> list[object]:
        return [await queue.next_message() for _ in range(3)]

    assert anyio.run(take_all) == [vote, append, heartbeat]
