"""The view that a process holds, and the lease on it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotchute_model.control_messages import LeaseGrant, ViewDelta
from bergamotchute_model.view import DecisionInForce, FileInForce, ViewChange


@dataclass
class ViewHolder:
    """Files and decisions in force, as far as this process knows, and its lease on them.

    The view never goes back: a delta to an older revision changes nothing. The view may be used
    until the lease expires. The lease is valid only for a view that is at least as new as what
    the quorum had committed when the lease was requested.

    :param revision: the newest view revision applied.
    :param lease_min_revision: the oldest view revision for which the lease is valid.
    :param lease_expires_at: when the lease expires, on the runtime's clock in seconds.
    """

    revision: int = 0
    lease_min_revision: int = 0
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
            self._apply_change(change)
        self.revision = delta.revision
        return True

    def on_grant(self, grant: LeaseGrant, sent_at: float) -> None:
        """Extend the lease by a grant whose renewal was sent at ``sent_at``."""
        self.lease_min_revision = max(self.lease_min_revision, grant.revision)
        self.lease_expires_at = max(self.lease_expires_at, sent_at + grant.duration_s)

    def is_confirmed(self, now: float) -> bool:
        """Return whether the view may be used."""
        return now < self.lease_expires_at and self.revision >= self.lease_min_revision

    def remaining_lease_s(self, now: float) -> float:
        """Return how long the view may still be used, in seconds; 0 if it may not be used."""
        return max(0.0, self.lease_expires_at - now) if self.is_confirmed(now) else 0.0

    def changes_since(self, revision: int) -> ViewDelta:
        """Return the changes after ``revision``."""
        known: Iterable[ViewChange] = [*self.files.values(), *self.decisions.values()]
        changes = sorted(
            (change for change in known if change.revision > revision),
            key=lambda change: (change.revision, change.name),
        )
        return ViewDelta(revision, self.revision, tuple(changes))

    def _apply_change(self, change: ViewChange) -> None:
        """Put a change in force, unless a newer one of the same name is."""
        match change:
            case FileInForce():
                known = self.files.get(change.name)
                if known is None or known.revision < change.revision:
                    self.files[change.name] = change
            case DecisionInForce():
                decision = self.decisions.get(change.name)
                if decision is None or decision.revision < change.revision:
                    self.decisions[change.name] = change
