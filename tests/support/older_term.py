"""A leader whose log ends with an entry of a term before its own."""

from __future__ import annotations

from dataclasses import replace

from support.consensus_cluster import SETTINGS, SimulatedCluster

SMALL = replace(SETTINGS, max_append_bytes=1)
"""One entry a message."""


def replicate_older_term() -> None:
    """Let a leader replicate an entry of its former term, and see that this alone commits nothing."""
    cluster = SimulatedCluster(3, settings=SMALL)
    old = cluster.elect()
    first, second = (node for node in cluster.nodes if node is not old)
    cluster.isolated_addresses |= {first.address, second.address}
    cluster.propose(old, 1)
    cluster.write_pending(old)
    left = old.replica.state.log.last_index if old.replica else 0
    cluster.crash(old, power=True)
    cluster.start(old)
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
            for node in (old, first):
                state = node.replica.state if node.replica else None
                if state and state.is_leader and state.term_start_index > left:
                    committed = state.commit_index
                    assert committed < left or committed >= state.term_start_index
    assert cluster.leader in (old, first)
