"""Take part in a map change as one rank: keep promises, and know the epoch of each step."""

from __future__ import annotations

from dataclasses import dataclass

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

STALL_TIMEOUT_S = 1.0
STALL_TIMEOUT_PER_RANK_S = 0.1
MAX_STAGGERED_RANKS = 20
FENCE_REQUEST_INTERVAL_S = 1.0


@dataclass(frozen=True)
class WeightLoadFinished:
    """The engine loaded a map's weights beside those in use, or failed to."""

    digest: str
    is_loaded: bool = True


@dataclass(frozen=True)
class MapRecordRead:
    """The rank read this record from its own confirmed view."""

    logged: LoggedMapRecord


@dataclass(frozen=True)
class FenceAdvanced:
    """The log issued a fencing number to this rank in answer to :class:`AdvanceFence`."""

    number: int


@dataclass(frozen=True)
class ClockTick:
    """Time has passed."""


ParticipantEvent = (
    CoordinatorMessage | WeightLoadFinished | MapRecordRead | FenceAdvanced | ClockTick
)


@dataclass(frozen=True)
class LoadWeights:
    """Tell the engine to load the weights that a map needs beside those in use."""

    digest: str
    data: bytes


@dataclass(frozen=True)
class DiscardWeights:
    """Tell the engine to discard the staged weights of a map that another map replaces."""

    digest: str


@dataclass(frozen=True)
class PermitSteps:
    """Tell the engine which steps it may begin, and with which epoch.

    This applies until the engine is told otherwise, also while the agent is not running.

    :param record: the current and the previous epoch and the step at which they switch; ``None``
        when no step may begin.
    :param hold: the first step that may not begin; ``None`` for no bound.
    :param abandons_step: whether the step in progress is abandoned and no step before ``hold``
        begins.
    """

    record: MapRecord | None
    hold: int | None
    abandons_step: bool = False


@dataclass(frozen=True)
class AdvanceFence:
    """Request the group's next fencing number from the log, which ends every open change."""


@dataclass(frozen=True)
class ReplyToCoordinator:
    """Send an answer to the coordinator."""

    answer: RankAnswer


ParticipantAction = LoadWeights | DiscardWeights | PermitSteps | AdvanceFence | ReplyToCoordinator


@dataclass(frozen=True)
class StepPromise:
    """A promise to begin no step from ``step`` on until the log has settled the change.

    :param abandons_step: whether the step in progress is abandoned and no step before ``step``
        begins.
    """

    change: MapChangeId
    step: int
    abandons_step: bool


