"""Distribution of state from a control VM to entries, agents and the other control VMs.

A control VM forwards to the other control VMs what it receives from endpoints and from its own
followers, and sends its followers everything that it knows. A follower therefore receives each
update once from each of its few parents.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon.changed_loads import ChangedLoads
from bergamotchute_daemon.control_log import ControlLog, ControlUnavailable
from bergamotchute_daemon.evacuations.evacuation_orders import read_evacuations
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.follower import Follower
from bergamotchute_daemon.heartbeat_updates import all_heartbeats, apply_heartbeat, local_heartbeats
from bergamotchute_daemon.link_set import LinkSet
from bergamotchute_daemon.permit_server import PermitServer
from bergamotchute_daemon.prompt_evidence_table import PromptEvidenceTable
from bergamotchute_daemon.rate_limit_log import RateLimitLog
from bergamotchute_daemon.voter import Voter
from bergamotchute_model import events
from bergamotchute_model.commands import RecordDeparture
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat, EndpointPhase
from bergamotchute_model.evacuations import EvacuationsInForce, ZoneEvacuation
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    AgentState,
    CommanderAssigned,
    ConfigurationText,
    ConfigurationVersion,
    ControlGroup,
    ControlPeer,
    DepartureSeen,
    DeparturesRecorded,
    EntryState,
    HeartbeatsReceived,
    LoadsReported,
    NodeMessage,
    NodesLinked,
    QueryConfiguration,
    RankLocation,
    RankLocations,
    SubscribeToLoads,
)
from bergamotchute_model.prompt_parts import PromptEvidence, Suspect
from bergamotchute_model.rate_limits import PermitAnswer, RateLimitsReported, RequestPermit
from bergamotchute_policy.commander_assigner import CommanderAssigner
from bergamotchute_policy.endpoint_table import EndpointTable
from bergamotchute_policy.linked_nodes import LinkedNodes
from bergamotchute_wire.link import Link, LinkClosed
from bergamotchute_wire.outbox import Outbox

COMMIT_TIMEOUT_S = 0.9
"""Time limit for committing to the log in one call.

