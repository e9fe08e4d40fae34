"""Non-idempotent requests run at most once, and resends get the correct outcome or verdict."""

from __future__ import annotations

import anyio

from bergamotchute_daemon.exchange import Exchange
from bergamotchute_model.commands import SettleClaim, TakeClaim
from bergamotchute_model.identifiers import AttemptId
from bergamotchute_model.problem import ProblemCode
from bergamotchute_model.verdict import Verdict
from support.request_path import RequestPath, ScriptedEndpoint, run_request_path


def body_of(exchange: Exchange) -> bytes:
    assert exchange.answer.ended, exchange.answer.problem
    return b"".join(data for data, _ in exchange.answer.chunks)


def create_second_entry(path: RequestPath) -> RequestPath:
    """Return another entry that uses the same agents and the same quorum."""
    other = RequestPath(path.tasks, path.network, path.state, "entry-2")
    for name, agent in path.agents.items():
        address = next(key[0] for key, value in path.network.handlers.items() if value[0] == name)
        other.announce(name, agent.attempt_table.incarnation, address, agent.slots)
    return other


def test_resend_through_another_entry_gets_the_first_outcome() -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("desk-1", ScriptedEndpoint())
        first = path.order("r1", "key")
        await path.claimed_runner.run(first)
        await anyio.sleep(1)
        other = create_second_entry(path)
        resend = other.order("r2", "key")
        await other.claimed_runner.run(resend)
        assert body_of(resend) == body_of(first)
        assert path.endpoints["desk-1"].executions == ["r1"]

    run_request_path(body)


def test_resend_waits_for_the_running_attempt() -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("desk-1", ScriptedEndpoint(order_duration_s=3.0))
        other = create_second_entry(path)
        first, resend = path.order("r1", "key"), other.order("r2", "key")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.claimed_runner.run, first)
            await anyio.sleep(0.5)
            tasks.start_soon(other.claimed_runner.run, resend)
        assert body_of(resend) == body_of(first)
        assert path.endpoints["desk-1"].executions == ["r1"]

    run_request_path(body)


def test_same_key_with_another_body_is_refused() -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("desk-1", ScriptedEndpoint())
        await path.claimed_runner.run(path.order("r1", "key"))
        other = path.order("r2", "key", b'{"boxes": 2}')
        await path.claimed_runner.run(other)
        assert other.answer.problem is not None
        assert other.answer.problem.code is ProblemCode.IDEMPOTENCY_KEY_REUSED
        assert path.endpoints["desk-1"].executions == ["r1"]

    run_request_path(body)


def test_unreachable_endpoint_is_replaced_by_another() -> None:
    async def body(path: RequestPath) -> None:
        unreachable, healthy = ScriptedEndpoint(unreachable=True), ScriptedEndpoint()
        await path.add_agent("desk-1", unreachable)
        await path.add_agent("desk-2", healthy)
        for number in range(4):
            order = path.order(f"r{number}", f"key-{number}")
            await path.claimed_runner.run(order)
            assert body_of(order)
        assert healthy.executions == ["r0", "r1", "r2", "r3"]

    run_request_path(body)


def test_order_with_broken_endpoint_connection_is_never_run_again() -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("desk-1", ScriptedEndpoint(failing_order_count=1))
        for request_id in ("r1", "r2"):
            order = path.order(request_id, "key")
            await path.claimed_runner.run(order)
            assert order.answer.problem is not None
            assert order.answer.problem.code is ProblemCode.OUTCOME_UNKNOWN
            assert order.answer.problem.verdict is Verdict.MAY_HAVE_RUN
        assert path.endpoints["desk-1"].executions == ["r1"]

    run_request_path(body)


def test_order_outcome_is_queried_after_a_silent_link_is_replaced() -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("desk-1", ScriptedEndpoint(order_duration_s=1.0))
        order = path.order("r1", "key")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.claimed_runner.run, order)
            await anyio.sleep(0.5)
            path.network.cut("entry-1", "desk-1")
            await anyio.sleep(10)
            path.network.reconnect("entry-1", "desk-1")
        assert body_of(order) == b'{"order": 1}'
        assert path.endpoints["desk-1"].executions == ["r1"]

    run_request_path(body)


def test_order_outcome_is_unknown_after_an_agent_restart() -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("desk-1", ScriptedEndpoint(order_duration_s=5.0))
        order = path.order("r1", "key")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.claimed_runner.run, order)
            await anyio.sleep(0.5)
            path.network.stop_serving("desk-1")
            await path.add_agent("desk-1", ScriptedEndpoint(), incarnation="2")
        assert order.answer.problem is not None
        assert order.answer.problem.code is ProblemCode.OUTCOME_UNKNOWN
        resend = path.order("r2", "key")
        await path.claimed_runner.run(resend)
        assert path.endpoints["desk-1"].executions == []

    run_request_path(body)


