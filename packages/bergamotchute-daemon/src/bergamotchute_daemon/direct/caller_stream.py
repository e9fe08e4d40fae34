"""Writes streams to callers, and keeps what slow callers have not read yet within one budget.

The endpoint of a slow caller is read on: endpoints cut off a response that stays unread for some
seconds, and its slot is free as soon as the stream is complete here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_wire.byte_budget import ByteBudget, ByteClaim
from bergamotchute_wire.http1_server import CallerDisconnected, ResponseWriter

MAX_UNREAD_BYTES = 16_777_216
"""Bytes of all streams together that callers have not read: a twelfth of the smallest entry VM."""

MAX_DIRECT_BYTES = 1_024
"""Most bytes that are written without a task of their own to a connection that is writable.

Linux calls a connection writable while a third of its send buffer is free, several kilobytes.
"""


@dataclass(eq=False)
class CallerStream:
    """The stream to one caller.

    :param tasks: runs the task that writes what waits; its end ends the request.
    :param chunks: what waits to be written; the first one is being written.
    :param waits_since: since when the first one has been waiting, on the runtime's clock.
    :param failure: why no more can be written.
    """

    request_id: str
    writer: ResponseWriter
    unread: UnreadStreams
    tasks: TaskGroup
    claim: ByteClaim
    chunks: deque[bytes] = field(default_factory=deque)
    waits_since: float = 0.0
    is_writing: bool = False
    failure: Exception | None = None
    written: anyio.Event = field(default_factory=anyio.Event)

    async def write(self, data: bytes) -> None:
        """Write complete events now, or keep them until the caller has read earlier ones.

        :raises CallerDisconnected: if the caller has left.
        """
        if not self.is_writing and len(data) <= MAX_DIRECT_BYTES and self.writer.is_writable():
            await self.writer.write_chunk(data)
            return
        if self.failure is not None or not self.unread.make_room(self, len(data)):
            return
        self.chunks.append(data)
        if not self.is_writing:
            self.is_writing = True
            self.unread.behind.add(self)
            self.waits_since = anyio.current_time()
            self.tasks.start_soon(self._write_chunks)

    async def _write_chunks(self) -> None:
        try:
            while self.chunks:
                await self.writer.write_chunk(self.chunks[0])
                if self.chunks:
                    self.claim.shrink(len(self.chunks.popleft()))
                self.waits_since = anyio.current_time()
        except CallerDisconnected as error:
            self.end(error)
        finally:
            self.is_writing = False
            self.unread.behind.discard(self)
            self.written.set()
            self.written = anyio.Event()

    def waiting_since_or_now(self) -> float:
        """Return since when the caller has not taken anything; now if nothing waits for it."""
        return self.waits_since if self.is_writing else anyio.current_time()

    async def drain(self) -> None:
        """Wait until all is written."""
        while self.is_writing:
            await self.written.wait()

    def end(self, failure: Exception) -> None:
        """Drop what waits, and end the request."""
        self.failure = failure
        self.chunks.clear()
        self.claim.shrink(self.claim.size)
        self.unread.behind.discard(self)
        self.tasks.cancel_scope.cancel()


@dataclass
class UnreadStreams:
    """Limits the bytes that wait for slow callers; the slowest ones are cut off first.

    :param behind: the streams of which something waits.
    :param cut_count: streams that were cut off since the start.
    """

    log: EventLog
    budget: ByteBudget = field(default_factory=lambda: ByteBudget(MAX_UNREAD_BYTES))
    behind: set[CallerStream] = field(default_factory=set)
    cut_count: int = 0

    async def run(
        self,
        request_id: str,
        writer: ResponseWriter,
        forward: Callable[[CallerStream], Awaitable[None]],
    ) -> None:
        """Forward a stream.

        :raises CallerDisconnected: if the caller has left, or was cut off.
        """
        failure: Exception | None = None
        with self.budget.open_claim() as claim:
            async with anyio.create_task_group() as tasks:
                stream = CallerStream(request_id, writer, self, tasks, claim)
                try:
                    await forward(stream)
                except Exception as error:
                    # Raised below, as the task group would put it into an exception group.
                    failure = error
                tasks.cancel_scope.cancel()
        failure = stream.failure or failure
        if failure is not None:
            raise failure

    def make_room(self, stream: CallerStream, size: int) -> bool:
        """Claim bytes for a stream; return whether it may keep them, or was cut off itself.

        A stream whose caller reads is not the slowest, unless no other one is behind.
        """
        while not stream.claim.try_grow(size):
            slowest = min(self.behind | {stream}, key=lambda each: each.waiting_since_or_now())
            self._cut_off(slowest)
            if slowest is stream:
                return False
        return True

    def _cut_off(self, stream: CallerStream) -> None:
        self.cut_count += 1
        self.log.emit(
            events.CALLER_TOO_SLOW,
            request_id=stream.request_id,
            unread_bytes=stream.claim.size,
            waited_ms=round(1000 * (anyio.current_time() - stream.waiting_since_or_now())),
        )
        stream.end(CallerDisconnected("the caller reads too slowly"))

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return {
            "unread_bytes": float(self.budget.held),
            "slow_callers": float(len(self.behind)),
            "slow_callers_cut_total": float(self.cut_count),
        }
