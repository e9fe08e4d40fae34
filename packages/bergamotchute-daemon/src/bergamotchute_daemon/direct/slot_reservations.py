"""An entry's slot reservations with the agents beside endpoints."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from bergamotchute_daemon.backoff import Backoff
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    NodeMessage,
    ReleaseSlot,
    ReserveSlot,
    SlotAnswer,
    SlotState,
)
from bergamotchute_model.versioned_configuration import EnginePerformance
from bergamotchute_wire.link import Dial, DialFailed, Link, LinkClosed
from bergamotchute_wire.outbox import Outbox, open_outbox

AGENT_ANSWER_TIMEOUT_S = 0.05
"""Timeout for an agent's answer: 2 ms for the round trip, and up to 40 ms while it plans a map."""

SILENT_AGENT_PAUSE_S = 1.0
"""Time for which an agent that did not answer is not asked.

Meanwhile requests are sent to its endpoint without a reservation.
"""

MAX_RECONNECT_DELAY_S = 1.0
"""Longest delay between attempts to connect to an agent."""

UNUSED_LINK_TTL_S = 10.0
"""Time after the last request for which a lost link is reopened.

It holds for agents outside the subset of endpoints that this entry uses. A later request for a slot
opens the link again.
"""


@dataclass
class _AgentLink:
    """The link to one agent.

    :param paused_until: when the agent may be asked again, on the runtime's clock.
    :param last_asked_at: when the agent was asked last, on the runtime's clock.
    :param answer_senders: delivers the answers to each request, by its number.
    """

    outbox: Outbox[NodeMessage] | None = None
    paused_until: float = float("-inf")
    last_asked_at: float = float("-inf")
    answer_senders: dict[int, MemoryObjectSendStream[SlotAnswer]] = field(default_factory=dict)


@dataclass(frozen=True)
class Reservation:
    """A slot that is reserved until it is released or the link closes."""

    number: int
    outbox: Outbox[NodeMessage]

    def release(self) -> None:
        """Release the slot."""
        self.outbox.post(ReleaseSlot(self.number))


@dataclass(frozen=True)
class SlotOutcome:
    """The outcome of a request for a slot.

    :param reservation: ``None`` if the agent refused or the wait timed out.
    :param requests: other requests that run at the endpoint or wait for it.
    :param waited_s: how long the request waited for its slot, in seconds.
    :param lacks_memory: whether the request does not fit into the endpoint's memory now.
    """

    reservation: Reservation | None
    requests: int
    waited_s: float = 0.0
    lacks_memory: bool = False


@dataclass(frozen=True)
class SlotRequest:
    """The conditions under which a request wants a slot.

    :param most: the most other requests at the endpoint with which the slot is acceptable.
    :param queue: the request waits for the slot if fewer others wait.
    :param due_at: when it needs the slot to meet its objective, on the runtime's clock.
    :param wait_until: when it stops waiting, on the runtime's clock.
    :param priority: 0 is the most urgent.
    :param most_per_s: the most reservations at the endpoint that may exist in any second; 0 for no
        bound.
    :param tokens: tokens of its prompt and its longest output; 0 if unknown.
    :param engine: the figures of the endpoint's engine; ``None`` for a plain endpoint.
    """

    most: int
    queue: int
    due_at: float
    wait_until: float
    priority: int = 0
    most_per_s: int = 0
    tokens: int = 0
    engine: EnginePerformance | None = None


