"""Tests of dispatch, queueing, refusal and cancellation at one entry."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotchute_model.attempt_messages import EndpointLoad
from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import EndpointAnnouncement
from bergamotchute_model.problem import ProblemCode
from bergamotchute_model.verdict import Verdict
from bergamotchute_policy.endpoint_tracker import AttemptOutcome
from bergamotchute_policy.scheduling_settings import SchedulingSettings
from bergamotchute_policy.service_scheduler import ServiceScheduler
from bergamotchute_policy.work import Decision, Dispatch, RequestSize, Shed, Work


def announce(
    name: str, slots: int = 4, zone: str = "z1", incarnation: str = "a"
) -> EndpointAnnouncement:
    return EndpointAnnouncement(
        name, incarnation, 1, f"vm-{name}", zone, Address("127.0.0.1", 9), ("draft",), slots
    )


def scheduler_of(*names: str, slots: int = 4, **changes: float) -> ServiceScheduler:
    scheduling_settings = SchedulingSettings(slow_start_s=0.0, **changes)  # type: ignore[arg-type]
    scheduler = ServiceScheduler("z1", Random(1), scheduling_settings)
    for name in names:
        scheduler.on_announcement(announce(name, slots), 0.0)
    return scheduler


def work(
    number: int, tokens: float = 30.0, team: str = "t", deadline: float = 100.0, body: int = 10
) -> Work:
    size = RequestSize.LONG if tokens >= 300 else RequestSize.SHORT
    return Work(f"r{number}", "draft", team, tokens, size, deadline, body)


def dispatched(decisions: list[Decision]) -> list[str]:
    return [decision.work.request_id for decision in decisions if isinstance(decision, Dispatch)]


def shed(decisions: list[Decision]) -> list[Shed]:
    return [decision for decision in decisions if isinstance(decision, Shed)]


def test_a_request_is_dispatched_at_once_when_there_is_room() -> None:
    scheduler = scheduler_of("a")
    (decision,) = scheduler.offer(work(1), 0.0)
    assert isinstance(decision, Dispatch)
    assert (decision.endpoint, decision.incarnation) == ("a", "a")


def test_a_request_waits_without_room_and_is_dispatched_when_another_finishes() -> None:
    scheduler = scheduler_of("a", slots=1, overcommit=0)
    (first,) = scheduler.offer(work(1), 0.0)
    assert isinstance(first, Dispatch)
    assert scheduler.offer(work(2), 0.0) == []
    assert dispatched(scheduler.on_finish(first, AttemptOutcome.COMPLETED, 1.0, 30)) == ["r2"]
    assert scheduler.next_deadline(1.0) is None


def test_short_work_goes_first_and_long_work_keeps_its_minimum_share() -> None:
    scheduler = scheduler_of("a", slots=1, overcommit=0, long_floor=0.5)
    (running,) = scheduler.offer(work(0), 0.0)
    scheduler.offer(work(100, tokens=300), 0.0)
    for number in range(1, 40):
        scheduler.offer(work(number), 0.0)
    order = []
    for step in range(30):
        assert isinstance(running, Dispatch)
        (running,) = scheduler.on_finish(running, AttemptOutcome.COMPLETED, 0.1 * step)
        order.append(running.work.request_id)
    assert order.index("r100") == 20


def test_long_work_never_takes_the_slots_kept_for_short_work() -> None:
    scheduler = scheduler_of("a", "b", slots=4, long_share=0.5)
    decisions = [
        decision
        for number in range(20)
        for decision in scheduler.offer(work(number, tokens=900), 0.0)
    ]
    assert len(dispatched(decisions)) == 4
    assert dispatched(scheduler.offer(work(99), 0.0)) == ["r99"]


def test_an_unreachable_deadline_is_refused_at_once_as_not_run() -> None:
    scheduler = scheduler_of("a", slots=1, overcommit=0)
    scheduler.offer(work(1, tokens=290), 0.0)
    scheduler.offer(work(2, tokens=290), 0.0)
    (refusal,) = shed(scheduler.offer(work(3, deadline=5.0), 0.0))
    assert refusal.problem.verdict is Verdict.NOT_RUN
    assert refusal.problem.code is ProblemCode.DEADLINE_UNREACHABLE
    assert refusal.problem.retry_after_s is not None
    assert refusal.problem.retry_after_s > 5


def test_a_waiting_request_is_refused_as_soon_as_its_deadline_is_unreachable() -> None:
    scheduler = scheduler_of("a", slots=1, overcommit=0)
    scheduler.offer(work(1), 0.0)
    scheduler.offer(work(2, deadline=3.0), 0.0)
    assert scheduler.on_tick(1.9) == []
    assert [refusal.work.request_id for refusal in shed(scheduler.on_tick(2.0))] == ["r2"]
    assert scheduler.next_deadline(2.0) is None


def test_a_full_queue_refuses_the_team_with_most_queued_work() -> None:
    scheduler = scheduler_of("a", slots=1, overcommit=0, queue_count=10)
    scheduler.offer(work(0), 0.0)
    for number in range(1, 11):
        assert scheduler.offer(work(number, team="large"), 0.0) == []
    (refusal,) = shed(scheduler.offer(work(50, team="small"), 0.0))
    assert refusal.work.team == "large"
    assert refusal.problem.code is ProblemCode.OVERLOADED
    assert scheduler.cancel("r50")


def test_the_queue_is_bounded_in_bytes() -> None:
    scheduler = scheduler_of("a", slots=1, overcommit=0, queue_bytes=100)
    scheduler.offer(work(0), 0.0)
    refusals = [
        refusal
        for number in range(1, 9)
        for refusal in shed(scheduler.offer(work(number, body=30), 0.0))
    ]
    assert len(refusals) == 5
    assert scheduler.queue.queued_bytes == 90


def test_reports_that_are_late_or_of_another_incarnation_are_ignored() -> None:
    scheduler = scheduler_of("a", slots=4)
    scheduler.on_load_report(EndpointLoad("a", "a", 5, 3, 0, 90, 4, yours=0), 0.0)
    scheduler.on_load_report(EndpointLoad("a", "a", 4, 0, 0, 0, 4, yours=0), 0.0)
    scheduler.on_load_report(EndpointLoad("a", "old", 9, 0, 0, 0, 4, yours=0), 0.0)
    assert scheduler.endpoint_tracker.records["a"].other_attempts == 3


def test_attempts_of_this_entry_are_not_counted_twice_with_a_report() -> None:
    scheduler = scheduler_of("a", slots=4)
    scheduler.offer(work(1), 0.0)
    scheduler.offer(work(2), 0.0)
    scheduler.on_load_report(EndpointLoad("a", "a", 1, 3, 0, 90, 4, yours=1), 0.5)
    (record,) = scheduler.endpoint_tracker.usable_records(0.5)
    assert record.busy() == 4


def test_an_entry_with_late_reports_gets_its_share_of_a_full_endpoint() -> None:
    scheduler = scheduler_of("a", slots=4, overcommit=0)
    scheduler.on_load_report(EndpointLoad("a", "a", 1, 4, 0, 90, 4, yours=0, entries=2), 0.0)
    decisions = [decision for number in range(4) for decision in scheduler.offer(work(number), 0.0)]
    assert len(dispatched(decisions)) == 2


def test_an_entry_with_a_backlog_keeps_its_share_of_endpoints_that_others_fill() -> None:
    scheduler = scheduler_of("a", slots=4, overcommit=0)
    first = [decision for number in range(9) for decision in scheduler.offer(work(number), 0.0)]
    running = [decision for decision in first if isinstance(decision, Dispatch)]
    assert len(running) == 4
    for sequence in range(1, 5):
        load = EndpointLoad("a", "a", sequence, 4, 0, 90, 4, yours=4 - sequence, entries=2)
        scheduler.on_load_report(load, 0.1 * sequence)
    more = [
        decision
        for ended in running
        for decision in scheduler.on_finish(ended, AttemptOutcome.COMPLETED, 0.5, 30)
    ]
    assert len(dispatched(more)) == 2


def test_a_new_incarnation_starts_empty_and_ignores_ends_of_old_attempts() -> None:
    scheduler = scheduler_of("a", slots=1, overcommit=0)
    (old,) = scheduler.offer(work(1), 0.0)
    assert isinstance(old, Dispatch)
    scheduler.on_announcement(announce("a", 1, incarnation="b"), 1.0)
    (new,) = scheduler.offer(work(2), 1.0)
    assert isinstance(new, Dispatch)
    assert new.incarnation == "b"
    scheduler.on_finish(old, AttemptOutcome.FAILED, 1.0)
    assert scheduler.endpoint_tracker.records["a"].busy() == 1


def test_a_draining_endpoint_gets_no_more_work() -> None:
    scheduler = scheduler_of("a", "b")
    scheduler.on_draining("a", "a")
    decisions = [decision for number in range(4) for decision in scheduler.offer(work(number), 0.0)]
    assert {decision.endpoint for decision in decisions if isinstance(decision, Dispatch)} == {"b"}


def test_a_drain_by_file_can_be_withdrawn_and_an_announced_one_can_not() -> None:
    scheduler = scheduler_of("a")
    scheduler.on_drains(frozenset({"a"}), 0.0)
    assert scheduler.offer(work(1), 0.0) == []
    assert dispatched(scheduler.on_drains(frozenset(), 0.0)) == ["r1"]
    scheduler.on_draining("a", "a")
    scheduler.on_announcement(announce("a"), 0.0)
    assert scheduler.offer(work(2), 0.0) == []


def test_the_majority_of_endpoints_is_never_ejected() -> None:
    scheduler = scheduler_of("a", "b", "c", "d", "e", slots=100)
    for number in range(400):
        for decision in scheduler.offer(work(number), 0.0):
            if isinstance(decision, Dispatch):
                scheduler.on_finish(decision, AttemptOutcome.FAILED, 0.0)
    assert len(scheduler.endpoint_tracker.usable_records(0.0)) == 3
    assert len(scheduler.endpoint_tracker.usable_records(1000.0)) == 5


def test_work_goes_to_another_zone_when_the_own_zone_is_lost() -> None:
    scheduler = scheduler_of("a")
    scheduler.on_announcement(announce("far", zone="z2"), 0.0)
    assert all(
        each.endpoint == "a" for each in scheduler.offer(work(0), 0.0) if isinstance(each, Dispatch)
    )
    scheduler.on_lapse("a")
    (decision,) = scheduler.offer(work(1), 0.0)
    assert isinstance(decision, Dispatch)
    assert decision.endpoint == "far"


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["offer", "finish", "fail", "cancel", "tick", "lapse", "return"]),
            st.integers(0, 5),
            st.floats(0, 0.5),
        ),
        max_size=120,
    )
)
def test_each_request_gets_exactly_one_decision(steps: list[tuple[str, int, float]]) -> None:
    scheduler = scheduler_of("a", "b", slots=2, queue_count=12)
    offered: set[str] = set()
    decided: list[str] = []
    cancelled: set[str] = set()
    running: list[Dispatch] = []
    now = 0.0

    def take(decisions: list[Decision]) -> None:
        decided.extend(decision.work.request_id for decision in decisions)
        running.extend(decision for decision in decisions if isinstance(decision, Dispatch))

    for index, (kind, pick, pause) in enumerate(steps):
        now += pause
        if kind == "offer":
            request = work(index, (10, 30, 400)[pick % 3], f"t{pick}", now + 0.5 + pick * 3)
            offered.add(request.request_id)
            take(scheduler.offer(request, now))
        elif kind in ("finish", "fail") and running:
            ended = running.pop(pick % len(running))
            finish = AttemptOutcome.COMPLETED if kind == "finish" else AttemptOutcome.FAILED
            take(scheduler.on_finish(ended, finish, now, ended.work.expected_tokens))
        elif kind == "cancel" and offered:
            request_id = sorted(offered)[pick % len(offered)]
            if scheduler.cancel(request_id):
                cancelled.add(request_id)
        elif kind == "tick":
            take(scheduler.on_tick(now))
        elif kind == "lapse":
            scheduler.on_lapse("ab"[pick % 2])
        elif kind == "return":
            take(scheduler.on_announcement(announce("ab"[pick % 2], 2), now))
    while (deadline := scheduler.next_deadline(now)) is not None:
        now = max(deadline, now + 0.01)
        take(scheduler.on_tick(now))
    assert sorted(decided) == sorted(offered - cancelled)
    assert scheduler.queue.queued_bytes == 0
