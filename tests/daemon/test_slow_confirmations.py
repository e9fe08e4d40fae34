"""Confirmed reads whose answers take longer than one attempt waits."""

from __future__ import annotations

import anyio
import pytest

from bergamotchute_daemon.control_log import ATTEMPT_TIMEOUT_S
from bergamotchute_daemon.node_hub import CONFIRM_TIMEOUT_S
from support.control_group import ControlGroup, run_control

CONTROL_VMS = 5
ANSWER_TIME_S = 0.6


@pytest.mark.parametrize("number", range(CONTROL_VMS))
def test_confirmation_is_tried_again_and_again_as_each_answer_takes_longer_than_one_attempt(
    number: int,
) -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(CONTROL_VMS)
        assert ANSWER_TIME_S > ATTEMPT_TIMEOUT_S
        # A follower's read takes four hops: to the leader, to a quorum and back, and back.
        group.network.delay_s = ANSWER_TIME_S / 4
        await anyio.sleep(1.0)
        began = anyio.current_time()
        await group.processes[number].control.confirm(CONFIRM_TIMEOUT_S)
        assert anyio.current_time() - began <= ANSWER_TIME_S + 0.2

    run_control(body)
