"""Random walks over faults of a small cluster, reproducible by seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bergamotchute_consensus.events import ResignationRequested
from bergamotchute_consensus.membership import AddLearner, PromoteLearner, RemoveMember
from bergamotchute_consensus.storage import Storage
from support.consensus_cluster import SimulatedCluster, SimulatedNode

MAX_NODES = 5


@dataclass
class WalkTotals:
    """Totals over walks, which reveal an exploration that covers nothing.

    :param states: number of states visited, with repeats.
    :param recovered: number of runs that ended with the folders of a quorum and a working cluster.
    """

    runs: int = 0
    states: int = 0
    committed: int = 0
    leaders: int = 0
    reads: int = 0
    crashes: int = 0
    disk_failures: int = 0
    wipes: int = 0
    changes: int = 0
    snapshots: int = 0
    recovered: int = 0


class Walk:
    """One random walk: a sequence of weighted random moves.

    :param sync: see :class:`SimulatedCluster`.
    """

    def __init__(
        self,
        seed: int,
        totals: WalkTotals,
        sync: Callable[[Storage, list], None] = Storage.write,  # type: ignore[type-arg]
    ) -> None:
        self.cluster = SimulatedCluster(3, seed, sync=sync)
        self.random = self.cluster.random
        self.totals = totals
        self.moves: list[tuple[Callable[[], None], int]] = [
            (self.deliver_message, 40),
            (self.write, 25),
            (self.tick, 12),
            (self.propose, 8),
            (self.read, 5),
            (self.drop_message, 3),
            (self.duplicate_message, 3),
            (self.crash, 1),
            (self.restart, 3),
            (self.snapshot, 2),
            (self.change, 2),
            (self.cut_node, 1),
            (self.cut_leader, 1),
            (self.cut_link, 1),
            (self.replace_frozen_leader, 1),
            (self.isolate_leader_with_learners, 1),
            (self.heal_network, 2),
            (self.toggle_frozen_clock, 1),
            (self.advance_clock, 1),
            (self.wipe, 0),
        ]

    def run(self, steps: int) -> None:
        """Make random moves, then heal all faults and check that the cluster works."""
        moves = [move for move, _ in self.moves]
        weights = [weight for _, weight in self.moves]
        self.cluster.settle(3.0)
        if self.random.random() < 0.5:
            self.add_learner()
        for move in self.random.choices(moves, weights, k=steps):
            move()
            self.totals.states += 1
        if self.random.random() < 0.5:
            self.wipe()
        self.recover()
        self.totals.runs += 1
        self.totals.committed += self.cluster.checks.committed_index
        self.totals.leaders += len(self.cluster.checks.leaders)
        self.totals.reads += self.cluster.checks.allowed_read_count

    def recover(self) -> None:
        """Heal all faults and check that a cluster with a quorum of its identities works."""
        cluster = self.cluster
        self.heal_network()
        for node in cluster.nodes:
            node.frozen = False
            if not node.is_up:
                cluster.start(node)
        cluster.settle(16.0)
        alive = {node.identity for node in cluster.nodes}
        states = [node.replica.state for node in cluster.nodes if node.replica is not None]
        newest = max(states, key=lambda state: (state.log.last_term, state.log.last_index))
        if not newest.membership.has_quorum(alive):
            return
        leader = cluster.leader
        assert leader is not None, "no leader was elected although a quorum is up"
        tokens = cluster.propose(leader, 2)
        cluster.settle(1.0)
        assert set(tokens) <= cluster.checks.acknowledged, "a healed cluster doesn't commit"
        members = [
            node
            for node in cluster.nodes
            if leader.replica and leader.replica.state.membership.find_member(node.identity)
        ]
        assert (
            len({(node.applied, node.digest) for node in members}) == 1
        ), "replicas have different states"
        self.totals.recovered += 1

    def add_learner(self) -> None:
        """Add a node as a learner."""
        cluster = self.cluster
        learner = cluster.add_node()
        cluster.nodes.append(learner)
        if cluster.leader is not None:
            cluster.change(cluster.leader, AddLearner(learner.member))
            cluster.settle(1.0)

    def up_nodes(self) -> list[SimulatedNode]:
        return [node for node in self.cluster.nodes if node.is_up]

    def random_up_node(self) -> SimulatedNode:
        return self.random.choice(self.up_nodes())

    def deliver_message(self) -> None:
        network = self.cluster.messages_in_flight
        if network:
            position = min(int(self.random.expovariate(0.5)), len(network) - 1)
            self.cluster.deliver_message(network.pop(position))

    def drop_message(self) -> None:
        network = self.cluster.messages_in_flight
        if network:
            network.pop(self.random.randrange(len(network)))

    def duplicate_message(self) -> None:
        network = self.cluster.messages_in_flight
        if network:
            network.append(self.random.choice(network))

    def write(self) -> None:
        if self.up_nodes():
            self.cluster.write_pending(self.random_up_node())

    def tick(self) -> None:
        self.cluster.tick(self.random.choice((0.05, 0.2, 0.7, 0.7)))

    def propose(self) -> None:
        node = self.cluster.leader or (self.up_nodes() and self.random_up_node())
        if node:
            self.cluster.propose(node, self.random.randint(1, 4))

    def read(self) -> None:
        leaders = [node for node in self.up_nodes() if node.is_leader]
        if leaders:
            self.cluster.read(self.random.choice(leaders))

    def snapshot(self) -> None:
        if self.up_nodes():
            node = self.random_up_node()
            if node.applied:
                self.cluster.snapshot(node)
                self.totals.snapshots += 1

    def crash(self) -> None:
        if len(self.up_nodes()) > 1:
            node = self.random_up_node()
            if self.random.random() < 0.5 and node.pending_persists:
                self.crash_in_write(node)
                return
            self.cluster.crash(node, power=self.random.random() < 0.7)
            self.totals.crashes += 1

    def crash_in_write(self, node: SimulatedNode) -> None:
        """Crash a node by a power loss at a random operation of a write."""
        node.disk.power_loss_operation = node.disk.operation_count + self.random.randint(1, 6)
        self.cluster.write_or_crash(node)
        self.totals.crashes += 1

    def restart(self) -> None:
        down = [node for node in self.cluster.nodes if not node.is_up]
        if down:
            self.cluster.start(self.random.choice(down))

    def wipe(self) -> None:
        node = self.random.choice(self.cluster.nodes)
        self.cluster.crash(node, power=True)
        self.cluster.wipe(node)
        self.totals.wipes += 1

    def cut_node(self) -> None:
        self.cluster.isolated_addresses.add(self.random.choice(self.cluster.nodes).address)

    def cut_leader(self) -> None:
        if self.cluster.leader is not None:
            self.cluster.isolated_addresses.add(self.cluster.leader.address)

    def cut_link(self) -> None:
        first, second = self.random.sample(self.cluster.nodes, 2)
        self.cluster.cut_links.add(frozenset((first.address, second.address)))

    def replace_frozen_leader(self) -> None:
        """Cut off a leader with a frozen clock, and let the others elect a new leader."""
        cluster = self.cluster
        old = cluster.leader
        if old is None:
            return
        cluster.isolated_addresses.add(old.address)
        old.frozen = True
        cluster.settle(3.0)
        if cluster.leader is not None:
            cluster.propose(cluster.leader)
            cluster.settle(0.2)

    def isolate_leader_with_learners(self) -> None:
        """Cut the links from the leader to the voters, but not to the learners."""
        leader = self.cluster.leader
        if leader is None or leader.replica is None:
            return
        for voter in leader.replica.state.membership.voters:
            if voter.replica != leader.identity:
                self.cluster.cut_links.add(frozenset((leader.address, voter.address)))
        self.cluster.propose(leader)
        self.cluster.drain_messages()

    def heal_network(self) -> None:
        self.cluster.isolated_addresses.clear()
        self.cluster.cut_links.clear()

    def toggle_frozen_clock(self) -> None:
        """Freeze a VM's clock, as in a suspended VM, or let the clock run again."""
        node = self.random.choice(self.cluster.nodes)
        node.frozen = not node.frozen

    def advance_clock(self) -> None:
        """Move a VM's clock ahead by a random step."""
        node = self.random.choice(self.cluster.nodes)
        node.clock_offset_s += self.random.choice((0.3, 2.0, 600.0))

    def change(self) -> None:
        leader = self.cluster.leader
        if leader is None or leader.replica is None:
            return
        self.totals.changes += 1
        membership = leader.replica.state.membership
        known = {member.replica for member in membership.members}
        non_members = [node for node in self.up_nodes() if node.identity not in known]
        choice = self.random.random()
        if membership.learners and choice < 0.5:
            learner = self.random.choice(membership.learners)
            self.cluster.change(leader, PromoteLearner(learner.replica))
        elif non_members:
            self.cluster.change(leader, AddLearner(self.random.choice(non_members).member))
        elif len(self.cluster.nodes) < MAX_NODES and choice < 0.8:
            self.cluster.nodes.append(self.cluster.add_node())
        elif len(membership.voters) > 1:
            member = self.random.choice(membership.members)
            self.cluster.change(leader, RemoveMember(member.replica))


