"""Members as one relay knows them: its own children by lease, the others by its peers' word."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from bergamotchute_model.control_messages import Announce, MembershipDelta
from bergamotchute_model.membership import EndpointAnnouncement, EntryAnnouncement

MEMBER_LEASE_S = 4.0
"""How long a member stays after its last announcement."""

PEER_GRACE_S = 8.0
"""How long the members of a lost peer relay stay, so that they can announce elsewhere."""

Announcement = EndpointAnnouncement | EntryAnnouncement


@dataclass
class Member:
    """One member and until when it counts.

    :param source: the peer relay that told of it; empty for an own child.
    :param until: when it lapses, on the runtime's clock.
    """

    announcement: Announcement
    source: str
    until: float


@dataclass
class MembershipTable:
    """Endpoints and entries by name, with what changed since last asked.

    A later incarnation replaces an earlier one for good: late words of the earlier one are
    dropped, as are those with an older sequence number.
    """

    members: dict[str, Member] = field(default_factory=dict)
    retired: dict[str, str] = field(default_factory=dict)

    def on_announce(self, announce: Announce, now: float) -> MembershipDelta:
        """Renew own children; return what changed."""
        return self._take(announce.endpoints, announce.entries, "", now + MEMBER_LEASE_S)

    def on_peer_membership(self, peer: str, delta: MembershipDelta) -> MembershipDelta:
        """Take a peer relay's word about its children; return what changed."""
        lapsed = [*delta.lapsed_endpoints, *delta.lapsed_entries]
        if delta.complete:
            named = {member.endpoint for member in delta.endpoints}
            named |= {member.entry for member in delta.entries}
            told = [name for name, member in self.members.items() if member.source == peer]
            lapsed += [name for name in told if name not in named]
        gone = [name for name in lapsed if self._source(name) == peer]
        changed = self._take(delta.endpoints, delta.entries, peer, float("inf"))
        return _join(changed, self._drop(gone))

    def on_peer_lost(self, peer: str, now: float) -> None:
        """Let the members of a lost peer lapse unless they announce themselves in time."""
        for member in self.members.values():
            if member.source == peer:
                member.until = min(member.until, now + PEER_GRACE_S)

    def drop_lapsed_members(self, now: float) -> MembershipDelta:
        """Drop what lapsed; return it."""
        return self._drop([name for name, member in self.members.items() if member.until <= now])

    def all_members(self) -> MembershipDelta:
        """Return every member."""
        return _delta([member.announcement for member in self.members.values()], complete=True)

    def own_children(self) -> MembershipDelta:
        """Return the members that announce themselves here."""
        own = [member.announcement for member in self.members.values() if not member.source]
        return _delta(own, complete=True)

    def entries(self) -> list[EntryAnnouncement]:
        """Return the entries, from here and from other relays."""
        members = (member.announcement for member in self.members.values())
        return [one for one in members if isinstance(one, EntryAnnouncement)]

    def _source(self, name: str) -> str | None:
        member = self.members.get(name)
        return None if member is None else member.source

    def _take(
        self,
        endpoints: Iterable[EndpointAnnouncement],
        entries: Iterable[EntryAnnouncement],
        source: str,
        until: float,
    ) -> MembershipDelta:
        announcements: list[Announcement] = [*endpoints, *entries]
        changed = [one for one in announcements if self._take_one(one, source, until)]
        return _delta(changed)

    def _take_one(self, announcement: Announcement, source: str, until: float) -> bool:
        """Take one announcement; return whether others must hear of it."""
        name = member_name(announcement)
        life = member_life(announcement)
        known = self.members.get(name)
        if self.retired.get(name) == life:
            return False
        if known is None:
            self.members[name] = Member(announcement, source, until)
            return True
        if member_life(known.announcement) != life:
            self.retired[name] = member_life(known.announcement)
        elif announcement.sequence < known.announcement.sequence or (
            announcement.sequence == known.announcement.sequence and known.source != source
        ):
            return False
        changed = not _same(known.announcement, announcement) or known.source != source
        self.members[name] = Member(announcement, source, until)
        return changed

    def _drop(self, names: Iterable[str]) -> MembershipDelta:
        dropped = [self.members.pop(name).announcement for name in names]
        endpoints = tuple(m.endpoint for m in dropped if isinstance(m, EndpointAnnouncement))
        entries = tuple(m.entry for m in dropped if isinstance(m, EntryAnnouncement))
        return MembershipDelta(lapsed_endpoints=endpoints, lapsed_entries=entries)


def member_name(announcement: Announcement) -> str:
    """Return the name of an endpoint or entry."""
    if isinstance(announcement, EndpointAnnouncement):
        return announcement.endpoint
    return announcement.entry


def member_life(announcement: Announcement) -> str:
    """Return what differs from start to start."""
    if isinstance(announcement, EndpointAnnouncement):
        return announcement.incarnation
    return announcement.epoch


def is_empty_delta(delta: MembershipDelta) -> bool:
    """Return whether a delta says nothing."""
    parts = (delta.endpoints, delta.entries, delta.lapsed_endpoints, delta.lapsed_entries)
    return not delta.complete and not any(parts)


def endpoints_only(delta: MembershipDelta) -> MembershipDelta:
    """Return what a delta says of endpoints."""
    return replace(delta, entries=(), lapsed_entries=())


def _same(first: Announcement, second: Announcement) -> bool:
    """Return whether two announcements say the same, apart from their sequence numbers."""
    fields = vars(first) | {"sequence": 0}
    return type(first) is type(second) and fields == vars(second) | {"sequence": 0}


def _delta(members: list[Announcement], complete: bool = False) -> MembershipDelta:
    endpoints = tuple(m for m in members if isinstance(m, EndpointAnnouncement))
    entries = tuple(m for m in members if isinstance(m, EntryAnnouncement))
    return MembershipDelta(endpoints, entries, complete=complete)


def _join(first: MembershipDelta, second: MembershipDelta) -> MembershipDelta:
    return MembershipDelta(
        first.endpoints + second.endpoints,
        first.entries + second.entries,
        first.lapsed_endpoints + second.lapsed_endpoints,
        first.lapsed_entries + second.lapsed_entries,
    )
