"""A rank's part in a map change: promises, and the epoch that each step may use."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotchute_model.rank_messages import (
    NO_STEP,
    ChangeId,
    ChangeRefused,
    CoordinatorMessage,
    DecisionKnown,
    HoldStep,
    LoggedMap,
    MapDecided,
    MapPrepared,
    MapRecord,
    PrepareMap,
    RankAnswer,
    RefusalReason,
    StepHeld,
)

RELEASE_AFTER_S = 1.0
RELEASE_TURN_S = 0.1
MOST_TURNS = 20
ASK_AGAIN_S = 1.0


@dataclass(frozen=True)
class WeightsLoaded:
    """The engine has the weights of a map in place beside those in use, or could not load them."""

    digest: str
    loaded: bool = True


@dataclass(frozen=True)
class LogRead:
    """The rank's own confirmed view shows this record."""

    logged: LoggedMap


@dataclass(frozen=True)
class FenceRaised:
    """The log handed out a fencing number to this rank, asked for by :class:`RaiseFence`."""

    number: int


@dataclass(frozen=True)
class ClockTick:
    """Time has passed."""


RankEvent = CoordinatorMessage | WeightsLoaded | LogRead | FenceRaised | ClockTick


@dataclass(frozen=True)
class LoadWeights:
    """Tell the engine to load what a map needs beside what is in use."""

    digest: str
    data: bytes


@dataclass(frozen=True)
class DropWeights:
    """Tell the engine that a map whose weights it loaded gives way to another."""

    digest: str


@dataclass(frozen=True)
class GuideEngine:
    """Tell the engine which steps it may begin, and with which epoch.

    The engine keeps to it until it is told otherwise, also while the agent is away.

    :param record: the epochs and the step between them; ``None`` when no step may begin.
    :param hold: the first step that may not begin; ``None`` for no bound.
    :param leaves: whether the step under way is given up and none below ``hold`` begins.
    """

    record: MapRecord | None
    hold: int | None
    leaves: bool = False


@dataclass(frozen=True)
class RaiseFence:
    """Ask the log for the next fencing number of the group, which ends every open change."""


@dataclass(frozen=True)
class Reply:
    """Send an answer to the coordinator."""

    answer: RankAnswer


RankAction = LoadWeights | DropWeights | GuideEngine | RaiseFence | Reply


@dataclass(frozen=True)
class Promise:
    """A bound on steps that holds until the log has settled the change.

    :param step: the first step that may not begin.
    """

    change: ChangeId
    step: int
    leaves: bool


