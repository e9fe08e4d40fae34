"""Links in memory, for tests under the paused clock, that can be cut, muted and delayed."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from bergamotchute_model.identifiers import Address
from bergamotchute_wire.link import Dial, DialFailed, LinkClosed, LinkHandler


class MemoryLink:
    """One end of a link in memory."""

    def __init__(self, network: MemoryNetwork, here: str, peer: str) -> None:
        self.network = network
        self.here = here
        self.peer = peer
        self.closed_reason = ""
        self.sender, self.receiver = anyio.create_memory_object_stream[tuple[float, Any]](10_000)
        self.next_message: tuple[float, Any] | None = None
        self.other: MemoryLink | None = None

    async def send(self, message: Any) -> None:
        """Hand a message to the network, which may hold it up or lose it."""
        if self.closed_reason:
            raise LinkClosed(self.closed_reason)
        await anyio.lowlevel.checkpoint()
        assert self.other is not None
        self.network.carry(self, self.other, message)

    async def send_all(self, messages: Sequence[Any]) -> None:
        """Hand messages to the network one after the other."""
        for message in messages:
            await self.send(message)

    async def receive(self) -> Any:
        """Return the next message."""
        try:
            if self.next_message is None:
                self.next_message = await self.receiver.receive()
        except (anyio.EndOfStream, anyio.ClosedResourceError) as error:
            raise LinkClosed(self.closed_reason or "closed by peer") from error
        due, message = self.next_message
        await anyio.sleep_until(due)
        self.next_message = None
        return message

    async def aclose(self) -> None:
        """Close both ends."""
        self.shut("closed here")
        if self.other is not None and not self.network.is_cut(self.here, self.peer):
            self.other.shut("closed by peer")

    def shut(self, reason: str) -> None:
        """Close this end."""
        self.closed_reason = self.closed_reason or reason
        self.sender.close()


@dataclass
class MemoryNetwork:
    """Connects named processes; a test cuts, mutes and slows the ways between them."""

    tasks: TaskGroup
    delay_s: float = 0.0005
    mute_s: float = 3.5
    cuts: set[tuple[str, str]] = field(default_factory=set)
    links: list[MemoryLink] = field(default_factory=list)
    handlers: dict[tuple[Address, str], tuple[str, LinkHandler[Any]]] = field(default_factory=dict)

    def serve(self, name: str, address: Address, path: str, handler: LinkHandler[Any]) -> None:
        """Let ``name`` accept links of one kind at an address."""
        self.handlers[address, path] = (name, handler)

    def stop_serving(self, name: str) -> None:
        """Refuse new links to ``name`` and break the open ones."""
        self.handlers = {key: value for key, value in self.handlers.items() if value[0] != name}
        for link in self.links:
            if name in (link.here, link.peer):
                link.shut("closed by peer")

    def cut(self, first: str, second: str) -> None:
        """Lose all messages both ways, silently."""
        self.cuts |= {(first, second), (second, first)}

    def heal(self, first: str, second: str) -> None:
        """Carry messages again; open links that lost some stay mute and die."""
        self.cuts -= {(first, second), (second, first)}

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether messages this way are lost."""
        return (sender, receiver) in self.cuts

    def carry(self, sender: MemoryLink, receiver: MemoryLink, message: Any) -> None:
        """Deliver after the delay; a lost message kills its link as a heartbeat would."""
        if self.is_cut(sender.here, sender.peer):
            self.tasks.start_soon(self._die_mute, sender, receiver)
        else:
            self._deliver(receiver, message)

    def _deliver(self, receiver: MemoryLink, message: Any) -> None:
        if not receiver.closed_reason:
            receiver.sender.send_nowait((anyio.current_time() + self.delay_s, message))

    async def _die_mute(self, sender: MemoryLink, receiver: MemoryLink) -> None:
        await anyio.sleep(self.mute_s)
        sender.shut("mute")
        receiver.shut("mute")

    def dial(self, name: str, path: str) -> Dial[Any]:
        """Return the function by which ``name`` opens links of one kind."""

        @asynccontextmanager
        async def dial(address: Address) -> AsyncIterator[MemoryLink]:
            await anyio.sleep(self.delay_s)
            if (address, path) not in self.handlers:
                raise DialFailed(f"{address}: refused")
            peer, handler = self.handlers[address, path]
            if self.is_cut(name, peer) or self.is_cut(peer, name):
                await anyio.sleep(self.mute_s)
                raise DialFailed(f"{address}: timeout")
            here, there = MemoryLink(self, name, peer), MemoryLink(self, peer, name)
            here.other, there.other = there, here
            self.links += [here, there]
            self.tasks.start_soon(self._serve, handler, there)
            try:
                yield here
            finally:
                await here.aclose()
                self.links = [link for link in self.links if not link.closed_reason]

        return dial

    async def _serve(self, handler: LinkHandler[Any], link: MemoryLink) -> None:
        try:
            await handler(link)
        finally:
            await link.aclose()
