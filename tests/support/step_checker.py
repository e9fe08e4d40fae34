"""Checker for the step history of a rank group: all ranks use one map in each step."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class StepBegun:
    """The event that a rank began a step with the map of an epoch.

    :param digest: the digest of the map that the rank used.
    """

    rank: int
    step: int
    epoch: int
    digest: str


def faults(history: list[StepBegun]) -> list[str]:
    """Return a line for each step that used several maps and each epoch with several maps."""
    maps_by_step: dict[int, set[tuple[int, str]]] = {}
    for begun in history:
        maps_by_step.setdefault(begun.step, set()).add((begun.epoch, begun.digest))
    found = [
        f"step {step} used {sorted(used)}" for step, used in maps_by_step.items() if len(used) > 1
    ]
    digests_by_epoch: dict[int, set[str]] = {}
    for begun in history:
        digests_by_epoch.setdefault(begun.epoch, set()).add(begun.digest)
    found += [
        f"epoch {epoch} was {sorted(names)}"
        for epoch, names in digests_by_epoch.items()
        if len(names) > 1
    ]
    return found
