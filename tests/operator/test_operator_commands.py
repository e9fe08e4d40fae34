"""Operator commands: their output, HTTP requests and exit codes."""

from __future__ import annotations

import hashlib
import json
from pathlib import Path

import httpx
import pytest

from bergamotchute_cli.__main__ import build_parser, main
from bergamotchute_cli.command_error import CommandError
from support.scripted_entries import ScriptedEntries, problem_response

FIRST, SECOND = "10.0.0.1:8080", "10.0.0.2:8080"
SERVICES = "file: services\nnumber: 2\nservices: [{name: desk, kind: plain}]\n"
TOKEN = "t" * 32


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "token").write_text(f"{TOKEN}\n")
    (tmp_path / "services.yaml").write_text(SERVICES)
    return tmp_path


def run_command(folder: Path, entries: ScriptedEntries, *arguments: str) -> int:
    options = build_parser().parse_args(
        [*arguments, "--entries", f"{FIRST},{SECOND}", "--admin-token-file", str(folder / "token")]
    )
    options.transport = entries.transport()
    try:
        return int(options.run(options))
    except CommandError as error:
        return error.code


def apply_response(status: int, outcome: str, errors: tuple[str, ...] = ()) -> httpx.Response:
    document = {"outcome": outcome, "number": 2, "revision": 9, "errors": list(errors)}
    return httpx.Response(status, json=document)


def files_response(text: str) -> httpx.Response:
    digest = hashlib.sha256(text.encode()).hexdigest()
    file = {"file": "services", "number": 2, "revision": 9, "digest": digest, "text": text}
    return httpx.Response(200, json={"revision": 9, "files": [file]})


