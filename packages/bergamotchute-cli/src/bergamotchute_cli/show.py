"""``bergamotchute show``: the files in force."""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import asdict
from pathlib import Path

import anyio

from bergamotchute_cli.command_error import CommandError
from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_cli.files_in_force import ShownFile, fetch_files
from bergamotchute_cli.options import (
    Commands,
    add_admin_options,
    add_command,
    add_output_option,
    admin_entries,
)

TEXT = """Show the files in force, exactly as they were applied.

Without NAME, list them. With NAME, print that file; apply accepts it unchanged. With --folder,
write every file, or those named, as NAME.yaml.

  bergamotchute show
  bergamotchute show teams > teams.yaml
  bergamotchute show --folder in-force/

Exit code: 0 shown, 1 no such file, 2 usage, 3 no entry answered.
"""


def add_show_command(commands: Commands) -> None:
    """Add ``show`` to the commands."""
    parser = add_command(commands, "show", "show the files in force", TEXT)
    parser.add_argument("name", nargs="?", metavar="NAME")
    parser.add_argument("--folder", type=Path, help="write files into this folder")
    add_admin_options(parser)
    add_output_option(parser)
    parser.set_defaults(run=run_show)


def run_show(options: argparse.Namespace) -> int:
    """Show files; return the exit code."""
    files = anyio.run(fetch_files, admin_entries(options))
    if options.name:
        files = [file for file in files if file.name == options.name]
        if not files:
            raise CommandError(ExitCode.REFUSED, f"no file {options.name!r} is in force")
    if options.folder:
        _write(files, options.folder)
    elif options.output == "json":
        print(json.dumps({"files": [asdict(file) for file in files]}))
    elif options.name:
        sys.stdout.write(files[0].text)
    else:
        _list(files)
    return ExitCode.OK


def _list(files: list[ShownFile]) -> None:
    """Print one line a file."""
    print(f"{'FILE':<32} {'NUMBER':>8} {'REVISION':>10}")
    for file in files:
        print(f"{file.name:<32} {file.number:>8} {file.revision:>10}")


def _write(files: list[ShownFile], folder: Path) -> None:
    """Write files into a folder, byte for byte.

    :raises CommandError: when a name leads out of the folder.
    """
    if any(Path(file.name).name != file.name for file in files):
        raise CommandError(ExitCode.REFUSED, "the entry names a file that is no plain name")
    folder.mkdir(parents=True, exist_ok=True)
    for file in files:
        path = folder / f"{file.name}.yaml"
        path.write_bytes(file.text.encode())
        print(path)
