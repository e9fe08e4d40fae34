"""A relay: passes views, leases, members and proposals between voters and processes."""

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
    ControlMessage,
    LeaseGrant,
    MembershipDelta,
    ProposalFailed,
    Propose,
    Proposed,
    QueryAddresses,
    RenewLease,
    Subscribe,
)
from bergamotchute_model.hello import Hello
from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import EntryAnnouncement, ProcessRole
from bergamotchute_model.status_messages import (
    MAX_BEHIND_NAMES,
    QueryStatus,
    StatusReport,
    ViewPropagation,
    merge_view_propagation,
)
from bergamotchute_policy.address_answer import include_other_zone, order_entries
from bergamotchute_policy.watched_subset import RingPosition, ZoneMember, ring_position
from bergamotchute_wire.link import Dial, DialFailed, Link, LinkClosed
from bergamotchute_wire.outbox import Outbox, open_outbox

EXPIRY_CHECK_INTERVAL_S = 0.5

CANDIDATE_ENTRY_COUNT = 12
"""Number of entries in an address report; the configuration may drain some of them."""

STATUS_TIMEOUT_S = 1.0
"""Time limit for status reports of the other relays and the voters."""

PROPOSAL_TIMEOUT_S = 8.0
"""Time limit for having one proposal committed."""


@dataclass
class RelayChild:
    """A process that this relay serves.

    :param outbox: sends messages in order, so that a lease never overtakes the changes that it
        covers.
    :param revision: the newest view revision sent to the child; ``None`` before it subscribes.
    :param held: the newest view revision that the child reported; ``None`` before its first
        report.
    """

    outbox: Outbox[ControlMessage]
    hello: Hello
    revision: int | None = None
    held: int | None = None