def test_apply_retries_at_the_next_entry_after_a_lost_answer(
    folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    entries = ScriptedEntries(
        {FIRST: [httpx.ReadError("lost")], SECOND: [apply_response(200, "repeated")]}
    )
    assert run_command(folder, entries, "apply", str(folder / "services.yaml")) == 0
    assert "was accepted before, at 9; 2 is in force" in capsys.readouterr().out
    assert entries.request_lines() == [
        "PUT 10.0.0.1/v1/admin/files/services",
        "PUT 10.0.0.2/v1/admin/files/services",
    ]
    assert {request.content.decode() for request in entries.requests} == {SERVICES}
    assert entries.requests[0].headers["authorization"] == f"Bearer {TOKEN}"


def test_conflict_prints_the_difference_to_the_file_in_force(
    folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    other = SERVICES.replace("desk", "other")
    entries = ScriptedEntries({FIRST: [apply_response(409, "conflict"), files_response(other)]})
    assert run_command(folder, entries, "apply", str(folder / "services.yaml")) == 1
    errors = capsys.readouterr().err
    assert "-services: [{name: other, kind: plain}]" in errors
    assert "+services: [{name: desk, kind: plain}]" in errors


@pytest.mark.parametrize(
    ("answer", "text"),
    [
        (apply_response(422, "invalid", ("services:3:1: a fault",)), "services:3:1: a fault"),
        (apply_response(410, "forgotten"), "too old to verify"),
        (problem_response(422, "invalid_file", "not_run", detail="one\ntwo"), "one\ntwo"),
        (problem_response(401, "unauthenticated", "not_run"), ""),
    ],
)
def test_refused_file_exits_with_1(
    folder: Path, capsys: pytest.CaptureFixture[str], answer: httpx.Response, text: str
) -> None:
    entries = ScriptedEntries({FIRST: [answer]})
    assert run_command(folder, entries, "apply", str(folder / "services.yaml")) == 1
    assert text in "".join(capsys.readouterr())


def test_several_files_are_applied_definitions_first(folder: Path) -> None:
    (folder / "a.yaml").write_text(
        f"file: a\nnumber: 1\nteams: [{{name: a, token_sha256: {'a' * 64}, services: [desk]}}]"
    )
    empty = httpx.Response(200, json={"revision": 0, "files": []})
    entries = ScriptedEntries({FIRST: [empty, apply_response(200, "accepted")]})
    assert run_command(folder, entries, "apply", str(folder)) == 0
    assert [request.url.path.rpartition("/")[2] for request in entries.requests] == [
        "files",
        "services",
        "a",
    ]


def test_unreachable_entries_exit_with_3(folder: Path) -> None:
    entries = ScriptedEntries({host: [httpx.ConnectError("refused")] for host in (FIRST, SECOND)})
    assert (
        run_command(folder, entries, "apply", str(folder / "services.yaml"), "--patience", "0.01")
        == 3
    )
    assert run_command(folder, entries, "status", "--patience", "0.01") == 3


def test_show_returns_files_exactly_as_applied(
    folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    entries = ScriptedEntries({FIRST: [files_response(SERVICES)]})
    assert run_command(folder, entries, "show", "services") == 0
    assert capsys.readouterr().out == SERVICES
    assert run_command(folder, entries, "show", "--folder", str(folder / "out")) == 0
    assert (folder / "out" / "services.yaml").read_text() == SERVICES
    assert run_command(folder, entries, "show", "none") == 1


@pytest.mark.parametrize("text", ["", "[]", '{"files": 3}', '{"files": [{"file": "a"}]}', "{"])
def test_malformed_answer_exits_with_1(folder: Path, text: str) -> None:
    entries = ScriptedEntries({FIRST: [httpx.Response(200, text=text)]})
    assert run_command(folder, entries, "show") == 1
    assert run_command(folder, entries, "status") == (0 if text.endswith("}") else 1)
    assert run_command(folder, entries, "apply", str(folder / "services.yaml")) == 1


def test_show_refuses_a_file_name_with_a_path(folder: Path) -> None:
    file = {"file": "../token", "number": 1, "revision": 1, "digest": "", "text": "x"}
    entries = ScriptedEntries({FIRST: [httpx.Response(200, json={"files": [file]})]})
    assert run_command(folder, entries, "show", "--folder", str(folder / "out")) == 1
    assert not (folder / "token.yaml").exists()


def test_diff_exit_code_reports_whether_files_differ(
    folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    entries = ScriptedEntries(
        {FIRST: [files_response(SERVICES), files_response(SERVICES + "# more\n")]}
    )
    assert run_command(folder, entries, "diff", str(folder / "services.yaml")) == 0
    assert run_command(folder, entries, "diff", str(folder / "services.yaml")) == 1
    assert "-# more" in capsys.readouterr().out


def test_validate_with_and_without_the_files_in_force(
    folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    teams = folder / "teams.yaml"
    teams.write_text(
        f"file: teams\nnumber: 1\nteams: [{{name: a, token_sha256: {'a' * 64}, services: [desk]}}]"
    )
    assert main(["validate", str(folder)]) == 0
    assert main(["validate", str(teams), "--output", "json"]) == 1
    found = json.loads(capsys.readouterr().out.splitlines()[-1])["faults"]
    assert [(f["file"], f["line"], f["path"]) for f in found] == [
        (str(teams), 3, "teams[0].services[0]")
    ]
    entries = ScriptedEntries({FIRST: [files_response(SERVICES)]})
    assert run_command(folder, entries, "validate", str(teams), "--with-files-in-force") == 0


def test_reports_are_printed_as_tables_or_json(
    folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    report = {
        "control": {"can_lose": 1, "voters": [{"replica": "r1", "reachable": True}]},
        "files": [{"file": "a", "number": 2}],
        "revision": 9,
    }
    entries = ScriptedEntries({FIRST: [httpx.Response(200, json=report)]})
    assert run_command(folder, entries, "status") == 0
    assert capsys.readouterr().out == (
        "revision: 9\n"
        "\ncontrol:\n  can_lose: 1\n  voters:\n    REPLICA  REACHABLE\n    r1       yes\n"
        "\nfiles:\n  FILE  NUMBER\n  a     2\n"
    )
    assert run_command(folder, entries, "status", "--output", "json") == 0
    assert json.loads(capsys.readouterr().out) == report
    assert run_command(folder, entries, "explain", "--team", "a") == 0
    assert entries.requests[-1].url.query == b"team=a"


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (["validate", "no-such-file"], "no-such-file"),
        (["status", "--entries", "nowhere"], "--admin-token-file"),
        (["addresses", "--entries", "nowhere"], "--entries: expected HOST:PORT"),
        (["send", "--entries", "10.0.0.1:80"], "give either PATH or --model"),
    ],
)
def test_wrong_usage_exits_with_2_and_names_the_option(
    arguments: list[str],
    text: str,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.chdir("/")
    assert main(arguments) == 2
    assert text in capsys.readouterr().err
