"""The task beside an engine that lets only orders under the newest fencing number through."""

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

ENGINE_POLL_S = 1.0
SCOPE_PREFIX = "order/"


def order_scope(service: str) -> str:
    """Return the scope of the fencing numbers for orders of a service."""
    return f"{SCOPE_PREFIX}{service}"


class EngineLost(Exception):
    """The engine did not answer; what became of an order is unknown until it does."""


class OrderFailed(Exception):
    """The engine could not carry an order out."""


class FenceTooOld(Exception):
    """An engine that honours fencing refused an order.

    :param floor: the lowest number that it takes.
    """

    def __init__(self, floor: int) -> None:
        super().__init__(str(floor))
        self.floor = floor


class OrderEngine(Protocol):
    """An engine, as far as orders go."""

    async def state(self) -> EngineState:
        """Return what the engine has loaded and which order it carries out.

        :raises EngineLost: when it does not answer.
        """

    async def carry_out(self, order: Order, fence: int | None) -> None:
        """Have the engine carry an order out; return once it has.

        :param fence: the fencing number, for an engine that honours it.
        :raises FenceTooOld: when the engine refused the number; nothing was done.
        :raises OrderFailed: when the engine could not do it.
        :raises EngineLost: when it does not answer.
        """


@dataclass
class OrderExecutor:
    """Passes orders to one engine.

    The composition root hands it the agent's view and engine, serves the links of order
    controllers with :meth:`serve_link`, and calls :meth:`run` in its task group. A life of the
    agent is one life of the gate; the engine may live longer than either.

    :param validator: judges the orders; made anew in each life.
    :param honours_fencing: whether the engine is given fencing numbers.
    :param services: the services that the endpoint is announced for.
    """

    validator: OrderValidator
    view: ViewHolder
    engine: OrderEngine
    honours_fencing: bool
    services: Callable[[], tuple[str, ...]]
    links: list[Link[OrderMessage]] = field(default_factory=list)
    carrying_out: bool = False

    async def run(self) -> None:
        """Watch the engine and the view until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            while True:
                await self._look()
                await anyio.sleep(ENGINE_POLL_S)

    async def serve_link(self, link: Link[OrderMessage]) -> None:
        """Serve an order controller until its link closes; orders that run go on."""
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
        """Answer an order, or have the engine carry it out."""
        self._read_view()
        confirmed = self.view.is_confirmed(anyio.current_time())
        judged = self.validator.on_start_order(message, view_confirmed=confirmed)
        if isinstance(judged, OrderAnswer):
            await link.send(judged)
            return
        self.carrying_out = True
        self.tasks.start_soon(self._carry_out, judged)

    async def on_query_engine(self, link: Link[OrderMessage], message: QueryEngine) -> None:
        """Tell a controller of the engine, and refuse older ones from now on."""
        self._read_view()
        self.validator.raise_fence_floor(message.service, message.fence)
        report = self.validator.make_report(message.service)
        if report is not None:
            await link.send(report)

    def _read_view(self) -> None:
        """Learn the newest fencing numbers, as far as the view is confirmed."""
        if not self.view.is_confirmed(anyio.current_time()):
            return
        for service in self.services():
            decision = self.view.decisions.get(order_scope(service))
            self.validator.on_confirmed_view(service, decision.fence if decision is not None else 0)

    async def _look(self) -> None:
        """Ask the engine how it is, unless an order of this life runs on it."""
        self._read_view()
        if self.carrying_out:
            return
        try:
            state = await self.engine.state()
        except EngineLost:
            return
        # An order may have begun while the engine answered; then the answer is out of date.
        if not self.carrying_out:
            self.validator.on_engine_state(state)

    async def _carry_out(self, judged: RunOrder) -> None:
        """Have the engine carry an order out and tell every controller how it ended."""
        order = judged.order
        try:
            answer = await self._outcome(judged)
        except EngineLost:
            # It may still run: nothing more is given to the engine until it has told.
            self.validator.engine = None
            answer = None
        finally:
            self.carrying_out = False
        if answer is not None:
            await self._tell(answer)
        elif self.validator.running == order:
            await self._look()

    async def _outcome(self, judged: RunOrder) -> OrderAnswer:
        """Run an order; return how it ended."""
        order = judged.order
        fence = judged.fence if self.honours_fencing else None
        try:
            await self.engine.carry_out(order, fence)
        except OrderFailed:
            return self.validator.on_order_ended(order, await self.engine.state(), succeeded=False)
        except FenceTooOld as error:
            self.validator.on_engine_state(await self.engine.state())
            self.validator.raise_fence_floor(order.service, error.floor)
            refusal = OrderRefusal.OLD_FENCE
            return OrderAnswer(order, judged.fence, OrderState.REFUSED, refusal, error.floor)
        return self.validator.on_order_ended(order, await self.engine.state(), succeeded=True)

    async def _tell(self, answer: OrderAnswer) -> None:
        """Send an answer to all controllers; one that has just taken over may wait for it."""
        for link in tuple(self.links):
            with suppress(LinkClosed):
                await link.send(answer)
