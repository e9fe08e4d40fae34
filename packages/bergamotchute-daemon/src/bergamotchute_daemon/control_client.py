"""A client of the control plane: entries and agents link to a relay, relays to a voter."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import TypeAlias

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from bergamotchute_daemon.backoff import Backoff
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.pending_queries import PendingQueries
from bergamotchute_daemon.view_holder import ViewHolder
from bergamotchute_model import events
from bergamotchute_model.commands import Command, CommandResult
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
    ViewDelta,
)
from bergamotchute_model.hello import Hello
from bergamotchute_model.identifiers import Address
from bergamotchute_model.status_messages import QueryStatus, StatusReport
from bergamotchute_wire.link import Dial, DialFailed, Link, LinkClosed

LEASE_RENEWAL_INTERVAL_S = 1.0
"""How often the view lease is renewed."""

LEASE_CHECK_INTERVAL_S = 0.25

CONFIRMATION_TIMEOUT_S = 2.0
"""How long to keep a link to a peer that grants no lease."""

PROPOSAL_RETRY_DELAY_S = 0.1
"""Mean delay before a proposal that wasn't accepted is sent again."""

STATUS_TIMEOUT_S = 2.0

ADDRESSES_TIMEOUT_S = 0.5

PROPOSAL_ANSWER_TIMEOUT_S = 1.2
"""How long to wait for an answer before a proposal is sent again."""

OnMembershipDelta: TypeAlias = Callable[[MembershipDelta], None]
OnViewChange: TypeAlias = Callable[[ViewHolder], None]
OnLeaseChange: TypeAlias = Callable[[bool], None]


class ControlUnavailable(Exception):
    """No answer to a proposal arrived in time; the command may be committed."""


