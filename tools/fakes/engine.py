"""A fake model engine over HTTP: ``python -m tools.fakes.engine --bind 127.0.0.1:9001``.

``POST /v1/chat/completions`` and ``POST /v1/completions`` answer in the OpenAI form, streamed with
one token a chunk when the body says ``"stream": true``. The text follows from the prompt alone, so
that any engine gives the same. Body fields read: ``max_tokens``, ``priority`` (0 first),
``resume`` (``{"offset": n, "text": "..."}``: go on after ``n`` tokens). ``x-request-id`` and
``x-attempt`` go to the journal. ``GET /load`` tells how busy it is. ``POST /admin/stall``
(``{"seconds": s}``), ``/admin/speed`` (``{"tokens_per_s": v}``) and ``/admin/die`` bring faults.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import os
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio

from tools.fakes._http import (
    Message,
    Receive,
    Request,
    Send,
    read_request,
    send_head,
    send_json,
    serve_forever,
    until_disconnect,
)
from tools.fakes.journal import ExecutionJournal

DEFAULT_MAX_TOKENS = 32
CALL_CHARACTERS = 100
WORDS = [
    "in",
    "the",
    "order",
    "of",
    "service",
    "we",
    "give",
    "thanks",
    "for",
    "a",
    "long",
    "and",
    "patient",
    "life",
    "and",
    "the",
    "hymn",
    "that",
    "follows",
    "was",
    "chosen",
    "by",
    "those",
    "who",
    "knew",
    "the",
    "sound",
    "of",
    "bells",
    "over",
    "bergamo",
    "at",
    "evening",
    "when",
    "bronze",
    "cools",
    "slow",
]
PATHS = ("/v1/chat/completions", "/v1/completions")


def token_text(prompt: str, index: int) -> str:
    """Return token ``index`` of the answer to ``prompt``; the same at every engine."""
    digest = hashlib.sha256(f"{index}\0{prompt}".encode()).digest()
    return WORDS[digest[0] % len(WORDS)] + " "


def answer_text(prompt: str, tokens: int) -> str:
    """Return the whole answer of ``tokens`` tokens."""
    return "".join(token_text(prompt, index) for index in range(tokens))


def prompt_of(body: dict[str, Any]) -> str:
    """Return the prompt of a chat or completion body as one text."""
    messages = body.get("messages")
    if isinstance(messages, list):
        return "\n".join(str(message.get("content", "")) for message in messages)
    return str(body.get("prompt", ""))


@dataclass(eq=False)
class Waiting:
    """A request that waits for a slot; the lowest ``rank`` goes first."""

    rank: tuple[int, int]
    number: int
    admitted: anyio.Event = field(default_factory=anyio.Event)


class FakeEngine:
    """Executes requests token by token in a bounded number of slots.

    :param slots: requests that run side by side.
    :param tokens_per_s: speed of each of them.
    :param stalled_until_s: no token comes before this moment of the runtime clock.
    """

    def __init__(self, slots: int, tokens_per_s: float, journal: ExecutionJournal) -> None:
        self.slots = slots
        self.tokens_per_s = tokens_per_s
        self.journal = journal
        self.running: dict[int, int] = {}
        self.waiting: list[Waiting] = []
        self.arrivals = 0
        self.load_sequence = 0
        self.stalled_until_s = 0.0

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection scope."""
        if scope["type"] != "http":
            return
        request = await read_request(scope, receive)
        if request.method == "POST" and request.path in PATHS:
            await self.answer(request, receive, send)
        elif request.path == "/load":
            await send_json(send, 200, self.load())
        elif request.method == "POST" and request.path.startswith("/admin/"):
            await self.administer(request, send)
        else:
            await send_json(send, 404, {"error": {"message": f"no {request.path} here"}})

    def load(self) -> dict[str, int]:
        """Return the load report."""
        self.load_sequence += 1
        return {
            "sequence": self.load_sequence,
            "running": len(self.running),
            "waiting": len(self.waiting),
            "slots": self.slots,
            "work_left_tokens": sum(self.running.values()),
        }

    async def administer(self, request: Request, send: Send) -> None:
        """Bring about a fault or change the speed."""
        body = request.json()
        if request.path == "/admin/die":
            os._exit(9)
        if request.path == "/admin/stall":
            self.stalled_until_s = anyio.current_time() + float(body.get("seconds", 1.0))
        if request.path == "/admin/speed":
            self.tokens_per_s = float(body["tokens_per_s"])
        await send_json(send, 200, {"ok": True})

    async def answer(self, request: Request, receive: Receive, send: Send) -> None:
        """Execute a request and stop when its caller goes away."""
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_on_disconnect, receive, group.cancel_scope)
            await self.execute(request, send)
            group.cancel_scope.cancel()

    async def execute(self, request: Request, send: Send) -> None:
        """Run one request through a slot, journalled from its first step to its last."""
        body = request.json()
        self.arrivals += 1
        number = self.arrivals
        await self.enter_slot((int(body.get("priority", 0)), number), number)
        identity = (request.headers.get("x-request-id", ""), request.headers.get("x-attempt", ""))
        offset = int(body.get("resume", {}).get("offset", 0))
        call = prompt_of(body)[:CALL_CHARACTERS]
        self.journal.write("start", *identity, execution=number, call=call, offset=offset)
        outcome = "cancelled"
        try:
            await self.generate(number, body, offset, send)
            outcome = "completed"
        finally:
            self.journal.write("end", *identity, execution=number, outcome=outcome)
            self.leave_slot(number)

    async def enter_slot(self, rank: tuple[int, int], number: int) -> None:
        """Wait for a free slot, the lowest rank first."""
        if len(self.running) >= self.slots:
            place = Waiting(rank, number)
            self.waiting.append(place)
            try:
                await place.admitted.wait()
            except BaseException:
                self.give_up(place)
                raise
        self.running[number] = 0

    def give_up(self, place: Waiting) -> None:
        """Forget one who waited, or free the slot that it was just given."""
        if place in self.waiting:
            self.waiting.remove(place)
        else:
            self.leave_slot(place.number)

    def leave_slot(self, number: int) -> None:
        """Free a slot and hand it to the first who waits."""
        self.running.pop(number, None)
        if self.waiting:
            first = min(self.waiting, key=lambda place: place.rank)
            self.waiting.remove(first)
            self.running[first.number] = 0
            first.admitted.set()

    async def generate(self, number: int, body: dict[str, Any], offset: int, send: Send) -> None:
        """Send the answer, streamed or whole."""
        prompt = prompt_of(body)
        tokens = int(body.get("max_tokens", DEFAULT_MAX_TOKENS))
        chat = "messages" in body
        if body.get("stream"):
            await send_head(send, 200, "text/event-stream")
            async for text in self.tokens(number, prompt, offset, tokens):
                await _send_event(send, json.dumps(_chunk(text, chat)))
            await _send_event(send, "[DONE]")
            await send({"type": "http.response.body", "body": b""})
            return
        text = "".join([text async for text in self.tokens(number, prompt, offset, tokens)])
        await send_json(send, 200, _whole(text, chat, tokens))

    async def tokens(
        self, number: int, prompt: str, offset: int, tokens: int
    ) -> AsyncIterator[str]:
        """Yield the tokens from ``offset`` on at the engine's speed."""
        for index in range(offset, tokens):
            self.running[number] = tokens - index
            await anyio.sleep(1 / self.tokens_per_s)
            await anyio.sleep_until(self.stalled_until_s)
            yield token_text(prompt, index)


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    await until_disconnect(receive)
    scope.cancel()


