"""Fencing numbers, which only increase within each scope."""

from __future__ import annotations

from typing import Any

from bergamotchute_model.commands import FenceGranted, IssueFence

MAX_GRANTS_PER_SCOPE = 8

_GrantKey = tuple[str, str]


class FenceStore:
    """The newest number and the recent grants of each scope.

    A command repeated after :data:`MAX_GRANTS_PER_SCOPE` later grants of its scope gets a new
    number.
    """

    def __init__(self) -> None:
        self.newest_numbers: dict[str, int] = {}
        self.recent_grants: dict[str, dict[_GrantKey, int]] = {}

    def on_next_fence(self, command: IssueFence) -> FenceGranted:
        """Grant the scope's next number, or the number that this grant got before."""
        grants = self.recent_grants.setdefault(command.scope, {})
        grant_key = (command.holder, command.grant_id)
        if grant_key not in grants:
            grants[grant_key] = self.number(command.scope) + 1
            self.newest_numbers[command.scope] = grants[grant_key]
        if len(grants) > MAX_GRANTS_PER_SCOPE:
            del grants[next(iter(grants))]
        return FenceGranted(command.scope, grants[grant_key])

    def number(self, scope: str) -> int:
        """Return the newest number granted for ``scope``; 0 when there is none."""
        return self.newest_numbers.get(scope, 0)

    def dump(self) -> list[Any]:
        """Return the scopes as plain lists, ordered by first use."""
        return [
            [
                scope,
                number,
                [
                    [*grant_key, granted_number]
                    for grant_key, granted_number in self.recent_grants[scope].items()
                ],
            ]
            for scope, number in self.newest_numbers.items()
        ]

    @classmethod
    def load(cls, data: list[Any]) -> FenceStore:
        """Restore the fences from the output of :meth:`dump`."""
        fences = cls()
        for scope, number, grants in data:
            fences.newest_numbers[scope] = number
            fences.recent_grants[scope] = {
                (holder, name): granted_number for holder, name, granted_number in grants
            }
        return fences
