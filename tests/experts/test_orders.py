"""Orders reach an engine once, under the newest fencing number, and spare the service."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import pytest

from bergamotchute_model.order_messages import (
    EngineReport,
    Order,
    OrderAction,
    OrderAnswer,
    OrderRefusal,
    OrderState,
    QueryEngine,
    ServiceLoad,
    StartOrder,
)
from bergamotchute_policy.order_floor import EngineState, OrderFloor, RunOrder, is_satisfied
from bergamotchute_policy.order_keeper import (
    KeeperAction,
    KeeperPhase,
    Member,
    OrderKeeper,
    SendToAgent,
    TakeOrderFence,
)
from bergamotchute_policy.order_rollout import (
    RolloutEndpoint,
    Target,
    Wait,
    plan_rollout,
)

LEASE_S = 3.0
ZONES = ("bergamo-b", "brescia-c", "milano-a")
SERVICE = "drafting"


@dataclass
class FakeEngine:
    """An engine that takes some time for an order, and may check fencing numbers itself."""

    loads: tuple[ServiceLoad, ...]
    honours_fencing: bool = False
    floor: int = 0
    running: Order | None = None
    ran: list[tuple[Order, int]] = field(default_factory=list)
    breaks: bool = False

    @property
    def state(self) -> EngineState:
        return EngineState(self.loads, self.running)

    def start(self, order: Order, fence: int) -> bool:
        assert self.running is None, "the engine was given two orders at once"
        if self.honours_fencing and fence < self.floor:
            return False
        self.floor = max(self.floor, fence)
        self.running = order
        self.ran.append((order, fence))
        return True

    def finish(self) -> Order:
        order = self.running
        assert order is not None
        self.running = None
        if not self.breaks:
            self.loads = after(order, self.loads)
            assert is_satisfied(order, self.loads)
        return order


def after(order: Order, loads: tuple[ServiceLoad, ...]) -> tuple[ServiceLoad, ...]:
    others = tuple(load for load in loads if load.service != order.service)
    own = next((load for load in loads if load.service == order.service), None)
    present = own or ServiceLoad(order.service, "")
    changed = {
        OrderAction.LOAD_MODEL: replace(present, version=order.value),
        OrderAction.CHANGE_VERSION: replace(present, version=order.value),
        OrderAction.LOAD_ADAPTER: replace(present, adapter=order.value),
        OrderAction.UNLOAD_ADAPTER: replace(present, adapter=""),
        OrderAction.CHANGE_ROLE: replace(present, role=order.value),
    }.get(order.action)
    return (*others, changed) if changed is not None else others


class Fleet:
    """Engines with their agents' floors, a fence, and controllers that a test steps."""

    def __init__(self, per_zone: int = 3, *, honours_fencing: bool = False) -> None:
        self.now = 0.0
        self.fence = 0
        self.engines: dict[str, FakeEngine] = {}
        self.floors: dict[str, OrderFloor] = {}
        self.zone_of: dict[str, str] = {}
        self.keepers: list[OrderKeeper] = []
        self.least_serving = per_zone * len(ZONES)
        self.most_zones_out = 0
        for zone in ZONES:
            for number in range(per_zone):
                name = f"{zone}-{number}"
                load = ServiceLoad(SERVICE, "v1")
                self.engines[name] = FakeEngine((load,), honours_fencing)
                self.zone_of[name] = zone
                self.restart_agent(name, "0")

    def restart_agent(self, name: str, life: str) -> None:
        """Start an agent anew: it reads its engine, and the fence once its view is confirmed."""
        floor = OrderFloor(name, self.zone_of[name], life)
        floor.on_engine(self.engines[name].state)
        self.floors[name] = floor

    def confirm_views(self) -> None:
        for floor in self.floors.values():
            floor.on_view(SERVICE, self.fence)

    def controller(self, target: Target) -> OrderKeeper:
        members = {name: Member(name, zone, target) for name, zone in self.zone_of.items()}
        keeper = OrderKeeper(SERVICE, LEASE_S, members)
        self.keepers.append(keeper)
        self.carry(keeper, keeper.start(self.now))
        return keeper

    def carry(self, keeper: OrderKeeper, actions: Iterable[KeeperAction]) -> None:
        for action in actions:
            if isinstance(action, TakeOrderFence):
                self.fence += 1
                keeper.on_fence_taken(self.fence, self.now)
            elif isinstance(action, SendToAgent):
                self.at_agent(keeper, action)

    def at_agent(self, keeper: OrderKeeper, action: SendToAgent) -> None:
        floor = self.floors[action.endpoint]
        if isinstance(action.message, QueryEngine):
            floor.raise_floor(SERVICE, action.message.fence)
            report = floor.report(SERVICE)
            if report is not None:
                keeper.on_engine_report(report, self.now)
            return
        answer = self.give(action.endpoint, action.message)
        if answer is not None:
            keeper.on_order_answer(answer, self.now)

    def give(self, name: str, message: StartOrder, *, confirmed: bool = True) -> OrderAnswer | None:
        judged = self.floors[name].on_start_order(message, view_confirmed=confirmed)
        if isinstance(judged, RunOrder):
            assert self.engines[name].start(judged.order, judged.fence)
            return None
        return judged

    def finish(self, name: str) -> None:
        order = self.engines[name].finish()
        succeeded = not self.engines[name].breaks
        answer = self.floors[name].on_ended(order, self.engines[name].state, succeeded=succeeded)
        for keeper in self.keepers:
            if keeper.phase is KeeperPhase.ACTING:
                keeper.on_order_answer(answer, self.now)

    def tick(self, seconds: float = 1.0) -> None:
        self.now += seconds
        self.confirm_views()
        for keeper in self.keepers:
            self.carry(keeper, keeper.on_clock_tick(self.now))
        busy = [name for name, engine in self.engines.items() if engine.running is not None]
        self.least_serving = min(self.least_serving, len(self.engines) - len(busy))
        self.most_zones_out = max(self.most_zones_out, len({self.zone_of[name] for name in busy}))

    def run(self, ticks: int, *, takes: int = 3) -> None:
        """Let time pass; each order takes a few ticks."""
        for number in range(ticks):
            self.tick()
            if number % takes == takes - 1:
                for name, engine in self.engines.items():
                    if engine.running is not None:
                        self.finish(name)

    def versions(self) -> set[str]:
        return {engine.loads[0].version for engine in self.engines.values()}

    def runs(self) -> int:
        return sum(len(engine.ran) for engine in self.engines.values())


