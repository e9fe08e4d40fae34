"""Callers and operators of a run: they send, read what comes, and write the history."""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

import anyio

from tools.fakes.engine import answer_text
from tools.proof.asgi_client import AsgiAnswer, AsgiRequest, ConnectionBroke, open_call
from tools.proof.checkers import ANSWER_SLACK_S
from tools.proof.files import team_token
from tools.proof.history import CallEnded, CallSent, ChangeAccepted, Ending
from tools.proof.scenario import Call
from tools.proof.world import ADMIN_TOKEN, World

PATIENCE_S = 2 * ANSWER_SLACK_S
APPLY_TRIES = 40
APPLY_PAUSE_S = 0.5
PROBLEM_TYPE = "application/problem+json"


@dataclass
class Callers:
    """Sends the calls of a scenario.

    :param turns: calls without a named entry take the entries in turn.
    """

    world: World
    sendings: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    turns: int = 0

    async def send(self, call: Call) -> None:
        """Send one call and write down how it ended."""
        self.sendings[call.name] += 1
        number = self.sendings[call.name]
        entry = call.through or self._next_entry()
        now = anyio.current_time()
        key = f"key-{call.name}" if call.kind == "order" else ""
        expected = answer_text(call.name, call.tokens) if call.kind == "draft" else ""
        deadline_s = now + call.within_s
        history = self.world.history
        history.add(CallSent(now, call.name, number, entry, key, expected, deadline_s))
        ending = _Ending()
        with anyio.move_on_after(call.within_s + PATIENCE_S):
            await self._exchange(call, entry, ending)
        at_s = anyio.current_time()
        history.add(
            CallEnded(
                at_s, call.name, number, ending.kind, ending.verdict, ending.text, ending.code
            )
        )

    def _next_entry(self) -> str:
        running = self.world.running_entries() or list(self.world.scenario.entry_names)
        self.turns += 1
        return running[self.turns % len(running)]

    async def _exchange(self, call: Call, entry: str, ending: _Ending) -> None:
        """Send the request and follow its answer."""
        process = self.world.processes[entry]
        running = self.world.entry(entry)
        if running is None or process.tasks is None:
            ending.kind, ending.code = Ending.CUT, "connection_refused"
            return
        try:
            async with open_call(running.app, _request(call), process.tasks) as answer:
                await _follow(answer, ending, streamed=call.kind == "draft")
        except ConnectionBroke:
            ending.kind, ending.code = Ending.CUT, "connection_broke"


@dataclass
class _Ending:
    """How a call stands; until something else is known its caller left."""

    kind: Ending = Ending.LEFT
    verdict: str = ""
    text: str = ""
    code: str = ""

    def take_problem(self, kind: Ending, problem: dict[str, Any]) -> None:
        """Take what a problem document says."""
        self.kind, self.verdict, self.code = kind, problem["verdict"], problem["code"]


def _request(call: Call) -> AsgiRequest:
    headers = [
        ("authorization", f"Bearer {team_token(call.team)}"),
        ("content-type", "application/json"),
        ("x-deadline-s", str(call.within_s)),
    ]
    if call.kind == "check":
        path = f"/v1/services/{call.service}/orders/none"
        return AsgiRequest("GET", path, tuple(headers))
    if call.kind == "order":
        headers.append(("idempotency-key", f"key-{call.name}"))
        body = json.dumps({"call": call.name}).encode()
        return AsgiRequest("POST", f"/v1/services/{call.service}/orders", tuple(headers), body)
    fields = {
        "model": call.service,
        "messages": [{"role": "user", "content": call.name}],
        "max_tokens": call.tokens,
        "stream": True,
    }
    return AsgiRequest("POST", "/v1/chat/completions", tuple(headers), json.dumps(fields).encode())


async def _follow(answer: AsgiAnswer, ending: _Ending, *, streamed: bool) -> None:
    """Read an answer to its end."""
    is_problem = dict(answer.headers).get("content-type", "").startswith(PROBLEM_TYPE)
    data = b""
    async for chunk in answer.chunks:
        data += chunk
        if streamed and not is_problem:
            data = _take_events(data, ending)
            if ending.kind is not Ending.LEFT:
                return
    if is_problem:
        ending.take_problem(Ending.REFUSED, json.loads(data))
    elif streamed:
        ending.kind, ending.code = Ending.CUT, "stream_without_end"
    else:
        ending.kind, ending.verdict, ending.text = Ending.ANSWERED, "completed", data.decode()


def _take_events(data: bytes, ending: _Ending) -> bytes:
    """Take whole server-sent events; return the bytes of the one that has only begun."""
    *whole, rest = data.split(b"\n\n")
    for event in whole:
        lines = event.split(b"\n")
        value = b"".join(line[6:] for line in lines if line.startswith(b"data: "))
        if b"event: error" in lines:
            ending.take_problem(Ending.CUT, json.loads(value))
        elif value == b"[DONE]":
            ending.kind, ending.verdict = Ending.ANSWERED, "completed"
        elif value:
            ending.text += json.loads(value)["choices"][0]["delta"]["content"]
    return rest


@dataclass
class Operators:
    """Applies files, and applies them again while no answer comes.

    :param outcomes: outcomes by file name, in the order of the answers.
    """

    world: World
    outcomes: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))

    async def apply(self, name: str, text: str, through: str = "") -> dict[str, Any]:
        """Apply a file until there is an answer; return it, empty for none."""
        for attempt in range(APPLY_TRIES):
            running = self.world.running_entries()
            entry = through or (running[attempt % len(running)] if running else "")
            found = await self._apply_once(name, text, entry) if entry else {}
            if found:
                self._take(name, found)
                return found
            await anyio.sleep(APPLY_PAUSE_S)
        return {}

    async def _apply_once(self, name: str, text: str, entry: str) -> dict[str, Any]:
        running = self.world.entry(entry)
        tasks = self.world.processes[entry].tasks
        if running is None or tasks is None:
            return {}
        headers = (("authorization", f"Bearer {ADMIN_TOKEN}"),)
        request = AsgiRequest("PUT", f"/v1/admin/files/{name}", headers, text.encode())
        try:
            async with open_call(running.app, request, tasks) as answer:
                body = b"".join([chunk async for chunk in answer.chunks])
        except ConnectionBroke:
            return {}
        found: dict[str, Any] = json.loads(body)
        return found if "outcome" in found else {}

    def _take(self, name: str, found: dict[str, Any]) -> None:
        self.outcomes[name].append(found["outcome"])
        if found["outcome"] == "accepted":
            now = anyio.current_time()
            accepted = ChangeAccepted(
                now, found["revision"], name, found["number"], found["digest"]
            )
            self.world.history.add(accepted)
