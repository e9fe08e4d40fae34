"""Links from a voter to the other voters."""

from __future__ import annotations

from collections import deque
from random import Random

import anyio
from anyio.abc import TaskGroup

from bergamotchute_consensus.messages import ConsensusMessage
from bergamotchute_daemon.backoff import Backoff
from bergamotchute_model.identifiers import Address
from bergamotchute_wire.link import Dial, DialFailed, Link, LinkClosed

QUEUED_MESSAGES = 256
"""Messages that wait for one peer; beyond this the oldest are dropped, as a network would."""


class PeerQueue:
    """Messages that wait for one peer.

    :param linked: whether a link is open; without one only the newest message is kept.
    """

    def __init__(self) -> None:
        self.messages: deque[ConsensusMessage] = deque(maxlen=QUEUED_MESSAGES)
        self.wake = anyio.Event()
        self.linked = False

    def put(self, message: ConsensusMessage) -> None:
        """Queue a message."""
        if not self.linked:
            self.messages.clear()
        self.messages.append(message)
        self.wake.set()

    async def next_message(self) -> ConsensusMessage:
        """Wait for the next message and take it."""
        while not self.messages:
            self.wake = anyio.Event()
            await self.wake.wait()
        return self.messages.popleft()


class PeerLinks:
    """Sends messages to voters by address, over a link to each that is opened when needed.

    :param tasks: where the links run.
    """

    def __init__(self, dial: Dial[ConsensusMessage], random: Random, tasks: TaskGroup) -> None:
        self.dial = dial
        self.random = random
        self.tasks = tasks
        self.queues: dict[Address, PeerQueue] = {}

    def send(self, address: Address, message: ConsensusMessage) -> None:
        """Queue a message; it is lost when the peer can't be reached."""
        queue = self.queues.get(address)
        if queue is None:
            queue = self.queues[address] = PeerQueue()
            self.tasks.start_soon(self._serve, address, queue)
        queue.put(message)

    async def _serve(self, address: Address, queue: PeerQueue) -> None:
        """Keep a link to one peer for good."""
        backoff = Backoff(self.random)
        while True:
            try:
                async with self.dial(address) as link:
                    backoff.reset()
                    queue.linked = True
                    await self._pump(link, queue)
            except (DialFailed, LinkClosed):
                pass
            finally:
                queue.linked = False
            await anyio.sleep(backoff.next_delay())

    async def _pump(self, link: Link[ConsensusMessage], queue: PeerQueue) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_close_when_ended, link, tasks)
            while True:
                message = await queue.next_message()
                try:
                    await link.send(message)
                except LinkClosed:
                    tasks.cancel_scope.cancel()
                    return


async def _close_when_ended(link: Link[ConsensusMessage], tasks: TaskGroup) -> None:
    """Notice that the peer closed the link; nothing else comes this way."""
    try:
        while True:
            await link.receive()
    except LinkClosed:
        tasks.cancel_scope.cancel()
