"""The fakes keep the rules that checkers rely on."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import httpx
import trio
from tools.fakes.engine import FakeEngine, answer_text
from tools.fakes.journal import ExecutionJournal
from tools.fakes.order_service import FakeOrderService
from trio.testing import MockClock


def run(body: Callable[[], Awaitable[None]]) -> None:
    """Run ``body`` under the paused clock."""
    trio.run(body, clock=MockClock(autojump_threshold=0))


def client_of(app: object) -> httpx.AsyncClient:
    transport = httpx.ASGITransport(app=app)  # type: ignore[arg-type]
    return httpx.AsyncClient(transport=transport, base_url="http://fake")


def streamed(response: httpx.Response) -> str:
    lines = [line[6:] for line in response.text.split("\n\n") if line.startswith("data: {")]
    return "".join(json.loads(line)["choices"][0]["text"] for line in lines)


def test_a_resumed_stream_goes_on_with_the_same_text() -> None:
    async def body() -> None:
        engine = FakeEngine(1, 10, ExecutionJournal("one", None))
        ask = {"prompt": "Ave", "max_tokens": 9, "stream": True}
        async with client_of(engine) as client:
            whole = await client.post("/v1/completions", json=ask)
            resume = {"offset": 4, "text": answer_text("Ave", 4)}
            rest = await client.post("/v1/completions", json={**ask, "resume": resume})
        assert streamed(whole) == answer_text("Ave", 9)
        assert answer_text("Ave", 4) + streamed(rest) == streamed(whole)

    run(body)


def test_slots_bound_what_runs_and_priority_goes_first() -> None:
    async def body() -> None:
        journal = ExecutionJournal("one", None)
        engine = FakeEngine(1, 10, journal)

        async def ask(name: str, priority: int) -> None:
            value = {"prompt": name, "max_tokens": 5, "priority": priority}
            headers = {"x-request-id": name}
            await client.post("/v1/completions", json=value, headers=headers)

        async with client_of(engine) as client, trio.open_nursery() as nursery:
            for name, priority in (("first", 0), ("later", 5), ("urgent", 1)):
                nursery.start_soon(ask, name, priority)
                await trio.sleep(0.01)
            assert engine.load()["waiting"] == 2
        order = [line["request_id"] for line in journal.lines if line["event"] == "start"]
        assert order == ["first", "urgent", "later"]

    run(body)


def test_each_order_call_executes() -> None:
    async def body() -> None:
        journal = ExecutionJournal("orders", None)
        service = FakeOrderService("P", 1.0, journal)
        async with client_of(service) as client:
            numbers = {(await client.post("/orders", json={})).json()["order"] for _ in range(2)}
            status = await client.get("/orders/P-0002")
        assert numbers == {"P-0001", "P-0002"}
        assert status.status_code == 200
        assert [line["event"] for line in journal.lines] == ["start", "end"] * 2

    run(body)
