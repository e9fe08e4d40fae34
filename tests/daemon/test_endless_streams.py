"""Engines that send bytes without end cost an agent and an entry bounded memory."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import pytest

from bergamotchute_wire.endpoint_client import EndpointRequest, EndpointResponse
from support.entry_fixture import wait_until
from support.request_path import (
    SSE_HEADERS,
    RequestPath,
    ScriptedEndpoint,
    run_request_path,
    token_event,
)

PIECE_BYTES = 65_536
MANY_BYTES = 50_331_648
"""What the engine sends if nobody stops it."""

MAX_KEPT_BYTES = 20_971_520
"""A few million bytes over the largest answer that is kept, for what is on its way."""


@dataclass
class EndlessEndpoint(ScriptedEndpoint):
    """An endpoint that answers with the same piece again and again.

    :param piece: returns the bytes to send.
    :param most_sent_bytes: the most that it got rid of in one response.
    """

    piece: Callable[[], bytes] = bytes
    most_sent_bytes: int = 0

    @asynccontextmanager
    async def call(self, request: EndpointRequest) -> AsyncIterator[EndpointResponse]:
        yield EndpointResponse(200, SSE_HEADERS, self._send_endlessly())

    async def _send_endlessly(self) -> AsyncIterator[bytes]:
        sent_bytes = 0
        while sent_bytes < MANY_BYTES:
            await anyio.sleep(0.001)
            data = self.piece()
            yield data
            sent_bytes += len(data)
            self.most_sent_bytes = max(self.most_sent_bytes, sent_bytes)


def send_events() -> bytes:
    return token_event("x" * PIECE_BYTES)


def send_part_of_an_event() -> bytes:
    return b"data: " + b"x" * PIECE_BYTES


@pytest.mark.parametrize("piece", [send_events, send_part_of_an_event])
def test_endless_stream_fills_the_memory(piece: Callable[[], bytes]) -> None:
    """An entry kept all events of a stream, and an agent all bytes of an event."""

    async def body(path: RequestPath) -> None:
        endpoint = EndlessEndpoint(piece=piece)
        await path.add_agent("runner-1", endpoint)
        exchange = path.draft("r1", deadline_s=120.0)

        async def read() -> None:
            async for _ in exchange.answer.read():
                pass

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            await path.request_runner.run_idempotent(exchange)
        assert endpoint.most_sent_bytes <= MAX_KEPT_BYTES
        assert exchange.answer.total_bytes <= MAX_KEPT_BYTES
        assert exchange.answer.problem is not None
        assert not path.request_runner.held.held
        with anyio.fail_after(5):
            await wait_until(lambda: not path.agents["runner-1"].running_attempts)

    run_request_path(body)
