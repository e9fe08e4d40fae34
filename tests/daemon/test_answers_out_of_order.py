"""Lost, repeated or foreign answer messages don't corrupt a caller's answer."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import pytest

from bergamotchute_daemon.endpoint_connector import AnswerMessage
from bergamotchute_model.attempt_messages import ResponseChunk, ResponseEnd, ResponseHead
from bergamotchute_model.identifiers import AttemptId
from support.request_path import RequestPath, ScriptedEndpoint, run_request_path, words

ALL_WORDS = [f"w{number}" for number in range(20)]

MessageFault = Callable[[AnswerMessage], list[AnswerMessage]]


def drop_first(kind: type) -> MessageFault:
    """Return a fault that drops the first message of a type."""
    lost: list[AnswerMessage] = []

    def drop(message: AnswerMessage) -> list[AnswerMessage]:
        if isinstance(message, kind) and not lost:
            lost.append(message)
            return []
        return [message]

    return drop


def repeat_all(message: AnswerMessage) -> list[AnswerMessage]:
    """Deliver every message twice."""
    return [message, message]


def add_foreign(message: AnswerMessage) -> list[AnswerMessage]:
    """Deliver a message of another attempt before each message."""
    foreign = AttemptId("other", 1, "runner-1", "0", "entry-9", 3)
    return [ResponseChunk(foreign, 0, b"data: foreign\n\n", 1), message]


@pytest.mark.parametrize(
    "inject_fault",
    [
        drop_first(ResponseHead),
        drop_first(ResponseChunk),
        repeat_all,
        add_foreign,
    ],
    ids=["head lost", "chunk lost", "all repeated", "foreign"],
)
def test_stream_with_faulty_messages_arrives_complete_and_once(inject_fault: MessageFault) -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("runner-1", ScriptedEndpoint())
        connector = path.directory.find_connector("runner-1", "1")
        assert connector is not None
        deliver = connector.on_answer

        def on_answer(message: AnswerMessage) -> None:
            for delivered in inject_fault(message):
                deliver(delivered)

        connector.on_answer = on_answer  # type: ignore[method-assign]
        exchange = path.draft("r1")
        with anyio.fail_after(20.0):
            await path.request_runner.run_idempotent(exchange)
        assert exchange.answer.ended
        assert words(exchange) == ALL_WORDS

    run_request_path(body)


def test_end_without_a_head_does_not_complete_the_answer() -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("desk-1", ScriptedEndpoint())
        connector = path.directory.find_connector("desk-1", "1")
        assert connector is not None
        deliver = connector.on_answer

        def on_answer(message: AnswerMessage) -> None:
            if isinstance(message, ResponseEnd):
                deliver(ResponseEnd(message.attempt, 0))

        connector.on_answer = on_answer  # type: ignore[method-assign]
        order = path.order("r1", "key")
        await path.claimed_runner.run(order)
        assert order.answer.status == 201
        assert path.endpoints["desk-1"].executions == ["r1"]

    run_request_path(body)
