"""Which control VMs an entry or agent follows.

Load pattern: hundreds of processes start or come back together. Links of each to every control VM
cost those more than their part of a core, so each follows a few. Parents are chosen by a hash of
both names: even over the control VMs, and unchanged for most when one of them comes or goes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum

from xxhash import xxh3_64_intdigest

from bergamotchute_model.identifiers import Address

PARENTS = 3
"""One more than the disks that deployments let be lost together, so one parent is always sound."""

PARENTS_MAX = 2 * PARENTS
"""Links while parents are in doubt; a split of the control group can't take in all of these."""


class ParentHealth(StrEnum):
    """How a control VM looks from a follower.

    ``SOUND`` is linked and hears of a leader; ``OPENING`` is being linked for a short time.
    """

    SOUND = "sound"
    OPENING = "opening"
    DOUBTFUL = "doubtful"


def parent_order(follower: str, known: Iterable[Address]) -> list[Address]:
    """Return the control VMs in the order in which a follower prefers them."""
    return sorted(known, key=lambda each: (xxh3_64_intdigest(f"{follower} {each}".encode()), each))


def choose_parents(
    order: Iterable[Address], health: Callable[[Address], ParentHealth], count: int = PARENTS
) -> list[Address]:
    """Return the control VMs to be linked to: as many as it takes for ``count`` to be sound.

    Those in doubt are linked besides, as they may come back.
    """
    chosen: list[Address] = []
    sound = 0
    for address in order:
        if sound >= count or len(chosen) >= 2 * count:
            break
        chosen.append(address)
        sound += health(address) is not ParentHealth.DOUBTFUL
    return chosen
