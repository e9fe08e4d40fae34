"""Links over WebSocket: the Sans-I/O protocol of ``websockets`` on an anyio byte stream."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

import anyio
from anyio.abc import ByteStream
from websockets.frames import Frame, Opcode
from websockets.protocol import Protocol, Side, State

from bergamotchute_wire.link import LinkClosed
from bergamotchute_wire.message_codec import MalformedMessageError, MessageCodec

Message = TypeVar("Message")

HEARTBEAT_S = 1.0
"""How often a link checks whether its peer is silent."""

PING_AFTER_S = 0.75
"""Silence after which the link pings its peer."""

SILENCE_TIMEOUT_S = 3.5
"""Silence after which the link closes."""

CLOSE_TIMEOUT_S = 1.0
"""Bound on sending the close frame."""

RECEIVE_BYTES = 65_536


@dataclass(frozen=True)
class LinkTiming:
    """How a link checks that its peer is alive, in seconds.

    :param heartbeat_interval_s: how often the link checks whether the peer is silent.
    :param ping_after_s: silence after which the link pings its peer.
    :param silence_timeout_s: silence after which the link closes.
    """

    heartbeat_interval_s: float = HEARTBEAT_S
    ping_after_s: float = PING_AFTER_S
    silence_timeout_s: float = SILENCE_TIMEOUT_S


class WebSocketLink(Generic[Message]):
    """A :class:`~bergamotchute_wire.link.Link` over one WebSocket.

    Messages that wait for the transport at the same time are sent in one write.

    :param stream: the byte stream, after the handshake.
    :param protocol: the protocol state of ``websockets``, open.
    :param codec: encodes and decodes the link's messages.
    :param peer: the peer's address, for logs.
    :param timing: when the peer is checked and counts as silent.
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
        self.close_reason = ""
        self._stream = stream
        self._protocol = protocol
        self._codec = codec
        self._received_frames: deque[Frame] = deque()
        self._decoded_messages: deque[Message] = deque()
        self._unsent_data: list[bytes] = []
        self._write_lock = anyio.Lock(fast_acquire=True)
        # The peer's first messages may have arrived together with its handshake.
        self._collect_frames()

    async def send(self, message: Message) -> None:
        """Send a message; return once the transport accepted it.

        :raises LinkClosed: when the link is closed; the message may or may not arrive.
        """
        await self.send_all((message,))

    async def send_all(self, messages: Sequence[Message]) -> None:
        """Send messages in one frame; return once the transport accepted them.

        :raises LinkClosed: when the link is closed; the messages may or may not arrive.
        """
        if self.close_reason or self._protocol.state is not State.OPEN:
            raise LinkClosed(self.close_reason or "closing")
        self._protocol.send_binary(self._codec.encode_all(messages))
        await self._flush()

    async def receive(self) -> Message:
        """Return the next message.

        :raises LinkClosed: when the link is closed, or the peer sent a malformed message.
        """
        while not self._decoded_messages:
            while self._received_frames:
                frame = self._received_frames.popleft()
                if frame.opcode is Opcode.BINARY:
                    self._decoded_messages.extend(await self._decode(bytes(frame.data)))
            if not self._decoded_messages:
                await self._receive_frames()
        return self._decoded_messages.popleft()

    async def aclose(self) -> None:
        """Send a close frame if the transport still accepts it, then close; safe to call again."""
        if not self.close_reason:
            with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                if self._protocol.state is State.OPEN:
                    self._protocol.send_close(1000)
                await self._flush_unless_closed()
        await self._abort("closed here")

    async def keep_alive(self) -> None:
        """Ping a silent peer, and close the link after too long a silence; return once it is closed.

        A peer that sends anything needs no ping. The accepting side begins half an interval later, so
        that usually only one side of a link pings.
        """
        if self._protocol.side is Side.SERVER:
            await anyio.sleep(self.timing.heartbeat_interval_s / 2)
        while not self.close_reason and self._protocol.state is State.OPEN:
            await anyio.sleep(self.timing.heartbeat_interval_s)
            silent_s = anyio.current_time() - self.last_received_at
            if silent_s > self.timing.silence_timeout_s:
                await self._abort("mute")
            elif (
                silent_s >= self.timing.ping_after_s
                and not self.close_reason
                and not self._write_lock.locked()
            ):
                self._protocol.send_ping(b"")
                await self._flush_unless_closed()

    async def _decode(self, data: bytes) -> list[Message]:
        """Decode the messages of one frame; a malformed one closes the link."""
        try:
            return self._codec.decode_all(data)
        except MalformedMessageError as error:
            await self._abort(f"malformed message: {error}")
            raise LinkClosed(self.close_reason) from error

    async def _receive_frames(self) -> None:
        """Pass the next bytes to the protocol, and send the replies that it requires."""
        if self.close_reason:
            raise LinkClosed(self.close_reason)
        try:
            data = await self._stream.receive(RECEIVE_BYTES)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            await self._abort("closed by peer")
            raise LinkClosed(self.close_reason) from error
        self.last_received_at = anyio.current_time()
        self._protocol.receive_data(data)
        self._collect_frames()
        replies = self._protocol.data_to_send()
        if replies:
            self._unsent_data.extend(replies)
            await self._flush_unless_closed()
        if self._protocol.state is not State.OPEN and not self._received_frames:
            await self._abort("closed by peer")

    def _collect_frames(self) -> None:
        """Collect the frames that the protocol has parsed."""
        read = self._protocol.events_received()
        self._received_frames.extend(event for event in read if isinstance(event, Frame))

    async def _flush(self) -> None:
        """Write all unsent data; if there is none, another task's write has included it."""
        self._unsent_data.extend(self._protocol.data_to_send())
        async with self._write_lock:
            if not self._unsent_data:
                return
            data = b"".join(self._unsent_data)
            self._unsent_data.clear()
            try:
                await self._stream.send(data)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
                await self._abort("closed by peer")
                raise LinkClosed(self.close_reason) from error
            except anyio.get_cancelled_exc_class():
                # A cancelled write may have sent part of a frame, so the stream can't be used further.
                await self._abort("write cancelled")
                raise

    async def _flush_unless_closed(self) -> None:
        """Write all unsent data; leave it to the next call to report a closed link."""
        try:
            await self._flush()
        except LinkClosed:
            return

    async def _abort(self, reason: str) -> None:
        """Close the transport at once and record the reason, unless one is recorded."""
        self.close_reason = self.close_reason or reason
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)
