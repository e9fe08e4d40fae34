"""Fencing numbers: each scope's numbers only grow."""

from __future__ import annotations

from typing import Any

from bergamotchute_model.commands import FenceGranted, NextFence

KEPT_GRANTS = 8

_Grant = tuple[str, str]


class Fences:
    """The newest number of each scope, and the last grants for repeats.

    A repeat that comes after :data:`KEPT_GRANTS` later grants of its scope gets a fresh number.
    """

    def __init__(self) -> None:
        self.newest: dict[str, int] = {}
        self.grants: dict[str, dict[_Grant, int]] = {}

    def on_next_fence(self, command: NextFence) -> FenceGranted:
        """Hand out the scope's next number, or the one this grant got before."""
        grants = self.grants.setdefault(command.scope, {})
        grant = (command.holder, command.grant_id)
        if grant not in grants:
            grants[grant] = self.number(command.scope) + 1
            self.newest[command.scope] = grants[grant]
        if len(grants) > KEPT_GRANTS:
            del grants[next(iter(grants))]
        return FenceGranted(command.scope, grants[grant])

    def number(self, scope: str) -> int:
        """Return the newest number handed out for ``scope``; 0 when there is none."""
        return self.newest.get(scope, 0)

    def dump(self) -> list[Any]:
        """Return the scopes as plain lists, in the order of their first use."""
        return [
            [scope, number, [[*grant, given] for grant, given in self.grants[scope].items()]]
            for scope, number in self.newest.items()
        ]

    @classmethod
    def load(cls, data: list[Any]) -> Fences:
        """Read what :meth:`dump` gave."""
        fences = cls()
        for scope, number, grants in data:
            fences.newest[scope] = number
            fences.grants[scope] = {(holder, name): given for holder, name, given in grants}
        return fences
