"""Entries: the real scheduler, the plain baselines and the bound, over the same fake runners."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import replace
from random import Random

from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import EndpointAnnouncement
from bergamotchute_model.verdict import Verdict
from bergamotchute_policy.endpoint_tracker import AttemptOutcome
from bergamotchute_policy.retry import FailedAttempt, RetryBudget, retry_delay_s
from bergamotchute_policy.scheduling_settings import SchedulingSettings
from bergamotchute_policy.service_scheduler import ServiceScheduler
from bergamotchute_policy.work import Decision, Dispatch, RequestSize, Work
from bergamotchute_policy.work_estimator import WorkEstimator
from tools.service_bench.clock import EventClock
from tools.service_bench.runner import Execution, FakeRunner
from tools.service_bench.workload import TEAM_WEIGHTS, TOKENS_S, Request

LINK_S = 0.0005
REPORT_S = 0.2
REPORT_LATE_S = 0.5
SERVICE = "draft"

Choose = Callable[["PlainEntry"], FakeRunner]


class PlainEntry:
    """Sends each request on at once, by its own counts only."""

    def __init__(
        self,
        clock: EventClock,
        runners: list[FakeRunner],
        index: int,
        random: Random,
        choose: Choose,
    ) -> None:
        self.clock = clock
        self.runners = runners
        self.index = index
        self.random = random
        self.choose = choose
        self.outstanding = {runner.name: 0 for runner in runners}
        self.turn = index * len(runners) // 2

    def arrive(self, request: Request) -> None:
        """Take a request in."""
        runner = self.choose(self)
        self.outstanding[runner.name] += 1
        request.attempts += 1

        def on_end(whole: bool) -> None:
            self.outstanding[runner.name] -= 1
            _settle(request, whole, self.clock.now)

        execution = Execution(request, self.index, request.long, on_end)
        self.clock.after(LINK_S, lambda: runner.start(execution, 0))
        self.clock.at(request.deadline, lambda: runner.cancel(execution))

    def on_lapse(self, runner: FakeRunner) -> None:
        """Stop to use a runner."""
        self.runners = [other for other in self.runners if other is not runner]


def round_robin(entry: PlainEntry) -> FakeRunner:
    """Return each runner in turn."""
    entry.turn += 1
    return entry.runners[entry.turn % len(entry.runners)]


def least_outstanding(entry: PlainEntry) -> FakeRunner:
    """Return the runner with the fewest of the entry's requests, a random one of equals."""
    return min(entry.runners, key=lambda r: (entry.outstanding[r.name], entry.random.random()))


def two_choices(entry: PlainEntry) -> FakeRunner:
    """Return the one of two drawn runners that has fewer of the entry's requests."""
    drawn = entry.random.sample(entry.runners, 2)
    return min(drawn, key=lambda r: entry.outstanding[r.name])


class SharedQueue:
    """One queue before all runners, without delay; the bound knows each request's true size.

    :param knows_sizes: short work first, and long work under the limit of each runner.
    """

    def __init__(
        self,
        clock: EventClock,
        runners: list[FakeRunner],
        long_share: float,
        knows_sizes: bool,
    ) -> None:
        self.clock = clock
        self.runners = runners
        self.long_share = long_share
        self.knows_sizes = knows_sizes
        self.short: deque[Request] = deque()
        self.long: deque[Request] = deque()

    def arrive(self, request: Request) -> None:
        """Take a request in."""
        line = self.long if request.long and self.knows_sizes else self.short
        line.append(request)
        self.clock.at(request.deadline, lambda: self._give_up(request, line))
        self._fill()

    def on_lapse(self, runner: FakeRunner) -> None:
        """Stop to use a runner."""
        self.runners = [other for other in self.runners if other is not runner]

    def _fill(self) -> None:
        """Start what has room."""
        while self.short and self._start(self.short, long=False):
            pass
        while self.long and self._start(self.long, long=True):
            pass

    def _start(self, line: deque[Request], long: bool) -> bool:
        """Start the first of a line, if a runner has room."""
        request = line[0]
        if self.clock.now + request.tokens / TOKENS_S > request.deadline:
            line.popleft()
            _settle(request, False, self.clock.now)
            return True
        free = [runner for runner in self.runners if self._has_room(runner, long)]
        if not free:
            return False
        runner = max(free, key=lambda r: (r.speed, r.free()))
        line.popleft()
        request.attempts += 1

        def on_end(whole: bool) -> None:
            if whole or not runner.gone:
                _settle(request, whole, self.clock.now)
            else:
                line.appendleft(request)
            self.clock.after(0.0, self._fill)

        execution = Execution(request, 0, request.long, on_end)
        runner.start(execution, 0)
        self.clock.at(request.deadline, lambda: runner.cancel(execution))
        return True

    def _has_room(self, runner: FakeRunner, long: bool) -> bool:
        """Return whether a runner has a slot for the size."""
        if runner.free() <= 0 or runner.gone or runner.failing:
            return False
        held = sum(execution.long for execution in runner.running)
        return not long or held < runner.slots * self.long_share

    def _give_up(self, request: Request, line: deque[Request]) -> None:
        """Drop a request whose caller went away."""
        if request in line:
            line.remove(request)
            _settle(request, False, self.clock.now)