@dataclass
class Relay:
    """Serves children and reports them to the other relays.

    :param voter_client: connects to the voters; its view is sent to the children.
    :param peers: the addresses of the other relays.
    :param dial: opens links to the other relays.
    :param tasks: the task group for proposals and status requests.
    """

    voter_client: ControlClient
    peers: tuple[Address, ...]
    dial: Dial[ControlMessage]
    hello: Hello
    log: EventLog
    random: Random
    tasks: TaskGroup
    membership_table: MembershipTable = field(default_factory=MembershipTable)
    children: dict[int, RelayChild] = field(default_factory=dict)
    peer_links: dict[str, Link[ControlMessage]] = field(default_factory=dict)
    peer_queries: PendingQueries = field(default_factory=PendingQueries)

    async def run(self) -> None:
        """Follow the voters and the other relays until cancelled."""
        self.voter_client.on_view_change = self.on_view_change
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.voter_client.run)
            tasks.start_soon(self._expire_members)
            for peer in self.peers:
                tasks.start_soon(self._follow_peer, peer)

    async def serve_link(self, link: Link[ControlMessage]) -> None:
        """Serve one child or one other relay until its link closes."""
        async with open_outbox(link) as outbox:
            hello = await link.receive()
            if isinstance(hello, Hello):
                await self._serve_child(link, RelayChild(outbox, hello))

    async def _serve_child(self, link: Link[ControlMessage], child: RelayChild) -> None:
        """Send the current members, then handle messages until the link closes."""
        if child.hello.role is ProcessRole.RELAY:
            child.outbox.post(self.membership_table.own_children())
        elif child.hello.role is ProcessRole.ENTRY:
            child.outbox.post(endpoints_only(self.membership_table.all_members()))
        self.children[id(child)] = child
        try:
            while True:
                self._on_message(child, await link.receive())
        finally:
            del self.children[id(child)]

    def _on_message(self, child: RelayChild, message: ControlMessage) -> None:
        match message:
            case RenewLease():
                self.on_renew_lease(child, message)
            case Subscribe():
                self.on_subscribe(child, message)
            case Announce():
                self.on_announce(message)
            case Propose():
                self.tasks.start_soon(self.on_propose, child, message)
            case QueryAddresses():
                self.on_ask_addresses(child, message)
            case QueryStatus():
                self.tasks.start_soon(self.on_ask_status, child, message)
            case _:
                pass

    def on_renew_lease(self, child: RelayChild, message: RenewLease) -> None:
        """Grant the remaining time of this relay's own lease; zero when it holds none."""
        child.held = message.revision
        view = self.voter_client.view
        remaining_s = view.remaining_lease_s(anyio.current_time())
        child.outbox.post(LeaseGrant(message.number, remaining_s, view.revision))

    def on_subscribe(self, child: RelayChild, message: Subscribe) -> None:
        """Send the changes that the child lacks; later changes follow as they occur."""
        view: ViewHolder = self.voter_client.view
        child.revision = view.revision
        child.outbox.post(view.changes_since(message.revision))

    def on_announce(self, message: Announce) -> None:
        """Renew the announced members and publish what changed."""
        delta = self.membership_table.on_announce(message, anyio.current_time())
        self._publish_change(delta, to_relays=True)

    async def on_propose(self, child: RelayChild, message: Propose) -> None:
        """Forward a proposal to the leader and its result to the child."""
        answer: Proposed | ProposalFailed
        try:
            result = await self.voter_client.propose(message.command, PROPOSAL_TIMEOUT_S)
            answer = Proposed(message.proposal_id, self.voter_client.view.revision, result)
        except ControlUnavailable:
            answer = ProposalFailed(message.proposal_id, True, "no answer from the voters")
        child.outbox.post(answer)

    def on_ask_addresses(self, child: RelayChild, message: QueryAddresses) -> None:
        """Report entries for callers of an availability zone."""
        entries = self.membership_table.entries()
        ordered = order_entries(entries, message.availability_zone, self.random)
        reported_entries = tuple(include_other_zone(ordered, CANDIDATE_ENTRY_COUNT))
        position = _ring_position_of(child.hello.process, entries)
        report = AddressReport(
            message.query_id, reported_entries, len(entries), position.rank, position.entries
        )
        child.outbox.post(report)

    async def on_ask_status(self, child: RelayChild, message: QueryStatus) -> None:
        """Report which processes hold a revision.

        Includes the other relays and the voters unless the request is for this relay's children
        only.
        """
        revision = message.revision or self.voter_client.view.revision
        report = StatusReport(message.query_id, reach=self.reach(revision))
        if not message.children_only:
            report = await self._collect_full_report(report, revision)
        child.outbox.post(report)

    def reach(self, revision: int) -> ViewPropagation:
        """Return how many of this relay's children hold a revision, and which don't yet."""
        holders = {
            child.hello.process: child.held
            for child in self.children.values()
            if child.held is not None and child.hello.role is not ProcessRole.RELAY
        }
        behind = sorted(name for name, known in holders.items() if known < revision)
        return ViewPropagation(
            revision, len(holders), tuple(behind[:MAX_BEHIND_NAMES]), len(behind), 1
        )

    async def _collect_full_report(self, report: StatusReport, revision: int) -> StatusReport:
        """Add the reports of the other relays and the voters to this relay's report."""
        reaches = [report.reach] if report.reach else []
        control: list[StatusReport | None] = []

        async def ask_peer(link: Link[ControlMessage]) -> None:
            peer_report = await self.peer_queries.ask(
                link, lambda query_id: QueryStatus(query_id, revision, True), STATUS_TIMEOUT_S
            )
            if isinstance(peer_report, StatusReport) and peer_report.reach is not None:
                reaches.append(peer_report.reach)

        async def ask_voters() -> None:
            control.append(await self.voter_client.ask_status(answer_timeout_s=STATUS_TIMEOUT_S))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_voters)
            for link in self.peer_links.values():
                tasks.start_soon(ask_peer, link)
        known = control[0].control if control and control[0] else None
        return replace(report, control=known, reach=reduce(merge_view_propagation, reaches))

    def on_view_change(self, view: ViewHolder) -> None:
        """Send a view change to every subscribed child."""
        for child in list(self.children.values()):
            if child.revision is not None and child.revision < view.revision:
                delta = view.changes_since(child.revision)
                child.revision = view.revision
                child.outbox.post(delta)

    async def _expire_members(self) -> None:
        """Remove members whose lease lapsed."""
        while True:
            await anyio.sleep(EXPIRY_CHECK_INTERVAL_S)
            self._publish_change(
                self.membership_table.drop_lapsed_members(anyio.current_time()), to_relays=True
            )

    async def _follow_peer(self, address: Address) -> None:
        """Maintain a link to another relay and record the children that it reports."""
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
                self._publish_change(
                    self.membership_table.on_peer_membership(peer, message), to_relays=False
                )
            case StatusReport():
                self.peer_queries.on_report(message)
            case _:
                pass

    def _publish_change(self, delta: MembershipDelta, *, to_relays: bool) -> None:
        """Send a membership change to entries, and to other relays if ``to_relays`` is set.

        Changes that other relays reported aren't sent back to relays.
        """
        if is_empty_delta(delta):
            return
        self._log_change(delta)
        for_entries = endpoints_only(delta)
        for child in list(self.children.values()):
            if child.hello.role is ProcessRole.RELAY and to_relays:
                child.outbox.post(delta)
            elif child.hello.role is ProcessRole.ENTRY and not is_empty_delta(for_entries):
                child.outbox.post(for_entries)

    def _log_change(self, delta: MembershipDelta) -> None:
        for endpoint in delta.endpoints:
            kind = events.MEMBER_DRAINING if endpoint.draining else events.MEMBER_JOINED
            self.log.emit(kind, endpoint=endpoint.endpoint)
        for name in delta.lapsed_endpoints + delta.lapsed_entries:
            self.log.emit(events.MEMBER_LAPSED, member=name)


def _ring_position_of(name: str, entries: list[EntryAnnouncement]) -> RingPosition:
    """Return the ring position of an entry in its zone.

    An entry whose announcement hasn't arrived yet is treated as the only one.
    """
    members = {entry.entry: ZoneMember(entry.entry, entry.availability_zone) for entry in entries}
    zone_member = members.get(name)
    return (
        RingPosition("", 0, 1)
        if zone_member is None
        else ring_position(zone_member, members.values())
    )
