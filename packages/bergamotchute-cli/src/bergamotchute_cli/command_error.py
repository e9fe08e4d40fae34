"""Errors that end a command."""

from __future__ import annotations

from bergamotchute_cli.exit_code import ExitCode


class CommandError(Exception):
    """Ends a command with a message and an exit code.

    :param code: the exit code of the process.
    """

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code


def usage_error(message: str) -> CommandError:
    """Return the error for invalid command-line arguments."""
    return CommandError(ExitCode.USAGE, message)


def unreachable_error(message: str) -> CommandError:
    """Return the error for a command that no entry answered."""
    return CommandError(ExitCode.UNREACHABLE, message)
