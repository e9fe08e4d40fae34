"""Buffer the answer to one request between the attempts and its callers."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon._event_splitter import find_events_end
from bergamotchute_model.headers import Headers
from bergamotchute_model.problem import Problem


@dataclass
class AnswerBuffer:
    """Holds an answer from its first byte until callers no longer need it.

    One task writes. Each caller reads from its own offset, so that a caller that reconnects gets
    the part that it has not received.

    :param status: the HTTP status; 0 until the answer begins.
    :param chunks: the body so far, with the number of events that end in each chunk.
    :param ended: whether the answer is complete.
    :param problem: why the answer will never be complete.
    :param read_bytes: the offset of the foremost reader.
    :param reader_count: callers that currently read or wait for the answer.
    :param awaited_read_bytes: the reader offset that :meth:`wait_for_read` waits for.
    :param changed: set, and replaced, when the answer grows or ends.
    :param awaited_read_done: set, and replaced, when a reader reaches :attr:`awaited_read_bytes`.
    :param readers_changed: set, and replaced, when a caller starts or stops reading.
    """

    status: int = 0
    headers: Headers = ()
    chunks: list[tuple[bytes, int]] = field(default_factory=list)
    total_bytes: int = 0
    total_events: int = 0
    read_bytes: int = 0
    reader_count: int = 0
    ended: bool = False
    problem: Problem | None = None
    awaited_read_bytes: float = float("inf")
    changed: anyio.Event = field(default_factory=anyio.Event)
    awaited_read_done: anyio.Event = field(default_factory=anyio.Event)
    readers_changed: anyio.Event = field(default_factory=anyio.Event)

    def begin(self, status: int, headers: Headers) -> None:
        """Set the head; the heads of resumed attempts are ignored."""
        if not self.status:
            self.status, self.headers = status, headers
            self._notify()

    def append(self, data: bytes, events: int) -> None:
        """Append a chunk to the body."""
        self.chunks.append((data, events))
        self.total_bytes += len(data)
        self.total_events += events
        self._notify()

    def end(self) -> None:
        """Mark the answer complete."""
        self.ended = True
        self._notify()

    def fail(self, problem: Problem) -> None:
        """Mark that the answer will never be complete; later problems are ignored."""
        if not self.finished:
            self.problem = problem
            self._notify()

    @property
    def finished(self) -> bool:
        """Whether the answer is complete or has failed."""
        return self.ended or self.problem is not None

    async def wait_for_head(self) -> None:
        """Wait for the head or the problem."""
        while not self.status and not self.finished:
            await self.changed.wait()

    async def wait_for_end(self) -> None:
        """Wait for the end or the problem."""
        while not self.finished:
            await self.changed.wait()

    async def wait_for_read(self, total_bytes: int) -> None:
        """Wait until a reader has read this many bytes."""
        self.awaited_read_bytes = total_bytes
        while self.read_bytes < total_bytes:
            await self.awaited_read_done.wait()

    async def wait_for_readers(self, present: bool) -> None:
        """Wait until there is a reader, or until there is none."""
        while bool(self.reader_count) is not present:
            await self.readers_changed.wait()

    @contextmanager
    def register_reader(self) -> Iterator[None]:
        """Register a caller that waits for the answer or reads it, until the context ends."""
        self._change_reader_count(+1)
        try:
            yield
        finally:
            self._change_reader_count(-1)

    async def read(self, skip_events: int = 0) -> AsyncIterator[bytes]:
        """Yield the body up to its end, or up to the point where the answer failed.

        :param skip_events: events that this caller has already received.
        """
        index, start = self._locate_after_events(skip_events)
        position = sum(len(data) for data, _ in self.chunks[:index])
        while True:
            while index < len(self.chunks):
                data = b"".join(data for data, _ in self.chunks[index:])
                index = len(self.chunks)
                yield data[start:]
                start = 0
                position += len(data)
                self._record_read(position)
            if self.finished:
                return
            await self.changed.wait()

    def _locate_after_events(self, events: int) -> tuple[int, int]:
        """Return the index of the chunk, and the byte offset in it, after the first ``events``."""
        for index, (data, number) in enumerate(self.chunks):
            if events < number or not events:
                return index, find_events_end(data, events)
            events -= number
        return len(self.chunks), 0

    def _record_read(self, position: int) -> None:
        self.read_bytes = max(self.read_bytes, position)
        if self.read_bytes >= self.awaited_read_bytes:
            self.awaited_read_done.set()
            self.awaited_read_done = anyio.Event()

    def _change_reader_count(self, number: int) -> None:
        self.reader_count += number
        self.readers_changed.set()
        self.readers_changed = anyio.Event()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
