"""Tests that a rank group has one commander and that fencing numbers of assignments increase."""

from __future__ import annotations

from dataclasses import replace

from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import AgentState
from bergamotchute_policy.commander_assigner import CommanderAssigner


def agent(rank: int, host: int | None = None) -> AgentState:
    vm = rank if host is None else host
    return AgentState(
        f"agent-{vm}", Address(f"10.0.0.{vm}", 1), Address(f"10.0.0.{vm}", 2), "g0", rank, 3, True
    )


def test_a_group_gets_a_commander_once_all_its_ranks_are_known() -> None:
    choice = CommanderAssigner()
    choice.begin_term(4)
    assert choice.assign_commanders([agent(0), agent(1)]) == []
    (assigned,) = choice.assign_commanders([agent(0), agent(1), agent(2)])
    assert assigned.commander == agent(0).address
    assert [member.rank for member in assigned.members] == [0, 1, 2]


def test_an_unlinked_agent_stays_a_member_of_its_group() -> None:
    choice = CommanderAssigner()
    choice.begin_term(4)
    choice.assign_commanders([agent(0), agent(1), agent(2)])
    assert choice.assign_commanders([agent(0), agent(2)]) == []


def test_a_lost_commander_is_replaced_and_does_not_regain_command() -> None:
    choice = CommanderAssigner()
    choice.begin_term(4)
    (first,) = choice.assign_commanders([agent(0), agent(1), agent(2)])
    (second,) = choice.assign_commanders([agent(1), agent(2)])
    assert second.commander == agent(1).address
    assert second.fence > first.fence
    assert choice.assign_commanders([agent(0), agent(1), agent(2)]) == []


def test_a_commander_that_was_restarted_before_its_loss_was_seen_gets_a_later_fence() -> None:
    choice = CommanderAssigner()
    choice.begin_term(4)
    agents = [replace(agent(rank), incarnation=f"run-{rank}") for rank in range(3)]
    (first,) = choice.assign_commanders(agents)
    assert first.commander_incarnation == "run-0"
    restarted = replace(agents[0], incarnation="run-3")
    (second,) = choice.assign_commanders([restarted, *agents[1:]])
    assert (second.commander, second.commander_incarnation) == (first.commander, "run-3")
    assert second.fence > first.fence
    follower_restarted = replace(agents[1], incarnation="run-4")
    assert choice.assign_commanders([restarted, follower_restarted, agents[2]]) == []


def test_a_rank_that_moved_to_another_vm_is_reassigned() -> None:
    choice = CommanderAssigner()
    choice.begin_term(4)
    choice.assign_commanders([agent(0), agent(1), agent(2)])
    (assigned,) = choice.assign_commanders([agent(0), agent(1), agent(2, host=9)])
    assert assigned.members[2].agent == agent(2, host=9).address


def test_assignments_of_a_later_leader_have_higher_fencing_numbers() -> None:
    earlier, later = CommanderAssigner(), CommanderAssigner()
    earlier.begin_term(4)
    later.begin_term(5)
    agents = [agent(0), agent(1), agent(2)]
    for linked_agents in (agents, agents[1:], agents[:2]):
        earlier.assign_commanders(linked_agents)
    before = earlier.assigned("g0")
    (after,) = later.assign_commanders(agents)
    assert before is not None
    assert after.fence > before.fence
