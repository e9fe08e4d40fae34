"""What a control VM tells entries, agents and the other control VMs over links.

Each control VM tells the others what it hears from endpoints and from its own followers, and all
that it knows to its followers. So news reaches a follower once from each of its few parents.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon.control_log import ControlLog, ControlUnavailable
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.heartbeat_updates import apply_heartbeat
from bergamotchute_daemon.link_set import LinkSet
from bergamotchute_daemon.voter import Voter
from bergamotchute_model import events
from bergamotchute_model.commands import RecordDeparture
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    AgentState,
    AskConfiguration,
    CommanderAssigned,
    ConfigurationText,
    ConfigurationVersion,
    ControlGroup,
    ControlPeer,
    DepartureSeen,
    DeparturesRecorded,
    EntryState,
    FollowLoads,
    HeartbeatsHeard,
    LoadsTold,
    NodeMessage,
    NodesLinked,
    RankPlace,
    RankPlaces,
)
from bergamotchute_policy.commander_assigner import CommanderAssigner
from bergamotchute_policy.endpoint_table import EndpointTable
from bergamotchute_policy.linked_nodes import LinkedNodes
from bergamotchute_wire.link import Link, LinkClosed
from bergamotchute_wire.outbox import Outbox

COMMIT_TIMEOUT_S = 0.9
"""Wait for the log behind one call; callers move on to another control VM after a second."""

CONFIRM_S = 2.0
"""Wait for a quorum before a new follower is told what is in force; then another try."""


@dataclass(eq=False)
class Follower:
    """A process on a link.

    :param confirmed: whether a quorum confirmed the state here since the link opened.
    :param version: the newest configuration version sent to it.
    :param node: what it says of itself; ``None`` before it does.
    :param peer: the address of a control VM; ``None`` for an entry or agent.
    :param is_load_subscriber: whether it is told the loads of endpoints.
    """

    outbox: Outbox[NodeMessage]
    confirmed: bool = False
    version: int = 0
    node: EntryState | AgentState | None = None
    peer: Address | None = None
    is_load_subscriber: bool = False


@dataclass
class NodeHub:
    """Serves the links of entries, agents and other control VMs.

    :param peers: links to the other control VMs, for what they are told.
    :param choice: assigns commanders while this control VM leads.
    :param assigned: the newest assignment of each rank group.
    :param loads: what followers told of their endpoints' loads since the last :meth:`send_changed_loads`.
    :param loads_of_peers: the same, told by other control VMs.
    """

    address: Address
    voter: Voter
    control: ControlLog
    endpoint_table: EndpointTable
    peers: LinkSet
    log: EventLog
    followers: list[Follower] = field(default_factory=list)
    linked_nodes: LinkedNodes = field(default_factory=LinkedNodes)
    choice: CommanderAssigner = field(default_factory=CommanderAssigner)
    assigned: dict[str, CommanderAssigned] = field(default_factory=dict)
    group: ControlGroup = field(default_factory=lambda: ControlGroup((), 0))
    departures_told: int = -1
    version_told: int = 0
    places_told: dict[Address, RankPlace] = field(default_factory=dict)
    nodes_placed: int = 0
    nodes_assigned: tuple[int, int] = (0, 0)
    loads: dict[Address, int] = field(default_factory=dict)
    loads_of_peers: dict[Address, int] = field(default_factory=dict)
    recording: set[tuple[str, int]] = field(default_factory=set)
    unconfirmed: anyio.Event = field(default_factory=anyio.Event)
    packed: ConfigurationText = field(default_factory=lambda: ConfigurationText(-1, b""))

    def __post_init__(self) -> None:
        self.peers.get_greeting = self._greet_peer

    def _greet_peer(self) -> Iterable[NodeMessage]:
        """Tell another control VM all that it can't know from elsewhere."""
        yield ControlPeer(self.address)
        yield self.linked_nodes.whole()
        yield HeartbeatsHeard(self.endpoint_table.local_heartbeats())
        yield from self.assigned.values()

    async def serve_link(self, link: Link[NodeMessage]) -> None:
        """Serve one link until it closes."""
        follower = Follower(Outbox(link))
        self.followers.append(follower)
        follower.outbox.post(self.group)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follower.outbox.run)
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
        if follower.node is not None:
            self.linked_nodes.on_local_link_closed(follower, follower.node.name)
            peer = follower.node.name
        elif follower.peer is not None:
            peer = str(follower.peer)
            if not any(each.peer == follower.peer for each in self.followers):
                self.linked_nodes.on_peer_lost(follower.peer)
                self.endpoint_table.on_monitor_lost(follower.peer, anyio.current_time())
        self.log.emit(events.LINK_CLOSED, peer=peer)

    async def confirm_followers(self) -> None:
        """Tell new followers what is in force, once a quorum confirmed that it is the newest.

        One question to the log serves all that wait for it: while there is no leader, hundreds of
        questions would keep one from being elected.
        """
        while True:
            await self.unconfirmed.wait()
            self.unconfirmed = anyio.Event()
            waiting = [each for each in self.followers if each.node and not each.confirmed]
            try:
                await self.control.confirm(CONFIRM_S)
            except ControlUnavailable:
                self.unconfirmed.set()
                continue
            departures = self.voter.state.state.departures.recorded
            recorded = DeparturesRecorded(tuple(departures.items()))
            for follower in waiting:
                follower.confirmed = True
                if isinstance(follower.node, EntryState):
                    follower.outbox.post(recorded)
                self._tell_version(follower)

    def _on_message(self, follower: Follower, message: NodeMessage) -> None:
        match message:
            case EntryState() | AgentState():
                self._on_node(follower, message)
            case ControlPeer(address):
                follower.peer = address
                self.log.emit(events.LINK_OPENED, peer=str(address))
            case LoadsTold(loads) if follower.peer is None:
                self.loads.update(loads)
            case LoadsTold(loads):
                self.loads_of_peers.update(loads)
            case FollowLoads():
                follower.is_load_subscriber = True
            case AskConfiguration():
                follower.outbox.post(self._configuration())
            case NodesLinked() if follower.peer is not None:
                self.linked_nodes.on_peer_update(follower.peer, message)
            case HeartbeatsHeard(heartbeats) if follower.peer is not None:
                self._on_heartbeats_of_peer(follower.peer, heartbeats)
            case CommanderAssigned() if follower.peer is not None:
                self._on_assigned(message)
            case _:
                self.log.emit(events.LINK_MUTE, peer="unexpected", message=message.kind)

    def _configuration(self) -> ConfigurationText:
        """Return the configuration in force, packed once for all followers."""
        held = self.voter.state.state.configuration
        if self.packed.version != held.version:
            self.packed = ConfigurationText(held.version, zlib.compress(held.text))
        return self.packed

    def _on_node(self, follower: Follower, node: EntryState | AgentState) -> None:
        """Take what a follower says of itself; give a new one what it can't hear as news."""
        is_new = follower.node is None
        follower.node = node
        self.linked_nodes.on_local_state(follower, node)
        if is_new:
            self.unconfirmed.set()
            self.log.emit(events.LINK_OPENED, peer=node.name)
        if isinstance(node, EntryState):
            if is_new:
                follower.outbox.post(HeartbeatsHeard(self.endpoint_table.heartbeats()))
                follower.outbox.post(RankPlaces(tuple(self.places_told.values())))
        elif (assigned := self.assigned.get(node.group)) is not None:
            follower.outbox.post(assigned)

    def _on_heartbeats_of_peer(
        self, peer: Address, heartbeats: tuple[EndpointHeartbeat, ...]
    ) -> None:
        """Take what another control VM hears; pass on to entries what is news here."""
        news = [
            each
            for each in heartbeats
            if apply_heartbeat(self.endpoint_table, each, self.log, peer)
        ]
        if news:
            self._post_to_entries(HeartbeatsHeard(tuple(news)))

    def _post_to_entries(self, message: NodeMessage) -> None:
        for follower in self.followers:
            if isinstance(follower.node, EntryState):
                follower.outbox.post(message)

    def _post_to_loads(self, message: NodeMessage) -> None:
        for follower in self.followers:
            if follower.is_load_subscriber:
                follower.outbox.post(message)

    def send_changed_loads(self) -> None:
        """Tell entries and the other control VMs the loads that changed since the last time."""
        own, self.loads = self.loads, {}
        theirs, self.loads_of_peers = self.loads_of_peers, {}
        if own:
            self.peers.post_all(LoadsTold(tuple(own.items())))
        if own or theirs:
            self._post_to_loads(LoadsTold(tuple((theirs | own).items())))

    def send_node_changes(self) -> None:
        """Tell the other control VMs which followers came and went, and entries where ranks are."""
        news = self.linked_nodes.take_delta()
        if news is not None:
            self.peers.post_all(news)
        if self.linked_nodes.changes == self.nodes_placed:
            return
        self.nodes_placed = self.linked_nodes.changes
        places = {agent.endpoint: _place(agent) for agent in self.linked_nodes.agents().values()}
        changed = tuple(
            place for endpoint, place in places.items() if place != self.places_told.get(endpoint)
        )
        if changed:
            # A rank whose agent is away for a moment keeps its place.
            self.places_told |= {place.endpoint: place for place in changed}
            self._post_to_entries(RankPlaces(changed))

    def send_heartbeats(self, heartbeats: tuple[EndpointHeartbeat, ...]) -> None:
        """Tell entries and the other control VMs what changed."""
        if heartbeats:
            message = HeartbeatsHeard(heartbeats)
            self.peers.post_all(message)
            self._post_to_entries(message)

    def on_log_applied(self) -> None:
        """Tell the followers what the log changed since they were told last."""
        state = self.voter.state.state
        if state.configuration.version != self.version_told:
            self.version_told = state.configuration.version
            for follower in self.followers:
                if follower.confirmed:
                    self._tell_version(follower)
        if state.departures.changes != self.departures_told:
            self.departures_told = state.departures.changes
            for endpoint, born_ms in state.departures.recorded.items():
                self.tell_departure(endpoint, born_ms)

    async def record_departure(self, endpoint: str, born_ms: int) -> bool:
        """Record that one life of an endpoint takes no new work; return whether that is sure."""
        if self.endpoint_table.has_departed(endpoint, born_ms):
            return True
        try:
            await self.control.commit(RecordDeparture(endpoint, born_ms), COMMIT_TIMEOUT_S)
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
        """Tell entries that one life of an endpoint takes no new work, if that is news."""
        if self.endpoint_table.on_departure(endpoint, born_ms):
            self._post_to_entries(DeparturesRecorded(((endpoint, born_ms),)))

    def _tell_version(self, follower: Follower) -> None:
        version = self.voter.state.state.configuration.version
        if version > follower.version:
            follower.version = version
            follower.outbox.post(ConfigurationVersion(version))

    def send_control_group(self, group: ControlGroup) -> None:
        """Tell the followers which control VMs there are, and whether this one leads."""
        if group == self.group:
            return
        self.group = group
        self.peers.set_wanted_peers(set(group.addresses) - {self.address})
        for follower in self.followers:
            follower.outbox.post(group)

    def assign_commanders(self, term: int) -> None:
        """Name a commander for each rank group while leading ``term``; 0 for not leading."""
        seen = (term, self.linked_nodes.changes)
        if seen == self.nodes_assigned:
            return
        self.nodes_assigned = seen
        self.choice.begin_term(term)
        if not term:
            return
        for assigned in self.choice.assign_commanders(self.linked_nodes.agents().values()):
            self.log.emit(
                events.COMMANDER_ASSIGNED,
                group=assigned.group,
                fence=assigned.fence,
                commander=str(assigned.commander),
                members=len(assigned.members),
            )
            self.peers.post_all(assigned)
            self._on_assigned(assigned)

    def _on_assigned(self, assigned: CommanderAssigned) -> None:
        """Tell the agents of a group here who commands it; the highest fence counts."""
        known = self.assigned.get(assigned.group)
        if known is not None and known.fence >= assigned.fence:
            return
        self.assigned[assigned.group] = assigned
        for follower in self.followers:
            if isinstance(follower.node, AgentState) and follower.node.group == assigned.group:
                follower.outbox.post(assigned)

    def entry_addresses(self, availability_zone: str) -> tuple[Address, ...]:
        """Return where callers of an availability zone may connect, their own zone first."""
        entries = sorted(
            self.linked_nodes.open_entries(),
            key=lambda entry: (entry.availability_zone != availability_zone, entry.address),
        )
        return tuple(entry.address for entry in entries)


def _place(agent: AgentState) -> RankPlace:
    return RankPlace(agent.endpoint, agent.address, agent.group, agent.open)
