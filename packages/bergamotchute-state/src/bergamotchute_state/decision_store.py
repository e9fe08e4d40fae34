"""Versioned decisions of controllers, each written once under a fencing number."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from bergamotchute_model.commands import DecisionResult, RecordDecision
from bergamotchute_model.view import DecisionInForce


class DecisionStore:
    """The decision in force for each name, ordered by last change.

    A name whose fence was granted before any decision has an empty decision of version 0, so that
    agents learn the fence from their view.
    """

    def __init__(self) -> None:
        self.in_force: dict[str, DecisionInForce] = {}
        self.writing_fences: dict[str, int] = {}

    def on_record_decision(
        self, command: RecordDecision, newest_fence: int, revision: int
    ) -> DecisionResult:
        """Write the decision if its expected version and its fence are current.

        A repeat of the command that wrote the current decision is granted again.

        :param newest_fence: the newest fencing number granted for the decision's name.
        """
        name = command.name
        current = self.in_force.get(name) or DecisionInForce(name, 0, newest_fence, b"", 0)
        if self._is_repeat(command, current):
            return DecisionResult(True, current.version, current.value)
        has_newest_fence = newest_fence > 0 and command.fence == newest_fence
        if not has_newest_fence or command.expected_version != current.version:
            return DecisionResult(False, current.version, current.value)
        written = DecisionInForce(name, current.version + 1, command.fence, command.value, revision)
        self._put_in_force(written)
        self.writing_fences[name] = command.fence
        return DecisionResult(True, written.version, written.value)

    def on_fence_granted(self, name: str, fence: int, revision: int) -> None:
        """Publish a newly granted fence of ``name`` in the view."""
        current = self.in_force.get(name) or DecisionInForce(name, 0, fence, b"", revision)
        self._put_in_force(replace(current, fence=fence, revision=revision))

    def dump(self) -> list[Any]:
        """Return the decisions as plain lists, ordered by last change."""
        return [
            [
                decision.name,
                decision.version,
                decision.fence,
                decision.value,
                decision.revision,
                self.writing_fences.get(decision.name, 0),
            ]
            for decision in self.in_force.values()
        ]

    @classmethod
    def load(cls, data: list[Any]) -> DecisionStore:
        """Restore the decisions from the output of :meth:`dump`."""
        decisions = cls()
        for name, version, fence, value, revision, writing_fence in data:
            decisions.in_force[name] = DecisionInForce(name, version, fence, value, revision)
            if writing_fence:
                decisions.writing_fences[name] = writing_fence
        return decisions

    def _is_repeat(self, command: RecordDecision, current: DecisionInForce) -> bool:
        """Return whether this command wrote the current decision."""
        return (
            current.version == command.expected_version + 1
            and current.value == command.value
            and self.writing_fences.get(command.name) == command.fence
        )

    def _put_in_force(self, decision: DecisionInForce) -> None:
        """Put a decision in force and make it the last changed."""
        self.in_force.pop(decision.name, None)
        self.in_force[decision.name] = decision
