"""Snapshots: the state machine's whole state at one index."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotchute_consensus.membership import Membership


@dataclass(frozen=True)
class Snapshot:
    """All that the log up to ``index`` amounts to.

    :param term: the term of the entry at ``index``.
    :param membership: the membership in force at ``index``.
    :param data: the state machine's state; opaque here.
    """

    index: int = 0
    term: int = 0
    membership: Membership = field(default_factory=Membership)
    data: bytes = b""
