"""Links from a voter to the other voters."""

from __future__ import annotations

from collections import deque
from random import Random

import anyio
from anyio.abc import TaskGroup

from bergamotchute_consensus.messages import (
    AppendEntries,
    ConsensusMessage,
    ForwardedRequest,
    SnapshotChunk,
)
from bergamotchute_daemon.backoff import Backoff
from bergamotchute_model.identifiers import Address
from bergamotchute_wire.link import Dial, DialFailed, Link, LinkClosed

MAX_QUEUED_MESSAGES = 256
"""Limit of each of a peer's two queues; beyond it the oldest messages are dropped.

The consensus protocol tolerates lost messages, as on any network.
"""


def is_bulk(message: ConsensusMessage) -> bool:
    """Return whether a message may be large, or must stay in order with those that may be.

    A heartbeat that overtook the entries before it would be rejected, and they be sent again.
    """
    match message:
        case AppendEntries() | SnapshotChunk():
            return True
        case ForwardedRequest():
            return bool(message.command or message.packed_command)
    return False


class PeerQueue:
    """Queue of messages to one peer; votes, replies and answers go ahead of entries.

    :param linked: whether a link is open; while none is, only the newest message is kept.
    """

    def __init__(self) -> None:
        self.urgent: deque[ConsensusMessage] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.bulk: deque[ConsensusMessage] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.wake_event = anyio.Event()
        self.linked = False

    def put(self, message: ConsensusMessage) -> None:
        """Queue a message."""
        if not self.linked:
            self.urgent.clear()
            self.bulk.clear()
        (self.bulk if is_bulk(message) else self.urgent).append(message)
        self.wake_event.set()

    async def next_message(self) -> ConsensusMessage:
        """Wait for the next message and remove it from the queue."""
        while not self.urgent and not self.bulk:
            self.wake_event = anyio.Event()
            await self.wake_event.wait()
        return (self.urgent or self.bulk).popleft()


class VoterPeerLinks:
    """Sends messages to voters by address, over one link to each, opened at the first message.

    :param tasks: the task group in which the links run.
    """

    def __init__(self, dial: Dial[ConsensusMessage], random: Random, tasks: TaskGroup) -> None:
        self.dial = dial
        self.random = random
        self.tasks = tasks
        self.queues: dict[Address, PeerQueue] = {}

    def send(self, address: Address, message: ConsensusMessage) -> None:
        """Queue a message; it is lost if the peer can't be reached."""
        queue = self.queues.get(address)
        if queue is None:
            queue = self.queues[address] = PeerQueue()
            self.tasks.start_soon(self._keep_link, address, queue)
        queue.put(message)

    async def _keep_link(self, address: Address, queue: PeerQueue) -> None:
        """Keep a link to one peer until cancelled, reconnecting with backoff."""
        backoff = Backoff(self.random)
        while True:
            try:
                async with self.dial(address) as link:
                    backoff.reset()
                    queue.linked = True
                    await self._send_queued_messages(link, queue)
            except (DialFailed, LinkClosed):
                pass
            finally:
                queue.linked = False
            await anyio.sleep(backoff.next_delay())

    async def _send_queued_messages(self, link: Link[ConsensusMessage], queue: PeerQueue) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_when_closed, link, tasks)
            while True:
                message = await queue.next_message()
                try:
                    await link.send(message)
                except LinkClosed:
                    tasks.cancel_scope.cancel()
                    return


async def _cancel_when_closed(link: Link[ConsensusMessage], tasks: TaskGroup) -> None:
    """Cancel the sender once the peer closes the link; peers send nothing on this link."""
    try:
        while True:
            await link.receive()
    except LinkClosed:
        tasks.cancel_scope.cancel()
