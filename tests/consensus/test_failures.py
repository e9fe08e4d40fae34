"""Failure scenarios of the replicated log, each injected deliberately."""

from __future__ import annotations

from dataclasses import replace

import pytest

from bergamotchute_consensus.events import ReadsRequested, Tick
from bergamotchute_consensus.membership import AddLearner, PromoteLearner, RemoveMember
from bergamotchute_consensus.replica_state import ReplicaRole
from support.consensus_cluster import SETTINGS, SimulatedCluster, SimulatedNode
from support.memory_disk import PowerLossError
from support.older_term import check_commit_of_older_term

MAX_WRITE_OPERATIONS = 14
"""More than the disk operations of any one write, so that every operation is interrupted once."""


def others(cluster: SimulatedCluster, node: SimulatedNode) -> list[SimulatedNode]:
    return [each for each in cluster.nodes if each is not node]


def assert_makes_progress(cluster: SimulatedCluster, acknowledged: list[str]) -> None:
    """Check that the cluster commits new commands and kept all acknowledged ones."""
    leader = cluster.elect()
    tokens = cluster.propose(leader, 2)
    cluster.settle(1.0)
    assert set(tokens) <= cluster.checks.acknowledged
    kept = {entry.data for entry in cluster.checks.committed.values()}
    assert {token.encode() for token in acknowledged} <= kept
    replicas = [node for node in cluster.nodes if node.is_up]
    assert len({(node.applied, node.digest) for node in replicas}) == 1


@pytest.mark.parametrize("step", range(1, MAX_WRITE_OPERATIONS))
@pytest.mark.parametrize("snapshot", [False, True])
def test_leader_loses_power_at_each_operation_of_a_write(step: int, snapshot: bool) -> None:
    cluster = SimulatedCluster(3, seed=step)
    leader = cluster.elect()
    before = cluster.propose(leader, 6)
    cluster.settle(1.0)
    if snapshot:
        cluster.snapshot(leader)
    cluster.propose(leader, 3)
    leader.disk.power_loss_operation = leader.disk.operation_count + step
    try:
        cluster.write_pending(leader)
    except PowerLossError:
        pass
    else:
        assert step > 2, "the write had fewer steps than expected"
    cluster.crash(leader, power=True)
    assert_makes_progress(cluster, before)
    cluster.start(leader)
    assert_makes_progress(cluster, before)


@pytest.mark.parametrize("delivered", range(12))
def test_leader_crashes_after_each_message_of_an_append(delivered: int) -> None:
    cluster = SimulatedCluster(3, seed=delivered)
    leader = cluster.elect()
    before = cluster.propose(leader, 2)
    cluster.settle(1.0)
    cluster.propose(leader, 4)
    for _ in range(delivered):
        for node in cluster.nodes:
            cluster.write_pending(node)
        if cluster.messages_in_flight:
            cluster.deliver_message(cluster.messages_in_flight.pop(0))
    cluster.crash(leader, power=True)
    assert_makes_progress(cluster, before)
    cluster.start(leader)
    assert_makes_progress(cluster, before)


def test_voter_partitioned_for_hours_does_not_raise_the_term() -> None:
    cluster = SimulatedCluster(3)
    leader = cluster.elect()
    lost = others(cluster, leader)[0]
    cluster.isolated_addresses.add(lost.address)
    tokens = cluster.propose(leader, 30)
    cluster.settle(1.0)
    cluster.snapshot(leader)
    for _ in range(40):
        cluster.now += 300.0
        cluster.settle(0.3)
    term = max(node.replica.state.term for node in cluster.nodes if node.replica)
    assert lost.replica is not None
    assert lost.replica.state.role is not ReplicaRole.LEADER
    assert lost.replica.state.term <= term, "a partitioned voter raised the term"
    cluster.isolated_addresses.clear()
    assert_makes_progress(cluster, tokens)
    assert lost.digest == leader.digest


def test_partitioned_leader_serves_no_read_and_commits_nothing() -> None:
    cluster = SimulatedCluster(3)
    old = cluster.elect()
    cluster.isolated_addresses.add(old.address)
    read = cluster.read(old)
    proposal = cluster.propose(old)[0]
    cluster.settle(4.0)
    assert read in cluster.rejected_reads
    assert cluster.rejected_proposals[proposal].committed_maybe
    assert not old.is_leader
    assert cluster.leader is not None


