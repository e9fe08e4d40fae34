"""``bergamotchute status``, ``explain`` and ``addresses``: reports from entries."""

from __future__ import annotations

import argparse
import json
from typing import Any

import anyio

from bergamotchute_cli.command_error import CommandError
from bergamotchute_cli.entry_client import EntryClient, format_problem, parse_json_object
from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_cli.explain_call import add_call_options, run_explain_call
from bergamotchute_cli.options import (
    Subcommands,
    add_admin_options,
    add_command,
    add_entry_options,
    add_output_option,
    create_admin_client,
    get_transport,
    parse_entry_addresses,
)

STATUS_DESCRIPTION = """Show the state of a deployment as seen by an entry.

Shows the files in force and how far their revision has spread, the control group and how many more
of its voters may fail, and the services, entries and endpoints.

  bergamotchute status --entries 10.1.0.4:8080

Exit code: 0 shown, 1 refused, 2 usage, 3 no entry answered.
"""
EXPLAIN_DESCRIPTION = """Explain the state of a request, an endpoint or a team, one reason per line.

  bergamotchute explain --endpoint runner-1
  bergamotchute explain --team night-desk
  bergamotchute explain --request entry-1.17

With --call, a running entry shows where a request would go now; nothing is sent. --at gives its
metrics address, and no token is needed.

  bergamotchute explain --call api.example/drafts/one --as parish --at 10.1.0.4:9464

Exit code: 0 explained, 1 refused, 2 usage, 3 no entry answered.
"""
ADDRESSES_DESCRIPTION = """Show which entries callers should use now. No token is needed.

  bergamotchute addresses --zone milano-a --entries 10.1.0.4:8080

Exit code: 0 at least one address, 1 none or refused, 2 usage, 3 no entry answered.
"""


def add_report_commands(commands: Subcommands) -> None:
    """Add the ``status``, ``explain`` and ``addresses`` subcommands."""
    status = add_command(commands, "status", "show the state of a deployment", STATUS_DESCRIPTION)
    add_admin_options(status)
    add_output_option(status)
    status.set_defaults(run=run_status)
    explain = add_command(
        commands, "explain", "explain the state of a request, endpoint or team", EXPLAIN_DESCRIPTION
    )
    subject = explain.add_mutually_exclusive_group(required=True)
    for name in ("request", "endpoint", "team"):
        subject.add_argument(f"--{name}", metavar="NAME")
    subject.add_argument("--call", metavar="HOST/PATH")
    add_call_options(explain)
    add_admin_options(explain)
    add_output_option(explain)
    explain.set_defaults(run=run_explain)
    addresses = add_command(
        commands, "addresses", "show which entries to use", ADDRESSES_DESCRIPTION
    )
    addresses.add_argument("--zone", default="", help="the caller's availability zone")
    add_entry_options(addresses)
    add_output_option(addresses)
    addresses.set_defaults(run=run_addresses)


def run_status(options: argparse.Namespace) -> int:
    """Print the status of the deployment and return the exit code."""
    document = anyio.run(_fetch_report, create_admin_client(options), "/v1/admin/status", {})
    if options.output == "json":
        print(json.dumps(document))
    else:
        print("\n".join(_format_report(document)))
    return ExitCode.OK


def run_explain(options: argparse.Namespace) -> int:
    """Print the explanation of a subject and return the exit code."""
    if options.call:
        return run_explain_call(options)
    subjects = {name: getattr(options, name) for name in ("request", "endpoint", "team")}
    query = {name: value for name, value in subjects.items() if value}
    document = anyio.run(_fetch_report, create_admin_client(options), "/v1/admin/explain", query)
    if options.output == "json":
        print(json.dumps(document))
    else:
        print(document.get("subject", ""))
        for line in document.get("lines") or ():
            print(f"  {line}")
    return ExitCode.OK


def run_addresses(options: argparse.Namespace) -> int:
    """Print the addresses of entries and return the exit code."""
    entries = EntryClient(
        parse_entry_addresses(options), "", options.patience, get_transport(options)
    )
    query = {"zone": options.zone} if options.zone else {}
    document = anyio.run(_fetch_report, entries, "/v1/addresses", query)
    found = [str(address) for address in document.get("addresses") or ()]
    if options.output == "json":
        print(json.dumps(document))
    else:
        print("\n".join(found))
    return ExitCode.OK if found else ExitCode.REFUSED


async def _fetch_report(entries: EntryClient, path: str, query: dict[str, str]) -> dict[str, Any]:
    """Return the report at a path.

    :raises CommandError: when the request is refused, no entry answers or the report is malformed.
    """
    response = await entries.send_request("GET", path, query)
    if response.status_code != 200:
        raise CommandError(ExitCode.REFUSED, format_problem(response))
    document = parse_json_object(response)
    if not document:
        raise CommandError(ExitCode.REFUSED, "the entry's answer can't be read")
    return document


def _format_report(document: dict[str, Any]) -> list[str]:
    """Return the lines of a report: scalar values first, then nested objects and tables."""
    plain: list[str] = []
    tables: list[str] = []
    for name, value in document.items():
        if isinstance(value, dict):
            tables += ["", f"{name}:", *(f"  {line}" for line in _format_report(value) if line)]
        elif isinstance(value, list) and value and all(isinstance(row, dict) for row in value):
            tables += ["", f"{name}:", *_format_table(value)]
        else:
            plain.append(f"{name}: {_format_cell(value)}")
    return plain + tables


def _format_table(rows: list[dict[str, Any]]) -> list[str]:
    """Return the lines of a table of objects, with their keys as column headings."""
    keys = list(dict.fromkeys(key for row in rows for key in row))
    cells = [[key.upper() for key in keys]]
    cells += [[_format_cell(row.get(key, "")) for key in keys] for row in rows]
    widths = [max(len(line[index]) for line in cells) for index in range(len(keys))]
    return [
        "  "
        + "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    ]


def _format_cell(value: Any) -> str:
    """Return a value as text for a table cell."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(map(_format_cell, value)) or "-"
    if isinstance(value, dict):
        return " ".join(f"{key}={_format_cell(item)}" for key, item in value.items())
    return str(value)
