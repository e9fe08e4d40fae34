"""``bergamotchute validate``: check files without applying them."""

from __future__ import annotations

import argparse
import json
import sys

import anyio
from result import Err

from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_cli.files_in_force import fetch_files_in_force
from bergamotchute_cli.local_files import (
    LocalFile,
    find_combined_faults,
    parse_files,
    read_local_files,
)
from bergamotchute_cli.options import (
    Subcommands,
    add_admin_options,
    add_command,
    add_output_option,
    create_admin_client,
)
from bergamotchute_model.file_fault import FileFault, format_path

DESCRIPTION = """Check configuration files, each by itself and all of them together.

FILE is a file, or a folder whose .yaml files are all read. With --with-files-in-force the files
are checked together with those of a running deployment, so that a single file can be checked.

  bergamotchute validate examples/piegatura
  bergamotchute validate teams.yaml --with-files-in-force --entries 10.1.0.4:8080

Each fault is printed on one line: FILE:LINE:COLUMN: PATH: found ...; allowed: ...
Exit code: 0 no fault, 1 faults, 2 a file can't be read, 3 no entry answered.
"""


def add_validate_command(commands: Subcommands) -> None:
    """Add the ``validate`` subcommand."""
    parser = add_command(commands, "validate", "check files without applying them", DESCRIPTION)
    parser.add_argument("files", nargs="+", metavar="FILE")
    parser.add_argument("--with-files-in-force", action="store_true")
    add_admin_options(parser)
    add_output_option(parser)
    parser.set_defaults(run=run_validate)


def run_validate(options: argparse.Namespace) -> int:
    """Check files and return the exit code."""
    files = read_local_files(options.files)
    others: list[LocalFile] = []
    if options.with_files_in_force:
        in_force = anyio.run(fetch_files_in_force, create_admin_client(options))
        others = [LocalFile(f"in force: {file.name}", file.text) for file in in_force]
    faults = find_faults(files, others)
    if options.output == "json":
        print(
            json.dumps({"files": [file.path for file in files], "faults": _faults_to_json(faults)})
        )
    else:
        print_faults(faults)
        if not faults:
            print(f"{len(files)} files are valid")
    return ExitCode.REFUSED if faults else ExitCode.OK


def find_faults(files: list[LocalFile], others: list[LocalFile]) -> tuple[FileFault, ...]:
    """Return the faults of ``files``, each by itself and all together with ``others``."""
    parsed = parse_files(files)
    if isinstance(parsed, Err):
        return parsed.err_value
    in_force = parse_files(others)
    if isinstance(in_force, Err):
        return in_force.err_value
    return find_combined_faults(parsed.ok_value, in_force.ok_value)


def print_faults(faults: tuple[FileFault, ...]) -> None:
    """Print faults as text to standard error."""
    for fault in faults:
        print(fault, file=sys.stderr)


def _faults_to_json(faults: tuple[FileFault, ...]) -> list[dict[str, object]]:
    """Return faults as objects for the JSON output."""
    return [
        {
            "file": fault.source,
            "line": fault.position.line,
            "column": fault.position.column,
            "path": format_path(fault.path),
            "found": fault.found,
            "allowed": fault.allowed,
        }
        for fault in faults
    ]
