"""Assigns a commander to each rank group.

Only the leader of the control group assigns commanders. Its term orders the assignments of
different leaders and a counter those of one leader, so no assignment has to be written to the log.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import AgentState, CommanderAssigned, GroupMember

FENCES_PER_TERM = 10_000
"""Assignments that one leader can make before its fencing numbers overlap those of the next term."""


@dataclass
class _RankGroup:
    """The state of one group as the leader knows it.

    :param size: number of ranks in the group.
    :param places: agent and endpoint by rank, kept while an agent is temporarily not linked.
    :param assigned: the newest assignment; ``None`` before the first.
    :param is_commanded: whether an agent has been linked at all times since that assignment.
    """

    size: int
    places: dict[int, GroupMember] = field(default_factory=dict)
    assigned: CommanderAssigned | None = None
    is_commanded: bool = False


@dataclass
class CommanderAssigner:
    """Makes the commander assignments of one leader.

    :param term: the leader's term; 0 while this control VM is not leading.
    :param assignment_count: assignments made in the term, for the next fencing number.
    """

    term: int = 0
    assignment_count: int = 0
    groups: dict[str, _RankGroup] = field(default_factory=dict)

    def begin_term(self, term: int) -> None:
        """Discard the assignments of an earlier term.

        :param term: the new term; 0 if this control VM is not leading.
        """
        if term != self.term:
            self.term = term
            self.assignment_count = 0
            self.groups.clear()

    def assigned(self, group: str) -> CommanderAssigned | None:
        """Return the newest assignment of a group; ``None`` if there is none."""
        known = self.groups.get(group)
        return known.assigned if known is not None else None

    def assign_commanders(self, agents: Iterable[AgentState]) -> list[CommanderAssigned]:
        """Return the assignments that changed, given the linked agents.

        A commander keeps its group while its process is linked. A process that was restarted gets
        another fencing number, as it begins to count its orders anew. A group gets its first
        commander once all its ranks are known.
        """
        linked = list(agents)
        for agent in linked:
            group = self.groups.setdefault(agent.group, _RankGroup(agent.size))
            group.size = agent.size
            member = GroupMember(agent.rank, agent.address, agent.endpoint)
            for rank, known in list(group.places.items()):
                if rank != agent.rank and known.agent == agent.address:
                    del group.places[rank]
            group.places[agent.rank] = member
        incarnations = {agent.address: agent.incarnation for agent in linked}
        changed = (self._assign_commander(name, incarnations) for name in sorted(self.groups))
        return [assigned for assigned in changed if assigned is not None]

    def _assign_commander(
        self, name: str, incarnations: Mapping[Address, str]
    ) -> CommanderAssigned | None:
        """Return the new assignment of a group, if it changes.

        :param incarnations: the run of each linked agent's process, by address.
        """
        group = self.groups[name]
        members = tuple(group.places[rank] for rank in sorted(group.places))
        linked = [member.agent for member in members if member.agent in incarnations]
        if not linked:
            group.is_commanded = False
        if len(members) != group.size or not linked:
            return None
        previous = group.assigned
        commander = previous.commander if previous and previous.commander in linked else linked[0]
        incarnation = incarnations[commander]
        if (
            previous is not None
            and group.is_commanded
            and (previous.commander, previous.members) == (commander, members)
            and previous.commander_incarnation == incarnation
        ):
            return None
        group.is_commanded = True
        self.assignment_count += 1
        fence = self.term * FENCES_PER_TERM + self.assignment_count
        earlier = previous.commander if previous is not None else None
        if earlier == commander and previous is not None:
            earlier = previous.earlier
        group.assigned = CommanderAssigned(
            name, fence, commander, members, earlier, commander_incarnation=incarnation
        )
        return group.assigned