async def _send_event(send: Send, data: str) -> None:
    body = f"data: {data}\n\n".encode()
    await send({"type": "http.response.body", "body": body, "more_body": True})


def _chunk(text: str, chat: bool) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": None}
    choice.update({"delta": {"content": text}} if chat else {"text": text})
    kind = "chat.completion.chunk" if chat else "text_completion"
    return {"id": "fake", "object": kind, "choices": [choice]}


def _whole(text: str, chat: bool, tokens: int) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    choice.update({"message": {"role": "assistant", "content": text}} if chat else {"text": text})
    kind = "chat.completion" if chat else "text_completion"
    usage = {"completion_tokens": tokens}
    return {"id": "fake", "object": kind, "choices": [choice], "usage": usage}


def main() -> None:
    """Serve one fake engine until told to stop."""
    parser = argparse.ArgumentParser(description="A fake model engine.")
    parser.add_argument("--bind", required=True, help="HOST:PORT to listen on")
    parser.add_argument("--name", default="engine", help="its name in the journal")
    parser.add_argument("--slots", type=int, default=4, help="requests run side by side")
    parser.add_argument("--tokens-per-s", type=float, default=50.0, help="speed of each request")
    parser.add_argument("--journal", type=Path, help="file of executions")
    options = parser.parse_args()
    journal = ExecutionJournal(options.name, options.journal)
    serve_forever(FakeEngine(options.slots, options.tokens_per_s, journal), options.bind)


if __name__ == "__main__":
    main()
