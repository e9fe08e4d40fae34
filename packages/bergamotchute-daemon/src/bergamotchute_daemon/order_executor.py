"""The task beside an engine that passes on only orders under the newest fencing number."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from bergamotchute_daemon.view_holder import ViewHolder
from bergamotchute_model.order_messages import (
    Order,
    OrderAnswer,
    OrderMessage,
    OrderRefusal,
    OrderState,
    QueryEngine,
    StartOrder,
)
from bergamotchute_policy.order_validator import EngineState, OrderValidator, RunOrder
from bergamotchute_wire.link import Link, LinkClosed

ENGINE_POLL_INTERVAL_S = 1.0
FENCE_SCOPE_PREFIX = "order/"


def order_fence_scope(service: str) -> str:
    """Return the scope of the fencing numbers for orders of a service."""
    return f"{FENCE_SCOPE_PREFIX}{service}"


class EngineUnresponsive(Exception):
    """The engine did not answer; the outcome of an order is unknown until it does."""


class OrderFailed(Exception):
    """The engine failed to execute an order."""


class FenceRejected(Exception):
    """An engine that honours fencing rejected the fencing number of an order.

    :param floor: lowest fencing number that the engine accepts.
    """

    def __init__(self, floor: int) -> None:
        super().__init__(str(floor))
        self.floor = floor


class OrderEngine(Protocol):
    """The interface of an engine that orders need."""

    async def state(self) -> EngineState:
        """Return what the engine has loaded and which order it is executing.

        :raises EngineUnresponsive: when the engine does not answer.
        """

    async def execute_order(self, order: Order, fence: int | None) -> None:
        """Have the engine execute an order; return once it has completed.

        :param fence: fencing number for an engine that honours fencing, else ``None``.
        :raises FenceRejected: when the engine rejected the fencing number; nothing was executed.
        :raises OrderFailed: when the engine failed to execute the order.
        :raises EngineUnresponsive: when the engine does not answer.
        """


@dataclass
class OrderExecutor:
    """Passes valid orders to one engine.

    The composition root passes it the agent's view and engine, serves the links of order
    controllers with :meth:`serve_link`, and calls :meth:`run` in its task group. Each incarnation
    of the agent has its own instance; the engine may outlive both.

    :param validator: validates the orders; created anew for each incarnation.
    :param honours_fencing: whether fencing numbers are passed to the engine.
    :param services: returns the services that the endpoint is announced for.
    :param is_executing_order: whether the engine is executing an order of this incarnation.
    """

    validator: OrderValidator
    view: ViewHolder
    engine: OrderEngine
    honours_fencing: bool
    services: Callable[[], tuple[str, ...]]
    links: list[Link[OrderMessage]] = field(default_factory=list)
    is_executing_order: bool = False

    async def run(self) -> None:
        """Poll the engine and the view until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            while True:
                await self._poll_engine()
                await anyio.sleep(ENGINE_POLL_INTERVAL_S)

    async def serve_link(self, link: Link[OrderMessage]) -> None:
        """Serve an order controller until its link closes; running orders continue."""
        self.links.append(link)
        try:
            with suppress(LinkClosed):
                while True:
                    message = await link.receive()
                    if isinstance(message, StartOrder):
                        await self.on_start_order(link, message)
                    elif isinstance(message, QueryEngine):
                        await self.on_query_engine(link, message)
        finally:
            self.links.remove(link)

    async def on_start_order(self, link: Link[OrderMessage], message: StartOrder) -> None:
        """Have the engine execute an order if it is valid; otherwise answer it."""
        self._read_view()
        is_confirmed = self.view.is_confirmed(anyio.current_time())
        decision = self.validator.on_start_order(message, view_confirmed=is_confirmed)
        if isinstance(decision, OrderAnswer):
            await link.send(decision)
            return
        self.is_executing_order = True
        self.tasks.start_soon(self._execute_order, decision)

    async def on_query_engine(self, link: Link[OrderMessage], message: QueryEngine) -> None:
        """Report the engine to a controller, and reject older controllers from now on."""
        self._read_view()
        self.validator.raise_fence_floor(message.service, message.fence)
        report = self.validator.make_report(message.service)
        if report is not None:
            await link.send(report)

    def _read_view(self) -> None:
        """Update the newest fencing numbers from the view, if it is confirmed."""
        if not self.view.is_confirmed(anyio.current_time()):
            return
        for service in self.services():
            recorded = self.view.decisions.get(order_fence_scope(service))
            self.validator.on_confirmed_view(service, recorded.fence if recorded is not None else 0)

    async def _poll_engine(self) -> None:
        """Poll the engine's state, unless it is executing an order of this incarnation."""
        self._read_view()
        if self.is_executing_order:
            return
        try:
            state = await self.engine.state()
        except EngineUnresponsive:
            return
        # An order may have started while the engine answered, which makes the answer outdated.
        if not self.is_executing_order:
            self.validator.on_engine_state(state)

    async def _execute_order(self, validated: RunOrder) -> None:
        """Have the engine execute an order, and send the outcome to every controller."""
        order = validated.order
        try:
            answer = await self._execute_and_answer(validated)
        except EngineUnresponsive:
            # The order may still run: send the engine no other until it has reported its state.
            self.validator.engine = None
            answer = None
        finally:
            self.is_executing_order = False
        if answer is not None:
            await self._send_to_controllers(answer)
        elif self.validator.running == order:
            await self._poll_engine()

    async def _execute_and_answer(self, validated: RunOrder) -> OrderAnswer:
        """Execute an order; return its outcome."""
        order = validated.order
        fence = validated.fence if self.honours_fencing else None
        try:
            await self.engine.execute_order(order, fence)
        except OrderFailed:
            return self.validator.on_order_ended(order, await self.engine.state(), succeeded=False)
        except FenceRejected as error:
            self.validator.on_engine_state(await self.engine.state())
            self.validator.raise_fence_floor(order.service, error.floor)
            refusal = OrderRefusal.OLD_FENCE
            return OrderAnswer(order, validated.fence, OrderState.REFUSED, refusal, error.floor)
        return self.validator.on_order_ended(order, await self.engine.state(), succeeded=True)

    async def _send_to_controllers(self, answer: OrderAnswer) -> None:
        """Send an answer to all controllers, as one that has just taken over may need it."""
        for link in tuple(self.links):
            with suppress(LinkClosed):
                await link.send(answer)
