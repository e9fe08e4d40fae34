"""One request on its way to one endpoint: sending it, and judging the response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon.direct.endpoint_attempt import EndpointAttempt
from bergamotchute_daemon.direct.prompt_guard import PromptGuard
from bergamotchute_daemon.direct.rate_permits import RatePermits
from bergamotchute_daemon.direct.request_format import (
    ForwardMetadata,
    RequestFormat,
    ResponseMetadata,
)
from bergamotchute_daemon.direct.request_progress import AttemptFailure
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.rate_limit_log import rate_for_log
from bergamotchute_model import events
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.headers import EVENT_STREAM_TYPE
from bergamotchute_model.verdict import Verdict
from bergamotchute_policy.direct_placement import DirectPlacement
from bergamotchute_wire.byte_budget import ByteBudget
from bergamotchute_wire.http1_client import MAX_RESPONSE_CHUNKS, connect_exchange
from bergamotchute_wire.http1_messages import EndpointFailure, ResponseHead

CONNECT_TIMEOUT_S = 0.3
"""Timeout for connecting to an endpoint; zones are 1 ms apart, and a lost packet takes longer."""

GROUP_STALL_THRESHOLD_S = 0.7
"""Time after which a failure or a *not run* response counts as a stall of the whole rank group."""

MAX_RESPONSE_BYTES = 4_194_304
"""Largest response, other than a stream, that is buffered whole; a larger one is a failure.

