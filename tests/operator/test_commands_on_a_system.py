"""The commands of operators and callers against whole entries, without sockets."""

from __future__ import annotations

import hashlib

import anyio
import httpx

from bergamotchute_cli.apply import Applied, apply_file
from bergamotchute_cli.caller import Caller, CallerRequest
from bergamotchute_cli.entries import Entries, read_json
from bergamotchute_cli.files_in_force import fetch_files
from bergamotchute_cli.local_files import LocalFile
from bergamotchute_model.commands import ApplyOutcome
from bergamotchute_model.identifiers import Address
from bergamotchute_model.verdict import Verdict
from support.caller import ADMIN_TOKEN, TEAM_TOKEN
from support.system import System, run_system, teams_file

ORDER = CallerRequest("POST", "/v1/services/orders/orders", b'{"boxes": 1}', key="order-1")
DRAFT = b'{"model": "booklets", "stream": true, "messages": [{"role": "user", "content": "x"}]}'


class SystemTransport(httpx.AsyncBaseTransport):
    """Carries requests to the entries of a system.

    :param lose: how many of the next answers are lost on their way back.
    """

    def __init__(self, system: System, lose: int = 0) -> None:
        self.system = system
        self.lose = lose

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        number = int(request.url.host.rpartition(".")[2]) - 1
        app = self.system.entries[f"entry-{number}"].app
        response = await httpx.ASGITransport(app).handle_async_request(request)
        if self.lose and request.method != "GET":
            self.lose -= 1
            raise httpx.ReadError("the answer was lost")
        return response


def addresses() -> list[Address]:
    return [Address(f"10.0.0.{number}", 8000) for number in (1, 2, 3)]


def operator(system: System, lose: int = 0) -> Entries:
    return Entries(addresses(), ADMIN_TOKEN, transport=SystemTransport(system, lose))


async def apply(entries: Entries, name: str, text: str) -> Applied:
    return await apply_file(entries, LocalFile(f"{name}.yaml", text), name)


def test_a_file_whose_answers_are_lost_is_in_force_once() -> None:
    async def body(system: System) -> None:
        await system.start()
        applied = await apply(operator(system, lose=2), "teams", teams_file(2))
        assert (applied.outcome, applied.number) == (ApplyOutcome.REPEATED, 2)
        other = await apply(operator(system), "teams", teams_file(2, "drains: []"))
        assert (other.outcome, other.number) == (ApplyOutcome.CONFLICT, 2)
        late = await apply(operator(system), "teams", teams_file(1))
        assert late.outcome is ApplyOutcome.REPEATED
        broken = await apply(operator(system), "teams", "file: teams\nnumber: 3\nteams: 3")
        assert broken.outcome is ApplyOutcome.INVALID
        assert "found 3; allowed: a list" in broken.lines[0]
        unfit = await apply(operator(system), "services", "file: services\nnumber: 2\n")
        assert unfit.outcome is ApplyOutcome.INVALID
        assert "found 'drafting'; allowed: a service that a file defines" in unfit.lines[0]

    run_system(body)


def test_what_is_shown_is_accepted_unchanged() -> None:
    async def body(system: System) -> None:
        await system.start()
        for file in await fetch_files(operator(system)):
            assert file.digest == hashlib.sha256(file.text.encode()).hexdigest()
            again = await apply(operator(system), file.name, file.text)
            assert (again.outcome, again.number) == (ApplyOutcome.REPEATED, file.number)
            assert again.revision == file.revision

    run_system(body)


def test_reports_name_what_is_in_force_and_no_token() -> None:
    async def body(system: System) -> None:
        await system.start()
        status = await operator(system).ask("GET", "/v1/admin/status")
        files = [(file["file"], file["number"]) for file in read_json(status)["files"]]
        assert files == [("services", 1), ("teams", 1)]
        why = await operator(system).ask("GET", "/v1/admin/explain", {"endpoint": "runner-1"})
        assert any("vm-r1" in line for line in read_json(why)["lines"])
        told = status.text + why.text
        assert ADMIN_TOKEN not in told
        assert TEAM_TOKEN not in told

    run_system(body)


def test_an_order_whose_answer_is_lost_is_booked_once() -> None:
    async def body(system: System) -> None:
        await system.start()
        written: list[bytes] = []
        caller = Caller(addresses(), TEAM_TOKEN, transport=SystemTransport(system, lose=1))
        answer = await caller.send(ORDER, written.append)
        assert (answer.status, answer.verdict) == (201, Verdict.COMPLETED)
        assert len(written) == 1
        assert sum(len(one.executions) for one in system.endpoints.values()) == 1
        draft = CallerRequest("POST", "/v1/chat/completions", DRAFT)
        assert (await caller.send(draft, written.append)).is_whole
        assert written[-1] == b"data: [DONE]\n\n"

    run_system(body)


def test_a_planned_drain_reaches_every_entry() -> None:
    async def body(system: System) -> None:
        await system.start()
        for entry in system.entries.values():
            system.tasks.start_soon(entry.planned_changes.run)
        change = "planned_changes: [{name: swap, at: 1970-01-01T00:01:00Z, drain: {vm: vm-r1}}]"
        await apply(operator(system), "changes", f"file: changes\nnumber: 1\n{change}")
        seen = []
        for until in (58.0, 66.0):
            await anyio.sleep(until - anyio.current_time())
            seen.append(
                [
                    entry.holder.configuration.is_draining("runner-1", "vm-r1", "bergamo-b")
                    for entry in system.entries.values()
                ]
            )
        assert seen == [[False] * 3, [True] * 3]

    run_system(body)
