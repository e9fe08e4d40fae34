"""Compare files after repeats, races and restarts in any order with a model of all changes."""

from __future__ import annotations

import hashlib

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bergamotchute_model.commands import (
    ApplyFile,
    ApplyOutcome,
    FileApplied,
    IssueFence,
    LookUpClaim,
    RecordDecision,
)
from bergamotchute_model.identifiers import ClaimKey
from bergamotchute_model.view import FileInForce, ViewChange
from bergamotchute_state.control_state import ControlState

NAMES = st.sampled_from(("a", "b"))
BODIES = st.sampled_from(("", "# other", "drains: [{vm: vm-1}]", "drains: 3", "teams: [{}]"))
VALID = ("", "# other", "drains: [{vm: vm-1}]")


class FilesMachine(RuleBasedStateMachine):
    """Applies files to a state and to a model, and follows the view as a view holder does.

    The model keeps the digest and revision of every accepted content by name and number.
    """

    @initialize()
    def start(self) -> None:
        self.state = ControlState()
        self.accepted: dict[tuple[str, int], tuple[str, int]] = {}
        self.held: dict[tuple[str, str], ViewChange] = {}
        self.followed_revision = 0

    @rule(name=NAMES, body=BODIES, step=st.integers(-3, 2))
    def apply_file(self, name: str, body: str, step: int) -> None:
        number = self.number(name) + step
        text = f"file: {name}\nnumber: {number}\n{body}\n"
        command = ApplyFile(name, number, text, hashlib.sha256(text.encode()).hexdigest())
        revision = self.state.revision + 1
        result = self.state.apply(command, revision)
        assert result == self.expected_result(command, body, revision)
        if result.outcome is ApplyOutcome.ACCEPTED:
            self.accepted[name, number] = (command.digest, revision)

    @rule()
    def record_decision(self) -> None:
        revision = self.state.revision
        fence = self.state.apply(IssueFence("group", "a", str(revision)), revision + 1)
        decided = self.state.decisions.in_force["group"]
        decision = RecordDecision("group", fence.number, decided.version, b"map")
        assert self.state.apply(decision, revision + 2).granted

    @rule()
    def look_up_a_claim(self) -> None:
        previous_revision = self.state.view_revision
        lookup = LookUpClaim(ClaimKey("team", "orders", "key"), "body")
        self.state.apply(lookup, self.state.revision + 1)
        assert self.state.view_revision == previous_revision

    @rule()
    def restart_from_snapshot(self) -> None:
        snapshot = self.state.snapshot()
        self.state = ControlState()
        self.state.restore(snapshot)
        assert self.state.snapshot() == snapshot

    @rule()
    def follow_view(self) -> None:
        changes = self.state.changes_since(self.followed_revision)
        assert changes is not None
        assert all(change.revision > self.followed_revision for change in changes)
        self.held |= {(change.kind, change.name): change for change in changes}
        self.followed_revision = self.state.view_revision
        assert sorted(self.held.values(), key=lambda c: c.revision) == list(self.state.whole_view())

    @invariant()
    def what_was_accepted_last_is_in_force(self) -> None:
        files = [file for file in self.state.whole_view() if isinstance(file, FileInForce)]
        assert {(f.name, f.number, f.digest, f.revision) for f in files} == {
            (name, number, *self.accepted[name, number])
            for name, number in self.accepted
            if number == self.number(name)
        }

    def number(self, name: str) -> int:
        return max((number for held, number in self.accepted if held == name), default=0)

    def expected_result(self, command: ApplyFile, body: str, revision: int) -> FileApplied:
        number = self.number(command.name)
        winner = self.accepted.get((command.name, command.number))
        if winner is not None and winner[0] == command.digest:
            return FileApplied(ApplyOutcome.REPEATED, winner[1], number)
        if winner is not None:
            return FileApplied(ApplyOutcome.CONFLICT, winner[1], number, winner_digest=winner[0])
        if command.number != number + 1:
            line = f"{command.name}: found number {command.number}; the next is {number + 1}"
            return FileApplied(ApplyOutcome.CONFLICT, 0, number, errors=(line,))
        if body in VALID:
            return FileApplied(ApplyOutcome.ACCEPTED, revision, command.number)
        errors = self.state.apply(command, revision + 1).errors
        assert errors
        return FileApplied(ApplyOutcome.INVALID, 0, number, errors=errors)


FilesMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
TestFiles = FilesMachine.TestCase
