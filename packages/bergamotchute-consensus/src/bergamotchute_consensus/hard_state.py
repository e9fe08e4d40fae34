"""Durable state of a replica besides its log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class HardState:
    """State that must be durable before a replica acts on it.

    :param cluster: the cluster that the replica belongs to; empty for none.
    :param term: the newest term that the replica has seen.
    :param voted_for: the replica that got the vote in that term; empty for none.
    """

    cluster: str = ""
    term: int = 0
    voted_for: str = ""
