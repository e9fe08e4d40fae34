"""Issues fenced orders that bring the engines of one service to their configured targets."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from bergamotchute_model.order_messages import (
    EngineReport,
    Order,
    OrderAnswer,
    OrderRefusal,
    OrderState,
    QueryEngine,
    StartOrder,
)
from bergamotchute_policy.order_rollout import (
    EngineTarget,
    RolloutEndpoint,
    RolloutPlan,
    plan_rollout,
)

QUERY_INTERVAL_S = 2.0
REPORT_LIFETIME_S = 10.0
FENCE_RETRY_S = 2.0


class ControllerPhase(StrEnum):
    """The phase of an order controller.

    ``FENCING`` waits for a fencing number; ``WAITING`` for the leases under older numbers to end.
    """

    STANDING_BY = "standing_by"
    FENCING = "fencing"
    WAITING = "waiting"
    ACTING = "acting"


@dataclass(frozen=True)
class ServiceMember:
    """An endpoint of the service, from membership and the configuration files.

    :param target: what its engine should have loaded; ``None`` for nothing.
    """

    endpoint: str
    availability_zone: str
    target: EngineTarget | None
    draining: bool = False


@dataclass(frozen=True)
class SendToAgent:
    """Send a message to an endpoint's agent."""

    endpoint: str
    message: QueryEngine | StartOrder


@dataclass(frozen=True)
class RequestOrderFence:
    """Request the next fencing number of the service from the replicated log."""


ControllerAction = SendToAgent | RequestOrderFence


@dataclass
class ServiceOrderController:
    """Issues the orders of one service while it holds the newest fencing number.

    A new controller first takes a fencing number and waits until every view lease granted earlier
    has ended, so that no agent still accepts orders of the previous controller. It then queries
    every agent, and issues orders to an endpoint only once the agent has answered under the new
    number. Running orders are adopted and completed ones are not repeated.

    :param lease_s: duration of a view lease, in seconds.
    :param members: the endpoints by name; kept up to date by the caller.
    :param min_available: ratio of the endpoints that must stay in service.
    :param sequence: sequence number of the last order under the fencing number.
    :param reports: newest report of each endpoint under the current fencing number, and when it
        arrived.
    :param issued_orders: order last issued to each endpoint, and when, until a report or an answer
        accounts for it.
    :param rollout: the newest plan, for operators.
    """

    service: str
    lease_s: float
    members: Mapping[str, ServiceMember] = field(default_factory=dict)
    min_available: float = 0.75
    phase: ControllerPhase = ControllerPhase.STANDING_BY
    fence: int = 0
    sequence: int = 0
    reports: dict[str, tuple[EngineReport, float]] = field(default_factory=dict)
    issued_orders: dict[str, tuple[Order, float]] = field(default_factory=dict)
    rollout: RolloutPlan | None = None
    phase_started_at_s: float = 0.0
    queried_at_s: float = float("-inf")

    def start(self, now: float) -> list[ControllerAction]:
        """Start acting as the controller."""
        self.phase = ControllerPhase.FENCING
        self.phase_started_at_s = now
        return [RequestOrderFence()]

    def stand_by(self, now: float) -> None:
        """Stop issuing orders; running orders continue, and the next controller adopts them."""
        self.phase = ControllerPhase.STANDING_BY
        self.phase_started_at_s = now
        self.reports.clear()
        self.issued_orders.clear()
        self.rollout = None

    def on_fence_taken(self, number: int, now: float) -> None:
        """Start waiting for the leases to end under which agents may accept older orders."""
        if self.phase is not ControllerPhase.FENCING or number <= self.fence:
            return
        self.fence = number
        self.sequence = 0
        self.phase = ControllerPhase.WAITING
        self.phase_started_at_s = now

    def on_engine_report(self, report: EngineReport, now: float) -> None:
        """Record an engine report, unless it is outdated or of an older fencing number.

        A report with a newer fencing number means that another controller took over.
        """
        if report.service != self.service:
            return
        is_active = self.phase in {ControllerPhase.WAITING, ControllerPhase.ACTING}
        if is_active and report.floor > self.fence:
            self.stand_by(now)
            return
        known = self.reports.get(report.endpoint)
        repeated = (
            known is not None
            and known[0].incarnation == report.incarnation
            and known[0].sequence >= report.sequence
        )
        if report.floor < self.fence or repeated:
            return
        self.reports[report.endpoint] = (report, now)
        issued = self.issued_orders.get(report.endpoint)
        if issued is not None and (
            report.running == issued[0] or now - issued[1] >= QUERY_INTERVAL_S
        ):
            del self.issued_orders[report.endpoint]

    def on_order_answer(self, answer: OrderAnswer, now: float) -> None:
        """Record the outcome of an order; stand by if the agent knows a newer fencing number."""
        if answer.refusal is OrderRefusal.OLD_FENCE and answer.floor > self.fence:
            self.stand_by(now)
            return
        if answer.state is not OrderState.RUNNING:
            self.issued_orders.pop(answer.order.endpoint, None)
            # The engine's state is unknown until its next report.
            self.reports.pop(answer.order.endpoint, None)

    def on_clock_tick(self, now: float) -> list[ControllerAction]:
        """Return queries to the agents and the orders that may be issued now."""
        if self.phase is ControllerPhase.FENCING and now - self.phase_started_at_s >= FENCE_RETRY_S:
            return self.start(now)
        if self.phase is ControllerPhase.WAITING and now - self.phase_started_at_s >= self.lease_s:
            self.phase = ControllerPhase.ACTING
            self.phase_started_at_s = now
        if self.phase is not ControllerPhase.ACTING:
            return []
        actions: list[ControllerAction] = []
        if now - self.queried_at_s >= QUERY_INTERVAL_S:
            self.queried_at_s = now
            query = QueryEngine(self.service, self.fence)
            actions += [SendToAgent(endpoint, query) for endpoint in sorted(self.members)]
        self.rollout = plan_rollout(self.service, self._rollout_endpoints(now), self.min_available)
        for order in self.rollout.orders:
            self.sequence += 1
            self.issued_orders[order.endpoint] = (order, now)
            actions.append(
                SendToAgent(order.endpoint, StartOrder(order, self.fence, self.sequence))
            )
        return actions

    def _rollout_endpoints(self, now: float) -> tuple[RolloutEndpoint, ...]:
        """Return the members with their reports, without outdated reports."""
        return tuple(
            RolloutEndpoint(
                member.endpoint,
                member.availability_zone,
                member.target,
                self._fresh_report(member.endpoint, now),
                member.draining,
            )
            for member in self.members.values()
        )

    def _fresh_report(self, endpoint: str, now: float) -> EngineReport | None:
        """Return an endpoint's report, with a just issued order as running; ``None`` if outdated."""
        report, at = self.reports.get(endpoint, (None, 0.0))
        if report is None or now - at > REPORT_LIFETIME_S:
            return None
        issued = self.issued_orders.get(endpoint)
        if issued is None:
            return report
        return EngineReport(
            report.endpoint,
            report.incarnation,
            report.sequence,
            report.availability_zone,
            report.service,
            report.floor,
            report.loads,
            issued[0],
            report.failed,
        )
