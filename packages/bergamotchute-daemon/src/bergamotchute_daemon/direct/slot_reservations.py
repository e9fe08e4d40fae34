"""An entry's reservations of slots with the agents beside endpoints."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

import anyio
from anyio.abc import TaskGroup

from bergamotchute_daemon.backoff import Backoff
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import NodeMessage, ReleaseSlot, ReserveSlot, SlotAnswer
from bergamotchute_wire.link import Dial, DialFailed, Link, LinkClosed
from bergamotchute_wire.outbox import Outbox

ANSWER_WAIT_S = 0.05
"""Wait for an agent's answer: a round trip of 2 ms, and up to 40 ms while it plans a map."""

SILENT_S = 1.0
"""How long an agent that gave no answer is not asked; requests go on without a reservation."""

RECONNECT_MAX_S = 1.0
"""Longest wait between tries to reach an agent."""


@dataclass
class _AgentLink:
    """The link to one agent.

    :param silent_until: it is not asked until then, on the runtime's clock.
    """

    outbox: Outbox[NodeMessage] | None = None
    silent_until: float = float("-inf")
    waiting: dict[int, tuple[anyio.Event, list[SlotAnswer]]] = field(default_factory=dict)


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
    """What an agent said.

    :param reservation: ``None`` where it refused.
    :param requests: requests at the endpoint besides the one that asks.
    """

    reservation: Reservation | None
    requests: int


@dataclass
class SlotReservations:
    """Asks agents for slots, over one link to each that was needed so far.

    :param agents: the agent beside the endpoint at an address.
    """

    dial: Dial[NodeMessage]
    random: Random
    log: EventLog
    agents: dict[Address, Address] = field(default_factory=dict)
    links: dict[Address, _AgentLink] = field(default_factory=dict)
    asked: int = 0
    _tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Keep the links until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def reserve(self, endpoint: Address, most: int | None) -> SlotTold | None:
        """Ask for a slot; ``None`` where no agent answers.

        :param most: requests at the endpoint with which the slot is still wanted.
        """
        agent = self.agents.get(endpoint)
        if agent is None:
            return None
        link = self._link(agent)
        now = anyio.current_time()
        if link.outbox is None or link.silent_until > now:
            return None
        outbox = link.outbox
        self.asked += 1
        number = self.asked
        answered, answers = anyio.Event(), list[SlotAnswer]()
        link.waiting[number] = (answered, answers)
        outbox.post(ReserveSlot(number, most))
        is_answered = False
        try:
            with anyio.move_on_after(ANSWER_WAIT_S):
                await answered.wait()
                is_answered = True
        finally:
            link.waiting.pop(number, None)
            if not is_answered:
                # The slot may be reserved: the answer is late, or the caller has left.
                outbox.post(ReleaseSlot(number))
        if not is_answered:
            link.silent_until = now + SILENT_S
            self.log.emit(events.AGENT_SILENT, peer=str(agent), waited_s=ANSWER_WAIT_S)
            return None
        reservation = Reservation(number, outbox) if answers[0].reserved else None
        return SlotTold(reservation, answers[0].requests)

    def _link(self, agent: Address) -> _AgentLink:
        link = self.links.get(agent)
        if link is None:
            link = self.links[agent] = _AgentLink()
            if self._tasks is not None:
                self._tasks.start_soon(self._keep, agent, link)
        return link

    async def _keep(self, agent: Address, link: _AgentLink) -> None:
        """Keep the link to an agent as long as an endpoint stands beside it."""
        backoff = Backoff(self.random, max_s=RECONNECT_MAX_S)
        while agent in self.agents.values():
            with suppress(DialFailed, LinkClosed):
                async with self.dial(agent) as opened:
                    backoff.reset()
                    await self._serve(link, opened)
            await anyio.sleep(backoff.next_delay())
        del self.links[agent]

    async def _serve(self, link: _AgentLink, opened: Link[NodeMessage]) -> None:
        outbox = link.outbox = Outbox(opened)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(outbox.run)
                with suppress(LinkClosed):
                    while True:
                        _take(link, await opened.receive())
                tasks.cancel_scope.cancel()
        finally:
            link.outbox = None


def _take(link: _AgentLink, message: NodeMessage) -> None:
    if isinstance(message, SlotAnswer) and message.number in link.waiting:
        answered, answers = link.waiting.pop(message.number)
        answers.append(message)
        answered.set()