class SchedulerEntry:
    """Drives the real scheduler, estimator and retries."""

    def __init__(
        self,
        clock: EventClock,
        runners: list[FakeRunner],
        index: int,
        *,
        seed: int,
        settings: SchedulingSettings,
        budget: RetryBudget,
    ) -> None:
        self.clock = clock
        self.index = index
        self.random = Random(f"{seed}/{index}")
        self.runners = {runner.name: runner for runner in runners}
        self.zone = runners[0 if index == 0 else -1].zone
        self.scheduler = ServiceScheduler(self.zone, self.random, settings, TEAM_WEIGHTS)
        self.estimator = WorkEstimator(240.0)
        self.budget = budget
        self.requests: dict[str, Request] = {}
        self.tick_at: float | None = None
        for runner in runners:
            self._announce(runner)
            self.clock.after(REPORT_S, lambda runner=runner: self._report(runner))

    def arrive(self, request: Request) -> None:
        """Take a request in."""
        estimate = self.estimator.estimate(
            request.team, SERVICE, request.prompt_tokens, request.max_tokens
        )
        name = str(request.number)
        work = Work(
            name,
            SERVICE,
            request.team,
            estimate.expected_tokens,
            estimate.size,
            request.deadline,
            prefix_hash=request.prefix,
        )
        self.requests[name] = request
        self._carry_out(self.scheduler.offer(work, self.clock.now))

    def on_lapse(self, runner: FakeRunner) -> None:
        """Stop to use a runner."""
        self.scheduler.on_lapse(runner.name)

    def _announce(self, runner: FakeRunner) -> None:
        """Take a runner into the book."""
        self.scheduler.on_announcement(
            EndpointAnnouncement(
                runner.name,
                "1",
                1,
                runner.name,
                runner.zone,
                Address("127.0.0.1", 9),
                (SERVICE,),
                runner.slots,
            ),
            self.clock.now,
        )

    def _report(self, runner: FakeRunner) -> None:
        """Take a load report now and deliver it late."""
        if runner.gone:
            return
        load = runner.report(self.index)
        self.clock.after(
            REPORT_LATE_S,
            lambda: self._carry_out(self.scheduler.on_load_report(load, self.clock.now)),
        )
        self.clock.after(REPORT_S, lambda: self._report(runner))

    def _carry_out(self, decisions: list[Decision]) -> None:
        """Send and refuse."""
        for decision in decisions:
            if isinstance(decision, Dispatch):
                self._send(decision)
            else:
                _settle(self.requests[decision.work.request_id], False, self.clock.now)
        deadline = self.scheduler.next_deadline(self.clock.now)
        if deadline is not None and (self.tick_at is None or deadline < self.tick_at):
            self.tick_at = deadline
            self.clock.at(deadline, self._tick)

    def _tick(self) -> None:
        """Wake the scheduler."""
        self.tick_at = None
        self._carry_out(self.scheduler.on_tick(self.clock.now))

    def _send(self, dispatch: Dispatch) -> None:
        """Send an attempt to its runner."""
        request = self.requests[dispatch.work.request_id]
        request.attempts += 1
        if request.attempts == 1:
            self.budget.on_first_attempt()
        runner = self.runners[dispatch.endpoint]
        execution = Execution(
            request,
            self.index,
            dispatch.work.size is RequestSize.LONG,
            lambda whole: self.clock.after(LINK_S, lambda: self._on_end(dispatch, whole)),
        )
        self.clock.after(LINK_S, lambda: runner.start(execution, dispatch.engine_priority))
        self.clock.at(request.deadline, lambda: runner.cancel(execution))

    def _on_end(self, dispatch: Dispatch, whole: bool) -> None:
        """Take the end of an attempt, and try again where that is allowed."""
        request = self.requests[dispatch.work.request_id]
        now = self.clock.now
        gave_up = not whole and now >= request.deadline
        finish = AttemptOutcome.CANCELLED if gave_up else AttemptOutcome.FAILED
        if whole:
            finish = AttemptOutcome.COMPLETED
            self.estimator.on_finish(
                request.team,
                SERVICE,
                request.prompt_tokens,
                request.max_tokens,
                int(request.tokens),
            )
        self._carry_out(self.scheduler.on_finish(dispatch, finish, now, request.tokens))
        if whole or gave_up:
            _settle(request, whole, now)
            return
        failed = FailedAttempt(Verdict.NOT_RUN, request.attempts, True, request.deadline)
        delay = retry_delay_s(failed, self.budget, self.random, now)
        if delay is None:
            _settle(request, False, now)
            return
        avoid = dispatch.work.avoided_endpoints | {dispatch.endpoint}
        work = replace(dispatch.work, avoided_endpoints=avoid)
        self.clock.after(delay, lambda: self._carry_out(self.scheduler.offer(work, self.clock.now)))


def _settle(request: Request, whole: bool, now: float) -> None:
    """Record the answer that the caller gets."""
    request.verdicts.append("completed" if whole else "failed")
    if whole:
        request.finished = now
