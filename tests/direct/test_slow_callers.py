"""A caller that reads slowly holds up neither its endpoint nor other callers, within a budget."""

from __future__ import annotations

import logging

import anyio
import pytest
from anyio.abc import SocketStream

from bergamotchute_wire.http1_server import ResponseWriter
from support.entry_fixture import (
    CallerResponse,
    EntryFixture,
    ReceivedRequest,
    chunked,
    event,
    run_with_entry,
    stream_head,
    wait_until,
)

EVENTS = 50
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))


async def send_stream(request: ReceivedRequest, stream: SocketStream) -> None:
    await stream.send(stream_head(request))
    for number in range(1, EVENTS + 1):
        await stream.send(chunked(event(number)))
    await stream.send(b"0\r\n\r\n")


def block_callers(monkeypatch: pytest.MonkeyPatch, count: int) -> anyio.Event:
    """Make the connections of the first callers take nothing until the returned event is set."""
    reads_on = anyio.Event()
    blocked: list[ResponseWriter] = []
    write_head, write_chunk = ResponseWriter.write_head, ResponseWriter.write_chunk

    async def record_and_write_head(writer: ResponseWriter, *head: object) -> None:
        if len(blocked) < count:
            blocked.append(writer)
        await write_head(writer, *head)  # type: ignore[arg-type]

    async def write_when_read(writer: ResponseWriter, data: bytes) -> None:
        if writer in blocked:
            await reads_on.wait()
        await write_chunk(writer, data)

    monkeypatch.setattr(ResponseWriter, "write_head", record_and_write_head)
    monkeypatch.setattr(ResponseWriter, "write_chunk", write_when_read)
    monkeypatch.setattr(ResponseWriter, "is_writable", lambda writer: writer not in blocked)
    return reads_on


def test_endpoint_waits_for_a_slow_caller(monkeypatch: pytest.MonkeyPatch) -> None:
    """The endpoint cut off a stream that stayed unread, and its slot was taken all the time."""

    async def body(entry: EntryFixture) -> None:
        reads_on = block_callers(monkeypatch, 1)
        endpoint = await entry.add_endpoint("runner-1", send_stream)
        responses: list[CallerResponse] = []

        async def send() -> None:
            responses.append(await entry.send_request("stream"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            unread = entry.forwarder.unread
            await wait_until(lambda: unread.budget.held == len(WHOLE_STREAM))
            await wait_until(lambda: not entry.placement.load(endpoint).in_flight)
            assert (await entry.send_request("stream")).body == WHOLE_STREAM
            reads_on.set()
        assert (responses[0].body, responses[0].whole) == (WHOLE_STREAM, True)
        assert not unread.budget.held
        assert not unread.behind

    run_with_entry(body)


def test_callers_together_exceed_the_budget_or_the_wrong_one_is_cut_off(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Memory was bounded by the buffers of connections only, whatever their number."""
    caplog.set_level(logging.INFO)

    async def body(entry: EntryFixture) -> None:
        reads_on = block_callers(monkeypatch, 2)
        await entry.add_endpoint("runner-1", send_stream)
        unread = entry.forwarder.unread
        unread.budget.limit_bytes = len(WHOLE_STREAM) + 10
        responses: dict[str, CallerResponse] = {}

        async def send(name: str) -> None:
            responses[name] = await entry.send_request("stream", bergamotchute_request_id=name)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, "slowest")
            await wait_until(lambda: unread.budget.held == len(WHOLE_STREAM))
            tasks.start_soon(send, "slow")
            await wait_until(lambda: "slowest" in responses)
            await send("reading")
            assert unread.budget.held <= unread.budget.limit_bytes
            reads_on.set()
        wholes = {name: each.whole for name, each in responses.items()}
        assert wholes == {"slowest": False, "slow": True, "reading": True}
        assert responses["slow"].body == WHOLE_STREAM
        names = [each.getMessage() for each in caplog.records]
        assert names.count("caller_too_slow") == unread.gauges()["slow_callers_cut_total"] == 1

    run_with_entry(body)
