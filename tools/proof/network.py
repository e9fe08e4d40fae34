"""An in-memory network of links under the runtime's clock, with the faults of a real one.

A link keeps its messages in order. What a TCP network loses, it loses with the connection: a
dropped message closes its link. A partition holds messages back until it ends or until the link
has heard nothing for :data:`MUTE_S`; a mute connection stays silent for good while new ones work.
"""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from bergamotchute_model.identifiers import Address
from bergamotchute_wire.link import DialFailed, LinkClosed

HEARTBEAT_S = 1.0
MUTE_S = 3.5
HANDSHAKE_S = 3.0
FOREVER_S = float("inf")

Handler = Callable[[Any], Awaitable[None]]


@dataclass(frozen=True)
class Disturbance:
    """Something wrong with the network around one process.

    :param kind: ``partition``, ``delay``, ``drop``, ``duplicate`` or ``reorder``.
    :param direction: ``inward``, ``outward``, or empty for both.
    :param until_s: when it ends, on the runtime clock.
    :param by_s: how much a delay adds.
    :param peer: only towards this process; empty for all.
    """

    kind: str
    process: str
    until_s: float
    direction: str = ""
    by_s: float = 0.0
    peer: str = ""

    def touches(self, sender: str, receiver: str) -> bool:
        """Return whether messages from ``sender`` to ``receiver`` are disturbed."""
        outward = sender == self.process and self.peer in ("", receiver)
        inward = receiver == self.process and self.peer in ("", sender)
        return (outward and self.direction != "inward") or (inward and self.direction != "outward")


@dataclass
class Listener:
    """A process that accepts links at an address.

    :param handlers: what to do with a link, by its path.
    """

    process: str
    handlers: Mapping[str, Handler]
    tasks: TaskGroup


@dataclass(frozen=True)
class Delivery:
    """A message under way; ``None`` says that the other end closed."""

    at_s: float
    message: Any


@dataclass(eq=False)
class MemoryLink:
    """One end of a link.

    :param process: whose end it is.
    :param peer: the process at the other end.
    """

    network: Network
    process: str
    peer: str
    inbox: deque[Delivery] = field(default_factory=deque)
    wake: anyio.Event = field(default_factory=anyio.Event)
    other: MemoryLink | None = None
    closed_reason: str = ""
    muted: bool = False
    heard_s: float = 0.0

    async def send(self, message: Any) -> None:
        """Send a message.

        :raises LinkClosed: when the link is gone.
        """
        await anyio.lowlevel.checkpoint()
        if self.closed_reason:
            raise LinkClosed(self.closed_reason)
        self.network.carry(self, message)

    async def send_all(self, messages: Sequence[Any]) -> None:
        """Send messages one after the other.

        :raises LinkClosed: when the link is gone.
        """
        for message in messages:
            await self.send(message)

    async def receive(self) -> Any:
        """Return the next message.

        :raises LinkClosed: when no more will come.
        """
        await anyio.lowlevel.checkpoint()
        while True:
            if self.closed_reason:
                raise LinkClosed(self.closed_reason)
            due_s = self.due_s()
            if due_s <= anyio.current_time():
                delivery = self.inbox.popleft()
                if delivery.message is None:
                    self.close("closed by peer")
                    continue
                return delivery.message
            self.wake = anyio.Event()
            with anyio.move_on_at(due_s):
                await self.wake.wait()

    def due_s(self) -> float:
        """Return when the next message arrives, as things stand."""
        if not self.inbox or self.muted:
            return FOREVER_S
        open_s = self.network.open_s(self.peer, self.process)
        return max(self.inbox[0].at_s, open_s)

    async def aclose(self) -> None:
        """Close this end and tell the other."""
        if not self.closed_reason:
            self.network.carry(self, None)
            self.close("closed here")

    def close(self, reason: str) -> None:
        """Close this end only."""
        self.closed_reason = self.closed_reason or reason
        self.wake.set()

    async def keep_alive(self) -> None:
        """Close this end once nothing was heard for too long."""
        self.heard_s = anyio.current_time()
        while not self.closed_reason:
            await anyio.sleep(HEARTBEAT_S)
            now = anyio.current_time()
            if not self.muted and self.network.open_s(self.peer, self.process) <= now:
                self.heard_s = now
            elif now - self.heard_s > MUTE_S:
                self.close("mute")


