"""Scenario of a leader whose log ends with an entry of an earlier term."""

from __future__ import annotations

from dataclasses import replace

from support.consensus_cluster import SETTINGS, SimulatedCluster

ONE_ENTRY_SETTINGS = replace(SETTINGS, max_append_bytes=1)
"""Settings that put one log entry into each message."""


def check_commit_of_older_term() -> None:
    """Replicate an entry of an earlier term and check that this alone doesn't commit the entry."""
    cluster = SimulatedCluster(3, settings=ONE_ENTRY_SETTINGS)
    old_leader = cluster.elect()
    first, second = (node for node in cluster.nodes if node is not old_leader)
    cluster.isolated_addresses |= {first.address, second.address}
    cluster.propose(old_leader, 1)
    cluster.write_pending(old_leader)
    older_term_index = old_leader.replica.state.log.last_index if old_leader.replica else 0
    cluster.crash(old_leader, power=True)
    cluster.start(old_leader)
    cluster.isolated_addresses = {second.address}
    cluster.messages_in_flight.clear()
    for _ in range(400):
        cluster.tick(0.05)
        for node in cluster.nodes:
            cluster.write_pending(node)
        while cluster.messages_in_flight:
            cluster.deliver_message(cluster.messages_in_flight.pop(0))
            for node in cluster.nodes:
                cluster.write_pending(node)
            for node in (old_leader, first):
                state = node.replica.state if node.replica else None
                if state and state.is_leader and state.term_start_index > older_term_index:
                    committed = state.commit_index
                    assert committed < older_term_index or committed >= state.term_start_index
    assert cluster.leader in (old_leader, first)
