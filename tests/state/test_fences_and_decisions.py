"""Check that fencing numbers only increase and that only their newest holder decides."""

from __future__ import annotations

from bergamotchute_model.commands import (
    DecisionResult,
    FenceGranted,
    IssueFence,
    RecordDecision,
)
from bergamotchute_model.view import DecisionInForce
from bergamotchute_state.control_state import ControlState
from bergamotchute_state.fence_store import MAX_GRANTS_PER_SCOPE


def fence(state: ControlState, holder: str, grant: str = "1", scope: str = "group-1") -> int:
    result = state.apply(IssueFence(scope, holder, grant), state.revision + 1)
    assert isinstance(result, FenceGranted)
    return result.number


def decide(state: ControlState, number: int, version: int, value: bytes) -> DecisionResult:
    command = RecordDecision("group-1", number, version, value)
    result = state.apply(command, state.revision + 1)
    assert isinstance(result, DecisionResult)
    return result


def test_numbers_grow_and_a_repeat_gets_its_own_again() -> None:
    state = ControlState()
    assert [fence(state, "a"), fence(state, "b"), fence(state, "a")] == [1, 2, 1]
    assert fence(state, "a", scope="group-2") == 1
    for grant in range(MAX_GRANTS_PER_SCOPE):
        fence(state, "c", str(grant))
    assert fence(state, "a") == MAX_GRANTS_PER_SCOPE + 3


def test_only_the_newest_holder_decides_and_only_from_the_current_version() -> None:
    state = ControlState()
    old, new = fence(state, "a"), fence(state, "b")
    assert decide(state, 0, 0, b"none") == DecisionResult(False, 0, b"")
    assert decide(state, old, 0, b"old") == DecisionResult(False, 0, b"")
    assert decide(state, new, 0, b"map-1") == DecisionResult(True, 1, b"map-1")
    assert decide(state, new, 0, b"map-1") == DecisionResult(True, 1, b"map-1")
    assert decide(state, new, 0, b"other") == DecisionResult(False, 1, b"map-1")
    newest = fence(state, "c")
    assert decide(state, new, 1, b"late") == DecisionResult(False, 1, b"map-1")
    assert decide(state, new, 0, b"map-1").granted
    assert decide(state, newest, 1, b"map-2") == DecisionResult(True, 2, b"map-2")


def test_the_view_shows_fences_and_decisions_also_after_a_restart() -> None:
    state = ControlState()
    number = fence(state, "a")
    assert state.whole_view() == (DecisionInForce("group-1", 0, 1, b"", 1),)
    decide(state, number, 0, b"map")
    fence(state, "b")
    restored = ControlState()
    restored.restore(state.snapshot())
    assert restored.changes_since(2) == (DecisionInForce("group-1", 1, 2, b"map", 3),)
    assert decide(restored, number, 0, b"map").granted
