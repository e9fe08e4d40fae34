"""Endpoints that announced their departure."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from bergamotchute_model.commands import DepartureRecorded, RecordDeparture

MAX_DEPARTURES = 20_000
"""The oldest departures are dropped beyond this number.

The largest deployment has 720 planned replacements a day.
"""


@dataclass
class DepartureStore:
    """Incarnations of endpoints that accept no new work, oldest first.

    :param departed_born_ms: the start of the departed incarnation by endpoint identifier, in Unix
        milliseconds.
    :param changes: the count of changes in this process, so that an observer detects a change
        without a comparison.
    """

    departed_born_ms: dict[str, int] = field(default_factory=dict)
    changes: int = field(default=0, compare=False)

    def includes(self, endpoint: str, born_ms: int) -> bool:
        """Return whether a departure of this incarnation or a later one is recorded."""
        return self.departed_born_ms.get(endpoint, -1) >= born_ms

    def on_record_departure(self, command: RecordDeparture) -> DepartureRecorded:
        """Record a departure; ignore it unless its incarnation is later than the recorded one."""
        known = self.departed_born_ms.get(command.endpoint, -1)
        if command.born_ms > known:
            self.departed_born_ms.pop(command.endpoint, None)
            self.departed_born_ms[command.endpoint] = command.born_ms
            self.changes += 1
            if len(self.departed_born_ms) > MAX_DEPARTURES:
                del self.departed_born_ms[next(iter(self.departed_born_ms))]
        return DepartureRecorded()

    def dump(self) -> list[Any]:
        """Return the departures as plain lists, oldest first."""
        return [[endpoint, born_ms] for endpoint, born_ms in self.departed_born_ms.items()]

    @classmethod
    def load(cls, plain: list[Any]) -> DepartureStore:
        """Restore the departures from the output of :meth:`dump`."""
        return cls(dict(plain))
