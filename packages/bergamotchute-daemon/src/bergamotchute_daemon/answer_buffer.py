"""The answer to one request, as it comes in and as callers read it."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon._event_splitter import end_of_events
from bergamotchute_model.headers import Headers
from bergamotchute_model.problem import Problem


@dataclass
class AnswerBuffer:
    """Holds an answer from its first byte until it is no longer asked for.

    One task writes; callers read, each from an offset of its own, so that a caller that
    reconnects gets what it has not seen.

    :param status: the HTTP status; 0 until the answer begins.
    :param chunks: the body so far, with the number of events that end in each chunk.
    :param ended: the answer is whole.
    :param problem: why it will never be whole.
    :param read_bytes: how far the foremost reader has come.
    :param readers: callers that read now.
    :param changed: set, and replaced, when the answer grows or ends.
    :param read_on: set, and replaced, when a reader passes :attr:`read_mark`.
    :param readers_changed: set, and replaced, when a caller comes or goes.
    """

    status: int = 0
    headers: Headers = ()
    chunks: list[tuple[bytes, int]] = field(default_factory=list)
    total_bytes: int = 0
    total_events: int = 0
    read_bytes: int = 0
    readers: int = 0
    ended: bool = False
    problem: Problem | None = None
    read_mark: float = float("inf")
    changed: anyio.Event = field(default_factory=anyio.Event)
    read_on: anyio.Event = field(default_factory=anyio.Event)
    readers_changed: anyio.Event = field(default_factory=anyio.Event)

    def begin(self, status: int, headers: Headers) -> None:
        """Set the head; later ones, of resumed attempts, change nothing."""
        if not self.status:
            self.status, self.headers = status, headers
            self._notify()

    def append(self, data: bytes, events: int) -> None:
        """Add the next bytes of the body."""
        self.chunks.append((data, events))
        self.total_bytes += len(data)
        self.total_events += events
        self._notify()

    def end(self) -> None:
        """Mark the answer whole."""
        self.ended = True
        self._notify()

    def fail(self, problem: Problem) -> None:
        """Mark that the answer will never be whole; the first reason counts."""
        if not self.finished:
            self.problem = problem
            self._notify()

    @property
    def finished(self) -> bool:
        """Whether nothing more will come."""
        return self.ended or self.problem is not None

    async def wait_begun(self) -> None:
        """Wait for the head or the problem."""
        while not self.status and not self.finished:
            await self.changed.wait()

    async def wait_finished(self) -> None:
        """Wait for the end or the problem."""
        while not self.finished:
            await self.changed.wait()

    async def wait_read(self, total_bytes: int) -> None:
        """Wait until a reader has come this far."""
        self.read_mark = total_bytes
        while self.read_bytes < total_bytes:
            await self.read_on.wait()

    async def wait_readers(self, present: bool) -> None:
        """Wait until some caller reads, or until none does."""
        while bool(self.readers) is not present:
            await self.readers_changed.wait()

    @contextmanager
    def reading(self) -> Iterator[None]:
        """Count a caller that waits for the answer or reads it."""
        self._count_readers(+1)
        try:
            yield
        finally:
            self._count_readers(-1)

    async def read(self, skip_events: int = 0) -> AsyncIterator[bytes]:
        """Yield the body to its end, or to where it broke off.

        :param skip_events: events that this caller has seen already.
        """
        index, first = self._after_events(skip_events)
        position = sum(len(data) for data, _ in self.chunks[:index])
        while True:
            while index < len(self.chunks):
                data = b"".join(data for data, _ in self.chunks[index:])
                index = len(self.chunks)
                yield data[first:]
                first = 0
                position += len(data)
                self._on_read(position)
            if self.finished:
                return
            await self.changed.wait()

    def _after_events(self, events: int) -> tuple[int, int]:
        """Return the chunk, and the byte in it, that follow the first ``events``."""
        for index, (data, number) in enumerate(self.chunks):
            if events < number or not events:
                return index, end_of_events(data, events)
            events -= number
        return len(self.chunks), 0

    def _on_read(self, position: int) -> None:
        self.read_bytes = max(self.read_bytes, position)
        if self.read_bytes >= self.read_mark:
            self.read_on.set()
            self.read_on = anyio.Event()

    def _count_readers(self, number: int) -> None:
        self.readers += number
        self.readers_changed.set()
        self.readers_changed = anyio.Event()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
