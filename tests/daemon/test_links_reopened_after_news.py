"""Links between control VMs that break and open again right after news went over them."""

from __future__ import annotations

import anyio

from bergamotchute_daemon.control_process import ControlProcess
from bergamotchute_model.endpoint_heartbeat import EndpointPhase
from bergamotchute_model.node_messages import HeartbeatsReceived, NodeMessage
from support.control_group import ControlGroup, heartbeat, run_control

HEARTBEAT_S = 1.2


def phase_at(process: ControlProcess) -> EndpointPhase | None:
    known = process.endpoint_table.endpoints.get("runner-1")
    return known.heartbeat.phase if known is not None else None


def test_an_endpoint_is_found_silent_as_the_link_of_its_control_vm_broke_after_its_start() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        await anyio.sleep(2.0)
        assert group.leader is not None
        monitor = (group.leader + 1) % 3
        others = [number for number in range(3) if number != monitor]
        heard: list[NodeMessage] = []

        async def live() -> None:
            for sequence in range(1, 100):
                await group.processes[monitor].on_heartbeat(heartbeat(sequence))
                await anyio.sleep(HEARTBEAT_S)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(group.follow, others[0], heard)
            tasks.start_soon(live)
            await anyio.sleep(0.2)
            for link in group.network.links:
                if f"control-{monitor}" in (link.local_name, link.peer):
                    link.close_end("reset")
            await anyio.sleep(30.0)
            assert [phase_at(group.processes[each]) for each in others] == [EndpointPhase.READY] * 2
            told = [each for each in heard if isinstance(each, HeartbeatsReceived)]
            assert told[-1].heartbeats[-1].phase is EndpointPhase.READY, "an entry is told the same"
            tasks.cancel_scope.cancel()

    run_control(body)
