"""Links to the ranks below a process in the tree of a rank group."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import TypeAlias

from bergamotchute_daemon.on_demand_links import OnDemandLinks
from bergamotchute_model.rank_messages import CoordinatorMessage, FanOut, RankMessage
from bergamotchute_policy.map_tree import split_into_branches
from bergamotchute_wire.link import Link

DialRank: TypeAlias = Callable[[int], AbstractAsyncContextManager[Link[RankMessage]]]
"""Opens a link to a rank's agent by its newest announcement; raises :exc:`DialFailed`."""

RankLinks: TypeAlias = OnDemandLinks[int, RankMessage]


def fan_out(
    links: RankLinks,
    number: int,
    message: CoordinatorMessage,
    ranks: tuple[int, ...],
    *,
    turn: int = 0,
) -> None:
    """Send a message towards ranks, each link carrying it for a whole subtree.

    :param number: matches the answers.
    :param turn: how often the message was sent before; other ranks head the subtrees each time.
    """
    for branch in split_into_branches(ranks, previous_send_count=turn):
        links.send(branch.root_rank, FanOut(number, message, branch.descendants))
