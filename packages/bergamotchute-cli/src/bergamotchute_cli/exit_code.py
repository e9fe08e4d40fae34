"""Exit codes of the ``bergamotchute`` command."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit status that a command reports to the shell.

    ``REFUSED`` also covers invalid files; ``UNREACHABLE`` means that no entry answered.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
