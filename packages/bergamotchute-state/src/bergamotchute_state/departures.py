"""Endpoints that announced that they leave."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from bergamotchute_model.commands import DepartureRecorded, RecordDeparture

DEPARTURES_KEPT = 20_000
"""Oldest departures are dropped beyond this; a day at full size has 720 planned replacements."""


@dataclass
class Departures:
    """Lives of endpoints that take no new work, oldest first.

    :param recorded: each identifier with the start of the life that left, in Unix milliseconds.
    :param changes: how often they changed here, so that who watches them need not compare.
    """

    recorded: dict[str, int] = field(default_factory=dict)
    changes: int = field(default=0, compare=False)

    def on_record_departure(self, command: RecordDeparture) -> DepartureRecorded:
        """Record a departure; one of an earlier life than the recorded changes nothing."""
        known = self.recorded.get(command.endpoint, -1)
        if command.born_ms > known:
            self.recorded.pop(command.endpoint, None)
            self.recorded[command.endpoint] = command.born_ms
            self.changes += 1
            if len(self.recorded) > DEPARTURES_KEPT:
                del self.recorded[next(iter(self.recorded))]
        return DepartureRecorded()

    def dump(self) -> list[Any]:
        """Return the departures in plain types, oldest first."""
        return [[endpoint, born_ms] for endpoint, born_ms in self.recorded.items()]

    @classmethod
    def load(cls, plain: list[Any]) -> Departures:
        """Return the departures that :meth:`dump` wrote."""
        return cls(dict(plain))
