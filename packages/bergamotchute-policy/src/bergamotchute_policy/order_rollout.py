"""Which orders may be given now, so that a service keeps its capacity and its zones."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from bergamotchute_model.order_messages import EngineReport, Order, OrderAction, ServiceLoad

MOST_FAILURES = 2


@dataclass(frozen=True)
class Target:
    """What an engine shall have loaded for a service."""

    version: str
    adapter: str = ""
    role: str = "serve"


@dataclass(frozen=True)
class RolloutEndpoint:
    """One endpoint of a service, as the controller knows it.

    :param target: what its engine shall have loaded; ``None`` for nothing.
    :param report: its engine's newest word under the controller's fencing number; ``None`` when
        there is none, as from an endpoint that is down.
    :param draining: it takes no new work for another reason.
    """

    endpoint: str
    availability_zone: str
    target: Target | None
    report: EngineReport | None
    draining: bool = False


class Wait(StrEnum):
    """Why an endpoint that needs an order gets none now."""

    NO_REPORT = "no_report"
    RUNNING = "running"
    FAILED = "failed"
    ROLLOUT_STOPPED = "rollout_stopped"
    CAPACITY_FLOOR = "capacity_floor"
    OTHER_ZONE = "other_zone"


@dataclass(frozen=True)
class Rollout:
    """What to do for one service now.

    :param orders: the orders to give, each to another endpoint.
    :param waits: why other endpoints wait, by endpoint.
    :param available: endpoints that can serve.
    :param floor: endpoints that must go on serving.
    """

    orders: tuple[Order, ...]
    waits: Mapping[str, Wait]
    available: int
    floor: int

    @property
    def is_done(self) -> bool:
        """Whether every endpoint has what it shall have."""
        return not self.orders and not self.waits


def next_order(service: str, endpoint: RolloutEndpoint) -> Order | None:
    """Return the first order on an endpoint's way to its target; ``None`` when it is there."""
    load = load_of(endpoint, service)
    target = endpoint.target
    step: tuple[OrderAction, str] | None = None
    if target is None:
        step = (OrderAction.UNLOAD_MODEL, load.version) if load is not None else None
    elif load is None:
        step = (OrderAction.LOAD_MODEL, target.version)
    elif load.version != target.version:
        step = (OrderAction.CHANGE_VERSION, target.version)
    elif load.role != target.role:
        step = (OrderAction.CHANGE_ROLE, target.role)
    elif load.adapter != target.adapter and target.adapter:
        step = (OrderAction.LOAD_ADAPTER, target.adapter)
    elif load.adapter != target.adapter:
        step = (OrderAction.UNLOAD_ADAPTER, load.adapter)
    return Order(endpoint.endpoint, service, *step) if step is not None else None


def load_of(endpoint: RolloutEndpoint, service: str) -> ServiceLoad | None:
    """Return what an endpoint's engine has loaded for a service."""
    if endpoint.report is None:
        return None
    return next((load for load in endpoint.report.loads if load.service == service), None)


def plan_rollout(
    service: str, endpoints: tuple[RolloutEndpoint, ...], min_available: float
) -> Rollout:
    """Return the orders that may be given now.

    Orders that take an endpoint out of service are given in one availability zone at a time, and
    only while at least ``min_available`` of the service's endpoints go on serving. An endpoint
    that does not serve yet may load at any time. A target that failed on several endpoints is
    given to no further one.

    :param min_available: the part of the endpoints with a target that must go on serving.
    """
    wanted = sum(one.target is not None for one in endpoints)
    floor = math.ceil(min_available * wanted - 1e-9)
    available = sum(_serves(one, service) for one in endpoints)
    spare = available - floor
    orders: list[Order] = []
    waits: dict[str, Wait] = {}
    stopped = _stopped_targets(service, endpoints)
    zone = _zone_to_touch(service, endpoints, stopped)
    for one in sorted(endpoints, key=lambda each: (each.availability_zone, each.endpoint)):
        order = next_order(service, one)
        if order is None:
            continue
        wait = _wait(one, order, stopped)
        disrupts = wait is None and _disrupts(one, order, service)
        if disrupts and one.availability_zone != zone:
            wait = Wait.OTHER_ZONE
        elif disrupts and spare <= 0:
            wait = Wait.CAPACITY_FLOOR
        if wait is not None:
            waits[one.endpoint] = wait
            continue
        orders.append(order)
        spare -= disrupts
    return Rollout(tuple(orders), waits, available, floor)


def _wait(one: RolloutEndpoint, order: Order, stopped: set[tuple[str, str]]) -> Wait | None:
    """Return why an endpoint can get no order, whatever the others do."""
    if one.report is None:
        return Wait.NO_REPORT
    if one.report.running is not None:
        return Wait.RUNNING
    if order in one.report.failed:
        return Wait.FAILED
    if (order.action, order.value) in stopped:
        return Wait.ROLLOUT_STOPPED
    return None


def _serves(one: RolloutEndpoint, service: str) -> bool:
    """Return whether an endpoint takes requests of the service now."""
    running = one.report.running if one.report is not None else None
    busy = running is not None and _disrupts(one, running, service)
    return load_of(one, service) is not None and not busy and not one.draining


def _disrupts(one: RolloutEndpoint, order: Order, service: str) -> bool:
    """Return whether an order takes a serving endpoint out of service while it runs."""
    if order.action is OrderAction.LOAD_ADAPTER or load_of(one, service) is None:
        return False
    return not one.draining


def _stopped_targets(service: str, endpoints: tuple[RolloutEndpoint, ...]) -> set[tuple[str, str]]:
    """Return actions and values that failed on several endpoints."""
    failures = Counter(
        (order.action, order.value)
        for one in endpoints
        if one.report is not None
        for order in one.report.failed
        if order.service == service
    )
    return {(action, value) for (action, value), n in failures.items() if n >= MOST_FAILURES}


def _zone_to_touch(
    service: str, endpoints: tuple[RolloutEndpoint, ...], stopped: set[tuple[str, str]]
) -> str:
    """Return the zone where endpoints are out of service already, or the first with work."""
    out = {
        one.availability_zone
        for one in endpoints
        if one.report is not None
        and one.report.running is not None
        and _disrupts(one, one.report.running, service)
    }
    if out:
        return min(out)
    ready = [
        one.availability_zone
        for one in endpoints
        if (order := next_order(service, one)) is not None
        and _wait(one, order, stopped) is None
        and _disrupts(one, order, service)
    ]
    return min(ready, default="")