def test_leader_paused_for_minutes_serves_no_read_from_before() -> None:
    cluster = SimulatedCluster(3)
    old = cluster.elect()
    before = cluster.read(old)
    cluster.messages_in_flight.clear()
    old.frozen = True
    cluster.isolated_addresses.add(old.address)
    cluster.settle(300.0)
    old.frozen = False
    old.clock_offset_s = 0.0
    cluster.isolated_addresses.clear()
    after = cluster.token("r")
    cluster.checks.on_read_requested(after)
    assert old.replica is not None
    cluster.execute_actions(old, old.replica.step(ReadsRequested((after,)), cluster.now))
    assert {before, after} <= cluster.rejected_reads
    assert not old.is_leader
    cluster.settle(3.0)
    assert before not in cluster.completed_tokens


def test_leader_steps_down_after_a_clock_jump_without_data_loss() -> None:
    cluster = SimulatedCluster(3)
    leader = cluster.elect()
    tokens = cluster.propose(leader, 3)
    cluster.settle(1.0)
    leader.clock_offset_s += 3600.0
    cluster.step(leader, Tick())
    assert not leader.is_leader
    assert_makes_progress(cluster, tokens)


def test_second_voter_lost_right_after_the_first_was_replaced() -> None:
    cluster = SimulatedCluster(3)
    leader = cluster.elect()
    tokens = cluster.propose(leader, 40)
    cluster.settle(1.0)
    cluster.snapshot(leader)
    cluster.settle(0.5)
    emptied, other = others(cluster, leader)
    gone = emptied.identity
    cluster.crash(emptied, power=True)
    cluster.wipe(emptied)
    fresh = emptied.member
    cluster.change(leader, AddLearner(fresh))
    early = cluster.change(leader, PromoteLearner(fresh.replica))
    assert early in cluster.rejected_proposals, "a learner without the log was promoted"
    cluster.settle(1.0)
    cluster.change(leader, RemoveMember(gone))
    cluster.settle(0.5)
    cluster.change(leader, PromoteLearner(fresh.replica))
    cluster.settle(0.5)
    assert emptied.digest == leader.digest
    cluster.crash(leader, power=True)
    assert_makes_progress(cluster, tokens)
    assert cluster.leader in (emptied, other)


def test_two_wiped_voters_of_three_form_no_quorum() -> None:
    cluster = SimulatedCluster(3)
    leader = cluster.elect()
    cluster.propose(leader, 3)
    cluster.settle(1.0)
    for node in others(cluster, leader):
        cluster.crash(node, power=True)
        cluster.wipe(node)
    cluster.settle(10.0)
    assert cluster.leader is None
    tokens = cluster.propose(leader)
    cluster.settle(1.0)
    assert not set(tokens) & cluster.checks.acknowledged


def test_wiped_voter_never_replies_for_its_former_identity() -> None:
    cluster = SimulatedCluster(3)
    leader = cluster.elect()
    cluster.propose(leader, 3)
    cluster.settle(1.0)
    emptied = others(cluster, leader)[0]
    former = emptied.identity
    cluster.crash(emptied, power=True)
    cluster.wipe(emptied)
    assert leader.replica is not None
    leader.replica.state.progress_by_replica[former].last_reply_at = float("-inf")
    cluster.settle(3.0)
    assert leader.replica.state.progress_by_replica[former].last_reply_at == float("-inf")


def test_restart_of_all_voters_after_500_commands() -> None:
    cluster = SimulatedCluster(3)
    leader = cluster.elect()
    tokens: list[str] = []
    for round_number in range(50):
        tokens += cluster.propose(leader, 10)
        cluster.drain_messages()
        if round_number % 20 == 19:
            for node in cluster.nodes:
                cluster.snapshot(node)
    cluster.settle(1.0)
    digest = leader.digest
    for node in cluster.nodes:
        cluster.crash(node, power=True)
    for node in cluster.nodes:
        cluster.start(node)
    assert set(tokens) <= cluster.checks.acknowledged
    cluster.elect()
    assert {node.digest for node in cluster.nodes} == {digest}
    assert_makes_progress(cluster, tokens)


