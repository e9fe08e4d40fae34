"""Tests that orders reach an engine once, under the newest fencing number, within capacity."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import pytest

from bergamotchute_model.order_messages import (
    EngineReport,
    LoadedModel,
    Order,
    OrderAction,
    OrderAnswer,
    OrderRefusal,
    OrderState,
    QueryEngine,
    StartOrder,
)
from bergamotchute_policy.order_rollout import (
    EngineTarget,
    RolloutEndpoint,
    WaitReason,
    plan_rollout,
)
from bergamotchute_policy.order_validator import EngineState, OrderValidator, RunOrder, is_satisfied
from bergamotchute_policy.service_order_controller import (
    ControllerAction,
    ControllerPhase,
    RequestOrderFence,
    SendToAgent,
    ServiceMember,
    ServiceOrderController,
)

LEASE_S = 3.0
ZONES = ("bergamo-b", "brescia-c", "milano-a")
SERVICE = "drafting"


@dataclass
class FakeEngine:
    """An engine that runs an order until told to finish, and may check fencing numbers itself."""

    loads: tuple[LoadedModel, ...]
    honours_fencing: bool = False
    floor: int = 0
    running: Order | None = None
    executed_orders: list[tuple[Order, int]] = field(default_factory=list)
    fails_orders: bool = False

    @property
    def state(self) -> EngineState:
        return EngineState(self.loads, self.running)

    def start_order(self, order: Order, fence: int) -> bool:
        assert (
            self.running is None
        ), "the engine was started on a second order while one was running"
        if self.honours_fencing and fence < self.floor:
            return False
        self.floor = max(self.floor, fence)
        self.running = order
        self.executed_orders.append((order, fence))
        return True

    def finish_order(self) -> Order:
        order = self.running
        assert order is not None
        self.running = None
        if not self.fails_orders:
            self.loads = after(order, self.loads)
            assert is_satisfied(order, self.loads)
        return order


def after(order: Order, loads: tuple[LoadedModel, ...]) -> tuple[LoadedModel, ...]:
    others = tuple(load for load in loads if load.service != order.service)
    service_load = next((load for load in loads if load.service == order.service), None)
    current_load = service_load or LoadedModel(order.service, "")
    changed = {
        OrderAction.LOAD_MODEL: replace(current_load, version=order.value),
        OrderAction.CHANGE_VERSION: replace(current_load, version=order.value),
        OrderAction.LOAD_ADAPTER: replace(current_load, adapter=order.value),
        OrderAction.UNLOAD_ADAPTER: replace(current_load, adapter=""),
        OrderAction.CHANGE_ROLE: replace(current_load, role=order.value),
    }.get(order.action)
    return (*others, changed) if changed is not None else others


class Fleet:
    """Simulates engines with their agents' order validators, and controllers, step by step."""

    def __init__(self, endpoints_per_zone: int = 3, *, honours_fencing: bool = False) -> None:
        self.now = 0.0
        self.fence = 0
        self.engines: dict[str, FakeEngine] = {}
        self.validators: dict[str, OrderValidator] = {}
        self.zones: dict[str, str] = {}
        self.controllers: list[ServiceOrderController] = []
        self.min_serving_count = endpoints_per_zone * len(ZONES)
        self.max_disrupted_zones = 0
        for zone in ZONES:
            for number in range(endpoints_per_zone):
                name = f"{zone}-{number}"
                load = LoadedModel(SERVICE, "v1")
                self.engines[name] = FakeEngine((load,), honours_fencing)
                self.zones[name] = zone
                self.restart_agent(name, "0")

    def restart_agent(self, name: str, incarnation: str) -> None:
        """Restart an agent, which knows the engine's state but no fencing number yet."""
        validator = OrderValidator(name, self.zones[name], incarnation)
        validator.on_engine_state(self.engines[name].state)
        self.validators[name] = validator

    def confirm_views(self) -> None:
        for validator in self.validators.values():
            validator.on_confirmed_view(SERVICE, self.fence)

    def start_controller(self, target: EngineTarget) -> ServiceOrderController:
        members = {name: ServiceMember(name, zone, target) for name, zone in self.zones.items()}
        controller = ServiceOrderController(SERVICE, LEASE_S, members)
        self.controllers.append(controller)
        self.execute_actions(controller, controller.start(self.now))
        return controller

    def execute_actions(
        self, controller: ServiceOrderController, actions: Iterable[ControllerAction]
    ) -> None:
        for action in actions:
            if isinstance(action, RequestOrderFence):
                self.fence += 1
                controller.on_fence_taken(self.fence, self.now)
            elif isinstance(action, SendToAgent):
                self.deliver_to_agent(controller, action)

    def deliver_to_agent(self, controller: ServiceOrderController, action: SendToAgent) -> None:
        validator = self.validators[action.endpoint]
        if isinstance(action.message, QueryEngine):
            validator.raise_fence_floor(SERVICE, action.message.fence)
            report = validator.make_report(SERVICE)
            if report is not None:
                controller.on_engine_report(report, self.now)
            return
        answer = self.submit_order(action.endpoint, action.message)
        if answer is not None:
            controller.on_order_answer(answer, self.now)

    def submit_order(
        self, name: str, message: StartOrder, *, view_confirmed: bool = True
    ) -> OrderAnswer | None:
        decision = self.validators[name].on_start_order(message, view_confirmed=view_confirmed)
        if isinstance(decision, RunOrder):
            assert self.engines[name].start_order(decision.order, decision.fence)
            return None
        return decision

    def finish_order(self, name: str) -> None:
        order = self.engines[name].finish_order()
        succeeded = not self.engines[name].fails_orders
        answer = self.validators[name].on_order_ended(
            order, self.engines[name].state, succeeded=succeeded
        )
        for controller in self.controllers:
            if controller.phase is ControllerPhase.ACTING:
                controller.on_order_answer(answer, self.now)

    def tick(self, seconds: float = 1.0) -> None:
        self.now += seconds
        self.confirm_views()
        for controller in self.controllers:
            self.execute_actions(controller, controller.on_clock_tick(self.now))
        busy = [name for name, engine in self.engines.items() if engine.running is not None]
        self.min_serving_count = min(self.min_serving_count, len(self.engines) - len(busy))
        self.max_disrupted_zones = max(
            self.max_disrupted_zones, len({self.zones[name] for name in busy})
        )

    def run(self, ticks: int, *, ticks_per_order: int = 3) -> None:
        """Advance the time; running orders finish every ``ticks_per_order`` ticks."""
        for number in range(ticks):
            self.tick()
            if number % ticks_per_order == ticks_per_order - 1:
                for name, engine in self.engines.items():
                    if engine.running is not None:
                        self.finish_order(name)

    def versions(self) -> set[str]:
        return {engine.loads[0].version for engine in self.engines.values()}

    def executed_order_count(self) -> int:
        return sum(len(engine.executed_orders) for engine in self.engines.values())


