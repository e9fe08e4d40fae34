"""A simulated rank group with a control log and coordinators, advanced event by event by a test."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bergamotchute_model.rank_messages import NO_STEP, LoggedMapRecord, MapRecord
from bergamotchute_policy.map_coordinator import (
    AcquireFence,
    ChangeEnded,
    DecisionLogged,
    FenceAcquired,
    LogDecision,
    MapChange,
    MapCoordinator,
    ProposeChange,
    SendToRanks,
)
from bergamotchute_policy.map_participant import (
    AdvanceFence,
    ClockTick,
    DiscardWeights,
    FenceAdvanced,
    LoadWeights,
    MapParticipant,
    MapRecordRead,
    PermitSteps,
    ReplyToCoordinator,
    WeightLoadFinished,
)
from support.step_checker import StepBegun


@dataclass
class FakeControlLog:
    """The control log's state of one group: a fence, and a record written by compare-and-set.

    :param version: number of records written.
    :param record: the newest record.
    :param checks_fence: whether a decision with a stale fence is refused.
    :param records: all records, in order.
    :param communicator_by_epoch: number of the communicator that the ranks use in each epoch.
    """

    fence: int = 0
    version: int = 0
    record: MapRecord | None = None
    checks_fence: bool = True
    records: list[MapRecord] = field(default_factory=list)
    communicator_by_epoch: dict[int, int] = field(default_factory=dict)

    def read(self) -> LoggedMapRecord:
        return LoggedMapRecord(self.version, self.fence, self.record)

    def next_fence(self) -> int:
        self.fence += 1
        return self.fence

    def write(self, decision: LogDecision) -> DecisionLogged:
        is_repeat = (
            self.version == decision.change.base_version + 1 and self.record == decision.record
        )
        is_accepted = self.version == decision.change.base_version and (
            decision.change.fence == self.fence or not self.checks_fence
        )
        if is_accepted and not is_repeat:
            self._assign_communicator(decision.record)
            self.version += 1
            self.record = decision.record
            self.records.append(decision.record)
        return DecisionLogged(decision.change, is_accepted or is_repeat, self.version, self.record)

    def _assign_communicator(self, record: MapRecord) -> None:
        """Assign a communicator to an epoch: a new one if the members changed or start afresh."""
        known = self.communicator_by_epoch.get(record.epoch - 1, 0)
        has_same_members = self.record is not None and self.record.members == record.members
        increment = 0 if has_same_members and not record.fresh else 1
        self.communicator_by_epoch.setdefault(record.epoch, known + increment)


@dataclass
class FakeEngine:
    """One rank's engine: follows its agent's last guidance, also while the agent is down.

    A step ends once all ranks of the communicator have begun it there, including ranks that have left
    the communicator since.

    :param newest_step: the newest step begun; :data:`NO_STEP` for none.
    :param next_step: the lowest step that may begin next.
    :param is_dead: whether the engine is lost.
    :param is_running: whether a step has begun since the engine started.
    :param newest_step_by_communicator: the newest step begun in each communicator.
    """

    guidance: PermitSteps = field(default_factory=lambda: PermitSteps(None, None))
    rank: int = 0
    newest_step: int = NO_STEP
    next_step: int = 0
    is_dead: bool = False
    is_running: bool = False
    newest_step_by_communicator: dict[int, int] = field(default_factory=dict)

    def startable_step(self) -> int | None:
        """Return the step that the guidance permits next; ``None`` if it permits none."""
        record = self.guidance.record
        if self.is_dead or record is None or self.guidance.abandons_step:
            return None
        step = max(self.next_step, record.first_step(self.rank))
        if self.guidance.hold is not None and step >= self.guidance.hold:
            return None
        return step


@dataclass(frozen=True)
class MessageInTransit:
    """A message in transit.

    :param destination: ``log``, ``rank`` or ``coordinator``.
    :param number: number of the rank or coordinator: the recipient, or the sender of a message to
        the log.
    :param agent_incarnation: incarnation of the agent that a reply is for; -1 for any incarnation.
    """

    destination: str
    number: int
    agent_incarnation: int
    content: Any


RankFactory = Callable[[str, int, str, int], MapParticipant]
CoordinatorFactory = Callable[[str, int], MapCoordinator]


def make_rank(group: str, rank: int, incarnation: str, begun: int) -> MapParticipant:
    return MapParticipant(group, rank, incarnation, begun)


def make_coordinator(group: str, ranks: int) -> MapCoordinator:
    """Return a coordinator that holds few steps ahead, so that ranks often reach the held step."""
    return MapCoordinator(group, ranks, step_s=0.3)


class RankGroupSimulation:
    """All processes of one group and the messages between them; the test triggers every event."""

    def __init__(
        self,
        ranks: int,
        *,
        rank_factory: RankFactory = make_rank,
        coordinator_factory: CoordinatorFactory = make_coordinator,
        log: FakeControlLog | None = None,
    ) -> None:
        self.ranks = ranks
        self.rank_factory = rank_factory
        self.coordinator_factory = coordinator_factory
        self.log = log or FakeControlLog()
        self.now = 0.0
        self.agent_incarnations = [0] * ranks
        self.engines = [FakeEngine(rank=rank) for rank in range(ranks)]
        self.agents = [rank_factory("g", rank, "0", NO_STEP) for rank in range(ranks)]
        self.coordinators: dict[int, MapCoordinator] = {}
        self.coordinator_count = 0
        self.in_transit: list[MessageInTransit] = []
        self.begun_steps: list[StepBegun] = []
        self.ended: list[ChangeEnded] = []
        self.loads: list[tuple[int, str]] = []
        self.proposal_count = 0

    # Events that a test triggers.

    def start_coordinator(self, *, replaces_others: bool = True) -> int:
        if replaces_others:
            self.coordinators.clear()
        self.coordinator_count += 1
        number = self.coordinator_count
        self.coordinators[number] = self.coordinator_factory("g", self.ranks)
        self._step_coordinator(number, ClockTick())
        return number

    def propose(self, number: int, *, absent: tuple[int, ...] = (), leaves: bool = False) -> None:
        self.proposal_count += 1
        name = f"map{self.proposal_count}"
        change = MapChange(name, name.encode(), absent, leaves)
        self._step_coordinator(number, ProposeChange(change))

    def restart_agent(self, rank: int) -> None:
        self.agent_incarnations[rank] += 1
        begun = self.engines[rank].newest_step
        self.agents[rank] = self.rank_factory("g", rank, str(self.agent_incarnations[rank]), begun)

    def restart_rank(self, rank: int) -> None:
        """Restart a rank's engine and agent; the engine learns the current step from its peers."""
        engine = self.engines[rank]
        begun = engine.newest_step - 1 if engine.is_running else engine.newest_step
        self.engines[rank] = FakeEngine(
            rank=rank,
            newest_step=max(begun, NO_STEP),
            next_step=max(0, begun + 1),
            is_dead=engine.is_dead,
            newest_step_by_communicator={
                communicator: min(step, begun)
                for communicator, step in engine.newest_step_by_communicator.items()
            },
        )
        self.restart_agent(rank)

    def advance_time(self, seconds: float = 0.6) -> None:
        self.now += seconds
        for rank in range(self.ranks):
            if not self.engines[rank].is_dead:
                self._step_rank(rank, ClockTick())
        for number in list(self.coordinators):
            self._step_coordinator(number, ClockTick())

    def send_logged_map(self, rank: int) -> None:
        self.in_transit.append(MessageInTransit("rank", rank, -1, MapRecordRead(self.log.read())))

    def deliver_message(self, index: int, *, is_repeated: bool = False) -> None:
        message = self.in_transit[index] if is_repeated else self.in_transit.pop(index)
        number = message.number
        if message.destination == "rank":
            if not self.engines[number].is_dead and message.agent_incarnation in {
                -1,
                self.agent_incarnations[number],
            }:
                self._step_rank(number, message.content)
        elif message.destination == "coordinator":
            self._step_coordinator(number, message.content)
        else:
            self._handle_log_message(message)

    def begin_step(self, rank: int) -> bool:
        """Begin a rank's next step if its guidance and the other ranks permit it."""
        engine = self.engines[rank]
        step = engine.startable_step()
        if step is None:
            return False
        record = engine.guidance.record
        assert record is not None
        for other in record.members:
            if step <= record.first_step(other):
                continue
            previous_communicator = (
                self.log.communicator_by_epoch[record.epoch_at(step - 1)] if step else 0
            )
            if (
                self.engines[other].newest_step_by_communicator.get(previous_communicator, NO_STEP)
                < step - 1
            ):
                return False
        epoch = record.epoch_at(step)
        engine.newest_step_by_communicator[self.log.communicator_by_epoch[epoch]] = step
        digest = record.digest if epoch == record.epoch else record.previous_digest
        self.begun_steps.append(StepBegun(rank, step, epoch, digest))
        engine.newest_step = step
        engine.is_running = True
        engine.next_step = step + 1
        self.agents[rank].newest_begun_step = step
        return True

    # Reactions of the processes.

    def _handle_log_message(self, message: MessageInTransit) -> None:
        match message.content:
            case AcquireFence():
                number = self.log.next_fence()
                answer: Any = FenceAcquired(number, self.log.read())
                self.in_transit.append(MessageInTransit("coordinator", message.number, 0, answer))
            case LogDecision() as decision:
                answer = self.log.write(decision)
                self.in_transit.append(MessageInTransit("coordinator", message.number, 0, answer))
            case AdvanceFence():
                answer = FenceAdvanced(self.log.next_fence())
                self.in_transit.append(
                    MessageInTransit("rank", message.number, message.agent_incarnation, answer)
                )

    def _step_rank(self, rank: int, event: Any) -> None:
        for action in self.agents[rank].step(event, self.now):
            match action:
                case PermitSteps():
                    self.engines[rank].guidance = action
                case LoadWeights(digest=digest):
                    self.loads.append((rank, digest))
                    done = WeightLoadFinished(digest)
                    self.in_transit.append(
                        MessageInTransit("rank", rank, self.agent_incarnations[rank], done)
                    )
                case AdvanceFence():
                    self.in_transit.append(
                        MessageInTransit("log", rank, self.agent_incarnations[rank], action)
                    )
                case ReplyToCoordinator(answer=answer):
                    for number in self.coordinators:
                        self.in_transit.append(MessageInTransit("coordinator", number, 0, answer))
                case DiscardWeights():
                    pass

    def _step_coordinator(self, number: int, event: Any) -> None:
        coordinator = self.coordinators.get(number)
        if coordinator is None:
            return
        for action in coordinator.step(event, self.now):
            match action:
                case SendToRanks(ranks=ranks, message=message):
                    self.in_transit += [
                        MessageInTransit("rank", rank, -1, message) for rank in ranks
                    ]
                case AcquireFence() | LogDecision():
                    self.in_transit.append(MessageInTransit("log", number, 0, action))
                case ChangeEnded():
                    self.ended.append(action)

    # Runs of several events.

    def run_without_faults(self, rounds: int = 40) -> None:
        """Deliver all messages, begin steps and advance the time, without faults."""
        for _ in range(rounds):
            while self.in_transit:
                self.deliver_message(0)
            for rank in range(self.ranks):
                self.send_logged_map(rank)
                self.begin_step(rank)
            self.advance_time()

    def start_with_first_map(self) -> int:
        """Start the group with a first map; return the coordinator's number."""
        number = self.start_coordinator()
        self.run_without_faults(6)
        self.propose(number)
        self.run_without_faults(6)
        return number

    def run_random_events(self, rng: random.Random, event_count: int) -> None:
        """Trigger random events: out-of-order, lost and repeated messages, restarts, partitions."""
        for _ in range(event_count):
            draw = rng.random()
            rank = rng.randrange(self.ranks)
            if draw < 0.50 and self.in_transit:
                self.deliver_message(rng.randrange(len(self.in_transit)))
            elif draw < 0.72:
                self.begin_step(rank)
            elif draw < 0.76 and self.in_transit:
                self.deliver_message(rng.randrange(len(self.in_transit)), is_repeated=True)
            elif draw < 0.80 and self.in_transit:
                self.in_transit.pop(rng.randrange(len(self.in_transit)))
            elif draw < 0.86:
                self.send_logged_map(rank)
            elif draw < 0.91:
                self.advance_time(rng.choice((0.3, 0.6, 2.1)))
            elif draw < 0.925:
                self.start_coordinator(replaces_others=rng.random() < 0.5)
            elif draw < 0.94:
                self.restart_agent(rank)
            elif draw < 0.955:
                self.restart_rank(rank)
            elif self.coordinators:
                number = rng.choice(list(self.coordinators))
                # Some changes remove a healthy rank, which a later change adds again.
                absent_ranks = (rank,) if rng.random() < 0.3 else ()
                self.propose(number, absent=absent_ranks, leaves=bool(absent_ranks))