@dataclass
class ControlClient:
    """Keeps a link to one of several peers, and keeps the view current over it.

    :param peer_addresses: the peers.
    :param view: the view that this client keeps current.
    :param announce: makes the announcement to send at each renewal; ``None`` sends none.
    :param on_membership_delta: called with each change of members that the peer reports.
    :param on_view_change: called when the view has advanced.
    :param on_lease_change: called with whether the view is usable, when this changes.
    """

    peer_addresses: tuple[Address, ...]
    dial: Dial[ControlMessage]
    hello: Hello
    view: ViewHolder
    log: EventLog
    random: Random
    announce: Callable[[], Announce | None] = lambda: None
    on_membership_delta: OnMembershipDelta = lambda _: None
    on_view_change: OnViewChange = lambda _: None
    on_lease_change: OnLeaseChange = lambda _: None
    link: Link[ControlMessage] | None = None
    linked: anyio.Event = field(default_factory=anyio.Event)
    renewal_sent_at: dict[int, float] = field(default_factory=dict)
    renewal_count: int = 0
    last_confirmed_at: float = 0.0
    proposal_answers: dict[str, MemoryObjectSendStream[Proposed | ProposalFailed]] = field(
        default_factory=dict
    )
    proposal_count: int = 0
    queries: PendingQueries = field(default_factory=PendingQueries)
    preferred_peer: Address | None = None
    is_view_confirmed: bool = False

    async def run(self) -> None:
        """Keep a link until cancelled; change to another peer when one fails or grants no lease."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_lease)
            await self._link_to_peers()

    async def _link_to_peers(self) -> None:
        """Link to the peers in turn, starting at a random one so that clients spread over them."""
        backoff = Backoff(self.random)
        position = self.random.randrange(len(self.peer_addresses))
        while True:
            peer_address = (
                self.preferred_peer or self.peer_addresses[position % len(self.peer_addresses)]
            )
            self.preferred_peer = None
            started_at = anyio.current_time()
            await self._connect(peer_address)
            if self.last_confirmed_at > started_at:
                backoff.reset()
            position += 1
            await anyio.sleep(backoff.next_delay())

    async def propose(self, command: Command, total_timeout_s: float) -> CommandResult:
        """Have a command committed by the control group.

        The proposal is sent again, also over other peers, until an answer arrives. This is safe
        because a command that is applied twice gives the same result both times.

        :param total_timeout_s: how long to try, in seconds.
        :raises ControlUnavailable: when no answer arrives in time.
        """
        self.proposal_count += 1
        proposal = Propose(f"{self.hello.incarnation}-{self.proposal_count}", command)
        with anyio.move_on_after(total_timeout_s):
            while True:
                answer = await self._propose_once(proposal)
                if isinstance(answer, Proposed):
                    return answer.result
                await anyio.sleep(PROPOSAL_RETRY_DELAY_S * (0.5 + self.random.random()))
        raise ControlUnavailable(command.kind)

    async def ask_status(
        self, revision: int = 0, answer_timeout_s: float = STATUS_TIMEOUT_S
    ) -> StatusReport | None:
        """Return the status that the peer reports; ``None`` when no answer arrives in time."""
        report = await self.queries.ask(
            self.link, lambda query_id: QueryStatus(query_id, revision), answer_timeout_s
        )
        return report if isinstance(report, StatusReport) else None

    async def ask_addresses(self, availability_zone: str) -> AddressReport | None:
        """Ask the relay which entries callers in an availability zone should use."""
        report = await self.queries.ask(
            self.link,
            lambda query_id: QueryAddresses(query_id, availability_zone),
            ADDRESSES_TIMEOUT_S,
        )
        return report if isinstance(report, AddressReport) else None

    async def announce_now(self) -> None:
        """Send the current announcement to the peer immediately."""
        announce = self.announce()
        if announce is not None and self.link is not None:
            with suppress(LinkClosed):
                await self.link.send(announce)

    def check_lease(self) -> None:
        """Log and report a change of whether the view is usable."""
        confirmed = self.view.is_confirmed(anyio.current_time())
        if confirmed != self.is_view_confirmed:
            self.is_view_confirmed = confirmed
            kind = events.VIEW_CONFIRMED if confirmed else events.VIEW_EXPIRED
            self.log.emit(kind, revision=self.view.revision)
            self.on_lease_change(confirmed)

    async def _propose_once(self, proposal: Propose) -> Proposed | ProposalFailed | None:
        """Send a proposal and return its answer; ``None`` when none arrives in time."""
        while self.link is None:
            await self.linked.wait()
        sender, receiver = anyio.create_memory_object_stream[Proposed | ProposalFailed](1)
        self.proposal_answers[proposal.proposal_id] = sender
        try:
            with anyio.move_on_after(PROPOSAL_ANSWER_TIMEOUT_S):
                await self.link.send(proposal)
                return await receiver.receive()
        except (LinkClosed, anyio.EndOfStream):
            return None
        finally:
            self.proposal_answers.pop(proposal.proposal_id, None)
            sender.close()
            receiver.close()
        return None

    async def _connect(self, peer_address: Address) -> None:
        """Link to a peer until the link breaks or the peer stops granting leases."""
        with suppress(DialFailed, LinkClosed):
            async with self.dial(peer_address) as link:
                self.renewal_sent_at.clear()
                self.last_confirmed_at = anyio.current_time()
                await link.send(self.hello)
                await link.send(Subscribe(self.view.revision))
                try:
                    await self._run_link(link)
                finally:
                    self._set_link(None)

    async def _run_link(self, link: Link[ControlMessage]) -> None:
        """Receive messages on an open link, and renew the lease over it."""
        self._set_link(link)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._renew_lease, link, tasks.cancel_scope)
            with suppress(LinkClosed):
                await self._receive_messages(link)
            tasks.cancel_scope.cancel()

    async def _renew_lease(self, link: Link[ControlMessage], scope: anyio.CancelScope) -> None:
        """Renew the lease and the announcement; close the link when the peer grants no lease."""
        with suppress(LinkClosed):
            while anyio.current_time() - self.last_confirmed_at < CONFIRMATION_TIMEOUT_S:
                self.renewal_count += 1
                self.renewal_sent_at[self.renewal_count] = anyio.current_time()
                await link.send(RenewLease(self.renewal_count, self.view.revision))
                announce = self.announce()
                if announce is not None:
                    await link.send(announce)
                await anyio.sleep(LEASE_RENEWAL_INTERVAL_S)
        scope.cancel()

    async def _watch_lease(self) -> None:
        """Check periodically whether the lease has expired, also while no link is open."""
        while True:
            await anyio.sleep(LEASE_CHECK_INTERVAL_S)
            self.check_lease()

    async def _receive_messages(self, link: Link[ControlMessage]) -> None:
        """Handle the messages of a link until it closes."""
        while True:
            message = await link.receive()
            match message:
                case LeaseGrant():
                    self.on_lease_grant(message)
                case ViewDelta():
                    await self.on_view_delta(link, message)
                case MembershipDelta():
                    self.on_membership_delta(message)
                case Proposed() | ProposalFailed():
                    self.on_proposal_answer(message)
                case StatusReport() | AddressReport():
                    self.queries.on_report(message)
                case _:
                    pass

    def on_lease_grant(self, message: LeaseGrant) -> None:
        """Extend the lease, counted from when its renewal was sent."""
        sent_at = self.renewal_sent_at.pop(message.number, None)
        if sent_at is None or message.duration_s <= 0:
            return
        self.last_confirmed_at = anyio.current_time()
        self.view.on_grant(message, sent_at)
        self.check_lease()

    async def on_view_delta(self, link: Link[ControlMessage], message: ViewDelta) -> None:
        """Advance the view; subscribe again from its revision when changes are missing."""
        before = self.view.revision
        if not self.view.on_delta(message):
            await link.send(Subscribe(self.view.revision))
        elif self.view.revision != before:
            self.log.emit(events.VIEW_ADVANCED, revision=self.view.revision)
            self.on_view_change(self.view)
            self.check_lease()

    def on_proposal_answer(self, message: Proposed | ProposalFailed) -> None:
        """Pass an answer to its proposer; prefer the leader that a refusal names."""
        if isinstance(message, ProposalFailed) and message.leader in self.peer_addresses:
            self.preferred_peer = message.leader
        sender = self.proposal_answers.get(message.proposal_id)
        if sender is not None:
            with suppress(anyio.WouldBlock):
                sender.send_nowait(message)

    def _set_link(self, link: Link[ControlMessage] | None) -> None:
        """Set the link in use; without one, proposals in flight stop waiting and are sent again."""
        self.link = link
        if link is not None:
            self.linked.set()
            return
        self.linked = anyio.Event()
        for sender in self.proposal_answers.values():
            sender.close()
