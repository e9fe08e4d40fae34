"""Decisions of controllers, written once each under a fencing number."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from bergamotchute_model.commands import DecisionResult, RecordDecision
from bergamotchute_model.view import DecisionInForce


class Decisions:
    """The decision in force under each name, in the order of their last change.

    A name whose fence was handed out before any decision stands at version 0, so that agents
    learn the fence.
    """

    def __init__(self) -> None:
        self.in_force: dict[str, DecisionInForce] = {}
        self.written_under: dict[str, int] = {}

    def on_record_decision(
        self, command: RecordDecision, newest_fence: int, revision: int
    ) -> DecisionResult:
        """Write the decision if version and fence are the present ones.

        :param newest_fence: the newest fencing number handed out for the decision's name.
        """
        name = command.name
        present = self.in_force.get(name) or DecisionInForce(name, 0, newest_fence, b"", 0)
        if self._is_repeat(command, present):
            return DecisionResult(True, present.version, present.value)
        fenced = newest_fence > 0 and command.fence == newest_fence
        if not fenced or command.expected_version != present.version:
            return DecisionResult(False, present.version, present.value)
        written = DecisionInForce(name, present.version + 1, command.fence, command.value, revision)
        self._put(written)
        self.written_under[name] = command.fence
        return DecisionResult(True, written.version, written.value)

    def on_fence(self, name: str, fence: int, revision: int) -> None:
        """Show a fence that was newly handed out for ``name``."""
        present = self.in_force.get(name) or DecisionInForce(name, 0, fence, b"", revision)
        self._put(replace(present, fence=fence, revision=revision))

    def dump(self) -> list[Any]:
        """Return the decisions as plain lists, in the order of their last change."""
        return [
            [
                decision.name,
                decision.version,
                decision.fence,
                decision.value,
                decision.revision,
                self.written_under.get(decision.name, 0),
            ]
            for decision in self.in_force.values()
        ]

    @classmethod
    def load(cls, data: list[Any]) -> Decisions:
        """Read what :meth:`dump` gave."""
        decisions = cls()
        for name, version, fence, value, revision, written_under in data:
            decisions.in_force[name] = DecisionInForce(name, version, fence, value, revision)
            if written_under:
                decisions.written_under[name] = written_under
        return decisions

    def _is_repeat(self, command: RecordDecision, present: DecisionInForce) -> bool:
        """Tell whether this very command wrote the present decision."""
        return (
            present.version == command.expected_version + 1
            and present.value == command.value
            and self.written_under.get(command.name) == command.fence
        )

    def _put(self, decision: DecisionInForce) -> None:
        """Put a decision in force as the last changed."""
        self.in_force.pop(decision.name, None)
        self.in_force[decision.name] = decision
