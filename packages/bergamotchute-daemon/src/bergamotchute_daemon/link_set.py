"""Links to a set of peers that may change under way."""

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

RECONNECT_MAX_S = 0.3
"""Longest wait between tries. After the loss of all VMs control VMs start last, and callers wait for
entries to be linked; a try that is refused costs little, one that is not answered takes seconds."""

MessageHandler = Callable[[Address, NodeMessage], None]


@dataclass
class LinkSet:
    """Keeps a link to each peer that is wanted, and opens a lost one again.

    :param get_greeting: what to say first on each link.
    :param on_message: takes what a peer says.
    :param on_closed: told when an open link closed.
    :param unlinked_since: when a peer without a link was last linked, or first wanted.
    """

    dial: Dial[NodeMessage]
    random: Random
    log: EventLog
    get_greeting: Callable[[], Iterable[NodeMessage]]
    on_message: MessageHandler = lambda _, __: None
    on_closed: Callable[[Address], None] = lambda _: None
    outboxes: dict[Address, Outbox[NodeMessage]] = field(default_factory=dict)
    unlinked_since: dict[Address, float] = field(default_factory=dict)
    wanted: frozenset[Address] = frozenset()
    keepers: dict[Address, anyio.CancelScope] = field(default_factory=dict)
    _tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Keep the links until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._start_missing()
            await anyio.sleep_forever()

    def set_wanted_peers(self, addresses: Collection[Address]) -> None:
        """Link to these peers and to no others."""
        self.wanted = frozenset(addresses)
        for address, scope in self.keepers.items():
            if address not in self.wanted:
                scope.cancel()
        self._start_missing()

    def post(self, address: Address, message: NodeMessage) -> None:
        """Send a message to one peer, if it is linked."""
        outbox = self.outboxes.get(address)
        if outbox is not None:
            outbox.post(message)

    def post_all(self, message: NodeMessage) -> None:
        """Send a message to every linked peer."""
        for outbox in self.outboxes.values():
            outbox.post(message)

    def _start_missing(self) -> None:
        if self._tasks is None:
            return
        for address in sorted(self.wanted - self.keepers.keys()):
            scope = self.keepers[address] = anyio.CancelScope()
            self.unlinked_since.setdefault(address, anyio.current_time())
            self._tasks.start_soon(self._keep, address, scope)

    async def _keep(self, address: Address, scope: anyio.CancelScope) -> None:
        """Keep one link until it is not wanted any more."""
        backoff = Backoff(self.random, max_s=RECONNECT_MAX_S)
        with scope:
            while True:
                try:
                    async with self.dial(address) as link:
                        backoff.reset()
                        await self._serve(address, link)
                except (DialFailed, LinkClosed) as error:
                    if backoff.failures == 0:
                        self.log.emit(events.LINK_CLOSED, peer=str(address), reason=str(error))
                await anyio.sleep(backoff.next_delay())
        del self.keepers[address]
        self.unlinked_since.pop(address, None)
        # It may have been wanted again while it was closing.
        self._start_missing()

    async def _serve(self, address: Address, link: Link[NodeMessage]) -> None:
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
