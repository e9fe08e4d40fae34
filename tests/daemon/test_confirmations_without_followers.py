"""Reads that a control VM has confirmed for its followers."""

from __future__ import annotations

import anyio

from support.control_group import ControlGroup, run_control


def test_control_vm_without_followers_loads_the_leader_with_confirmed_reads() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(5)
        await anyio.sleep(1.0)
        for process in group.processes.values():
            events = [record.event for record in process.log.recent_records]
            assert "followers_confirmed" not in events

    run_control(body)
