"""Brings the engines of one service to what the files say, by fenced orders."""

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
from bergamotchute_policy.order_rollout import Rollout, RolloutEndpoint, Target, plan_rollout

QUERY_S = 2.0
REPORT_LIFETIME_S = 10.0
FENCE_AGAIN_S = 2.0


class KeeperPhase(StrEnum):
    """What an order controller is doing."""

    STANDING_BY = "standing_by"
    FENCING = "fencing"
    WAITING = "waiting"
    ACTING = "acting"


@dataclass(frozen=True)
class Member:
    """An endpoint of the service, as membership and files tell.

    :param target: what its engine shall have loaded; ``None`` for nothing.
    """

    endpoint: str
    availability_zone: str
    target: Target | None
    draining: bool = False


@dataclass(frozen=True)
class SendToAgent:
    """Send a message to an endpoint's agent."""

    endpoint: str
    message: QueryEngine | StartOrder


@dataclass(frozen=True)
class TakeOrderFence:
    """Ask the log for the next fencing number of the service."""


KeeperAction = SendToAgent | TakeOrderFence


@dataclass
class OrderKeeper:
    """Gives the orders of one service while it holds the newest fencing number.

    A new controller first takes a fencing number and waits until every view lease that was given
    before it has ended, so that no agent still takes orders of the controller before. Then it
    asks every agent, and acts on an endpoint only once its agent has answered under the new
    number: what runs there is adopted, and what is done is not repeated.

    :param members: the endpoints by name; kept up to date by the caller.
    :param min_available: the part of them that must go on serving.
    :param reports: the newest report of each endpoint under the present number, and when it came.
    :param rollout: the newest plan, for operators.
    """

    service: str
    lease_s: float
    members: Mapping[str, Member] = field(default_factory=dict)
    min_available: float = 0.75
    phase: KeeperPhase = KeeperPhase.STANDING_BY
    fence: int = 0
    sequence: int = 0
    reports: dict[str, tuple[EngineReport, float]] = field(default_factory=dict)
    given: dict[str, tuple[Order, float]] = field(default_factory=dict)
    rollout: Rollout | None = None
    phase_at_s: float = 0.0
    queried_at_s: float = float("-inf")

    def start(self, now: float) -> list[KeeperAction]:
        """Begin to act as the controller."""
        self.phase = KeeperPhase.FENCING
        self.phase_at_s = now
        return [TakeOrderFence()]

    def stand_by(self, now: float) -> None:
        """Give no more orders; those that run go on, and another controller adopts them."""
        self.phase = KeeperPhase.STANDING_BY
        self.phase_at_s = now
        self.reports.clear()
        self.given.clear()
        self.rollout = None

    def on_fence_taken(self, number: int, now: float) -> None:
        """Wait out the leases under which older orders may still be taken."""
        if self.phase is not KeeperPhase.FENCING or number <= self.fence:
            return
        self.fence = number
        self.sequence = 0
        self.phase = KeeperPhase.WAITING
        self.phase_at_s = now

    def on_engine_report(self, report: EngineReport, now: float) -> None:
        """Take in what an engine has and does; reports under an older number don't count."""
        if report.service != self.service:
            return
        acts = self.phase in {KeeperPhase.WAITING, KeeperPhase.ACTING}
        if acts and report.floor > self.fence:
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
        given = self.given.get(report.endpoint)
        if given is not None and (report.running == given[0] or now - given[1] >= QUERY_S):
            del self.given[report.endpoint]

    def on_order_answer(self, answer: OrderAnswer, now: float) -> None:
        """Take in what became of an order; a newer number than ours ends our part."""
        if answer.refusal is OrderRefusal.OLD_FENCE and answer.floor > self.fence:
            self.stand_by(now)
            return
        if answer.state is not OrderState.RUNNING:
            self.given.pop(answer.order.endpoint, None)
            # What the engine has now is known only once it has reported again.
            self.reports.pop(answer.order.endpoint, None)

    def on_clock_tick(self, now: float) -> list[KeeperAction]:
        """Ask engines how they are, and give the orders that may be given now."""
        if self.phase is KeeperPhase.FENCING and now - self.phase_at_s >= FENCE_AGAIN_S:
            return self.start(now)
        if self.phase is KeeperPhase.WAITING and now - self.phase_at_s >= self.lease_s:
            self.phase = KeeperPhase.ACTING
            self.phase_at_s = now
        if self.phase is not KeeperPhase.ACTING:
            return []
        actions: list[KeeperAction] = []
        if now - self.queried_at_s >= QUERY_S:
            self.queried_at_s = now
            query = QueryEngine(self.service, self.fence)
            actions += [SendToAgent(endpoint, query) for endpoint in sorted(self.members)]
        self.rollout = plan_rollout(self.service, self._endpoints(now), self.min_available)
        for order in self.rollout.orders:
            self.sequence += 1
            self.given[order.endpoint] = (order, now)
            actions.append(
                SendToAgent(order.endpoint, StartOrder(order, self.fence, self.sequence))
            )
        return actions

    def _endpoints(self, now: float) -> tuple[RolloutEndpoint, ...]:
        """Return the members with their reports, where these are fresh enough."""
        return tuple(
            RolloutEndpoint(
                member.endpoint,
                member.availability_zone,
                member.target,
                self._report(member.endpoint, now),
                member.draining,
            )
            for member in self.members.values()
        )

    def _report(self, endpoint: str, now: float) -> EngineReport | None:
        """Return an endpoint's report, with an order just given counted as running."""
        report, at = self.reports.get(endpoint, (None, 0.0))
        if report is None or now - at > REPORT_LIFETIME_S:
            return None
        given = self.given.get(endpoint)
        if given is None:
            return report
        return EngineReport(
            report.endpoint,
            report.incarnation,
            report.sequence,
            report.availability_zone,
            report.service,
            report.floor,
            report.loads,
            given[0],
            report.failed,
        )
