"""A process's way up: to a relay for entries and agents, to a voter for relays."""

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
    AskAddresses,
    ControlMessage,
    LeaseGrant,
    MembershipDelta,
    ProposalFailed,
    Propose,
    Proposed,
    RenewLease,
    Subscribe,
    ViewDelta,
)
from bergamotchute_model.hello import Hello
from bergamotchute_model.identifiers import Address
from bergamotchute_model.status_messages import AskStatus, StatusReport
from bergamotchute_wire.link import Dial, DialFailed, Link, LinkClosed

LEASE_RENEWAL_INTERVAL_S = 1.0
"""How often the view lease is renewed."""

LEASE_CHECK_S = 0.25

UNCONFIRMED_LIMIT_S = 2.0
"""How long to stay with a peer that confirms nothing."""

PROPOSAL_RETRY_S = 0.1
"""Pause before a proposal that wasn't taken is sent again."""

STATUS_BOUND_S = 2.0

ADDRESSES_BOUND_S = 0.5

PROPOSAL_PATIENCE_S = 1.2
"""How long to wait for the answer to one sending of a proposal."""

OnMembership: TypeAlias = Callable[[MembershipDelta], None]
OnViewChange: TypeAlias = Callable[[ViewHolder], None]
OnLease: TypeAlias = Callable[[bool], None]


class ControlUnavailable(Exception):
    """No answer to a proposal came in time; it may be committed."""


