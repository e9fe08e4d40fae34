"""Tracks stalled rank groups at an entry: if one rank stalls, all ranks of its group do.

When a rank dies or a group is held during peak load, each request sent to the group loses a second
before it is retried elsewhere. The other ranks of the group would attract more requests, as most
of them appear to be the least loaded.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotchute_model.identifiers import Address

INITIAL_STALL_S = 0.4
MAX_STALL_S = 2.0
"""Shortest and longest time for which a stalled group gets no new requests."""


@dataclass
class _GroupState:
    """The stall state of one group.

    :param open: whether the group takes work.
    :param consecutive_stalls: stalls since one of its ranks last made progress.
    :param stalled_until: when the group may get new requests again, in seconds on the runtime's
        clock.
    """

    open: bool = True
    consecutive_stalls: int = 0
    stalled_until: float = 0.0


@dataclass
class RankGroupTracker:
    """Tracks which rank groups are closed or stalled.

    :param group_names: name of the group of each endpoint, by the endpoint's address.
    """

    group_names: dict[Address, str] = field(default_factory=dict)
    groups: dict[str, _GroupState] = field(default_factory=dict)

    def on_group_state(self, endpoint: Address, group: str, takes_work: bool) -> bool:
        """Record the group of an endpoint and whether it takes work; return whether this is new."""
        known = self.groups.setdefault(group, _GroupState())
        is_changed = self.group_names.get(endpoint) != group or known.open != takes_work
        self.group_names[endpoint] = group
        if takes_work and not known.open:
            known.consecutive_stalls = 0
            known.stalled_until = 0.0
        known.open = takes_work
        return is_changed

    def is_stalled(self, endpoint: Address, now: float) -> bool:
        """Return whether the endpoint's group is closed or assumed to be stalled."""
        group = self.groups.get(self.group_names.get(endpoint, ""))
        return group is not None and (not group.open or group.stalled_until > now)

    def on_rank_stalled(self, endpoint: Address, now: float) -> None:
        """Mark the rank's group as stalled, for longer with each consecutive stall."""
        group = self.groups.get(self.group_names.get(endpoint, ""))
        if group is not None:
            stall_s = min(MAX_STALL_S, INITIAL_STALL_S * 2.0**group.consecutive_stalls)
            group.consecutive_stalls += 1
            group.stalled_until = max(group.stalled_until, now + stall_s)

    def on_rank_progress(self, endpoint: Address) -> None:
        """Clear the stall of the rank's group, as the rank made progress."""
        group = self.groups.get(self.group_names.get(endpoint, ""))
        if group is not None:
            group.consecutive_stalls = 0
            group.stalled_until = 0.0
