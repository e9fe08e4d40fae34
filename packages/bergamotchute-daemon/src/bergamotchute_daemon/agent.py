"""The agent of one endpoint: runs attempts for entries and reports their outcomes."""

from __future__ import annotations

import json
from dataclasses import dataclass, field, replace
from typing import Any, TypeAlias

import anyio
from anyio.abc import TaskGroup

from bergamotchute_daemon._event_splitter import EventSplitter
from bergamotchute_daemon.attempt_table import (
    MAX_OUTCOME_BODY_BYTES,
    AttemptAccepted,
    AttemptRefused,
    AttemptTable,
)
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_model.attempt_messages import (
    AttemptFailed,
    AttemptMessage,
    AttemptReport,
    CancelAttempt,
    EndpointLoad,
    GrantCredit,
    QueryAttempt,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    StartAttempt,
)
from bergamotchute_model.headers import EVENT_STREAM_TYPE
from bergamotchute_model.hello import Hello
from bergamotchute_model.identifiers import AttemptId
from bergamotchute_model.membership import ProcessRole
from bergamotchute_model.verdict import Verdict
from bergamotchute_wire.endpoint_client import (
    CallEndpoint,
    EndpointCallInterrupted,
    EndpointRequest,
    EndpointUnreachable,
)
from bergamotchute_wire.link import Link, LinkClosed
from bergamotchute_wire.outbox import Outbox

LOAD_REPORT_INTERVAL_S = 0.25
"""Interval of load reports to the entries while the load changes."""

UNCHANGED_LOAD_REPORT_INTERVAL_S = 1.0
"""Interval of load reports while the load is unchanged; well below the validity of a report."""

MESSAGE_BATCH_DELAY_S = 0.002
"""Delay for batching messages to an entry, since runners emit many tokens at once."""

ENDPOINT_SILENCE_TIMEOUT_S = 120.0
"""How long an endpoint may send no data at all before its attempt fails."""

STREAM_SILENCE_TIMEOUT_S = 5.0
"""How long an endpoint may pause within an event stream before the attempt is stopped."""

SILENCE_CHECK_INTERVAL_S = 0.5

MAX_EVENT_BYTES = 262_144
"""Bytes without the end of an event after which a stream fails; an event has some hundred bytes."""


EntryOutbox: TypeAlias = Outbox[AttemptMessage]


@dataclass
class RunningAttempt:
    """A running attempt.

    :param outbox: receives the response; ``None`` once the link to the entry has closed.
    :param credit_bytes: response bytes that may still be sent.
    :param last_data_at_s: when the endpoint last sent data, on the runtime's clock, in seconds.
    :param is_stopped_for_silence: whether the attempt was stopped because its endpoint became silent.
    """

    message: StartAttempt
    outbox: EntryOutbox | None
    credit_bytes: int
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    credit_granted: anyio.Event = field(default_factory=anyio.Event)
    sequence: int = 0
    events: int = 0
    last_data_at_s: float = field(default_factory=anyio.current_time)
    is_waiting_for_credit: bool = False
    is_stopped_for_silence: bool = False

    def is_silent_too_long(self, now: float) -> bool:
        """Return whether the endpoint has been silent for too long within a stream."""
        is_streaming = self.events > 0 and not self.is_waiting_for_credit
        return is_streaming and now - self.last_data_at_s > STREAM_SILENCE_TIMEOUT_S

    def remaining_tokens(self) -> int:
        """Return the estimated number of tokens still to be generated."""
        return max(1, self.message.work_tokens - self.events)


