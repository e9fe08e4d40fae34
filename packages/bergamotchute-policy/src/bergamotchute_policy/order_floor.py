"""An agent's judgement of orders: fencing numbers, repeats and what the engine already has."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotchute_model.order_messages import (
    EngineReport,
    Order,
    OrderAction,
    OrderAnswer,
    OrderRefusal,
    OrderState,
    ServiceLoad,
    StartOrder,
)

MOST_FAILED_KEPT = 32


@dataclass(frozen=True)
class EngineState:
    """What an engine says of itself.

    :param running: the order that it carries out now, by whoever gave it.
    """

    loads: tuple[ServiceLoad, ...] = ()
    running: Order | None = None


@dataclass(frozen=True)
class RunOrder:
    """Give the order to the engine, with its fencing number where the engine honours it."""

    order: Order
    fence: int


@dataclass
class OrderFloor:
    """Stands before one engine, which may itself ignore fencing numbers.

    An order reaches the engine only when a confirmed view has told the newest fencing number of
    its service, the order carries no older one, and the engine is known to be idle. A fresh agent
    knows none of this, so it refuses all orders until it does.

    :param floors: by service, the highest fencing number seen.
    :param confirmed: services whose number came from a confirmed view in this life.
    :param sequences: by service, the newest sequence taken under the floor.
    :param engine: what the engine last said; ``None`` before it was asked.
    :param running: the order that was given to the engine and has not ended.
    """

    endpoint: str
    availability_zone: str
    incarnation: str
    floors: dict[str, int] = field(default_factory=dict)
    confirmed: set[str] = field(default_factory=set)
    sequences: dict[str, tuple[int, Order]] = field(default_factory=dict)
    engine: EngineState | None = None
    running: Order | None = None
    failed: list[Order] = field(default_factory=list)
    reports: int = 0

    def on_view(self, service: str, fence: int) -> None:
        """Learn the newest fencing number of a service from a confirmed view."""
        self.confirmed.add(service)
        self.raise_floor(service, fence)

    def raise_floor(self, service: str, fence: int) -> None:
        """Refuse orders for the service under a lower number from now on."""
        if fence > self.floors.get(service, 0):
            self.floors[service] = fence
            self.sequences.pop(service, None)

    def on_engine(self, state: EngineState) -> None:
        """Learn what the engine has loaded and does."""
        self.engine = state
        self.running = state.running

    def on_start_order(
        self, message: StartOrder, *, view_confirmed: bool
    ) -> OrderAnswer | RunOrder:
        """Judge an order: refuse it, answer for it, or have it run.

        :param view_confirmed: whether the agent's view lease holds now.
        """
        refusal = self._refusal(message, view_confirmed)
        if refusal is not None:
            return self._answer(message, OrderState.REFUSED, refusal)
        order = message.order
        self.raise_floor(order.service, message.fence)
        self.sequences[order.service] = (message.sequence, order)
        if self.running == order:
            return self._answer(message, OrderState.RUNNING)
        assert self.engine is not None
        if is_satisfied(order, self.engine.loads):
            return self._answer(message, OrderState.DONE)
        self.running = order
        return RunOrder(order, message.fence)

    def on_ended(self, order: Order, state: EngineState, *, succeeded: bool) -> OrderAnswer:
        """Take in that the engine is done with an order."""
        self.on_engine(state)
        if order in self.failed:
            self.failed.remove(order)
        if not succeeded:
            self.failed = [*self.failed, order][-MOST_FAILED_KEPT:]
        ended = OrderState.DONE if succeeded else OrderState.FAILED
        floor = self.floors.get(order.service, 0)
        return OrderAnswer(order, floor, ended, OrderRefusal.NONE, floor)

    def report(self, service: str) -> EngineReport | None:
        """Return what to tell the controller; ``None`` while the engine is unknown."""
        if self.engine is None:
            return None
        self.reports += 1
        return EngineReport(
            self.endpoint,
            self.incarnation,
            self.reports,
            self.availability_zone,
            service,
            self.floors.get(service, 0),
            self.engine.loads,
            self.running,
            tuple(self.failed),
        )

    def _refusal(self, message: StartOrder, view_confirmed: bool) -> OrderRefusal | None:
        """Return why an order may not reach the engine."""
        service = message.order.service
        refusal = None
        if service not in self.confirmed:
            refusal = OrderRefusal.FLOOR_UNKNOWN
        elif not view_confirmed:
            refusal = OrderRefusal.VIEW_EXPIRED
        elif message.fence < self.floors.get(service, 0):
            refusal = OrderRefusal.OLD_FENCE
        elif self.engine is None:
            refusal = OrderRefusal.ENGINE_UNKNOWN
        elif self.running is not None and self.running != message.order:
            refusal = OrderRefusal.BUSY
        elif message.fence == self.floors.get(service, 0) and self._is_older(message):
            refusal = OrderRefusal.OLD_SEQUENCE
        return refusal

    def _is_older(self, message: StartOrder) -> bool:
        """Return whether a later order of the same fencing number was taken before."""
        taken = self.sequences.get(message.order.service)
        return taken is not None and message.sequence < taken[0]

    def _answer(
        self,
        message: StartOrder,
        state: OrderState,
        refusal: OrderRefusal = OrderRefusal.NONE,
    ) -> OrderAnswer:
        """Return an answer to an order."""
        floor = self.floors.get(message.order.service, 0)
        return OrderAnswer(message.order, message.fence, state, refusal, floor)


def is_satisfied(order: Order, loads: Iterable[ServiceLoad]) -> bool:
    """Return whether an engine already is where an order would bring it."""
    load = next((load for load in loads if load.service == order.service), None)
    match order.action:
        case OrderAction.LOAD_MODEL | OrderAction.CHANGE_VERSION:
            return load is not None and load.version == order.value
        case OrderAction.UNLOAD_MODEL:
            return load is None
        case OrderAction.LOAD_ADAPTER:
            return load is not None and load.adapter == order.value
        case OrderAction.UNLOAD_ADAPTER:
            return load is None or load.adapter != order.value
        case OrderAction.CHANGE_ROLE:
            return load is not None and load.role == order.value
