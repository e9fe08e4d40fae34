"""An entry's link to the agent of one endpoint, reopened whenever it closes."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import TypeAlias

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from bergamotchute_daemon.backoff import Backoff
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
from bergamotchute_model.hello import Hello
from bergamotchute_model.identifiers import Address, AttemptId
from bergamotchute_wire.link import Dial, DialFailed, Link, LinkClosed

AnswerMessage: TypeAlias = ResponseHead | ResponseChunk | ResponseEnd | AttemptFailed

LoadCallback: TypeAlias = Callable[[EndpointLoad], None]

LinkCallback: TypeAlias = Callable[[bool], None]
"""Called with whether attempts can be sent now."""

AnswerCallback: TypeAlias = Callable[[AnswerMessage], bool]
"""Called with each response message of an attempt; returns whether the attempt has ended."""


class AttemptNotSent(Exception):
    """Nothing was sent, since no link to the agent's current incarnation is open."""


@dataclass
class AttemptChannel:
    """Receiver of the response messages of one attempt in flight.

    :param on_message: called with each message in order; returns whether the attempt has ended.
    :param finished: set when the attempt has ended or its link has closed.
    """

    attempt: AttemptId
    on_message: AnswerCallback
    finished: anyio.Event = field(default_factory=anyio.Event)
    next_sequence: int = 0


