"""A control VM that loses power and is back before the others have seen its links end."""

from __future__ import annotations

import anyio
import pytest

from bergamotchute_daemon.control_process import ControlProcess
from bergamotchute_daemon.node_runner import NODES_PATH
from bergamotchute_model.endpoint_heartbeat import EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import ControlPeer
from bergamotchute_wire.web_socket_link import SILENCE_TIMEOUT_S
from support.control_group import PORT, ControlGroup, heartbeat, host, run_control

SILENT_AT_THE_LATEST_S = 30.0


def phase_at(process: ControlProcess) -> EndpointPhase | None:
    known = process.endpoint_table.endpoints.get("runner-1")
    return known.heartbeat.phase if known is not None else None


@pytest.mark.parametrize("down_s", [1.0, SILENCE_TIMEOUT_S + 1.0])
def test_an_endpoint_that_was_lost_with_its_control_vm_is_found_silent(down_s: float) -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        leader = group.leader
        assert leader is not None
        lost = (leader + 1) % 3
        others = [number for number in range(3) if number != lost]
        assert await group.processes[lost].on_heartbeat(heartbeat(1))
        await group.wait_until(
            lambda: all(phase_at(group.processes[each]) for each in others), wait_timeout_s=5.0
        )
        await anyio.sleep(1.0)

        # Without power no link is closed: the others see a link end once it has been silent.
        name = f"control-{lost}"
        ends = [link for link in group.network.links if link.peer == name]
        group.isolate(lost)
        group.scopes[lost].cancel()
        await anyio.sleep(min(down_s, SILENCE_TIMEOUT_S))
        if down_s > SILENCE_TIMEOUT_S:
            for link in ends:
                link.close_end("mute")
            await anyio.sleep(down_s - SILENCE_TIMEOUT_S)
        for other in others:
            group.network.reconnect(name, f"control-{other}")
        restarted = group.start(lost)
        await anyio.sleep(max(0.0, SILENCE_TIMEOUT_S - down_s))
        for link in ends:
            link.close_end("mute")
        await group.wait_until(lambda: bool(restarted.voter.leader_address))
        await anyio.sleep(SILENT_AT_THE_LATEST_S)
        for other in others:
            assert phase_at(group.processes[other]) is not EndpointPhase.READY

    run_control(body)


def test_a_late_report_of_an_earlier_process_links_no_entry_again() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        leader = group.leader
        assert leader is not None
        lost, reader = (leader + 1) % 3, (leader + 2) % 3
        await anyio.sleep(1.0)
        hub = group.processes[reader].node_hub
        entry = Address("10.2.0.1", 80)
        network = group.network
        network.frozen.add(f"control-{reader}")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(group.follow, lost, [])
            await anyio.sleep(1.0)
            tasks.cancel_scope.cancel()
        await anyio.sleep(0.01)
        old = [
            link
            for link in network.links
            if link.peer == f"control-{lost}" and link.local_name == f"control-{reader}"
        ]
        group.kill(lost)
        await anyio.sleep(1.0)
        group.start(lost)
        await anyio.sleep(1.0)
        # The old link is read a little later than the new one.
        for link in old:
            held = link.receiver.receive

            async def receive(held=held):  # type: ignore[no-untyped-def]
                await anyio.sleep(0.5)
                return await held()

            link.receiver.receive = receive  # type: ignore[method-assign]
        network.frozen.clear()
        await anyio.sleep(30.0)
        for number, process in group.processes.items():
            assert "entry" not in process.node_hub.linked_nodes.local_nodes, number
        assert entry not in hub.entry_addresses("north")

    run_control(body)


def test_a_live_control_vm_stays_unlinked_after_a_late_link_of_its_earlier_process() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        await anyio.sleep(1.0)
        hub = group.processes[0].node_hub
        peer = Address(host(1), PORT)
        dial = group.network.dial("control-1", NODES_PATH)
        assert await group.processes[1].on_heartbeat(heartbeat(1))
        async with dial(Address(host(0), PORT)) as late:
            await late.send(ControlPeer(peer))
            await anyio.sleep(0.1)
        await anyio.sleep(2.0)
        assert [each.peer for each in hub.followers].count(peer) == 1
        for sequence in range(2, 22):
            await group.processes[1].on_heartbeat(heartbeat(sequence))
            await anyio.sleep(1.0)
        assert hub.endpoint_table.endpoints["runner-1"].monitored_by == peer
        assert phase_at(group.processes[0]) is EndpointPhase.READY

    run_control(body)
