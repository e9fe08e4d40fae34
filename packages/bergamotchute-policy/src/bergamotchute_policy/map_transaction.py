"""A coordinator's part in a map change: prepare, hold, decide in the log, tell.

Order of a change, and why no step can see two maps:

1. *Prepare*: every rank loads the weights of the new map beside those in use.
2. *Hold*: every rank promises to begin no step from H on until the log has settled the change.
3. *Decide*: one compare-and-set in the log names the new epoch and H. It takes effect only over
   the version the change was built on, and only under the newest fencing number.
4. *Tell*: every rank learns the record, from the coordinator or from its own view.

A rank begins a step below H with the old epoch and a step from H on with the new one. When the
decision is written, no rank has begun H and none will before it has read the decision. A change
that is given up is settled by an abort in the log or by a newer fencing number; either shows a
rank that its promise binds it no more.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from enum import StrEnum

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
from bergamotchute_policy.map_rank import ClockTick

HOLD_AHEAD_S = 0.3
LEAST_HOLD_AHEAD_STEPS = 2
HOLD_TIMEOUT_S = 2.0
PREPARE_TIMEOUT_S = 60.0
RESEND_S = 0.5
PROPOSE_AGAIN_S = 1.0
MOST_TRIES = 4


class Phase(StrEnum):
    """What a coordinator is doing."""

    FENCING = "fencing"
    IDLE = "idle"
    PREPARING = "preparing"
    HOLDING = "holding"
    COMMITTING = "committing"
    ABORTING = "aborting"
    TELLING = "telling"


@dataclass(frozen=True)
class MapChange:
    """A map to change to.

    :param data: the encoded map.
    :param absent: the ranks that take no part in it.
    :param leaves: whether the others give up the step under way, as a rank taken out holds it up.
    """

    digest: str
    data: bytes
    absent: tuple[int, ...] = ()
    leaves: bool = False


@dataclass(frozen=True)
class ProposeChange:
    """Change the group's map; refused while another change is open."""

    change: MapChange


@dataclass(frozen=True)
class FenceTaken:
    """The log handed out ``logged.fence`` to this coordinator, and shows this record after it.

    :param number: the coordinator's fencing number.
    """

    number: int
    logged: LoggedMap


@dataclass(frozen=True)
class DecisionLogged:
    """The log's answer to :class:`LogDecision`: the record as it now stands.

    :param granted: whether the decision is in the log.
    """

    change: ChangeId
    granted: bool
    version: int
    record: MapRecord | None


CoordinatorEvent = ProposeChange | FenceTaken | DecisionLogged | RankAnswer | ClockTick


@dataclass(frozen=True)
class TakeFence:
    """Ask the log for the next fencing number of the group, then read the record."""


@dataclass(frozen=True)
class LogDecision:
    """Write a record over ``change.base_version`` under ``change.fence``."""

    change: ChangeId
    record: MapRecord


@dataclass(frozen=True)
class Send:
    """Send one message to each of these ranks."""

    ranks: tuple[int, ...]
    message: CoordinatorMessage


class EndReason(StrEnum):
    """How a change ended."""

    COMMITTED = "committed"
    BUSY = "busy"
    FENCED_OUT = "fenced_out"
    RANK_REFUSED = "rank_refused"
    PREPARE_TIMEOUT = "prepare_timeout"
    HOLD_TIMEOUT = "hold_timeout"


@dataclass(frozen=True)
class ChangeEnded:
    """A change is settled.

    :param late: the ranks that it waited for.
    """

    digest: str
    reason: EndReason
    late: tuple[int, ...] = ()


CoordinatorAction = TakeFence | LogDecision | Send | ChangeEnded


