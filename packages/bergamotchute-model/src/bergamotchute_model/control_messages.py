"""Messages between entries and agents, relays and control voters.

A child (entry or agent) connects to a relay, and a relay connects to the voters. A relay holds the
whole view, serves its children from it, and forwards their proposals to the leader.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from bergamotchute_model.commands import Command, CommandResult
from bergamotchute_model.hello import Hello
from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import EndpointAnnouncement, EntryAnnouncement
from bergamotchute_model.status_messages import QueryStatus, StatusReport
from bergamotchute_model.view import ViewChange


@dataclass(frozen=True)
class Ping:
    """Either direction: a heartbeat; the peer replies with a :class:`Pong` of the same number."""

    number: int
    kind: Literal["ping"] = "ping"


@dataclass(frozen=True)
class Pong:
    """Either direction: the reply to a :class:`Ping`."""

    number: int
    kind: Literal["pong"] = "pong"


@dataclass(frozen=True)
class RenewLease:
    """Child to relay, and relay to voter: renew the lease on the sender's view.

    :param number: identifies the renewal in its grant; the sender counts the lease from the time at
        which it sent this message.
    :param revision: the newest revision that the sender has applied.
    """

    number: int
    revision: int
    kind: Literal["renew_lease"] = "renew_lease"


@dataclass(frozen=True)
class LeaseGrant:
    """Reply to :class:`RenewLease`: the view at ``revision`` is confirmed.

    The lease starts at the time at which the renewal was sent. A holder whose own revision is lower
    than ``revision`` must catch up before it uses the lease. Revisions here are view revisions,
    those of the newest change that a view contains (a file or a decision). Claims are not part of a
    view, so they need no delta.

    :param duration_s: duration of the lease, in seconds.
    :param revision: the newest committed view revision, read from a quorum after the renewal was
        sent.
    """

    number: int
    duration_s: float
    revision: int
    kind: Literal["lease_grant"] = "lease_grant"


@dataclass(frozen=True)
class ViewDelta:
    """Relay to child, and voter to relay: changes from ``base`` to ``revision``.

    :param base: the revision that the changes apply to; 0 means that they are the whole view.
    """

    base: int
    revision: int
    changes: tuple[ViewChange, ...]
    kind: Literal["view_delta"] = "view_delta"


@dataclass(frozen=True)
class Subscribe:
    """Child to relay, and relay to voter: subscribe to changes after ``revision``; 0 for all."""

    revision: int
    kind: Literal["subscribe"] = "subscribe"


@dataclass(frozen=True)
class Propose:
    """Child to relay, and relay to voter: commit a command and return its result.

    :param proposal_id: unique across all proposers; a repeated proposal gets the first result if it
        is still stored.
    """

    proposal_id: str
    command: Command
    kind: Literal["propose"] = "propose"


@dataclass(frozen=True)
class Proposed:
    """Reply to :class:`Propose`: the command was committed, with its result."""

    proposal_id: str
    revision: int
    result: CommandResult
    kind: Literal["proposed"] = "proposed"


@dataclass(frozen=True)
class ProposalFailed:
    """Reply to :class:`Propose`: the receiver did not commit the command.

    :param committed_maybe: whether the command may still be committed.
    :param leader: address of the leader, if known, to send the proposal to instead.
    """

    proposal_id: str
    committed_maybe: bool
    detail: str
    leader: Address | None = None
    kind: Literal["proposal_failed"] = "proposal_failed"


@dataclass(frozen=True)
class Announce:
    """Child to relay: renew the sender's membership."""

    endpoints: tuple[EndpointAnnouncement, ...] = ()
    entries: tuple[EntryAnnouncement, ...] = ()
    kind: Literal["announce"] = "announce"


@dataclass(frozen=True)
class MembershipDelta:
    """Relay to entry or relay: changed members, and names of members whose lease lapsed.

    Relays send each other entries and endpoints; they send entries only endpoints.

    :param complete: whether the lists are the complete membership for the receiver rather than
        changes.
    """

    endpoints: tuple[EndpointAnnouncement, ...] = ()
    entries: tuple[EntryAnnouncement, ...] = ()
    lapsed_endpoints: tuple[str, ...] = ()
    lapsed_entries: tuple[str, ...] = ()
    complete: bool = False
    kind: Literal["membership_delta"] = "membership_delta"


@dataclass(frozen=True)
class QueryAddresses:
    """Child to relay: ask which entries callers of an availability zone should use."""

    query_id: str
    availability_zone: str
    kind: Literal["ask_addresses"] = "ask_addresses"


@dataclass(frozen=True)
class AddressReport:
    """Reply to :class:`QueryAddresses`.

    :param entries: candidates in order of preference, more than a single address answer contains.
    :param entry_count: total count of entries.
    :param zone_rank: index of the asking entry among the entries of its zone, from 0, ordered by a
        hash of their names.
    :param zone_entries: count of the entries in that zone.
    """

    query_id: str
    entries: tuple[EntryAnnouncement, ...]
    entry_count: int
    zone_rank: int = 0
    zone_entries: int = 1
    kind: Literal["address_report"] = "address_report"


ControlMessage = (
    Hello
    | Ping
    | Pong
    | RenewLease
    | LeaseGrant
    | ViewDelta
    | Subscribe
    | Propose
    | Proposed
    | ProposalFailed
    | Announce
    | MembershipDelta
    | QueryAddresses
    | AddressReport
    | QueryStatus
    | StatusReport
)
