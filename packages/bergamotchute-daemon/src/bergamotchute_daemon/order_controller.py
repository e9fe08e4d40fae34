"""The task that brings the engines of all services to what the files say."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import AbstractAsyncContextManager, suppress
from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon.control_client import ControlUnavailable
from bergamotchute_daemon.map_log import ProposeCommand
from bergamotchute_daemon.on_demand_links import OnDemandLinks
from bergamotchute_daemon.order_executor import order_scope
from bergamotchute_model.commands import FenceGranted, NextFence
from bergamotchute_model.order_messages import EngineReport, OrderAnswer, OrderMessage
from bergamotchute_policy.service_order_controller import (
    ControllerAction,
    ControllerPhase,
    SendToAgent,
    ServiceMember,
    ServiceOrderController,
)
from bergamotchute_wire.link import Link

TICK_S = 0.5
INBOX_MESSAGES = 4096


@dataclass(frozen=True)
class ServiceMembers:
    """What the files and membership say of one service now.

    :param min_available: the part of its endpoints that a change leaves in service.
    """

    members: Mapping[str, ServiceMember]
    min_available: float


@dataclass
class OrderController:
    """Runs one :class:`ServiceOrderController` for each service that has model targets.

    The composition root runs one on each entry and hands it the services with their endpoints
    (files and membership), a way to dial an endpoint's agent, ``propose`` of the control client,
    and ``leads``. Two that lead at once do no harm: fencing numbers decide.

    :param lease_s: the longest view lease that an agent may hold, in seconds.
    :param holder: who takes fencing numbers, unique to this life of the process.
    """

    services: Callable[[], Mapping[str, ServiceMembers]]
    dial: Callable[[str], AbstractAsyncContextManager[Link[OrderMessage]]]
    propose: ProposeCommand
    leads: Callable[[], bool]
    lease_s: float
    holder: str
    keepers: dict[str, ServiceOrderController] = field(default_factory=dict)
    asking: set[str] = field(default_factory=set)
    grants: int = 0

    async def run(self) -> None:
        """Give orders while this process leads, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.links: OnDemandLinks[str, OrderMessage] = OnDemandLinks(
                tasks, self.dial, self.on_from_agent
            )
            while True:
                self._tick(anyio.current_time())
                await anyio.sleep(TICK_S)

    async def on_from_agent(self, message: OrderMessage) -> None:
        """Take the word of an agent in."""
        now = anyio.current_time()
        if isinstance(message, EngineReport):
            keeper = self.keepers.get(message.service)
            if keeper is not None:
                keeper.on_engine_report(message, now)
        elif isinstance(message, OrderAnswer):
            keeper = self.keepers.get(message.order.service)
            if keeper is not None:
                keeper.on_order_answer(message, now)

    def explain(self, service: str) -> list[str]:
        """Return what is done for a service and why the rest waits, as lines."""
        keeper = self.keepers.get(service)
        if keeper is None:
            return [f"service {service}: no model targets here"]
        lines = [f"service {service}: {keeper.phase} under fencing number {keeper.fence}"]
        rollout = keeper.rollout
        if rollout is None:
            return lines
        lines.append(
            f"{rollout.available_count} endpoints serve, {rollout.min_available_count} must"
        )
        lines += [
            f"{endpoint} waits: {wait}" for endpoint, wait in sorted(rollout.wait_reasons.items())
        ]
        return lines

    def _tick(self, now: float) -> None:
        """Follow the files and membership, and let each keeper act."""
        services = self.services()
        for gone in self.keepers.keys() - services.keys():
            del self.keepers[gone]
        for service, wanted in services.items():
            keeper = self.keepers.setdefault(service, ServiceOrderController(service, self.lease_s))
            keeper.members = wanted.members
            keeper.min_available = wanted.min_available
            self._lead(keeper, now)

    def _lead(self, keeper: ServiceOrderController, now: float) -> None:
        """Begin, go on or cease to act for a service."""
        if not self.leads():
            if keeper.phase is not ControllerPhase.STANDING_BY:
                keeper.stand_by(now)
            return
        if keeper.phase is ControllerPhase.STANDING_BY:
            self._carry_out(keeper, keeper.start(now))
        self._carry_out(keeper, keeper.on_clock_tick(now))

    def _carry_out(self, keeper: ServiceOrderController, actions: list[ControllerAction]) -> None:
        """Carry out what a keeper says."""
        for action in actions:
            if isinstance(action, SendToAgent):
                self.links.send(action.endpoint, action.message)
            elif keeper.service not in self.asking:
                self.asking.add(keeper.service)
                self.tasks.start_soon(self._take_fence, keeper)

    async def _take_fence(self, keeper: ServiceOrderController) -> None:
        """Take the next fencing number of a service; the keeper asks again when none comes."""
        self.grants += 1
        try:
            with suppress(ControlUnavailable):
                scope = order_scope(keeper.service)
                granted = await self.propose(NextFence(scope, self.holder, str(self.grants)))
                assert isinstance(granted, FenceGranted)
                keeper.on_fence_taken(granted.number, anyio.current_time())
        finally:
            self.asking.discard(keeper.service)
