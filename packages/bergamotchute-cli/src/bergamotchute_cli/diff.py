"""``bergamotchute diff``: what files would change."""

from __future__ import annotations

import argparse
import difflib
import json

import anyio
from result import Err

from bergamotchute_cli.command_error import CommandError
from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_cli.files_in_force import ShownFile, fetch_files
from bergamotchute_cli.local_files import LocalFile, parse_all, read_local_files
from bergamotchute_cli.options import (
    Commands,
    add_admin_options,
    add_command,
    add_output_option,
    admin_entries,
)

TEXT = """Show what files would change, against the files in force.

  bergamotchute diff teams.yaml --entries 10.1.0.4:8080

Exit code: 0 nothing would change, 1 something would or a file has faults, 2 a file can't be read,
3 no entry answered.
"""


def add_diff_command(commands: Commands) -> None:
    """Add ``diff`` to the commands."""
    parser = add_command(commands, "diff", "show what files would change", TEXT)
    parser.add_argument("files", nargs="+", metavar="FILE")
    add_admin_options(parser)
    add_output_option(parser)
    parser.set_defaults(run=run_diff)


def run_diff(options: argparse.Namespace) -> int:
    """Compare files; return the exit code."""
    files = read_local_files(options.files)
    parsed = parse_all(files)
    if isinstance(parsed, Err):
        raise CommandError(ExitCode.REFUSED, "\n".join(map(str, parsed.err_value)))
    shown = {file.name: file for file in anyio.run(fetch_files, admin_entries(options))}
    changes = {
        file.path: text_difference(file, shown.get(read.content.file))
        for file, read in zip(files, parsed.ok_value, strict=True)
    }
    if options.output == "json":
        print(json.dumps({"differences": changes}))
    else:
        print("".join(changes.values()), end="")
    return ExitCode.REFUSED if any(changes.values()) else ExitCode.OK


def text_difference(file: LocalFile, shown: ShownFile | None) -> str:
    """Return a unified difference from what is in force to ``file``; empty when they are equal."""
    before = shown.text if shown else ""
    title = f"in force: {shown.name} number {shown.number}" if shown else "in force: nothing"
    lines = difflib.unified_diff(
        before.splitlines(keepends=True), file.text.splitlines(keepends=True), title, file.path
    )
    return "".join(line if line.endswith("\n") else f"{line}\n" for line in lines)
