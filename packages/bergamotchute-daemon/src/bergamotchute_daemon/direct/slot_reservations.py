"""An entry's reservations of slots with the agents beside endpoints."""

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
    EnginePace,
    NodeMessage,
    ReleaseSlot,
    ReserveSlot,
    SlotAnswer,
    SlotState,
)
from bergamotchute_wire.link import Dial, DialFailed, Link, LinkClosed
from bergamotchute_wire.outbox import Outbox, open_outbox

ANSWER_WAIT_S = 0.05
"""Wait for an agent's answer: a round trip of 2 ms, and up to 40 ms while it plans a map."""

SILENT_S = 1.0
"""How long an agent that gave no answer is not asked; requests go on without a reservation."""

RECONNECT_MAX_S = 1.0
"""Longest wait between tries to reach an agent."""

UNUSED_S = 10.0
"""How long after its last question a lost link to an agent outside of this entry's part is opened
again; a request that needs it later opens it too."""


@dataclass
class _AgentLink:
    """The link to one agent.

    :param silent_until: it is not asked until then, on the runtime's clock.
    :param asked_at: when it was asked last.
    :param told: what it was told of the engines.
    :param answers: where the answers to each question go.
    """

    outbox: Outbox[NodeMessage] | None = None
    silent_until: float = float("-inf")
    asked_at: float = float("-inf")
    told: EnginePace | None = None
    answers: dict[int, MemoryObjectSendStream[SlotAnswer]] = field(default_factory=dict)


@dataclass(frozen=True)
class Reservation:
    """A slot that is reserved until it is released or the link closes."""

    number: int
    outbox: Outbox[NodeMessage]

    def release(self) -> None:
        """Give the slot back."""
        self.outbox.post(ReleaseSlot(self.number))


@dataclass(frozen=True)
class SlotTold:
    """What an agent said in the end.

    :param reservation: ``None`` where it refused or the wait took too long.
    :param requests: other requests that are at the endpoint or wait for it.
    :param waited_s: how long the request waited for its slot.
    """

    reservation: Reservation | None
    requests: int
    waited_s: float = 0.0


@dataclass(frozen=True)
class SlotQuestion:
    """What a request wants of an agent.

    :param most: other requests at the endpoint with which the slot is wanted.
    :param queue: it waits for the slot if fewer others do.
    :param due_at: when it must have its slot to be in time, on the runtime's clock.
    :param wait_until: when it stops waiting.
    :param priority: 0 is the most urgent.
    :param pace: how the engine of the endpoint works; ``None`` where that is not known.
    """

    most: int
    queue: int
    due_at: float
    wait_until: float
    priority: int = 0
    pace: EnginePace | None = None


@dataclass
class SlotReservations:
    """Asks agents for slots, over links to those of this entry's part and to others as needed.

    The part is linked as soon as it is known, so that the first requests after an outage are counted.

    :param agents: the agent beside the endpoint at an address.
    :param used: the endpoints of this entry's part.
    """

    dial: Dial[NodeMessage]
    random: Random
    log: EventLog
    agents: dict[Address, Address] = field(default_factory=dict)
    used: frozenset[Address] = frozenset()
    links: dict[Address, _AgentLink] = field(default_factory=dict)
    asked: int = 0
    _tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Keep the links until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for agent, link in self.links.items():
                tasks.start_soon(self._keep, agent, link)
            await anyio.sleep_forever()

    def on_agent(self, endpoint: Address, agent: Address) -> None:
        """Note the agent beside an endpoint."""
        self.agents[endpoint] = agent
        if endpoint in self.used:
            self._link(agent)

    def use(self, endpoints: frozenset[Address]) -> None:
        """Link to the agents beside these endpoints."""
        self.used = endpoints
        for endpoint in endpoints & self.agents.keys():
            self._link(self.agents[endpoint])

    async def reserve(self, endpoint: Address, question: SlotQuestion) -> SlotTold | None:
        """Ask for a slot, and wait for it if need be.

        :returns: ``None`` where no agent answers, or it is lost during the wait.
        """
        agent = self.agents.get(endpoint)
        if agent is None:
            return None
        link = self._link(agent)
        outbox = link.outbox
        now = anyio.current_time()
        if outbox is None or link.silent_until > now:
            return None
        self.asked += 1
        link.asked_at = now
        number = self.asked
        sender, receiver = anyio.create_memory_object_stream[SlotAnswer](2)
        link.answers[number] = sender
        if question.pace is not None and question.pace != link.told:
            link.told = question.pace
            outbox.post(question.pace)
        outbox.post(
            ReserveSlot(
                number,
                question.most,
                question.queue,
                round(question.due_at - now, 3),
                question.priority,
                round(question.wait_until - now, 3),
            )
        )
        reservation: Reservation | None = None
        try:
            answer = await _next_answer(receiver, now + ANSWER_WAIT_S)
            if answer is None:
                link.silent_until = now + SILENT_S
                self.log.emit(events.AGENT_SILENT, peer=str(agent), waited_s=ANSWER_WAIT_S)
                return None
            requests = answer.requests
            if answer.state is SlotState.WAITING:
                answer = await _next_answer(receiver, question.wait_until)
                if answer is None and link.outbox is not outbox:
                    return None
            if answer is not None and answer.state is SlotState.RESERVED:
                reservation = Reservation(number, outbox)
        finally:
            link.answers.pop(number, None)
            sender.close()
            receiver.close()
            if reservation is None:
                # The slot may be reserved: its answer is late, or the caller has left.
                outbox.post(ReleaseSlot(number))
        return SlotTold(reservation, requests, anyio.current_time() - now)

    def _link(self, agent: Address) -> _AgentLink:
        link = self.links.get(agent)
        if link is None:
            link = self.links[agent] = _AgentLink()
            if self._tasks is not None:
                self._tasks.start_soon(self._keep, agent, link)
        return link

    async def _keep(self, agent: Address, link: _AgentLink) -> None:
        """Keep the link to an agent as long as it may be asked."""
        backoff = Backoff(self.random, max_s=RECONNECT_MAX_S)
        while self._is_wanted(agent, link):
            with suppress(DialFailed, LinkClosed):
                async with self.dial(agent) as opened:
                    backoff.reset()
                    await self._serve(link, opened)
            await anyio.sleep(backoff.next_delay())
        del self.links[agent]

    def _is_wanted(self, agent: Address, link: _AgentLink) -> bool:
        beside = {endpoint for endpoint, each in self.agents.items() if each == agent}
        recently = anyio.current_time() - link.asked_at < UNUSED_S
        return bool(beside & self.used) or (bool(beside) and recently)

    async def _serve(self, link: _AgentLink, opened: Link[NodeMessage]) -> None:
        async with open_outbox(opened) as outbox:
            link.outbox = outbox
            link.told = None
            try:
                while True:
                    _take(link, await opened.receive())
            finally:
                link.outbox = None
                for sender in link.answers.values():
                    sender.close()


def _take(link: _AgentLink, message: NodeMessage) -> None:
    if isinstance(message, SlotAnswer) and message.number in link.answers:
        link.answers[message.number].send_nowait(message)


async def _next_answer(
    answers: MemoryObjectReceiveStream[SlotAnswer], until: float
) -> SlotAnswer | None:
    """Return the next answer; ``None`` when it takes too long or the link is gone."""
    with anyio.CancelScope(deadline=until), suppress(anyio.EndOfStream):
        return await answers.receive()
    return None
