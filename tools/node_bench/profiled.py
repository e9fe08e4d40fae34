"""Run a module under a profile by processor time: ``python -m tools.node_bench.profiled FILE MODULE``.

The profile begins when the process has run for :data:`START_S`, after its start.
"""

from __future__ import annotations

import cProfile
import runpy
import signal
import sys
import time

START_S = 15


def main() -> None:
    """Run the module and write the profile when it ends."""
    file, module, *arguments = sys.argv[1:]
    profile = cProfile.Profile(time.process_time)
    signal.signal(signal.SIGALRM, lambda *_: profile.enable())
    signal.alarm(START_S)
    sys.argv = [module, *arguments]
    try:
        runpy.run_module(module, run_name="__main__", alter_sys=True)
    finally:
        profile.disable()
        profile.dump_stats(file)


if __name__ == "__main__":
    main()
