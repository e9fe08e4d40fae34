"""The status of a rank group for operators."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotchute_policy.expert_planner import ExpertPlan, PlanKind, PlanReason
from bergamotchute_policy.map_coordinator import ChangeEnded, MapCoordinator

PLAN_REASON_TEXTS = {
    PlanReason.GAIN_EXCEEDS_COST: "the gain exceeds the cost",
    PlanReason.EXPERT_WITHOUT_RANK: "an expert was on no rank",
    PlanReason.BALANCED: "every layer is within its bound",
    PlanReason.GAIN_BELOW_COST: "the gain does not exceed the cost",
    PlanReason.TOO_SOON: "the last change is too recent for a gain this small",
    PlanReason.PEAK_LOAD: "the service is at peak load, so no weights are moved",
    PlanReason.NO_BUDGET: "the weight store grants the group no rate",
}


@dataclass(frozen=True)
class RankGroupStatus:
    """The state of a group as known to its controller.

    :param phase: current phase of the coordinator.
    :param members: number of member ranks.
    :param absent: excluded ranks.
    :param waiting_for: ranks that have not answered in this phase.
    :param silent: ranks without a recent report.
    :param slow: ranks whose measured speed is well below 1, with the speed.
    :param last_change: description of the outcome of the newest change.
    :param plan: description of the newest plan.
    """

    group: str
    epoch: int
    version: int
    fence: int
    switch_step: int
    phase: str
    members: int
    absent: tuple[int, ...]
    waiting_for: tuple[int, ...]
    silent: tuple[int, ...]
    slow: tuple[tuple[int, float], ...]
    last_change: str
    plan: str


def describe_plan(plan: ExpertPlan | None) -> str:
    """Return a description of the newest plan and its reason."""
    if plan is None:
        return "no plan yet: no load reports received"
    figures = (
        f"{plan.excess_now:.1%} over perfect balance now, {plan.excess_planned:.1%} planned; "
        f"gain {plan.gain_s:.3f} s, cost {plan.cost_s:.3f} s"
    )
    outcome = {
        PlanKind.NO_CHANGE: "no change",
        PlanKind.NEW_SHARES: "new shares",
        PlanKind.MOVES: f"{len(plan.moves)} moves",
    }[plan.kind]
    return f"{outcome}: {PLAN_REASON_TEXTS[plan.reason]} ({figures})"


def describe_outcome(ended: ChangeEnded | None) -> str:
    """Return a description of how the newest change ended."""
    if ended is None:
        return "none yet"
    failed = f", waited for ranks {list(ended.failed_ranks)}" if ended.failed_ranks else ""
    return f"{ended.digest[:12]}: {ended.reason}{failed}"


def make_status(
    coordinator: MapCoordinator,
    plan: ExpertPlan | None,
    ended: ChangeEnded | None,
    silent: tuple[int, ...],
    slow: tuple[tuple[int, float], ...],
) -> RankGroupStatus:
    """Return the status of a group from its coordinator and planner."""
    record = coordinator.logged.record
    absent = record.absent if record is not None else ()
    is_waiting = coordinator.phase not in {"idle", "fencing"}
    return RankGroupStatus(
        coordinator.group,
        coordinator.epoch,
        coordinator.logged.version,
        coordinator.fence,
        record.switch_step if record is not None else 0,
        coordinator.phase.value,
        coordinator.ranks - len(absent),
        absent,
        tuple(sorted(coordinator.unanswered_ranks)) if is_waiting else (),
        silent,
        slow,
        describe_outcome(ended),
        describe_plan(plan),
    )


def explain(status: RankGroupStatus) -> list[str]:
    """Return a group's status as lines for ``explain``."""
    lines = [
        f"group {status.group}: epoch {status.epoch} from step {status.switch_step}, "
        f"version {status.version}, {status.members} ranks",
        f"controller: {status.phase} under fencing number {status.fence}",
        f"last change: {status.last_change}",
        f"planner: {status.plan}",
    ]
    if status.absent:
        lines.append(f"excluded: ranks {list(status.absent)}")
    if status.waiting_for:
        lines.append(f"waiting for: ranks {list(status.waiting_for)}")
    if status.silent:
        lines.append(f"no reports from: ranks {list(status.silent)}")
    lines += [f"slow: rank {rank} at {speed:.2f}" for rank, speed in status.slow]
    return lines
