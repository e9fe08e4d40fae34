"""The entries and agents linked to any control VM, as one control VM knows them.

Each follower (an entry or agent) is linked to a few control VMs, its parents. A control VM sends
the others the state of its own followers, in full when they connect and as deltas from then on.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field

from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import AgentState, EntryState, NodesLinked

Node = EntryState | AgentState


ENTRY_COUNT_STEP = 4
"""Step in which the count of entries is told; each change is sent to all followers."""


MAX_ADDRESS_LISTS = 16
"""Limit on the kept lists of addresses; callers may name any zone."""


@dataclass
class _Derived:
    """What was worked out from the nodes at one count of changes, as callers ask for it often."""

    changes: int = -1
    open_entries: tuple[EntryState, ...] = ()
    entry_count: int = 0
    addresses_by_zone: dict[str, tuple[Address, ...]] = field(default_factory=dict)


@dataclass
class LinkedNodes:
    """Tracks the followers of this control VM and of its peers, the other control VMs.

    :param local_nodes: link and last reported state of each follower of this control VM, by name.
    :param peer_nodes: followers of each peer, by name.
    :param changes: number of changes so far, so that dependants need not compare the state.
    """

    local_nodes: dict[str, tuple[Hashable, Node]] = field(default_factory=dict)
    peer_nodes: dict[Address, dict[str, Node]] = field(default_factory=dict)
    changes: int = 0
    _unsent_names: set[str] = field(default_factory=set)
    _derived: _Derived = field(default_factory=_Derived)

    def on_local_state(self, link: Hashable, node: Node) -> None:
        """Record the state that a follower reports of itself."""
        self.local_nodes[node.name] = (link, node)
        self._unsent_names.add(node.name)
        self.changes += 1

    def on_local_link_closed(self, link: Hashable, name: str) -> None:
        """Remove a follower whose link closed, unless it has already opened a newer link."""
        if name in self.local_nodes and self.local_nodes[name][0] is link:
            del self.local_nodes[name]
            self._unsent_names.add(name)
            self.changes += 1

    def whole(self) -> NodesLinked:
        """Return all local followers, for a peer that has just connected."""
        entries, agents = _split_by_kind(node for _, node in self.local_nodes.values())
        return NodesLinked(entries, agents, (), True)

    def take_delta(self) -> NodesLinked | None:
        """Return the local changes since the last call; ``None`` if there are none."""
        if not self._unsent_names:
            return None
        names, self._unsent_names = sorted(self._unsent_names), set()
        entries, agents = _split_by_kind(
            self.local_nodes[name][1] for name in names if name in self.local_nodes
        )
        gone = tuple(name for name in names if name not in self.local_nodes)
        return NodesLinked(entries, agents, gone, False)

    def on_peer_update(self, sender: Address, update: NodesLinked) -> None:
        """Apply a full state or a delta of a peer's followers."""
        nodes = self.peer_nodes.setdefault(sender, {})
        if update.whole:
            nodes.clear()
        for name in update.gone:
            nodes.pop(name, None)
        nodes.update({entry.name: entry for entry in update.entries})
        nodes.update({agent.name: agent for agent in update.agents})
        self.changes += 1

    def on_peer_lost(self, sender: Address) -> None:
        """Remove the followers of a lost peer; their other parents still report them."""
        if self.peer_nodes.pop(sender, None):
            self.changes += 1

    def agents(self) -> dict[str, AgentState]:
        """Return the agents linked to any control VM; the local state takes precedence."""
        found = {node.name: node for node in self._all_nodes() if isinstance(node, AgentState)}
        for name, (_, node) in self.local_nodes.items():
            if isinstance(node, AgentState):
                found[name] = node
        return found

    def open_entries(self) -> tuple[EntryState, ...]:
        """Return the entries that accept callers, sorted by name.

        An entry that any control VM reports as closed is left out, so a closing entry disappears
        even before all its parents have reported it.
        """
        return self._current().open_entries

    def entry_addresses(self, availability_zone: str) -> tuple[Address, ...]:
        """Return the entries for callers of an availability zone, those of the same zone first."""
        known = self._current().addresses_by_zone
        addresses = known.get(availability_zone)
        if addresses is None:
            entries = sorted(
                self.open_entries(),
                key=lambda entry: (entry.availability_zone != availability_zone, entry.address),
            )
            addresses = tuple(entry.address for entry in entries)
            if len(known) >= MAX_ADDRESS_LISTS:
                known.clear()
            known[availability_zone] = addresses
        return addresses

    def entry_count(self) -> int:
        """Return the count of entries, rounded up so that it rarely changes."""
        return self._current().entry_count

    def _current(self) -> _Derived:
        """Return what follows from the nodes as they are now."""
        if self._derived.changes != self.changes:
            entries = [node for node in self._all_nodes() if isinstance(node, EntryState)]
            closed = {entry.name for entry in entries if not entry.open}
            found = {entry.name: entry for entry in entries if entry.name not in closed}
            count = len({entry.name for entry in entries})
            self._derived = _Derived(
                self.changes,
                tuple(found[name] for name in sorted(found)),
                -(-count // ENTRY_COUNT_STEP) * ENTRY_COUNT_STEP,
            )
        return self._derived

    def _all_nodes(self) -> Iterator[Node]:
        for _, node in self.local_nodes.values():
            yield node
        for nodes in self.peer_nodes.values():
            yield from nodes.values()


def _split_by_kind(nodes: Iterator[Node]) -> tuple[tuple[EntryState, ...], tuple[AgentState, ...]]:
    entries: list[EntryState] = []
    agents: list[AgentState] = []
    for node in nodes:
        if isinstance(node, EntryState):
            entries.append(node)
        else:
            agents.append(node)
    return tuple(entries), tuple(agents)