@dataclass
class MapRank:
    """One rank's state, which lasts as long as its agent does.

    A rank that has just started knows nothing of the promises that its former life gave. It
    first raises the group's fence, so that no change which counted on them can be written any
    more, and joins with the record that the log shows after that.

    :param begun: the newest step that the engine has begun, kept up to date by the caller.
    :param joined: whether the rank may take part at all.
    :param fence_floor: the highest fencing number seen; messages under a lower one are refused.
    :param promise: the bound that the rank gave, if one is open.
    :param prepared: the open change that the rank was asked to prepare for.
    :param staged_digest: the map whose weights are in place or on their way. They are kept when
        a change is given up, so that trying again loads nothing.
    :param stalled_at_s: since when the engine has waited at the promised step.
    """

    group: str
    rank: int
    incarnation: str
    begun: int = NO_STEP
    joined: bool = False
    join_fence: int = 0
    fence_floor: int = 0
    logged: LoggedMap | None = None
    promise: Promise | None = None
    prepared: ChangeId | None = None
    staged_digest: str = ""
    in_place: bool = False
    stalled_at_s: float | None = None
    asked_at_s: float = float("-inf")

    def step(self, event: RankEvent, now: float) -> list[RankAction]:
        """Take an event in; return what to do, in order."""
        actions: list[RankAction] = []
        match event:
            case PrepareMap():
                actions = self.on_prepare_map(event)
            case HoldStep():
                actions = self.on_hold_step(event)
            case MapDecided():
                actions = self.on_map_decided(event)
            case WeightsLoaded():
                actions = self.on_weights_loaded(event)
            case LogRead():
                actions = self.on_log_read(event)
            case FenceRaised():
                actions = self.on_fence_raised(event)
            case ClockTick():
                actions = self.on_clock_tick(now)
        return actions

    def epoch_for(self, step: int) -> int | None:
        """Return the epoch with which ``step`` may begin; ``None`` while it may not."""
        if not self.joined or self.logged is None or self.logged.record is None:
            return None
        record = self.logged.record
        if self.rank in record.absent:
            return None
        if self.promise is not None and (step >= self.promise.step or self.promise.leaves):
            return None
        if step < record.first_step(self.rank):
            return None
        return record.epoch_at(step)

    def on_prepare_map(self, message: PrepareMap) -> list[RankAction]:
        """Load the weights of a new map; answered once they are in place."""
        refusal, actions = self._heard(message.change, message.logged)
        if refusal is not None:
            return [*actions, self._refuse(message.change, refusal)]
        self.prepared = message.change
        if self.staged_digest == message.digest:
            return [*actions, self._is_prepared()] if self.in_place else actions
        if self.staged_digest:
            actions.append(DropWeights(self.staged_digest))
        self.staged_digest = message.digest
        self.in_place = False
        return [*actions, LoadWeights(message.digest, message.data)]

    def on_weights_loaded(self, event: WeightsLoaded) -> list[RankAction]:
        """Answer that a map is prepared; late news of another map is dropped."""
        if event.digest != self.staged_digest:
            return []
        self.in_place = event.loaded
        if not event.loaded:
            self.staged_digest = ""
        if self.prepared is None:
            return []
        if event.loaded:
            return [self._is_prepared()]
        return [self._refuse(self.prepared, RefusalReason.LOAD_FAILED)]

    def on_hold_step(self, message: HoldStep) -> list[RankAction]:
        """Promise to begin no step from the named one on, if none of them has begun."""
        refusal, actions = self._heard(message.change, message.logged)
        refusal = refusal or self._cannot_hold(message)
        if refusal is not None:
            return [*actions, self._refuse(message.change, refusal)]
        if self.promise is None:
            self.promise = Promise(message.change, message.step, message.leaves)
            actions.append(self._guide())
        held = StepHeld(
            self.group,
            message.change,
            self.rank,
            self.incarnation,
            self.promise.step,
            self.begun,
        )
        return [*actions, Reply(held)]

    def _cannot_hold(self, message: HoldStep) -> RefusalReason | None:
        """Return why a promise would be untrue or came too early."""
        if self.promise is not None:
            # The same request again; any other is settled or refused before it gets here.
            return None if self.promise.change == message.change else RefusalReason.OLD_FENCE
        if self.prepared != message.change or not self.in_place:
            return RefusalReason.NOT_PREPARED
        record = self.logged.record if self.logged is not None else None
        member = record is not None and self.rank not in record.absent
        switched = record is None or not member or self.begun >= record.switch_step
        if not switched and not message.leaves:
            return RefusalReason.NOT_SWITCHED
        # One that leaves may be a step behind the rank that is taken out.
        newest = self.begun + 1 if message.leaves else self.begun
        if member and newest >= message.step:
            return RefusalReason.STEP_BEGUN
        return None

    def on_map_decided(self, message: MapDecided) -> list[RankAction]:
        """Learn what the log says from the coordinator."""
        if not self.joined:
            return []
        actions = self._learn(message.logged)
        known = self.logged.version if self.logged is not None else 0
        return [
            *actions,
            Reply(DecisionKnown(self.group, known, self.rank, self.incarnation)),
        ]

    def on_log_read(self, event: LogRead) -> list[RankAction]:
        """Learn what the log says from the rank's own view; join where that was awaited."""
        if self.joined:
            return self._learn(event.logged)
        if self.join_fence == 0 or event.logged.fence < self.join_fence:
            return []
        self.joined = True
        self.logged = event.logged
        self.fence_floor = max(self.fence_floor, event.logged.fence)
        return [self._guide()]

    def on_fence_raised(self, event: FenceRaised) -> list[RankAction]:
        """Note the number; what it ends shows in the next confirmed read."""
        if not self.joined:
            self.join_fence = max(self.join_fence, event.number)
        self.fence_floor = max(self.fence_floor, event.number)
        return []

    def on_clock_tick(self, now: float) -> list[RankAction]:
        """Raise the fence to join, or to end a change that nobody finishes."""
        if not self.joined:
            return self._ask(now) if self.join_fence == 0 else []
        if self.promise is None or not self._stalls():
            self.stalled_at_s = None
            return []
        if self.stalled_at_s is None:
            self.stalled_at_s = now
        # Ranks take turns, so that one raised fence serves all that wait.
        patience_s = RELEASE_AFTER_S + RELEASE_TURN_S * min(self.rank, MOST_TURNS)
        if now - self.stalled_at_s < patience_s:
            return []
        return self._ask(now)

    def _stalls(self) -> bool:
        """Whether the engine has come to the promised step."""
        assert self.promise is not None
        return self.promise.leaves or self.begun + 1 >= self.promise.step

    def _ask(self, now: float) -> list[RankAction]:
        """Ask for a fencing number, unless one was asked for just now."""
        if now - self.asked_at_s < ASK_AGAIN_S:
            return []
        self.asked_at_s = now
        return [RaiseFence()]

    def _heard(
        self, change: ChangeId, logged: LoggedMap
    ) -> tuple[RefusalReason | None, list[RankAction]]:
        """Check a coordinator's fence and learn the record that it goes by."""
        if not self.joined:
            return RefusalReason.NOT_JOINED, []
        if change.fence < self.fence_floor:
            return RefusalReason.OLD_FENCE, []
        actions = self._learn(logged)
        assert self.logged is not None
        if change.base_version != self.logged.version:
            return RefusalReason.OLD_FENCE, actions
        return None, actions

    def _learn(self, logged: LoggedMap) -> list[RankAction]:
        """Take a newer reading of the log; switch, or release the promise, where it says so."""
        known = self.logged
        self.fence_floor = max(self.fence_floor, logged.fence)
        if known is not None and (logged.version, logged.fence) <= (known.version, known.fence):
            return []
        if known is not None and logged.version < known.version:
            return []
        changed = known is None or logged.version > known.version
        self.logged = logged
        released = self.promise is not None and settles(logged, self.promise.change)
        if released:
            self.promise = None
            self.stalled_at_s = None
        if self.prepared is not None and settles(logged, self.prepared):
            self.prepared = None
        if logged.record is not None and logged.record.digest == self.staged_digest:
            self.staged_digest = ""
            self.in_place = False
        actions: list[RankAction] = []
        if changed or released:
            actions.append(self._guide())
        return actions

    def _guide(self) -> GuideEngine:
        """Return what the engine may do now."""
        record = self.logged.record if self.logged is not None and self.joined else None
        if record is not None and self.rank in record.absent:
            record = None
        if self.promise is None:
            return GuideEngine(record, None)
        return GuideEngine(record, self.promise.step, self.promise.leaves)

    def _is_prepared(self) -> Reply:
        """Return the word that the weights are in place."""
        assert self.prepared is not None
        return Reply(
            MapPrepared(self.group, self.prepared, self.rank, self.incarnation, self.begun)
        )

    def _refuse(self, change: ChangeId, reason: RefusalReason) -> Reply:
        """Return a refusal."""
        return Reply(
            ChangeRefused(self.group, change, self.rank, self.incarnation, reason, self.begun)
        )


def settles(logged: LoggedMap, change: ChangeId) -> bool:
    """Return whether a reading of the log shows that a change took place or never will."""
    return logged.version > change.base_version or logged.fence > change.fence
