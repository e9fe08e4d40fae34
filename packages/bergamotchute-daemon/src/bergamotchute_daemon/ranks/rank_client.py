"""Send orders to one rank and read its state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

from bergamotchute_daemon.ranks.rank_api import ExpertSelectionCounts, RankApi, RankHttpRequest
from bergamotchute_model.node_messages import RankAction, RankOrder, RankStatus
from bergamotchute_wire.http1_messages import EndpointFailure
from bergamotchute_wire.persistent_connection import PersistentConnection

CALL_TIMEOUT_S = 0.15
"""Timeout of a call; a rank on the same VM answers within a few milliseconds."""

_HTTP_OK = 200
_HTTP_ACCEPTED = 202


class RankUnresponsiveError(Exception):
    """The rank gave no answer, or an unreadable one."""


@dataclass
class RankClient:
    """Call one rank, and refuse the orders of replaced commanders.

    :param is_report_delayed: whether the rank runs on another VM, so that its report is some
        hundred milliseconds old.
    :param fence: the highest fence of an order so far.
    """

    connection: PersistentConnection
    rank_api: RankApi
    is_report_delayed: bool = False
    fence: int = 0

    async def status(self) -> RankStatus | None:
        """Return the rank's status; ``None`` for an endpoint that isn't a rank.

        :raises RankUnresponsiveError: if the rank gives no readable answer.
        """
        return _parse(
            self.rank_api.parse_status, await self._fetch_body(self.rank_api.status_request)
        )

    async def counts(self) -> ExpertSelectionCounts:
        """Return how often each expert was selected.

        :raises RankUnresponsiveError: if the rank gives no readable answer.
        """
        return _parse(
            self.rank_api.parse_counts, await self._fetch_body(self.rank_api.counts_request)
        )

    async def send_order(self, order: RankOrder) -> RankStatus | None:
        """Send an order; return the rank's status after it, or ``None`` if it is no rank.

        :raises RankUnresponsiveError: if the rank doesn't report a readable status.
        """
        accepted: bool | None = False
        detail = "stale fence: a newer commander has sent orders"
        if order.fence >= self.fence:
            self.fence = order.fence
            accepted, detail = await self._call_order(order)
        status = await self.status()
        if status is None:
            return None
        experts: tuple[tuple[int, ...], ...] = ()
        if order.action is RankAction.LIST:
            body = await self._fetch_body(self.rank_api.experts_request)
            experts = _parse(self.rank_api.parse_experts, body)
        if self.is_report_delayed:
            status = _status_after(order, accepted, status)
        return replace(status, order=order.order, accepted=accepted, detail=detail, experts=experts)

    async def _call_order(self, order: RankOrder) -> tuple[bool | None, str]:
        if order.action.is_read:
            return True, ""
        call = self.rank_api.order_request(order)
        try:
            status, _ = await self.connection.call(
                call.method, call.target, call.body, CALL_TIMEOUT_S
            )
        except EndpointFailure as failure:
            # An order that wasn't sent can't take effect; one that was may still be carried out.
            return (None, failure.reason) if failure.may_have_arrived else (False, failure.reason)
        return status in (_HTTP_OK, _HTTP_ACCEPTED), f"HTTP status {status}"

    async def _fetch_body(self, call: RankHttpRequest) -> bytes:
        try:
            status, body = await self.connection.call(
                call.method, call.target, call.body, CALL_TIMEOUT_S
            )
        except EndpointFailure as failure:
            raise RankUnresponsiveError(failure.reason) from failure
        if status != _HTTP_OK:
            raise RankUnresponsiveError(f"HTTP status {status}")
        return body


def _status_after(order: RankOrder, accepted: bool | None, reported: RankStatus) -> RankStatus:
    """Return a rank's status after an order, although the reported one may be older than the order.

    A hold lasts until the rank has accepted the order that ends it.
    """
    match order.action:
        case RankAction.ARM if accepted:
            return replace(reported, armed=(order.version, order.step))
        case RankAction.DISARM if accepted:
            return replace(reported, armed=None)
        case RankAction.HOLD if accepted:
            return replace(reported, held=order.step)
        case RankAction.GO:
            return replace(reported, held=None if accepted else order.step)
        case _:
            return reported


Parsed = TypeVar("Parsed")


def _parse(read: Callable[[bytes], Parsed], body: bytes) -> Parsed:
    try:
        return read(body)
    except ValueError as error:
        raise RankUnresponsiveError(str(error)) from error
