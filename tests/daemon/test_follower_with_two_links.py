"""An entry that opened a new link to a control VM before its earlier link has been read to its end."""

from __future__ import annotations

from dataclasses import replace

import anyio

from bergamotchute_daemon.node_runner import NODES_PATH
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import EntryState
from support.control_group import FOLLOWING_ENTRY, PORT, ControlGroup, host, run_control

EARLIER = replace(FOLLOWING_ENTRY, address=Address("10.2.0.9", 80))


def test_a_linked_entry_is_gone_as_its_earlier_link_was_read_later() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        await anyio.sleep(1.0)
        nodes = group.processes[0].node_hub.linked_nodes
        dial = group.network.dial("entry", NODES_PATH)
        address = Address(host(0), PORT)

        def known() -> list[EntryState]:
            return list(group.processes[1].node_hub.linked_nodes.open_entries())

        async with dial(address) as earlier:
            await anyio.sleep(0.1)
            async with dial(address) as later:
                await later.send(FOLLOWING_ENTRY)
                await anyio.sleep(0.5)
                assert known() == [FOLLOWING_ENTRY]
                await earlier.send(EARLIER)
                await anyio.sleep(0.5)
                assert known() == [FOLLOWING_ENTRY], "the earlier link has older news"
                await earlier.aclose()
                await anyio.sleep(1.0)
                assert known() == [FOLLOWING_ENTRY]
                assert "entry" in nodes.local_nodes
        await anyio.sleep(1.0)
        assert not known()

    run_control(body)


def test_a_linked_entry_is_gone_as_the_link_accepted_last_was_not_its_newest() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        await anyio.sleep(1.0)
        nodes = group.processes[1].node_hub.linked_nodes
        dial = group.network.dial("entry", NODES_PATH)
        address = Address(host(0), PORT)
        async with dial(address) as current:
            await anyio.sleep(0.1)
            async with dial(address) as ended:
                await ended.send(EARLIER)
                await current.send(FOLLOWING_ENTRY)
                await anyio.sleep(0.5)
            await anyio.sleep(0.5)
            assert list(nodes.open_entries()) == [FOLLOWING_ENTRY]

    run_control(body)
