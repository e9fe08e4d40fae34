"""An entry's link to the agent of one endpoint, replaced whenever it breaks."""

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
from bergamotchute_model.identifiers import Address, AttemptId
from bergamotchute_wire.link import Dial, DialFailed, Link, LinkClosed

AnswerMessage: TypeAlias = AnswerHead | AnswerChunk | AnswerEnd | AttemptFailed

OnLoad: TypeAlias = Callable[[EndpointLoad], None]

OnLink: TypeAlias = Callable[[bool], None]
"""Told whether attempts can be sent now."""

OnAnswer: TypeAlias = Callable[[AnswerMessage], bool]


class AttemptNotSent(Exception):
    """There is no link to the agent's present life, so nothing was sent."""


@dataclass
class AttemptChannel:
    """Where the answer messages of one attempt in flight go.

    :param on_message: takes each message in order; returns whether the attempt is over.
    :param finished: set when the attempt is over, or its link broke.
    """

    attempt: AttemptId
    on_message: OnAnswer
    finished: anyio.Event = field(default_factory=anyio.Event)
    next_sequence: int = 0


@dataclass
class EndpointConnector:
    """Keeps a link to one life of one endpoint's agent and matches answers to attempts.

    :param endpoint: its name.
    :param incarnation: the life that attempts are addressed to.
    :param hello: introduces this entry.
    :param on_load_report: told each load report of the endpoint.
    :param on_link_change: told when the link opened or broke.
    """

    endpoint: str
    incarnation: str
    address: Address
    dial: Dial[AttemptMessage]
    hello: Hello
    on_load_report: OnLoad
    on_link_change: OnLink
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
        """Keep the link until cancelled; return once another life answers at the address."""
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

    async def send_attempt(self, message: StartAttempt, on_message: OnAnswer) -> AttemptChannel:
        """Send an attempt; the returned channel must be closed by :meth:`end`.

        :param on_message: takes its answer messages.
        :raises NotSent: when there is no link; the attempt was not run.
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
        """Forget an attempt; what still comes for it is dropped."""
        self.channels.pop(channel.attempt, None)

    async def cancel(self, attempt: AttemptId) -> None:
        """Ask the agent to stop an attempt."""
        await self._send_quietly(CancelAttempt(attempt))

    async def grant_credit(self, attempt: AttemptId, credit_bytes: int) -> None:
        """Let an answer go on."""
        await self._send_quietly(GrantCredit(attempt, credit_bytes))

    async def query_attempt_state(
        self, attempt: AttemptId, query_timeout_s: float
    ) -> AttemptReport | None:
        """Ask what became of an attempt, over a new link if need be.

        :param query_timeout_s: how long to try, in seconds.
        :returns: the agent's report; ``None`` when none came in time.
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
        """Ask over the present link; return ``None`` when it breaks or there is none."""
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
        """Open a link and serve it to its end; return whether it was opened."""
        try:
            async with self.dial(self.address) as link:
                await link.send(self.hello)
                await self._serve(link)
                return True
        except DialFailed:
            return False
        except LinkClosed as closed:
            kind = events.LINK_MUTE if closed.reason == "mute" else events.LINK_CLOSED
            self.log.emit(kind, endpoint=self.endpoint, reason=closed.reason)
            return True
        finally:
            self._set_link(None)

    async def _serve(self, link: Link[AttemptMessage]) -> None:
        """Read the link until it closes."""
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
                case AnswerHead() | AnswerChunk() | AnswerEnd() | AttemptFailed():
                    self.on_answer(message)
                case _:
                    pass

    def on_attempt_report(self, message: AttemptReport) -> None:
        """Give a report to who asked."""
        sender = self.pending_queries.get(message.query_id)
        if sender is not None:
            sender.send_nowait(message)

    def on_answer(self, message: AnswerMessage) -> None:
        """Give an answer message to its attempt; drop what belongs to none, or came before.

        After a gap the rest of the answer is of no use, so the attempt counts as lost.
        """
        channel = self.channels.get(message.attempt)
        if channel is not None and _leaves_gap(channel, message):
            self.channels.pop(message.attempt)
            channel.finished.set()
        if channel is None or not _in_order(channel, message):
            self.dropped_message_count += 1
            self.log.emit(
                events.ANSWER_DROPPED,
                request_id=message.attempt.request_id,
                endpoint=self.endpoint,
                message=message.kind,
            )
            return
        if channel.on_message(message):
            self.channels.pop(message.attempt, None)
            channel.finished.set()

    def _set_link(self, link: Link[AttemptMessage] | None) -> None:
        """Take a new link into use, or none; attempts of the old one are lost."""
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

    async def _send_quietly(self, message: AttemptMessage) -> None:
        """Send if there is a link."""
        if self.link is not None:
            with suppress(LinkClosed):
                await self.link.send(message)


def _leaves_gap(channel: AttemptChannel, message: AnswerMessage) -> bool:
    """Return whether chunks before this message are missing."""
    match message:
        case AnswerChunk(sequence=sequence):
            return sequence > channel.next_sequence
        case AnswerEnd(chunks=chunks):
            return chunks > channel.next_sequence
        case _:
            return False


def _in_order(channel: AttemptChannel, message: AnswerMessage) -> bool:
    """Return whether a chunk is the next one, and an end comes after all chunks."""
    match message:
        case AnswerChunk(sequence=sequence):
            if sequence != channel.next_sequence:
                return False
            channel.next_sequence += 1
            return True
        case AnswerEnd(chunks=chunks):
            return chunks == channel.next_sequence
        case _:
            return True
