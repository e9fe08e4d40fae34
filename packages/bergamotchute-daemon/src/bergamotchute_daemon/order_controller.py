"""The task that brings the engines of all services to the targets in the operator files."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import AbstractAsyncContextManager, suppress
from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon.control_client import ControlUnavailable
from bergamotchute_daemon.map_log import ProposeCommand
from bergamotchute_daemon.on_demand_links import OnDemandLinks
from bergamotchute_daemon.order_executor import order_fence_scope
from bergamotchute_model.commands import FenceGranted, IssueFence
from bergamotchute_model.order_messages import EngineReport, OrderAnswer, OrderMessage
from bergamotchute_policy.service_order_controller import (
    ControllerAction,
    ControllerPhase,
    SendToAgent,
    ServiceMember,
    ServiceOrderController,
)
from bergamotchute_wire.link import Link

TICK_INTERVAL_S = 0.5
INBOX_MESSAGES = 4096


@dataclass(frozen=True)
class ServiceMembers:
    """The members of one service, from the operator files and membership.

    :param min_available: ratio of its endpoints that must stay in service during a change.
    """

    members: Mapping[str, ServiceMember]
    min_available: float


@dataclass
class OrderController:
    """Runs one :class:`ServiceOrderController` for each service that has model targets.

    The composition root runs one on each entry and passes it the services with their endpoints
    (from files and membership), a function that dials an endpoint's agent, ``propose`` of the
    control client, and ``is_leader``. Two leaders at the same time are safe: engines and agents
    follow only the newest fencing number.

    :param is_leader: returns whether this process is the one to issue orders.
    :param lease_s: maximum duration of an agent's view lease, in seconds.
    :param holder: name under which fencing numbers are acquired, unique to this incarnation of
        the process.
    :param service_controllers: service order controllers by service.
    :param pending_fence_requests: services for which a fencing number is being acquired.
    :param fence_request_count: number of fencing numbers requested so far.
    """

    services: Callable[[], Mapping[str, ServiceMembers]]
    dial: Callable[[str], AbstractAsyncContextManager[Link[OrderMessage]]]
    propose: ProposeCommand
    is_leader: Callable[[], bool]
    lease_s: float
    holder: str
    service_controllers: dict[str, ServiceOrderController] = field(default_factory=dict)
    pending_fence_requests: set[str] = field(default_factory=set)
    fence_request_count: int = 0

    async def run(self) -> None:
        """Issue orders while this process leads, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.links: OnDemandLinks[str, OrderMessage] = OnDemandLinks(
                tasks, self.dial, self.on_agent_message
            )
            while True:
                self._tick(anyio.current_time())
                await anyio.sleep(TICK_INTERVAL_S)

    async def on_agent_message(self, message: OrderMessage) -> None:
        """Pass a message of an agent to the controller of its service."""
        now = anyio.current_time()
        if isinstance(message, EngineReport):
            controller = self.service_controllers.get(message.service)
            if controller is not None:
                controller.on_engine_report(message, now)
        elif isinstance(message, OrderAnswer):
            controller = self.service_controllers.get(message.order.service)
            if controller is not None:
                controller.on_order_answer(message, now)

    def explain(self, service: str) -> list[str]:
        """Return the state of a service's rollout and why endpoints wait, as lines of text."""
        controller = self.service_controllers.get(service)
        if controller is None:
            return [f"service {service}: no model targets at this entry"]
        lines = [f"service {service}: {controller.phase} under fencing number {controller.fence}"]
        rollout = controller.rollout
        if rollout is None:
            return lines
        lines.append(
            f"{rollout.available_count} endpoints available, minimum {rollout.min_available_count}"
        )
        lines += [
            f"{endpoint} waits: {reason}"
            for endpoint, reason in sorted(rollout.wait_reasons.items())
        ]
        return lines

    def _tick(self, now: float) -> None:
        """Apply files and membership to the service order controllers, and run each."""
        services = self.services()
        for gone in self.service_controllers.keys() - services.keys():
            del self.service_controllers[gone]
        for service, service_members in services.items():
            controller = self.service_controllers.setdefault(
                service, ServiceOrderController(service, self.lease_s)
            )
            controller.members = service_members.members
            controller.min_available = service_members.min_available
            self._update_leadership(controller, now)

    def _update_leadership(self, controller: ServiceOrderController, now: float) -> None:
        """Start, continue or stop issuing orders for a service."""
        if not self.is_leader():
            if controller.phase is not ControllerPhase.STANDING_BY:
                controller.stand_by(now)
            return
        if controller.phase is ControllerPhase.STANDING_BY:
            self._execute_actions(controller, controller.start(now))
        self._execute_actions(controller, controller.on_clock_tick(now))

    def _execute_actions(
        self, controller: ServiceOrderController, actions: list[ControllerAction]
    ) -> None:
        """Execute the actions of a service order controller."""
        for action in actions:
            if isinstance(action, SendToAgent):
                self.links.send(action.endpoint, action.message)
            elif controller.service not in self.pending_fence_requests:
                self.pending_fence_requests.add(controller.service)
                self.tasks.start_soon(self._acquire_fence, controller)

    async def _acquire_fence(self, controller: ServiceOrderController) -> None:
        """Acquire the next fencing number of a service; on failure the controller asks again."""
        self.fence_request_count += 1
        try:
            with suppress(ControlUnavailable):
                scope = order_fence_scope(controller.service)
                granted = await self.propose(
                    IssueFence(scope, self.holder, str(self.fence_request_count))
                )
                assert isinstance(granted, FenceGranted)
                controller.on_fence_taken(granted.number, anyio.current_time())
        finally:
            self.pending_fence_requests.discard(controller.service)
