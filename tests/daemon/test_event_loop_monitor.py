"""The delay of an event loop that is busy with other work."""

from __future__ import annotations

import time

import anyio

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.event_loop_monitor import LOGGED_DELAY_S, EventLoopMonitor


def test_busy_event_loop_leaves_no_log_line() -> None:
    log = EventLog("entry-1", "entry", "incarnation", lambda: 0)
    monitor = EventLoopMonitor(log)

    async def main() -> None:
        await monitor.sleep(0.01)
        assert not log.recent_records
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(monitor.sleep, 0.01)
            await anyio.lowlevel.checkpoint()
            time.sleep(LOGGED_DELAY_S + 0.05)

    anyio.run(main)
    (record,) = log.recent_records
    assert record.event == "event_loop_delayed"
    assert int(record.fields["delay_ms"]) >= 1000 * LOGGED_DELAY_S
    assert monitor.longest_delay_s >= LOGGED_DELAY_S
