"""The command ``bergamotchuted``, which runs one process of bergamotchute."""

from __future__ import annotations

import sys

from bergamotchute_daemon.process_runner import run_process
from bergamotchute_daemon.settings import SettingsError, read_settings

EXIT_USAGE = 2


def main() -> None:
    """Read the settings and run the process until a stop signal."""
    try:
        settings = read_settings(sys.argv[1:])
    except SettingsError as error:
        print(f"bergamotchuted: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    sys.exit(run_process(settings))


if __name__ == "__main__":
    main()
