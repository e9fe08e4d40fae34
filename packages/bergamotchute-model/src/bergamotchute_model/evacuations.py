"""Evacuations of availability zones: while one is in force, no request is sent to its endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True)
class ZoneEvacuation:
    """Whether an availability zone is evacuated.

    :param version: counts the changes of this zone in the control log; a higher one is newer.
    """

    availability_zone: str
    version: int
    is_evacuated: bool


@dataclass(frozen=True)
class EvacuationsInForce:
    """The evacuations that the log records: all of them, or those that changed.

    A zone whose evacuation has ended is listed too, so that an older message can't reinstate it.
    """

    zones: tuple[ZoneEvacuation, ...]
    kind: Literal["evacuations_in_force"] = "evacuations_in_force"
