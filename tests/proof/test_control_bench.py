"""The bench of the control log still speaks to the voters of today."""

from __future__ import annotations

import anyio
from tools import bench_control

from support.control_group import ControlGroup, run_control


def test_bench_of_the_control_log_waits_in_vain_for_a_voter_that_lacks_its_call() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        assert group.leader is not None
        leader = group.processes[group.leader]
        with anyio.fail_after(5):
            await bench_control.commit(leader.voter, bench_control.claim(1))

    run_control(body)