def test_claim_of_an_entry_lost_before_dispatch_is_released_and_runs_once() -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("desk-1", ScriptedEndpoint())
        order = path.order("r1", "key")
        lost_attempt = AttemptId("r0", 1, "desk-1", "1", "entry-9-e1", 5)
        request = order.request
        await path.propose(TakeClaim(request.claim_key(), request.digest(), lost_attempt), 1.0)
        await path.claimed_runner.run(order)
        assert body_of(order)
        assert path.endpoints["desk-1"].executions == ["r1"]
        assert path.agents["desk-1"].attempt_table.get_or_bar(lost_attempt).state == "barred"

    run_request_path(body)


def test_claim_of_an_entry_lost_after_dispatch_gives_its_outcome() -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("desk-1", ScriptedEndpoint(order_duration_s=2.0))
        failing_entry = create_second_entry(path)
        await anyio.sleep(0.1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(failing_entry.claimed_runner.run, failing_entry.order("r1", "key"))
            await anyio.sleep(1.0)
            tasks.cancel_scope.cancel()
        path.network.stop_serving("entry-2")
        resend = path.order("r2", "key")
        await path.claimed_runner.run(resend)
        assert body_of(resend) == b'{"order": 1}'
        assert path.endpoints["desk-1"].executions == ["r1"]

    run_request_path(body)


def test_order_is_not_dispatched_without_a_quorum() -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("desk-1", ScriptedEndpoint())
        path.is_control_cut_off = True
        order = path.order("r1", "key")
        await path.claimed_runner.run(order)
        assert order.answer.problem is not None
        assert order.answer.problem.code is ProblemCode.CONTROL_UNAVAILABLE
        assert order.answer.problem.retry
        assert path.endpoints["desk-1"].executions == []
        path.is_control_cut_off = False
        await path.claimed_runner.run(path.order("r2", "key"))
        assert path.endpoints["desk-1"].executions == ["r2"]

    run_request_path(body)


def test_order_that_ends_after_its_deadline_is_recorded() -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("desk-1", ScriptedEndpoint(order_duration_s=4.0))
        order = path.order("r1", "key", deadline_s=1.0)
        await path.claimed_runner.run(order)
        assert order.answer.problem is not None
        assert order.answer.problem.verdict is Verdict.MAY_HAVE_RUN
        await anyio.sleep(5.0)
        assert any(isinstance(command, SettleClaim) for command in path.proposals)
        resend = path.order("r2", "key")
        await path.claimed_runner.run(resend)
        assert body_of(resend) == b'{"order": 1}'
        assert path.endpoints["desk-1"].executions == ["r1"]

    run_request_path(body)


def test_resend_of_a_settled_order_gets_its_outcome_without_an_endpoint() -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("desk-1", ScriptedEndpoint())
        first = path.order("r1", "key")
        await path.claimed_runner.run(first)
        await anyio.sleep(1)
        path.network.stop_serving("desk-1")
        path.scheduling.on_endpoint_lapsed("desk-1")
        resend = path.order("r2", "key", deadline_s=1.0)
        await path.claimed_runner.run(resend)
        assert body_of(resend) == body_of(first)

    run_request_path(body)


def test_lost_agent_is_reported_soon_and_its_order_never_runs_again() -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("desk-1", ScriptedEndpoint(order_duration_s=5.0))
        await path.add_agent("desk-2", ScriptedEndpoint())
        path.scheduling.on_endpoint_lapsed("desk-2")
        order = path.order("r1", "key", deadline_s=60.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.claimed_runner.run, order)
            await anyio.sleep(0.5)
            path.network.stop_serving("desk-1")
            with anyio.fail_after(12.0):
                await order.answer.wait_for_end()
        assert order.answer.problem is not None
        assert order.answer.problem.verdict is Verdict.MAY_HAVE_RUN
        assert order.answer.problem.retry
        assert path.endpoints["desk-2"].executions == []

    run_request_path(body)


def test_lost_quorum_does_not_delay_the_answer_past_the_deadline() -> None:
    async def body(path: RequestPath) -> None:
        await path.add_agent("desk-1", ScriptedEndpoint())
        path.is_control_cut_off = True
        order = path.order("r1", "key", deadline_s=1.0)
        with anyio.fail_after(2.0):
            await path.claimed_runner.run(order)
        assert order.answer.problem is not None
        assert order.answer.problem.verdict is Verdict.MAY_HAVE_RUN
        assert path.endpoints["desk-1"].executions == []

    run_request_path(body)