@dataclass
class MapCoordinator:
    """Carries out one change at a time for one rank group.

    It holds nothing that a successor would need: the log settles each change, and ranks keep
    their promises until it has.

    :param ranks: ranks of the group, present or not.
    :param step_s: the time of a step, by which the hold is set far enough ahead.
    :param fence: this coordinator's fencing number; 0 before the first is taken.
    :param change: the change that is open. One that a newer fencing number ended, as a rank's
        restart does, is tried again over the same epoch.
    :param giving_up: why the open change is being aborted; ``None`` when it is not.
    :param waiting_for: the ranks that have not yet answered in this phase.
    :param hold: the step that the ranks are asked to hold at.
    """

    group: str
    ranks: int
    step_s: float = 0.034
    phase: Phase = Phase.FENCING
    fence: int = 0
    logged: LoggedMap = field(default_factory=lambda: LoggedMap(0, 0, None))
    change: MapChange | None = None
    waiting_for: set[int] = field(default_factory=set)
    begun: int = NO_STEP
    hold: int = 0
    base_epoch: int = 0
    tries: int = 0
    giving_up: EndReason | None = None
    late: tuple[int, ...] = ()
    phase_at_s: float = 0.0
    sent_at_s: float = float("-inf")

    def step(self, event: CoordinatorEvent, now: float) -> list[CoordinatorAction]:
        """Take an event in; return what to do, in order."""
        actions: list[CoordinatorAction] = []
        match event:
            case ProposeChange():
                actions = self.on_propose_change(event, now)
            case FenceTaken():
                actions = self.on_fence_taken(event, now)
            case DecisionLogged():
                actions = self.on_decision_logged(event, now)
            case MapPrepared():
                actions = self.on_map_prepared(event, now)
            case StepHeld():
                actions = self.on_step_held(event, now)
            case ChangeRefused():
                actions = self.on_change_refused(event, now)
            case DecisionKnown():
                actions = self.on_decision_known(event, now)
            case ClockTick():
                actions = self.on_clock_tick(now)
        return actions

    @property
    def change_id(self) -> ChangeId:
        """The change that is open, or the next one."""
        return ChangeId(self.logged.version, self.fence)

    @property
    def epoch(self) -> int:
        """The epoch in force as far as the coordinator knows; 0 for none."""
        return self.logged.record.epoch if self.logged.record is not None else 0

    @property
    def members(self) -> tuple[int, ...]:
        """The ranks that must take part in the open change."""
        absent = self.change.absent if self.change is not None else ()
        return tuple(rank for rank in range(self.ranks) if rank not in absent)

    def on_propose_change(self, event: ProposeChange, now: float) -> list[CoordinatorAction]:
        """Begin a change, or refuse it while another is open."""
        if self.phase is not Phase.IDLE:
            return [ChangeEnded(event.change.digest, EndReason.BUSY)]
        self.change = event.change
        self.base_epoch = self.epoch
        self.tries = 0
        return self._enter(Phase.PREPARING, now)

    def on_fence_taken(self, event: FenceTaken, now: float) -> list[CoordinatorAction]:
        """Begin to coordinate: settle in the log what the coordinator before left open."""
        if event.number <= self.fence:
            return []
        self.fence = event.number
        self.logged = event.logged
        if event.logged.fence > event.number:
            return self._enter(Phase.FENCING, now)
        if self.logged.record is None:
            return self._enter(Phase.IDLE, now)
        return self._enter(Phase.ABORTING, now)

    def on_map_prepared(self, answer: MapPrepared, now: float) -> list[CoordinatorAction]:
        """Count a rank that has its weights; hold once all have."""
        if self.phase is not Phase.PREPARING or answer.change != self.change_id:
            return []
        self.begun = max(self.begun, answer.begun)
        self.waiting_for.discard(answer.rank)
        return [] if self.waiting_for else self._enter(Phase.HOLDING, now)

    def on_step_held(self, answer: StepHeld, now: float) -> list[CoordinatorAction]:
        """Count a rank that promised; decide once all have."""
        if self.phase is not Phase.HOLDING or answer.change != self.change_id:
            return []
        if answer.step != self.hold:
            return []
        self.waiting_for.discard(answer.rank)
        return [] if self.waiting_for else self._enter(Phase.COMMITTING, now)

    def on_change_refused(self, answer: ChangeRefused, now: float) -> list[CoordinatorAction]:
        """Give the change up, unless the rank is only not ready yet."""
        if self.phase not in {Phase.PREPARING, Phase.HOLDING} or answer.change != self.change_id:
            return []
        if answer.reason in {RefusalReason.NOT_JOINED, RefusalReason.NOT_SWITCHED}:
            return []
        if answer.reason is RefusalReason.OLD_FENCE:
            return self._fenced_out(now)
        return self._give_up(EndReason.RANK_REFUSED, (answer.rank,), now)

    def on_decision_logged(self, event: DecisionLogged, now: float) -> list[CoordinatorAction]:
        """Tell the ranks what was decided; without a grant somebody else has taken over."""
        if event.change != self.change_id:
            return []
        if self.phase not in {Phase.COMMITTING, Phase.ABORTING}:
            return []
        if not event.granted:
            return self._fenced_out(now)
        self.logged = LoggedMap(event.version, self.fence, event.record)
        ended: list[CoordinatorAction] = []
        if self.phase is Phase.COMMITTING:
            ended = self._end(EndReason.COMMITTED)
        elif self.giving_up is not None:
            ended = self._end(self.giving_up)
        return [*ended, *self._enter(Phase.TELLING, now)]

    def on_decision_known(self, answer: DecisionKnown, now: float) -> list[CoordinatorAction]:
        """Count a rank that knows the decision."""
        if self.phase is not Phase.TELLING or answer.version != self.logged.version:
            return []
        self.waiting_for.discard(answer.rank)
        return [] if self.waiting_for else self._enter(Phase.IDLE, now)

    def on_clock_tick(self, now: float) -> list[CoordinatorAction]:
        """Give up a change that takes too long; send again what had no answer."""
        spent_s = now - self.phase_at_s
        if self.phase is Phase.PREPARING and spent_s >= PREPARE_TIMEOUT_S:
            return self._give_up(EndReason.PREPARE_TIMEOUT, self._late(), now)
        if self.phase is Phase.HOLDING and spent_s >= HOLD_TIMEOUT_S:
            return self._give_up(EndReason.HOLD_TIMEOUT, self._late(), now)
        if self.phase is Phase.TELLING and spent_s >= HOLD_TIMEOUT_S:
            # Ranks that are away learn it from their own view; the next change waits for them.
            return self._enter(Phase.IDLE, now)
        logs = self.phase in {Phase.FENCING, Phase.COMMITTING, Phase.ABORTING}
        if now - self.sent_at_s < (PROPOSE_AGAIN_S if logs else RESEND_S):
            return []
        return self._send(now)

    def _late(self) -> tuple[int, ...]:
        """Return the ranks that have not answered, in order."""
        return tuple(sorted(self.waiting_for))

    def _give_up(
        self, reason: EndReason, late: tuple[int, ...], now: float
    ) -> list[CoordinatorAction]:
        """Abort the open change in the log."""
        self.giving_up = reason
        self.late = late
        if self.logged.record is None:
            # Nothing ran yet, so a newer fencing number does in place of a record.
            return [*self._end(reason), *self._enter(Phase.FENCING, now)]
        return self._enter(Phase.ABORTING, now)

    def _fenced_out(self, now: float) -> list[CoordinatorAction]:
        """Take a newer fencing number; the open change is tried again a few times."""
        self.tries += 1
        ended: list[CoordinatorAction] = []
        if self.giving_up is not None or self.tries >= MOST_TRIES:
            ended = self._end(self.giving_up or EndReason.FENCED_OUT)
        return [*ended, *self._enter(Phase.FENCING, now)]

    def _end(self, reason: EndReason) -> list[CoordinatorAction]:
        """Forget the open change and say how it ended."""
        if self.change is None:
            return []
        ended = ChangeEnded(self.change.digest, reason, self.late)
        self.change = None
        self.giving_up = None
        self.late = ()
        return [ended]

    def _enter(self, phase: Phase, now: float) -> list[CoordinatorAction]:
        """Begin a phase; take a change that is still open up again in place of idling."""
        ended: list[CoordinatorAction] = []
        if phase is Phase.IDLE and self.change is not None:
            if self.epoch == self.base_epoch:
                phase = Phase.PREPARING
            else:
                ended = self._end(EndReason.FENCED_OUT)
        self.phase = phase
        self.phase_at_s = now
        if phase is Phase.PREPARING:
            self.begun = NO_STEP
        if phase is Phase.HOLDING:
            self.hold = self._hold_step()
        if phase is Phase.TELLING:
            assert self.logged.record is not None
            self.waiting_for = set(self.logged.record.members)
        else:
            self.waiting_for = set(self.members)
        return [*ended, *self._send(now)]

    def _hold_step(self) -> int:
        """Return a step that no rank should have begun by the time it is asked to hold."""
        if self.logged.record is None:
            return self.begun + 1
        ahead = max(LEAST_HOLD_AHEAD_STEPS, math.ceil(HOLD_AHEAD_S / self.step_s))
        if self.change is not None and self.change.leaves:
            ahead = LEAST_HOLD_AHEAD_STEPS + 1
        return max(self.begun, self.logged.record.switch_step) + ahead

    def _send(self, now: float) -> list[CoordinatorAction]:
        """Return what the phase asks of the log or of the ranks that have not answered."""
        self.sent_at_s = now
        match self.phase:
            case Phase.IDLE:
                return []
            case Phase.FENCING:
                return [TakeFence()]
            case Phase.COMMITTING | Phase.ABORTING:
                return [LogDecision(self.change_id, self._record())]
        return [Send(self._late(), self._message())]

    def _message(self) -> CoordinatorMessage:
        """Return the message of the phase."""
        if self.phase is Phase.TELLING:
            return MapDecided(self.group, self.logged)
        change = self.change
        assert change is not None
        if self.phase is Phase.PREPARING:
            return PrepareMap(self.group, self.change_id, self.logged, change.digest, change.data)
        return HoldStep(self.group, self.change_id, self.logged, self.hold, change.leaves)

    def _record(self) -> MapRecord:
        """Return the record to write: the new epoch, or the present one with the abort noted."""
        present = self.logged.record
        if self.phase is Phase.ABORTING:
            assert present is not None
            return replace(present, aborted=self.change_id)
        assert self.change is not None
        before = present.members if present is not None else ()
        return MapRecord(
            epoch=present.epoch + 1 if present is not None else 1,
            digest=self.change.digest,
            switch_step=self.hold,
            change=self.change_id,
            ranks=self.ranks,
            absent=self.change.absent,
            joiners=tuple(rank for rank in self.members if rank not in before),
            fresh=self.change.leaves,
            previous_epoch=present.epoch if present is not None else 0,
            previous_digest=present.digest if present is not None else "",
        )