WITH_AND_WITHOUT_FENCING = pytest.mark.parametrize("honours_fencing", [True, False])


@WITH_AND_WITHOUT_FENCING
def test_a_rolling_change_keeps_the_capacity_floor_and_disrupts_one_zone_at_a_time(
    honours_fencing: bool,
) -> None:
    fleet = Fleet(honours_fencing=honours_fencing)
    controller = fleet.start_controller(EngineTarget("v2"))
    fleet.run(80)
    assert fleet.versions() == {"v2"}
    assert fleet.min_serving_count >= 7
    assert fleet.max_disrupted_zones == 1
    assert fleet.executed_order_count() == 9
    assert controller.rollout is not None
    assert controller.rollout.is_done


def test_a_new_controller_waits_for_the_leases_and_adopts_running_orders() -> None:
    fleet = Fleet()
    fleet.start_controller(EngineTarget("v2"))
    fleet.run(5, ticks_per_order=100)
    running = [name for name, engine in fleet.engines.items() if engine.running is not None]
    assert running
    fleet.controllers.clear()
    new_controller = fleet.start_controller(EngineTarget("v2"))
    for _ in range(2):
        fleet.tick()
        assert new_controller.phase is ControllerPhase.WAITING
    fleet.run(100)
    assert fleet.versions() == {"v2"}
    assert fleet.executed_order_count() == 9
    assert fleet.min_serving_count >= 7


