"""An entry that knows of a confirmed configuration, and a control VM that holds an older one."""

from __future__ import annotations

from random import Random

import anyio

from bergamotchute_daemon.configuration_follower import ConfigurationFollower
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.link_set import LinkSet
from bergamotchute_daemon.node_runner import NODES_PATH
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    ConfigurationText,
    ConfigurationVersion,
    NodeMessage,
)
from support.control_group import FOLLOWING_ENTRY, PORT, ControlGroup, host, run_control


def test_an_entry_uses_no_older_configuration_than_the_one_that_it_knows_to_be_confirmed() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        leader = group.leader
        assert leader is not None
        lagging = (leader + 1) % 3
        assert await group.processes[leader].put_configuration(5, b"five")
        await group.wait_until(
            lambda: group.processes[lagging].voter.state.state.configuration.version == 5
        )
        group.isolate(lagging)
        assert await group.processes[leader].put_configuration(9, b"nine")

        used: list[int] = []
        log = EventLog("entry", "entry", "life", lambda: 0)

        def on_message(address: Address, message: NodeMessage) -> None:
            match message:
                case ConfigurationVersion():
                    if message.version == 9:
                        # The control VM pauses before it reads the entry's query.
                        group.network.frozen.add(f"control-{leader}")
                    follower.on_version(address, message)
                case ConfigurationText():
                    before = follower.version
                    follower.on_text(address, message)
                    if follower.version != before:
                        used.append(follower.version)
                case _:
                    pass

        links = LinkSet(
            group.network.dial("entry", NODES_PATH),
            Random(1),
            log,
            get_greeting=lambda: (FOLLOWING_ENTRY,),
            on_message=on_message,
        )
        follower = ConfigurationFollower(
            lambda text: text,  # type: ignore[arg-type, return-value]
            links.post,
            links.post_all,
            lambda _: None,
            log,
        )
        links.set_wanted_peers([Address(host(number), PORT) for number in (leader, lagging)])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(links.run)
            tasks.start_soon(follower.run)
            await anyio.sleep(1.5)
            group.network.frozen.clear()
            await group.wait_until(lambda: follower.version == 9)
            tasks.cancel_scope.cancel()
        assert used == [9]

    run_control(body)