class WipingWalk(Walk):
    """A walk that wipes disks at any time, also repeatedly."""

    def __init__(self, seed: int, totals: WalkTotals) -> None:
        super().__init__(seed, totals)
        self.moves[-1] = (self.wipe, 1)


class ChangingWalk(Walk):
    """A walk that changes the membership often."""

    def __init__(
        self,
        seed: int,
        totals: WalkTotals,
        sync: Callable[[Storage, list], None] = Storage.write,  # type: ignore[type-arg]
    ) -> None:
        super().__init__(seed, totals, sync)
        self.moves += [(self.change, 15), (self.cut_link, 3)]


class FailingDiskWalk(Walk):
    """A walk whose disks fill up or fail to sync, often those of leaders, which also resign."""

    def __init__(self, seed: int, totals: WalkTotals) -> None:
        super().__init__(seed, totals)
        self.moves += [(self.fail_disk, 6), (self.resign, 1), (self.restart, 6)]

    def fail_disk(self) -> None:
        """Let a write fail after a part of its bytes; the folder is opened again by a restart."""
        waiting = [node for node in self.up_nodes() if node.pending_persists]
        leading = [node for node in waiting if node.is_leader]
        if not waiting:
            return
        node = self.random.choice(leading or waiting)
        if self.random.random() < 0.5:
            node.disk.sync_fails = True
        else:
            used = sum(len(file.data) for file in node.disk.files.values())
            node.disk.capacity_bytes = used + self.random.randint(0, 50)
        self.cluster.write_pending(node)
        node.disk.sync_fails, node.disk.capacity_bytes = False, None
        if node.replica is not None and node.replica.failed:
            self.cluster.crash(node, power=self.random.random() < 0.2)
            self.totals.disk_failures += 1

    def resign(self) -> None:
        """Let a leader give up leadership."""
        for node in self.up_nodes():
            if node.is_leader:
                self.cluster.step(node, ResignationRequested())
