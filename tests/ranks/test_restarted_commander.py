"""An agent that commands its group and is restarted: its orders must not count as outdated."""

from __future__ import annotations

from typing import Any, cast

import anyio

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.ranks.rank_agent_process import RankAgentProcess
from bergamotchute_daemon.ranks.rank_commander import RankCommander
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import AgentState, CommanderAssigned, RankAction
from bergamotchute_policy.commander_assigner import CommanderAssigner

TERM = 3
SIZE = 2


def agents() -> list[AgentState]:
    return [
        AgentState(
            f"agent-{rank}",
            Address(f"10.1.0.{rank}", 7),
            Address(f"10.1.0.{rank}", 80),
            "g0",
            rank,
            SIZE,
            True,
        )
        for rank in range(SIZE)
    ]


def commander(assignment: CommanderAssigned) -> RankCommander:
    log = EventLog("agent-0", "agent", "life", lambda: 0)
    unused = cast("Any", None)
    return RankCommander(assignment, unused, unused, log, unused)


def test_orders_of_a_restarted_commander_are_not_older_than_those_before_the_restart() -> None:
    assigner = CommanderAssigner()
    assigner.begin_term(TERM)
    assignment = assigner.assign_commanders(agents())[0]
    before = commander(assignment)
    fences = [before._new_order(RankAction.ARM, 1, 1).fence for _ in range(500)]

    # All agents of the group are restarted together, as by an upgrade; its ranks run on.
    assert assigner.assign_commanders([]) == []
    changed = assigner.assign_commanders(agents())
    again = changed[0] if changed else assignment
    after = commander(again)
    assert after._new_order(RankAction.ARM, 2, 2).fence > max(fences)


class _StandInCommander:
    async def run(self) -> None:
        await anyio.sleep_forever()


class _DiscardingLinks:
    def post_all(self, _: object) -> None:
        """Drop a message."""


def test_agent_takes_up_no_assignment_to_its_earlier_run() -> None:
    async def main() -> None:
        taken: list[int] = []

        def make_commander(assignment: CommanderAssigned) -> Any:
            taken.append(assignment.fence)
            return _StandInCommander()

        own = agents()[0].address
        process = RankAgentProcess(
            name="agent-0",
            address=own,
            rank_client=cast("Any", None),
            links=cast("Any", _DiscardingLinks()),
            follower=cast("Any", None),
            log=EventLog("agent-0", "agent", "second run", lambda: 0),
            make_commander=make_commander,
        )
        async with anyio.create_task_group() as tasks:
            process._tasks = tasks
            for fence, run in ((7, "first run"), (8, "second run"), (9, "")):
                assigned = CommanderAssigned("g0", fence, own, (), commander_incarnation=run)
                process.on_message(Address("10.9.0.1", 7), assigned)
                await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        assert taken == [8, 9], "a leader of an earlier build names no run"

    anyio.run(main)
