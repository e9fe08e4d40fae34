"""``bergamotchute show``: list, print or save the files in force."""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import asdict
from pathlib import Path

import anyio

from bergamotchute_cli.command_error import CommandError
from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_cli.files_in_force import FileInForce, fetch_files_in_force
from bergamotchute_cli.options import (
    Subcommands,
    add_admin_options,
    add_command,
    add_output_option,
    create_admin_client,
)

DESCRIPTION = """Show the files in force, exactly as they were applied.

Without NAME, list the files. With NAME, print that file, which apply accepts unchanged. With
--folder, write all files, or the named one, as NAME.yaml.

  bergamotchute show
  bergamotchute show teams > teams.yaml
  bergamotchute show --folder in-force/

Exit code: 0 shown, 1 no such file, 2 usage, 3 no entry answered.
"""


def add_show_command(commands: Subcommands) -> None:
    """Add the ``show`` subcommand."""
    parser = add_command(commands, "show", "show the files in force", DESCRIPTION)
    parser.add_argument("name", nargs="?", metavar="NAME")
    parser.add_argument("--folder", type=Path, help="write files into this folder")
    add_admin_options(parser)
    add_output_option(parser)
    parser.set_defaults(run=run_show)


def run_show(options: argparse.Namespace) -> int:
    """Show files and return the exit code."""
    files = anyio.run(fetch_files_in_force, create_admin_client(options))
    if options.name:
        files = [file for file in files if file.name == options.name]
        if not files:
            raise CommandError(ExitCode.REFUSED, f"no file {options.name!r} is in force")
    if options.folder:
        _write_files(files, options.folder)
    elif options.output == "json":
        print(json.dumps({"files": [asdict(file) for file in files]}))
    elif options.name:
        sys.stdout.write(files[0].text)
    else:
        _print_file_list(files)
    return ExitCode.OK


def _print_file_list(files: list[FileInForce]) -> None:
    """Print a table with one line per file."""
    print(f"{'FILE':<32} {'NUMBER':>8} {'REVISION':>10}")
    for file in files:
        print(f"{file.name:<32} {file.number:>8} {file.revision:>10}")


def _write_files(files: list[FileInForce], folder: Path) -> None:
    """Write files into a folder, without translating line endings.

    :raises CommandError: when a file name contains a path, which could lead out of the folder.
    """
    if any(Path(file.name).name != file.name for file in files):
        raise CommandError(
            ExitCode.REFUSED,
            "the entry returned a file name that contains a path; no file was written",
        )
    folder.mkdir(parents=True, exist_ok=True)
    for file in files:
        path = folder / f"{file.name}.yaml"
        path.write_bytes(file.text.encode())
        print(path)
