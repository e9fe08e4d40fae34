"""The agent beside one endpoint: runs attempts for entries and answers for what ran."""

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
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AttemptFailed,
    AttemptMessage,
    AttemptReport,
    CancelAttempt,
    EndpointLoad,
    GrantCredit,
    QueryAttempt,
    StartAttempt,
)
from bergamotchute_model.hello import Hello
from bergamotchute_model.identifiers import AttemptId
from bergamotchute_model.membership import Role
from bergamotchute_model.verdict import Verdict
from bergamotchute_wire.endpoint_client import (
    CallEndpoint,
    EndpointBroke,
    EndpointRequest,
    EndpointUnreached,
)
from bergamotchute_wire.link import Link, LinkClosed
from bergamotchute_wire.outbox import Outbox

LOAD_REPORT_INTERVAL_S = 0.25
"""How often an agent tells its entries that its load changed."""

SAME_LOAD_REPORT_S = 1.0
"""How often it tells them that nothing changed; well within the time a report is believed."""

GATHER_S = 0.002
"""How long a message to an entry waits for others to join it; runners give many tokens at once."""

ENDPOINT_SILENCE_TIMEOUT_S = 120.0
"""How long an endpoint may send nothing at all."""

STREAM_SILENCE_S = 5.0
"""How long an endpoint may pause in a stream that has begun."""

WATCH_S = 0.5

EVENT_STREAM_CONTENT_TYPE = "text/event-stream"

EntryOutbox: TypeAlias = Outbox[AttemptMessage]


@dataclass
class RunningAttempt:
    """An attempt in execution.

    :param outbox: where its answer goes; ``None`` once its entry is gone.
    :param credit_bytes: how many bytes of answer may still be sent.
    :param last_data_at_s: when the endpoint last sent something, on the runtime's clock.
    :param is_stopped_for_silence: it was stopped because its endpoint fell silent.
    """

    message: StartAttempt
    outbox: EntryOutbox | None
    credit_bytes: int
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    credit_granted: anyio.Event = field(default_factory=anyio.Event)
    sequence: int = 0
    events: int = 0
    last_data_at_s: float = field(default_factory=anyio.current_time)
    waits_for_credit: bool = False
    is_stopped_for_silence: bool = False

    def is_silent(self, now: float) -> bool:
        """Return whether its endpoint has stopped in the middle of a stream."""
        begun = self.events > 0 and not self.waits_for_credit
        return begun and now - self.last_data_at_s > STREAM_SILENCE_S

    def work_left(self) -> int:
        """Return the tokens that are probably still to come."""
        return max(1, self.message.work_tokens - self.events)


