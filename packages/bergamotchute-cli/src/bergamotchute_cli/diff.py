"""``bergamotchute diff``: compare files with those in force."""

from __future__ import annotations

import argparse
import difflib
import json

import anyio
from result import Err

from bergamotchute_cli.command_error import CommandError
from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_cli.files_in_force import FileInForce, fetch_files_in_force
from bergamotchute_cli.local_files import LocalFile, parse_files, read_local_files
from bergamotchute_cli.options import (
    Subcommands,
    add_admin_options,
    add_command,
    add_output_option,
    create_admin_client,
)

DESCRIPTION = """Compare files with the files in force.

  bergamotchute diff teams.yaml --entries 10.1.0.4:8080

Exit code: 0 no difference, 1 a file differs or has faults, 2 a file can't be read, 3 no entry
answered.
"""


def add_diff_command(commands: Subcommands) -> None:
    """Add the ``diff`` subcommand."""
    parser = add_command(commands, "diff", "show what files would change", DESCRIPTION)
    parser.add_argument("files", nargs="+", metavar="FILE")
    add_admin_options(parser)
    add_output_option(parser)
    parser.set_defaults(run=run_diff)


def run_diff(options: argparse.Namespace) -> int:
    """Compare files and return the exit code."""
    files = read_local_files(options.files)
    parsed = parse_files(files)
    if isinstance(parsed, Err):
        raise CommandError(ExitCode.REFUSED, "\n".join(map(str, parsed.err_value)))
    in_force = {
        file.name: file for file in anyio.run(fetch_files_in_force, create_admin_client(options))
    }
    changes = {
        file.path: format_diff(file, in_force.get(read.content.file))
        for file, read in zip(files, parsed.ok_value, strict=True)
    }
    if options.output == "json":
        print(json.dumps({"differences": changes}))
    else:
        print("".join(changes.values()), end="")
    return ExitCode.REFUSED if any(changes.values()) else ExitCode.OK


def format_diff(file: LocalFile, in_force: FileInForce | None) -> str:
    """Return a unified diff from the file in force to ``file``; empty when they are equal."""
    before = in_force.text if in_force else ""
    title = (
        f"in force: {in_force.name} number {in_force.number}" if in_force else "in force: nothing"
    )
    lines = difflib.unified_diff(
        before.splitlines(keepends=True), file.text.splitlines(keepends=True), title, file.path
    )
    return "".join(line if line.endswith("\n") else f"{line}\n" for line in lines)
