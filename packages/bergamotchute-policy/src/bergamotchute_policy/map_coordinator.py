"""Coordinate a map change of a rank group: prepare, hold, commit to the log, notify.

The phases of a change, which ensure that no step uses two maps:

1. *Prepare*: every rank loads the weights of the new map beside those in use.
2. *Hold*: every rank promises to begin no step from step H on until the log has settled the
   change.
3. *Commit*: one compare-and-set in the log records the new epoch and H. It succeeds only if the
   log still has the version that the change is based on and no newer fencing number was issued.
4. *Notify*: every rank reads the record, from the coordinator or from its own view.

A rank begins steps before H with the old epoch and steps from H on with the new one. When the
decision is written, no rank has begun H, and none begins it before reading the decision. An
aborted change is settled by an abort in the log or by a newer fencing number; a rank that reads
either is released from its promise.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from enum import StrEnum

from bergamotchute_model.rank_messages import (
    NO_STEP,
    CoordinatorMessage,
    DecisionKnown,
    HoldStep,
    LoggedMapRecord,
    MapChangeId,
    MapChangeRefused,
    MapDecided,
    MapPrepared,
    MapRecord,
    MapRefusalReason,
    PrepareMap,
    RankAnswer,
    StepHeld,
)
from bergamotchute_policy.map_participant import ClockTick

HOLD_AHEAD_S = 0.3
MIN_HOLD_AHEAD_STEPS = 2
HOLD_TIMEOUT_S = 2.0
PREPARE_TIMEOUT_S = 60.0
RANK_RESEND_INTERVAL_S = 0.5
LOG_RETRY_INTERVAL_S = 1.0
MAX_TRIES = 4


class CoordinatorPhase(StrEnum):
    """The phase of a coordinator."""

    FENCING = "fencing"
    IDLE = "idle"
    PREPARING = "preparing"
    HOLDING = "holding"
    COMMITTING = "committing"
    ABORTING = "aborting"
    NOTIFYING = "telling"


@dataclass(frozen=True)
class MapChange:
    """A proposed map.

    :param data: the encoded map.
    :param absent: the ranks that the map excludes.
    :param abandons_step: whether the other ranks abandon the step in progress because an excluded
        rank blocks it.
    """

    digest: str
    data: bytes
    absent: tuple[int, ...] = ()
    abandons_step: bool = False


@dataclass(frozen=True)
class ProposeChange:
    """Request a change of the group's map; refused while another change is open."""

    change: MapChange


@dataclass(frozen=True)
class FenceAcquired:
    """The log issued a fencing number to this coordinator.

    :param number: the coordinator's fencing number.
    :param logged: the group's record, read after the number was issued.
    """

    number: int
    logged: LoggedMapRecord


@dataclass(frozen=True)
class DecisionLogged:
    """The log's answer to :class:`LogDecision`, with the record now in the log.

    :param granted: whether the decision was written to the log.
    """

    change: MapChangeId
    granted: bool
    version: int
    record: MapRecord | None


CoordinatorEvent = ProposeChange | FenceAcquired | DecisionLogged | RankAnswer | ClockTick


@dataclass(frozen=True)
class AcquireFence:
    """Request the group's next fencing number from the log, then read the record."""


@dataclass(frozen=True)
class LogDecision:
    """Replace version ``change.base_version`` of the record, under ``change.fence``."""

    change: MapChangeId
    record: MapRecord


@dataclass(frozen=True)
class SendToRanks:
    """Send a message to each of the given ranks."""

    ranks: tuple[int, ...]
    message: CoordinatorMessage


class ChangeEndReason(StrEnum):
    """The outcome of a change."""

    COMMITTED = "committed"
    BUSY = "busy"
    FENCED_OUT = "fenced_out"
    RANK_REFUSED = "rank_refused"
    PREPARE_TIMEOUT = "prepare_timeout"
    HOLD_TIMEOUT = "hold_timeout"


@dataclass(frozen=True)
class ChangeEnded:
    """A change was committed, aborted or refused.

    :param failed_ranks: the ranks that refused the change or did not answer in time.
    """

    digest: str
    reason: ChangeEndReason
    failed_ranks: tuple[int, ...] = ()


CoordinatorAction = AcquireFence | LogDecision | SendToRanks | ChangeEnded


