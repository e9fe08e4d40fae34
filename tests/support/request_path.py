"""An entry's request path and agents with scripted endpoints, connected by in-memory links."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

import anyio
import trio
import trio.testing
from anyio.abc import TaskGroup

from bergamotchute_daemon.agent import Agent
from bergamotchute_daemon.attempt_table import AttemptTable
from bergamotchute_daemon.claim_client import ClaimClient
from bergamotchute_daemon.claimed_runner import ClaimedRunner
from bergamotchute_daemon.control_client import ControlUnavailable
from bergamotchute_daemon.endpoint_directory import EndpointDirectory
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.exchange import CallerRequest, Exchange
from bergamotchute_daemon.request_runner import RequestRunner
from bergamotchute_daemon.scheduling_controller import SchedulingController
from bergamotchute_daemon.watched_endpoint_selector import WatchedEndpointSelector
from bergamotchute_model.commands import Command, CommandResult
from bergamotchute_model.control_messages import MembershipDelta
from bergamotchute_model.hello import Hello
from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import EndpointAnnouncement, ProcessRole
from bergamotchute_policy.retry import RetryBudget
from bergamotchute_policy.work import RequestSize, Work
from bergamotchute_state.control_state import ControlState
from bergamotchute_wire.endpoint_client import (
    EndpointCallInterrupted,
    EndpointRequest,
    EndpointResponse,
    EndpointUnreachable,
)
from support.memory_links import MemoryNetwork

SSE_HEADERS = (("content-type", "text/event-stream"),)
JSON_HEADERS = (("content-type", "application/json"),)
TOKEN_INTERVAL_S = 0.02


def create_log(name: str) -> EventLog:
    """Return an event log that writes nothing and only keeps its events."""
    return EventLog(name, "test", "1", lambda: round(anyio.current_time() * 1e6))


def token_event(text: str) -> bytes:
    """Return one event of a completion stream."""
    return b"data: " + json.dumps({"choices": [{"delta": {"content": text}}]}).encode() + b"\n\n"


@dataclass
class ScriptedEndpoint:
    """An endpoint that streams words or runs orders, with configurable failures.

    :param tokens: the number of words in each stream.
    :param break_after: break the connection of one stream after this many words; -1 for never.
    :param stall_after: stall one stream after this many words; -1 for never.
    :param order_duration_s: the duration of an order, in seconds.
    :param padding_count: the number of blanks after each word.
    :param unreachable: refuse all connections.
    :param executions: request ids, in the order of their start.
    :param finished: request ids that ran to their end.
    :param failing_order_count: the number of orders whose connection still breaks before an answer.
    """

    tokens: int = 20
    break_after: int = -1
    stall_after: int = -1
    order_duration_s: float = 0.05
    padding_count: int = 0
    unreachable: bool = False
    executions: list[str] = field(default_factory=list)
    finished: list[str] = field(default_factory=list)
    failing_order_count: int = 0

    @asynccontextmanager
    async def call(self, request: EndpointRequest) -> AsyncIterator[EndpointResponse]:
        """Serve one request."""
        if self.unreachable:
            raise EndpointUnreachable("refused")
        request_id = dict(request.headers)["x-request-id"]
        self.executions.append(request_id)
        if request.path.startswith("/orders"):
            await anyio.sleep(self.order_duration_s)
            if self.failing_order_count:
                self.failing_order_count -= 1
                raise EndpointCallInterrupted("closed")
            self.finished.append(request_id)
            number = len(self.executions)
            yield EndpointResponse(201, JSON_HEADERS, self._single_chunk(b'{"order": %d}' % number))
            return
        yield EndpointResponse(200, SSE_HEADERS, self._stream(request, request_id))

    async def _single_chunk(self, body: bytes) -> AsyncIterator[bytes]:
        yield body

    async def _stream(self, request: EndpointRequest, request_id: str) -> AsyncIterator[bytes]:
        offset = json.loads(request.body or b"{}").get("resume", {}).get("offset", 0)
        for number in range(offset, self.tokens):
            if number == self.break_after:
                self.break_after = -1
                raise EndpointCallInterrupted("closed")
            if number == self.stall_after:
                self.stall_after = -1
                await anyio.sleep_forever()
            await anyio.sleep(TOKEN_INTERVAL_S)
            yield token_event(f"w{number} " + " " * self.padding_count)
        yield b"data: [DONE]\n\n"
        self.finished.append(request_id)


@dataclass
class RequestPath:
    """One entry and its agents.

    :param is_control_cut_off: whether proposals fail because the control group is unreachable.
    :param proposals: the commands applied for this entry.
    """

    tasks: TaskGroup
    network: MemoryNetwork
    state: ControlState
    name: str = "entry-1"
    endpoints: dict[str, ScriptedEndpoint] = field(default_factory=dict)
    agents: dict[str, Agent] = field(default_factory=dict)
    is_control_cut_off: bool = False
    lose_answers: int = 0
    proposals: list[Command] = field(default_factory=list)

    def __post_init__(self) -> None:
        random = Random(7)
        self.log = create_log(self.name)
        self.scheduling = SchedulingController("milano-a", random)
        dial = self.network.dial(self.name, "/attempts")
        hello = Hello(self.name, ProcessRole.ENTRY, "e1")
        self.directory = EndpointDirectory(
            scheduling_controller=self.scheduling,
            dial=dial,
            hello=hello,
            log=self.log,
            random=random,
            tasks=self.tasks,
            endpoint_selector=WatchedEndpointSelector(self.scheduling.busy_slot_ratio),
        )
        budget = RetryBudget()
        self.request_runner = RequestRunner(
            self.scheduling,
            self.directory.find_connector,
            f"{self.name}-e1",
            self.log,
            random,
            budget,
        )
        claim_client = ClaimClient(self.propose, self.directory.query_attempt_state, self.log)
        self.claimed_runner = ClaimedRunner(
            self.scheduling, self.request_runner, claim_client, self.tasks.start_soon, self.log
        )
        self.tasks.start_soon(self.scheduling.run)
        self.tasks.start_soon(self.directory.run_maintenance)

    async def propose(self, command: Command, bound_s: float) -> CommandResult:
        """Apply a command, unless the control group is cut off."""
        await anyio.sleep(0.002)
        if self.is_control_cut_off:
            await anyio.sleep(bound_s)
            raise ControlUnavailable(command.kind)
        self.proposals.append(command)
        return self.state.apply(command, self.state.revision + 1)

    async def add_agent(
        self, name: str, endpoint: ScriptedEndpoint, incarnation: str = "1", slots: int = 4
    ) -> Agent:
        """Start an agent and announce it to the entry."""
        self.endpoints[name] = endpoint
        agent = Agent(
            AttemptTable(name, incarnation), endpoint.call, slots, create_log(name), self.tasks
        )
        self.agents[name] = agent
        address = Address("10.0.0.1", 1000 + len(self.agents))
        self.network.serve(name, address, "/attempts", agent.serve_link)
        self.announce(name, incarnation, address, slots)
        self.tasks.start_soon(agent.run_load_reports)
        self.tasks.start_soon(agent.run_silence_checks)
        await anyio.sleep(0.1)
        return agent

    def announce(self, name: str, incarnation: str, address: Address, slots: int) -> None:
        """Announce an agent to the entry."""
        services = ("drafting", "orders")
        announcement = EndpointAnnouncement(
            name, incarnation, 1, name, "milano-a", address, services, slots
        )
        self.directory.on_membership(MembershipDelta(endpoints=(announcement,)))

    def draft(self, request_id: str, deadline_s: float = 30.0) -> Exchange:
        """Return the exchange of an idempotent streamed request."""
        return self._exchange(request_id, "", deadline_s, b"{}")

    def order(
        self, request_id: str, key: str, body: bytes = b"{}", deadline_s: float = 30.0
    ) -> Exchange:
        """Return the exchange of a non-idempotent request."""
        return self._exchange(request_id, key, deadline_s, body)

    def _exchange(self, request_id: str, key: str, remaining_s: float, body: bytes) -> Exchange:
        service, path = ("orders", "/orders") if key else ("drafting", "/v1/chat/completions")
        deadline = anyio.current_time() + remaining_s
        request = CallerRequest(
            request_id=request_id,
            service=service,
            team="parish",
            method="POST",
            path=path,
            headers=JSON_HEADERS,
            body=body,
            stream=not key,
            idempotent=not key,
            idempotency_key=key,
            deadline=deadline,
            priority=0,
        )
        work = Work(
            request_id, service, "parish", 20, RequestSize.SHORT, deadline, idempotent=not key
        )
        return Exchange(request, work)


def run_request_path(body: Callable[[RequestPath], Awaitable[None]]) -> None:
    """Run a test body with one request path under a mock clock that skips idle time."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            path = RequestPath(tasks, MemoryNetwork(tasks), ControlState())
            await body(path)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def words(exchange: Exchange) -> list[str]:
    """Return the words of a streamed answer."""
    body = b"".join(data for data, _ in exchange.answer.chunks)
    lines = [line[6:] for line in body.split(b"\n") if line.startswith(b"data: {")]
    return [json.loads(line)["choices"][0]["delta"]["content"].strip() for line in lines]
