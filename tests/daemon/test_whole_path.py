"""Requests from caller to endpoint, with operator files distributed through relays."""

from __future__ import annotations

import anyio

from support.caller import ADMIN_TOKEN, Caller
from support.request_path import ScriptedEndpoint
from support.system import System, run_system, teams_file

ALL_WORDS = [f"w{number}" for number in range(20)]


def test_every_entry_streams_a_complete_answer() -> None:
    async def body(system: System) -> None:
        await system.start()
        for entry in range(3):
            answer = await system.caller(entry).draft()
            assert answer.status == 200
            assert answer.complete
            assert answer.words() == ALL_WORDS

    run_system(body)


def test_resend_through_another_entry_replays_the_order() -> None:
    async def body(system: System) -> None:
        await system.start()
        first = await system.caller(0).order("key")
        second = await system.caller(2).order("key")
        assert (first.status, second.status) == (201, 201)
        assert first.body == second.body
        assert second.headers["idempotency-replayed"] == "true"
        assert sum(len(endpoint.executions) for endpoint in system.endpoints.values()) == 1

    run_system(body)


def test_order_without_an_idempotency_key_is_refused() -> None:
    async def body(system: System) -> None:
        await system.start()
        answer = await system.caller(0).request("POST", "/v1/services/orders/orders", b"{}")
        assert answer.status == 400
        assert answer.json()["code"] == "idempotency_key_required"
        assert answer.json()["verdict"] == "not_run"

    run_system(body)


def test_unknown_token_is_refused() -> None:
    async def body(system: System) -> None:
        await system.start()
        unknown_caller = Caller(system.entries["entry-0"].app, "another-token-0123456789")
        assert (await unknown_caller.draft()).status == 401
        assert (await unknown_caller.request("GET", "/v1/admin/files")).status == 401
        assert (await unknown_caller.request("PUT", "/v1/admin/files/teams", b"x")).status == 401

    run_system(body)


def test_invalid_bodies_are_refused_with_their_status() -> None:
    async def body(system: System) -> None:
        await system.start()
        caller = system.caller(0)
        for text in (b"", b"{", b"[]", b'{"model": 3}', b'{"model":"booklets","stream":"yes"}'):
            answer = await caller.request("POST", "/v1/chat/completions", text)
            assert (answer.status, answer.json()["verdict"]) == (400, "not_run")
        answer = await caller.request("POST", "/v1/chat/completions", b"x" * 2_000_000)
        assert answer.status == 413
        answer = await caller.request("POST", "/v1/chat/completions", b'{"model":"none"}')
        assert answer.status == 404

    run_system(body)


def test_draining_a_runner_by_file_interrupts_no_stream() -> None:
    async def body(system: System) -> None:
        await system.start(runners=1)
        await system.start_agent(1, ScriptedEndpoint(tokens=400))
        await anyio.sleep(2.0)
        answers = []

        async def run_stream() -> None:
            answers.append(await system.caller(0).draft())

        async with anyio.create_task_group() as tasks:
            for _ in range(6):
                tasks.start_soon(run_stream)
            await anyio.sleep(0.5)
            drain = "drains:\n  - endpoint: runner-1\n"
            assert (await system.caller(1).apply("teams", teams_file(2, drain))).status == 200
            await anyio.sleep(2.0)
            execution_count = len(system.endpoints["runner-1"].executions)
            for _ in range(8):
                tasks.start_soon(run_stream)
        assert execution_count
        assert len(system.endpoints["runner-1"].executions) == execution_count
        assert all(answer.complete and answer.body.endswith(b"[DONE]\n\n") for answer in answers)

    run_system(body)


def test_request_that_waits_for_a_slot_is_refused_when_its_entry_drains() -> None:
    """It was passed on up to the end of the drain, and cut there when it had just begun."""

    async def body(system: System) -> None:
        await system.start(runners=1)
        system.endpoints["runner-0"].tokens = 2_000
        answers = []

        async def run_stream() -> None:
            answers.append(await system.caller(0).draft())

        async with anyio.create_task_group() as tasks:
            for _ in range(12):
                tasks.start_soon(run_stream)
            await anyio.sleep(0.5)
            begun = len(system.endpoints["runner-0"].executions)
            await system.entries["entry-0"].drain()
        refused = [answer for answer in answers if answer.status != 200]
        assert len(system.endpoints["runner-0"].executions) == begun < 12
        assert len(refused) == 12 - begun
        assert {answer.json()["code"] for answer in refused} == {"draining"}
        assert {answer.json()["verdict"] for answer in refused} == {"not_run"}
        served = [answer for answer in answers if answer.status == 200]
        assert all(answer.complete for answer in served)

    run_system(body)


def test_disconnected_caller_releases_its_runner() -> None:
    async def body(system: System) -> None:
        await system.start(runners=1)
        system.endpoints["runner-0"].tokens = 10_000
        await system.caller(0).draft(disconnect_after_s=1.0)
        await anyio.sleep(12.0)
        assert not system.agents["runner-0"].agent.running_attempts

    run_system(body)


def test_reconnected_caller_gets_the_rest_of_its_stream() -> None:
    async def body(system: System) -> None:
        await system.start(runners=1)
        caller = system.caller(0)
        first = await caller.draft(disconnect_after_s=0.2)
        received_event_count = first.body.count(b"\n\n")
        request_id = first.headers["x-request-id"]
        path = f"/v1/requests/{request_id}/answer?offset={received_event_count}"
        rest = await caller.request("GET", path)
        assert first.words() + rest.words() == ALL_WORDS
        assert rest.complete

    run_system(body)


def test_status_reports_the_reach_of_a_revision() -> None:
    async def body(system: System) -> None:
        await system.start(entries=4, relays=2, runners=2)
        admin = Caller(system.entries["entry-3"].app, ADMIN_TOKEN)
        status = (await admin.request("GET", "/v1/admin/status")).json()
        assert status["view_confirmed"]
        assert status["reach"]["holders"] == 6
        assert status["reach"]["behind"] == []
        assert status["reach"]["relays"] == 2
        assert [row["file"] for row in status["files"]] == ["services", "teams"]
        assert {row["endpoint"] for row in status["endpoints"]} == {"runner-0", "runner-1"}

    run_system(body)


def test_metrics_count_completed_requests() -> None:
    async def body(system: System) -> None:
        await system.start()
        await system.caller(0).draft()
        await anyio.sleep(0.1)
        text = (await system.caller(0).request("GET", "/metrics")).body.decode()
        assert 'bergamotchute_requests_total{result="completed",service="drafting"} 1' in text
        assert "bergamotchute_in_flight 0" in text
        revision = system.entries["entry-0"].view.revision
        assert f"bergamotchute_view_revision {revision}" in text

    run_system(body)


def test_explain_returns_lines_for_each_subject() -> None:
    async def body(system: System) -> None:
        await system.start()
        await system.caller(0).draft()
        admin = Caller(system.entries["entry-0"].app, ADMIN_TOKEN)
        path = "/v1/admin/explain?"
        request = "entry-0.i1.1"
        found = (await admin.request("GET", f"{path}request={request}")).json()
        assert any("request_dispatched" in line for line in found["lines"])
        for query in ("endpoint=runner-0", "endpoint=none", "team=parish", "team=none"):
            answer = await admin.request("GET", path + query)
            assert answer.json()["lines"]
        assert (await admin.request("GET", path)).status == 400

    run_system(body)