@dataclass
class MapParticipant:
    """One rank's part in map changes; its state is lost when the agent restarts.

    A rank that has just started does not know the promises of its previous incarnation. It first
    advances the group's fencing number, so that a change which relies on those promises can no
    longer be written, and then joins with the record that it reads from the log.

    :param newest_begun_step: the newest step that the engine has begun, kept up to date by the
        caller.
    :param joined: whether the rank may take part in changes and begin steps.
    :param join_fence: the fencing number that the rank requested in order to join; 0 before it
        is issued.
    :param highest_seen_fence: the highest fencing number seen; messages with a lower one are
        refused.
    :param promise: the open promise, if any.
    :param prepared: the open change that the rank was asked to prepare for.
    :param staged_digest: the map whose weights are loaded or being loaded. They are kept when a
        change is aborted, so that a retry loads nothing.
    :param is_staged_loaded: whether the staged weights are fully loaded.
    :param stalled_since_s: the time since which the engine has waited at the promised step.
    """

    group: str
    rank: int
    incarnation: str
    newest_begun_step: int = NO_STEP
    joined: bool = False
    join_fence: int = 0
    highest_seen_fence: int = 0
    logged: LoggedMapRecord | None = None
    promise: StepPromise | None = None
    prepared: MapChangeId | None = None
    staged_digest: str = ""
    is_staged_loaded: bool = False
    stalled_since_s: float | None = None
    fence_requested_at_s: float = float("-inf")

    def step(self, event: ParticipantEvent, now: float) -> list[ParticipantAction]:
        """Handle an event; return the actions to take, in order."""
        actions: list[ParticipantAction] = []
        match event:
            case PrepareMap():
                actions = self.on_prepare_map(event)
            case HoldStep():
                actions = self.on_hold_step(event)
            case MapDecided():
                actions = self.on_map_decided(event)
            case WeightLoadFinished():
                actions = self.on_weight_load_finished(event)
            case MapRecordRead():
                actions = self.on_map_record_read(event)
            case FenceAdvanced():
                actions = self.on_fence_advanced(event)
            case ClockTick():
                actions = self.on_clock_tick(now)
        return actions

    def epoch_for(self, step: int) -> int | None:
        """Return the epoch that ``step`` uses; ``None`` while the step may not begin."""
        if not self.joined or self.logged is None or self.logged.record is None:
            return None
        record = self.logged.record
        if self.rank in record.absent:
            return None
        if self.promise is not None and (step >= self.promise.step or self.promise.abandons_step):
            return None
        if step < record.first_step(self.rank):
            return None
        return record.epoch_at(step)

    def on_prepare_map(self, message: PrepareMap) -> list[ParticipantAction]:
        """Load the weights of a new map; answer once they are loaded."""
        refusal, actions = self._check_change(message.change, message.logged)
        if refusal is not None:
            return [*actions, self._refusal_reply(message.change, refusal)]
        self.prepared = message.change
        if self.staged_digest == message.digest:
            return [*actions, self._prepared_reply()] if self.is_staged_loaded else actions
        if self.staged_digest:
            actions.append(DiscardWeights(self.staged_digest))
        self.staged_digest = message.digest
        self.is_staged_loaded = False
        return [*actions, LoadWeights(message.digest, message.data)]

    def on_weight_load_finished(self, event: WeightLoadFinished) -> list[ParticipantAction]:
        """Answer that a map is prepared; ignore a late event about another map."""
        if event.digest != self.staged_digest:
            return []
        self.is_staged_loaded = event.is_loaded
        if not event.is_loaded:
            self.staged_digest = ""
        if self.prepared is None:
            return []
        if event.is_loaded:
            return [self._prepared_reply()]
        return [self._refusal_reply(self.prepared, MapRefusalReason.LOAD_FAILED)]

    def on_hold_step(self, message: HoldStep) -> list[ParticipantAction]:
        """Promise to begin no step from the requested one on, unless one has already begun."""
        refusal, actions = self._check_change(message.change, message.logged)
        refusal = refusal or self._hold_refusal(message)
        if refusal is not None:
            return [*actions, self._refusal_reply(message.change, refusal)]
        if self.promise is None:
            self.promise = StepPromise(message.change, message.step, message.leaves)
            actions.append(self._permitted_steps())
        held = StepHeld(
            self.group,
            message.change,
            self.rank,
            self.incarnation,
            self.promise.step,
            self.newest_begun_step,
        )
        return [*actions, ReplyToCoordinator(held)]

    def _hold_refusal(self, message: HoldStep) -> MapRefusalReason | None:
        """Return why the rank cannot or must not yet give a promise; ``None`` when it can."""
        if self.promise is not None:
            # A repeated request; requests of other changes are settled or refused before this.
            return None if self.promise.change == message.change else MapRefusalReason.OLD_FENCE
        if self.prepared != message.change or not self.is_staged_loaded:
            return MapRefusalReason.NOT_PREPARED
        record = self.logged.record if self.logged is not None else None
        member = record is not None and self.rank not in record.absent
        switched = record is None or not member or self.newest_begun_step >= record.switch_step
        if not switched and not message.leaves:
            return MapRefusalReason.NOT_SWITCHED
        # A rank that abandons its step may be a step behind the rank that is excluded.
        newest_step = self.newest_begun_step + 1 if message.leaves else self.newest_begun_step
        if member and newest_step >= message.step:
            return MapRefusalReason.STEP_BEGUN
        return None

    def on_map_decided(self, message: MapDecided) -> list[ParticipantAction]:
        """Apply the logged record that the coordinator sent."""
        if not self.joined:
            return []
        actions = self._apply_logged(message.logged)
        known = self.logged.version if self.logged is not None else 0
        return [
            *actions,
            ReplyToCoordinator(DecisionKnown(self.group, known, self.rank, self.incarnation)),
        ]

    def on_map_record_read(self, event: MapRecordRead) -> list[ParticipantAction]:
        """Apply the logged record from the rank's own view; join if the rank was waiting to."""
        if self.joined:
            return self._apply_logged(event.logged)
        if self.join_fence == 0 or event.logged.fence < self.join_fence:
            return []
        self.joined = True
        self.logged = event.logged
        self.highest_seen_fence = max(self.highest_seen_fence, event.logged.fence)
        return [self._permitted_steps()]

    def on_fence_advanced(self, event: FenceAdvanced) -> list[ParticipantAction]:
        """Store the number; the next confirmed read shows which changes it ended."""
        if not self.joined:
            self.join_fence = max(self.join_fence, event.number)
        self.highest_seen_fence = max(self.highest_seen_fence, event.number)
        return []

    def on_clock_tick(self, now: float) -> list[ParticipantAction]:
        """Advance the fencing number to join, or to end a change that stays unfinished."""
        if not self.joined:
            return self._request_fence(now) if self.join_fence == 0 else []
        if self.promise is None or not self._is_stalled():
            self.stalled_since_s = None
            return []
        if self.stalled_since_s is None:
            self.stalled_since_s = now
        # The timeout grows with the rank's number, so that usually one rank advances the fencing
        # number for all that wait.
        patience_s = STALL_TIMEOUT_S + STALL_TIMEOUT_PER_RANK_S * min(
            self.rank, MAX_STAGGERED_RANKS
        )
        if now - self.stalled_since_s < patience_s:
            return []
        return self._request_fence(now)

    def _is_stalled(self) -> bool:
        """Return whether the promise keeps the engine from beginning its next step."""
        assert self.promise is not None
        return self.promise.abandons_step or self.newest_begun_step + 1 >= self.promise.step

    def _request_fence(self, now: float) -> list[ParticipantAction]:
        """Request a fencing number, unless one was requested a moment ago."""
        if now - self.fence_requested_at_s < FENCE_REQUEST_INTERVAL_S:
            return []
        self.fence_requested_at_s = now
        return [AdvanceFence()]

    def _check_change(
        self, change: MapChangeId, logged: LoggedMapRecord
    ) -> tuple[MapRefusalReason | None, list[ParticipantAction]]:
        """Check a coordinator's fencing number and apply the record that its change is based on."""
        if not self.joined:
            return MapRefusalReason.NOT_JOINED, []
        if change.fence < self.highest_seen_fence:
            return MapRefusalReason.OLD_FENCE, []
        actions = self._apply_logged(logged)
        assert self.logged is not None
        if change.base_version != self.logged.version:
            return MapRefusalReason.OLD_FENCE, actions
        return None, actions

    def _apply_logged(self, logged: LoggedMapRecord) -> list[ParticipantAction]:
        """Apply a newer logged record; switch maps or release the promise if the record says so."""
        known = self.logged
        self.highest_seen_fence = max(self.highest_seen_fence, logged.fence)
        if known is not None and (logged.version, logged.fence) <= (known.version, known.fence):
            return []
        if known is not None and logged.version < known.version:
            return []
        changed = known is None or logged.version > known.version
        self.logged = logged
        released = self.promise is not None and is_settled(logged, self.promise.change)
        if released:
            self.promise = None
            self.stalled_since_s = None
        if self.prepared is not None and is_settled(logged, self.prepared):
            self.prepared = None
        if logged.record is not None and logged.record.digest == self.staged_digest:
            self.staged_digest = ""
            self.is_staged_loaded = False
        actions: list[ParticipantAction] = []
        if changed or released:
            actions.append(self._permitted_steps())
        return actions

    def _permitted_steps(self) -> PermitSteps:
        """Return the steps that the engine may begin now."""
        record = self.logged.record if self.logged is not None and self.joined else None
        if record is not None and self.rank in record.absent:
            record = None
        if self.promise is None:
            return PermitSteps(record, None)
        return PermitSteps(record, self.promise.step, self.promise.abandons_step)

    def _prepared_reply(self) -> ReplyToCoordinator:
        """Return the answer that the weights are loaded."""
        assert self.prepared is not None
        return ReplyToCoordinator(
            MapPrepared(
                self.group, self.prepared, self.rank, self.incarnation, self.newest_begun_step
            )
        )

    def _refusal_reply(self, change: MapChangeId, reason: MapRefusalReason) -> ReplyToCoordinator:
        """Return an answer that refuses a change."""
        return ReplyToCoordinator(
            MapChangeRefused(
                self.group, change, self.rank, self.incarnation, reason, self.newest_begun_step
            )
        )


def is_settled(logged: LoggedMapRecord, change: MapChangeId) -> bool:
    """Return whether a logged record shows that a change was committed or never will be."""
    return logged.version > change.base_version or logged.fence > change.fence
