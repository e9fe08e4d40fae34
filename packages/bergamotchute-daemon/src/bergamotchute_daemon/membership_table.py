"""Members known to one relay: its own children by lease, others as reported by peer relays."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from bergamotchute_model.control_messages import Announce, MembershipDelta
from bergamotchute_model.membership import EndpointAnnouncement, EntryAnnouncement

MEMBER_LEASE_S = 4.0
"""How long a member stays listed after its last announcement."""

PEER_GRACE_S = 8.0
"""How long members of a lost peer relay stay listed, so that they can announce elsewhere."""

Announcement = EndpointAnnouncement | EntryAnnouncement


@dataclass
class Member:
    """One member and the expiry of its announcement.

    :param source: peer relay that reported the member; empty for an own child.
    :param lapses_at: when the member lapses, on the runtime's clock, in seconds.
    """

    announcement: Announcement
    source: str
    lapses_at: float


@dataclass
class MembershipTable:
    """Endpoints and entries by name; each update returns the resulting changes.

    The incarnation that was heard of last replaces another one, whose late announcements are
    dropped, as are those with an older sequence number. What a peer reports may itself be late, so
    an incarnation that goes on announcing itself to this relay takes its place back.

    :param replaced_incarnations: the newest replaced incarnation, by member.
    :param contested: by member, when the first announcement lapses that a replaced incarnation sent
        to this relay since a peer's report replaced it, on the runtime's clock, in seconds.
    """

    members: dict[str, Member] = field(default_factory=dict)
    replaced_incarnations: dict[str, str] = field(default_factory=dict)
    contested: dict[str, float] = field(default_factory=dict)

    def on_announce(self, announce: Announce, now: float) -> MembershipDelta:
        """Renew the leases of own children; return the changes."""
        return self._apply_announcements(
            announce.endpoints, announce.entries, "", now + MEMBER_LEASE_S
        )

    def on_peer_membership(self, peer: str, delta: MembershipDelta) -> MembershipDelta:
        """Apply a peer relay's report of its children; return the changes."""
        lapsed = [*delta.lapsed_endpoints, *delta.lapsed_entries]
        if delta.complete:
            named = {member.endpoint for member in delta.endpoints}
            named |= {member.entry for member in delta.entries}
            reported = [name for name, member in self.members.items() if member.source == peer]
            lapsed += [name for name in reported if name not in named]
        gone = [name for name in lapsed if self._source_of(name) == peer]
        changed = self._apply_announcements(delta.endpoints, delta.entries, peer, float("inf"))
        return _merge_deltas(changed, self._drop_members(gone))

    def on_peer_lost(self, peer: str, now: float) -> None:
        """Let the members of a lost peer lapse unless they announce themselves in time."""
        for member in self.members.values():
            if member.source == peer:
                member.lapses_at = min(member.lapses_at, now + PEER_GRACE_S)

    def drop_lapsed_members(self, now: float) -> MembershipDelta:
        """Drop lapsed members; return the changes."""
        return self._drop_members(
            [name for name, member in self.members.items() if member.lapses_at <= now]
        )

    def all_members(self) -> MembershipDelta:
        """Return every member."""
        return _make_delta([member.announcement for member in self.members.values()], complete=True)

    def own_children(self) -> MembershipDelta:
        """Return the members that announce themselves to this relay."""
        own = [member.announcement for member in self.members.values() if not member.source]
        return _make_delta(own, complete=True)

    def entries(self) -> list[EntryAnnouncement]:
        """Return the entries announced to this relay and to peer relays."""
        members = (member.announcement for member in self.members.values())
        return [
            announcement for announcement in members if isinstance(announcement, EntryAnnouncement)
        ]

    def _source_of(self, name: str) -> str | None:
        member = self.members.get(name)
        return None if member is None else member.source

    def _apply_announcements(
        self,
        endpoints: Iterable[EndpointAnnouncement],
        entries: Iterable[EntryAnnouncement],
        source: str,
        until: float,
    ) -> MembershipDelta:
        announcements: list[Announcement] = [*endpoints, *entries]
        changed = [
            announcement
            for announcement in announcements
            if self._apply_announcement(announcement, source, until)
        ]
        return _make_delta(changed)

    def _apply_announcement(self, announcement: Announcement, source: str, until: float) -> bool:
        """Apply an announcement; return whether it is a change that others must receive."""
        name = member_name(announcement)
        incarnation = member_incarnation(announcement)
        known = self.members.get(name)
        if self.replaced_incarnations.get(name) == incarnation:
            if source or not self._takes_place_back(name, announcement, until):
                return False
            del self.replaced_incarnations[name]
            del self.contested[name]
        if known is None:
            self.members[name] = Member(announcement, source, until)
            return True
        if member_incarnation(known.announcement) != incarnation:
            self.replaced_incarnations[name] = member_incarnation(known.announcement)
            self.contested.pop(name, None)
        elif announcement.sequence < known.announcement.sequence or (
            announcement.sequence == known.announcement.sequence and known.source != source
        ):
            return False
        changed = (
            not _equal_except_sequence(known.announcement, announcement) or known.source != source
        )
        self.members[name] = Member(announcement, source, until)
        return changed

    def _takes_place_back(self, name: str, announcement: Announcement, until: float) -> bool:
        """Return whether a replaced incarnation has announced itself here for a whole lease.

        Late announcements of a process that ended come within a shorter time. Of two that announce
        themselves to this relay the later one stays, as does one that is not draining.
        """
        known = self.members.get(name)
        if announcement.draining or (known is not None and not known.source):
            return False
        return until - self.contested.setdefault(name, until) >= MEMBER_LEASE_S

    def _drop_members(self, names: Iterable[str]) -> MembershipDelta:
        dropped = [self.members.pop(name).announcement for name in names]
        endpoints = tuple(m.endpoint for m in dropped if isinstance(m, EndpointAnnouncement))
        entries = tuple(m.entry for m in dropped if isinstance(m, EntryAnnouncement))
        return MembershipDelta(lapsed_endpoints=endpoints, lapsed_entries=entries)


