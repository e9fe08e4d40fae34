"""Plans which orders may be issued now without reducing a service below its capacity floor.

At most one availability zone is disrupted at a time.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from bergamotchute_model.order_messages import EngineReport, LoadedModel, Order, OrderAction

TARGET_FAILURE_LIMIT = 2


@dataclass(frozen=True)
class EngineTarget:
    """What an engine should have loaded for a service."""

    version: str
    adapter: str = ""
    role: str = "serve"


@dataclass(frozen=True)
class RolloutEndpoint:
    """An endpoint of a service, as the controller knows it.

    :param target: what its engine should have loaded; ``None`` for nothing.
    :param report: newest engine report under the controller's fencing number; ``None`` if there is
        none, for example because the endpoint is down.
    :param draining: whether it takes no new work for a reason other than an order.
    """

    endpoint: str
    availability_zone: str
    target: EngineTarget | None
    report: EngineReport | None
    draining: bool = False


class WaitReason(StrEnum):
    """Why no order is issued now to an endpoint that needs one."""

    NO_REPORT = "no_report"
    RUNNING = "running"
    FAILED = "failed"
    ROLLOUT_STOPPED = "rollout_stopped"
    CAPACITY_FLOOR = "capacity_floor"
    OTHER_ZONE = "other_zone"


@dataclass(frozen=True)
class RolloutPlan:
    """The orders to issue for one service now.

    :param orders: orders to issue, at most one to each endpoint.
    :param wait_reasons: why endpoints that need an order have to wait, by endpoint.
    :param available_count: number of endpoints in service.
    :param min_available_count: minimum number of endpoints that must stay in service.
    """

    orders: tuple[Order, ...]
    wait_reasons: Mapping[str, WaitReason]
    available_count: int
    min_available_count: int

    @property
    def is_done(self) -> bool:
        """Whether every endpoint has reached its target."""
        return not self.orders and not self.wait_reasons


def next_order(service: str, endpoint: RolloutEndpoint) -> Order | None:
    """Return the next order that brings an endpoint closer to its target; ``None`` if reached."""
    load = service_load(endpoint, service)
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


def service_load(endpoint: RolloutEndpoint, service: str) -> LoadedModel | None:
    """Return what an endpoint's engine has loaded for a service."""
    if endpoint.report is None:
        return None
    return next((load for load in endpoint.report.loads if load.service == service), None)


def plan_rollout(
    service: str, endpoints: tuple[RolloutEndpoint, ...], min_available: float
) -> RolloutPlan:
    """Return the orders that may be issued now.

    Orders that take an endpoint out of service are issued in one availability zone at a time, and
    only while at least ``min_available`` of the service's endpoints stay in service. An endpoint
    that is not in service yet may load at any time. An action and value that failed on several
    endpoints is not issued to others.

    :param min_available: ratio of the endpoints with a target that must stay in service.
    """
    target_count = sum(endpoint.target is not None for endpoint in endpoints)
    floor = math.ceil(min_available * target_count - 1e-9)
    available = sum(_is_serving(endpoint, service) for endpoint in endpoints)
    spare = available - floor
    orders: list[Order] = []
    waits: dict[str, WaitReason] = {}
    stopped_targets = _stopped_targets(service, endpoints)
    zone = _zone_to_disrupt(service, endpoints, stopped_targets)
    for endpoint in sorted(
        endpoints, key=lambda endpoint: (endpoint.availability_zone, endpoint.endpoint)
    ):
        order = next_order(service, endpoint)
        if order is None:
            continue
        wait_reason = _wait_reason(endpoint, order, stopped_targets)
        is_disruptive = wait_reason is None and _disrupts(endpoint, order, service)
        if is_disruptive and endpoint.availability_zone != zone:
            wait_reason = WaitReason.OTHER_ZONE
        elif is_disruptive and spare <= 0:
            wait_reason = WaitReason.CAPACITY_FLOOR
        if wait_reason is not None:
            waits[endpoint.endpoint] = wait_reason
            continue
        orders.append(order)
        spare -= is_disruptive
    return RolloutPlan(tuple(orders), waits, available, floor)


def _wait_reason(
    endpoint: RolloutEndpoint, order: Order, stopped_targets: set[tuple[str, str]]
) -> WaitReason | None:
    """Return why an endpoint has to wait regardless of zone and capacity; ``None`` if it needn't."""
    if endpoint.report is None:
        return WaitReason.NO_REPORT
    if endpoint.report.running is not None:
        return WaitReason.RUNNING
    if order in endpoint.report.failed:
        return WaitReason.FAILED
    if (order.action, order.value) in stopped_targets:
        return WaitReason.ROLLOUT_STOPPED
    return None


def _is_serving(endpoint: RolloutEndpoint, service: str) -> bool:
    """Return whether an endpoint takes requests of the service now."""
    running = endpoint.report.running if endpoint.report is not None else None
    busy = running is not None and _disrupts(endpoint, running, service)
    return service_load(endpoint, service) is not None and not busy and not endpoint.draining


def _disrupts(endpoint: RolloutEndpoint, order: Order, service: str) -> bool:
    """Return whether an order takes a serving endpoint out of service while it runs."""
    if order.action is OrderAction.LOAD_ADAPTER or service_load(endpoint, service) is None:
        return False
    return not endpoint.draining


def _stopped_targets(service: str, endpoints: tuple[RolloutEndpoint, ...]) -> set[tuple[str, str]]:
    """Return the pairs of action and value that failed on several endpoints."""
    failures = Counter(
        (order.action, order.value)
        for endpoint in endpoints
        if endpoint.report is not None
        for order in endpoint.report.failed
        if order.service == service
    )
    return {
        (action, value)
        for (action, value), failure_count in failures.items()
        if failure_count >= TARGET_FAILURE_LIMIT
    }


def _zone_to_disrupt(
    service: str, endpoints: tuple[RolloutEndpoint, ...], stopped_targets: set[tuple[str, str]]
) -> str:
    """Return the zone already disrupted by a running order, else the first that needs one.

    Returns an empty string if no endpoint needs a disruptive order.
    """
    disrupted_zones = {
        endpoint.availability_zone
        for endpoint in endpoints
        if endpoint.report is not None
        and endpoint.report.running is not None
        and _disrupts(endpoint, endpoint.report.running, service)
    }
    if disrupted_zones:
        return min(disrupted_zones)
    ready = [
        endpoint.availability_zone
        for endpoint in endpoints
        if (order := next_order(service, endpoint)) is not None
        and _wait_reason(endpoint, order, stopped_targets) is None
        and _disrupts(endpoint, order, service)
    ]
    return min(ready, default="")
