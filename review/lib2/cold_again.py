"""A runner without an agent that becomes cold again between two of its heartbeats.

The rule is FAILBACK, as in ``cold_runner.py``. Exits with 1 if it is broken, 0 if not, 2 if the case
could not be played.
"""

from __future__ import annotations

import asyncio
import sys
import time

from cold_runner import BOUND, COLD_S, ColdRunner, main


class ColdAgain(ColdRunner):
    """The runner is warm when the traffic begins."""

    async def begin(self, name: str) -> float:
        self.write(f"runner {name} is warm; bound while it is cold {BOUND}")
        return time.monotonic()

    async def disturb(self, number: int, began: float) -> None:
        """Let the runner be cold after a heartbeat; the next one, within 1.2 s, says so."""
        await asyncio.sleep(1.0)
        self.beat_sent.clear()
        await self.beat_sent.wait()
        self.cold_since = time.monotonic()
        self.cold_until = self.cold_since + COLD_S
        self.write(f"{self.cold_since - began:7.3f} the runner is cold again for {COLD_S} s")


if __name__ == "__main__":
    sys.exit(main(ColdAgain))
