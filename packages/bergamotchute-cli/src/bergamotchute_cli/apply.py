"""``bergamotchute apply``: put files in force, each as a whole."""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import dataclass

import anyio
import httpx
from result import Err

from bergamotchute_cli.apply_order import find_order
from bergamotchute_cli.command_error import CommandError
from bergamotchute_cli.diff import text_difference
from bergamotchute_cli.entries import Entries, problem_text, read_json
from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_cli.files_in_force import FILES_PATH, fetch_files
from bergamotchute_cli.local_files import LocalFile, parse_all, read_local_files
from bergamotchute_cli.options import (
    Commands,
    add_admin_options,
    add_command,
    add_output_option,
    admin_entries,
)
from bergamotchute_model.commands import ApplyOutcome
from bergamotchute_model.parsed_file import ParsedFile

TEXT = """Put files in force, one after another, each as a whole or not at all.

FILE is a file, or a folder whose .yaml files are all applied. Several files are applied in an
order in which each fits what is in force by then: definitions first, references after.

A file says its own name and number. The number is one more than the one in force under that name,
or 1. A file whose answer is lost is sent again, through the next entry, and gets the answer that
the first sending got; applying the same file twice changes nothing.

  bergamotchute apply my-files/ --entries 10.1.0.4:8080,10.2.0.4:8080

The first file that is refused ends the command; those before it are in force.
Exit code: 0 all in force, 1 one was refused, 2 a file can't be read, 3 no entry answered: then it
is not known whether the last file is in force; apply it again.
"""


@dataclass(frozen=True)
class Applied:
    """What an entry answered to a file.

    :param outcome: what became of it.
    :param number: the number in force under its name.
    :param revision: the revision at which it came into force.
    :param lines: faults, or what was expected.
    """

    path: str
    name: str
    outcome: ApplyOutcome
    number: int
    revision: int
    lines: tuple[str, ...]

    @property
    def in_force(self) -> bool:
        """Whether the file was accepted, now or before."""
        return self.outcome in (ApplyOutcome.ACCEPTED, ApplyOutcome.REPEATED)


def add_apply_command(commands: Commands) -> None:
    """Add ``apply`` to the commands."""
    parser = add_command(commands, "apply", "put files in force", TEXT)
    parser.add_argument("files", nargs="+", metavar="FILE")
    add_admin_options(parser)
    add_output_option(parser)
    parser.set_defaults(run=run_apply)


def run_apply(options: argparse.Namespace) -> int:
    """Apply files; return the exit code."""
    files = read_local_files(options.files)
    parsed = parse_all(files)
    if isinstance(parsed, Err):
        raise CommandError(ExitCode.REFUSED, "\n".join(map(str, parsed.err_value)))
    names = [read.content.file for read in parsed.ok_value]
    entries = admin_entries(options)
    order = anyio.run(_order, entries, parsed.ok_value) if len(files) > 1 else [0]
    for file, name in [(files[index], names[index]) for index in order]:
        applied = anyio.run(apply_file, entries, file, name)
        _report(applied, options.output)
        if not applied.in_force:
            if applied.outcome is ApplyOutcome.CONFLICT:
                anyio.run(_print_difference, entries, file, name)
            return ExitCode.REFUSED
    return ExitCode.OK


async def _order(entries: Entries, files: list[ParsedFile]) -> list[int]:
    """Return the order in which to apply files, by what is in force now.

    :raises CommandError: when no entry tells what is in force.
    """
    shown = await fetch_files(entries)
    in_force = parse_all([LocalFile(file.name, file.text) for file in shown])
    return find_order(files, in_force.unwrap_or([]))


async def apply_file(entries: Entries, file: LocalFile, name: str) -> Applied:
    """Apply one file and return the answer, however many sendings it takes.

    :raises CommandError: when no entry answers, or one refuses for another reason than the file.
    """
    content = file.text.encode()
    response = await entries.ask("PUT", f"{FILES_PATH}/{name}", content=content)
    return _read_answer(response, file.path, name)


def _read_answer(response: httpx.Response, path: str, name: str) -> Applied:
    """Read an entry's answer.

    :raises CommandError: when it says nothing of the file.
    """
    document = read_json(response)
    if document.get("code") == "invalid_file":
        lines = tuple(str(document.get("detail", "")).splitlines())
        return Applied(path, name, ApplyOutcome.INVALID, 0, 0, lines)
    try:
        return Applied(
            path,
            name,
            ApplyOutcome(document["outcome"]),
            int(document["number"]),
            int(document["revision"]),
            tuple(map(str, document["errors"])),
        )
    except (KeyError, ValueError, TypeError) as error:
        raise CommandError(ExitCode.REFUSED, problem_text(response)) from error


def _report(applied: Applied, output: str) -> None:
    """Print what became of a file."""
    if output == "json":
        document = {
            "path": applied.path,
            "file": applied.name,
            "outcome": applied.outcome.value,
            "number": applied.number,
            "revision": applied.revision,
            "errors": list(applied.lines),
        }
        print(json.dumps(document), flush=True)
        return
    print(f"{applied.path}: {_sentence(applied)}", flush=True)
    for line in applied.lines:
        print(line, file=sys.stderr)


def _sentence(applied: Applied) -> str:
    """Say what became of a file."""
    match applied.outcome:
        case ApplyOutcome.ACCEPTED:
            return f"{applied.name} number {applied.number} is in force at {applied.revision}"
        case ApplyOutcome.REPEATED:
            return f"was accepted before, at {applied.revision}; {applied.number} is in force"
        case ApplyOutcome.CONFLICT:
            return f"refused: not the next number of {applied.name}; {applied.number} is in force"
        case ApplyOutcome.FORGOTTEN:
            return f"refused: too old to be told; number {applied.number} is in force"
        case ApplyOutcome.INVALID:
            return "refused: it has faults; nothing changed"


async def _print_difference(entries: Entries, file: LocalFile, name: str) -> None:
    """Print how a refused file differs from the one in force."""
    shown = {shown.name: shown for shown in await fetch_files(entries)}
    print(text_difference(file, shown.get(name)), file=sys.stderr, end="")