def member_name(announcement: Announcement) -> str:
    """Return the name of an endpoint or entry."""
    if isinstance(announcement, EndpointAnnouncement):
        return announcement.endpoint
    return announcement.entry


def member_incarnation(announcement: Announcement) -> str:
    """Return the identifier of a member's current run, which changes with each start."""
    if isinstance(announcement, EndpointAnnouncement):
        return announcement.incarnation
    return announcement.epoch


def is_empty_delta(delta: MembershipDelta) -> bool:
    """Return whether a delta contains no information."""
    parts = (delta.endpoints, delta.entries, delta.lapsed_endpoints, delta.lapsed_entries)
    return not delta.complete and not any(parts)


def endpoints_only(delta: MembershipDelta) -> MembershipDelta:
    """Return the part of a delta that concerns endpoints."""
    return replace(delta, entries=(), lapsed_entries=())


def _equal_except_sequence(first: Announcement, second: Announcement) -> bool:
    """Return whether two announcements are equal apart from their sequence numbers."""
    fields = vars(first) | {"sequence": 0}
    return type(first) is type(second) and fields == vars(second) | {"sequence": 0}


def _make_delta(members: list[Announcement], complete: bool = False) -> MembershipDelta:
    endpoints = tuple(m for m in members if isinstance(m, EndpointAnnouncement))
    entries = tuple(m for m in members if isinstance(m, EntryAnnouncement))
    return MembershipDelta(endpoints, entries, complete=complete)


def _merge_deltas(first: MembershipDelta, second: MembershipDelta) -> MembershipDelta:
    return MembershipDelta(
        first.endpoints + second.endpoints,
        first.entries + second.entries,
        first.lapsed_endpoints + second.lapsed_endpoints,
        first.lapsed_entries + second.lapsed_entries,
    )
