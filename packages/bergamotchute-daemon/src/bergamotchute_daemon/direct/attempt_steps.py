"""The steps that every attempt at a request goes through, whatever caused it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from bergamotchute_daemon.direct.admitted_request import AdmittedRequest
from bergamotchute_daemon.direct.endpoint_attempt import EndpointAttempt
from bergamotchute_daemon.direct.endpoint_calls import EndpointCalls
from bergamotchute_daemon.direct.endpoint_chooser import ChosenEndpoint
from bergamotchute_daemon.direct.event_stream import EventStream, InvalidEventStream
from bergamotchute_daemon.direct.request_progress import AttemptFailure, RequestProgress
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.node_metrics import NodeMetrics
from bergamotchute_model import events
from bergamotchute_model.verdict import Verdict
from bergamotchute_policy.direct_placement import DirectPlacement
from bergamotchute_wire.http1_messages import EndpointFailure
from bergamotchute_wire.http1_server import ResponseWriter

StepResult = TypeVar("StepResult")


@dataclass
class AttemptSteps:
    """Creates attempts, runs their steps and records their failures."""

    calls: EndpointCalls
    placement: DirectPlacement
    log: EventLog
    metrics: NodeMetrics

    def create_attempt(
        self,
        request: AdmittedRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        chosen: ChosenEndpoint,
    ) -> EndpointAttempt:
        """Count a new attempt, which holds the chosen endpoint's slot until it is closed."""
        progress.attempt_count += 1
        attempt = EndpointAttempt(
            request, writer, progress, chosen, progress.attempt_count, progress.stream.events
        )
        if chosen.reservation is not None:
            attempt.resources.callback(chosen.reservation.release)
        self.placement.on_request_sent(attempt.endpoint)
        attempt.resources.callback(self.placement.on_request_ended, attempt.endpoint)
        return attempt

    async def run_step(
        self, attempt: EndpointAttempt, step: Callable[[EndpointAttempt], Awaitable[StepResult]]
    ) -> StepResult | AttemptFailure:
        """Run a step of an attempt, and record a failure of its endpoint."""
        try:
            return await step(attempt)
        except EndpointFailure as failure:
            await self.calls.record_failure(attempt, failure)
            verdict = Verdict.MAY_HAVE_RUN if failure.may_have_arrived else Verdict.NOT_RUN
            return AttemptFailure(verdict, failure.reason, detail=failure.detail)

    async def begin_response(self, attempt: EndpointAttempt) -> AttemptFailure | None:
        """Send the request and read what shows that the endpoint serves it.

        That is the first data of a stream, or the whole of any other response.

        :raises EndpointFailure: if the endpoint failed.
        """
        failure = await self.send_and_read_head(attempt)
        if failure is not None:
            return failure
        if attempt.is_stream:
            attempt.body = await attempt.connection.read_body_chunk()
            if attempt.body is None:
                return AttemptFailure(Verdict.MAY_HAVE_RUN, "the stream ended without an event")
        else:
            attempt.body = await self.calls.read_body(attempt)
        return None

    async def send_and_read_head(self, attempt: EndpointAttempt) -> AttemptFailure | None:
        """Send the request and read the head of the response.

        :raises EndpointFailure: if the endpoint failed.
        """
        await self.calls.send_request(attempt)
        head = await attempt.connection.read_response_head()
        return await self.calls.on_response_head(attempt, head)

    async def read_first_event(
        self, attempt: EndpointAttempt, read: Callable[[], Awaitable[bytes | None]]
    ) -> None:
        """Read the body of a stream ahead until it contains an event.

        :param read: returns the next bytes of the body, ``None`` at its end.
        :raises EndpointFailure: if the stream ends before.
        """
        stream = EventStream(attempt.progress.stream.last_event_id)
        body = b""
        while (data := await read()) is not None:
            body += data
            try:
                whole = stream.feed(data)
            except InvalidEventStream as error:
                raise EndpointFailure(str(error), True) from error
            if whole:
                attempt.body = body
                return
        raise EndpointFailure(
            "the stream ended before an event was complete", True, attempt.connection.has_ended
        )

    async def drop_attempt(self, attempt: EndpointAttempt) -> None:
        """Close an attempt that is not needed: the silent endpoint went on, or the request ended."""
        await attempt.close()
        self.log.emit(
            events.ATTEMPT_DROPPED,
            request_id=attempt.request.metadata.request_id,
            endpoint=attempt.endpoint.endpoint,
            attempt=attempt.number,
        )

    def record_failed_attempt(self, attempt: EndpointAttempt, result: AttemptFailure) -> None:
        """Record the failure of an attempt in the progress of its request, and log it."""
        progress = attempt.progress
        progress.failed_endpoints.add(attempt.endpoint.endpoint)
        self.metrics.on_attempt(result.verdict)
        progress.last_failure = result
        progress.last_failed_endpoint = attempt.endpoint.endpoint
        if result.verdict is Verdict.MAY_HAVE_RUN:
            progress.may_have_run = True
        self.log.emit(
            events.ATTEMPT_FAILED,
            request_id=attempt.request.metadata.request_id,
            endpoint=attempt.endpoint.endpoint,
            attempt=attempt.number,
            verdict=result.verdict,
            reason=result.reason,
            detail=result.detail,
            events_passed=progress.stream.events,
        )
