"""Links from entries and agents to a control VM, and what is pushed over them."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon.control_log import ControlLog, ControlUnavailable
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.voter import Voter
from bergamotchute_model import events
from bergamotchute_model.commands import RecordDeparture
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    AgentState,
    AskConfiguration,
    ConfigurationText,
    ConfigurationVersion,
    ControlGroup,
    DepartureSeen,
    DeparturesRecorded,
    EntryState,
    HeartbeatsHeard,
    LoadsTold,
    NodeMessage,
    RankPlace,
    RankPlaces,
)
from bergamotchute_policy.commander_choice import CommanderChoice
from bergamotchute_policy.endpoint_table import EndpointTable
from bergamotchute_wire.link import Link, LinkClosed
from bergamotchute_wire.outbox import Outbox

ANSWER_S = 0.9
"""Wait for the log behind one call; callers move on to another control VM after a second."""

CONFIRM_S = 2.0
"""Wait for a quorum before a new follower is told what is in force; then another try."""


@dataclass(eq=False)
class Follower:
    """An entry or agent on a link.

    :param confirmed: whether a quorum confirmed the state here since the link opened.
    :param version: the newest configuration version sent to it.
    """

    outbox: Outbox[NodeMessage]
    confirmed: bool = False
    version: int = 0
    entry: EntryState | None = None
    agent: AgentState | None = None


@dataclass
class NodeHub:
    """Serves the links of entries and agents.

    :param choice: assigns commanders while this control VM leads.
    """

    voter: Voter
    control: ControlLog
    table: EndpointTable
    log: EventLog
    followers: list[Follower] = field(default_factory=list)
    choice: CommanderChoice = field(default_factory=CommanderChoice)
    group: ControlGroup = field(default_factory=lambda: ControlGroup((), 0))
    departures_told: int = -1
    loads: dict[Address, int] = field(default_factory=dict)
    recording: set[tuple[str, int]] = field(default_factory=set)

    async def serve(self, link: Link[NodeMessage]) -> None:
        """Serve one link until it closes."""
        follower = Follower(Outbox(link))
        self.followers.append(follower)
        follower.outbox.post(self.group)
        follower.outbox.post(HeartbeatsHeard(self.table.heartbeats()))
        places = tuple(_place(each.agent) for each in self.followers if each.agent)
        follower.outbox.post(RankPlaces(places))
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follower.outbox.run)
                tasks.start_soon(self._confirm, follower)
                with suppress(LinkClosed):
                    while True:
                        message = await link.receive()
                        if isinstance(message, DepartureSeen):
                            tasks.start_soon(self._on_departure_seen, message)
                        else:
                            self._on_message(follower, message)
                tasks.cancel_scope.cancel()
        finally:
            self._forget(follower, link.peer)

    def _forget(self, follower: Follower, peer: str) -> None:
        self.followers.remove(follower)
        name = follower.entry.name if follower.entry else peer
        if follower.agent is not None:
            name = follower.agent.name
            self.assign_commanders(self.choice.term)
        self.log.emit(events.LINK_CLOSED, peer=name)

    async def _confirm(self, follower: Follower) -> None:
        """Tell a follower what is in force, once a quorum confirmed that it is the newest."""
        while not follower.confirmed:
            try:
                await self.control.confirm(CONFIRM_S)
            except ControlUnavailable:
                continue
            follower.confirmed = True
            departures = self.voter.state.state.departures.recorded
            follower.outbox.post(DeparturesRecorded(tuple(departures.items())))
            self._tell_version(follower)

    def _on_message(self, follower: Follower, message: NodeMessage) -> None:
        match message:
            case EntryState():
                follower.entry = message
            case AgentState():
                follower.agent = message
                self._tell_places((_place(message),))
                assigned = self.choice.assigned(message.group)
                if assigned is not None:
                    follower.outbox.post(assigned)
                self.log.emit(events.LINK_OPENED, peer=message.name)
                self.assign_commanders(self.choice.term)
            case LoadsTold(loads):
                self.loads.update(loads)
            case AskConfiguration():
                held = self.voter.state.state.configuration
                follower.outbox.post(ConfigurationText(held.version, held.text))
            case _:
                self.log.emit(events.LINK_MUTE, peer="unexpected", message=message.kind)

    def _post_to_all(self, message: NodeMessage) -> None:
        for follower in self.followers:
            follower.outbox.post(message)

    def _post_to_entries(self, message: NodeMessage) -> None:
        for follower in self.followers:
            if follower.entry is not None:
                follower.outbox.post(message)

    def _tell_places(self, places: tuple[RankPlace, ...]) -> None:
        """Tell entries where some endpoints stand."""
        self._post_to_entries(RankPlaces(places))

    def tell_loads(self) -> None:
        """Tell entries the loads that changed since they were told last."""
        if not self.loads:
            return
        told, self.loads = LoadsTold(tuple(self.loads.items())), {}
        self._post_to_entries(told)

    def push_heartbeats(self, heartbeats: tuple[EndpointHeartbeat, ...]) -> None:
        """Tell every follower what changed."""
        if heartbeats:
            self._post_to_all(HeartbeatsHeard(heartbeats))

    def on_applied(self) -> None:
        """Tell the followers what the log changed since they were told last."""
        state = self.voter.state.state
        for follower in self.followers:
            if follower.confirmed:
                self._tell_version(follower)
        if state.departures.changes != self.departures_told:
            self.departures_told = state.departures.changes
            for endpoint, born_ms in state.departures.recorded.items():
                self.tell_departure(endpoint, born_ms)

    async def record_departure(self, endpoint: str, born_ms: int) -> bool:
        """Record that one life of an endpoint takes no new work; return whether that is sure."""
        if self.table.has_departed(endpoint, born_ms):
            return True
        try:
            await self.control.commit(RecordDeparture(endpoint, born_ms), ANSWER_S)
        except ControlUnavailable as error:
            self.log.emit(events.DEPARTURE_UNSURE, endpoint=endpoint, detail=str(error))
            return False
        # The state of a follower of the log may lag behind the commit; entries must not.
        self.tell_departure(endpoint, born_ms)
        return True

    async def _on_departure_seen(self, seen: DepartureSeen) -> None:
        """Record what an entry saw, once for all entries that see it together."""
        life = (seen.endpoint, seen.born_ms)
        if life in self.recording:
            return
        self.recording.add(life)
        try:
            await self.record_departure(*life)
        finally:
            self.recording.discard(life)

    def tell_departure(self, endpoint: str, born_ms: int) -> None:
        """Tell the followers that one life of an endpoint takes no new work, if that is news."""
        if self.table.on_departure(endpoint, born_ms):
            self._post_to_all(DeparturesRecorded(((endpoint, born_ms),)))

    def _tell_version(self, follower: Follower) -> None:
        version = self.voter.state.state.configuration.version
        if version > follower.version:
            follower.version = version
            follower.outbox.post(ConfigurationVersion(version))

    def tell_group(self, group: ControlGroup) -> None:
        """Tell the followers which control VMs there are, and whether this one leads."""
        if group == self.group:
            return
        self.group = group
        self._post_to_all(group)

    def assign_commanders(self, term: int) -> None:
        """Name a commander for each rank group while leading ``term``; 0 for not leading."""
        self.choice.begin_term(term)
        if not term:
            return
        agents = [follower.agent for follower in self.followers if follower.agent is not None]
        for assigned in self.choice.assign(agents):
            self.log.emit(
                events.COMMANDER_ASSIGNED,
                group=assigned.group,
                fence=assigned.fence,
                commander=str(assigned.commander),
                members=len(assigned.members),
            )
            for follower in self.followers:
                if follower.agent is not None and follower.agent.group == assigned.group:
                    follower.outbox.post(assigned)

    def open_entries(self) -> tuple[EntryState, ...]:
        """Return the linked entries that take callers."""
        linked = {each.entry.address: each.entry for each in self.followers if each.entry}
        return tuple(entry for entry in linked.values() if entry.open)

    def entry_addresses(self, availability_zone: str) -> tuple[Address, ...]:
        """Return where callers of an availability zone may connect, their own zone first."""
        entries = sorted(
            self.open_entries(),
            key=lambda entry: (entry.availability_zone != availability_zone, entry.address),
        )
        return tuple(entry.address for entry in entries)


def _place(agent: AgentState) -> RankPlace:
    return RankPlace(agent.endpoint, agent.address, agent.group, agent.open)
