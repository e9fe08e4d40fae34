"""In-memory links for tests on a simulated clock, with partitions, losses and delays."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from bergamotchute_model.identifiers import Address
from bergamotchute_wire.link import Dial, DialFailed, LinkClosed, LinkHandler

FREEZE_CHECK_INTERVAL_S = 0.05


class MemoryLink:
    """One end of an in-memory link."""

    def __init__(self, network: MemoryNetwork, local_name: str, peer: str) -> None:
        self.network = network
        self.local_name = local_name
        self.peer = peer
        self.closed_reason = ""
        self.sender, self.receiver = anyio.create_memory_object_stream[tuple[float, Any]](10_000)
        self.next_message: tuple[float, Any] | None = None
        self.opposite_end: MemoryLink | None = None

    async def send(self, message: Any) -> None:
        """Pass a message to the network, which may delay or lose it."""
        if self.closed_reason:
            raise LinkClosed(self.closed_reason)
        await anyio.lowlevel.checkpoint()
        assert self.opposite_end is not None
        self.network.deliver_or_lose(self, self.opposite_end, message)

    async def send_all(self, messages: Sequence[Any]) -> None:
        """Pass messages to the network one after the other."""
        for message in messages:
            await self.send(message)

    async def receive(self) -> Any:
        """Return the next message when its delay has passed."""
        try:
            if self.next_message is None:
                self.next_message = await self.receiver.receive()
        except (anyio.EndOfStream, anyio.ClosedResourceError) as error:
            raise LinkClosed(self.closed_reason or "closed by peer") from error
        due_at, message = self.next_message
        await anyio.sleep_until(due_at)
        while self.local_name in self.network.frozen:  # noqa: ASYNC110 - a set has no event.
            await anyio.sleep(FREEZE_CHECK_INTERVAL_S)
        self.next_message = None
        return message

    async def aclose(self) -> None:
        """Close this end, and the opposite end unless the network loses the close."""
        self.close_end("closed here")
        if self.opposite_end is not None and not self.network.is_cut(self.local_name, self.peer):
            self.opposite_end.close_end("closed by peer")

    def close_end(self, reason: str) -> None:
        """Close this end; the first reason is kept."""
        self.closed_reason = self.closed_reason or reason
        self.sender.close()


@dataclass
class MemoryNetwork:
    """Connects named processes; a test can partition them and delay their messages.

    :param delay_s: the delay of each message, in seconds.
    :param silence_timeout_s: the time after which a link that lost a message closes, in seconds.
    :param cut_directions: pairs of sender and receiver whose messages are lost.
    :param frozen: processes that receive nothing; the messages to them wait.
    :param bytes_per_s: what each process can send in a second; unlimited by default.
    :param message_bytes: returns the size of a message, for ``bytes_per_s`` and ``sent_bytes``.
    :param sent_bytes: the bytes that each process has sent.
    """

    tasks: TaskGroup
    delay_s: float = 0.0005
    silence_timeout_s: float = 3.5
    cut_directions: set[tuple[str, str]] = field(default_factory=set)
    frozen: set[str] = field(default_factory=set)
    bytes_per_s: float = math.inf
    message_bytes: Callable[[Any], int] = lambda _: 0
    sent_bytes: dict[str, int] = field(default_factory=dict)
    busy_until: dict[str, float] = field(default_factory=dict)
    links: list[MemoryLink] = field(default_factory=list)
    handlers: dict[tuple[Address, str], tuple[str, LinkHandler[Any]]] = field(default_factory=dict)

    def serve(self, name: str, address: Address, path: str, handler: LinkHandler[Any]) -> None:
        """Let ``name`` accept links for a path at an address."""
        self.handlers[address, path] = (name, handler)

    def stop_serving(self, name: str) -> None:
        """Refuse new links to ``name`` and close its open links."""
        self.handlers = {key: value for key, value in self.handlers.items() if value[0] != name}
        for link in self.links:
            if name in (link.local_name, link.peer):
                link.close_end("closed by peer")

    def cut(self, first: str, second: str) -> None:
        """Lose all messages in both directions without an error."""
        self.cut_directions |= {(first, second), (second, first)}

    def reconnect(self, first: str, second: str) -> None:
        """Deliver messages again; open links that lost a message still time out and close."""
        self.cut_directions -= {(first, second), (second, first)}

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether messages in this direction are lost."""
        return (sender, receiver) in self.cut_directions

    def deliver_or_lose(self, sender: MemoryLink, receiver: MemoryLink, message: Any) -> None:
        """Deliver after the delay; a lost message closes its link as a missing heartbeat would."""
        if self.is_cut(sender.local_name, sender.peer):
            self.tasks.start_soon(self._close_after_silence, sender, receiver)
        else:
            self._deliver(receiver, message, self._transmit(sender.local_name, message))

    def _transmit(self, sender: str, message: Any) -> float:
        """Count a message's bytes; return when its sender has sent them and those before."""
        size = self.message_bytes(message)
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + size
        begin = max(anyio.current_time(), self.busy_until.get(sender, 0.0))
        self.busy_until[sender] = begin + size / self.bytes_per_s
        return self.busy_until[sender]

    def _deliver(self, receiver: MemoryLink, message: Any, sent_at: float) -> None:
        if not receiver.closed_reason:
            receiver.sender.send_nowait((sent_at + self.delay_s, message))

    async def _close_after_silence(self, sender: MemoryLink, receiver: MemoryLink) -> None:
        await anyio.sleep(self.silence_timeout_s)
        sender.close_end("mute")
        receiver.close_end("mute")

    def dial(self, name: str, path: str) -> Dial[Any]:
        """Return the function with which ``name`` opens links for a path."""

        @asynccontextmanager
        async def dial(address: Address) -> AsyncIterator[MemoryLink]:
            await anyio.sleep(self.delay_s)
            if (address, path) not in self.handlers:
                raise DialFailed(f"{address}: refused")
            peer, handler = self.handlers[address, path]
            if self.is_cut(name, peer) or self.is_cut(peer, name):
                await anyio.sleep(self.silence_timeout_s)
                raise DialFailed(f"{address}: timeout")
            local_end, remote_end = MemoryLink(self, name, peer), MemoryLink(self, peer, name)
            local_end.opposite_end, remote_end.opposite_end = remote_end, local_end
            self.links += [local_end, remote_end]
            self.tasks.start_soon(self._run_handler, handler, remote_end)
            try:
                yield local_end
            finally:
                await local_end.aclose()
                self.links = [link for link in self.links if not link.closed_reason]

        return dial

    async def _run_handler(self, handler: LinkHandler[Any], link: MemoryLink) -> None:
        try:
            await handler(link)
        finally:
            await link.aclose()
