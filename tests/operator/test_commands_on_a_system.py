"""Operator and caller commands against complete entries, without sockets."""

from __future__ import annotations

import hashlib

import anyio
import httpx

from bergamotchute_cli.apply import ApplyResult, apply_file
from bergamotchute_cli.caller import Caller, CallerRequest
from bergamotchute_cli.entry_client import EntryClient, parse_json_object
from bergamotchute_cli.files_in_force import fetch_files_in_force
from bergamotchute_cli.local_files import LocalFile
from bergamotchute_model.commands import ApplyOutcome
from bergamotchute_model.identifiers import Address
from bergamotchute_model.verdict import Verdict
from support.caller import ADMIN_TOKEN, TEAM_TOKEN
from support.system import System, run_system, teams_file

ORDER = CallerRequest("POST", "/v1/services/orders/orders", b'{"boxes": 1}', key="order-1")
DRAFT = b'{"model": "booklets", "stream": true, "messages": [{"role": "user", "content": "x"}]}'


class SystemTransport(httpx.AsyncBaseTransport):
    """Delivers requests to the entries of a simulated system.

    :param answers_to_lose: how many of the next answers to requests other than GET are dropped.
    """

    def __init__(self, system: System, answers_to_lose: int = 0) -> None:
        self.system = system
        self.answers_to_lose = answers_to_lose

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        number = int(request.url.host.rpartition(".")[2]) - 1
        app = self.system.entries[f"entry-{number}"].app
        response = await httpx.ASGITransport(app).handle_async_request(request)
        if self.answers_to_lose and request.method != "GET":
            self.answers_to_lose -= 1
            raise httpx.ReadError("the answer was lost")
        return response


def addresses() -> list[Address]:
    return [Address(f"10.0.0.{number}", 8000) for number in (1, 2, 3)]


def operator_client(system: System, answers_to_lose: int = 0) -> EntryClient:
    return EntryClient(addresses(), ADMIN_TOKEN, transport=SystemTransport(system, answers_to_lose))


async def apply(entries: EntryClient, name: str, text: str) -> ApplyResult:
    return await apply_file(entries, LocalFile(f"{name}.yaml", text), name)


def test_file_with_lost_answers_is_applied_once() -> None:
    async def body(system: System) -> None:
        await system.start()
        lost_answer_result = await apply(
            operator_client(system, answers_to_lose=2), "teams", teams_file(2)
        )
        assert (lost_answer_result.outcome, lost_answer_result.number) == (ApplyOutcome.REPEATED, 2)
        conflicting = await apply(operator_client(system), "teams", teams_file(2, "drains: []"))
        assert (conflicting.outcome, conflicting.number) == (ApplyOutcome.CONFLICT, 2)
        outdated = await apply(operator_client(system), "teams", teams_file(1))
        assert outdated.outcome is ApplyOutcome.REPEATED
        malformed = await apply(
            operator_client(system), "teams", "file: teams\nnumber: 3\nteams: 3"
        )
        assert malformed.outcome is ApplyOutcome.INVALID
        assert "found 3; allowed: a list" in malformed.lines[0]
        inconsistent = await apply(
            operator_client(system), "services", "file: services\nnumber: 2\n"
        )
        assert inconsistent.outcome is ApplyOutcome.INVALID
        assert "found 'drafting'; allowed: a service that a file defines" in inconsistent.lines[0]

    run_system(body)


def test_fetched_files_can_be_applied_unchanged() -> None:
    async def body(system: System) -> None:
        await system.start()
        for file in await fetch_files_in_force(operator_client(system)):
            assert file.digest == hashlib.sha256(file.text.encode()).hexdigest()
            repeated_result = await apply(operator_client(system), file.name, file.text)
            assert (repeated_result.outcome, repeated_result.number) == (
                ApplyOutcome.REPEATED,
                file.number,
            )
            assert repeated_result.revision == file.revision

    run_system(body)


def test_reports_contain_the_files_in_force_but_no_token() -> None:
    async def body(system: System) -> None:
        await system.start()
        status = await operator_client(system).send_request("GET", "/v1/admin/status")
        files = [(file["file"], file["number"]) for file in parse_json_object(status)["files"]]
        assert files == [("services", 1), ("teams", 1)]
        why = await operator_client(system).send_request(
            "GET", "/v1/admin/explain", {"endpoint": "runner-1"}
        )
        assert any("vm-r1" in line for line in parse_json_object(why)["lines"])
        report_text = status.text + why.text
        assert ADMIN_TOKEN not in report_text
        assert TEAM_TOKEN not in report_text

    run_system(body)


def test_request_with_a_lost_answer_runs_once() -> None:
    async def body(system: System) -> None:
        await system.start()
        output: list[bytes] = []
        caller = Caller(
            addresses(), TEAM_TOKEN, transport=SystemTransport(system, answers_to_lose=1)
        )
        answer = await caller.send(ORDER, output.append)
        assert (answer.status, answer.verdict) == (201, Verdict.COMPLETED)
        assert len(output) == 1
        assert sum(len(endpoint.executions) for endpoint in system.endpoints.values()) == 1
        draft = CallerRequest("POST", "/v1/chat/completions", DRAFT)
        assert (await caller.send(draft, output.append)).is_success
        assert output[-1] == b"data: [DONE]\n\n"

    run_system(body)


def test_planned_drain_takes_effect_at_every_entry() -> None:
    async def body(system: System) -> None:
        await system.start()
        for entry in system.entries.values():
            system.tasks.start_soon(entry.planned_changes.run)
        change = "planned_changes: [{name: swap, at: 1970-01-01T00:01:00Z, drain: {vm: vm-r1}}]"
        await apply(operator_client(system), "changes", f"file: changes\nnumber: 1\n{change}")
        drain_states = []
        for until in (58.0, 66.0):
            await anyio.sleep(until - anyio.current_time())
            drain_states.append(
                [
                    entry.holder.configuration.is_draining("runner-1", "vm-r1", "bergamo-b")
                    for entry in system.entries.values()
                ]
            )
        assert drain_states == [[False] * 3, [True] * 3]

    run_system(body)