class Network:
    """All links of a run.

    :param latency_s: one way, between any two processes.
    :param random: jitters the latency, so that ties fall differently by seed.
    :param tasks: where heartbeats run.
    :param links: ends of links that were opened and not yet closed.
    """

    def __init__(self, latency_s: float, random: Random, tasks: TaskGroup) -> None:
        self.latency_s = latency_s
        self.random = random
        self.tasks = tasks
        self.listeners: dict[Address, Listener] = {}
        self.disturbances: list[Disturbance] = []
        self.links: list[MemoryLink] = []
        self.messages = 0

    def disturb(self, disturbance: Disturbance) -> None:
        """Begin a disturbance; links that wait take note."""
        self.disturbances.append(disturbance)
        for link in self.links:
            link.wake.set()

    def open_s(self, sender: str, receiver: str) -> float:
        """Return when messages from ``sender`` next reach ``receiver``; the past for now."""
        return max((d.until_s for d in self._active(sender, receiver, "partition")), default=0.0)

    def _active(self, sender: str, receiver: str, kind: str) -> Iterator[Disturbance]:
        now = anyio.current_time()
        for disturbance in self.disturbances:
            under_way = disturbance.kind == kind and disturbance.until_s > now
            if under_way and disturbance.touches(sender, receiver):
                yield disturbance

    def carry(self, link: MemoryLink, message: Any) -> None:
        """Put a message on its way to the other end, disturbed as it may be."""
        other = link.other
        if other is None:
            return
        self.messages += 1
        route = (link.process, link.peer)
        if message is not None and any(self._active(*route, "drop")):
            self.reset(link)
            return
        delay_s = self.latency_s * (1 + self.random.random() / 10)
        delay_s += sum(d.by_s for d in self._active(*route, "delay"))
        delivery = Delivery(anyio.current_time() + delay_s, message)
        other.inbox.append(delivery)
        if message is not None and any(self._active(*route, "duplicate")):
            other.inbox.append(delivery)
        if len(other.inbox) > 1 and any(self._active(*route, "reorder")):
            other.inbox[-1], other.inbox[-2] = other.inbox[-2], other.inbox[-1]
        other.wake.set()

    def reset(self, link: MemoryLink) -> None:
        """Close both ends at once, with all that is under way."""
        link.close("reset")
        if link.other is not None:
            link.other.close("reset")

    def reset_process(self, process: str) -> None:
        """Close all links of a process that died."""
        for link in list(self.links):
            if link.process == process:
                self.reset(link)

    def mute(self, process: str) -> None:
        """Silence the present links of a process for good; new ones work."""
        for link in self.links:
            if process in (link.process, link.peer):
                link.muted = True

    async def listen(self, process: str, address: Address, handlers: Mapping[str, Handler]) -> None:
        """Accept links until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.listeners[address] = Listener(process, handlers, tasks)
            try:
                await anyio.sleep_forever()
            finally:
                self.listeners.pop(address, None)

    def dial(self, process: str, path: str) -> Callable[[Address], Any]:
        """Return the function by which ``process`` opens links of one kind."""

        @asynccontextmanager
        async def dial(address: Address) -> AsyncIterator[MemoryLink]:
            link = await self._open(process, path, address)
            try:
                yield link
            finally:
                await link.aclose()
                self._forget(link)

        return dial

    async def _open(self, process: str, path: str, address: Address) -> MemoryLink:
        """Connect, or fail as a real connection would."""
        await anyio.sleep(2 * self.latency_s)
        listener = self.listeners.get(address)
        if listener is not None and not await self._reachable(process, listener.process):
            raise DialFailed(f"{address}: no answer")
        listener = self.listeners.get(address)
        if listener is None or path not in listener.handlers:
            raise DialFailed(f"{address}: refused")
        near = MemoryLink(self, process, listener.process)
        far = MemoryLink(self, listener.process, process)
        near.other, far.other = far, near
        self.links += [near, far]
        for link in (near, far):
            self.tasks.start_soon(link.keep_alive)
        listener.tasks.start_soon(self._serve, far, listener.handlers[path])
        return near

    async def _reachable(self, process: str, peer: str) -> bool:
        """Wait for both directions to be open, as long as a handshake may take."""
        open_s = max(self.open_s(process, peer), self.open_s(peer, process))
        wait_s = open_s - anyio.current_time()
        await anyio.sleep(max(0.0, min(wait_s, HANDSHAKE_S)))
        return wait_s <= HANDSHAKE_S

    async def _serve(self, link: MemoryLink, handler: Handler) -> None:
        try:
            await handler(link)
        finally:
            await link.aclose()
            self._forget(link)

    def _forget(self, link: MemoryLink) -> None:
        if link in self.links:
            self.links.remove(link)
