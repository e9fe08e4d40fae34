"""What a replica must never forget besides its log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class HardState:
    """A replica's durable promises.

    :param cluster: the cluster it belongs to; empty while it belongs to none.
    :param term: the newest term it has seen.
    :param voted_for: the replica it voted for in that term; empty for none.
    """

    cluster: str = ""
    term: int = 0
    voted_for: str = ""