class Agent:
    """Serves the links of entries and runs their attempts at one endpoint.

    :param attempt_table: decides which attempts may start.
    :param call_endpoint: sends a request to the endpoint.
    :param slots: number of requests that the endpoint runs concurrently.
    :param tasks: task group in which attempts run.
    """

    def __init__(
        self,
        table: AttemptTable,
        call_endpoint: CallEndpoint,
        slots: int,
        log: EventLog,
        tasks: TaskGroup,
    ) -> None:
        self.attempt_table = table
        self.call_endpoint = call_endpoint
        self.slots = slots
        self.log = log
        self.tasks = tasks
        self.running_attempts: dict[AttemptId, RunningAttempt] = {}
        self.outboxes: list[EntryOutbox] = []
        self.last_sent_loads: dict[EntryOutbox, tuple[EndpointLoad, float]] = {}
        self.load_report_sequence = 0
        self.idle = anyio.Event()

    async def serve_link(self, link: Link[AttemptMessage]) -> None:
        """Serve one entry until its link closes."""
        outbox: EntryOutbox = Outbox(link, MESSAGE_BATCH_DELAY_S)
        outbox.post(
            Hello(self.attempt_table.endpoint, ProcessRole.AGENT, self.attempt_table.incarnation)
        )
        outbox.post(self.load(outbox))
        self.outboxes.append(outbox)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(outbox.run)
                await self._read_messages(link, outbox)
                tasks.cancel_scope.cancel()
        finally:
            self.outboxes.remove(outbox)
            self.last_sent_loads.pop(outbox, None)
            self._on_link_closed(outbox)

    async def _read_messages(self, link: Link[AttemptMessage], outbox: EntryOutbox) -> None:
        """Handle an entry's messages until its link closes."""
        try:
            while True:
                self._on_message(outbox, await link.receive())
        except LinkClosed as closed:
            self.log.emit(events.LINK_CLOSED, peer=link.peer, reason=closed.reason)

    async def run_load_reports(self) -> None:
        """Report the endpoint's load to all entries at a fixed interval."""
        while True:
            await anyio.sleep(LOAD_REPORT_INTERVAL_S)
            self._send_load_reports()

    async def run_silence_checks(self) -> None:
        """Stop streams whose endpoint is silent, so that entries can resume them elsewhere."""
        while True:
            await anyio.sleep(SILENCE_CHECK_INTERVAL_S)
            now = anyio.current_time()
            for execution in list(self.running_attempts.values()):
                if execution.is_silent_too_long(now):
                    execution.is_stopped_for_silence = True
                    execution.scope.cancel()

    async def drain(self, drain_timeout_s: float) -> bool:
        """Accept no new attempts and wait for the running ones.

        :param drain_timeout_s: maximum wait, in seconds.
        :returns: whether all attempts ended in time.
        """
        self.attempt_table.draining = True
        self.log.emit(events.PROCESS_DRAINING, running=len(self.running_attempts))
        self._send_load_reports()
        with anyio.move_on_after(drain_timeout_s):
            while self.running_attempts:
                self.idle = anyio.Event()
                await self.idle.wait()
        if self.running_attempts:
            self.log.emit(events.DRAIN_TIMED_OUT, running=len(self.running_attempts))
            return False
        return True

    def _on_message(self, outbox: EntryOutbox, message: AttemptMessage) -> None:
        """Handle a message of an entry; ignore kinds that later protocol versions may add."""
        match message:
            case StartAttempt():
                self.on_start_attempt(outbox, message)
            case GrantCredit():
                self.on_grant_credit(message)
            case CancelAttempt():
                self.on_cancel_attempt(outbox, message)
            case QueryAttempt():
                self.on_query_attempt(outbox, message)
            case _:
                pass

    def on_start_attempt(self, outbox: EntryOutbox, message: StartAttempt) -> None:
        """Start an attempt, or report why it was refused."""
        decision = self.attempt_table.decide_start(message)
        match decision:
            case AttemptAccepted():
                execution = RunningAttempt(message, outbox, message.credit_bytes)
                self.running_attempts[message.attempt] = execution
                self.tasks.start_soon(self._run_attempt, execution)
            case AttemptRefused(verdict, code):
                self._log_attempt_event(
                    events.ATTEMPT_REFUSED, message.attempt, verdict=verdict, code=code
                )
                detail = f"the agent of {self.attempt_table.endpoint} refused the attempt: {code}"
                outbox.post(AttemptFailed(message.attempt, verdict, code, detail))
            case _:
                pass

    def on_grant_credit(self, message: GrantCredit) -> None:
        """Add credit so that more of the response may be sent."""
        execution = self.running_attempts.get(message.attempt)
        if execution is not None:
            execution.credit_bytes += message.credit_bytes
            execution.credit_granted.set()

    def on_cancel_attempt(self, outbox: EntryOutbox, message: CancelAttempt) -> None:
        """Stop an attempt; one that has not arrived is barred from starting later."""
        execution = self.running_attempts.get(message.attempt)
        if execution is not None:
            execution.scope.cancel()
            return
        record = self.attempt_table.get_or_bar(message.attempt)
        outbox.post(AttemptReport("", record.attempt, record.state))

    def on_query_attempt(self, outbox: EntryOutbox, message: QueryAttempt) -> None:
        """Report the state of an attempt."""
        record = self.attempt_table.get_or_bar(message.attempt)
        outbox.post(
            AttemptReport(
                message.query_id,
                message.attempt,
                record.state,
                record.status,
                record.headers,
                record.body,
            )
        )

    def _on_link_closed(self, outbox: EntryOutbox) -> None:
        """Stop the idempotent attempts of a lost entry; let the others run to completion."""
        for execution in list(self.running_attempts.values()):
            if execution.outbox is outbox:
                execution.outbox = None
                execution.credit_granted.set()
                if execution.message.idempotent:
                    execution.scope.cancel()

    async def _run_attempt(self, execution: RunningAttempt) -> None:
        """Run an attempt and record its outcome before reporting it."""
        message = execution.message
        self._log_attempt_event(
            events.ATTEMPT_STARTED, message.attempt, idempotent=message.idempotent
        )
        final_message: AttemptMessage = self._failure_message(
            execution, Verdict.MAY_HAVE_RUN, "cancelled", ""
        )
        try:
            # A non-idempotent attempt may exceed its deadline: stopping it would lose its outcome.
            max_runtime_s = message.deadline_s if message.idempotent else float("inf")
            with execution.scope, anyio.move_on_after(max_runtime_s) as deadline_scope:
                final_message = await self._call_endpoint(execution)
            if deadline_scope.cancelled_caught:
                final_message = self._failure_message(
                    execution, Verdict.MAY_HAVE_RUN, "deadline", ""
                )
            elif execution.is_stopped_for_silence:
                final_message = self._failure_message(
                    execution, Verdict.MAY_HAVE_RUN, "endpoint_silent", ""
                )
        finally:
            self._record_ending(execution, final_message)
        self._send_to_entry(execution, final_message)

    async def _call_endpoint(self, execution: RunningAttempt) -> AttemptMessage:
        """Call the endpoint and forward its response; return the final message."""
        message = execution.message
        request = EndpointRequest(
            method=message.method,
            path=message.path,
            headers=self._endpoint_headers(message),
            body=_body(message),
            silence_timeout_s=ENDPOINT_SILENCE_TIMEOUT_S,
        )
        try:
            async with self.call_endpoint(request) as answer:
                self._send_to_entry(
                    execution, ResponseHead(message.attempt, answer.status, answer.headers)
                )
                content_type = dict(answer.headers).get("content-type", "")
                splitter = EventSplitter() if content_type.startswith(EVENT_STREAM_TYPE) else None
                outcome_body = bytearray()
                async for data in answer.chunks:
                    execution.last_data_at_s = anyio.current_time()
                    if not message.idempotent and len(outcome_body) <= MAX_OUTCOME_BODY_BYTES:
                        outcome_body += data
                    await self._forward_chunk(execution, data, splitter)
                    if splitter is not None and len(splitter.buffer) > MAX_EVENT_BYTES:
                        return self._failure_message(
                            execution, Verdict.MAY_HAVE_RUN, "endpoint_broke", "event too large"
                        )
                if splitter is not None and splitter.buffer:
                    return self._failure_message(
                        execution, Verdict.MAY_HAVE_RUN, "endpoint_broke", "cut inside an event"
                    )
                recorded_body = (
                    bytes(outcome_body) if len(outcome_body) <= MAX_OUTCOME_BODY_BYTES else None
                )
                self.attempt_table.record_completion(
                    message.attempt, answer.status, answer.headers, recorded_body
                )
                return ResponseEnd(message.attempt, execution.sequence)
        except EndpointUnreachable as error:
            return self._failure_message(
                execution, Verdict.NOT_RUN, "endpoint_unreached", str(error)
            )
        except EndpointCallInterrupted as error:
            return self._failure_message(
                execution, Verdict.MAY_HAVE_RUN, "endpoint_broke", str(error)
            )

    async def _forward_chunk(
        self, execution: RunningAttempt, data: bytes, splitter: EventSplitter | None
    ) -> None:
        """Send part of the response once the entry has granted credit."""
        number = 0
        if splitter is not None:
            data, number = splitter.feed(data)
        if not data:
            return
        while execution.credit_bytes <= 0 and execution.outbox is not None:
            execution.is_waiting_for_credit = True
            execution.credit_granted = anyio.Event()
            await execution.credit_granted.wait()
        if execution.is_waiting_for_credit:
            execution.is_waiting_for_credit = False
            execution.last_data_at_s = anyio.current_time()
        execution.credit_bytes -= len(data)
        chunk = ResponseChunk(execution.message.attempt, execution.sequence, data, number)
        execution.sequence += 1
        execution.events += number
        self._send_to_entry(execution, chunk)

    def _endpoint_headers(self, message: StartAttempt) -> tuple[tuple[str, str], ...]:
        """Return the caller's headers plus those that identify the attempt."""
        attempt = message.attempt
        identity_headers = (
            ("x-request-id", attempt.request_id),
            ("x-attempt", str(attempt.number)),
        )
        return (*message.headers, *identity_headers, ("x-priority", str(message.priority)))

    def _record_ending(self, execution: RunningAttempt, final_message: AttemptMessage) -> None:
        """Record the end of an attempt in the attempt table and the event log."""
        attempt = execution.message.attempt
        self.running_attempts.pop(attempt, None)
        if isinstance(final_message, AttemptFailed):
            if attempt in self.attempt_table.running:
                self.attempt_table.record_failure(attempt, final_message.verdict)
            self._log_attempt_event(
                events.ATTEMPT_FAILED,
                attempt,
                verdict=final_message.verdict,
                code=final_message.code,
            )
        else:
            self._log_attempt_event(events.ATTEMPT_COMPLETED, attempt, chunks=execution.sequence)
        if not self.running_attempts:
            self.idle.set()

    def _failure_message(
        self, execution: RunningAttempt, verdict: Verdict, code: str, detail: str
    ) -> AttemptFailed:
        return AttemptFailed(execution.message.attempt, verdict, code, detail)

    def _log_attempt_event(self, kind: events.EventKind, attempt: AttemptId, **fields: Any) -> None:
        self.log.emit(
            kind,
            request_id=attempt.request_id,
            endpoint=attempt.endpoint,
            attempt=attempt.number,
            **fields,
        )

    def _send_to_entry(self, execution: RunningAttempt, message: AttemptMessage) -> None:
        """Send a message to the attempt's entry, if it is still linked."""
        if execution.outbox is not None:
            execution.outbox.post(message)

    def _send_load_reports(self) -> None:
        """Report the load to each entry without blocking; unchanged load is sent less often."""
        now = anyio.current_time()
        for outbox in self.outboxes:
            load = self.load(outbox)
            last_load, last_sent_at = self.last_sent_loads.get(outbox, (None, 0.0))
            if (
                last_load is None
                or replace(last_load, sequence=load.sequence) != load
                or now - last_sent_at >= UNCHANGED_LOAD_REPORT_INTERVAL_S
            ):
                self._post_load_report(outbox, load, now)

    def _post_load_report(self, outbox: EntryOutbox, load: EndpointLoad, now: float) -> None:
        outbox.post(load)
        self.last_sent_loads[outbox] = (load, now)

    def load(self, outbox: EntryOutbox) -> EndpointLoad:
        """Return the current load, with the share of the entry that owns the outbox."""
        self.load_report_sequence += 1
        running = list(self.running_attempts.values())
        own_attempts = [execution for execution in running if execution.outbox is outbox]
        return EndpointLoad(
            endpoint=self.attempt_table.endpoint,
            incarnation=self.attempt_table.incarnation,
            sequence=self.load_report_sequence,
            running=min(len(running), self.slots),
            waiting=max(0, len(running) - self.slots),
            work_left_tokens=sum(execution.remaining_tokens() for execution in running),
            slots=self.slots,
            draining=self.attempt_table.draining,
            long=_count_long_attempts(running),
            yours=len(own_attempts),
            yours_long=_count_long_attempts(own_attempts),
            entries=max(1, len({id(execution.outbox) for execution in running})),
        )


def _count_long_attempts(executions: list[RunningAttempt]) -> int:
    """Return the number of attempts classed as long."""
    return sum(execution.message.long for execution in executions)


def _body(message: StartAttempt) -> bytes:
    """Return the request body; for a resumed stream, add its offset and text so far."""
    if not message.resume_offset:
        return message.body
    fields = json.loads(message.body)
    fields["resume"] = {"offset": message.resume_offset, "text": message.resume_text}
    return json.dumps(fields).encode()
