"""Entry point of the ``bergamotchute`` command."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from bergamotchute_cli.apply import add_apply_command
from bergamotchute_cli.command_error import CommandError
from bergamotchute_cli.diff import add_diff_command
from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_cli.losses import add_losses_command
from bergamotchute_cli.prompt_parts import add_prompt_parts_command
from bergamotchute_cli.reports import add_report_commands
from bergamotchute_cli.send import add_send_command
from bergamotchute_cli.show import add_show_command
from bergamotchute_cli.timeline import add_timeline_command
from bergamotchute_cli.validate import add_validate_command

DESCRIPTION = """Operate a bergamotchute deployment, or call it.

A deployment is configured by files only:

  bergamotchute validate my-files/      check files locally
  bergamotchute diff my-files/          show what would change
  bergamotchute apply my-files/         put files in force
  bergamotchute show teams              show a file in force

Set BERGAMOTCHUTE_ENTRIES to HOST:PORT,... of some entries, BERGAMOTCHUTE_ADMIN_TOKEN_FILE to the
file with the operators' token, and BERGAMOTCHUTE_TOKEN_FILE to the file with a team's token.

Exit codes: 0 done, 1 refused or invalid, 2 wrong usage, 3 no entry answered.
"""


def build_parser() -> argparse.ArgumentParser:
    """Build the command-line parser."""
    parser = argparse.ArgumentParser(
        prog="bergamotchute",
        description=DESCRIPTION,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    add_validate_command(commands)
    add_diff_command(commands)
    add_apply_command(commands)
    add_show_command(commands)
    add_report_commands(commands)
    add_send_command(commands)
    add_timeline_command(commands)
    add_losses_command(commands)
    add_prompt_parts_command(commands)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command given on the command line and return its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        return int(options.run(options))
    except CommandError as error:
        print(f"bergamotchute {options.command}: {error}", file=sys.stderr)
        return error.code
    except KeyboardInterrupt:
        return ExitCode.REFUSED


if __name__ == "__main__":
    sys.exit(main())
