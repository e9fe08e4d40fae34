"""What a command's exit says."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of ``bergamotchute``."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