@dataclass
class MapCoordinator:
    """Carries out one map change at a time for one rank group.

    A successor needs none of this state: the log settles each change, and ranks keep their
    promises until the log has settled the change.

    :param ranks: the number of ranks in the group, including absent ones.
    :param step_s: the duration of a step in seconds, used to set the hold far enough ahead.
    :param fence: this coordinator's fencing number; 0 before the first is issued.
    :param change: the open change. A change that a newer fencing number ended, as happens when a
        rank restarts, is retried as long as the epoch is unchanged.
    :param newest_begun_step: the newest step that any rank reported as begun while preparing.
    :param base_epoch: the epoch in force when the open change was proposed.
    :param abort_reason: why the open change is being aborted; ``None`` when it is not.
    :param unanswered_ranks: the ranks that have not yet answered in this phase.
    :param hold: the step that the ranks are asked to hold at.
    """

    group: str
    ranks: int
    step_s: float = 0.034
    phase: CoordinatorPhase = CoordinatorPhase.FENCING
    fence: int = 0
    logged: LoggedMapRecord = field(default_factory=lambda: LoggedMapRecord(0, 0, None))
    change: MapChange | None = None
    unanswered_ranks: set[int] = field(default_factory=set)
    newest_begun_step: int = NO_STEP
    hold: int = 0
    base_epoch: int = 0
    try_count: int = 0
    abort_reason: ChangeEndReason | None = None
    failed_ranks: tuple[int, ...] = ()
    phase_started_at_s: float = 0.0
    last_sent_at_s: float = float("-inf")

    def step(self, event: CoordinatorEvent, now: float) -> list[CoordinatorAction]:
        """Handle an event; return the actions to take, in order."""
        actions: list[CoordinatorAction] = []
        match event:
            case ProposeChange():
                actions = self.on_propose_change(event, now)
            case FenceAcquired():
                actions = self.on_fence_acquired(event, now)
            case DecisionLogged():
                actions = self.on_decision_logged(event, now)
            case MapPrepared():
                actions = self.on_map_prepared(event, now)
            case StepHeld():
                actions = self.on_step_held(event, now)
            case MapChangeRefused():
                actions = self.on_change_refused(event, now)
            case DecisionKnown():
                actions = self.on_decision_known(event, now)
            case ClockTick():
                actions = self.on_clock_tick(now)
        return actions

    @property
    def change_id(self) -> MapChangeId:
        """The identifier of the open change, or of the next one."""
        return MapChangeId(self.logged.version, self.fence)

    @property
    def epoch(self) -> int:
        """The newest epoch known to the coordinator; 0 for none."""
        return self.logged.record.epoch if self.logged.record is not None else 0

    @property
    def members(self) -> tuple[int, ...]:
        """The ranks that take part in the open change."""
        absent = self.change.absent if self.change is not None else ()
        return tuple(rank for rank in range(self.ranks) if rank not in absent)

    def on_propose_change(self, event: ProposeChange, now: float) -> list[CoordinatorAction]:
        """Begin a change; refuse it while another is open."""
        if self.phase is not CoordinatorPhase.IDLE:
            return [ChangeEnded(event.change.digest, ChangeEndReason.BUSY)]
        self.change = event.change
        self.base_epoch = self.epoch
        self.try_count = 0
        return self._enter_phase(CoordinatorPhase.PREPARING, now)

    def on_fence_acquired(self, event: FenceAcquired, now: float) -> list[CoordinatorAction]:
        """Start coordinating; first abort in the log any change that the predecessor left open."""
        if event.number <= self.fence:
            return []
        self.fence = event.number
        self.logged = event.logged
        if event.logged.fence > event.number:
            return self._enter_phase(CoordinatorPhase.FENCING, now)
        if self.logged.record is None:
            return self._enter_phase(CoordinatorPhase.IDLE, now)
        return self._enter_phase(CoordinatorPhase.ABORTING, now)

    def on_map_prepared(self, answer: MapPrepared, now: float) -> list[CoordinatorAction]:
        """Mark a rank as prepared; start holding once all ranks are."""
        if self.phase is not CoordinatorPhase.PREPARING or answer.change != self.change_id:
            return []
        self.newest_begun_step = max(self.newest_begun_step, answer.begun)
        self.unanswered_ranks.discard(answer.rank)
        return [] if self.unanswered_ranks else self._enter_phase(CoordinatorPhase.HOLDING, now)

    def on_step_held(self, answer: StepHeld, now: float) -> list[CoordinatorAction]:
        """Mark a rank as holding; commit once all ranks are."""
        if self.phase is not CoordinatorPhase.HOLDING or answer.change != self.change_id:
            return []
        if answer.step != self.hold:
            return []
        self.unanswered_ranks.discard(answer.rank)
        return [] if self.unanswered_ranks else self._enter_phase(CoordinatorPhase.COMMITTING, now)

    def on_change_refused(self, answer: MapChangeRefused, now: float) -> list[CoordinatorAction]:
        """Abort the change, unless the rank is merely not ready yet."""
        if (
            self.phase not in {CoordinatorPhase.PREPARING, CoordinatorPhase.HOLDING}
            or answer.change != self.change_id
        ):
            return []
        if answer.reason in {MapRefusalReason.NOT_JOINED, MapRefusalReason.NOT_SWITCHED}:
            return []
        if answer.reason is MapRefusalReason.OLD_FENCE:
            return self._retry_with_newer_fence(now)
        return self._abort_change(ChangeEndReason.RANK_REFUSED, (answer.rank,), now)

    def on_decision_logged(self, event: DecisionLogged, now: float) -> list[CoordinatorAction]:
        """Notify the ranks of the decision; if the log rejected it, retry with a newer fence."""
        if event.change != self.change_id:
            return []
        if self.phase not in {CoordinatorPhase.COMMITTING, CoordinatorPhase.ABORTING}:
            return []
        if not event.granted:
            return self._retry_with_newer_fence(now)
        self.logged = LoggedMapRecord(event.version, self.fence, event.record)
        ended: list[CoordinatorAction] = []
        if self.phase is CoordinatorPhase.COMMITTING:
            ended = self._end_change(ChangeEndReason.COMMITTED)
        elif self.abort_reason is not None:
            ended = self._end_change(self.abort_reason)
        return [*ended, *self._enter_phase(CoordinatorPhase.NOTIFYING, now)]

    def on_decision_known(self, answer: DecisionKnown, now: float) -> list[CoordinatorAction]:
        """Mark a rank as notified of the decision."""
        if self.phase is not CoordinatorPhase.NOTIFYING or answer.version != self.logged.version:
            return []
        self.unanswered_ranks.discard(answer.rank)
        return [] if self.unanswered_ranks else self._enter_phase(CoordinatorPhase.IDLE, now)

    def on_clock_tick(self, now: float) -> list[CoordinatorAction]:
        """Abort a change that takes too long; resend messages that were not answered."""
        elapsed_s = now - self.phase_started_at_s
        if self.phase is CoordinatorPhase.PREPARING and elapsed_s >= PREPARE_TIMEOUT_S:
            return self._abort_change(
                ChangeEndReason.PREPARE_TIMEOUT, self._sorted_unanswered_ranks(), now
            )
        if self.phase is CoordinatorPhase.HOLDING and elapsed_s >= HOLD_TIMEOUT_S:
            return self._abort_change(
                ChangeEndReason.HOLD_TIMEOUT, self._sorted_unanswered_ranks(), now
            )
        if self.phase is CoordinatorPhase.NOTIFYING and elapsed_s >= HOLD_TIMEOUT_S:
            # Unreachable ranks read the record from their own view; the next change waits for
            # them.
            return self._enter_phase(CoordinatorPhase.IDLE, now)
        awaits_log = self.phase in {
            CoordinatorPhase.FENCING,
            CoordinatorPhase.COMMITTING,
            CoordinatorPhase.ABORTING,
        }
        if now - self.last_sent_at_s < (
            LOG_RETRY_INTERVAL_S if awaits_log else RANK_RESEND_INTERVAL_S
        ):
            return []
        return self._phase_requests(now)

    def _sorted_unanswered_ranks(self) -> tuple[int, ...]:
        """Return the ranks that have not answered in this phase, in ascending order."""
        return tuple(sorted(self.unanswered_ranks))

    def _abort_change(
        self, reason: ChangeEndReason, failed_ranks: tuple[int, ...], now: float
    ) -> list[CoordinatorAction]:
        """Abort the open change."""
        self.abort_reason = reason
        self.failed_ranks = failed_ranks
        if self.logged.record is None:
            # No map is in force yet, so there is no record to note the abort in. A newer fencing
            # number settles the change instead.
            return [*self._end_change(reason), *self._enter_phase(CoordinatorPhase.FENCING, now)]
        return self._enter_phase(CoordinatorPhase.ABORTING, now)

    def _retry_with_newer_fence(self, now: float) -> list[CoordinatorAction]:
        """Request a newer fencing number; end the open change after ``MAX_TRIES`` tries."""
        self.try_count += 1
        ended: list[CoordinatorAction] = []
        if self.abort_reason is not None or self.try_count >= MAX_TRIES:
            ended = self._end_change(self.abort_reason or ChangeEndReason.FENCED_OUT)
        return [*ended, *self._enter_phase(CoordinatorPhase.FENCING, now)]

    def _end_change(self, reason: ChangeEndReason) -> list[CoordinatorAction]:
        """Close the open change and return its outcome."""
        if self.change is None:
            return []
        ended = ChangeEnded(self.change.digest, reason, self.failed_ranks)
        self.change = None
        self.abort_reason = None
        self.failed_ranks = ()
        return [ended]

    def _enter_phase(self, phase: CoordinatorPhase, now: float) -> list[CoordinatorAction]:
        """Enter a phase; retry a change that is still open instead of becoming idle."""
        ended: list[CoordinatorAction] = []
        if phase is CoordinatorPhase.IDLE and self.change is not None:
            if self.epoch == self.base_epoch:
                phase = CoordinatorPhase.PREPARING
            else:
                ended = self._end_change(ChangeEndReason.FENCED_OUT)
        self.phase = phase
        self.phase_started_at_s = now
        if phase is CoordinatorPhase.PREPARING:
            self.newest_begun_step = NO_STEP
        if phase is CoordinatorPhase.HOLDING:
            self.hold = self._next_hold_step()
        if phase is CoordinatorPhase.NOTIFYING:
            assert self.logged.record is not None
            self.unanswered_ranks = set(self.logged.record.members)
        else:
            self.unanswered_ranks = set(self.members)
        return [*ended, *self._phase_requests(now)]

    def _next_hold_step(self) -> int:
        """Return a step that no rank is expected to begin before it is asked to hold."""
        if self.logged.record is None:
            return self.newest_begun_step + 1
        ahead_steps = max(MIN_HOLD_AHEAD_STEPS, math.ceil(HOLD_AHEAD_S / self.step_s))
        if self.change is not None and self.change.abandons_step:
            ahead_steps = MIN_HOLD_AHEAD_STEPS + 1
        return max(self.newest_begun_step, self.logged.record.switch_step) + ahead_steps

    def _phase_requests(self, now: float) -> list[CoordinatorAction]:
        """Return the requests of this phase to the log or to the ranks that have not answered."""
        self.last_sent_at_s = now
        match self.phase:
            case CoordinatorPhase.IDLE:
                return []
            case CoordinatorPhase.FENCING:
                return [AcquireFence()]
            case CoordinatorPhase.COMMITTING | CoordinatorPhase.ABORTING:
                return [LogDecision(self.change_id, self._record_to_write())]
        return [SendToRanks(self._sorted_unanswered_ranks(), self._phase_message())]

    def _phase_message(self) -> CoordinatorMessage:
        """Return the message that this phase sends to ranks."""
        if self.phase is CoordinatorPhase.NOTIFYING:
            return MapDecided(self.group, self.logged)
        change = self.change
        assert change is not None
        if self.phase is CoordinatorPhase.PREPARING:
            return PrepareMap(self.group, self.change_id, self.logged, change.digest, change.data)
        return HoldStep(self.group, self.change_id, self.logged, self.hold, change.abandons_step)

    def _record_to_write(self) -> MapRecord:
        """Return the record to write: the new epoch, or the current record with the abort noted."""
        current_record = self.logged.record
        if self.phase is CoordinatorPhase.ABORTING:
            assert current_record is not None
            return replace(current_record, aborted=self.change_id)
        assert self.change is not None
        previous_members = current_record.members if current_record is not None else ()
        return MapRecord(
            epoch=current_record.epoch + 1 if current_record is not None else 1,
            digest=self.change.digest,
            switch_step=self.hold,
            change=self.change_id,
            ranks=self.ranks,
            absent=self.change.absent,
            joiners=tuple(rank for rank in self.members if rank not in previous_members),
            fresh=self.change.abandons_step,
            previous_epoch=current_record.epoch if current_record is not None else 0,
            previous_digest=current_record.digest if current_record is not None else "",
        )
