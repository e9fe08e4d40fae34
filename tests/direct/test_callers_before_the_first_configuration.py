"""Callers of an entry that has no configuration, as all VMs were restarted."""

from __future__ import annotations

import anyio
import pytest

from bergamotchute_daemon.direct.direct_entry import DirectEntry
from bergamotchute_model.node_messages import ConfigurationText, ControlGroup, NodeMessage
from bergamotchute_wire.http1_server import CallerRequest
from direct.test_direct_entry import (
    CONTROL_ADDRESS,
    REQUEST,
    RecordingWriter,
    run_with_entry,
    text,
)

OUTAGE_S = 8.5
ARRIVAL_INTERVAL_S = 0.1
DEADLINE_S = 8.1
DELAY_RATIO = 1 / 3
"""Part of their remaining time for which callers wait at most before they return."""


async def is_served(entry: DirectEntry, request: CallerRequest) -> bool:
    """Send a request, and once more after a refusal; return whether an entry admitted it.

    The configuration of this test has no routes, so a request that is admitted gets a 404.
    """
    deadline = anyio.current_time() + DEADLINE_S
    for _ in range(2):
        writer = RecordingWriter()
        await entry.handle_request(request, writer)  # type: ignore[arg-type]
        if writer.status == 404:
            return True
        left_s = deadline - anyio.current_time()
        await anyio.sleep(min(writer.retry_after_s, DELAY_RATIO * left_s))
    return False


def test_callers_return_too_early_while_all_control_vms_restart() -> None:
    """Load pattern: drafts arrive at a fixed rate until the configuration is there 8.5 s later.

    A caller that is kept for 1.2 s each time and returns after 0.3 s outlasts 2.7 s.
    """
    served: list[float] = []

    async def body(entry: DirectEntry, _: list[NodeMessage]) -> None:
        async with anyio.create_task_group() as tasks:

            async def call() -> None:
                arrived_at = anyio.current_time()
                if await is_served(entry, REQUEST):
                    served.append(arrived_at)

            for _ in range(int(OUTAGE_S / ARRIVAL_INTERVAL_S)):
                tasks.start_soon(call)
                await anyio.sleep(ARRIVAL_INTERVAL_S)
            entry.on_message(CONTROL_ADDRESS, ConfigurationText(5, text(5)))

    run_with_entry(body)
    assert len(served) >= 2.5 / ARRIVAL_INTERVAL_S


@pytest.mark.parametrize("has_leader", [True, False])
def test_callers_return_late_though_the_configuration_is_on_its_way(has_leader: bool) -> None:
    async def body(entry: DirectEntry, _: list[NodeMessage]) -> None:
        await anyio.sleep(2.0)
        group = ControlGroup((CONTROL_ADDRESS,), 0, current=has_leader)
        entry.links._on_message(CONTROL_ADDRESS, group)
        writer = RecordingWriter()
        await entry.handle_request(REQUEST, writer)  # type: ignore[arg-type]
        assert (writer.retry_after_s <= 0.3) is has_leader

    run_with_entry(body)


def test_callers_return_before_the_configuration_of_an_entry_that_was_restarted_with_all() -> None:
    """Callers that came in the first second were told to return after 0.3 s, and refused again."""

    async def body(entry: DirectEntry, _: list[NodeMessage]) -> None:
        served: list[bool] = []

        async def call() -> None:
            served.append(await is_served(entry, REQUEST))

        async with anyio.create_task_group() as tasks:
            for _ in range(12):
                tasks.start_soon(call)
                await anyio.sleep(ARRIVAL_INTERVAL_S)
            entry.on_message(CONTROL_ADDRESS, ConfigurationText(5, text(5)))
        assert all(served)

    run_with_entry(body)
