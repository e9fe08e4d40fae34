"""Links over WebSocket: the library's Sans-I/O protocol on an anyio byte stream."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

import anyio
from anyio.abc import ByteStream
from websockets.frames import Frame, Opcode
from websockets.protocol import Protocol, State

from bergamotchute_wire.link import LinkClosed
from bergamotchute_wire.message_codec import MalformedMessageError, MessageCodec

Message = TypeVar("Message")

HEARTBEAT_S = 1.0
"""How often a link looks at whether its peer is quiet."""

QUIET_S = 0.75
"""Silence after which a heartbeat asks whether the peer is there."""

MUTE_S = 3.5
"""Silence after which a link counts as gone."""

CLOSE_S = 1.0
"""Bound on saying goodbye."""

RECEIVE_BYTES = 65_536


@dataclass(frozen=True)
class LinkTiming:
    """How a link watches its peer, in seconds.

    :param heartbeat_s: how often it looks whether the peer is quiet.
    :param quiet_s: silence after which a heartbeat asks whether the peer is there.
    :param mute_s: silence after which the link counts as gone.
    """

    heartbeat_s: float = HEARTBEAT_S
    quiet_s: float = QUIET_S
    mute_s: float = MUTE_S


class WebSocketLink(Generic[Message]):
    """A :class:`~bergamotchute_wire.link.Link` over one WebSocket.

    Messages that wait for the transport together leave in one write.

    :param stream: the byte stream, with the handshake done.
    :param protocol: the library's protocol state, open.
    :param codec: the messages that may pass.
    :param peer: the other side's address, for logs.
    :param timing: how the peer is watched.
    """

    def __init__(
        self,
        stream: ByteStream,
        protocol: Protocol,
        codec: MessageCodec[Message],
        peer: str,
        timing: LinkTiming = LinkTiming(),
    ) -> None:
        self.peer = peer
        self.timing = timing
        self.last_received_at = anyio.current_time()
        self.closed_reason = ""
        self._stream = stream
        self._protocol = protocol
        self._codec = codec
        self._received: deque[Frame] = deque()
        self._messages: deque[Message] = deque()
        self._outgoing: list[bytes] = []
        self._write_lock = anyio.Lock()
        # The peer's first messages may have come together with its handshake.
        self._take_frames()

    async def send(self, message: Message) -> None:
        """Send a message; returns once the transport took it.

        :raises LinkClosed: when the link is gone; the message may or may not arrive.
        """
        await self.send_all((message,))

    async def send_all(self, messages: Sequence[Message]) -> None:
        """Send messages in one frame; returns once the transport took them.

        :raises LinkClosed: when the link is gone; they may or may not arrive.
        """
        if self.closed_reason or self._protocol.state is not State.OPEN:
            raise LinkClosed(self.closed_reason or "closing")
        self._protocol.send_binary(self._codec.encode_all(messages))
        await self._flush()

    async def receive(self) -> Message:
        """Return the next message.

        :raises LinkClosed: when no more will come, or the peer sent what is no message.
        """
        while not self._messages:
            while self._received:
                frame = self._received.popleft()
                if frame.opcode is Opcode.BINARY:
                    self._messages.extend(await self._decode(bytes(frame.data)))
            if not self._messages:
                await self._read_more()
        return self._messages.popleft()

    async def aclose(self) -> None:
        """Say goodbye if the transport still takes it, then close; safe to call again."""
        if not self.closed_reason:
            with anyio.move_on_after(CLOSE_S, shield=True):
                if self._protocol.state is State.OPEN:
                    self._protocol.send_close(1000)
                await self._flush_quietly()
        await self._abort("closed here")

    async def keep_alive(self) -> None:
        """Ping a quiet peer until it goes silent or the link closes; close the link, then return.

        A peer that sends anything needs no ping, so that mostly one side of a link pings.
        """
        while not self.closed_reason and self._protocol.state is State.OPEN:
            await anyio.sleep(self.timing.heartbeat_s)
            silent_s = anyio.current_time() - self.last_received_at
            if silent_s > self.timing.mute_s:
                await self._abort("mute")
            elif (
                silent_s >= self.timing.quiet_s
                and not self.closed_reason
                and not self._write_lock.locked()
            ):
                self._protocol.send_ping(b"")
                await self._flush_quietly()

    async def _decode(self, data: bytes) -> list[Message]:
        """Decode the messages of one frame; a malformed one closes the link."""
        try:
            return self._codec.decode_all(data)
        except MalformedMessageError as error:
            await self._abort(f"malformed message: {error}")
            raise LinkClosed(self.closed_reason) from error

    async def _read_more(self) -> None:
        """Feed the protocol with the next bytes, and answer what it must."""
        if self.closed_reason:
            raise LinkClosed(self.closed_reason)
        try:
            data = await self._stream.receive(RECEIVE_BYTES)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            await self._abort("closed by peer")
            raise LinkClosed(self.closed_reason) from error
        self.last_received_at = anyio.current_time()
        self._protocol.receive_data(data)
        self._take_frames()
        await self._flush_quietly()
        if self._protocol.state is not State.OPEN and not self._received:
            await self._abort("closed by peer")

    def _take_frames(self) -> None:
        """Take over the frames that the protocol has read."""
        read = self._protocol.events_received()
        self._received.extend(event for event in read if isinstance(event, Frame))

    async def _flush(self) -> None:
        """Write all that waits; a caller that finds nothing left was served by another's write."""
        self._outgoing.extend(self._protocol.data_to_send())
        async with self._write_lock:
            if not self._outgoing:
                return
            data = b"".join(self._outgoing)
            self._outgoing.clear()
            try:
                await self._stream.send(data)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
                await self._abort("closed by peer")
                raise LinkClosed(self.closed_reason) from error
            except anyio.get_cancelled_exc_class():
                # A write cut short leaves half a frame behind, so the stream is of no more use.
                await self._abort("write cancelled")
                raise

    async def _flush_quietly(self) -> None:
        """Write all that waits; a closed link is left for the next call to report."""
        try:
            await self._flush()
        except LinkClosed:
            return

    async def _abort(self, reason: str) -> None:
        """Close the transport at once and keep the first reason."""
        self.closed_reason = self.closed_reason or reason
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)