@dataclass
class SlotReservations:
    """Reserves slots over links to agents.

    The agents of the subset of endpoints that this entry uses are linked as soon as they are known,
    so that the agents also count the first requests after an outage. Other agents are linked when a
    request needs them.

    :param agents: the agent beside each endpoint, by the endpoint's address.
    :param used: the addresses of the endpoints that this entry uses.
    """

    dial: Dial[NodeMessage]
    random: Random
    log: EventLog
    agents: dict[Address, Address] = field(default_factory=dict)
    used: frozenset[Address] = frozenset()
    links: dict[Address, _AgentLink] = field(default_factory=dict)
    asked_count: int = 0
    _tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Maintain the links until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for agent, link in self.links.items():
                tasks.start_soon(self._maintain_link, agent, link)
            await anyio.sleep_forever()

    def set_agent(self, endpoint: Address, agent: Address) -> None:
        """Set the agent beside an endpoint."""
        self.agents[endpoint] = agent
        if endpoint in self.used:
            self._ensure_link(agent)

    def set_used_endpoints(self, endpoints: frozenset[Address]) -> None:
        """Set the endpoints that this entry uses, and link to the agents beside them."""
        self.used = endpoints
        for endpoint in endpoints & self.agents.keys():
            self._ensure_link(self.agents[endpoint])

    async def reserve(self, endpoint: Address, slot_request: SlotRequest) -> SlotOutcome | None:
        """Ask the agent beside an endpoint for a slot, and wait for the slot if necessary.

        :return: ``None`` if no agent answers, or the link is lost during the wait.
        """
        agent = self.agents.get(endpoint)
        if agent is None:
            return None
        link = self._ensure_link(agent)
        outbox = link.outbox
        now = anyio.current_time()
        if outbox is None or link.paused_until > now:
            return None
        self.asked_count += 1
        link.last_asked_at = now
        number = self.asked_count
        sender, receiver = anyio.create_memory_object_stream[SlotAnswer](2)
        link.answer_senders[number] = sender
        engine = slot_request.engine
        outbox.post(
            ReserveSlot(
                number,
                slot_request.most,
                slot_request.queue,
                round(slot_request.due_at - now, 3),
                slot_request.priority,
                round(slot_request.wait_until - now, 3),
                slot_request.most_per_s,
                slot_request.tokens,
                engine.memory_tokens if engine is not None else 0,
                round(engine.usual_prompt + engine.usual_output) if engine is not None else 0,
            )
        )
        reservation: Reservation | None = None
        try:
            answer = await _next_answer(receiver, now + AGENT_ANSWER_TIMEOUT_S)
            if answer is None:
                link.paused_until = now + SILENT_AGENT_PAUSE_S
                self.log.emit(events.AGENT_SILENT, peer=str(agent), waited_s=AGENT_ANSWER_TIMEOUT_S)
                return None
            requests, lacks_memory = answer.requests, answer.lacks_memory
            if answer.state is SlotState.WAITING:
                answer = await _next_answer(receiver, slot_request.wait_until)
                if answer is None and link.outbox is not outbox:
                    return None
            if answer is not None and answer.state is SlotState.RESERVED:
                reservation = Reservation(number, outbox)
        finally:
            link.answer_senders.pop(number, None)
            sender.close()
            receiver.close()
            if reservation is None:
                # The agent may have reserved the slot although its answer was late or the caller
                # has left.
                outbox.post(ReleaseSlot(number))
        return SlotOutcome(reservation, requests, anyio.current_time() - now, lacks_memory)

    def _ensure_link(self, agent: Address) -> _AgentLink:
        """Return the link to an agent, and begin to connect it if it is new."""
        link = self.links.get(agent)
        if link is None:
            link = self.links[agent] = _AgentLink()
            if self._tasks is not None:
                self._tasks.start_soon(self._maintain_link, agent, link)
        return link

    async def _maintain_link(self, agent: Address, link: _AgentLink) -> None:
        """Connect to an agent, and reconnect for as long as the link is needed."""
        backoff = Backoff(self.random, max_s=MAX_RECONNECT_DELAY_S)
        while self._is_needed(agent, link):
            with suppress(DialFailed, LinkClosed):
                async with self.dial(agent) as connection:
                    backoff.reset()
                    await self._receive_answers(link, connection)
            await anyio.sleep(backoff.next_delay())
        del self.links[agent]

    def _is_needed(self, agent: Address, link: _AgentLink) -> bool:
        endpoints = {endpoint for endpoint, each in self.agents.items() if each == agent}
        is_recently_asked = anyio.current_time() - link.last_asked_at < UNUSED_LINK_TTL_S
        return bool(endpoints & self.used) or (bool(endpoints) and is_recently_asked)

    async def _receive_answers(self, link: _AgentLink, connection: Link[NodeMessage]) -> None:
        async with open_outbox(connection) as outbox:
            link.outbox = outbox
            try:
                while True:
                    _deliver_answer(link, await connection.receive())
            finally:
                link.outbox = None
                for sender in link.answer_senders.values():
                    sender.close()


def _deliver_answer(link: _AgentLink, message: NodeMessage) -> None:
    if isinstance(message, SlotAnswer) and message.number in link.answer_senders:
        link.answer_senders[message.number].send_nowait(message)


async def _next_answer(
    answers: MemoryObjectReceiveStream[SlotAnswer], until: float
) -> SlotAnswer | None:
    """Return the next answer; ``None`` on a timeout or if the link is lost.

    :param until: the deadline, on the runtime's clock.
    """
    with anyio.CancelScope(deadline=until), suppress(anyio.EndOfStream):
        return await answers.receive()
    return None
