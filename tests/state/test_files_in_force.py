"""Check that files come into force by name and number, and that repeats get the first result."""

from __future__ import annotations

import hashlib

import pytest

from bergamotchute_model.commands import (
    ApplyFile,
    ApplyOutcome,
    FileApplied,
    IssueFence,
    LookUpClaim,
)
from bergamotchute_model.identifiers import ClaimKey
from bergamotchute_state import file_store as files_module
from bergamotchute_state.control_state import ControlState, SnapshotError


def file_command(name: str, number: int, content: str, declared_name: str = "") -> ApplyFile:
    text = f"file: {declared_name or name}\nnumber: {number}\n{content}\n"
    return ApplyFile(name, number, text, hashlib.sha256(text.encode()).hexdigest())


def command(name: str, number: int, note: str = "") -> ApplyFile:
    return file_command(name, number, f"# {note}")


def apply(state: ControlState, file: ApplyFile) -> FileApplied:
    result = state.apply(file, state.revision + 1)
    assert isinstance(result, FileApplied)
    return result


def restore_copy(state: ControlState) -> ControlState:
    other = ControlState()
    other.restore(state.snapshot())
    assert other.snapshot() == state.snapshot()
    return other


def test_a_resend_gets_the_first_answer_after_hundreds_of_changes_and_a_restart() -> None:
    state = ControlState()
    first = apply(state, command("teams", 1))
    assert first == FileApplied(ApplyOutcome.ACCEPTED, 1, 1)
    for number in range(2, 700):
        assert apply(state, command("teams", number)).outcome is ApplyOutcome.ACCEPTED
        apply(state, command("services", number - 1))
    for holder in (state, restore_copy(state)):
        again = apply(holder, command("teams", 1))
        assert again == FileApplied(ApplyOutcome.REPEATED, first.revision, 699)
        middle = apply(holder, command("services", 300))
        assert middle == FileApplied(ApplyOutcome.REPEATED, 601, 698)


def test_two_operators_race_one_number_and_the_loser_learns_who_won() -> None:
    state = ControlState()
    winner = command("teams", 1, "first")
    apply(state, winner)
    lost = apply(state, command("teams", 1, "second"))
    assert lost == FileApplied(ApplyOutcome.CONFLICT, 1, 1, winner_digest=winner.digest)
    assert state.files.in_force["teams"].text == winner.text


@pytest.mark.parametrize("number", [-1, 0, 3])
def test_a_number_that_is_not_the_next_is_refused(number: int) -> None:
    state = ControlState()
    apply(state, command("teams", 1))
    refused = apply(state, command("teams", number))
    assert (refused.outcome, refused.number) == (ApplyOutcome.CONFLICT, 1)
    assert refused.errors == (f"teams: found number {number}; the next is 2",)


def test_past_the_horizon_the_answer_says_that_the_number_is_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(files_module, "MAX_REMEMBERED_CHANGES", 5)
    state = ControlState()
    apply(state, command("quiet", 1))
    for number in range(1, 9):
        apply(state, command("teams", number))
    state = restore_copy(state)
    assert apply(state, command("teams", 3)).outcome is ApplyOutcome.FORGOTTEN
    assert apply(state, command("teams", 4)).outcome is ApplyOutcome.REPEATED
    assert apply(state, command("quiet", 1)) == FileApplied(ApplyOutcome.REPEATED, 1, 1)
    assert apply(state, command("quiet", 2)).outcome is ApplyOutcome.ACCEPTED
    assert apply(state, command("quiet", 1)).outcome is ApplyOutcome.FORGOTTEN


def test_a_file_that_does_not_fit_the_others_is_invalid_and_changes_nothing() -> None:
    state = ControlState()
    valid_file = command("teams", 1)
    dangling = "teams: [{name: a, token_sha256: %s, services: [drafts]}]" % ("0" * 64)
    invalid_files = (
        (
            ApplyFile(valid_file.name, valid_file.number, valid_file.text, "0" * 64),
            "the digest is not that of",
        ),
        (file_command("teams", 1, "teams: 3"), "teams:3:1: teams: found 3; allowed: a list"),
        (
            file_command("teams", 1, dangling),
            "found 'drafts'; allowed: a service that a file defines",
        ),
        (file_command("teams", 1, "#" + "x" * 1_100_000), "at most 1048576 bytes"),
        (file_command("teams", 1, "", declared_name="others"), "the text declares others number 1"),
    )
    for file, fault in invalid_files:
        refused = apply(state, file)
        assert (refused.outcome, refused.number) == (ApplyOutcome.INVALID, 0)
        assert fault in refused.errors[0]
    assert state.whole_view() == ()
    apply(state, file_command("services", 1, "services: [{name: drafts, kind: plain}]"))
    assert apply(state, file_command("teams", 1, dangling)).outcome is ApplyOutcome.ACCEPTED
    state = restore_copy(state)
    gone = apply(state, file_command("services", 2, ""))
    assert gone.outcome is ApplyOutcome.INVALID
    assert gone.errors[0].startswith("teams:3:")
    apply(state, file_command("teams", 2, ""))
    assert apply(state, file_command("services", 2, "")).outcome is ApplyOutcome.ACCEPTED


def test_changes_since_give_each_name_as_it_stands() -> None:
    state = ControlState()
    for number in (1, 2):
        apply(state, command("teams", number))
        apply(state, command("services", number))
    assert state.changes_since(5) is None
    assert state.changes_since(4) == ()
    changes = state.changes_since(2)
    assert changes == state.whole_view()
    assert [change.revision for change in changes] == [3, 4]
    state.apply(IssueFence("group-1", "a", "1"), 5)
    state.apply(LookUpClaim(ClaimKey("team", "orders", "key"), "body"), 6)
    assert (state.revision, state.view_revision) == (6, 5)


@pytest.mark.parametrize("damage", [b"", b"\x00", b"\x80", b"\xff" * 9, b"\x87" + b"\x01" * 7])
def test_a_damaged_snapshot_is_refused_and_changes_nothing(damage: bytes) -> None:
    state = ControlState()
    apply(state, command("teams", 1))
    before = state.snapshot()
    with pytest.raises(SnapshotError):
        state.restore(damage)
    assert state.snapshot() == before
    with pytest.raises(ValueError, match="is not higher than"):
        state.apply(command("teams", 2), 1)


def test_all_files_together_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(files_module, "MAX_FILES", 2)
    monkeypatch.setattr(files_module, "MAX_TOTAL_CHARACTERS", 200)
    state = ControlState()
    apply(state, command("a", 1))
    apply(state, command("b", 1))
    assert "at most 2 files" in apply(state, command("c", 1)).errors[0]
    assert "at most 200 characters" in apply(state, command("b", 2, "x" * 180)).errors[0]
    assert apply(state, command("b", 2)).outcome is ApplyOutcome.ACCEPTED
