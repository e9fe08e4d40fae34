"""``bergamotchute status``, ``explain`` and ``addresses``: what entries tell."""

from __future__ import annotations

import argparse
import json
from typing import Any

import anyio

from bergamotchute_cli.command_error import CommandError
from bergamotchute_cli.entries import Entries, problem_text, read_json
from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_cli.options import (
    Commands,
    add_admin_options,
    add_command,
    add_entry_options,
    add_output_option,
    admin_entries,
    entry_addresses,
    transport_of,
)

STATUS_TEXT = """Show what a deployment looks like from an entry.

The files in force and how far their revision has reached, the control group and how many more of
its voters can be lost, services, entries and endpoints.

  bergamotchute status --entries 10.1.0.4:8080

Exit code: 0 shown, 1 refused, 2 usage, 3 no entry answered.
"""
EXPLAIN_TEXT = """Say why something is as it is, one reason a line.

  bergamotchute explain --endpoint runner-1
  bergamotchute explain --team night-desk
  bergamotchute explain --request entry-1.17

Exit code: 0 explained, 1 refused, 2 usage, 3 no entry answered.
"""
ADDRESSES_TEXT = """Ask which entries callers should use now. No token is needed.

  bergamotchute addresses --zone milano-a --entries 10.1.0.4:8080

Exit code: 0 at least one address, 1 none or refused, 2 usage, 3 no entry answered.
"""


def add_report_commands(commands: Commands) -> None:
    """Add ``status``, ``explain`` and ``addresses`` to the commands."""
    status = add_command(commands, "status", "show the state of a deployment", STATUS_TEXT)
    add_admin_options(status)
    add_output_option(status)
    status.set_defaults(run=run_status)
    explain = add_command(commands, "explain", "say why something is as it is", EXPLAIN_TEXT)
    subject = explain.add_mutually_exclusive_group(required=True)
    for name in ("request", "endpoint", "team"):
        subject.add_argument(f"--{name}", metavar="NAME")
    add_admin_options(explain)
    add_output_option(explain)
    explain.set_defaults(run=run_explain)
    addresses = add_command(commands, "addresses", "ask which entries to use", ADDRESSES_TEXT)
    addresses.add_argument("--zone", default="", help="the caller's availability zone")
    add_entry_options(addresses)
    add_output_option(addresses)
    addresses.set_defaults(run=run_addresses)


def run_status(options: argparse.Namespace) -> int:
    """Show the status; return the exit code."""
    document = anyio.run(_fetch, admin_entries(options), "/v1/admin/status", {})
    if options.output == "json":
        print(json.dumps(document))
    else:
        print("\n".join(_lines(document)))
    return ExitCode.OK


def run_explain(options: argparse.Namespace) -> int:
    """Explain; return the exit code."""
    names = {name: getattr(options, name) for name in ("request", "endpoint", "team")}
    query = {name: value for name, value in names.items() if value}
    document = anyio.run(_fetch, admin_entries(options), "/v1/admin/explain", query)
    if options.output == "json":
        print(json.dumps(document))
    else:
        print(document.get("subject", ""))
        for line in document.get("lines") or ():
            print(f"  {line}")
    return ExitCode.OK


def run_addresses(options: argparse.Namespace) -> int:
    """Print addresses; return the exit code."""
    entries = Entries(entry_addresses(options), "", options.patience, transport_of(options))
    query = {"zone": options.zone} if options.zone else {}
    document = anyio.run(_fetch, entries, "/v1/addresses", query)
    found = [str(address) for address in document.get("addresses") or ()]
    if options.output == "json":
        print(json.dumps(document))
    else:
        print("\n".join(found))
    return ExitCode.OK if found else ExitCode.REFUSED


async def _fetch(entries: Entries, path: str, query: dict[str, str]) -> dict[str, Any]:
    """Return a report.

    :raises CommandError: when it is refused or no entry answers.
    """
    response = await entries.ask("GET", path, query)
    if response.status_code != 200:
        raise CommandError(ExitCode.REFUSED, problem_text(response))
    document = read_json(response)
    if not document:
        raise CommandError(ExitCode.REFUSED, "the entry's answer can't be read")
    return document


def _lines(document: dict[str, Any]) -> list[str]:
    """Return a report as lines: plain values first, then a table for each list of objects."""
    plain: list[str] = []
    tables: list[str] = []
    for name, value in document.items():
        if isinstance(value, dict):
            tables += ["", f"{name}:", *(f"  {line}" for line in _lines(value) if line)]
        elif isinstance(value, list) and value and all(isinstance(row, dict) for row in value):
            tables += ["", f"{name}:", *_table(value)]
        else:
            plain.append(f"{name}: {_plain(value)}")
    return plain + tables


def _table(rows: list[dict[str, Any]]) -> list[str]:
    """Return objects as the lines of a table, with their keys as its head."""
    keys = list(dict.fromkeys(key for row in rows for key in row))
    cells = [[key.upper() for key in keys]]
    cells += [[_plain(row.get(key, "")) for key in keys] for row in rows]
    widths = [max(len(line[index]) for line in cells) for index in range(len(keys))]
    return [
        "  "
        + "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    ]


def _plain(value: Any) -> str:
    """Return a value as a cell."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(map(_plain, value)) or "-"
    if isinstance(value, dict):
        return " ".join(f"{key}={_plain(item)}" for key, item in value.items())
    return str(value)
