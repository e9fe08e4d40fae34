"""Selects the control VMs that an entry or agent is linked to, its parents.

When hundreds of processes start or reconnect together, links from each of them to every control VM
would cost the control VMs more than their share of a core, so each process links to some. Entries
link to more than half of them: what a quorum has acknowledged is then known at one parent at least,
however the group is split. Parents are chosen by a hash of the names of both, which spreads the
links evenly over the control VMs and keeps most links when a control VM is added or removed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum

from xxhash import xxh3_64_intdigest

from bergamotchute_model.identifiers import Address

PARENT_COUNT = 3
"""Sound parents that a follower keeps. One more than the number of disks that a deployment may lose
at once, so at least one parent stays sound."""

MAX_PARENT_COUNT = 2 * PARENT_COUNT
"""Maximum links of a process with :data:`PARENT_COUNT` parents while some are doubtful."""


class ParentHealth(StrEnum):
    """The health of a control VM as a follower sees it.

    ``SOUND`` is linked and knows a leader, ``DOUBTFUL`` is linked and knows none. ``OPENING`` began to
    connect, or was linked without knowing a leader, only a short time ago. ``UNREACHABLE`` began to
    connect longer ago.
    """

    SOUND = "sound"
    OPENING = "opening"
    DOUBTFUL = "doubtful"
    UNREACHABLE = "unreachable"


def few_parents(_: int) -> int:
    """Return :data:`PARENT_COUNT`, for a process that may hear of news some seconds late."""
    return PARENT_COUNT


def majority_of_parents(group_size: int) -> int:
    """Return how many parents can't all be in the part of a split group that has no quorum.

    :param group_size: the number of control VMs in the group.
    """
    return max(PARENT_COUNT, group_size // 2 + 1)


def order_parents(follower: str, known: Iterable[Address]) -> list[Address]:
    """Return the control VMs in the follower's order of preference."""
    return sorted(
        known, key=lambda address: (xxh3_64_intdigest(f"{follower} {address}".encode()), address)
    )


def choose_parents(
    order: Iterable[Address], health: Callable[[Address], ParentHealth], count: int = PARENT_COUNT
) -> list[Address]:
    """Return the control VMs to link to, until ``count`` of them are sound or may become so soon.

    The others are kept in addition, as they may recover. At most ``2 * count`` are returned beside
    those that can't be reached.
    """
    chosen: list[Address] = []
    hopeful = unreachable = 0
    for address in order:
        if hopeful >= count or len(chosen) - unreachable >= 2 * count:
            break
        chosen.append(address)
        known_health = health(address)
        hopeful += known_health in (ParentHealth.SOUND, ParentHealth.OPENING)
        unreachable += known_health is ParentHealth.UNREACHABLE
    return chosen