@pytest.mark.parametrize("chunks", [1, 4, 7])
def test_snapshot_transfer_resumes_where_it_was_interrupted(chunks: int) -> None:
    cluster = SimulatedCluster(3, settings=replace(SETTINGS, snapshot_chunk_bytes=4))
    leader = cluster.elect()
    lost = others(cluster, leader)[0]
    cluster.crash(lost, power=False)
    tokens = cluster.propose(leader, 30)
    cluster.settle(1.0)
    for node in others(cluster, lost):
        cluster.snapshot(node)
    cluster.settle(0.5)
    cluster.start(lost)
    assert lost.replica is not None
    for _ in range(400):
        incoming = lost.replica.state.incoming_snapshot
        if incoming is not None and len(incoming.data) >= 4 * chunks:
            break
        cluster.tick(0.01)
        for node in cluster.nodes:
            cluster.write_pending(node)
        if cluster.messages_in_flight:
            cluster.deliver_message(cluster.messages_in_flight.pop(0))
    cluster.crash(leader, power=True)
    held = (
        len(lost.replica.state.incoming_snapshot.data)
        if lost.replica.state.incoming_snapshot
        else 0
    )
    cluster.elect()
    assert held == 4 * chunks
    assert_makes_progress(cluster, tokens)
    cluster.start(leader)
    assert_makes_progress(cluster, tokens)


@pytest.mark.parametrize("fault", ["full", "sync"])
@pytest.mark.parametrize("role", ["leader", "follower"])
def test_replica_with_a_failing_disk_stops_without_data_loss(fault: str, role: str) -> None:
    cluster = SimulatedCluster(3)
    leader = cluster.elect()
    before = cluster.propose(leader, 3)
    cluster.settle(1.0)
    failing = leader if role == "leader" else others(cluster, leader)[0]
    if fault == "full":
        failing.disk.capacity_bytes = sum(len(file.data) for file in failing.disk.files.values())
    else:
        failing.disk.sync_fails = True
    during = cluster.propose(leader, 3)
    cluster.settle(0.3)
    assert failing.replica is not None
    assert failing.replica.failed
    if role == "leader":
        assert all(cluster.rejected_proposals[token].committed_maybe for token in during)
    cluster.settle(4.0)
    acknowledged = [token for token in during if token in cluster.checks.acknowledged]
    failing.disk.capacity_bytes = None
    failing.disk.sync_fails = False
    cluster.crash(failing, power=True)
    cluster.start(failing)
    assert_makes_progress(cluster, before + acknowledged)


def test_entry_of_an_older_term_commits_only_with_one_of_the_current_term() -> None:
    check_commit_of_older_term()


def test_learner_with_the_newest_log_leads_until_the_voters_hold_it() -> None:
    cluster = SimulatedCluster(3)
    old = cluster.elect()
    learner = cluster.add_node()
    cluster.nodes.append(learner)
    cluster.change(old, AddLearner(learner.member))
    cluster.settle(1.0)
    tokens = cluster.propose(old)
    cluster.settle(1.0)
    cluster.isolated_addresses.add(old.address)
    cluster.change(old, PromoteLearner(learner.identity))
    cluster.write_pending(old)
    cluster.crash(old, power=True)
    cluster.messages_in_flight.clear()
    second, third = others(cluster, old)[:2]
    while cluster.leader is None:
        cluster.tick(0.05)
        for node in cluster.nodes:
            cluster.write_pending(node)
            if cluster.leader is not None:
                break
            cluster.messages_in_flight, sends = [], cluster.messages_in_flight
            for send in sends:
                cluster.deliver_message(send)
    newest = cluster.leader
    last = third if newest is second else second
    cluster.cut_links.add(frozenset((newest.address, last.address)))
    cluster.drain_messages()
    assert learner.replica is not None
    assert learner.replica.state.log.last_term > 2
    cluster.crash(newest, power=True)
    cluster.wipe(newest)
    cluster.isolated_addresses.clear()
    cluster.start(old)
    cluster.settle(20.0)
    leader = cluster.leader
    assert leader is not None
    assert leader in (old, last)
    more = cluster.propose(leader)
    cluster.settle(1.0)
    assert {*tokens, *more} <= cluster.checks.acknowledged


@pytest.mark.parametrize("seed", range(20))
def test_restarted_voters_elect_a_leader_within_half_an_election_timeout_of_their_quorum(
    seed: int,
) -> None:
    """Load pattern: all VMs lost power, and the control VMs restart within half a second."""
    cluster = SimulatedCluster(5, seed)
    cluster.elect()
    for node in cluster.nodes:
        cluster.crash(node, power=True)
    cluster.tick(1.0)
    cluster.messages_in_flight = []
    cluster.start(cluster.nodes[0])
    for node in cluster.nodes[1:]:
        cluster.settle(0.1)
        cluster.start(node)
        if node is cluster.nodes[2]:
            quorum_at = cluster.now
    while cluster.leader is None:
        cluster.settle(0.05)
    assert cluster.now - quorum_at <= 0.5 * cluster.settings.election_timeout_s
