"""Runs the schedulers of one entry: requests wait here for their turn."""

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

NO_ENDPOINT_S = 3.0
"""How long a request waits for the first endpoint of its service."""


@dataclass
class Waiter:
    """A request that waits for its decision."""

    work: Work
    decided: anyio.Event = field(default_factory=anyio.Event)
    decision: Decision | None = None


class SchedulingController:
    """Owns one :class:`ServiceScheduler` a service, and wakes requests as they are decided.

    :param availability_zone: the entry's own.
    """

    def __init__(self, availability_zone: str, random: Random) -> None:
        self.availability_zone = availability_zone
        self.random = random
        self.schedulers: dict[str, ServiceScheduler] = {}
        self.waiters: dict[str, Waiter] = {}
        self.weights: dict[str, float] = {}
        self.wake = anyio.Event()

    async def admit(self, work: Work, no_endpoint_s: float = NO_ENDPOINT_S) -> Dispatch:
        """Wait for the request's turn.

        :param no_endpoint_s: how long to wait while the service has no endpoint, in seconds.
        :returns: where to run it; report its end by :meth:`finish`.
        :raises ProblemError: when it is refused; it did not run.
        """
        waiter = Waiter(work)
        self.waiters[work.request_id] = waiter
        scheduler = self.scheduler(work.service)
        try:
            self._carry_out(scheduler.offer(work, anyio.current_time()))
            self.wake.set()
            await self._wait_decided(waiter, scheduler, no_endpoint_s)
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
                raise AssertionError("woken without a decision")

    async def _wait_decided(
        self, waiter: Waiter, scheduler: ServiceScheduler, no_endpoint_s: float
    ) -> None:
        """Wait for the decision, but not long while the service has no endpoint at all.

        :raises ProblemError: when none came in time; the request did not run.
        """
        while True:
            with anyio.move_on_after(no_endpoint_s):
                await waiter.decided.wait()
            if waiter.decision is not None:
                return
            if not scheduler.endpoint_tracker.records:
                scheduler.cancel(waiter.work.request_id)
                raise ProblemError(_no_endpoint(waiter.work.service))

    def finish(self, dispatch: Dispatch, finish: AttemptOutcome, tokens: float = 0.0) -> None:
        """Report the end of an attempt."""
        scheduler = self.scheduler(dispatch.work.service)
        self._carry_out(scheduler.on_finish(dispatch, finish, anyio.current_time(), tokens))

    async def run(self) -> None:
        """Wake the schedulers when their next deadline comes."""
        while True:
            self.wake = anyio.Event()
            due = self._next_deadline()
            with anyio.move_on_at(due):
                await self.wake.wait()
            if anyio.current_time() >= due:
                self._on_each(lambda scheduler, now: scheduler.on_tick(now))
            else:
                await anyio.lowlevel.checkpoint()

    def scheduler(self, service: str) -> ServiceScheduler:
        """Return the scheduler of a service, made when first asked for."""
        scheduler = self.schedulers.get(service)
        if scheduler is None:
            scheduler = ServiceScheduler(self.availability_zone, self.random, weights=self.weights)
            self.schedulers[service] = scheduler
        return scheduler

    def busy_slot_ratio(self, service: str) -> float:
        """Return the part of the slots of a service's known endpoints that is in use."""
        records = self.scheduler(service).endpoint_tracker.records.values()
        slots = sum(record.slots for record in records)
        return sum(record.busy() for record in records) / slots if slots else 0.0

    def on_announcement(self, announcement: EndpointAnnouncement) -> None:
        """Take an endpoint in, at each service that it can serve."""
        now = anyio.current_time()
        for service in announcement.services:
            self._carry_out(self.scheduler(service).on_announcement(announcement, now))

    def on_endpoint_lapsed(self, endpoint: str) -> None:
        """Forget an endpoint."""
        for scheduler in self.schedulers.values():
            scheduler.on_lapse(endpoint)

    def on_drains(self, endpoints: frozenset[str]) -> None:
        """Send no more work to endpoints that the files in force drain."""
        self._on_each(lambda scheduler, now: scheduler.on_drains(endpoints, now))

    def on_service_settings(self, services: Iterable[Service]) -> None:
        """Put the bounds of services in force."""
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
        """Put the teams' fair-share weights in force."""
        self.weights = weights
        for scheduler in self.schedulers.values():
            for share in scheduler.queue.shares.values():
                share.weights = dict(weights)

    def on_load_report(self, load: EndpointLoad) -> None:
        """Take an endpoint's load report."""
        for scheduler in self.schedulers.values():
            if load.endpoint in scheduler.endpoint_tracker.records:
                self._carry_out(scheduler.on_load_report(load, anyio.current_time()))

    def refuse_waiting(self, code: ProblemCode, detail: str) -> None:
        """Refuse all that wait."""
        self._on_each(lambda scheduler, _: scheduler.refuse_waiting(code, detail))

    def _on_each(self, step: Callable[[ServiceScheduler, float], list[Decision]]) -> None:
        """Move each scheduler and carry out what follows."""
        now = anyio.current_time()
        for scheduler in self.schedulers.values():
            self._carry_out(step(scheduler, now))

    def _carry_out(self, decisions: list[Decision]) -> None:
        """Wake the requests that are decided."""
        for decision in decisions:
            waiter = self.waiters.get(decision.work.request_id)
            if waiter is not None:
                waiter.decision = decision
                waiter.decided.set()

    def _next_deadline(self) -> float:
        """Return when a scheduler wants to be woken, or the far future."""
        now = anyio.current_time()
        times = (scheduler.next_deadline(now) for scheduler in self.schedulers.values())
        return min((time for time in times if time is not None), default=float("inf"))


def _no_endpoint(service: str) -> Problem:
    """Return the refusal of a request whose service has no endpoint."""
    return Problem(
        503,
        ProblemCode.NO_ENDPOINT,
        f"no endpoint of service {service} can be reached now",
        retry=True,
        retry_after_s=NO_ENDPOINT_S,
    )
