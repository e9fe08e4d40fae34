"""Fake endpoints in memory: the same fakes as the programs, called without sockets."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream

from bergamotchute_wire.endpoint_client import (
    EndpointAnswer,
    EndpointBroke,
    EndpointRequest,
    EndpointUnreached,
    pass_on,
)
from tools.fakes.engine import FakeEngine
from tools.fakes.journal import ExecutionJournal
from tools.fakes.order_service import FakeOrderService
from tools.proof.history import ExecutionEnded, ExecutionStarted, History
from tools.proof.scenario import RunnerGroup

BUFFERED = 64
EXECUTIONS_EACH = 1_000_000


class HistoryJournal(ExecutionJournal):
    """Writes executions into the history of a run.

    :param base: makes execution numbers unique over endpoints.
    """

    def __init__(self, endpoint: str, history: History, base: int) -> None:
        super().__init__(endpoint, None)
        self.history = history
        self.base = base
        self.running: set[int] = set()
        self.dead = False

    def write(self, event: str, request_id: str, attempt: str, **fields: Any) -> None:
        """Add one start or end, unless the endpoint died."""
        if self.dead:
            return
        execution = self.base + int(fields["execution"])
        at_s = anyio.current_time()
        if event == "start":
            self.running.add(execution)
            call = str(fields["call"])
            self.history.add(ExecutionStarted(at_s, self.endpoint, execution, call))
            return
        self.running.discard(execution)
        completed = fields["outcome"] == "completed"
        self.history.add(ExecutionEnded(at_s, self.endpoint, execution, completed))

    def die(self) -> None:
        """End all that runs as crashed."""
        self.dead = True
        for execution in sorted(self.running):
            end = ExecutionEnded(anyio.current_time(), self.endpoint, execution, False, True)
            self.history.add(end)


class MemoryEndpoint:
    """One fake endpoint.

    :param tasks: where its executions run; cancelling them is the endpoint's death.
    :param alive: whether it can be reached.
    """

    def __init__(
        self, name: str, group: RunnerGroup, history: History, tasks: TaskGroup, base: int
    ) -> None:
        self.name = name
        self.tasks = tasks
        self.alive = True
        self.journal = HistoryJournal(name, history, base)
        self.app: FakeEngine | FakeOrderService
        if group.plain:
            self.app = FakeOrderService(name, group.work_s, self.journal)
        else:
            self.app = FakeEngine(group.slots, group.speed, self.journal)

    def stall(self, for_s: float) -> None:
        """Let no token come for a while."""
        if isinstance(self.app, FakeEngine):
            self.app.stalled_until_s = anyio.current_time() + for_s

    def die(self) -> None:
        """End at once, with all that runs."""
        self.alive = False
        self.journal.die()
        self.tasks.cancel_scope.cancel()

    @asynccontextmanager
    async def call(self, request: EndpointRequest) -> AsyncIterator[EndpointAnswer]:
        """Call the endpoint; leaving early is the caller's disconnect.

        :raises EndpointUnreached: when it is dead.
        :raises EndpointBroke: when it dies before it answers.
        """
        if not self.alive:
            raise EndpointUnreached("connection refused")
        left = anyio.Event()
        sender, receiver = anyio.create_memory_object_stream[dict[str, Any]](BUFFERED)

        async def run() -> None:
            async with sender:
                await self.app(_scope(request), _receive(request, left), sender.send)

        self.tasks.start_soon(_quietly, run)
        try:
            async with receiver:
                head = await _next(receiver)
                headers = pass_on(tuple((k.decode(), v.decode()) for k, v in head["headers"]))
                yield EndpointAnswer(head["status"], headers, _chunks(receiver))
        finally:
            left.set()


async def _quietly(run: Any) -> None:
    try:
        await run()
    except anyio.BrokenResourceError:
        return


async def _next(receiver: MemoryObjectReceiveStream[dict[str, Any]]) -> dict[str, Any]:
    try:
        return await receiver.receive()
    except anyio.EndOfStream as error:
        raise EndpointBroke("connection closed") from error


async def _chunks(receiver: MemoryObjectReceiveStream[dict[str, Any]]) -> AsyncIterator[bytes]:
    more = True
    while more:
        message = await _next(receiver)
        more = message.get("more_body", False)
        if message["body"]:
            yield message["body"]


def _scope(request: EndpointRequest) -> dict[str, Any]:
    path, _, query = request.path.partition("?")
    headers = [(name.encode(), value.encode()) for name, value in request.headers]
    return {
        "type": "http",
        "method": request.method,
        "path": path,
        "query_string": query.encode(),
        "headers": headers,
    }


def _receive(request: EndpointRequest, left: anyio.Event) -> Any:
    messages = [{"type": "http.request", "body": request.body, "more_body": False}]

    async def receive() -> dict[str, Any]:
        if messages:
            return messages.pop()
        await left.wait()
        return {"type": "http.disconnect"}

    return receive
