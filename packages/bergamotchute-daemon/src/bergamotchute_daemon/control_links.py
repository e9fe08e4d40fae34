"""Links from an entry or agent to every control VM that it knows."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

import anyio
from anyio.abc import TaskGroup

from bergamotchute_daemon.backoff import Backoff
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import ControlGroup, NodeMessage
from bergamotchute_wire.link import Dial, DialFailed, Link, LinkClosed
from bergamotchute_wire.outbox import Outbox, open_outbox

RECONNECT_MAX_S = 1.0
"""Longest wait between tries; a follower must hear of changes soon after a control VM is back."""

Receive = Callable[[Address, NodeMessage], None]


@dataclass
class ControlLinks:
    """Keeps a link to each control VM: the seeds at first, then all that any of them names.

    One link would do for hearing changes; each further one stands in for a control VM that is
    cut off without noticing.

    :param seeds: where to begin, from the settings; may be replaced under way.
    :param greeting: what to say first on each link.
    :param on_message: takes what a control VM says.
    """

    seeds: tuple[Address, ...]
    dial: Dial[NodeMessage]
    random: Random
    log: EventLog
    greeting: Callable[[], Iterable[NodeMessage]]
    on_message: Receive
    outboxes: dict[Address, Outbox[NodeMessage]] = field(default_factory=dict)
    named: dict[Address, ControlGroup] = field(default_factory=dict)
    running: set[Address] = field(default_factory=set)
    _tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Keep the links until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._start_missing()
            await anyio.sleep_forever()

    def use_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Take other seeds, as after a change of the settings."""
        self.seeds = seeds
        self._start_missing()

    def post(self, address: Address, message: NodeMessage) -> None:
        """Send a message to one control VM, if it is linked."""
        outbox = self.outboxes.get(address)
        if outbox is not None:
            outbox.post(message)

    def post_all(self, message: NodeMessage) -> None:
        """Send a message to every linked control VM."""
        for outbox in self.outboxes.values():
            outbox.post(message)

    def post_any(self, message: NodeMessage) -> None:
        """Send a message to one linked control VM, the leader if it is linked."""
        address = self.leader or next(iter(self.outboxes), None)
        if address is not None:
            self.post(address, message)

    @property
    def leader(self) -> Address | None:
        """The linked control VM that leads the newest term known here."""
        leading = [
            (group.leading_term, address)
            for address, group in self.named.items()
            if group.leading_term and address in self.outboxes
        ]
        return max(leading)[1] if leading else None

    def _wanted(self) -> set[Address]:
        named = {address for group in self.named.values() for address in group.addresses}
        return named | set(self.seeds)

    def _start_missing(self) -> None:
        if self._tasks is None:
            return
        for address in sorted(self._wanted() - self.running):
            self.running.add(address)
            self._tasks.start_soon(self._keep, address)

    async def _keep(self, address: Address) -> None:
        """Keep one link while the control VM is wanted."""
        backoff = Backoff(self.random, max_s=RECONNECT_MAX_S)
        while address in self._wanted():
            try:
                async with self.dial(address) as link:
                    backoff.reset()
                    await self._serve(address, link)
            except (DialFailed, LinkClosed) as error:
                if backoff.failures == 0:
                    self.log.emit(events.LINK_CLOSED, peer=str(address), reason=str(error))
            await anyio.sleep(backoff.next_delay())
        self.running.discard(address)

    async def _serve(self, address: Address, link: Link[NodeMessage]) -> None:
        async with open_outbox(link) as outbox:
            self.outboxes[address] = outbox
            self.log.emit(events.LINK_OPENED, peer=str(address))
            for message in self.greeting():
                outbox.post(message)
            try:
                while True:
                    self._take(address, await link.receive())
            finally:
                del self.outboxes[address]
                self.named.pop(address, None)
                self.log.emit(events.LINK_CLOSED, peer=str(address))

    def _take(self, address: Address, message: NodeMessage) -> None:
        if isinstance(message, ControlGroup):
            self.named[address] = message
            self._start_missing()
        self.on_message(address, message)
