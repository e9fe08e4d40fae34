"""Measures how late the event loop of a process runs its timers."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events

LOGGED_DELAY_S = 0.25
"""Delay from which a late timer is logged; answers may be late by twice as much."""


@dataclass
class EventLoopMonitor:
    """Sleeps for the periodic tasks of a process, and notes how late they wake.

    :param longest_delay_s: the longest delay since the start of the process, in seconds.
    """

    log: EventLog
    longest_delay_s: float = 0.0

    async def sleep(self, duration_s: float) -> None:
        """Sleep, and log it if the event loop wakes the task late.

        :param duration_s: how long to sleep, in seconds.
        """
        due_at = anyio.current_time() + duration_s
        await anyio.sleep(duration_s)
        delay_s = anyio.current_time() - due_at
        self.longest_delay_s = max(self.longest_delay_s, delay_s)
        if delay_s >= LOGGED_DELAY_S:
            self.log.emit(events.EVENT_LOOP_DELAYED, delay_ms=round(1000 * delay_s))
