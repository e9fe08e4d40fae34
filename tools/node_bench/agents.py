"""Stand-ins for the agents of further endpoints: their links, loads and slots, in one process."""

from __future__ import annotations

from random import Random

import anyio

from bergamotchute_daemon.node_runner import NODE_CODEC, NODE_LINK_TIMING, NODES_PATH, SLOTS_PATH
from bergamotchute_daemon.ranks.slot_reservation_server import SlotReservationServer
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import AgentState, LoadsReported
from bergamotchute_wire.link import DialFailed, LinkClosed
from bergamotchute_wire.outbox import open_outbox
from bergamotchute_wire.web_socket_transport import (
    LinkRoute,
    serve_web_socket_links,
    web_socket_dial,
)
from tools.node_bench.endpoints import BenchEndpoint
from tools.node_processes import ENDPOINT_PORT, LINK_PORT

POLL_INTERVAL_S = 0.2
RETRY_S = 0.5


async def run_agent(endpoint: BenchEndpoint, random: Random) -> None:
    """Report the load of one endpoint to a control VM and grant its slots, until cancelled."""
    slots = SlotReservationServer()
    address = Address(endpoint.host, LINK_PORT)
    routes = {SLOTS_PATH: LinkRoute(NODE_CODEC, slots.serve_entry)}
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_web_socket_links, address, routes, "", NODE_LINK_TIMING)
        while True:
            try:
                await _report(endpoint, address, slots, random)
            except* (DialFailed, LinkClosed):
                pass
            await anyio.sleep(RETRY_S)


async def _report(
    endpoint: BenchEndpoint, address: Address, slots: SlotReservationServer, random: Random
) -> None:
    dial = web_socket_dial(NODES_PATH, NODE_CODEC, timing=NODE_LINK_TIMING)
    parent = Address(random.choice(endpoint.control_hosts), LINK_PORT)
    own = Address(endpoint.host, ENDPOINT_PORT)
    async with (
        dial(parent) as link,
        open_outbox(link) as outbox,
        anyio.create_task_group() as tasks,
    ):
        name = f"agent-{endpoint.number}"
        outbox.post(AgentState(name, address, own, "others", endpoint.number, 999, True))

        async def report() -> None:
            told = -1
            while True:
                requests = endpoint.running + endpoint.background
                slots.on_request_count(requests)
                if requests != told:
                    told = requests
                    outbox.post(LoadsReported(((own, requests),), ()))
                await anyio.sleep(POLL_INTERVAL_S)

        tasks.start_soon(report)
        while True:
            await link.receive()
