"""A relay: holds the whole view and hands it on, with leases, members and proposals."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from functools import reduce
from random import Random

import anyio
from anyio.abc import TaskGroup

from bergamotchute_daemon.backoff import Backoff
from bergamotchute_daemon.control_client import ControlClient, ControlUnavailable
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.membership_table import MembershipTable, endpoints_only, is_empty_delta
from bergamotchute_daemon.pending_queries import PendingQueries
from bergamotchute_daemon.view_holder import ViewHolder
from bergamotchute_model import events
from bergamotchute_model.control_messages import (
    AddressReport,
    Announce,
    AskAddresses,
    ControlMessage,
    LeaseGrant,
    MembershipDelta,
    ProposalFailed,
    Propose,
    Proposed,
    RenewLease,
    Subscribe,
)
from bergamotchute_model.hello import Hello
from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import EntryAnnouncement, Role
from bergamotchute_model.status_messages import (
    BEHIND_NAMED,
    AskStatus,
    Reach,
    StatusReport,
    join_reach,
)
from bergamotchute_policy.address_answer import include_other_zone, order_entries
from bergamotchute_policy.watched_subset import RingPosition, ZoneMember, ring_position
from bergamotchute_wire.link import Dial, DialFailed, Link, LinkClosed
from bergamotchute_wire.outbox import Outbox, open_outbox

EXPIRY_CHECK_S = 0.5

CANDIDATE_ENTRY_COUNT = 12
"""How many entries an address report names, of which some may drain by a file."""

STATUS_BOUND_S = 1.0
"""How long other relays and the voters get to report."""

PROPOSAL_BOUND_S = 8.0
"""How long a relay tries to have one proposal committed."""


@dataclass
class Child:
    """A process that this relay serves.

    :param outbox: what goes to it, so that a lease never overtakes the changes it speaks of.
    :param revision: the newest view revision sent to it; ``None`` before it subscribes.
    :param held: the newest view revision that it says it holds; ``None`` before it says so.
    """

    outbox: Outbox[ControlMessage]
    hello: Hello
    revision: int | None = None
    held: int | None = None


@dataclass
class Relay:
    """Serves children and tells other relays of them.

    :param voter_client: the way to the voters; its view is the one handed on.
    :param peers: the other relays.
    :param dial: opens links to the other relays.
    :param tasks: where proposals run.
    """

    voter_client: ControlClient
    peers: tuple[Address, ...]
    dial: Dial[ControlMessage]
    hello: Hello
    log: EventLog
    random: Random
    tasks: TaskGroup
    membership_table: MembershipTable = field(default_factory=MembershipTable)
    children: dict[int, Child] = field(default_factory=dict)
    peer_links: dict[str, Link[ControlMessage]] = field(default_factory=dict)
    peer_queries: PendingQueries = field(default_factory=PendingQueries)

    async def run(self) -> None:
        """Follow the voters and the other relays until cancelled."""
        self.voter_client.on_view_change = self.on_view_change
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.voter_client.run)
            tasks.start_soon(self._expire)
            for peer in self.peers:
                tasks.start_soon(self._follow_peer, peer)

    async def serve_link(self, link: Link[ControlMessage]) -> None:
        """Serve one child or one other relay until its link closes."""
        async with open_outbox(link) as outbox:
            hello = await link.receive()
            if isinstance(hello, Hello):
                await self._serve_child(link, Child(outbox, hello))

    async def _serve_child(self, link: Link[ControlMessage], child: Child) -> None:
        """Introduce the members, then handle what comes."""
        if child.hello.role is Role.RELAY:
            child.outbox.post(self.membership_table.own_children())
        elif child.hello.role is Role.ENTRY:
            child.outbox.post(endpoints_only(self.membership_table.all_members()))
        self.children[id(child)] = child
        try:
            while True:
                self._on_message(child, await link.receive())
        finally:
            del self.children[id(child)]

    def _on_message(self, child: Child, message: ControlMessage) -> None:
        match message:
            case RenewLease():
                self.on_renew_lease(child, message)
            case Subscribe():
                self.on_subscribe(child, message)
            case Announce():
                self.on_announce(message)
            case Propose():
                self.tasks.start_soon(self.on_propose, child, message)
            case AskAddresses():
                self.on_ask_addresses(child, message)
            case AskStatus():
                self.tasks.start_soon(self.on_ask_status, child, message)
            case _:
                pass

    def on_renew_lease(self, child: Child, message: RenewLease) -> None:
        """Grant what is left of this relay's own lease, nothing when it has none."""
        child.held = message.revision
        view = self.voter_client.view
        left = view.remaining_lease_s(anyio.current_time())
        child.outbox.post(LeaseGrant(message.number, left, view.revision))

    def on_subscribe(self, child: Child, message: Subscribe) -> None:
        """Send what the child lacks, and every later change."""
        view: ViewHolder = self.voter_client.view
        child.revision = view.revision
        child.outbox.post(view.changes_since(message.revision))

    def on_announce(self, message: Announce) -> None:
        """Renew members and tell of what changed."""
        delta = self.membership_table.on_announce(message, anyio.current_time())
        self._tell(delta, to_relays=True)

    async def on_propose(self, child: Child, message: Propose) -> None:
        """Carry a proposal to the leader and its result back."""
        answer: Proposed | ProposalFailed
        try:
            result = await self.voter_client.propose(message.command, PROPOSAL_BOUND_S)
            answer = Proposed(message.proposal_id, self.voter_client.view.revision, result)
        except ControlUnavailable:
            answer = ProposalFailed(message.proposal_id, True, "no answer from the voters")
        child.outbox.post(answer)

    def on_ask_addresses(self, child: Child, message: AskAddresses) -> None:
        """Name entries for callers of a zone."""
        entries = self.membership_table.entries()
        ordered = order_entries(entries, message.availability_zone, self.random)
        chosen = tuple(include_other_zone(ordered, CANDIDATE_ENTRY_COUNT))
        place = _place_of(child.hello.process, entries)
        report = AddressReport(message.query_id, chosen, len(entries), place.rank, place.entries)
        child.outbox.post(report)

    async def on_ask_status(self, child: Child, message: AskStatus) -> None:
        """Report how far a revision has reached, here or everywhere, and on the voters."""
        revision = message.revision or self.voter_client.view.revision
        report = StatusReport(message.query_id, reach=self.reach(revision))
        if not message.children_only:
            report = await self._whole_report(report, revision)
        child.outbox.post(report)

    def reach(self, revision: int) -> Reach:
        """Return how far a revision has reached among this relay's children."""
        holders = {
            one.hello.process: one.held
            for one in self.children.values()
            if one.held is not None and one.hello.role is not Role.RELAY
        }
        behind = sorted(name for name, known in holders.items() if known < revision)
        return Reach(revision, len(holders), tuple(behind[:BEHIND_NAMED]), len(behind), 1)

    async def _whole_report(self, report: StatusReport, revision: int) -> StatusReport:
        """Add what the other relays and the voters report."""
        reaches = [report.reach] if report.reach else []
        control: list[StatusReport | None] = []

        async def ask_peer(link: Link[ControlMessage]) -> None:
            told = await self.peer_queries.ask(
                link, lambda query_id: AskStatus(query_id, revision, True), STATUS_BOUND_S
            )
            if isinstance(told, StatusReport) and told.reach is not None:
                reaches.append(told.reach)

        async def ask_voters() -> None:
            control.append(await self.voter_client.ask_status(answer_timeout_s=STATUS_BOUND_S))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_voters)
            for link in self.peer_links.values():
                tasks.start_soon(ask_peer, link)
        known = control[0].control if control and control[0] else None
        return replace(report, control=known, reach=reduce(join_reach, reaches))

    def on_view_change(self, view: ViewHolder) -> None:
        """Hand a change on to every child that subscribed."""
        for child in list(self.children.values()):
            if child.revision is not None and child.revision < view.revision:
                delta = view.changes_since(child.revision)
                child.revision = view.revision
                child.outbox.post(delta)

    async def _expire(self) -> None:
        """Drop members whose lease lapsed."""
        while True:
            await anyio.sleep(EXPIRY_CHECK_S)
            self._tell(
                self.membership_table.drop_lapsed_members(anyio.current_time()), to_relays=True
            )

    async def _follow_peer(self, address: Address) -> None:
        """Keep a link to another relay and take its word about its children."""
        backoff = Backoff(self.random)
        peer = str(address)
        while True:
            try:
                async with self.dial(address) as link:
                    await link.send(self.hello)
                    backoff.reset()
                    self.peer_links[peer] = link
                    while True:
                        self._on_peer_message(peer, await link.receive())
            except (DialFailed, LinkClosed):
                self.membership_table.on_peer_lost(peer, anyio.current_time())
            finally:
                self.peer_links.pop(peer, None)
            await anyio.sleep(backoff.next_delay())

    def _on_peer_message(self, peer: str, message: ControlMessage) -> None:
        match message:
            case MembershipDelta():
                self._tell(self.membership_table.on_peer_membership(peer, message), to_relays=False)
            case StatusReport():
                self.peer_queries.on_report(message)
            case _:
                pass

    def _tell(self, delta: MembershipDelta, *, to_relays: bool) -> None:
        """Pass a membership change on to children, and to other relays if it is about children."""
        if is_empty_delta(delta):
            return
        self._log(delta)
        for_entries = endpoints_only(delta)
        for child in list(self.children.values()):
            if child.hello.role is Role.RELAY and to_relays:
                child.outbox.post(delta)
            elif child.hello.role is Role.ENTRY and not is_empty_delta(for_entries):
                child.outbox.post(for_entries)

    def _log(self, delta: MembershipDelta) -> None:
        for endpoint in delta.endpoints:
            kind = events.MEMBER_DRAINING if endpoint.draining else events.MEMBER_JOINED
            self.log.emit(kind, endpoint=endpoint.endpoint)
        for name in delta.lapsed_endpoints + delta.lapsed_entries:
            self.log.emit(events.MEMBER_LAPSED, member=name)


def _place_of(name: str, entries: list[EntryAnnouncement]) -> RingPosition:
    """Return where an entry stands in its zone; alone while its announcement isn't here yet."""
    members = {one.entry: ZoneMember(one.entry, one.availability_zone) for one in entries}
    asking = members.get(name)
    return RingPosition("", 0, 1) if asking is None else ring_position(asking, members.values())
