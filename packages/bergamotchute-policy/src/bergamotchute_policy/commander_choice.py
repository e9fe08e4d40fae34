"""Which agent commands a rank group.

The leader of the control group decides alone, so its term orders the assignments of leaders and
a count those of one leader; no assignment needs the log.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import AgentState, CommanderAssigned, GroupMember

FENCES_PER_TERM = 10_000
"""Assignments that one leader can make before its fences would meet those of the next term."""


@dataclass
class _Group:
    """What a leader knows of one group.

    :param places: the agent and endpoint of each rank, kept while an agent is away for a moment.
    """

    size: int
    places: dict[int, GroupMember] = field(default_factory=dict)
    assigned: CommanderAssigned | None = None


@dataclass
class CommanderChoice:
    """The assignments of one leader."""

    term: int = 0
    count: int = 0
    groups: dict[str, _Group] = field(default_factory=dict)

    def begin_term(self, term: int) -> None:
        """Forget the assignments of an earlier term; 0 for not leading."""
        if term != self.term:
            self.term = term
            self.count = 0
            self.groups.clear()

    def assigned(self, group: str) -> CommanderAssigned | None:
        """Return the newest assignment of a group."""
        known = self.groups.get(group)
        return known.assigned if known is not None else None

    def assign(self, agents: Iterable[AgentState]) -> list[CommanderAssigned]:
        """Return the assignments that changed, given the linked agents.

        A commander keeps its group as long as it is linked. A group gets one once all its ranks
        are known.
        """
        linked = list(agents)
        for agent in linked:
            group = self.groups.setdefault(agent.group, _Group(agent.size))
            group.size = agent.size
            place = GroupMember(agent.rank, agent.address, agent.endpoint)
            for rank, known in list(group.places.items()):
                if rank != agent.rank and known.agent == agent.address:
                    del group.places[rank]
            group.places[agent.rank] = place
        present = {agent.address for agent in linked}
        changed = (self._assign_group(name, present) for name in sorted(self.groups))
        return [assigned for assigned in changed if assigned is not None]

    def _assign_group(self, name: str, present: Collection[Address]) -> CommanderAssigned | None:
        group = self.groups[name]
        members = tuple(group.places[rank] for rank in sorted(group.places))
        linked = [member.agent for member in members if member.agent in present]
        if len(members) != group.size or not linked:
            return None
        before = group.assigned
        commander = before.commander if before and before.commander in linked else linked[0]
        if before is not None and (before.commander, before.members) == (commander, members):
            return None
        self.count += 1
        fence = self.term * FENCES_PER_TERM + self.count
        earlier = before.commander if before is not None else None
        if earlier == commander and before is not None:
            earlier = before.earlier
        group.assigned = CommanderAssigned(name, fence, commander, members, earlier)
        return group.assigned
