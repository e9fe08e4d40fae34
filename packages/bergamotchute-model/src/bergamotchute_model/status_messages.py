"""Status queries for the deployment and the reports that answer them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True)
class VoterStatus:
    """Status of a replica of the control log, as known to the leader.

    :param replica: identity of the replica.
    :param votes: whether the replica votes; a new replica does so only after it has copied the log.
    :param reachable: whether the replica answered recently.
    :param caught_up: whether the replica has all committed entries, as far as the leader knows.
    """

    replica: str
    address: str
    votes: bool
    reachable: bool
    caught_up: bool


@dataclass(frozen=True)
class ControlStatus:
    """Status of the control group, as known to the leader.

    :param leader: identity of the leader.
    :param committed: the newest committed log index.
    :param can_lose: count of further voters that can be lost while a quorum with all committed
        entries remains.
    """

    leader: str
    term: int
    committed: int
    voters: tuple[VoterStatus, ...]
    can_lose: int


@dataclass(frozen=True)
class ViewPropagation:
    """Propagation of a view revision to the children of one or more relays.

    :param holders: count of children that hold a view.
    :param behind: names of children whose view is older than ``revision``; at most
        :data:`MAX_BEHIND_NAMES`.
    :param behind_count: total count of these children.
    :param relays: count of relays included.
    """

    revision: int
    holders: int = 0
    behind: tuple[str, ...] = ()
    behind_count: int = 0
    relays: int = 0


MAX_BEHIND_NAMES = 50


@dataclass(frozen=True)
class QueryStatus:
    """Child to relay, relay to relay, and relay to voter: query the status.

    :param revision: the view revision whose propagation is queried; 0 for the revision of the
        queried relay.
    :param children_only: whether a relay reports only its own children.
    """

    query_id: str
    revision: int = 0
    children_only: bool = False
    kind: Literal["ask_status"] = "ask_status"


@dataclass(frozen=True)
class StatusReport:
    """Reply to :class:`QueryStatus`.

    :param control: status from the leader, directly or forwarded; ``None`` if none was reached.
    :param reach: propagation of the view, from a relay.
    """

    query_id: str
    control: ControlStatus | None = None
    reach: ViewPropagation | None = None
    kind: Literal["status_report"] = "status_report"


def merge_view_propagation(first: ViewPropagation, second: ViewPropagation) -> ViewPropagation:
    """Return the propagation to the children of both groups of relays."""
    return ViewPropagation(
        first.revision,
        first.holders + second.holders,
        (first.behind + second.behind)[:MAX_BEHIND_NAMES],
        first.behind_count + second.behind_count,
        first.relays + second.relays,
    )
