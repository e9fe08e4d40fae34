"""Messages between the order controller and the agents, which forward orders to their engines."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Literal


class OrderAction(StrEnum):
    """Action of an order to an engine."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    CHANGE_VERSION = "change_version"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True, order=True)
class Order:
    """An order to an engine for one service.

    Orders with equal content are the same order, whoever issued them. An order is defined by the
    state that it leads to, so sending it again while it runs or after it ran has no effect.

    :param value: the version, adapter or role to set, or the version or adapter to unload.
    """

    endpoint: str
    service: str
    action: OrderAction
    value: str


@dataclass(frozen=True, order=True)
class LoadedModel:
    """The model version, adapter and role that an engine has loaded for one service.

    :param adapter: empty if none.
    """

    service: str
    version: str
    adapter: str = ""
    role: str = "serve"


@dataclass(frozen=True)
class StartOrder:
    """Controller to agent: carry out an order.

    :param fence: the controller's fencing number for the order's service.
    :param sequence: increases with each order sent to one endpoint under one fencing number.
    """

    order: Order
    fence: int
    sequence: int
    kind: Literal["start_order"] = "start_order"


class OrderState(StrEnum):
    """State of an order."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"


class OrderRefusal(StrEnum):
    """Reason why an agent refused an order; a refused order did not reach the engine."""

    NONE = ""
    OLD_FENCE = "old_fence"
    OLD_SEQUENCE = "old_sequence"
    FLOOR_UNKNOWN = "floor_unknown"
    VIEW_EXPIRED = "view_expired"
    ENGINE_UNKNOWN = "engine_unknown"
    BUSY = "busy"


@dataclass(frozen=True)
class OrderAnswer:
    """Agent to controller: the state of an order.

    :param floor: the highest fencing number that the agent knows for the service.
    """

    order: Order
    fence: int
    state: OrderState
    refusal: OrderRefusal = OrderRefusal.NONE
    floor: int = 0
    detail: str = ""
    kind: Literal["order_answer"] = "order_answer"


@dataclass(frozen=True)
class QueryEngine:
    """Controller to agent: raise the service's fence floor to ``fence`` and report the engine."""

    service: str
    fence: int
    kind: Literal["query_engine"] = "query_engine"


@dataclass(frozen=True)
class EngineReport:
    """Agent to controller: models loaded by the engine, and its running and failed orders.

    :param incarnation: identifies the run of the agent; new at each start.
    :param sequence: increases with each report of one incarnation.
    :param floor: the highest fencing number that the agent knows for the service.
    :param running: the order that the engine is carrying out.
    :param failed: orders that have failed since they last succeeded, oldest first.
    """

    endpoint: str
    incarnation: str
    sequence: int
    availability_zone: str
    service: str
    floor: int
    loads: tuple[LoadedModel, ...]
    running: Order | None = None
    failed: tuple[Order, ...] = ()
    kind: Literal["engine_report"] = "engine_report"


OrderMessage = StartOrder | OrderAnswer | QueryEngine | EngineReport
