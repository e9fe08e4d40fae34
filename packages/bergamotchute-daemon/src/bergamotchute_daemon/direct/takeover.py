"""Takeover of a request from a silent endpoint by another one, while the silent one is read on."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass

import anyio

from bergamotchute_daemon.direct.admitted_request import RequestRefused
from bergamotchute_daemon.direct.attempt_steps import AttemptSteps
from bergamotchute_daemon.direct.endpoint_attempt import EndpointAttempt
from bergamotchute_daemon.direct.endpoint_chooser import EndpointChooser
from bergamotchute_daemon.direct.prompt_guard import PromptGuard
from bergamotchute_daemon.direct.read_or_replace import ReadResult, Received, read_or_replace
from bergamotchute_daemon.direct.request_progress import AttemptFailure
from bergamotchute_daemon.direct.retry_decisions import RetryDecisions
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.verdict import Verdict
from bergamotchute_policy.crash_suspects import SuspectAction
from bergamotchute_policy.direct_placement import DirectPlacement
from bergamotchute_wire.http1_messages import EndpointFailure


class AttemptReplaced(Exception):
    """Another endpoint took over the request of a silent one."""

    def __init__(self, replacement: EndpointAttempt) -> None:
        super().__init__()
        self.replacement = replacement


@dataclass
class Takeover:
    """Reads responses, and sends a request to another endpoint while the first one is silent.

    :param endpoints: returns the endpoints of a service, from the latest heartbeats.
    """

    steps: AttemptSteps
    placement: DirectPlacement
    chooser: EndpointChooser
    endpoints: Callable[[str], Collection[EndpointHeartbeat]]
    prompt_guard: PromptGuard
    retries: RetryDecisions

    async def read_or_replace(
        self,
        attempt: EndpointAttempt,
        timeout_s: float,
        read: Callable[[], Awaitable[ReadResult]],
        is_usable: Callable[[ReadResult], bool] = lambda _: True,
    ) -> ReadResult:
        """Read from an endpoint; after each timeout, have another one take over if it can.

        The response to a request that is not idempotent is awaited without this timeout, since the
        request can't be sent again.

        :raises EndpointFailure: if the endpoint failed.
        :raises AttemptReplaced: if another endpoint's response has begun meanwhile.
        """
        if not attempt.request.route.idempotent:
            return await read()

        async def read_on() -> ReadResult:
            try:
                return await read()
            except EndpointFailure as failure:
                await self.steps.calls.record_failure(attempt, failure)
                raise

        while True:
            with anyio.move_on_after(timeout_s):
                return await read()
            self.placement.on_no_progress(attempt.endpoint, anyio.current_time())
            if not self._can_fail_over(attempt):
                continue
            attempt.progress.has_second_send = True
            try:
                outcome = await read_or_replace(
                    read_on,
                    lambda: self._find_replacement(attempt),
                    self.steps.drop_attempt,
                    is_usable,
                )
            finally:
                attempt.progress.has_second_send = False
            if isinstance(outcome, Received):
                return outcome.value
            if outcome is not None:
                raise AttemptReplaced(outcome)

    async def _find_replacement(self, silent: EndpointAttempt) -> EndpointAttempt | None:
        """Send the request to another endpoint and wait until its response has begun.

        :return: the attempt there; ``None`` if the request may not be sent, or the attempt failed.
        """
        request, progress = silent.request, silent.progress
        decision = await self.prompt_guard.decide(request)
        if decision.action in (SuspectAction.REJECT, SuspectAction.HOLD):
            return None
        excluded = progress.failed_endpoints | {silent.endpoint.endpoint}
        try:
            chosen = await self.chooser.choose(request, excluded, True)
        except RequestRefused as refusal:
            self.retries.log_decision(request, progress, refusal.reason)
            return None
        if chosen is None:
            return None
        attempt = self.steps.create_attempt(request, silent.writer, progress, chosen)
        try:
            reason = AttemptFailure(Verdict.MAY_HAVE_RUN, "no data")
            if not self.retries.decide(request, progress, reason):
                await attempt.close()
                return None
            failure = await self.steps.run_step(attempt, self.steps.begin_response)
        except BaseException:
            await self.steps.drop_attempt(attempt)
            raise
        if isinstance(failure, AttemptFailure):
            await attempt.close()
            self.steps.record_failed_attempt(attempt, failure)
            return None
        return attempt

    def _can_fail_over(self, attempt: EndpointAttempt) -> bool:
        """Return whether another attempt is allowed and a healthy endpoint is available for it."""
        request, progress = attempt.request, attempt.progress
        if (
            progress.has_second_send
            or progress.sent_count >= request.route.max_endpoints
            or self.retries.budget(request).available_retries < 1.0
        ):
            return False
        excluded = progress.failed_endpoints | {attempt.endpoint.endpoint}
        known = self.endpoints(request.service.name)
        return self.placement.has_healthy_endpoint(known, excluded, anyio.current_time())
