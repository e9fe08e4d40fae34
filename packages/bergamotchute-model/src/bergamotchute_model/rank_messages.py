"""Messages between a map coordinator and the ranks of its group, and the logged map record."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Literal

NO_STEP = -1


class RankAnswer:
    """Base class for messages from a rank to the map coordinator."""


class CoordinatorMessage:
    """Base class for messages from the map coordinator to a rank."""


@dataclass(frozen=True, order=True)
class MapChangeId:
    """Identifies an attempt to change a group's map.

    An attempt is committed to the log only if ``base_version`` is the current version and ``fence``
    the newest fencing number, and every attempt that ends advances one of the two. A version above
    ``base_version`` or a fence above ``fence`` therefore decides finally whether the change took
    place.

    :param base_version: version of the record that the change is based on.
    :param fence: fencing number of the coordinator.
    """

    base_version: int
    fence: int


@dataclass(frozen=True)
class MapRecord:
    """The logged record of a rank group's map, stored as the decision ``map/GROUP``.

    Steps from ``switch_step`` on use ``epoch``; earlier steps use the previous epoch.

    :param digest: digest of the epoch's map; the ranks store the map itself.
    :param change: the change that put the epoch in force.
    :param ranks: count of ranks in the group, including absent ones.
    :param absent: ranks that were removed.
    :param joiners: ranks that take part from ``switch_step`` on and in no earlier step.
    :param fresh: whether no rank may begin a step before ``switch_step`` any more.
    :param aborted: the newest change that was aborted.
    """

    epoch: int
    digest: str
    switch_step: int
    change: MapChangeId
    ranks: int
    absent: tuple[int, ...] = ()
    joiners: tuple[int, ...] = ()
    fresh: bool = False
    previous_epoch: int = 0
    previous_digest: str = ""
    aborted: MapChangeId | None = None

    @property
    def members(self) -> tuple[int, ...]:
        """Ranks that take part in steps."""
        return tuple(rank for rank in range(self.ranks) if rank not in self.absent)

    def first_step(self, rank: int) -> int:
        """Return the first step that this record allows a member to begin."""
        return self.switch_step if self.fresh or rank in self.joiners else 0

    def epoch_at(self, step: int) -> int:
        """Return the epoch that a step uses."""
        return self.epoch if step >= self.switch_step else self.previous_epoch


@dataclass(frozen=True)
class LoggedMapRecord:
    """A group's map record as returned by a confirmed read of the log.

    :param version: 0 if there is no record yet.
    :param fence: the newest fencing number that had been issued at the time of the read.
    """

    version: int
    fence: int
    record: MapRecord | None


@dataclass(frozen=True)
class PrepareMap(CoordinatorMessage):
    """Coordinator to rank: load the weights for the new map, in addition to those in use.

    :param logged: the record that the change is based on, read after the fence was issued.
    :param digest: the digest of the new map.
    :param data: the new map, encoded.
    """

    group: str
    change: MapChangeId
    logged: LoggedMapRecord
    digest: str
    data: bytes
    kind: Literal["prepare_map"] = "prepare_map"


@dataclass(frozen=True)
class MapPrepared(RankAnswer):
    """Rank to coordinator: the weights for the new map are loaded.

    :param begun: the newest step that the rank has begun.
    """

    group: str
    change: MapChangeId
    rank: int
    incarnation: str
    begun: int
    kind: Literal["map_prepared"] = "map_prepared"


@dataclass(frozen=True)
class HoldStep(CoordinatorMessage):
    """Coordinator to rank: begin no step from ``step`` on until the log has decided the change.

    :param leaves: whether to abandon the current step and begin none before ``step`` either; used
        when the other ranks are blocked by a rank that will not return.
    """

    group: str
    change: MapChangeId
    logged: LoggedMapRecord
    step: int
    leaves: bool = False
    kind: Literal["hold_step"] = "hold_step"


@dataclass(frozen=True)
class StepHeld(RankAnswer):
    """Rank to coordinator: the hold is accepted and binding until the log decides the change."""

    group: str
    change: MapChangeId
    rank: int
    incarnation: str
    step: int
    begun: int
    kind: Literal["step_held"] = "step_held"


class MapRefusalReason(StrEnum):
    """Reason why a rank refuses to take part in a change."""

    OLD_FENCE = "old_fence"
    STEP_BEGUN = "step_begun"
    NOT_SWITCHED = "not_switched"
    NOT_PREPARED = "not_prepared"
    NOT_JOINED = "not_joined"
    LOAD_FAILED = "load_failed"


@dataclass(frozen=True)
class MapChangeRefused(RankAnswer):
    """Rank to coordinator: the rank refuses to take part in the change."""

    group: str
    change: MapChangeId
    rank: int
    incarnation: str
    reason: MapRefusalReason
    begun: int
    kind: Literal["change_refused"] = "change_refused"


@dataclass(frozen=True)
class MapDecided(CoordinatorMessage):
    """Coordinator to rank: the current record in the log."""

    group: str
    logged: LoggedMapRecord
    kind: Literal["map_decided"] = "map_decided"


@dataclass(frozen=True)
class DecisionKnown(RankAnswer):
    """Rank to coordinator: the rank knows the record of this version."""

    group: str
    version: int
    rank: int
    incarnation: str
    kind: Literal["decision_known"] = "decision_known"


@dataclass(frozen=True)
class RankReport(RankAnswer):
    """Rank to coordinator: progress, waiting time and work of a rank.

    ``work`` and ``compute_s`` cover the same steps, so that the speed derived from them is valid
    for any map.

    :param sequence: increases with each report of one incarnation.
    :param begun: the newest step that the rank has begun.
    :param epoch: the epoch that this step uses.
    :param waiting_s: time for which the rank has waited for others at that step, in seconds; 0
        while it computes.
    :param work: work done since the previous report, in tokens.
    :param compute_s: time that the rank itself took to compute it, in seconds.
    :param counts: token counts by layer and expert seen by the rank's router, as little-endian
        float32.
    """

    group: str
    rank: int
    incarnation: str
    sequence: int
    begun: int
    epoch: int
    waiting_s: float
    work: float
    compute_s: float
    counts: bytes = b""
    kind: Literal["rank_report"] = "rank_report"


@dataclass(frozen=True)
class FetchMap:
    """To a rank: send the map with this digest."""

    group: str
    digest: str
    kind: Literal["fetch_map"] = "fetch_map"


@dataclass(frozen=True)
class MapData:
    """From a rank: reply to :class:`FetchMap`.

    :param data: the encoded map; empty if the rank does not have it.
    """

    group: str
    digest: str
    data: bytes
    kind: Literal["map_data"] = "map_data"


@dataclass(frozen=True)
class FanOut:
    """Coordinator or rank to rank: handle a message and forward it down the tree.

    :param number: identifies the message in the answers to it.
    :param subtree: the ranks below the receiver, to which it forwards the message.
    """

    number: int
    message: CoordinatorMessage
    subtree: tuple[int, ...]
    kind: Literal["fan_out"] = "fan_out"


@dataclass(frozen=True)
class GatheredAnswers:
    """Rank to its parent in the tree: its own answers and those of the ranks below it.

    :param number: number of the :class:`FanOut` that is answered.
    """

    number: int
    answers: tuple[RankAnswer, ...] = field(default=())
    kind: Literal["gathered"] = "gathered"


RankMessage = (
    PrepareMap
    | HoldStep
    | MapDecided
    | MapPrepared
    | StepHeld
    | MapChangeRefused
    | DecisionKnown
    | RankReport
    | FetchMap
    | MapData
    | FanOut
    | GatheredAnswers
)
