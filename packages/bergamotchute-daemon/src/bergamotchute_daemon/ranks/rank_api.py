"""The HTTP interface of a rank, as a platform's adapter describes it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bergamotchute_model.node_messages import RankOrder, RankStatus


@dataclass(frozen=True)
class RankHttpRequest:
    """One HTTP request to a rank."""

    method: str
    target: str
    body: bytes = b""


@dataclass(frozen=True)
class ExpertSelectionCounts:
    """How often each expert was selected since the rank started.

    :param step: the newest pass that had begun.
    :param counts: one number per expert, the experts of one set after those of another.
    """

    epoch: int
    step: int
    counts: tuple[int, ...]


@dataclass(frozen=True)
class RankApi:
    """The requests that a rank understands, and functions that parse its answers.

    The functions only translate; they make no decisions.

    :param status_request: reads the rank's status.
    :param parse_status: returns the status, or ``None`` if the endpoint isn't a rank; raises
        :class:`ValueError` if the answer can't be parsed.
    :param counts_request: reads how often each expert was selected.
    :param parse_counts: returns these counts; raises :class:`ValueError` if the answer can't be
        parsed.
    :param experts_request: reads the rank's experts.
    :param parse_experts: returns the rank's experts by set; raises :class:`ValueError` if the
        answer can't be parsed.
    :param order_request: returns the request that carries an order.
    """

    status_request: RankHttpRequest
    parse_status: Callable[[bytes], RankStatus | None]
    counts_request: RankHttpRequest
    parse_counts: Callable[[bytes], ExpertSelectionCounts]
    experts_request: RankHttpRequest
    parse_experts: Callable[[bytes], tuple[tuple[int, ...], ...]]
    order_request: Callable[[RankOrder], RankHttpRequest]
