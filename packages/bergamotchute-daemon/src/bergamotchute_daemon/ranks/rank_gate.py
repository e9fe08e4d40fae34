"""Orders to one rank and questions about it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

from bergamotchute_daemon.ranks.rank_dialect import ChoiceCounts, RankCall, RankDialect
from bergamotchute_model.node_messages import RankAction, RankOrder, RankStatus
from bergamotchute_wire.http1_messages import EndpointFailure
from bergamotchute_wire.kept_connection import KeptConnection

CALL_TIMEOUT_S = 0.15
"""Bound on a call; a rank on the same VM answers within a few milliseconds."""

_OK = 200
_BEGUN = 202


class RankSilent(Exception):
    """The rank gave no readable answer."""


@dataclass
class RankGate:
    """Calls one rank, and refuses orders of commanders that were replaced.

    :param reports_late: the rank is on another VM, where its report is some hundred ms old.
    :param fence: the highest fence seen.
    """

    connection: KeptConnection
    dialect: RankDialect
    reports_late: bool = False
    fence: int = 0

    async def status(self) -> RankStatus | None:
        """Return the rank's state; ``None`` for an endpoint that is no rank.

        :raises RankSilent: when it gives none.
        """
        return _readable(self.dialect.read_status, await self._body(self.dialect.status_call))

    async def counts(self) -> ChoiceCounts:
        """Return how often each expert was chosen.

        :raises RankSilent: when the rank does not say.
        """
        return _readable(self.dialect.read_counts, await self._body(self.dialect.counts_call))

    async def give(self, order: RankOrder) -> RankStatus | None:
        """Give an order and return the rank's state behind it.

        :raises RankSilent: when the rank does not tell its state.
        """
        accepted: bool | None = False
        detail = "an older fence"
        if order.fence >= self.fence:
            self.fence = order.fence
            accepted, detail = await self._order(order)
        status = await self.status()
        if status is None:
            return None
        experts: tuple[tuple[int, ...], ...] = ()
        if order.action is RankAction.LIST:
            body = await self._body(self.dialect.experts_call)
            experts = _readable(self.dialect.read_experts, body)
        if self.reports_late:
            status = _state_behind(order, accepted, status)
        return replace(status, order=order.order, accepted=accepted, detail=detail, experts=experts)

    async def _order(self, order: RankOrder) -> tuple[bool | None, str]:
        if order.action.is_read:
            return True, ""
        call = self.dialect.order_call(order)
        try:
            status, _ = await self.connection.call(
                call.method, call.target, call.body, CALL_TIMEOUT_S
            )
        except EndpointFailure as failure:
            # A refused connection did not reach the rank; all else may still be carried out.
            return (None, failure.reason) if failure.sent else (False, failure.reason)
        return status in (_OK, _BEGUN), f"status {status}"

    async def _body(self, call: RankCall) -> bytes:
        try:
            status, body = await self.connection.call(
                call.method, call.target, call.body, CALL_TIMEOUT_S
            )
        except EndpointFailure as failure:
            raise RankSilent(failure.reason) from failure
        if status != _OK:
            raise RankSilent(f"status {status}")
        return body


def _state_behind(order: RankOrder, accepted: bool | None, reported: RankStatus) -> RankStatus:
    """Return the state of a rank behind an order, where its report may be from before that order.

    A hold that was not seen to end is taken to last.
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


Read = TypeVar("Read")


def _readable(read: Callable[[bytes], Read], body: bytes) -> Read:
    try:
        return read(body)
    except ValueError as error:
        raise RankSilent(str(error)) from error
