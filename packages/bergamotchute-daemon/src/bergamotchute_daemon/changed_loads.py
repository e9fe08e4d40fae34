"""Loads and paces of endpoints that a control VM was told and has yet to pass on in a batch."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import LoadsReported


@dataclass
class _Batch:
    """The newest load, and the pace where one was told, of each endpoint in reports."""

    loads: dict[Address, int] = field(default_factory=dict)
    paces: dict[Address, float] = field(default_factory=dict)

    def add(self, report: LoadsReported) -> None:
        """Add a report; it replaces what earlier ones said of the same endpoints."""
        self.loads.update(report.loads)
        self.paces.update(report.paces)

    def merged_with(self, newer: _Batch) -> _Batch:
        """Return both batches; ``newer`` takes precedence."""
        return _Batch(self.loads | newer.loads, self.paces | newer.paces)

    def message(self) -> LoadsReported:
        """Return the batch as a message."""
        return LoadsReported(tuple(self.loads.items()), tuple(self.paces.items()))


@dataclass
class ChangedLoads:
    """The loads that were reported since they were last taken.

    :param local: loads that followers of this control VM reported.
    :param from_peers: loads that other control VMs reported.
    """

    local: _Batch = field(default_factory=_Batch)
    from_peers: _Batch = field(default_factory=_Batch)

    def add(self, report: LoadsReported, is_from_peer: bool) -> None:
        """Record the loads in a report."""
        (self.from_peers if is_from_peer else self.local).add(report)

    def take(self) -> tuple[LoadsReported | None, LoadsReported | None]:
        """Return the messages for the other control VMs and for entries; ``None`` for no news.

        Both are the same object if only followers of this control VM reported, so that links encode
        it once.
        """
        local, self.local = self.local, _Batch()
        from_peers, self.from_peers = self.from_peers, _Batch()
        for_peers = local.message() if local.loads else None
        if not from_peers.loads and not from_peers.paces:
            return for_peers, for_peers
        has_news = bool(local.loads or from_peers.loads)
        return for_peers, from_peers.merged_with(local).message() if has_news else None
