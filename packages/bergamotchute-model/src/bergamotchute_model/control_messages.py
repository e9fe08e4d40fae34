"""Messages between entries and agents, relays and control voters.

A child (entry or agent) talks to a relay; a relay talks to the voters. A relay holds the whole
view, answers its children from it, and carries their proposals to the leader.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from bergamotchute_model.commands import Command, CommandResult
from bergamotchute_model.hello import Hello
from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import EndpointAnnouncement, EntryAnnouncement
from bergamotchute_model.status_messages import AskStatus, StatusReport
from bergamotchute_model.view import ViewChange


@dataclass(frozen=True)
class Ping:
    """Either way: a heartbeat; the peer answers with :class:`Pong` of the same number."""

    number: int
    kind: Literal["ping"] = "ping"


@dataclass(frozen=True)
class Pong:
    """Either way: the answer to :class:`Ping`."""

    number: int
    kind: Literal["pong"] = "pong"


@dataclass(frozen=True)
class RenewLease:
    """Child to relay, and relay to voter: confirm my view.

    :param number: matches the grant; the sender measures the lease from when it sent this.
    :param revision: the newest revision the sender has applied.
    """

    number: int
    revision: int
    kind: Literal["renew_lease"] = "renew_lease"


@dataclass(frozen=True)
class LeaseGrant:
    """The view at ``revision`` is confirmed; the lease runs from when the renewal was sent.

    A holder whose own revision is lower than ``revision`` must catch up before it uses the lease.
    Revisions here are view revisions: those of the newest change that a view shows (a file or a
    decision), so that claims, which no view shows, need no delta.

    :param duration_s: how long the lease holds, in seconds.
    :param revision: the newest view revision that a quorum had committed after the renewal was
        sent.
    """

    number: int
    duration_s: float
    revision: int
    kind: Literal["lease_grant"] = "lease_grant"


@dataclass(frozen=True)
class ViewDelta:
    """Relay to child, and voter to relay: changes from ``base`` to ``revision``.

    :param base: the revision it applies to; 0 means that it holds the whole view.
    """

    base: int
    revision: int
    changes: tuple[ViewChange, ...]
    kind: Literal["view_delta"] = "view_delta"


@dataclass(frozen=True)
class Subscribe:
    """Child to relay, and relay to voter: send me changes after ``revision``; 0 for all."""

    revision: int
    kind: Literal["subscribe"] = "subscribe"


@dataclass(frozen=True)
class Propose:
    """Child to relay, and relay to voter: commit this command and tell me its result.

    :param proposal_id: unique over all proposers; a repeat gets the first result where it is
        still kept.
    """

    proposal_id: str
    command: Command
    kind: Literal["propose"] = "propose"


@dataclass(frozen=True)
class Proposed:
    """The command was committed and gave this result."""

    proposal_id: str
    revision: int
    result: CommandResult
    kind: Literal["proposed"] = "proposed"


@dataclass(frozen=True)
class ProposalFailed:
    """The command was not taken here.

    :param committed_maybe: whether it may still be committed.
    :param leader: whom to ask instead, where known.
    """

    proposal_id: str
    committed_maybe: bool
    detail: str
    leader: Address | None = None
    kind: Literal["proposal_failed"] = "proposal_failed"


@dataclass(frozen=True)
class Announce:
    """Child to relay: renew my membership."""

    endpoints: tuple[EndpointAnnouncement, ...] = ()
    entries: tuple[EntryAnnouncement, ...] = ()
    kind: Literal["announce"] = "announce"


@dataclass(frozen=True)
class MembershipDelta:
    """Relay to entry or relay: members that changed, and names that lapsed.

    Relays tell each other of entries and endpoints, but entries of endpoints alone.

    :param complete: the lists hold all that the receiver watches, not only changes.
    """

    endpoints: tuple[EndpointAnnouncement, ...] = ()
    entries: tuple[EntryAnnouncement, ...] = ()
    lapsed_endpoints: tuple[str, ...] = ()
    lapsed_entries: tuple[str, ...] = ()
    complete: bool = False
    kind: Literal["membership_delta"] = "membership_delta"


@dataclass(frozen=True)
class AskAddresses:
    """Child to relay: which entries should callers of this zone use?"""

    query_id: str
    availability_zone: str
    kind: Literal["ask_addresses"] = "ask_addresses"


@dataclass(frozen=True)
class AddressReport:
    """The answer to :class:`AskAddresses`.

    :param entries: candidates in order of preference, more than one answer needs.
    :param entry_count: how many entries there are in all.
    :param zone_rank: where the asking entry stands among those of its own zone, from 0, in the
        order of a hash of their names.
    :param zone_entries: how many these are.
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
    | AskAddresses
    | AddressReport
    | AskStatus
    | StatusReport
)
