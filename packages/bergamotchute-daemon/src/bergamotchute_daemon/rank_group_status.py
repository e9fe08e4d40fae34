"""What operators see of a rank group."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotchute_policy.expert_planner import ExpertPlan, PlanKind, PlanReason
from bergamotchute_policy.map_coordinator import ChangeEnded, MapCoordinator

REASONS = {
    PlanReason.GAIN_EXCEEDS_COST: "the gain exceeds the cost",
    PlanReason.EXPERT_WITHOUT_RANK: "an expert had lost its last rank",
    PlanReason.BALANCED: "every layer is within its bound",
    PlanReason.GAIN_BELOW_COST: "the gain would not pay for the change",
    PlanReason.TOO_SOON: "the last change was too short a time ago for so little gain",
    PlanReason.PEAK_LOAD: "demand is at its crest, so weights stay where they are",
    PlanReason.NO_BUDGET: "the weight store grants no rate",
}


@dataclass(frozen=True)
class RankGroupStatus:
    """The state of a group as its controller sees it.

    :param phase: what the controller is doing.
    :param waiting_for: the ranks that have not answered in this phase.
    :param silent: ranks without a report for long.
    :param slow: ranks whose measured speed is well under 1, with the speed.
    :param last_change: how the newest change ended.
    :param plan: what the planner found last, in words.
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
    """Return in words what the planner did or left, and why."""
    if plan is None:
        return "nothing planned yet: no load reports"
    figures = (
        f"{plan.excess_now:.1%} over a perfect split now, {plan.excess_planned:.1%} planned; "
        f"gain {plan.gain_s:.3f} s, cost {plan.cost_s:.3f} s"
    )
    did = {
        PlanKind.NO_CHANGE: "no change",
        PlanKind.NEW_SHARES: "new shares",
        PlanKind.MOVES: f"{len(plan.moves)} moves",
    }[plan.kind]
    return f"{did}: {REASONS[plan.reason]} ({figures})"


def describe_end(ended: ChangeEnded | None) -> str:
    """Return in words how the newest change ended."""
    if ended is None:
        return "none yet"
    late = f", waited for ranks {list(ended.failed_ranks)}" if ended.failed_ranks else ""
    return f"{ended.digest[:12]}: {ended.reason}{late}"


def status_of(
    core: MapCoordinator,
    plan: ExpertPlan | None,
    ended: ChangeEnded | None,
    silent: tuple[int, ...],
    slow: tuple[tuple[int, float], ...],
) -> RankGroupStatus:
    """Return a group's status from its controller's parts."""
    record = core.logged.record
    absent = record.absent if record is not None else ()
    waits = core.phase not in {"idle", "fencing"}
    return RankGroupStatus(
        core.group,
        core.epoch,
        core.logged.version,
        core.fence,
        record.switch_step if record is not None else 0,
        core.phase.value,
        core.ranks - len(absent),
        absent,
        tuple(sorted(core.unanswered_ranks)) if waits else (),
        silent,
        slow,
        describe_end(ended),
        describe_plan(plan),
    )


def explain(status: RankGroupStatus) -> list[str]:
    """Return a group's state as lines for ``explain``."""
    lines = [
        f"group {status.group}: epoch {status.epoch} from step {status.switch_step}, "
        f"version {status.version}, {status.members} ranks",
        f"controller: {status.phase} under fencing number {status.fence}",
        f"last change: {status.last_change}",
        f"planner: {status.plan}",
    ]
    if status.absent:
        lines.append(f"taken out: ranks {list(status.absent)}")
    if status.waiting_for:
        lines.append(f"waits for: ranks {list(status.waiting_for)}")
    if status.silent:
        lines.append(f"no reports from: ranks {list(status.silent)}")
    lines += [f"slow: rank {rank} at {speed:.2f}" for rank, speed in status.slow]
    return lines
