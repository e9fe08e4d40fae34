"""How often the two ends of a quiet link ping each other."""

from __future__ import annotations

import anyio
import trio
import trio.testing
from anyio.abc import ByteReceiveStream, ByteSendStream, ByteStream
from anyio.streams.stapled import StapledByteStream
from websockets.protocol import Protocol, Side, State

from bergamotchute_model.node_messages import NodeMessage
from bergamotchute_wire.link import LinkClosed
from bergamotchute_wire.message_codec import MessageCodec
from bergamotchute_wire.web_socket_link import LinkTiming, WebSocketLink

DURATION_S = 40.0
DELAY_S = 0.001
TIMING = LinkTiming(heartbeat_interval_s=0.4, ping_after_s=0.35, silence_timeout_s=1.3)


class _Pipe(ByteSendStream, ByteReceiveStream):
    """One direction of a connection, with a delay."""

    def __init__(self) -> None:
        self.sender, self.receiver = anyio.create_memory_object_stream[bytes](1000)
        self.writes = 0

    async def send(self, item: bytes) -> None:
        self.writes += 1
        await self.sender.send(item)

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        data = await self.receiver.receive()
        await anyio.sleep(DELAY_S)
        return data

    async def aclose(self) -> None:
        self.sender.close()


def test_both_ends_of_a_quiet_link_ping_each_other_at_the_same_time() -> None:
    pipes = _Pipe(), _Pipe()

    def open_link(side: Side, stream: ByteStream) -> WebSocketLink[NodeMessage]:
        protocol = Protocol(side, state=State.OPEN)
        return WebSocketLink(stream, protocol, MessageCodec(NodeMessage), "peer", TIMING)

    async def read(link: WebSocketLink[NodeMessage]) -> None:
        try:
            await link.receive()
        except LinkClosed as error:
            raise AssertionError(link.close_reason) from error

    async def main() -> None:
        there, back = pipes
        links = [
            open_link(Side.CLIENT, StapledByteStream(there, back)),
            open_link(Side.SERVER, StapledByteStream(back, there)),
        ]
        async with anyio.create_task_group() as tasks:
            for link in links:
                tasks.start_soon(link.keep_alive)
                tasks.start_soon(read, link)
            await anyio.sleep(DURATION_S)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    # A ping of one end and the answer of the other, once an interval.
    assert sum(pipe.writes for pipe in pipes) <= 2 * DURATION_S / TIMING.heartbeat_interval_s + 2
