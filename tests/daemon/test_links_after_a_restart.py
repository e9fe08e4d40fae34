"""The links that followers open after all control VMs were restarted at once."""

from __future__ import annotations

import anyio

from bergamotchute_policy.control_parents import majority_of_parents
from daemon.test_configuration_delay import FollowingEntry
from support.control_group import ControlGroup, run_control

CONTROL_VMS = 9
ENTRIES = 37
RESTART_S = 1.0
RECOVERY_S = 8.0


def test_restart_of_all_control_vms_has_each_entry_link_to_all_of_them() -> None:
    """Load pattern: accepting a link takes 5 ms of a core, which delays the first election."""

    async def body(group: ControlGroup) -> None:
        group.disks_to_lose = 2
        await group.found(CONTROL_VMS)
        entries = [FollowingEntry(group, number) for number in range(ENTRIES)]

        def count_opened_links() -> int:
            logs = [each.links.links.log.recent_records for each in entries]
            return sum(record.event == "link_opened" for log in logs for record in log)

        async with anyio.create_task_group() as tasks:
            for each in entries:
                tasks.start_soon(each.run)
            await anyio.sleep(6.0)
            for number in range(CONTROL_VMS):
                group.kill(number)
            opened_before = count_opened_links()
            await anyio.sleep(RESTART_S)
            for number in range(CONTROL_VMS):
                group.start(number)
            await anyio.sleep(RECOVERY_S)
            assert group.leader is not None
            parent_count = majority_of_parents(CONTROL_VMS)
            assert all(len(each.links.linked) == parent_count for each in entries)
            assert count_opened_links() - opened_before <= ENTRIES * (parent_count + 1)
            tasks.cancel_scope.cancel()

    run_control(body)