@WITH_AND_WITHOUT_FENCING
def test_orders_of_the_older_of_two_controllers_are_refused(honours_fencing: bool) -> None:
    fleet = Fleet(honours_fencing=honours_fencing)
    old_controller = fleet.start_controller(EngineTarget("v2"))
    fleet.run(4, ticks_per_order=100)
    for name, engine in fleet.engines.items():
        if engine.running is not None:
            fleet.finish_order(name)
    new_controller = fleet.start_controller(EngineTarget("v1"))
    fleet.run(5)
    late_order = StartOrder(
        Order("milano-a-0", SERVICE, OrderAction.CHANGE_VERSION, "v2"), old_controller.fence, 99
    )
    answer = fleet.submit_order("milano-a-0", late_order)
    assert answer is not None
    assert answer.refusal is OrderRefusal.OLD_FENCE
    fleet.run(60)
    assert old_controller.phase is ControllerPhase.STANDING_BY
    assert new_controller.phase is ControllerPhase.ACTING
    assert fleet.versions() == {"v1"}
    for engine in fleet.engines.values():
        fences = [fence for _, fence in engine.executed_orders]
        assert fences == sorted(fences)


def test_a_restarted_agent_refuses_orders_until_a_confirmed_view() -> None:
    fleet = Fleet()
    old_controller = fleet.start_controller(EngineTarget("v2"))
    fleet.run(5)
    fleet.start_controller(EngineTarget("v2"))
    fleet.run(5)
    fleet.restart_agent("milano-a-0", "1")
    late_order = StartOrder(
        Order("milano-a-0", SERVICE, OrderAction.CHANGE_VERSION, "v9"), old_controller.fence, 99
    )
    answer = fleet.submit_order("milano-a-0", late_order)
    assert answer is not None
    assert answer.refusal is OrderRefusal.FLOOR_UNKNOWN
    fleet.confirm_views()
    answer = fleet.submit_order("milano-a-0", late_order)
    assert answer is not None
    assert answer.refusal is OrderRefusal.OLD_FENCE
    fresh = replace(late_order, fence=fleet.fence)
    answer = fleet.submit_order("milano-a-0", fresh, view_confirmed=False)
    assert answer is not None
    assert answer.refusal is OrderRefusal.VIEW_EXPIRED


class UnconfirmedOrderValidator(OrderValidator):
    """A faulty validator that accepts orders after a restart without a confirmed view."""

    def on_start_order(
        self, message: StartOrder, *, view_confirmed: bool
    ) -> OrderAnswer | RunOrder:
        self.confirmed_services.add(message.order.service)
        return super().on_start_order(message, view_confirmed=True)


def test_decreasing_fencing_numbers_reveal_an_agent_that_loses_its_fence_floor() -> None:
    fleet = Fleet()
    name = "milano-a-0"
    fleet.fence = 7
    fleet.confirm_views()
    change = Order(name, SERVICE, OrderAction.CHANGE_VERSION, "v2")
    assert fleet.submit_order(name, StartOrder(change, 7, 1)) is None
    fleet.finish_order(name)
    validator = UnconfirmedOrderValidator(name, "milano-a", "1")
    validator.on_engine_state(fleet.engines[name].state)
    fleet.validators[name] = validator
    assert fleet.submit_order(name, StartOrder(replace(change, value="v1"), 3, 9)) is None
    fences = [fence for _, fence in fleet.engines[name].executed_orders]
    assert fences != sorted(fences)


