"""A random walk over faults of a small cluster, fixed by its seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bergamotchute_consensus.membership import AddLearner, PromoteLearner, RemoveMember
from bergamotchute_consensus.storage import Storage
from support.consensus_cluster import SimulatedCluster, SimulatedNode

MOST_NODES = 5


@dataclass
class WalkTotals:
    """What walks amounted to, so that an empty exploration shows.

    :param states: states visited, counted with repeats.
    :param recovered: runs at whose end a quorum's folders were left, and the cluster went on.
    """

    runs: int = 0
    states: int = 0
    committed: int = 0
    leaders: int = 0
    reads: int = 0
    crashes: int = 0
    wipes: int = 0
    changes: int = 0
    snapshots: int = 0
    recovered: int = 0


class Walk:
    """One walk.

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
            (self.deliver, 40),
            (self.write, 25),
            (self.tick, 12),
            (self.propose, 8),
            (self.read, 5),
            (self.drop, 3),
            (self.duplicate, 3),
            (self.crash, 1),
            (self.restart, 3),
            (self.snapshot, 2),
            (self.change, 2),
            (self.cut, 1),
            (self.cut_leader, 1),
            (self.cut_link, 1),
            (self.overthrow, 1),
            (self.leave_with_learners, 1),
            (self.mend, 2),
            (self.freeze, 1),
            (self.jump, 1),
            (self.wipe, 0),
        ]

    def run(self, steps: int) -> None:
        """Walk, then let everything come back and see that work goes on."""
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
        self.totals.reads += self.cluster.checks.reads_allowed

    def recover(self) -> None:
        """Heal all and see that a cluster with a quorum of its identities works."""
        cluster = self.cluster
        self.mend()
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
        assert leader is not None, "no leader though a quorum is up"
        tokens = cluster.propose(leader, 2)
        cluster.settle(1.0)
        assert set(tokens) <= cluster.checks.acknowledged, "a whole cluster doesn't commit"
        members = [
            node
            for node in cluster.nodes
            if leader.replica and leader.replica.state.membership.find_member(node.identity)
        ]
        assert len({(node.applied, node.digest) for node in members}) == 1, "replicas differ"
        self.totals.recovered += 1

    def add_learner(self) -> None:
        """Begin with a learner beside the voters."""
        cluster = self.cluster
        learner = cluster.add_node()
        cluster.nodes.append(learner)
        if cluster.leader is not None:
            cluster.change(cluster.leader, AddLearner(learner.member))
            cluster.settle(1.0)

    def up_nodes(self) -> list[SimulatedNode]:
        return [node for node in self.cluster.nodes if node.is_up]

    def any_node(self) -> SimulatedNode:
        return self.random.choice(self.up_nodes())

    def deliver(self) -> None:
        network = self.cluster.messages_in_flight
        if network:
            position = min(int(self.random.expovariate(0.5)), len(network) - 1)
            self.cluster.deliver_message(network.pop(position))

    def drop(self) -> None:
        network = self.cluster.messages_in_flight
        if network:
            network.pop(self.random.randrange(len(network)))

    def duplicate(self) -> None:
        network = self.cluster.messages_in_flight
        if network:
            network.append(self.random.choice(network))

    def write(self) -> None:
        if self.up_nodes():
            self.cluster.write_pending(self.any_node())

    def tick(self) -> None:
        self.cluster.tick(self.random.choice((0.05, 0.2, 0.7, 0.7)))

    def propose(self) -> None:
        node = self.cluster.leader or (self.up_nodes() and self.any_node())
        if node:
            self.cluster.propose(node, self.random.randint(1, 4))

    def read(self) -> None:
        leaders = [node for node in self.up_nodes() if node.is_leader]
        if leaders:
            self.cluster.read(self.random.choice(leaders))

    def snapshot(self) -> None:
        if self.up_nodes():
            node = self.any_node()
            if node.applied:
                self.cluster.snapshot(node)
                self.totals.snapshots += 1

    def crash(self) -> None:
        if len(self.up_nodes()) > 1:
            node = self.any_node()
            if self.random.random() < 0.5 and node.unwritten:
                self.crash_in_write(node)
                return
            self.cluster.crash(node, power=self.random.random() < 0.7)
            self.totals.crashes += 1

    def crash_in_write(self, node: SimulatedNode) -> None:
        """Lose power at a random operation of a write."""
        node.disk.power_lost_at = node.disk.operations + self.random.randint(1, 6)
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

    def cut(self) -> None:
        self.cluster.isolated_addresses.add(self.random.choice(self.cluster.nodes).address)

    def cut_leader(self) -> None:
        if self.cluster.leader is not None:
            self.cluster.isolated_addresses.add(self.cluster.leader.address)

    def cut_link(self) -> None:
        one, other = self.random.sample(self.cluster.nodes, 2)
        self.cluster.cut_links.add(frozenset((one.address, other.address)))

    def overthrow(self) -> None:
        """Cut off a leader whose clock stands, and let the others go on without it."""
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

    def leave_with_learners(self) -> None:
        """Cut the leader off from the voters, but not from the learners."""
        leader = self.cluster.leader
        if leader is None or leader.replica is None:
            return
        for voter in leader.replica.state.membership.voters:
            if voter.replica != leader.identity:
                self.cluster.cut_links.add(frozenset((leader.address, voter.address)))
        self.cluster.propose(leader)
        self.cluster.pump()

    def mend(self) -> None:
        self.cluster.isolated_addresses.clear()
        self.cluster.cut_links.clear()

    def freeze(self) -> None:
        """Stop a VM's clock, as a suspended VM's, or let it run again."""
        node = self.random.choice(self.cluster.nodes)
        node.frozen = not node.frozen

    def jump(self) -> None:
        """Let a VM's clock jump ahead."""
        node = self.random.choice(self.cluster.nodes)
        node.clock_offset_s += self.random.choice((0.3, 2.0, 600.0))

    def change(self) -> None:
        leader = self.cluster.leader
        if leader is None or leader.replica is None:
            return
        self.totals.changes += 1
        membership = leader.replica.state.membership
        known = {member.replica for member in membership.members}
        strangers = [node for node in self.up_nodes() if node.identity not in known]
        choice = self.random.random()
        if membership.learners and choice < 0.5:
            learner = self.random.choice(membership.learners)
            self.cluster.change(leader, PromoteLearner(learner.replica))
        elif strangers:
            self.cluster.change(leader, AddLearner(self.random.choice(strangers).member))
        elif len(self.cluster.nodes) < MOST_NODES and choice < 0.8:
            self.cluster.nodes.append(self.cluster.add_node())
        elif len(membership.voters) > 1:
            member = self.random.choice(membership.members)
            self.cluster.change(leader, RemoveMember(member.replica))


class WipingWalk(Walk):
    """A walk in which folders are emptied, at any time and also twice."""

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