Callers fail over to another control VM after one second.
"""

CONFIRM_TIMEOUT_S = 2.0
"""Time limit for one attempt to have a quorum confirm the state for new followers."""


NO_GROUP = ControlGroup((), 0, accepts_prompt_evidence=True, accepts_rate_limits=True)
"""Sent to followers until the members of the control group are known."""


@dataclass
class NodeHub:
    """Serves the links of entries, agents and other control VMs.

    :param peers: links to the other control VMs, used for sending to them.
    :param peer_groups: what each control VM told last over the link to it, while it is open. It says
        what the process at its other end reads.
    :param commander_assigner: assigns commanders while this control VM is the leader.
    :param assigned: the newest assignment of each rank group.
    :param loads: loads and paces of endpoints reported since the last :meth:`send_changed_loads`.
    """

    address: Address
    voter: Voter
    control: ControlLog
    endpoint_table: EndpointTable
    peers: LinkSet
    log: EventLog
    prompt_evidence: PromptEvidenceTable
    rate_limits: RateLimitLog
    permits: PermitServer
    followers: list[Follower] = field(default_factory=list)
    linked_nodes: LinkedNodes = field(default_factory=LinkedNodes)
    commander_assigner: CommanderAssigner = field(default_factory=CommanderAssigner)
    assigned: dict[str, CommanderAssigned] = field(default_factory=dict)
    group: ControlGroup = field(default_factory=lambda: NO_GROUP)
    peer_groups: dict[Address, ControlGroup] = field(default_factory=dict)
    notified_departure_changes: int = -1
    notified_version: int = 0
    notified_decision_revision: int = 0
    sent_rank_places: dict[Address, RankLocation] = field(default_factory=dict)
    placed_node_changes: int = 0
    assigned_term_and_changes: tuple[int, int] = (0, 0)
    loads: ChangedLoads = field(default_factory=ChangedLoads)
    departures_in_progress: set[tuple[str, int]] = field(default_factory=set)
    confirmation_needed: anyio.Event = field(default_factory=anyio.Event)
    packed: ConfigurationText = field(default_factory=lambda: ConfigurationText(-1, b""))

    def __post_init__(self) -> None:
        self.peers.get_greeting = self._peer_greeting
        self.peers.on_message = self._on_peer_answer
        self.peers.on_closed = self._on_peer_link_closed

    def _peer_greeting(self) -> Iterable[NodeMessage]:
        """Yield the local state that another control VM receives from no other process."""
        yield ControlPeer(self.address, accepts_prompt_evidence=True, accepts_rate_limits=True)
        yield self.linked_nodes.whole()
        yield local_heartbeats(self.endpoint_table)
        yield from self.assigned.values()

    async def serve_link(self, link: Link[NodeMessage]) -> None:
        """Serve one link until it closes."""
        follower = Follower(Outbox(link), anyio.CancelScope())
        self.followers.append(follower)
        follower.outbox.post(self.group)
        try:
            with follower.scope:
                await self._serve_follower(follower, link)
        finally:
            self._remove_follower(follower, link.peer)

    async def _serve_follower(self, follower: Follower, link: Link[NodeMessage]) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.outbox.run)
            with suppress(LinkClosed):
                while True:
                    message = await link.receive()
                    if follower.scope.cancel_called:
                        break
                    if isinstance(message, DepartureSeen):
                        tasks.start_soon(self._on_departure_seen, message)
                    else:
                        self._on_message(follower, message)
            tasks.cancel_scope.cancel()

    def _remove_follower(self, follower: Follower, peer: str) -> None:
        self.followers.remove(follower)
        if follower.node is not None:
            peer = follower.node.name
            self.linked_nodes.on_local_link_closed(follower, peer)
            newest = self._newest_link(peer)
            if newest and newest.node and peer not in self.linked_nodes.local_nodes:
                self.linked_nodes.on_local_state(newest, newest.node)
        elif follower.peer is not None:
            peer = str(follower.peer)
            if not any(other.peer == follower.peer for other in self.followers):
                self.linked_nodes.on_peer_lost(follower.peer)
                self.endpoint_table.on_monitor_lost(follower.peer, anyio.current_time())
        self.log.emit(events.LINK_CLOSED, peer=peer)

    async def confirm_followers(self) -> None:
        """Send new followers the committed state once a quorum confirmed that it is the newest.

        One confirmation by the log serves all waiting followers. While there is no leader,
        hundreds of separate confirmations would keep a leader from being elected.
        """
        while True:
            await self.confirmation_needed.wait()
            self.confirmation_needed = anyio.Event()
            waiting = [
                new_follower
                for new_follower in self.followers
                if new_follower.node and not new_follower.confirmed
            ]
            if not waiting:
                continue
            began = anyio.current_time()
            try:
                attempts = await self.control.confirm(CONFIRM_TIMEOUT_S)
            except ControlUnavailable:
                self.confirmation_needed.set()
                continue
            departures = self.voter.state.state.departures.departed_born_ms
            recorded = DeparturesRecorded(tuple(departures.items()))
            evacuations = read_evacuations(self.voter.state.state)
            for follower in waiting:
                follower.confirmed = True
                if isinstance(follower.node, EntryState):
                    follower.outbox.post(recorded)
                # Before the version: an entry sends no request without a configuration.
                self._send_evacuations((follower,), evacuations)
                self._send_version(follower)
            self.log.emit(
                events.FOLLOWERS_CONFIRMED,
                revision=self.voter.state.state.configuration.version,
                followers=len(waiting),
                attempts=attempts,
                took_ms=round(1000 * (anyio.current_time() - began)),
            )

    def _on_message(self, follower: Follower, message: NodeMessage) -> None:
        match message:
            case EntryState() | AgentState():
                self._on_follower_state(follower, message)
            case ControlPeer():
                self._on_peer(follower, message)
            case LoadsReported():
                self.loads.add(message, is_from_peer=follower.peer is not None)
            case SubscribeToLoads():
                follower.is_load_subscriber = True
            case QueryConfiguration():
                self._send_configuration(follower)
            case NodesLinked() if follower.peer is not None:
                self.linked_nodes.on_peer_update(follower.peer, message)
            case HeartbeatsReceived(heartbeats) if follower.peer is not None:
                self._on_peer_heartbeats(follower.peer, heartbeats)
            case PromptEvidence() | RateLimitsReported() | RequestPermit():
                self._on_shared_knowledge(follower, message)
            case CommanderAssigned() if follower.peer is not None:
                self._on_commander_assigned(message)
            case _:
                self.log.emit(events.LINK_SILENT, peer="unexpected", message=message.kind)

    def _on_peer(self, follower: Follower, peer: ControlPeer) -> None:
        """Record which control VM a link is from."""
        self._close_earlier_links(follower, peer.address)
        follower.peer = peer.address
        follower.accepts_rate_limits = peer.accepts_rate_limits
        self.log.emit(events.LINK_OPENED, peer=str(peer.address))

    def _close_earlier_links(self, follower: Follower, peer: Address) -> None:
        """Drop what a control VM told over earlier links, and what still comes over them.

        They may be those of its earlier process, which reports nothing any more. The whole list of
        its nodes follows on each link; of the endpoints that it monitors there is no such list.
        Should one of them be the link of the current process after all, it opens another one.
        """
        earlier = [each for each in self.followers if each.peer == peer and each is not follower]
        if not earlier:
            return
        for each in earlier:
            each.scope.cancel()
        self.endpoint_table.on_monitor_lost(peer, anyio.current_time())
        self.log.emit(events.LINK_REPLACED, peer=str(peer))

    def _on_shared_knowledge(
        self, follower: Follower, message: PromptEvidence | RateLimitsReported | RequestPermit
    ) -> None:
        """Handle what entries found out about requests and endpoints, and what they ask."""
        match message:
            case PromptEvidence():
                self._on_prompt_evidence(follower, message)
            case RateLimitsReported():
                self._on_rate_limits(follower, message)
            case RequestPermit() if follower.peer is None:
                self.permits.on_entry_request(follower.outbox, message, self._permit_hosts())
            case RequestPermit():
                self.permits.answer_request(follower.outbox, message)

    def _send_configuration(self, follower: Follower) -> None:
        """Send a follower the text, unless its link carries the same one already.

        The text has to wait for a state that is at least as new as what the follower was told:
        followers ask all control VMs, and after a disk failure the state is built up again.
        """
        version = self.voter.state.state.configuration.version
        follower.awaits_text = not follower.confirmed or version < follower.version
        if not follower.awaits_text and version > follower.sent_text_version:
            follower.sent_text_version = version
            follower.outbox.post(self._packed_configuration())

    def _packed_configuration(self) -> ConfigurationText:
        """Return the current configuration, compressed once for all followers."""
        held = self.voter.state.state.configuration
        if self.packed.version != held.version:
            self.packed = ConfigurationText(held.version, zlib.compress(held.text))
        return self.packed

    def _on_follower_state(self, follower: Follower, node: EntryState | AgentState) -> None:
        """Record a follower's state; send a new follower the state that later updates omit."""
        is_new_follower = follower.node is None
        follower.node = node
        if self._newest_link(node.name) is follower:
            self.linked_nodes.on_local_state(follower, node)
        if is_new_follower:
            self.confirmation_needed.set()
            self.log.emit(events.LINK_OPENED, peer=node.name)
        if isinstance(node, EntryState):
            if is_new_follower:
                follower.outbox.post(all_heartbeats(self.endpoint_table))
                follower.outbox.post(RankLocations(tuple(self.sent_rank_places.values())))
                follower.accepts_prompt_evidence = node.accepts_prompt_evidence
                if node.accepts_prompt_evidence:
                    follower.outbox.post(self.prompt_evidence.whole())
                follower.accepts_rate_limits = node.accepts_rate_limits
                if node.accepts_rate_limits:
                    follower.outbox.post(self.rate_limits.whole())
        elif (assigned := self.assigned.get(node.group)) is not None:
            follower.outbox.post(assigned)

    def _newest_link(self, name: str) -> Follower | None:
        """Return the newest link on which an entry or agent reported its state.

        An earlier link that is read later tells older news.
        """
        links = (each for each in reversed(self.followers) if each.node and each.node.name == name)
        return next(links, None)

    def _on_prompt_evidence(self, sender: Follower, evidence: PromptEvidence) -> None:
        """Pass evidence on that is news: that of an entry to all, that of a peer to entries."""
        news = self.prompt_evidence.merge(evidence)
        if news is not None:
            self.post_prompt_evidence(news, sender)

    def clear_prompt_part(self, part: Suspect) -> bool:
        """Clear a part by order of an operator, also at all others; return whether it was held."""
        is_known = self.prompt_evidence.clear(part)
        clearances = self.prompt_evidence.clearances((part,))
        self.post_prompt_evidence(PromptEvidence(cleared=(part,), clearances=clearances))
        return is_known

    def post_prompt_evidence(
        self, evidence: PromptEvidence, sender: Follower | None = None
    ) -> None:
        """Send evidence to the entries, and to the other control VMs unless one of them sent it."""
        entries = [each for each in self.followers if each.accepts_prompt_evidence]
        peers = [peer for peer, told in self.peer_groups.items() if told.accepts_prompt_evidence]
        self._pass_on(evidence, sender, entries, peers)

    def _on_rate_limits(self, sender: Follower, report: RateLimitsReported) -> None:
        """Pass on limits that are news: those of an entry to all, those of a peer to entries."""
        news = self.rate_limits.merge(report)
        if news is not None:
            entries = [
                each for each in self.followers if each.accepts_rate_limits and each.peer is None
            ]
            peers = [peer for peer, told in self.peer_groups.items() if told.accepts_rate_limits]
            self._pass_on(news, sender, entries, peers)

    def _pass_on(
        self,
        message: NodeMessage,
        sender: Follower | None,
        entries: Iterable[Follower],
        peers: Iterable[Address],
    ) -> None:
        """Send a message to the entries, and to the other control VMs unless one of them sent it.

        :param sender: who told it; ``None`` for this control VM.
        :param entries: the entries that announced that they read it.
        :param peers: the control VMs that announced it.
        """
        for entry in entries:
            if entry is not sender:
                entry.outbox.post(message)
        if sender is None or sender.peer is None:
            for peer in peers:
                self.peers.post(peer, message)

    def _permit_hosts(self) -> list[Address]:
        """Return the members of the control group that answer requests for permits."""
        readers = {each.peer for each in self.followers if each.accepts_rate_limits and each.peer}
        return [each for each in self.group.addresses if each in readers | {self.address}]

    def _on_peer_answer(self, peer: Address, message: NodeMessage) -> None:
        """Handle a message that another control VM sends over the link of this one."""
        if isinstance(message, PermitAnswer):
            self.permits.on_peer_answer(message)
        elif isinstance(message, ControlGroup):
            self._on_peer_group(peer, message)

    def _on_peer_group(self, peer: Address, group: ControlGroup) -> None:
        """Tell a control VM what it reads of the shared knowledge, once on each link to it.

        It sends its group as the first message of a link. What it announces on its own link may
        come before this one is open, or while this one still leads to its earlier process.
        """
        is_first = peer not in self.peer_groups
        self.peer_groups[peer] = group
        if not is_first:
            return
        if group.accepts_prompt_evidence:
            self.peers.post(peer, self.prompt_evidence.whole())
        if group.accepts_rate_limits:
            self.peers.post(peer, self.rate_limits.whole())

    def _on_peer_link_closed(self, peer: Address) -> None:
        self.peer_groups.pop(peer, None)

    def _on_peer_heartbeats(self, peer: Address, heartbeats: tuple[EndpointHeartbeat, ...]) -> None:
        """Record a peer's heartbeats and forward to entries those that are new to this VM.

        An endpoint that the peer found silent but that this VM has heard since is told again.
        """
        new_heartbeats = [
            heartbeat
            for heartbeat in heartbeats
            if apply_heartbeat(self.endpoint_table, heartbeat, self.log, peer)
        ]
        if new_heartbeats:
            self._post_to_entries(HeartbeatsReceived(tuple(new_heartbeats)))
        newer = [
            self.endpoint_table.newer_local_heartbeat(heartbeat, anyio.current_time())
            for heartbeat in heartbeats
            if heartbeat.phase is EndpointPhase.SILENT
        ]
        self.send_heartbeats(tuple(heartbeat for heartbeat in newer if heartbeat is not None))

    def _post_to_entries(self, message: NodeMessage) -> None:
        for follower in self.followers:
            if isinstance(follower.node, EntryState):
                follower.outbox.post(message)

    def _post_to_load_subscribers(self, message: NodeMessage) -> None:
        for follower in self.followers:
            if follower.is_load_subscriber:
                follower.outbox.post(message)

    def send_changed_loads(self) -> None:
        """Send entries and the other control VMs the loads that changed since the last call."""
        for_peers, for_entries = self.loads.take()
        if for_peers is not None:
            self.peers.post_all(for_peers)
        if for_entries is not None:
            self._post_to_load_subscribers(for_entries)

    def send_node_changes(self) -> None:
        """Send follower changes to the other control VMs, and the addresses of ranks to entries."""
        delta = self.linked_nodes.take_delta()
        if delta is not None:
            self.peers.post_all(delta)
        if self.linked_nodes.changes == self.placed_node_changes:
            return
        self.placed_node_changes = self.linked_nodes.changes
        places = {
            agent.endpoint: _rank_place(agent) for agent in self.linked_nodes.agents().values()
        }
        changed = tuple(
            place
            for endpoint, place in places.items()
            if place != self.sent_rank_places.get(endpoint)
        )
        if changed:
            # A rank whose agent is disconnected for a short time keeps its place.
            self.sent_rank_places |= {place.endpoint: place for place in changed}
            self._post_to_entries(RankLocations(changed))

    def send_heartbeats(self, heartbeats: tuple[EndpointHeartbeat, ...]) -> None:
        """Send changed heartbeats to entries and the other control VMs."""
        if heartbeats:
            message = HeartbeatsReceived(heartbeats)
            self.peers.post_all(message)
            self._post_to_entries(message)

    def on_folder_opened(self) -> None:
        """Have the state confirmed again: it begins anew from the snapshot in the data folder."""
        self.notified_departure_changes = -1
        self.notified_decision_revision = 0
        for follower in self.followers:
            follower.confirmed = False
        self.confirmation_needed.set()

    def on_log_applied(self) -> None:
        """Send the followers what the log changed since the last call."""
        state = self.voter.state.state
        if state.configuration.version != self.notified_version:
            self.notified_version = state.configuration.version
            for follower in self.followers:
                if follower.confirmed:
                    self._send_version(follower)
        if state.departures.changes != self.notified_departure_changes:
            self.notified_departure_changes = state.departures.changes
            for endpoint, born_ms in state.departures.departed_born_ms.items():
                self.send_departure(endpoint, born_ms)
        decision = next(reversed(state.decisions.in_force.values()), None)
        if decision is not None and decision.revision != self.notified_decision_revision:
            self.notified_decision_revision = decision.revision
            self._send_evacuations(self.followers, read_evacuations(state))

    def send_evacuation(self, evacuation: ZoneEvacuation) -> None:
        """Tell the entries of an order that was committed; the state here may not hold it yet."""
        self._send_evacuations(self.followers, (evacuation,))

    def _send_evacuations(
        self, followers: Iterable[Follower], evacuations: tuple[ZoneEvacuation, ...]
    ) -> None:
        if not evacuations:
            return
        for follower in followers:
            if isinstance(follower.node, EntryState) and follower.node.accepts_evacuations:
                follower.outbox.post(EvacuationsInForce(evacuations))

    def known_zones(self) -> frozenset[str]:
        """Return the availability zones of the endpoints and entries that are known here."""
        endpoints = (each.availability_zone for each in self.endpoint_table.heartbeats())
        entries = (each.availability_zone for each in self.linked_nodes.open_entries())
        return frozenset([*endpoints, *entries])

    async def record_departure(self, endpoint: str, born_ms: int) -> bool:
        """Record that one incarnation of an endpoint accepts no new work.

        :return: whether the record is known to be committed.
        """
        if self.endpoint_table.has_departed(endpoint, born_ms):
            return True
        try:
            await self.control.commit(RecordDeparture(endpoint, born_ms), COMMIT_TIMEOUT_S)
        except ControlUnavailable as error:
            self.log.emit(events.DEPARTURE_UNCONFIRMED, endpoint=endpoint, detail=str(error))
            return False
        # On a control VM that isn't the leader, the applied state may lag behind the commit;
        # entries must be notified without that delay.
        self.send_departure(endpoint, born_ms)
        return True

    async def _on_departure_seen(self, seen: DepartureSeen) -> None:
        """Record a departure once, also when several entries report it at the same time."""
        departure = (seen.endpoint, seen.born_ms)
        if departure in self.departures_in_progress:
            return
        self.departures_in_progress.add(departure)
        try:
            await self.record_departure(*departure)
        finally:
            self.departures_in_progress.discard(departure)

    def send_departure(self, endpoint: str, born_ms: int) -> None:
        """Notify entries that an endpoint's incarnation accepts no new work, unless known."""
        if self.endpoint_table.on_departure(endpoint, born_ms):
            self._post_to_entries(DeparturesRecorded(((endpoint, born_ms),)))

    def _send_version(self, follower: Follower) -> None:
        version = self.voter.state.state.configuration.version
        if version > follower.version:
            follower.version = version
            follower.outbox.post(ConfigurationVersion(version))
        if follower.awaits_text:
            self._send_configuration(follower)

    def send_control_group(self, group: ControlGroup) -> None:
        """Send the followers the control VMs in the group and whether this one is the leader."""
        if group == self.group:
            return
        self.group = group
        self.peers.set_wanted_peers(set(group.addresses) - {self.address})
        for follower in self.followers:
            follower.outbox.post(group)

    def assign_commanders(self, term: int) -> None:
        """Assign a commander to each rank group while this control VM is the leader.

        :param term: the term that it leads; 0 while it isn't the leader.
        """
        term_and_changes = (term, self.linked_nodes.changes)
        if term_and_changes == self.assigned_term_and_changes:
            return
        self.assigned_term_and_changes = term_and_changes
        self.commander_assigner.begin_term(term)
        if not term:
            return
        for assigned in self.commander_assigner.assign_commanders(
            self.linked_nodes.agents().values()
        ):
            self.log.emit(
                events.COMMANDER_ASSIGNED,
                group=assigned.group,
                fence=assigned.fence,
                commander=str(assigned.commander),
                members=len(assigned.members),
            )
            self.peers.post_all(assigned)
            self._on_commander_assigned(assigned)

    def _on_commander_assigned(self, assigned: CommanderAssigned) -> None:
        """Send the local agents of a group its commander; the highest fence takes precedence."""
        known = self.assigned.get(assigned.group)
        if known is not None and known.fence >= assigned.fence:
            return
        self.assigned[assigned.group] = assigned
        for follower in self.followers:
            if isinstance(follower.node, AgentState) and follower.node.group == assigned.group:
                follower.outbox.post(assigned)

    def entry_addresses(self, availability_zone: str) -> tuple[Address, ...]:
        """Return the entries for callers of an availability zone, those of the same zone first."""
        return self.linked_nodes.entry_addresses(availability_zone)


def _rank_place(agent: AgentState) -> RankLocation:
    return RankLocation(agent.endpoint, agent.address, agent.group, agent.open)
