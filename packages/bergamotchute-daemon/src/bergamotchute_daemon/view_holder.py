"""The view that a process holds, and how long it may be used."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotchute_model.control_messages import LeaseGrant, ViewDelta
from bergamotchute_model.view import DecisionInForce, FileInForce, ViewChange


@dataclass
class ViewHolder:
    """Files and decisions in force, as far as this process knows, and its lease on them.

    The view only moves forward: a delta of an older revision changes nothing. It may be used
    while the lease holds, and the lease counts only for a view that is at least as new as the
    quorum had committed when the lease was asked for.

    :param revision: the newest view revision applied.
    :param lease_revision: the view revision that the newest grant asks for.
    :param lease_expires_at: when the newest grant ends, on the runtime's clock.
    """

    revision: int = 0
    lease_revision: int = 0
    lease_expires_at: float = float("-inf")
    files: dict[str, FileInForce] = field(default_factory=dict)
    decisions: dict[str, DecisionInForce] = field(default_factory=dict)

    def on_delta(self, delta: ViewDelta) -> bool:
        """Apply a delta; return ``False`` when changes before it are missing."""
        if delta.base > self.revision:
            return False
        if delta.revision <= self.revision:
            return True
        for change in delta.changes:
            self._take(change)
        self.revision = delta.revision
        return True

    def on_grant(self, grant: LeaseGrant, sent_at: float) -> None:
        """Take a lease that was asked for at ``sent_at``."""
        self.lease_revision = max(self.lease_revision, grant.revision)
        self.lease_expires_at = max(self.lease_expires_at, sent_at + grant.duration_s)

    def is_confirmed(self, now: float) -> bool:
        """Return whether the view may be used."""
        return now < self.lease_expires_at and self.revision >= self.lease_revision

    def remaining_lease_s(self, now: float) -> float:
        """Return how long the view may still be used, in seconds; 0 when not at all."""
        return max(0.0, self.lease_expires_at - now) if self.is_confirmed(now) else 0.0

    def changes_since(self, revision: int) -> ViewDelta:
        """Return what a holder of ``revision`` lacks."""
        known: Iterable[ViewChange] = [*self.files.values(), *self.decisions.values()]
        changes = sorted(
            (change for change in known if change.revision > revision),
            key=lambda change: (change.revision, change.name),
        )
        return ViewDelta(revision, self.revision, tuple(changes))

    def _take(self, change: ViewChange) -> None:
        """Put one change in force unless a newer one is."""
        match change:
            case FileInForce():
                known = self.files.get(change.name)
                if known is None or known.revision < change.revision:
                    self.files[change.name] = change
            case DecisionInForce():
                decided = self.decisions.get(change.name)
                if decided is None or decided.revision < change.revision:
                    self.decisions[change.name] = change
