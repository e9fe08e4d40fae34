"""The state of one request across its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotchute_daemon.direct.caller_stream import CallerStream
from bergamotchute_daemon.direct.event_stream import EventStream
from bergamotchute_model.verdict import Verdict
from bergamotchute_wire.http1_messages import ResponseHead


@dataclass(frozen=True)
class AttemptFailure:
    """The outcome of an attempt that did not complete the request.

    :param detail: what a library says of the cause, for the log only.
    :param head: the endpoint's own error response, sent to the caller if no attempt does better.
    """

    verdict: Verdict
    reason: str
    head: ResponseHead | None = None
    body: bytes = b""
    detail: str = ""


@dataclass
class RequestProgress:
    """What became of the attempts of a request so far, and of its response.

    :param caller: writes a stream to the caller; ``None`` for other responses.
    :param failed_endpoints: identifiers of the endpoints whose attempts failed.
    :param sent_count: endpoints that accepted a connection for the request.
    :param attempt_count: attempts so far, including refused connections.
    :param may_have_run: whether any endpoint may have run the request.
    :param has_second_send: whether the request is being sent to another endpoint while one has it.
    :param endpoint_wait_ends_at: how long the request may wait for a first endpoint, on the
        runtime's clock; ``None`` until it waits.
    :param last_failure: the outcome of the last attempt.
    :param last_failed_endpoint: the identifier of the endpoint whose attempt failed last.
    :param response_started_at: when the first data was sent to the caller, on the runtime's clock.
    :param last_chunk_at: when the last data was sent to the caller.
    :param longest_pause_s: the longest time between two chunks of a stream.
    """

    stream: EventStream
    caller: CallerStream | None = None
    failed_endpoints: set[str] = field(default_factory=set)
    sent_count: int = 0
    attempt_count: int = 0
    may_have_run: bool = False
    has_second_send: bool = False
    endpoint_wait_ends_at: float | None = None
    last_failure: AttemptFailure | None = None
    last_failed_endpoint: str = ""
    response_started_at: float | None = None
    last_chunk_at: float = 0.0
    longest_pause_s: float = 0.0

    def record_chunk(self, now: float) -> None:
        """Update the times when data is sent to the caller."""
        if self.response_started_at is None:
            self.response_started_at = now
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_chunk_at)
        self.last_chunk_at = now
