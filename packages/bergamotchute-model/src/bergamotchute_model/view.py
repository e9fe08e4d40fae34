"""The part of the control state that is distributed to entries and agents."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


class ViewChange:
    """Base class for changes of the view."""

    name: str
    revision: int


@dataclass(frozen=True)
class FileInForce(ViewChange):
    """An operator file in force.

    :param revision: the revision at which it came into force.
    """

    name: str
    number: int
    text: str
    digest: str
    revision: int
    kind: Literal["file_in_force"] = "file_in_force"


@dataclass(frozen=True)
class DecisionInForce(ViewChange):
    """A controller's decision in force.

    :param fence: the newest fencing number issued for the scope of the decision.
    """

    name: str
    version: int
    fence: int
    value: bytes
    revision: int
    kind: Literal["decision_in_force"] = "decision_in_force"
