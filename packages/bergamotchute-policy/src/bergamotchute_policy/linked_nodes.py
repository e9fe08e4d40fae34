"""The entries and agents that any control VM is linked to, as one control VM knows them.

Each follower has a few of the control VMs as parents. A control VM tells the others of its own
followers, whole at first and then what changed.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field

from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import AgentState, EntryState, NodesLinked

Node = EntryState | AgentState


@dataclass
class LinkedNodes:
    """Followers of this control VM and of the others.

    :param own: by name, the link and what the follower said last.
    :param theirs: the followers of each other control VM.
    :param changes: counts changes of any of these, so that who depends on them need not compare.
    """

    own: dict[str, tuple[Hashable, Node]] = field(default_factory=dict)
    theirs: dict[Address, dict[str, Node]] = field(default_factory=dict)
    changes: int = 0
    _untold: set[str] = field(default_factory=set)

    def on_own(self, link: Hashable, node: Node) -> None:
        """Take what a follower says of itself."""
        self.own[node.name] = (link, node)
        self._untold.add(node.name)
        self.changes += 1

    def on_own_closed(self, link: Hashable, name: str) -> None:
        """Note that a follower's link closed; it may have opened a newer one before."""
        if name in self.own and self.own[name][0] is link:
            del self.own[name]
            self._untold.add(name)
            self.changes += 1

    def whole(self) -> NodesLinked:
        """Return all followers, for a control VM that has just been linked."""
        entries, agents = _by_kind(node for _, node in self.own.values())
        return NodesLinked(entries, agents, (), True)

    def take_news(self) -> NodesLinked | None:
        """Return what changed here since the last call; ``None`` for nothing."""
        if not self._untold:
            return None
        names, self._untold = sorted(self._untold), set()
        entries, agents = _by_kind(self.own[name][1] for name in names if name in self.own)
        gone = tuple(name for name in names if name not in self.own)
        return NodesLinked(entries, agents, gone, False)

    def on_theirs(self, sender: Address, told: NodesLinked) -> None:
        """Take what another control VM says of its followers."""
        nodes = self.theirs.setdefault(sender, {})
        if told.whole:
            nodes.clear()
        for name in told.gone:
            nodes.pop(name, None)
        nodes.update({entry.name: entry for entry in told.entries})
        nodes.update({agent.name: agent for agent in told.agents})
        self.changes += 1

    def on_peer_lost(self, sender: Address) -> None:
        """Forget the followers of a control VM that is lost; their other parents tell of them."""
        if self.theirs.pop(sender, None):
            self.changes += 1

    def agents(self) -> dict[str, AgentState]:
        """Return the agents that are linked anywhere; what they say here goes first."""
        found = {node.name: node for node in self._nodes() if isinstance(node, AgentState)}
        for name, (_, node) in self.own.items():
            if isinstance(node, AgentState):
                found[name] = node
        return found

    def open_entries(self) -> tuple[EntryState, ...]:
        """Return the entries that take callers; one that closes is not among them at once."""
        entries = [node for node in self._nodes() if isinstance(node, EntryState)]
        closed = {entry.name for entry in entries if not entry.open}
        found = {entry.name: entry for entry in entries if entry.name not in closed}
        return tuple(found[name] for name in sorted(found))

    def _nodes(self) -> Iterator[Node]:
        for _, node in self.own.values():
            yield node
        for nodes in self.theirs.values():
            yield from nodes.values()


def _by_kind(nodes: Iterator[Node]) -> tuple[tuple[EntryState, ...], tuple[AgentState, ...]]:
    entries: list[EntryState] = []
    agents: list[AgentState] = []
    for node in nodes:
        if isinstance(node, EntryState):
            entries.append(node)
        else:
            agents.append(node)
    return tuple(entries), tuple(agents)
