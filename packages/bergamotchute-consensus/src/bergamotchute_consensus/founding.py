"""Conditions for founding a new cluster.

Voters whose data folders were emptied can't tell that they belonged to a cluster, even if they are
a majority. So founding requires the operator's explicit flag on every voter, and an introduction
from **all** voters that says they belong to no cluster: a single surviving voter prevents it.

An introduction may arrive after its sender has joined a cluster. So it counts only if it names the
identity of the replica that is to found: that folder has been made before the introduction.
"""

from __future__ import annotations

from collections.abc import Mapping

from bergamotchute_consensus.membership import Member
from bergamotchute_consensus.messages import Introduction
from bergamotchute_model.identifiers import Address


def founding_voters(
    mine: Introduction, others: Mapping[Address, Introduction]
) -> tuple[Member, ...] | None:
    """Return the voters of the cluster to found, or ``None`` while founding is not allowed.

    Only the replica with the lowest address founds the cluster; the others join through its
    messages.

    :param mine: the introduction that this replica sends.
    :param others: the last recent introduction from each address.
    """
    if not mine.founding or mine.cluster or mine.sender.address != min(mine.voters):
        return None
    known = {**others, mine.sender.address: mine}
    wanted = [known.get(address) for address in mine.voters]
    members: list[Member] = []
    for introduction in wanted:
        if introduction is None or not (introduction is mine or _agrees(introduction, mine)):
            return None
        members.append(introduction.sender)
    return tuple(members)


def _agrees(other: Introduction, mine: Introduction) -> bool:
    has_heard = other.heard is None or mine.sender.replica in other.heard
    return has_heard and other.founding and not other.cluster and other.voters == mine.voters
