"""Checks the history of a rank group: every step used one map on all ranks."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class StepBegun:
    """A rank began a step with an epoch.

    :param digest: the digest of the map that the rank used.
    """

    rank: int
    step: int
    epoch: int
    digest: str


def faults(history: list[StepBegun]) -> list[str]:
    """Return a line for each step that two maps were used in, and each epoch of two maps."""
    maps: dict[int, set[tuple[int, str]]] = {}
    for begun in history:
        maps.setdefault(begun.step, set()).add((begun.epoch, begun.digest))
    found = [f"step {step} used {sorted(used)}" for step, used in maps.items() if len(used) > 1]
    digests: dict[int, set[str]] = {}
    for begun in history:
        digests.setdefault(begun.epoch, set()).add(begun.digest)
    found += [
        f"epoch {epoch} was {sorted(names)}" for epoch, names in digests.items() if len(names) > 1
    ]
    return found
