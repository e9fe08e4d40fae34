"""``bergamotchute prompt-parts``: list or clear the prompt parts that endpoints are kept from."""

from __future__ import annotations

import argparse
import json

import httpx

from bergamotchute_cli.command_error import CommandError, unreachable_error, usage_error
from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_cli.options import Subcommands, add_command, add_output_option

DESCRIPTION = """List the requests and the parts of prompts that crashed endpoints, or clear one.

ADDRESS is the metrics address of any entry or control VM. What is cleared is cleared at all of
them; if it crashes endpoints again, it is found again. A request is named by its digest.

  bergamotchute prompt-parts 10.1.0.4:9464
  bergamotchute prompt-parts 10.1.0.4:9464 --clear drafting 48720f3588ea

Exit code: 0 shown or cleared, 1 no such part, 2 usage, 3 no answer.
"""

REQUEST_TIMEOUT_S = 5.0


def add_prompt_parts_command(commands: Subcommands) -> None:
    """Add the ``prompt-parts`` subcommand."""
    parser = add_command(
        commands, "prompt-parts", "list or clear prompt parts that crash endpoints", DESCRIPTION
    )
    parser.add_argument("address", metavar="ADDRESS")
    parser.add_argument("--clear", nargs=2, metavar=("SERVICE", "PART"))
    add_output_option(parser)
    parser.set_defaults(run=run_prompt_parts)


def run_prompt_parts(options: argparse.Namespace) -> int:
    """List the parts or clear one, and return the exit code."""
    url = f"http://{options.address}/prompt-parts"
    try:
        if options.clear:
            service, part = options.clear
            response = httpx.delete(
                url, params={"service": service, "part": part}, timeout=REQUEST_TIMEOUT_S
            )
        else:
            response = httpx.get(url, timeout=REQUEST_TIMEOUT_S)
    except httpx.InvalidURL as error:
        raise usage_error(f"{options.address}: {error}") from error
    except httpx.HTTPError as error:
        raise unreachable_error(f"{options.address}: {error or type(error).__name__}") from error
    if options.clear and response.status_code == httpx.codes.NOT_FOUND:
        raise CommandError(ExitCode.REFUSED, f"nothing is held against part {options.clear[1]}")
    if response.status_code != httpx.codes.OK:
        raise unreachable_error(f"{options.address}: status {response.status_code}")
    if options.clear:
        print(f"cleared {options.clear[1]}")
    elif options.output == "json":
        print(response.text)
    else:
        _print_parts(json.loads(response.content))
    return ExitCode.OK


def _print_parts(parts: dict[str, list[dict[str, object]]]) -> None:
    """Print a table with one line per part."""
    print(f"{'STATE':<12} {'SERVICE':<20} {'PART':<20} {'SECONDS':>8} CRASHED")
    for state, time_field in (("quarantined", "left_s"), ("suspects", "crash_age_s")):
        for each in parts[state]:
            crashes = each["crashes"]
            names = " ".join(map(str, crashes)) if isinstance(crashes, list) else ""
            print(
                f"{state.removesuffix('s'):<12} {each['service']:<20} {each['part']:<20}"
                f" {each[time_field]:>8} {names}"
            )
