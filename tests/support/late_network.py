"""Links in memory on which consensus messages come late, twice, out of order or never."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any, get_args

import anyio

from bergamotchute_consensus.messages import ConsensusMessage
from bergamotchute_daemon.environment import CONSENSUS_PATH
from bergamotchute_model.identifiers import Address
from support.memory_links import MemoryLink, MemoryNetwork

CONSENSUS_MESSAGES: tuple[type, ...] = get_args(ConsensusMessage)
DELAY_RANGES_S = ((0.001, 0.05), (0.05, 0.5), (0.5, 3.0), (3.0, 8.0), (8.0, 30.0))
LISTENER_CHECK_INTERVAL_S = 0.02


@dataclass
class MessageFaults:
    """Draws what happens to each message.

    :param late_ratio: share of all messages that come late.
    :param lost_ratio: share of all messages that are lost.
    :param doubled_ratio: share of all messages that come a second time, late.
    :param often_late: kinds of message of which ``often_late_ratio`` come late.
    :param longest_range: position in :data:`DELAY_RANGES_S` of the longest delays drawn.
    """

    random: Random
    late_ratio: float = 0.0
    lost_ratio: float = 0.0
    doubled_ratio: float = 0.0
    often_late: tuple[type, ...] = ()
    often_late_ratio: float = 0.0
    longest_range: int = 0

    def delays_s(self, message: Any) -> tuple[float, ...]:
        """Return the extra delay of each delivery of a message; none if it is lost."""
        chance = self.random.random()
        late_ratio = (
            self.often_late_ratio if isinstance(message, self.often_late) else self.late_ratio
        )
        if chance < late_ratio:
            return (self._delay_s(),)
        if chance < late_ratio + self.lost_ratio:
            return ()
        if chance < late_ratio + self.lost_ratio + self.doubled_ratio:
            return (0.0, self._delay_s())
        return (0.0,)

    def _delay_s(self) -> float:
        return self.random.uniform(*DELAY_RANGES_S[self.random.randint(0, self.longest_range)])


@dataclass
class LateNetwork(MemoryNetwork):
    """A network that delays consensus messages past later ones, also past a restart.

    A late message reaches whichever process then listens at its recipient's address. A frozen
    process neither receives nor sends; what it sends comes when it is thawed.

    :param faults: ``None`` to deliver each message in order.
    :param starts: how often each process was started.
    :param counts: what happened to messages.
    :param settled: set once messages no longer come late; those on their way come at once.
    """

    faults: MessageFaults | None = None
    starts: Counter[str] = field(default_factory=Counter)
    counts: Counter[str] = field(default_factory=Counter)
    settled: anyio.Event = field(default_factory=anyio.Event)

    def deliver_or_lose(self, sender: MemoryLink, receiver: MemoryLink, message: Any) -> None:
        """Deliver a message at once, later, twice or never."""
        if not isinstance(message, CONSENSUS_MESSAGES):
            super().deliver_or_lose(sender, receiver, message)
            return
        delays_s = (0.0,) if self.faults is None else self.faults.delays_s(message)
        is_frozen = sender.local_name in self.frozen
        self.counts["messages"] += 1
        self.counts["lost"] += not delays_s
        self.counts["doubled"] += len(delays_s) > 1
        for delay_s in delays_s:
            if delay_s or is_frozen:
                self.tasks.start_soon(
                    self._deliver_late, sender.local_name, sender.peer, message, delay_s
                )
            else:
                super().deliver_or_lose(sender, receiver, message)

    def settle(self) -> None:
        """Deliver the late messages on their way, and all others in order."""
        self.faults = None
        self.settled.set()

    async def _deliver_late(
        self, sender: str, recipient: str, message: Any, delay_s: float
    ) -> None:
        starts = self.starts[sender], self.starts[recipient]
        with anyio.move_on_after(delay_s):
            await self.settled.wait()
        while sender in self.frozen:  # noqa: ASYNC110 - a set has no event.
            await anyio.sleep(LISTENER_CHECK_INTERVAL_S)
        address = self._consensus_address(recipient)
        while address is None and not self.settled.is_set():
            await anyio.sleep(LISTENER_CHECK_INTERVAL_S)
            address = self._consensus_address(recipient)
        if address is None or self.is_cut(sender, recipient):
            return
        self.counts["late"] += 1
        self.counts["late after restart"] += starts != (
            self.starts[sender],
            self.starts[recipient],
        )
        link, opposite = MemoryLink(self, recipient, sender), MemoryLink(self, sender, recipient)
        link.opposite_end, opposite.opposite_end = opposite, link
        self._deliver(link, message, anyio.current_time())
        link.sender.close()
        await self._run_handler(self.handlers[address, CONSENSUS_PATH][1], link)

    def _consensus_address(self, name: str) -> Address | None:
        """Return the address at which a process accepts links of voters, if it runs."""
        for (address, path), (holder, _) in self.handlers.items():
            if holder == name and path == CONSENSUS_PATH:
                return address
        return None