@dataclass
class ControlClient:
    """Keeps a link to one of several peers, and the view fresh over it.

    :param peer_addresses: the peers.
    :param view: kept up to date here.
    :param announce: what to tell of this process at each renewal; ``None`` for nothing.
    :param on_membership_delta: told what the peer says of members.
    :param on_view_change: told when the view advanced.
    :param on_lease_change: told when the view becomes usable or stops being so.
    """

    peer_addresses: tuple[Address, ...]
    dial: Dial[ControlMessage]
    hello: Hello
    view: ViewHolder
    log: EventLog
    random: Random
    announce: Callable[[], Announce | None] = lambda: None
    on_membership_delta: OnMembership = lambda _: None
    on_view_change: OnViewChange = lambda _: None
    on_lease_change: OnLease = lambda _: None
    link: Link[ControlMessage] | None = None
    linked: anyio.Event = field(default_factory=anyio.Event)
    renewals: dict[int, float] = field(default_factory=dict)
    renewal_count: int = 0
    last_confirmed_at: float = 0.0
    proposals: dict[str, MemoryObjectSendStream[Proposed | ProposalFailed]] = field(
        default_factory=dict
    )
    proposal_count: int = 0
    queries: PendingQueries = field(default_factory=PendingQueries)
    preferred: Address | None = None
    confirmed: bool = False

    async def run(self) -> None:
        """Keep a link until cancelled, moving on from peers that fail or confirm nothing."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_lease)
            await self._follow_targets()

    async def _follow_targets(self) -> None:
        """Link to one peer after the other, from a random one on, so that peers share the load."""
        backoff = Backoff(self.random)
        position = self.random.randrange(len(self.peer_addresses))
        while True:
            target = self.preferred or self.peer_addresses[position % len(self.peer_addresses)]
            self.preferred = None
            started_at = anyio.current_time()
            await self._connect(target)
            if self.last_confirmed_at > started_at:
                backoff.reset()
            position += 1
            await anyio.sleep(backoff.next_delay())

    async def propose(self, command: Command, bound_s: float) -> CommandResult:
        """Have a command committed.

        It is sent again, over other peers too, until an answer comes: every command gives the
        same result when it is applied twice.

        :param bound_s: how long to try, in seconds.
        :raises ControlUnavailable: when no answer came in time.
        """
        self.proposal_count += 1
        proposal = Propose(f"{self.hello.incarnation}-{self.proposal_count}", command)
        with anyio.move_on_after(bound_s):
            while True:
                answer = await self._propose_once(proposal)
                if isinstance(answer, Proposed):
                    return answer.result
                await anyio.sleep(PROPOSAL_RETRY_S * (0.5 + self.random.random()))
        raise ControlUnavailable(command.kind)

    async def ask_status(
        self, revision: int = 0, answer_timeout_s: float = STATUS_BOUND_S
    ) -> StatusReport | None:
        """Ask the peer how things stand; ``None`` when no answer came in time."""
        report = await self.queries.ask(
            self.link, lambda query_id: AskStatus(query_id, revision), answer_timeout_s
        )
        return report if isinstance(report, StatusReport) else None

    async def ask_addresses(self, availability_zone: str) -> AddressReport | None:
        """Ask the relay which entries callers of a zone should use."""
        report = await self.queries.ask(
            self.link, lambda query_id: AskAddresses(query_id, availability_zone), ADDRESSES_BOUND_S
        )
        return report if isinstance(report, AddressReport) else None

    async def announce_now(self) -> None:
        """Tell the peer of a change at once."""
        announce = self.announce()
        if announce is not None and self.link is not None:
            with suppress(LinkClosed):
                await self.link.send(announce)

    def check_lease(self) -> None:
        """Log when the view becomes usable or stops being so."""
        confirmed = self.view.is_confirmed(anyio.current_time())
        if confirmed != self.confirmed:
            self.confirmed = confirmed
            kind = events.VIEW_CONFIRMED if confirmed else events.VIEW_EXPIRED
            self.log.emit(kind, revision=self.view.revision)
            self.on_lease_change(confirmed)

    async def _propose_once(self, proposal: Propose) -> Proposed | ProposalFailed | None:
        """Send a proposal and wait for its answer; return ``None`` when none came."""
        while self.link is None:
            await self.linked.wait()
        sender, receiver = anyio.create_memory_object_stream[Proposed | ProposalFailed](1)
        self.proposals[proposal.proposal_id] = sender
        try:
            with anyio.move_on_after(PROPOSAL_PATIENCE_S):
                await self.link.send(proposal)
                return await receiver.receive()
        except (LinkClosed, anyio.EndOfStream):
            return None
        finally:
            self.proposals.pop(proposal.proposal_id, None)
            sender.close()
            receiver.close()
        return None

    async def _connect(self, target: Address) -> None:
        """Open a link to a peer and serve it until it breaks or stops confirming."""
        with suppress(DialFailed, LinkClosed):
            async with self.dial(target) as link:
                self.renewals.clear()
                self.last_confirmed_at = anyio.current_time()
                await link.send(self.hello)
                await link.send(Subscribe(self.view.revision))
                try:
                    await self._run_link(link)
                finally:
                    self._set_link(None)

    async def _run_link(self, link: Link[ControlMessage]) -> None:
        """Serve an open link, and renew over it."""
        self._set_link(link)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._renew, link, tasks.cancel_scope)
            with suppress(LinkClosed):
                await self._serve(link)
            tasks.cancel_scope.cancel()

    async def _renew(self, link: Link[ControlMessage], scope: anyio.CancelScope) -> None:
        """Renew the lease and the announcement; give up a peer that confirms nothing."""
        with suppress(LinkClosed):
            while anyio.current_time() - self.last_confirmed_at < UNCONFIRMED_LIMIT_S:
                self.renewal_count += 1
                self.renewals[self.renewal_count] = anyio.current_time()
                await link.send(RenewLease(self.renewal_count, self.view.revision))
                announce = self.announce()
                if announce is not None:
                    await link.send(announce)
                await anyio.sleep(LEASE_RENEWAL_INTERVAL_S)
        scope.cancel()

    async def _watch_lease(self) -> None:
        """Notice when the lease lapses, link or no link."""
        while True:
            await anyio.sleep(LEASE_CHECK_S)
            self.check_lease()

    async def _serve(self, link: Link[ControlMessage]) -> None:
        """Read the link until it closes."""
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
        """Extend the lease from when its renewal was sent."""
        sent_at = self.renewals.pop(message.number, None)
        if sent_at is None or message.duration_s <= 0:
            return
        self.last_confirmed_at = anyio.current_time()
        self.view.on_grant(message, sent_at)
        self.check_lease()

    async def on_view_delta(self, link: Link[ControlMessage], message: ViewDelta) -> None:
        """Advance the view; ask again from here when changes are missing."""
        before = self.view.revision
        if not self.view.on_delta(message):
            await link.send(Subscribe(self.view.revision))
        elif self.view.revision != before:
            self.log.emit(events.VIEW_ADVANCED, revision=self.view.revision)
            self.on_view_change(self.view)
            self.check_lease()

    def on_proposal_answer(self, message: Proposed | ProposalFailed) -> None:
        """Give an answer to who waits for it; follow the way to the leader."""
        if isinstance(message, ProposalFailed) and message.leader in self.peer_addresses:
            self.preferred = message.leader
        sender = self.proposals.get(message.proposal_id)
        if sender is not None:
            with suppress(anyio.WouldBlock):
                sender.send_nowait(message)

    def _set_link(self, link: Link[ControlMessage] | None) -> None:
        """Take a link into use, or none; proposals under way are sent again."""
        self.link = link
        if link is not None:
            self.linked.set()
            return
        self.linked = anyio.Event()
        for sender in self.proposals.values():
            sender.close()
