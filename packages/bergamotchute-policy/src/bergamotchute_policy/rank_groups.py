"""Rank groups as an entry sees them: where one rank stands still, all of them do.

Load pattern: a rank dies or a group is held at the crest. Each request sent there loses a second
before it is tried elsewhere, and most of the other ranks of the group are the emptiest choice.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotchute_model.identifiers import Address

STALL_BASE_S = 0.4
STALL_MAX_S = 2.0
"""First and longest time for which a group that stood still gets no new request."""


@dataclass
class _Group:
    """One group.

    :param stalls: silences since one of its ranks went on.
    :param stalled_until: when it may get new requests, on the runtime's clock.
    """

    open: bool = True
    stalls: int = 0
    stalled_until: float = 0.0


@dataclass
class RankGroups:
    """The groups of the endpoints that are ranks.

    :param names: the group of the endpoint at an address.
    """

    names: dict[Address, str] = field(default_factory=dict)
    groups: dict[str, _Group] = field(default_factory=dict)

    def on_place(self, endpoint: Address, group: str, takes_work: bool) -> bool:
        """Note an endpoint's group and whether that is open; return whether this is news."""
        known = self.groups.setdefault(group, _Group())
        news = self.names.get(endpoint) != group or known.open != takes_work
        self.names[endpoint] = group
        if takes_work and not known.open:
            known.stalls = 0
            known.stalled_until = 0.0
        known.open = takes_work
        return news

    def is_stalled(self, endpoint: Address, now: float) -> bool:
        """Return whether the endpoint's group is taken to stand still."""
        group = self.groups.get(self.names.get(endpoint, ""))
        return group is not None and (not group.open or group.stalled_until > now)

    def on_silence(self, endpoint: Address, now: float) -> None:
        """Note that a rank did not go on; each silence in a row counts for longer."""
        group = self.groups.get(self.names.get(endpoint, ""))
        if group is not None:
            stall_s = min(STALL_MAX_S, STALL_BASE_S * 2.0**group.stalls)
            group.stalls += 1
            group.stalled_until = max(group.stalled_until, now + stall_s)

    def on_progress(self, endpoint: Address) -> None:
        """Note that a rank went on."""
        group = self.groups.get(self.names.get(endpoint, ""))
        if group is not None:
            group.stalls = 0
            group.stalled_until = 0.0
