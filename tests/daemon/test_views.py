"""No process uses a view that no quorum has confirmed, or returns to an older view."""

from __future__ import annotations

import anyio

from support.stand_in_voter import VIEW_LEASE_S
from support.system import System, run_system, teams_file

LEASE_EXPIRY_WAIT_S = VIEW_LEASE_S + 1.0


def test_an_entry_without_a_confirmed_view_serves_nothing() -> None:
    async def body(system: System) -> None:
        await system.start()
        system.voter.has_quorum = False
        await anyio.sleep(LEASE_EXPIRY_WAIT_S)
        await system.start_entry(5)
        await anyio.sleep(5.0)
        answer = await system.caller(5).draft()
        assert (answer.status, answer.json()["code"]) == (503, "view_expired")
        assert (await system.caller(5).request("GET", "/readyz")).status == 503

    run_system(body)


def test_without_a_quorum_entries_refuse_new_requests_and_finish_running_ones() -> None:
    async def body(system: System) -> None:
        await system.start(runners=1)
        system.endpoints["runner-0"].tokens = 1_000
        async with anyio.create_task_group() as tasks:
            answers = []

            async def draft() -> None:
                answers.append(await system.caller(0).draft())

            tasks.start_soon(draft)
            await anyio.sleep(1.0)
            system.voter.has_quorum = False
            await anyio.sleep(LEASE_EXPIRY_WAIT_S)
            refused = await system.caller(0).draft()
            assert refused.json()["code"] == "view_expired"
            assert refused.json()["verdict"] == "not_run"
            resend = await system.caller(0).order("key")
            assert resend.json()["verdict"] == "may_have_run"
        assert answers[0].body.endswith(b"[DONE]\n\n")
        system.voter.has_quorum = True
        await anyio.sleep(5.0)
        assert (await system.caller(0).draft(max_tokens=5)).status == 200

    run_system(body)


def test_every_entry_holds_the_newest_revision_or_serves_nothing() -> None:
    async def body(system: System) -> None:
        await system.start(entries=5, relays=2)
        system.network.cut("entry-1", "voter")
        system.network.cut("entry-1", "entry-0")
        applied = await system.caller(0).apply("teams", teams_file(2))
        assert applied.status == 200
        await anyio.sleep(LEASE_EXPIRY_WAIT_S)
        revision = applied.json()["revision"]
        for name, entry in system.entries.items():
            confirmed = entry.view.is_confirmed(anyio.current_time())
            assert not confirmed or entry.view.revision >= revision, name
        await anyio.sleep(10.0)
        fresh = {
            name for name, current in system.entries.items() if current.view.revision >= revision
        }
        assert fresh == system.entries.keys() - {"entry-1"}
        system.network.reconnect("entry-1", "voter")
        await anyio.sleep(10.0)
        assert system.entries["entry-1"].view.revision >= revision

    run_system(body)


def test_a_lost_relay_is_replaced_by_another() -> None:
    async def body(system: System) -> None:
        await system.start(entries=4, relays=2)
        system.kill("entry-0")
        await anyio.sleep(10.0)
        for entry in (1, 2, 3):
            assert (await system.caller(entry).draft()).status == 200
        addresses = (await system.caller(3).request("GET", "/v1/addresses")).json()["addresses"]
        assert "10.0.0.1:8000" not in addresses

    run_system(body)


def test_addresses_list_the_local_zone_first_and_omit_draining_entries() -> None:
    async def body(system: System) -> None:
        await system.start(entries=6, relays=2)
        path = "/v1/addresses?zone=bergamo-b"
        answer = (await system.caller(0).request("GET", path)).json()
        assert set(answer["addresses"][:2]) == {"10.0.0.2:8000", "10.0.0.5:8000"}
        assert answer["lifetime_s"] > 0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(system.entries["entry-4"].drain)
            await anyio.sleep(1.0)
            for entry in (0, 1, 2, 3):
                found = (await system.caller(entry).request("GET", path)).json()["addresses"]
                assert "10.0.0.5:8000" not in found
            tasks.cancel_scope.cancel()

    run_system(body)


def test_a_resent_file_gets_the_first_outcome() -> None:
    async def body(system: System) -> None:
        await system.start()
        first = (await system.caller(0).apply("teams", teams_file(2))).json()
        again = (await system.caller(1).apply("teams", teams_file(2))).json()
        assert (first["outcome"], again["outcome"]) == ("accepted", "repeated")
        assert first["revision"] == again["revision"]
        other = await system.caller(2).apply("teams", teams_file(2) + "# other\n")
        assert other.status == 409
        assert other.json()["winner_digest"] == first["digest"]

    run_system(body)
