"""A request's whole way: caller, entry, agent, endpoint, with files in force through relays."""

from __future__ import annotations

import anyio

from support.caller import ADMIN_TOKEN, Caller
from support.request_path import ScriptedEndpoint
from support.system import System, run_system, teams_file

WHOLE = [f"w{number}" for number in range(20)]


def test_a_draft_through_every_entry() -> None:
    async def body(system: System) -> None:
        await system.start()
        for entry in range(3):
            answer = await system.caller(entry).draft()
            assert answer.status == 200
            assert answer.complete
            assert answer.words() == WHOLE

    run_system(body)


def test_an_order_and_its_resend_through_another_entry() -> None:
    async def body(system: System) -> None:
        await system.start()
        first = await system.caller(0).order("key")
        second = await system.caller(2).order("key")
        assert (first.status, second.status) == (201, 201)
        assert first.body == second.body
        assert second.headers["idempotency-replayed"] == "true"
        assert sum(len(one.executions) for one in system.endpoints.values()) == 1

    run_system(body)


def test_an_order_without_a_key_is_refused() -> None:
    async def body(system: System) -> None:
        await system.start()
        answer = await system.caller(0).request("POST", "/v1/services/orders/orders", b"{}")
        assert answer.status == 400
        assert answer.json()["code"] == "idempotency_key_required"
        assert answer.json()["verdict"] == "not_run"

    run_system(body)


def test_a_stranger_gets_nothing() -> None:
    async def body(system: System) -> None:
        await system.start()
        stranger = Caller(system.entries["entry-0"].app, "another-token-0123456789")
        assert (await stranger.draft()).status == 401
        assert (await stranger.request("GET", "/v1/admin/files")).status == 401
        assert (await stranger.request("PUT", "/v1/admin/files/teams", b"x")).status == 401

    run_system(body)


def test_bad_bodies_get_a_clear_answer() -> None:
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


def test_a_file_that_drains_a_runner_cuts_nothing_off() -> None:
    async def body(system: System) -> None:
        await system.start(runners=1)
        await system.start_agent(1, ScriptedEndpoint(tokens=400))
        await anyio.sleep(2.0)
        answers = []

        async def draft() -> None:
            answers.append(await system.caller(0).draft())

        async with anyio.create_task_group() as tasks:
            for _ in range(6):
                tasks.start_soon(draft)
            await anyio.sleep(0.5)
            drain = "drains:\n  - endpoint: runner-1\n"
            assert (await system.caller(1).apply("teams", teams_file(2, drain))).status == 200
            await anyio.sleep(2.0)
            before = len(system.endpoints["runner-1"].executions)
            for _ in range(8):
                tasks.start_soon(draft)
        assert before
        assert len(system.endpoints["runner-1"].executions) == before
        assert all(answer.complete and answer.body.endswith(b"[DONE]\n\n") for answer in answers)

    run_system(body)


def test_a_caller_that_leaves_frees_its_runner() -> None:
    async def body(system: System) -> None:
        await system.start(runners=1)
        system.endpoints["runner-0"].tokens = 10_000
        await system.caller(0).draft(leave_after_s=1.0)
        await anyio.sleep(12.0)
        assert not system.agents["runner-0"].agent.running_attempts

    run_system(body)


def test_a_caller_that_comes_back_gets_the_rest() -> None:
    async def body(system: System) -> None:
        await system.start(runners=1)
        caller = system.caller(0)
        first = await caller.draft(leave_after_s=0.2)
        seen = first.body.count(b"\n\n")
        request_id = first.headers["x-request-id"]
        path = f"/v1/requests/{request_id}/answer?offset={seen}"
        rest = await caller.request("GET", path)
        assert first.words() + rest.words() == WHOLE
        assert rest.complete

    run_system(body)


def test_status_tells_how_far_a_revision_has_reached() -> None:
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


def test_metrics_tell_what_was_answered() -> None:
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


def test_explain_gives_reasons() -> None:
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
