"""The operator files of the demo: those of both examples, on one platform."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from pathlib import Path

from tools.deployment import EndpointPlan

HOUSES = ("piegatura", "hljomsmidjan")
ORDER_OF_FILES = ("services", "priorities", "teams", "runners", "limits", "changes")
OPERATIONS = "demo-operations"
SHARED_TEAM = "archive"


@dataclass(frozen=True)
class DemoTeam:
    """A team of the examples, whose token the examples make public."""

    house: str
    name: str
    service: str
    model: str = ""

    @property
    def token(self) -> str:
        """Return the team's bearer token."""
        return f"example-token-{self.house}-{self.name}"

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers that identify the team."""
        return {"authorization": f"Bearer {self.token}"}


class DemoFiles:
    """Reads the examples and writes the files by which the demo's operator acts.

    Both houses share the platform: each file keeps its content, and its name gets the house in
    front, as does a team whose name the other house uses too. Only one house can set the limits of
    all entries.

    :param number: of the operations file in force.
    """

    drafting = DemoTeam("piegatura", "funeral-homes-milano", "booklets", "booklet-writer")
    ordering = DemoTeam("hljomsmidjan", "tuners-keflavik", "order-desk")
    endpoints = (
        EndpointPlan("runner", ("booklets", "drafting"), 3),
        EndpointPlan("desk", ("print-orders", "order-desk"), 1, plain=True),
    )

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.number = 0

    def texts(self) -> list[tuple[str, str]]:
        """Return name and text of every file, in an order in which each finds what it names."""
        found = []
        for file in ORDER_OF_FILES:
            for house in HOUSES:
                if file == "limits" and house != HOUSES[0]:
                    continue
                text = (self.folder / house / f"{file}.yaml").read_text(encoding="utf-8")
                name = f"{house}-{file}"
                text = re.sub(r"(?m)^file: .*$", f"file: {name}", text, count=1)
                if house != HOUSES[0]:
                    text = text.replace(
                        f"- name: {SHARED_TEAM}\n", f"- name: {house}-{SHARED_TEAM}\n"
                    )
                found.append((name, text))
        return found

    def draining(self, endpoint: str) -> tuple[str, str]:
        """Return the next operations file, which drains one endpoint."""
        return self._operations([{"endpoint": endpoint}])

    def returning(self) -> tuple[str, str]:
        """Return the next operations file, which drains nothing."""
        return self._operations([])

    def _operations(self, drains: list[dict[str, str]]) -> tuple[str, str]:
        self.number += 1
        text = json.dumps({"file": OPERATIONS, "number": self.number, "drains": drains})
        return OPERATIONS, text
