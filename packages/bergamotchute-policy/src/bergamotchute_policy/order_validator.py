"""Validates orders at an agent by fencing number, sequence and the state of the engine."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotchute_model.order_messages import (
    EngineReport,
    LoadedModel,
    Order,
    OrderAction,
    OrderAnswer,
    OrderRefusal,
    OrderState,
    StartOrder,
)

MAX_FAILED_ORDERS = 32


@dataclass(frozen=True)
class EngineState:
    """The state that an engine reports.

    :param loads: models and adapters loaded for each service.
    :param running: the order that it is executing, whoever issued it; ``None`` while idle.
    """

    loads: tuple[LoadedModel, ...] = ()
    running: Order | None = None


@dataclass(frozen=True)
class RunOrder:
    """Pass the order to the engine, with its fencing number if the engine honours fencing."""

    order: Order
    fence: int


@dataclass
class OrderValidator:
    """Validates the orders for one engine, which may not check fencing numbers itself.

    An order reaches the engine only if a confirmed view contained the newest fencing number of the
    service, the order's number is not older, and the engine is known to be idle. A restarted agent
    knows none of this and refuses all orders until it does.

    :param fence_floors: highest fencing number seen, by service; lower numbers are refused.
    :param confirmed_services: services whose fencing number came from a confirmed view since this
        agent started.
    :param newest_orders: sequence and order last accepted under the fence floor, by service.
    :param engine: the state last reported by the engine; ``None`` before the first report.
    :param running: the order that was passed to the engine and has not ended.
    :param failed: the orders that failed most recently, oldest first.
    :param report_count: reports made so far, for their sequence numbers.
    """

    endpoint: str
    availability_zone: str
    incarnation: str
    fence_floors: dict[str, int] = field(default_factory=dict)
    confirmed_services: set[str] = field(default_factory=set)
    newest_orders: dict[str, tuple[int, Order]] = field(default_factory=dict)
    engine: EngineState | None = None
    running: Order | None = None
    failed: list[Order] = field(default_factory=list)
    report_count: int = 0

    def on_confirmed_view(self, service: str, fence: int) -> None:
        """Record the newest fencing number of a service from a confirmed view."""
        self.confirmed_services.add(service)
        self.raise_fence_floor(service, fence)

    def raise_fence_floor(self, service: str, fence: int) -> None:
        """Refuse orders for the service with a lower fencing number from now on."""
        if fence > self.fence_floors.get(service, 0):
            self.fence_floors[service] = fence
            self.newest_orders.pop(service, None)

    def on_engine_state(self, state: EngineState) -> None:
        """Record the state reported by the engine."""
        self.engine = state
        self.running = state.running

    def on_start_order(
        self, message: StartOrder, *, view_confirmed: bool
    ) -> OrderAnswer | RunOrder:
        """Refuse an order, answer it without the engine, or return it to be run.

        An order that is already running or satisfied is answered without the engine.

        :param view_confirmed: whether the agent's view lease is valid now.
        """
        refusal = self._refusal_reason(message, view_confirmed)
        if refusal is not None:
            return self._make_answer(message, OrderState.REFUSED, refusal)
        order = message.order
        self.raise_fence_floor(order.service, message.fence)
        self.newest_orders[order.service] = (message.sequence, order)
        if self.running == order:
            return self._make_answer(message, OrderState.RUNNING)
        assert self.engine is not None
        if is_satisfied(order, self.engine.loads):
            return self._make_answer(message, OrderState.DONE)
        self.running = order
        return RunOrder(order, message.fence)

    def on_order_ended(self, order: Order, state: EngineState, *, succeeded: bool) -> OrderAnswer:
        """Record that the engine finished an order, and return the answer to send."""
        self.on_engine_state(state)
        if order in self.failed:
            self.failed.remove(order)
        if not succeeded:
            self.failed = [*self.failed, order][-MAX_FAILED_ORDERS:]
        ended = OrderState.DONE if succeeded else OrderState.FAILED
        floor = self.fence_floors.get(order.service, 0)
        return OrderAnswer(order, floor, ended, OrderRefusal.NONE, floor)

    def make_report(self, service: str) -> EngineReport | None:
        """Return a report for the controller; ``None`` while the engine's state is unknown."""
        if self.engine is None:
            return None
        self.report_count += 1
        return EngineReport(
            self.endpoint,
            self.incarnation,
            self.report_count,
            self.availability_zone,
            service,
            self.fence_floors.get(service, 0),
            self.engine.loads,
            self.running,
            tuple(self.failed),
        )

    def _refusal_reason(self, message: StartOrder, view_confirmed: bool) -> OrderRefusal | None:
        """Return why an order must not reach the engine; ``None`` if it may."""
        service = message.order.service
        refusal = None
        if service not in self.confirmed_services:
            refusal = OrderRefusal.FLOOR_UNKNOWN
        elif not view_confirmed:
            refusal = OrderRefusal.VIEW_EXPIRED
        elif message.fence < self.fence_floors.get(service, 0):
            refusal = OrderRefusal.OLD_FENCE
        elif self.engine is None:
            refusal = OrderRefusal.ENGINE_UNKNOWN
        elif self.running is not None and self.running != message.order:
            refusal = OrderRefusal.BUSY
        elif message.fence == self.fence_floors.get(service, 0) and self._is_superseded(message):
            refusal = OrderRefusal.OLD_SEQUENCE
        return refusal

    def _is_superseded(self, message: StartOrder) -> bool:
        """Return whether a later order with the same fencing number was accepted before."""
        newest = self.newest_orders.get(message.order.service)
        return newest is not None and message.sequence < newest[0]

    def _make_answer(
        self,
        message: StartOrder,
        state: OrderState,
        refusal: OrderRefusal = OrderRefusal.NONE,
    ) -> OrderAnswer:
        """Return an answer to an order, with the fence floor of its service."""
        floor = self.fence_floors.get(message.order.service, 0)
        return OrderAnswer(message.order, message.fence, state, refusal, floor)


def is_satisfied(order: Order, loads: Iterable[LoadedModel]) -> bool:
    """Return whether an engine is already in the state that an order asks for."""
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