It equals the default limit for the body of a caller's request.
"""

MAX_BUFFERED_BYTES = 33_554_432
"""Bytes of all buffered responses together: a sixth of the memory of the smallest entry VM."""

HTTP_OK = 200


@dataclass
class EndpointCalls:
    """Sends requests to endpoints, reads their responses, and records what these tell of them.

    :param on_endpoint_leaving: called with an endpoint whose response announces that it is leaving.
    :param held: the bytes of all buffered responses.
    """

    request_format: RequestFormat
    placement: DirectPlacement
    on_endpoint_leaving: Callable[[EndpointHeartbeat], None]
    log: EventLog
    prompt_guard: PromptGuard
    rate_permits: RatePermits
    held: ByteBudget = field(default_factory=lambda: ByteBudget(MAX_BUFFERED_BYTES))

    async def send_request(self, attempt: EndpointAttempt) -> None:
        """Connect to the endpoint and send the request.

        :raises EndpointFailure: if the connection can't be opened, or breaks.
        """
        request, progress = attempt.request, attempt.progress
        endpoint, chosen = attempt.endpoint, attempt.chosen
        self.log.emit(
            events.REQUEST_DISPATCHED,
            request_id=request.metadata.request_id,
            endpoint=endpoint.endpoint,
            attempt=attempt.number,
            born_ms=endpoint.born_ms,
            fullness=round(chosen.candidate.fullness, 2),
            capacity=self.placement.capacity(endpoint, anyio.current_time()),
            reserved=chosen.reservation is not None,
            refusals=chosen.refusals,
            waited_ms=round(chosen.waited_s * 1000),
            permit_waited_ms=round(chosen.permit_waited_s * 1000),
            requests_per_s=rate_for_log(self.rate_permits.requests_per_s(endpoint)),
        )
        attempt.exchange = await connect_exchange(endpoint.address, CONNECT_TIMEOUT_S)
        progress.sent_count += 1
        attempt.sent_at = anyio.current_time()
        forward_metadata = ForwardMetadata(
            endpoint=endpoint,
            time_left_s=request.deadline - attempt.sent_at,
            team=request.team,
            resume_after=progress.stream.last_event_id,
            urgency=min(9, request.priority),
            body_bytes=len(request.body),
        )
        await attempt.exchange.send(
            self.request_format.write_request(request.head, forward_metadata), request.body
        )

    async def on_response_head(
        self, attempt: EndpointAttempt, head: ResponseHead
    ) -> AttemptFailure | None:
        """Set the head of an attempt's response, or return why it can't be forwarded."""
        request, endpoint = attempt.request, attempt.endpoint
        response_metadata = self.request_format.read_response(head)
        if response_metadata.request_id != request.metadata.request_id:
            return AttemptFailure(
                Verdict.MAY_HAVE_RUN, "the response has the request id of another request"
            )
        self._apply_response_metadata(endpoint, response_metadata)
        self.rate_permits.on_response(endpoint, response_metadata, attempt.sent_at)
        failure = self._find_failure(head, response_metadata)
        if failure is not None:
            now = anyio.current_time()
            if response_metadata.not_run and now - attempt.sent_at > GROUP_STALL_THRESHOLD_S:
                self.placement.on_no_progress(endpoint, now)
            elif response_metadata.not_run:
                self.placement.on_slots_full(endpoint, now)
            elif response_metadata.wrong_endpoint:
                self.placement.on_failure(endpoint, now)
            return failure
        if attempt.writer.started and not _is_event_stream(head):
            if head.status >= 500:
                self.placement.on_failure(endpoint, anyio.current_time())
            return AttemptFailure(
                Verdict.MAY_HAVE_RUN, f"status {head.status} does not continue the stream"
            )
        attempt.head = head
        if attempt.is_stream:
            return None
        if head.status >= 500:
            body = await self.read_body(attempt)
            self.placement.on_failure(endpoint, anyio.current_time())
            return AttemptFailure(Verdict.MAY_HAVE_RUN, f"status {head.status}", head, body)
        return None

    def _apply_response_metadata(
        self, endpoint: EndpointHeartbeat, response_metadata: ResponseMetadata
    ) -> None:
        """Update what is known of an endpoint from the head of its response."""
        now = anyio.current_time()
        if response_metadata.requests is not None:
            self.placement.on_load_reported(endpoint, response_metadata.requests, now)
        if response_metadata.leaving:
            self.on_endpoint_leaving(endpoint)
        if response_metadata.retry_after_s is not None:
            self.placement.on_pause_requested(endpoint, response_metadata.retry_after_s, now)
            self.log.emit(
                events.ENDPOINT_PAUSED,
                endpoint=endpoint.endpoint,
                born_ms=endpoint.born_ms,
                retry_after_s=response_metadata.retry_after_s,
            )

    def _find_failure(
        self, head: ResponseHead, response_metadata: ResponseMetadata
    ) -> AttemptFailure | None:
        """Return why a response can't be forwarded to the caller, or ``None`` if it can."""
        if response_metadata.not_run or response_metadata.wrong_endpoint:
            return AttemptFailure(Verdict.NOT_RUN, f"status {head.status}, not run")
        if 200 <= head.status < 300 and not response_metadata.signed:
            return AttemptFailure(Verdict.MAY_HAVE_RUN, "the response is not signed")
        if head.status in (408, 421, 429, 503):
            # From this entry these statuses mean that the request has not run. The endpoint did
            # not confirm that, so they must not reach the caller.
            return AttemptFailure(
                Verdict.MAY_HAVE_RUN, f"status {head.status} without a not-run confirmation"
            )
        return None

    async def read_body(self, attempt: EndpointAttempt) -> bytes:
        """Read the body of a response that is no stream, once.

        :raises EndpointFailure: if the body is too large, or ends early.
        """
        if attempt.body is not None:
            return attempt.body
        claim = attempt.resources.enter_context(self.held.open_claim())
        body = bytearray()
        chunk_count = 0
        while (data := await attempt.connection.read_body_chunk()) is not None:
            body += data
            chunk_count += 1
            if len(body) > MAX_RESPONSE_BYTES or chunk_count > MAX_RESPONSE_CHUNKS:
                raise EndpointFailure("the response has too many bytes or chunks", True)
            if not claim.try_grow(len(data)):
                raise EndpointFailure("the memory limit for buffered responses is reached", True)
        return bytes(body)

    async def record_failure(self, attempt: EndpointAttempt, failure: EndpointFailure) -> None:
        """Record what the failure of an attempt tells of its endpoint, once."""
        if attempt.has_failed:
            return
        attempt.has_failed = True
        now = anyio.current_time()
        if now - attempt.started_at > GROUP_STALL_THRESHOLD_S:
            self.placement.on_no_progress(attempt.endpoint, now)
        else:
            self.placement.on_failure(attempt.endpoint, now)
        if failure.connection_ended and attempt.progress.stream.events == attempt.events_before:
            await self.prompt_guard.on_connection_ended(attempt.request, attempt.endpoint)


def _is_event_stream(head: ResponseHead) -> bool:
    """Return whether a response can go on with a stream that has begun."""
    content_type = head.get_header("content-type")
    return head.status == HTTP_OK and content_type.lower().startswith(EVENT_STREAM_TYPE)
