"""Links to a set of peers that may change at run time."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from random import Random

import anyio
from anyio.abc import TaskGroup

from bergamotchute_daemon.backoff import Backoff
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import NodeMessage
from bergamotchute_wire.link import Dial, DialFailed, Link, LinkClosed
from bergamotchute_wire.outbox import Outbox, open_outbox

MAX_RECONNECT_DELAY_S = 0.3
"""Longest delay between attempts to open a link.

After a loss of all VMs the control VMs start last, and callers wait until entries have links. An
attempt that is refused costs little; one that isn't answered takes seconds by itself.
"""

MessageHandler = Callable[[Address, NodeMessage], None]


@dataclass
class LinkSet:
    """Maintains a link to each wanted peer and reopens lost links.

    :param get_greeting: returns the first messages to send on a new link.
    :param on_message: called with each message that a peer sends.
    :param on_closed: called when an open link has closed.
    :param unlinked_since: for each peer, when its last link closed, or when a link was first
        wanted.
    :param wanted_peers: the peers to maintain links to.
    :param link_scopes: the cancel scope of the task that maintains each link.
    """

    dial: Dial[NodeMessage]
    random: Random
    log: EventLog
    get_greeting: Callable[[], Iterable[NodeMessage]]
    on_message: MessageHandler = lambda _, __: None
    on_closed: Callable[[Address], None] = lambda _: None
    outboxes: dict[Address, Outbox[NodeMessage]] = field(default_factory=dict)
    unlinked_since: dict[Address, float] = field(default_factory=dict)
    wanted_peers: frozenset[Address] = frozenset()
    link_scopes: dict[Address, anyio.CancelScope] = field(default_factory=dict)
    _tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Maintain the links until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._start_missing_links()
            await anyio.sleep_forever()

    def set_wanted_peers(self, addresses: Collection[Address]) -> None:
        """Maintain links to these peers and close the links to all others."""
        self.wanted_peers = frozenset(addresses)
        for address, scope in self.link_scopes.items():
            if address not in self.wanted_peers:
                scope.cancel()
        self._start_missing_links()

    def post(self, address: Address, message: NodeMessage) -> None:
        """Send a message to one peer if a link to it is open."""
        outbox = self.outboxes.get(address)
        if outbox is not None:
            outbox.post(message)

    def post_all(self, message: NodeMessage) -> None:
        """Send a message over every open link."""
        for outbox in self.outboxes.values():
            outbox.post(message)

    def _start_missing_links(self) -> None:
        if self._tasks is None:
            return
        for address in sorted(self.wanted_peers - self.link_scopes.keys()):
            scope = self.link_scopes[address] = anyio.CancelScope()
            self.unlinked_since.setdefault(address, anyio.current_time())
            self._tasks.start_soon(self._maintain_link, address, scope)

    async def _maintain_link(self, address: Address, scope: anyio.CancelScope) -> None:
        """Maintain the link to one peer until the peer is no longer wanted."""
        backoff = Backoff(self.random, max_s=MAX_RECONNECT_DELAY_S)
        with scope:
            while True:
                try:
                    async with self.dial(address) as link:
                        backoff.reset()
                        await self._serve_link(address, link)
                except (DialFailed, LinkClosed) as error:
                    if backoff.failure_count == 0:
                        self.log.emit(events.LINK_CLOSED, peer=str(address), reason=str(error))
                await anyio.sleep(backoff.next_delay())
        del self.link_scopes[address]
        self.unlinked_since.pop(address, None)
        # The peer may have become wanted again while its link was closing.
        self._start_missing_links()

    async def _serve_link(self, address: Address, link: Link[NodeMessage]) -> None:
        async with open_outbox(link) as outbox:
            self.outboxes[address] = outbox
            self.log.emit(events.LINK_OPENED, peer=str(address))
            for message in self.get_greeting():
                outbox.post(message)
            try:
                while True:
                    self.on_message(address, await link.receive())
            finally:
                del self.outboxes[address]
                self.unlinked_since[address] = anyio.current_time()
                self.on_closed(address)
                self.log.emit(events.LINK_CLOSED, peer=str(address))
