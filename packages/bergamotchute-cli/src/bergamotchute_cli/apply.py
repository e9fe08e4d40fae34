"""``bergamotchute apply``: put configuration files in force, each atomically."""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import dataclass

import anyio
import httpx
from result import Err

from bergamotchute_cli.apply_order import find_apply_order
from bergamotchute_cli.command_error import CommandError
from bergamotchute_cli.diff import format_diff
from bergamotchute_cli.entry_client import EntryClient, format_problem, parse_json_object
from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_cli.files_in_force import FILES_PATH, fetch_files_in_force
from bergamotchute_cli.local_files import LocalFile, parse_files, read_local_files
from bergamotchute_cli.options import (
    Subcommands,
    add_admin_options,
    add_command,
    add_output_option,
    create_admin_client,
)
from bergamotchute_model.commands import ApplyOutcome
from bergamotchute_model.parsed_file import ParsedFile

DESCRIPTION = """Put files in force, one after another, each atomically.

FILE is a file, or a folder whose .yaml files are all applied. Several files are applied in an
order in which each is valid together with the files in force: definitions before references.

A file contains its own name and number. The number must be one higher than the number in force
under that name, or 1 for a new name. If an answer is lost, the file is sent again through the next
entry, which returns the original result. Applying the same file twice changes nothing.

  bergamotchute apply my-files/ --entries 10.1.0.4:8080,10.2.0.4:8080

The command stops at the first file that is refused; the files before it stay in force.
Exit code: 0 all in force, 1 one was refused, 2 a file can't be read, 3 no entry answered. With 3
it is unknown whether the last file is in force; apply it again.
"""


@dataclass(frozen=True)
class ApplyResult:
    """Result of applying a file, as answered by an entry.

    :param path: where the file is on disk.
    :param outcome: whether the file was accepted, or why not.
    :param number: the number now in force under this name.
    :param revision: the revision at which that file came into force.
    :param lines: faults of the file, or what the entry expected.
    """

    path: str
    name: str
    outcome: ApplyOutcome
    number: int
    revision: int
    lines: tuple[str, ...]

    @property
    def is_in_force(self) -> bool:
        """Whether the file was accepted, now or by an earlier request."""
        return self.outcome in (ApplyOutcome.ACCEPTED, ApplyOutcome.REPEATED)


def add_apply_command(commands: Subcommands) -> None:
    """Add the ``apply`` subcommand."""
    parser = add_command(commands, "apply", "put files in force", DESCRIPTION)
    parser.add_argument("files", nargs="+", metavar="FILE")
    add_admin_options(parser)
    add_output_option(parser)
    parser.set_defaults(run=run_apply)


def run_apply(options: argparse.Namespace) -> int:
    """Apply files and return the exit code."""
    files = read_local_files(options.files)
    parsed = parse_files(files)
    if isinstance(parsed, Err):
        raise CommandError(ExitCode.REFUSED, "\n".join(map(str, parsed.err_value)))
    names = [read.content.file for read in parsed.ok_value]
    entries = create_admin_client(options)
    order = anyio.run(_fetch_apply_order, entries, parsed.ok_value) if len(files) > 1 else [0]
    for file, name in [(files[index], names[index]) for index in order]:
        result = anyio.run(apply_file, entries, file, name)
        _print_result(result, options.output)
        if not result.is_in_force:
            if result.outcome is ApplyOutcome.CONFLICT:
                anyio.run(_print_diff, entries, file, name)
            return ExitCode.REFUSED
    return ExitCode.OK


async def _fetch_apply_order(entries: EntryClient, files: list[ParsedFile]) -> list[int]:
    """Return an order in which to apply files, given the files in force.

    :raises CommandError: when no entry returns the files in force.
    """
    files_in_force = await fetch_files_in_force(entries)
    parsed_in_force = parse_files([LocalFile(file.name, file.text) for file in files_in_force])
    return find_apply_order(files, parsed_in_force.unwrap_or([]))


async def apply_file(entries: EntryClient, file: LocalFile, name: str) -> ApplyResult:
    """Apply one file and return the result, sending it again while no entry answers.

    :raises CommandError: when no entry answers in time, or an entry refuses the request for a
        reason other than the file's content.
    """
    content = file.text.encode()
    response = await entries.send_request("PUT", f"{FILES_PATH}/{name}", content=content)
    return _parse_response(response, file.path, name)


def _parse_response(response: httpx.Response, path: str, name: str) -> ApplyResult:
    """Parse an entry's response to a file.

    :raises CommandError: when the response reports no result for the file.
    """
    document = parse_json_object(response)
    if document.get("code") == "invalid_file":
        lines = tuple(str(document.get("detail", "")).splitlines())
        return ApplyResult(path, name, ApplyOutcome.INVALID, 0, 0, lines)
    try:
        return ApplyResult(
            path,
            name,
            ApplyOutcome(document["outcome"]),
            int(document["number"]),
            int(document["revision"]),
            tuple(map(str, document["errors"])),
        )
    except (KeyError, ValueError, TypeError) as error:
        raise CommandError(ExitCode.REFUSED, format_problem(response)) from error


def _print_result(result: ApplyResult, output: str) -> None:
    """Print the result of applying a file."""
    if output == "json":
        document = {
            "path": result.path,
            "file": result.name,
            "outcome": result.outcome.value,
            "number": result.number,
            "revision": result.revision,
            "errors": list(result.lines),
        }
        print(json.dumps(document), flush=True)
        return
    print(f"{result.path}: {_describe_result(result)}", flush=True)
    for line in result.lines:
        print(line, file=sys.stderr)


def _describe_result(result: ApplyResult) -> str:
    """Return the result of applying a file as a sentence."""
    match result.outcome:
        case ApplyOutcome.ACCEPTED:
            return f"{result.name} number {result.number} is in force at {result.revision}"
        case ApplyOutcome.REPEATED:
            return f"was accepted before, at {result.revision}; {result.number} is in force"
        case ApplyOutcome.CONFLICT:
            return f"refused: not the next number of {result.name}; {result.number} is in force"
        case ApplyOutcome.FORGOTTEN:
            return f"refused: too old to verify; number {result.number} is in force"
        case ApplyOutcome.INVALID:
            return "refused: it has faults; nothing changed"


async def _print_diff(entries: EntryClient, file: LocalFile, name: str) -> None:
    """Print the difference between a refused file and the file in force."""
    in_force = {in_force.name: in_force for in_force in await fetch_files_in_force(entries)}
    print(format_diff(file, in_force.get(name)), file=sys.stderr, end="")
