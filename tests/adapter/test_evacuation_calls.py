"""The operators' calls that start and end the evacuation of an availability zone."""

from __future__ import annotations

from typing import Any

import pytest

from bergamotchute_platform.control_calls import control_handler
from bergamotchute_wire.http1_messages import RequestHead
from bergamotchute_wire.http1_server import CallerRequest
from support.control_group import ControlGroup, heartbeat, run_control


class StatusWriter:
    """Keeps the status of a response in place of a connection."""

    status = 0

    async def respond(self, status: int, *_: Any) -> None:
        self.status = status


@pytest.mark.parametrize(
    ("path", "status"),
    [
        ("north/start", 200),
        ("north/end", 200),
        ("no%72th/start", 200),
        # An operator ends the call at once at this status, and tries again at a 5xx.
        ("nowhere/start", 422),
        ("/start", 422),
        ("north/pause", 404),
        ("north", 404),
    ],
)
def test_evacuation_call_is_answered_with_a_status_that_ends_or_repeats_it(
    path: str, status: int
) -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        await group.processes[0].on_heartbeat(heartbeat(1))
        head = RequestHead("POST", f"/bergamotchute/evacuate/{path}", ())
        writer = StatusWriter()
        handle = control_handler(group.processes[0])
        await handle(CallerRequest(head, b""), writer)  # type: ignore[arg-type]
        assert writer.status == status

    run_control(body)
