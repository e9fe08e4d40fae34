"""Why a command could not do its work."""

from __future__ import annotations

from bergamotchute_cli.exit_code import ExitCode


class CommandError(Exception):
    """Ends a command with a message and an exit code.

    :param code: what the process exits with.
    """

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code


def usage_error(message: str) -> CommandError:
    """Return the error of a command that was called wrongly."""
    return CommandError(ExitCode.USAGE, message)


def unreachable(message: str) -> CommandError:
    """Return the error of a command that got no answer from any entry."""
    return CommandError(ExitCode.UNREACHABLE, message)