def test_an_agent_that_restarts_during_an_order_does_not_repeat_it() -> None:
    fleet = Fleet()
    fleet.start_controller(EngineTarget("v2"))
    fleet.run(5, ticks_per_order=100)
    name = next(name for name, engine in fleet.engines.items() if engine.running is not None)
    fleet.restart_agent(name, "1")
    fleet.run(60)
    assert len(fleet.engines[name].executed_orders) == 1
    assert fleet.versions() == {"v2"}


def test_a_late_copy_of_an_older_order_is_refused() -> None:
    fleet = Fleet()
    fleet.fence = 1
    fleet.confirm_views()
    name = "milano-a-0"
    first_order = StartOrder(Order(name, SERVICE, OrderAction.CHANGE_VERSION, "v2"), 1, 1)
    second_order = StartOrder(Order(name, SERVICE, OrderAction.CHANGE_VERSION, "v1"), 1, 2)
    assert fleet.submit_order(name, first_order) is None
    repeat_answer = fleet.submit_order(name, first_order)
    assert repeat_answer is not None
    assert repeat_answer.state is OrderState.RUNNING
    busy = fleet.submit_order(name, second_order)
    assert busy is not None
    assert busy.refusal is OrderRefusal.BUSY
    fleet.finish_order(name)
    assert fleet.submit_order(name, second_order) is None
    fleet.finish_order(name)
    late_answer = fleet.submit_order(name, first_order)
    assert late_answer is not None
    assert late_answer.refusal is OrderRefusal.OLD_SEQUENCE
    done = fleet.submit_order(name, second_order)
    assert done is not None
    assert done.state is OrderState.DONE


def test_a_target_that_fails_twice_is_not_issued_to_other_endpoints() -> None:
    fleet = Fleet()
    for engine in fleet.engines.values():
        engine.fails_orders = True
    controller = fleet.start_controller(EngineTarget("broken"))
    fleet.run(60)
    assert fleet.executed_order_count() == 2
    assert fleet.versions() == {"v1"}
    assert controller.rollout is not None
    assert {WaitReason.ROLLOUT_STOPPED, WaitReason.FAILED} == set(
        controller.rollout.wait_reasons.values()
    )


def endpoint(
    name: str, zone: str, *loads: LoadedModel, running: Order | None = None
) -> RolloutEndpoint:
    report = EngineReport(name, "0", 1, zone, SERVICE, 1, loads, running)
    return RolloutEndpoint(name, zone, EngineTarget("v2", "hymns", "decode"), report)


def test_an_endpoint_reaches_its_target_order_by_order() -> None:
    loads: tuple[LoadedModel, ...] = ()
    actions = []
    for _ in range(4):
        rollout = plan_rollout(SERVICE, (endpoint("a", "milano-a", *loads),), 0.0)
        (order,) = rollout.orders
        actions.append(order.action)
        loads = after(order, loads)
        if order.action is OrderAction.LOAD_ADAPTER:
            break
    assert actions == [OrderAction.LOAD_MODEL, OrderAction.CHANGE_ROLE, OrderAction.LOAD_ADAPTER]
    assert plan_rollout(SERVICE, (endpoint("a", "milano-a", *loads),), 0.0).is_done


def test_an_endpoint_that_is_down_reduces_the_available_capacity() -> None:
    old_load = LoadedModel(SERVICE, "v1")
    down = RolloutEndpoint("b", "milano-a", EngineTarget("v2"), None)
    others = tuple(endpoint(name, "bergamo-b", old_load) for name in ("c", "d", "e"))
    rollout = plan_rollout(SERVICE, (down, *others), 0.75)
    assert rollout.orders == ()
    assert rollout.wait_reasons["b"] is WaitReason.NO_REPORT
    assert rollout.wait_reasons["c"] is WaitReason.CAPACITY_FLOOR


def test_an_endpoint_without_a_model_loads_regardless_of_the_others() -> None:
    rollout = plan_rollout(SERVICE, (endpoint("a", "milano-a"), endpoint("b", "bergamo-b")), 1.0)
    assert [order.action for order in rollout.orders] == [OrderAction.LOAD_MODEL] * 2
