"""One agent commands a rank group, and every assignment outranks those before it."""

from __future__ import annotations

from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import AgentState
from bergamotchute_policy.commander_choice import CommanderChoice


def agent(rank: int, host: int | None = None) -> AgentState:
    vm = rank if host is None else host
    return AgentState(
        f"agent-{vm}", Address(f"10.0.0.{vm}", 1), Address(f"10.0.0.{vm}", 2), "g0", rank, 3, True
    )


def test_a_group_is_commanded_once_all_its_ranks_are_known() -> None:
    choice = CommanderChoice()
    choice.begin_term(4)
    assert choice.assign([agent(0), agent(1)]) == []
    (assigned,) = choice.assign([agent(0), agent(1), agent(2)])
    assert assigned.commander == agent(0).address
    assert [member.rank for member in assigned.members] == [0, 1, 2]


def test_an_agent_that_is_away_keeps_its_place() -> None:
    choice = CommanderChoice()
    choice.begin_term(4)
    choice.assign([agent(0), agent(1), agent(2)])
    assert choice.assign([agent(0), agent(2)]) == []


def test_another_agent_follows_a_commander_that_is_gone() -> None:
    choice = CommanderChoice()
    choice.begin_term(4)
    (first,) = choice.assign([agent(0), agent(1), agent(2)])
    (second,) = choice.assign([agent(1), agent(2)])
    assert second.commander == agent(1).address
    assert second.fence > first.fence
    assert choice.assign([agent(0), agent(1), agent(2)]) == []


def test_a_rank_that_moved_is_found_at_its_new_place() -> None:
    choice = CommanderChoice()
    choice.begin_term(4)
    choice.assign([agent(0), agent(1), agent(2)])
    (assigned,) = choice.assign([agent(0), agent(1), agent(2, host=9)])
    assert assigned.members[2].agent == agent(2, host=9).address


def test_the_assignments_of_a_later_leader_outrank_all_earlier_ones() -> None:
    earlier, later = CommanderChoice(), CommanderChoice()
    earlier.begin_term(4)
    later.begin_term(5)
    agents = [agent(0), agent(1), agent(2)]
    for present in (agents, agents[1:], agents[:2]):
        earlier.assign(present)
    before = earlier.assigned("g0")
    (after,) = later.assign(agents)
    assert before is not None
    assert after.fence > before.fence
