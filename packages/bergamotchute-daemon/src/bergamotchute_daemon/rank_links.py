"""Links from a process to its descendant ranks in the tree of a rank group."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import TypeAlias

from bergamotchute_daemon.on_demand_links import OnDemandLinks
from bergamotchute_model.rank_messages import CoordinatorMessage, FanOut, RankMessage
from bergamotchute_policy.map_tree import split_into_branches
from bergamotchute_wire.link import Link

DialRank: TypeAlias = Callable[[int], AbstractAsyncContextManager[Link[RankMessage]]]
"""Opens a link to a rank's agent at its newest address; raises :exc:`DialFailed`."""

RankLinks: TypeAlias = OnDemandLinks[int, RankMessage]


def fan_out(
    links: RankLinks,
    number: int,
    message: CoordinatorMessage,
    ranks: tuple[int, ...],
    *,
    previous_send_count: int = 0,
) -> None:
    """Send a message to ranks through the tree; each link carries it for one subtree.

    :param number: number that answers repeat, which matches them to the message.
    :param previous_send_count: number of previous sends, each of which used other branch roots.
    """
    for branch in split_into_branches(ranks, previous_send_count=previous_send_count):
        links.send(branch.root_rank, FanOut(number, message, branch.descendants))