class Agent:
    """Serves the links of entries and runs their attempts at one endpoint.

    :param attempt_table: decides what may start.
    :param call_endpoint: reaches the endpoint.
    :param slots: requests that the endpoint runs side by side.
    :param tasks: where executions run.
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
        outbox: EntryOutbox = Outbox(link, GATHER_S)
        outbox.post(Hello(self.attempt_table.endpoint, Role.AGENT, self.attempt_table.incarnation))
        outbox.post(self.load(outbox))
        self.outboxes.append(outbox)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(outbox.run)
                await self._read(link, outbox)
                tasks.cancel_scope.cancel()
        finally:
            self.outboxes.remove(outbox)
            self.last_sent_loads.pop(outbox, None)
            self._on_link_closed(outbox)

    async def _read(self, link: Link[AttemptMessage], outbox: EntryOutbox) -> None:
        """Take an entry's messages until its link closes."""
        try:
            while True:
                self._on_message(outbox, await link.receive())
        except LinkClosed as closed:
            self.log.emit(events.LINK_CLOSED, peer=link.peer, reason=closed.reason)

    async def run_load_reports(self) -> None:
        """Tell all entries how busy the endpoint is, again and again."""
        while True:
            await anyio.sleep(LOAD_REPORT_INTERVAL_S)
            self._send_load()

    async def run_silence_checks(self) -> None:
        """Stop streams whose endpoint fell silent, so that they go on at another."""
        while True:
            await anyio.sleep(WATCH_S)
            now = anyio.current_time()
            for execution in list(self.running_attempts.values()):
                if execution.is_silent(now):
                    execution.is_stopped_for_silence = True
                    execution.scope.cancel()

    async def drain(self, drain_timeout_s: float) -> bool:
        """Take no new attempt and wait for those in execution.

        :param drain_timeout_s: how long to wait at most, in seconds.
        :returns: whether all ended in time.
        """
        self.attempt_table.draining = True
        self.log.emit(events.PROCESS_DRAINING, running=len(self.running_attempts))
        self._send_load()
        with anyio.move_on_after(drain_timeout_s):
            while self.running_attempts:
                self.idle = anyio.Event()
                await self.idle.wait()
        if self.running_attempts:
            self.log.emit(events.DRAIN_OVERRUN, running=len(self.running_attempts))
            return False
        return True

    def _on_message(self, outbox: EntryOutbox, message: AttemptMessage) -> None:
        """Handle one message of an entry; unknown kinds are for later protocol versions."""
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
        """Start an attempt, or say why not."""
        decision = self.attempt_table.decide_start(message)
        match decision:
            case AttemptAccepted():
                execution = RunningAttempt(message, outbox, message.credit_bytes)
                self.running_attempts[message.attempt] = execution
                self.tasks.start_soon(self._execute, execution)
            case AttemptRefused(verdict, code):
                self._emit(events.ATTEMPT_REFUSED, message.attempt, verdict=verdict, code=code)
                detail = f"the agent of {self.attempt_table.endpoint} refused the attempt: {code}"
                outbox.post(AttemptFailed(message.attempt, verdict, code, detail))
            case _:
                pass

    def on_grant_credit(self, message: GrantCredit) -> None:
        """Let an answer go on."""
        execution = self.running_attempts.get(message.attempt)
        if execution is not None:
            execution.credit_bytes += message.credit_bytes
            execution.credit_granted.set()

    def on_cancel_attempt(self, outbox: EntryOutbox, message: CancelAttempt) -> None:
        """Stop an attempt; one that never came is barred."""
        execution = self.running_attempts.get(message.attempt)
        if execution is not None:
            execution.scope.cancel()
            return
        record = self.attempt_table.get_or_bar(message.attempt)
        outbox.post(AttemptReport("", record.attempt, record.state))

    def on_query_attempt(self, outbox: EntryOutbox, message: QueryAttempt) -> None:
        """Report what became of an attempt."""
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
        """Stop the idempotent attempts of a lost entry; the others run to their end."""
        for execution in list(self.running_attempts.values()):
            if execution.outbox is outbox:
                execution.outbox = None
                execution.credit_granted.set()
                if execution.message.idempotent:
                    execution.scope.cancel()

    async def _execute(self, execution: RunningAttempt) -> None:
        """Run one attempt to its end and record it before anyone is told."""
        message = execution.message
        self._emit(events.ATTEMPT_STARTED, message.attempt, idempotent=message.idempotent)
        ending: AttemptMessage = self._failed(execution, Verdict.MAY_HAVE_RUN, "cancelled", "")
        try:
            # Non-idempotent work runs on past its deadline: cut off, its outcome would be lost.
            bound_s = message.deadline_s if message.idempotent else float("inf")
            with execution.scope, anyio.move_on_after(bound_s) as deadline:
                ending = await self._call(execution)
            if deadline.cancelled_caught:
                ending = self._failed(execution, Verdict.MAY_HAVE_RUN, "deadline", "")
            elif execution.is_stopped_for_silence:
                ending = self._failed(execution, Verdict.MAY_HAVE_RUN, "endpoint_silent", "")
        finally:
            self._record(execution, ending)
        self._send(execution, ending)

    async def _call(self, execution: RunningAttempt) -> AttemptMessage:
        """Call the endpoint and pass its answer on; return the closing message."""
        message = execution.message
        request = EndpointRequest(
            method=message.method,
            path=message.path,
            headers=self._headers(message),
            body=_body(message),
            silence_s=ENDPOINT_SILENCE_TIMEOUT_S,
            may_repeat=message.idempotent,
        )
        try:
            async with self.call_endpoint(request) as answer:
                self._send(execution, AnswerHead(message.attempt, answer.status, answer.headers))
                content_type = dict(answer.headers).get("content-type", "")
                splitter = (
                    EventSplitter() if content_type.startswith(EVENT_STREAM_CONTENT_TYPE) else None
                )
                kept = bytearray()
                async for data in answer.chunks:
                    execution.last_data_at_s = anyio.current_time()
                    if not message.idempotent and len(kept) <= MAX_OUTCOME_BODY_BYTES:
                        kept += data
                    await self._pass_on(execution, data, splitter)
                if splitter is not None and splitter.buffer:
                    return self._failed(
                        execution, Verdict.MAY_HAVE_RUN, "endpoint_broke", "cut inside an event"
                    )
                keep = bytes(kept) if len(kept) <= MAX_OUTCOME_BODY_BYTES else None
                self.attempt_table.record_completion(
                    message.attempt, answer.status, answer.headers, keep
                )
                return AnswerEnd(message.attempt, execution.sequence)
        except EndpointUnreached as error:
            return self._failed(execution, Verdict.NOT_RUN, "endpoint_unreached", str(error))
        except EndpointBroke as error:
            return self._failed(execution, Verdict.MAY_HAVE_RUN, "endpoint_broke", str(error))

    async def _pass_on(
        self, execution: RunningAttempt, data: bytes, splitter: EventSplitter | None
    ) -> None:
        """Send bytes of the answer once the entry has room for them."""
        number = 0
        if splitter is not None:
            data, number = splitter.feed(data)
        if not data:
            return
        while execution.credit_bytes <= 0 and execution.outbox is not None:
            execution.waits_for_credit = True
            execution.credit_granted = anyio.Event()
            await execution.credit_granted.wait()
        if execution.waits_for_credit:
            execution.waits_for_credit = False
            execution.last_data_at_s = anyio.current_time()
        execution.credit_bytes -= len(data)
        chunk = AnswerChunk(execution.message.attempt, execution.sequence, data, number)
        execution.sequence += 1
        execution.events += number
        self._send(execution, chunk)

    def _headers(self, message: StartAttempt) -> tuple[tuple[str, str], ...]:
        """Return the caller's headers with the attempt's identity added."""
        attempt = message.attempt
        own = (("x-request-id", attempt.request_id), ("x-attempt", str(attempt.number)))
        return (*message.headers, *own, ("x-priority", str(message.priority)))

    def _record(self, execution: RunningAttempt, ending: AttemptMessage) -> None:
        """Enter an attempt's end into the table and the log."""
        attempt = execution.message.attempt
        self.running_attempts.pop(attempt, None)
        if isinstance(ending, AttemptFailed):
            if attempt in self.attempt_table.running:
                self.attempt_table.record_failure(attempt, ending.verdict)
            self._emit(events.ATTEMPT_FAILED, attempt, verdict=ending.verdict, code=ending.code)
        else:
            self._emit(events.ATTEMPT_COMPLETED, attempt, chunks=execution.sequence)
        if not self.running_attempts:
            self.idle.set()

    def _failed(
        self, execution: RunningAttempt, verdict: Verdict, code: str, detail: str
    ) -> AttemptFailed:
        return AttemptFailed(execution.message.attempt, verdict, code, detail)

    def _emit(self, kind: events.EventKind, attempt: AttemptId, **fields: Any) -> None:
        self.log.emit(
            kind,
            request_id=attempt.request_id,
            endpoint=attempt.endpoint,
            attempt=attempt.number,
            **fields,
        )

    def _send(self, execution: RunningAttempt, message: AttemptMessage) -> None:
        """Send to the attempt's entry, if it is still there."""
        if execution.outbox is not None:
            execution.outbox.post(message)

    def _send_load(self) -> None:
        """Report to every entry, without waiting for a slow one; what didn't change, less often."""
        now = anyio.current_time()
        for outbox in self.outboxes:
            load = self.load(outbox)
            told, told_at = self.last_sent_loads.get(outbox, (None, 0.0))
            if (
                told is None
                or replace(told, sequence=load.sequence) != load
                or now - told_at >= SAME_LOAD_REPORT_S
            ):
                self._report(outbox, load, now)

    def _report(self, outbox: EntryOutbox, load: EndpointLoad, now: float) -> None:
        outbox.post(load)
        self.last_sent_loads[outbox] = (load, now)

    def load(self, outbox: EntryOutbox) -> EndpointLoad:
        """Return the present load as the entry behind an outbox is to see it."""
        self.load_report_sequence += 1
        running = list(self.running_attempts.values())
        own = [execution for execution in running if execution.outbox is outbox]
        return EndpointLoad(
            endpoint=self.attempt_table.endpoint,
            incarnation=self.attempt_table.incarnation,
            sequence=self.load_report_sequence,
            running=min(len(running), self.slots),
            waiting=max(0, len(running) - self.slots),
            work_left_tokens=sum(execution.work_left() for execution in running),
            slots=self.slots,
            draining=self.attempt_table.draining,
            long=_count_long(running),
            yours=len(own),
            yours_long=_count_long(own),
            entries=max(1, len({id(execution.outbox) for execution in running})),
        )


def _count_long(executions: list[RunningAttempt]) -> int:
    """Return how many are long work."""
    return sum(execution.message.long for execution in executions)


def _body(message: StartAttempt) -> bytes:
    """Return the body for the endpoint; a resumed stream says how far it came."""
    if not message.resume_offset:
        return message.body
    fields = json.loads(message.body)
    fields["resume"] = {"offset": message.resume_offset, "text": message.resume_text}
    return json.dumps(fields).encode()
