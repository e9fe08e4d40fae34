"""What a platform's adapter tells about calls to a rank."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bergamotchute_model.node_messages import RankOrder, RankStatus


@dataclass(frozen=True)
class RankCall:
    """One HTTP call to a rank."""

    method: str
    target: str
    body: bytes = b""


@dataclass(frozen=True)
class ChoiceCounts:
    """How often each expert was chosen since the rank started, set by set."""

    epoch: int
    step: int
    counts: tuple[int, ...]


@dataclass(frozen=True)
class RankDialect:
    """The functions of an adapter; they translate and decide nothing.

    :param read_status: ``None`` for an endpoint that is no rank; raises :class:`ValueError`.
    :param read_experts: the rank's experts by set; raises :class:`ValueError`.
    """

    status_call: RankCall
    read_status: Callable[[bytes], RankStatus | None]
    counts_call: RankCall
    read_counts: Callable[[bytes], ChoiceCounts]
    experts_call: RankCall
    read_experts: Callable[[bytes], tuple[tuple[int, ...], ...]]
    order_call: Callable[[RankOrder], RankCall]
