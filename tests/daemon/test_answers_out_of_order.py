"""Answer messages that are late, repeated, missing or foreign never reach a caller's answer."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import pytest

from bergamotchute_daemon.endpoint_connector import AnswerMessage
from bergamotchute_model.attempt_messages import AnswerChunk, AnswerEnd, AnswerHead
from bergamotchute_model.identifiers import AttemptId
from support.request_path import RequestPath, ScriptedEndpoint, run_request_path, words

WHOLE = [f"w{number}" for number in range(20)]

Tamper = Callable[[AnswerMessage], list[AnswerMessage]]


def drop_first(kind: type) -> Tamper:
    """Return a tamper that loses the first message of a kind."""
    lost: list[AnswerMessage] = []

    def tamper(message: AnswerMessage) -> list[AnswerMessage]:
        if isinstance(message, kind) and not lost:
            lost.append(message)
            return []
        return [message]

    return tamper


def repeat_all(message: AnswerMessage) -> list[AnswerMessage]:
    """Deliver every message twice."""
    return [message, message]


def add_foreign(message: AnswerMessage) -> list[AnswerMessage]:
    """Deliver a message of another attempt before each."""
    foreign = AttemptId("other", 1, "runner-1", "0", "entry-9", 3)
    return [AnswerChunk(foreign, 0, b"data: foreign\n\n", 1), message]


@pytest.mark.parametrize(
    "tamper",
    [
        drop_first(AnswerHead),
        drop_first(AnswerChunk),
        repeat_all,
        add_foreign,
    ],
    ids=["head lost", "chunk lost", "all repeated", "foreign"],
)
def test_a_tampered_stream_still_arrives_whole_and_once(tamper: Tamper) -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("runner-1", ScriptedEndpoint())
        connector = path.directory.find_connector("runner-1", "1")
        assert connector is not None
        take = connector.on_answer

        def on_answer(message: AnswerMessage) -> None:
            for one in tamper(message):
                take(one)

        connector.on_answer = on_answer  # type: ignore[method-assign]
        exchange = path.draft("r1")
        with anyio.fail_after(20.0):
            await path.request_runner.run_idempotent(exchange)
        assert exchange.answer.ended
        assert words(exchange) == WHOLE

    run_request_path(body)


def test_an_end_without_a_head_is_no_answer() -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("desk-1", ScriptedEndpoint())
        connector = path.directory.find_connector("desk-1", "1")
        assert connector is not None
        take = connector.on_answer

        def on_answer(message: AnswerMessage) -> None:
            if isinstance(message, AnswerEnd):
                take(AnswerEnd(message.attempt, 0))

        connector.on_answer = on_answer  # type: ignore[method-assign]
        order = path.order("r1", "key")
        await path.claimed_runner.run(order)
        assert order.answer.status == 201
        assert path.endpoints["desk-1"].executions == ["r1"]

    run_request_path(body)