@dataclass
class EndpointConnector:
    """Keeps a link to one incarnation of an agent and matches responses to attempts.

    :param endpoint: name of the endpoint.
    :param incarnation: incarnation of the agent that attempts are addressed to.
    :param hello: message that introduces this entry.
    :param on_load_report: called with each load report of the endpoint.
    :param on_link_change: called when the link has opened or closed.
    :param gone: whether the agent has another incarnation, or the connector has stopped.
    """

    endpoint: str
    incarnation: str
    address: Address
    dial: Dial[AttemptMessage]
    hello: Hello
    on_load_report: LoadCallback
    on_link_change: LinkCallback
    log: EventLog
    random: Random
    link: Link[AttemptMessage] | None = None
    changed: anyio.Event = field(default_factory=anyio.Event)
    channels: dict[AttemptId, AttemptChannel] = field(default_factory=dict)
    pending_queries: dict[str, MemoryObjectSendStream[AttemptReport]] = field(default_factory=dict)
    query_count: int = 0
    dropped_message_count: int = 0
    gone: bool = False

    async def run(self) -> None:
        """Keep the link until cancelled; return once the agent has another incarnation."""
        backoff = Backoff(self.random)
        try:
            while not self.gone:
                if await self._connect():
                    backoff.reset()
                if not self.gone:
                    await anyio.sleep(backoff.next_delay())
        finally:
            self.gone = True
            self._set_link(None)

    async def send_attempt(
        self, message: StartAttempt, on_message: AnswerCallback
    ) -> AttemptChannel:
        """Send an attempt; the returned channel must be closed by :meth:`end`.

        :param on_message: called with its response messages.
        :raises AttemptNotSent: when no link is open; the attempt was not run.
        """
        link = self.link
        if link is None:
            raise AttemptNotSent(self.endpoint)
        channel = AttemptChannel(message.attempt, on_message)
        self.channels[message.attempt] = channel
        with suppress(LinkClosed):
            await link.send(message)
        if self.link is not link:
            channel.finished.set()
        return channel

    def end(self, channel: AttemptChannel) -> None:
        """Close the channel of an attempt; drop its later messages."""
        self.channels.pop(channel.attempt, None)

    async def cancel(self, attempt: AttemptId) -> None:
        """Ask the agent to stop an attempt."""
        await self._send_if_linked(CancelAttempt(attempt))

    async def grant_credit(self, attempt: AttemptId, credit_bytes: int) -> None:
        """Let the agent send more of a response."""
        await self._send_if_linked(GrantCredit(attempt, credit_bytes))

    async def query_attempt_state(
        self, attempt: AttemptId, query_timeout_s: float
    ) -> AttemptReport | None:
        """Query the state of an attempt, again over a new link when the link closes.

        :param query_timeout_s: timeout in seconds, retries included.
        :returns: the agent's report; ``None`` when none arrived in time.
        """
        with anyio.move_on_after(query_timeout_s):
            while not self.gone:
                changed = self.changed
                report = await self._query_once(attempt)
                if report is not None:
                    return report
                await changed.wait()
        return None

    async def _query_once(self, attempt: AttemptId) -> AttemptReport | None:
        """Query over the current link; return ``None`` when there is none or it closes."""
        link = self.link
        if link is None:
            return None
        self.query_count += 1
        query_id = str(self.query_count)
        sender, receiver = anyio.create_memory_object_stream[AttemptReport](1)
        self.pending_queries[query_id] = sender
        try:
            await link.send(QueryAttempt(query_id, attempt))
            return await receiver.receive()
        except (LinkClosed, anyio.EndOfStream):
            return None
        finally:
            self.pending_queries.pop(query_id, None)
            sender.close()
            receiver.close()

    async def _connect(self) -> bool:
        """Open a link and serve it until it closes; return whether it was opened."""
        try:
            async with self.dial(self.address) as link:
                await link.send(self.hello)
                await self._read_messages(link)
                return True
        except DialFailed:
            return False
        except LinkClosed as closed:
            kind = events.LINK_SILENT if closed.reason == "mute" else events.LINK_CLOSED
            self.log.emit(kind, endpoint=self.endpoint, reason=closed.reason)
            return True
        finally:
            self._set_link(None)

    async def _read_messages(self, link: Link[AttemptMessage]) -> None:
        """Handle messages of the agent until the link closes or its incarnation differs."""
        while True:
            message = await link.receive()
            match message:
                case Hello(incarnation=incarnation):
                    if incarnation != self.incarnation:
                        self.gone = True
                        return
                    self._set_link(link)
                    self.log.emit(events.LINK_OPENED, endpoint=self.endpoint)
                case EndpointLoad():
                    self.on_load_report(message)
                case AttemptReport():
                    self.on_attempt_report(message)
                case ResponseHead() | ResponseChunk() | ResponseEnd() | AttemptFailed():
                    self.on_answer(message)
                case _:
                    pass

    def on_attempt_report(self, message: AttemptReport) -> None:
        """Pass a report to the query that it answers."""
        sender = self.pending_queries.get(message.query_id)
        if sender is not None:
            sender.send_nowait(message)

    def on_answer(self, message: AnswerMessage) -> None:
        """Pass a response message to its attempt; drop unknown and repeated messages.

        After a gap the rest of the response is useless, so the attempt counts as lost.
        """
        channel = self.channels.get(message.attempt)
        if channel is not None and _has_gap_before(channel, message):
            self.channels.pop(message.attempt)
            channel.finished.set()
        if channel is None or not _is_next_in_order(channel, message):
            self.dropped_message_count += 1
            self.log.emit(
                events.RESPONSE_DROPPED,
                request_id=message.attempt.request_id,
                endpoint=self.endpoint,
                message=message.kind,
            )
            return
        if channel.on_message(message):
            self.channels.pop(message.attempt, None)
            channel.finished.set()

    def _set_link(self, link: Link[AttemptMessage] | None) -> None:
        """Replace the link, or clear it; attempts on the previous link are lost."""
        if self.link is not None:
            for channel in self.channels.values():
                channel.finished.set()
            for sender in self.pending_queries.values():
                sender.close()
        if (link is None) != (self.link is None):
            self.on_link_change(link is not None)
        self.link = link
        self.changed.set()
        self.changed = anyio.Event()

    async def _send_if_linked(self, message: AttemptMessage) -> None:
        """Send a message if a link is open; ignore a link that closes."""
        if self.link is not None:
            with suppress(LinkClosed):
                await self.link.send(message)


def _has_gap_before(channel: AttemptChannel, message: AnswerMessage) -> bool:
    """Return whether chunks that precede this message are missing."""
    match message:
        case ResponseChunk(sequence=sequence):
            return sequence > channel.next_sequence
        case ResponseEnd(chunks=chunks):
            return chunks > channel.next_sequence
        case _:
            return False


def _is_next_in_order(channel: AttemptChannel, message: AnswerMessage) -> bool:
    """Return whether a chunk is the next expected one, or an end follows all chunks."""
    match message:
        case ResponseChunk(sequence=sequence):
            if sequence != channel.next_sequence:
                return False
            channel.next_sequence += 1
            return True
        case ResponseEnd(chunks=chunks):
            return chunks == channel.next_sequence
        case _:
            return True
