"""Questions about the state of the whole, and the reports that answer them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True)
class VoterStatus:
    """One replica of the control log, as its leader sees it.

    :param replica: its identity.
    :param votes: whether it has a vote yet; a new replica first learns the log.
    :param reachable: whether it answered lately.
    :param caught_up: whether it holds all that is committed, as far as the leader knows.
    """

    replica: str
    address: str
    votes: bool
    reachable: bool
    caught_up: bool


@dataclass(frozen=True)
class ControlStatus:
    """The control group, as its leader sees it.

    :param leader: the leader's identity.
    :param committed: the newest committed log index.
    :param can_lose: further voters whose loss leaves a quorum that holds everything.
    """

    leader: str
    term: int
    committed: int
    voters: tuple[VoterStatus, ...]
    can_lose: int


@dataclass(frozen=True)
class Reach:
    """How far the view has reached among the children of some relays.

    :param holders: children that hold a view.
    :param behind: names of those whose view is older than ``revision``; at most
        :data:`BEHIND_NAMED`.
    :param behind_count: how many they are.
    :param relays: relays that are counted in.
    """

    revision: int
    holders: int = 0
    behind: tuple[str, ...] = ()
    behind_count: int = 0
    relays: int = 0


BEHIND_NAMED = 50


@dataclass(frozen=True)
class AskStatus:
    """Child to relay, relay to relay, and relay to voter: how do things stand?

    :param revision: the view revision whose reach is asked for; 0 for the asked relay's own.
    :param children_only: asks a relay for its own children alone.
    """

    query_id: str
    revision: int = 0
    children_only: bool = False
    kind: Literal["ask_status"] = "ask_status"


@dataclass(frozen=True)
class StatusReport:
    """The answer to :class:`AskStatus`.

    :param control: from a leader, or passed on from one; ``None`` where none was reached.
    :param reach: from a relay.
    """

    query_id: str
    control: ControlStatus | None = None
    reach: Reach | None = None
    kind: Literal["status_report"] = "status_report"


def join_reach(first: Reach, second: Reach) -> Reach:
    """Return the reach over the children of both."""
    return Reach(
        first.revision,
        first.holders + second.holders,
        (first.behind + second.behind)[:BEHIND_NAMED],
        first.behind_count + second.behind_count,
        first.relays + second.relays,
    )
