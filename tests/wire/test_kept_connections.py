"""Calls on kept connections to endpoints that write a response once more."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from bergamotchute_model.identifiers import Address
from bergamotchute_wire.endpoint_client import EndpointRequest, http_endpoint_call
from bergamotchute_wire.persistent_connection import PersistentConnection

REFUSAL = b"HTTP/1.1 503 X\r\ncontent-length: 7\r\n\r\nrefused"
ANSWER = b"HTTP/1.1 200 X\r\ncontent-length: 4\r\n\r\ndone"


class RepeatingEndpoint:
    """Refuses the first call, writes the refusal once more, and answers all later calls.

    :param repeat_delay_s: when the refusal is repeated, in seconds after it was written.
    """

    def __init__(self, repeat_delay_s: float) -> None:
        self.repeat_delay_s = repeat_delay_s
        self.call_count = 0
        self.repeated = anyio.Event()

    async def serve(self, stream: SocketStream) -> None:
        try:
            while data := await stream.receive():
                if b"\r\n\r\n" in data:
                    await self._respond(stream)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def _respond(self, stream: SocketStream) -> None:
        self.call_count += 1
        if self.call_count > 1:
            await stream.send(ANSWER)
        elif self.repeat_delay_s:
            await stream.send(REFUSAL)
            await anyio.sleep(self.repeat_delay_s)
            await stream.send(REFUSAL)
        else:
            await stream.send(REFUSAL + REFUSAL)
        self.repeated.set()


def run_with_endpoint(
    repeat_delay_s: float, body: Callable[[RepeatingEndpoint, Address], Awaitable[None]]
) -> None:
    async def main() -> None:
        endpoint = RepeatingEndpoint(repeat_delay_s)
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            tasks.start_soon(listener.serve, endpoint.serve)
            address = Address(*listener.extra(SocketAttribute.local_address))
            with anyio.fail_after(20):
                await body(endpoint, address)
            tasks.cancel_scope.cancel()

    anyio.run(main)


@pytest.mark.parametrize("repeat_delay_s", [0.0, 0.05])
def test_order_to_a_rank_gets_the_refusal_of_an_earlier_one(repeat_delay_s: float) -> None:
    async def body(endpoint: RepeatingEndpoint, address: Address) -> None:
        connection = PersistentConnection(address)
        assert await connection.call("POST", "/order", b"{}", 5.0) == (503, b"refused")
        await endpoint.repeated.wait()
        await anyio.sleep(0.05)
        assert await connection.call("POST", "/order", b"{}", 5.0) == (200, b"done")

    run_with_endpoint(repeat_delay_s, body)


@pytest.mark.parametrize("repeat_delay_s", [0.0, 0.05])
def test_attempt_of_an_agent_gets_the_refusal_of_an_earlier_one(repeat_delay_s: float) -> None:
    async def body(endpoint: RepeatingEndpoint, address: Address) -> None:
        call = http_endpoint_call(f"http://{address}")
        bodies: list[bytes] = []
        for _ in range(2):
            request = EndpointRequest("POST", "/", (), b"{}", 5.0)
            async with call(request) as response:
                bodies.append(b"".join([chunk async for chunk in response.chunks]))
            await endpoint.repeated.wait()
            await anyio.sleep(0.05)
        assert bodies == [b"refused", b"done"]

    run_with_endpoint(repeat_delay_s, body)
