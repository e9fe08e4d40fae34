"""Entries keep a cold endpoint's bound with the permits of control VMs, one of which freezes."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import anyio
import pytest

from bergamotchute_daemon.direct.cold_limits import ColdLimits
from bergamotchute_model.endpoint_heartbeat import EndpointHeartbeat
from bergamotchute_model.node_messages import HeartbeatsReceived, NodeMessage
from bergamotchute_model.versioned_configuration import ServiceRule
from bergamotchute_policy.endpoint_table import EndpointTable
from daemon.test_rate_permits import Entry, host_number
from policy.test_cold_limit import COLD_PER_S, COLD_S, ENTRY_COUNT, MOST_PER_S, most_in_a_second
from support.control_group import ControlGroup, heartbeat, run_control

ENDPOINTS = [replace(heartbeat(1), endpoint=f"rank-{number}") for number in range(24)]
PREFERRED = ENDPOINTS[:8]
LOAD_PER_S = 16.0
"""Requests a second of one entry, all to these endpoints: 54 to each, more than its bound."""


class ColdEntry(Entry):
    """An entry that learns of cold endpoints, without callers and endpoints."""

    def __init__(self, group: ControlGroup, number: int) -> None:
        super().__init__(group, number)
        self.permits.cold_limits = ColdLimits(
            EndpointTable(3.0), excess=1.5, slack=5.0, entry_count=lambda: ENTRY_COUNT
        )
        rule = ServiceRule("model", 100, cold_s=COLD_S, cold_per_s=COLD_PER_S)
        self.permits.cold_limits.set_services((rule,))

    def _on_message(self, message: NodeMessage) -> None:
        super()._on_message(message)
        if isinstance(message, HeartbeatsReceived):
            for each in message.heartbeats:
                self.permits.cold_limits.table.on_heartbeat(each, anyio.current_time())

    def is_cold(self, endpoint: EndpointHeartbeat) -> bool:
        return self.permits.cold_limits.left_s(endpoint) > 0

    async def send_cold_load(self, sent_at: dict[str, list[float]]) -> None:
        """Send requests at random times while the zone is cold."""
        async with anyio.create_task_group() as tasks:
            while any(map(self.is_cold, ENDPOINTS)):
                tasks.start_soon(self._send_cold, self.random.choice(PREFERRED), sent_at)
                await anyio.sleep(self.random.expovariate(LOAD_PER_S))

    async def _send_cold(
        self, endpoint: EndpointHeartbeat, sent_at: dict[str, list[float]]
    ) -> None:
        permit = await self.permits.acquire(endpoint, "request-1", self.random.choice((0.0, 0.3)))
        if permit.granted and self.is_cold(endpoint):
            sent_at[endpoint.endpoint].append(anyio.current_time())


@pytest.mark.parametrize("frozen_at", [0.3, 1.0])
def test_no_endpoint_of_a_zone_gets_too_much_while_a_permit_vm_freezes_and_is_lost(
    frozen_at: float,
) -> None:
    async def body(group: ControlGroup) -> None:
        await group.found()
        entries = [ColdEntry(group, number) for number in range(1, ENTRY_COUNT + 1)]
        await group.wait_until(lambda: all(len(each.links.control_groups) == 3 for each in entries))
        told_at = Random(1).choice(sorted(group.processes))
        for endpoint in ENDPOINTS:
            cold = replace(endpoint, cold_left_s=COLD_S)
            await group.processes[told_at].on_heartbeat(cold)
        await anyio.sleep(0.1)
        assert all(each.is_cold(endpoint) for each in entries for endpoint in ENDPOINTS)
        sent_at: dict[str, list[float]] = {each.endpoint: [] for each in PREFERRED}
        lost = host_number(group, ENDPOINTS[0])
        async with anyio.create_task_group() as tasks:
            for entry in entries:
                tasks.start_soon(entry.send_cold_load, sent_at)
            await anyio.sleep(frozen_at)
            group.network.frozen.add(f"control-{lost}")
            await anyio.sleep(0.6)
            group.network.frozen.discard(f"control-{lost}")
            group.kill(lost)
        most = {name: most_in_a_second(times) for name, times in sent_at.items()}
        assert max(most.values()) <= MOST_PER_S
        assert sum(map(len, sent_at.values())) >= 0.5 * COLD_S * len(PREFERRED) * 7.6
        assert not any(each.is_cold(endpoint) for each in entries for endpoint in ENDPOINTS)

    run_control(body)
