"""Run the schedulers of one entry and let requests wait for their decisions."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from random import Random

import anyio
import anyio.lowlevel

from bergamotchute_model.attempt_messages import EndpointLoad
from bergamotchute_model.membership import EndpointAnnouncement
from bergamotchute_model.operator_file import Service
from bergamotchute_model.problem import Problem, ProblemCode, ProblemError
from bergamotchute_policy.endpoint_tracker import AttemptOutcome
from bergamotchute_policy.service_scheduler import ServiceScheduler
from bergamotchute_policy.work import Decision, Dispatch, Shed, Work

NO_ENDPOINT_TIMEOUT_S = 3.0
"""How long a request waits while its service has no endpoint."""


@dataclass
class Waiter:
    """A request that waits for a scheduler's decision."""

    work: Work
    decided: anyio.Event = field(default_factory=anyio.Event)
    decision: Decision | None = None


class SchedulingController:
    """Owns a :class:`ServiceScheduler` per service and wakes requests that are decided.

    :param availability_zone: the zone of this entry.
    """

    def __init__(self, availability_zone: str, random: Random) -> None:
        self.availability_zone = availability_zone
        self.random = random
        self.schedulers: dict[str, ServiceScheduler] = {}
        self.waiters: dict[str, Waiter] = {}
        self.weights: dict[str, float] = {}
        self.deadline_changed = anyio.Event()

    async def admit(
        self, work: Work, no_endpoint_timeout_s: float = NO_ENDPOINT_TIMEOUT_S
    ) -> Dispatch:
        """Wait until the request is dispatched.

        :param no_endpoint_timeout_s: how long to wait while the service has no endpoint, in seconds.
        :returns: the endpoint to use; the caller must report the attempt's end by :meth:`finish`.
        :raises ProblemError: when the request is refused; it did not run.
        """
        waiter = Waiter(work)
        self.waiters[work.request_id] = waiter
        scheduler = self.scheduler(work.service)
        try:
            self._apply_decisions(scheduler.offer(work, anyio.current_time()))
            self.deadline_changed.set()
            await self._wait_for_decision(waiter, scheduler, no_endpoint_timeout_s)
        except anyio.get_cancelled_exc_class():
            scheduler.cancel(work.request_id)
            if isinstance(waiter.decision, Dispatch):
                self.finish(waiter.decision, AttemptOutcome.CANCELLED)
            raise
        finally:
            del self.waiters[work.request_id]
        match waiter.decision:
            case Shed(problem=problem):
                raise ProblemError(problem)
            case Dispatch() as dispatch:
                return dispatch
            case _:
                raise AssertionError("the waiter was woken without a decision")

    async def _wait_for_decision(
        self, waiter: Waiter, scheduler: ServiceScheduler, no_endpoint_timeout_s: float
    ) -> None:
        """Wait for the decision, but only for the timeout while the service has no endpoint.

        :raises ProblemError: when no endpoint appeared in time; the request did not run.
        """
        while True:
            with anyio.move_on_after(no_endpoint_timeout_s):
                await waiter.decided.wait()
            if waiter.decision is not None:
                return
            if not scheduler.endpoint_tracker.records:
                scheduler.cancel(waiter.work.request_id)
                raise ProblemError(_no_endpoint_problem(waiter.work.service))

    def finish(self, dispatch: Dispatch, outcome: AttemptOutcome, tokens: float = 0.0) -> None:
        """Report the end of an attempt and release its slot."""
        scheduler = self.scheduler(dispatch.work.service)
        self._apply_decisions(scheduler.on_finish(dispatch, outcome, anyio.current_time(), tokens))

    async def run(self) -> None:
        """Run the schedulers at their next deadline."""
        while True:
            self.deadline_changed = anyio.Event()
            wake_at = self._next_deadline()
            with anyio.move_on_at(wake_at):
                await self.deadline_changed.wait()
            if anyio.current_time() >= wake_at:
                self._update_schedulers(lambda scheduler, now: scheduler.on_tick(now))
            else:
                await anyio.lowlevel.checkpoint()

    def scheduler(self, service: str) -> ServiceScheduler:
        """Return the scheduler of a service, which is created on first use."""
        scheduler = self.schedulers.get(service)
        if scheduler is None:
            scheduler = ServiceScheduler(self.availability_zone, self.random, weights=self.weights)
            self.schedulers[service] = scheduler
        return scheduler

    def busy_slot_ratio(self, service: str) -> float:
        """Return the ratio of slots in use over all known endpoints of a service."""
        records = self.scheduler(service).endpoint_tracker.records.values()
        slots = sum(record.slots for record in records)
        return sum(record.busy() for record in records) / slots if slots else 0.0

    def on_announcement(self, announcement: EndpointAnnouncement) -> None:
        """Add or update an endpoint at each service that it can serve."""
        now = anyio.current_time()
        for service in announcement.services:
            self._apply_decisions(self.scheduler(service).on_announcement(announcement, now))

    def on_endpoint_lapsed(self, endpoint: str) -> None:
        """Remove an endpoint whose announcement has lapsed."""
        for scheduler in self.schedulers.values():
            scheduler.on_lapse(endpoint)

    def on_drains(self, endpoints: frozenset[str]) -> None:
        """Stop dispatching to endpoints that the current operator files drain."""
        self._update_schedulers(lambda scheduler, now: scheduler.on_drains(endpoints, now))

    def on_service_settings(self, services: Iterable[Service]) -> None:
        """Apply the queue limits of services."""
        for service in services:
            scheduler = self.scheduler(service.name)
            scheduler.on_settings(
                replace(
                    scheduler.settings,
                    long_share=service.long_share,
                    queue_count=service.queue_count,
                    queue_bytes=service.queue_bytes,
                )
            )

    def on_team_weights(self, weights: dict[str, float]) -> None:
        """Apply the teams' fair-share weights."""
        self.weights = weights
        for scheduler in self.schedulers.values():
            for share in scheduler.queue.shares.values():
                share.weights = dict(weights)

    def on_load_report(self, load: EndpointLoad) -> None:
        """Apply an endpoint's load report."""
        for scheduler in self.schedulers.values():
            if load.endpoint in scheduler.endpoint_tracker.records:
                self._apply_decisions(scheduler.on_load_report(load, anyio.current_time()))

    def refuse_waiting(self, code: ProblemCode, detail: str) -> None:
        """Refuse all waiting requests."""
        self._update_schedulers(lambda scheduler, _: scheduler.refuse_waiting(code, detail))

    def _update_schedulers(self, step: Callable[[ServiceScheduler, float], list[Decision]]) -> None:
        """Call ``step`` for each scheduler and apply the decisions that it returns."""
        now = anyio.current_time()
        for scheduler in self.schedulers.values():
            self._apply_decisions(step(scheduler, now))

    def _apply_decisions(self, decisions: list[Decision]) -> None:
        """Wake the requests that were decided."""
        for decision in decisions:
            waiter = self.waiters.get(decision.work.request_id)
            if waiter is not None:
                waiter.decision = decision
                waiter.decided.set()

    def _next_deadline(self) -> float:
        """Return the earliest deadline of the schedulers; infinity when there is none."""
        now = anyio.current_time()
        deadlines = (scheduler.next_deadline(now) for scheduler in self.schedulers.values())
        return min(
            (deadline for deadline in deadlines if deadline is not None), default=float("inf")
        )


def _no_endpoint_problem(service: str) -> Problem:
    """Return the refusal of a request whose service has no endpoint."""
    return Problem(
        503,
        ProblemCode.NO_ENDPOINT,
        f"service {service} has no reachable endpoint",
        retry=True,
        retry_after_s=NO_ENDPOINT_TIMEOUT_S,
    )