HONOUR = pytest.mark.parametrize("honours_fencing", [True, False])


@HONOUR
def test_a_rolling_change_keeps_the_floor_and_touches_one_zone_at_a_time(
    honours_fencing: bool,
) -> None:
    fleet = Fleet(honours_fencing=honours_fencing)
    keeper = fleet.controller(Target("v2"))
    fleet.run(80)
    assert fleet.versions() == {"v2"}
    assert fleet.least_serving >= 7
    assert fleet.most_zones_out == 1
    assert fleet.runs() == 9
    assert keeper.rollout is not None
    assert keeper.rollout.is_done


def test_a_new_controller_waits_out_the_lease_and_adopts_what_runs() -> None:
    fleet = Fleet()
    fleet.controller(Target("v2"))
    fleet.run(5, takes=100)
    running = [name for name, engine in fleet.engines.items() if engine.running is not None]
    assert running
    fleet.keepers.clear()
    new = fleet.controller(Target("v2"))
    for _ in range(2):
        fleet.tick()
        assert new.phase is KeeperPhase.WAITING
    fleet.run(100)
    assert fleet.versions() == {"v2"}
    assert fleet.runs() == 9
    assert fleet.least_serving >= 7


@HONOUR
def test_the_old_of_two_controllers_reaches_no_engine(honours_fencing: bool) -> None:
    fleet = Fleet(honours_fencing=honours_fencing)
    old = fleet.controller(Target("v2"))
    fleet.run(4, takes=100)
    for name, engine in fleet.engines.items():
        if engine.running is not None:
            fleet.finish(name)
    new = fleet.controller(Target("v1"))
    fleet.run(5)
    late = StartOrder(Order("milano-a-0", SERVICE, OrderAction.CHANGE_VERSION, "v2"), old.fence, 99)
    answer = fleet.give("milano-a-0", late)
    assert answer is not None
    assert answer.refusal is OrderRefusal.OLD_FENCE
    fleet.run(60)
    assert old.phase is KeeperPhase.STANDING_BY
    assert new.phase is KeeperPhase.ACTING
    assert fleet.versions() == {"v1"}
    for engine in fleet.engines.values():
        fences = [fence for _, fence in engine.ran]
        assert fences == sorted(fences)


def test_a_restarted_agent_takes_no_order_before_a_confirmed_view() -> None:
    fleet = Fleet()
    old = fleet.controller(Target("v2"))
    fleet.run(5)
    fleet.controller(Target("v2"))
    fleet.run(5)
    fleet.restart_agent("milano-a-0", "1")
    late = StartOrder(Order("milano-a-0", SERVICE, OrderAction.CHANGE_VERSION, "v9"), old.fence, 99)
    answer = fleet.give("milano-a-0", late)
    assert answer is not None
    assert answer.refusal is OrderRefusal.FLOOR_UNKNOWN
    fleet.confirm_views()
    answer = fleet.give("milano-a-0", late)
    assert answer is not None
    assert answer.refusal is OrderRefusal.OLD_FENCE
    fresh = replace(late, fence=fleet.fence)
    answer = fleet.give("milano-a-0", fresh, confirmed=False)
    assert answer is not None
    assert answer.refusal is OrderRefusal.VIEW_EXPIRED


