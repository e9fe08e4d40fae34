"""Control VMs tell entries for how long an endpoint is still cold, whenever they tell it."""

from __future__ import annotations

from dataclasses import replace

import anyio
import pytest

from bergamotchute_model.node_messages import HeartbeatsReceived, NodeMessage
from support.control_group import ControlGroup, heartbeat, run_control

COLD_S = 3.0


def cold_times(received: list[NodeMessage]) -> list[float]:
    messages = [each for each in received if isinstance(each, HeartbeatsReceived)]
    return [each.cold_left_s for message in messages for each in message.heartbeats]


@pytest.mark.parametrize("number", [0, 1])
def test_entry_that_links_later_is_told_the_time_that_is_left(number: int) -> None:
    async def body(group: ControlGroup) -> None:
        await group.found()
        await anyio.sleep(1.0)
        early: list[NodeMessage] = []
        late: list[NodeMessage] = []
        group.tasks.start_soon(group.follow, number, early)
        await anyio.sleep(0.1)
        await group.processes[0].on_heartbeat(replace(heartbeat(1), cold_left_s=COLD_S))
        await anyio.sleep(1.2)
        # The endpoint's next heartbeat is no news, as the time has passed that it names.
        await group.processes[0].on_heartbeat(replace(heartbeat(2), cold_left_s=COLD_S - 1.2))
        await anyio.sleep(0.3)
        group.tasks.start_soon(group.follow, number, late)
        await anyio.sleep(0.1)
        assert cold_times(early) == [pytest.approx(COLD_S, abs=0.02)]
        assert cold_times(late) == [pytest.approx(COLD_S - 1.5, abs=0.02)]
        await group.processes[0].on_heartbeat(replace(heartbeat(3), cold_left_s=COLD_S))
        await anyio.sleep(0.1)
        assert cold_times(late)[1:] == [pytest.approx(COLD_S, abs=0.02)], "cold again"

    run_control(body)
