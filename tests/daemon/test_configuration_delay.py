"""The time from an acknowledged configuration until each entry has put it in force."""

from __future__ import annotations

from random import Random

import anyio
import pytest

from bergamotchute_daemon.configuration_follower import ConfigurationFollower
from bergamotchute_daemon.control_links import ControlLinks
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.link_set import LinkSet
from bergamotchute_daemon.node_runner import NODES_PATH
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    ConfigurationText,
    ConfigurationVersion,
    EntryState,
    NodeMessage,
)
from bergamotchute_model.versioned_configuration import VersionedConfiguration
from bergamotchute_policy.control_parents import majority_of_parents
from support.control_group import PORT, SEED_COUNT, ControlGroup, host, run_control

CONTROL_VMS = 9
ENTRIES = 12
CHANGES = 12
CHANGE_INTERVAL_S = 0.33
MAX_DELAY_S = 2.5 / 3
"""A third of the shortest time that operators allow, as entries also parse the text."""


class FollowingEntry:
    """An entry that follows the configuration, and when it put each version in force."""

    def __init__(self, group: ControlGroup, number: int) -> None:
        self.name = f"entry-{number}"
        state = EntryState(self.name, Address(f"10.1.0.{number + 1}", 80), "north", True)
        log = EventLog(self.name, "entry", "incarnation", lambda: 0)
        dial = group.network.dial(self.name, NODES_PATH)
        self.started_at = anyio.current_time()
        self.in_force_at: dict[int, float] = {}
        self.links = ControlLinks(
            name=self.name,
            seeds=tuple(Address(host(seed), PORT) for seed in range(SEED_COUNT)),
            links=LinkSet(dial, Random(self.name), log, lambda: (state,)),
            on_message=self.on_message,
            parent_count=majority_of_parents,
        )
        self.follower = ConfigurationFollower(
            read=lambda text: VersionedConfiguration(int(text)),
            post=self.links.post,
            post_all=self.links.post_all,
            on_configuration=self.on_configuration,
            log=log,
        )

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.links.run)
            tasks.start_soon(self.follower.run)

    def on_message(self, address: Address, message: NodeMessage) -> None:
        match message:
            case ConfigurationVersion():
                self.follower.on_version(address, message)
            case ConfigurationText():
                self.follower.on_text(address, message)

    def on_configuration(self, configuration: VersionedConfiguration) -> None:
        self.in_force_at[configuration.version] = anyio.current_time()

    def delay_s(self, version: int, acknowledged_at: float) -> float:
        """Return how long after its acknowledgement a version, or a later one, was in force."""
        later = [at for number, at in self.in_force_at.items() if number >= version]
        return max(0.0, min(later, default=float("inf")) - acknowledged_at)


@pytest.mark.parametrize("seed", range(4))
def test_acknowledged_configuration_is_late_in_force_when_a_parent_hangs(seed: int) -> None:
    """Load pattern: a storm of changes while one control VM that entries follow is frozen."""
    random = Random(seed)

    async def body(group: ControlGroup) -> None:
        group.disks_to_lose = 2
        await group.found(CONTROL_VMS)
        entries = [FollowingEntry(group, number) for number in range(ENTRIES)]
        frozen = random.randrange(CONTROL_VMS)
        working = [number for number in range(CONTROL_VMS) if number != frozen]
        acknowledged_at: dict[int, float] = {}

        async with anyio.create_task_group() as tasks:
            for each in entries:
                tasks.start_soon(each.run)
            await anyio.sleep(6.0)
            async with anyio.create_task_group() as changes:
                for number in range(CHANGES):
                    changes.start_soon(
                        group.put_until_acknowledged,
                        number + 1,
                        lambda: random.choice(working),
                        acknowledged_at,
                    )
                    await anyio.sleep(CHANGE_INTERVAL_S)
                    if number == CHANGES // 3:
                        group.isolate(frozen)
                        for each in entries:
                            group.network.cut(f"control-{frozen}", each.name)
            await anyio.sleep(8.0)
            tasks.cancel_scope.cancel()
        assert acknowledged_at
        delays_s = [
            each.delay_s(version, at) for version, at in acknowledged_at.items() for each in entries
        ]
        assert max(delays_s) <= MAX_DELAY_S

    run_control(body)
