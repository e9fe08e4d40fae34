"""Snapshots of the whole state machine at one log index."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotchute_consensus.membership import Membership


@dataclass(frozen=True)
class Snapshot:
    """The state that results from the log up to ``index``.

    :param term: the term of the entry at ``index``.
    :param membership: the membership in effect at ``index``.
    :param data: the encoded state of the state machine; opaque here.
    """

    index: int = 0
    term: int = 0
    membership: Membership = field(default_factory=Membership)
    data: bytes = b""
