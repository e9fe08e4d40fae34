"""When a new cluster may be founded.

A majority of emptied folders looks like a new cluster to itself. So founding takes the operator's
explicit word on every voter, and the presence of **all** of them, each without a cluster: one
survivor that answers is enough to stop it.
"""

from __future__ import annotations

from collections.abc import Mapping

from bergamotchute_consensus.membership import Member
from bergamotchute_consensus.messages import Introduction
from bergamotchute_model.identifiers import Address


def founding_voters(
    mine: Introduction, others: Mapping[Address, Introduction]
) -> tuple[Member, ...] | None:
    """Return the voters with which this replica founds a cluster, or ``None`` while it may not.

    Only the replica of the lowest address founds; the others are adopted by it.

    :param mine: what this replica says of itself.
    :param others: what was last heard from each address, lately.
    """
    if not mine.founding or mine.cluster or mine.sender.address != min(mine.voters):
        return None
    known = {**others, mine.sender.address: mine}
    wanted = [known.get(address) for address in mine.voters]
    members: list[Member] = []
    for introduction in wanted:
        if introduction is None or not _agrees(introduction, mine):
            return None
        members.append(introduction.sender)
    return tuple(members)


def _agrees(other: Introduction, mine: Introduction) -> bool:
    return other.founding and not other.cluster and other.voters == mine.voters
