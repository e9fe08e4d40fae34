"""Fake endpoints in memory: the same fakes as the programs, called without sockets."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
from anyio.abc import TaskGroup

from bergamotchute_wire.endpoint_client import (
    EndpointCallInterrupted,
    EndpointRequest,
    EndpointResponse,
    EndpointUnreachable,
    forwardable_headers,
)
from tools.fakes.engine import FakeEngine
from tools.fakes.journal import ExecutionJournal
from tools.fakes.order_service import FakeOrderService
from tools.proof.asgi_client import AsgiAnswer, AsgiRequest, ConnectionBroke, open_call
from tools.proof.history import ExecutionEnded, ExecutionStarted, History
from tools.proof.scenario import RunnerGroup

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
    async def call(self, request: EndpointRequest) -> AsyncIterator[EndpointResponse]:
        """Call the endpoint; leaving early is the caller's disconnect.

        :raises EndpointUnreachable: when it is dead.
        :raises EndpointCallInterrupted: when it dies before it answers.
        """
        if not self.alive:
            raise EndpointUnreachable("connection refused")
        outgoing = AsgiRequest(request.method, request.path, request.headers, request.body)
        try:
            async with open_call(self.app, outgoing, self.tasks) as answer:
                headers = forwardable_headers(answer.headers)
                yield EndpointResponse(answer.status, headers, _chunks(answer))
        except ConnectionBroke as error:
            raise EndpointCallInterrupted("connection closed") from error


async def _chunks(answer: AsgiAnswer) -> AsyncIterator[bytes]:
    try:
        async for data in answer.chunks:
            yield data
    except ConnectionBroke as error:
        raise EndpointCallInterrupted("connection closed") from error