class ForgetsItsFloor(OrderFloor):
    """A mutant: takes orders after a restart without a confirmed view."""

    def on_start_order(
        self, message: StartOrder, *, view_confirmed: bool
    ) -> OrderAnswer | RunOrder:
        self.confirmed.add(message.order.service)
        return super().on_start_order(message, view_confirmed=True)


def test_an_agent_that_forgets_its_floor_is_caught_by_the_order_of_fences() -> None:
    fleet = Fleet()
    name = "milano-a-0"
    fleet.fence = 7
    fleet.confirm_views()
    change = Order(name, SERVICE, OrderAction.CHANGE_VERSION, "v2")
    assert fleet.give(name, StartOrder(change, 7, 1)) is None
    fleet.finish(name)
    floor = ForgetsItsFloor(name, "milano-a", "1")
    floor.on_engine(fleet.engines[name].state)
    fleet.floors[name] = floor
    assert fleet.give(name, StartOrder(replace(change, value="v1"), 3, 9)) is None
    fences = [fence for _, fence in fleet.engines[name].ran]
    assert fences != sorted(fences)


def test_an_agent_that_restarts_during_an_order_does_not_give_it_again() -> None:
    fleet = Fleet()
    fleet.controller(Target("v2"))
    fleet.run(5, takes=100)
    name = next(name for name, engine in fleet.engines.items() if engine.running is not None)
    fleet.restart_agent(name, "1")
    fleet.run(60)
    assert len(fleet.engines[name].ran) == 1
    assert fleet.versions() == {"v2"}


def test_a_late_copy_of_an_older_order_is_refused() -> None:
    fleet = Fleet()
    fleet.fence = 1
    fleet.confirm_views()
    name = "milano-a-0"
    first = StartOrder(Order(name, SERVICE, OrderAction.CHANGE_VERSION, "v2"), 1, 1)
    second = StartOrder(Order(name, SERVICE, OrderAction.CHANGE_VERSION, "v1"), 1, 2)
    assert fleet.give(name, first) is None
    again = fleet.give(name, first)
    assert again is not None
    assert again.state is OrderState.RUNNING
    busy = fleet.give(name, second)
    assert busy is not None
    assert busy.refusal is OrderRefusal.BUSY
    fleet.finish(name)
    assert fleet.give(name, second) is None
    fleet.finish(name)
    late = fleet.give(name, first)
    assert late is not None
    assert late.refusal is OrderRefusal.OLD_SEQUENCE
    done = fleet.give(name, second)
    assert done is not None
    assert done.state is OrderState.DONE


def test_a_target_that_fails_twice_is_given_to_nobody_else() -> None:
    fleet = Fleet()
    for engine in fleet.engines.values():
        engine.breaks = True
    keeper = fleet.controller(Target("broken"))
    fleet.run(60)
    assert fleet.runs() == 2
    assert fleet.versions() == {"v1"}
    assert keeper.rollout is not None
    assert {Wait.ROLLOUT_STOPPED, Wait.FAILED} == set(keeper.rollout.waits.values())


def endpoint(
    name: str, zone: str, *loads: ServiceLoad, running: Order | None = None
) -> RolloutEndpoint:
    report = EngineReport(name, "0", 1, zone, SERVICE, 1, loads, running)
    return RolloutEndpoint(name, zone, Target("v2", "hymns", "decode"), report)


def test_an_endpoint_comes_to_its_target_step_by_step() -> None:
    loads: tuple[ServiceLoad, ...] = ()
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


def test_an_endpoint_that_is_down_counts_against_the_floor() -> None:
    old = ServiceLoad(SERVICE, "v1")
    down = RolloutEndpoint("b", "milano-a", Target("v2"), None)
    others = tuple(endpoint(name, "bergamo-b", old) for name in ("c", "d", "e"))
    rollout = plan_rollout(SERVICE, (down, *others), 0.75)
    assert rollout.orders == ()
    assert rollout.waits["b"] is Wait.NO_REPORT
    assert rollout.waits["c"] is Wait.CAPACITY_FLOOR


def test_an_endpoint_without_a_model_loads_whatever_the_others_do() -> None:
    rollout = plan_rollout(SERVICE, (endpoint("a", "milano-a"), endpoint("b", "bergamo-b")), 1.0)
    assert [order.action for order in rollout.orders] == [OrderAction.LOAD_MODEL] * 2
