"""A rank group with a log and coordinators, stepped one event at a time by a test."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bergamotchute_model.rank_messages import NO_STEP, LoggedMap, MapRecord
from bergamotchute_policy.map_rank import (
    ClockTick,
    DropWeights,
    FenceRaised,
    GuideEngine,
    LoadWeights,
    LogRead,
    MapRank,
    RaiseFence,
    Reply,
    WeightsLoaded,
)
from bergamotchute_policy.map_transaction import (
    ChangeEnded,
    DecisionLogged,
    FenceTaken,
    LogDecision,
    MapChange,
    MapCoordinator,
    ProposeChange,
    Send,
    TakeFence,
)
from support.step_checker import StepBegun


@dataclass
class FakeLog:
    """The control log's word on one group: fencing numbers and compare-and-set."""

    fence: int = 0
    version: int = 0
    record: MapRecord | None = None
    checks_fence: bool = True
    records: list[MapRecord] = field(default_factory=list)
    communicators: dict[int, int] = field(default_factory=dict)

    def read(self) -> LoggedMap:
        return LoggedMap(self.version, self.fence, self.record)

    def next_fence(self) -> int:
        self.fence += 1
        return self.fence

    def write(self, wanted: LogDecision) -> DecisionLogged:
        repeat = self.version == wanted.change.base_version + 1 and self.record == wanted.record
        fits = self.version == wanted.change.base_version and (
            wanted.change.fence == self.fence or not self.checks_fence
        )
        if fits and not repeat:
            self._note_communicator(wanted.record)
            self.version += 1
            self.record = wanted.record
            self.records.append(wanted.record)
        return DecisionLogged(wanted.change, fits or repeat, self.version, self.record)

    def _note_communicator(self, record: MapRecord) -> None:
        """Ranks talk to each other within one communicator for each set of members."""
        known = self.communicators.get(record.epoch - 1, 0)
        same = self.record is not None and self.record.members == record.members
        new = 0 if same and not record.fresh else 1
        self.communicators.setdefault(record.epoch, known + new)


@dataclass
class FakeEngine:
    """One rank's engine: keeps to its agent's last guidance, also while the agent is away.

    A step ends once all ranks of the communicator have begun it there, whoever left it since.

    :param begun_in: the newest step begun in each communicator.
    """

    guide: GuideEngine = field(default_factory=lambda: GuideEngine(None, None))
    rank: int = 0
    begun: int = NO_STEP
    next_step: int = 0
    dead: bool = False
    runs: bool = False
    begun_in: dict[int, int] = field(default_factory=dict)

    def startable(self) -> int | None:
        """Return the step that the guidance lets it begin next."""
        record = self.guide.record
        if self.dead or record is None or self.guide.leaves:
            return None
        step = max(self.next_step, record.first_step(self.rank))
        if self.guide.hold is not None and step >= self.guide.hold:
            return None
        return step


@dataclass(frozen=True)
class Envelope:
    """A message on its way: to the log, a rank, or a coordinator."""

    to: str
    number: int
    life: int
    content: Any


MakeRank = Callable[[str, int, str, int], MapRank]
MakeCoordinator = Callable[[str, int], MapCoordinator]


def make_rank(group: str, rank: int, incarnation: str, begun: int) -> MapRank:
    return MapRank(group, rank, incarnation, begun)


def make_coordinator(group: str, ranks: int) -> MapCoordinator:
    """Make one whose holds lie only a few steps ahead, so that ranks often come to them."""
    return MapCoordinator(group, ranks, step_s=0.3)


class RankWorld:
    """All processes of one group and the messages between them; nothing happens by itself."""

    def __init__(
        self,
        ranks: int,
        *,
        new_rank: MakeRank = make_rank,
        new_coordinator: MakeCoordinator = make_coordinator,
        log: FakeLog | None = None,
    ) -> None:
        self.ranks = ranks
        self.new_rank = new_rank
        self.new_coordinator = new_coordinator
        self.log = log or FakeLog()
        self.now = 0.0
        self.lives = [0] * ranks
        self.engines = [FakeEngine(rank=rank) for rank in range(ranks)]
        self.agents = [new_rank("g", rank, "0", NO_STEP) for rank in range(ranks)]
        self.coordinators: dict[int, MapCoordinator] = {}
        self.coordinator_lives = 0
        self.flying: list[Envelope] = []
        self.history: list[StepBegun] = []
        self.ended: list[ChangeEnded] = []
        self.loads: list[tuple[int, str]] = []
        self.maps = 0

    # What a test can make happen.

    def start_coordinator(self, *, others_die: bool = True) -> int:
        if others_die:
            self.coordinators.clear()
        self.coordinator_lives += 1
        number = self.coordinator_lives
        self.coordinators[number] = self.new_coordinator("g", self.ranks)
        self._coordinate(number, ClockTick())
        return number

    def propose(self, number: int, *, absent: tuple[int, ...] = (), leaves: bool = False) -> None:
        self.maps += 1
        name = f"map{self.maps}"
        change = MapChange(name, name.encode(), absent, leaves)
        self._coordinate(number, ProposeChange(change))

    def restart_agent(self, rank: int) -> None:
        self.lives[rank] += 1
        begun = self.engines[rank].begun
        self.agents[rank] = self.new_rank("g", rank, str(self.lives[rank]), begun)

    def restart_rank(self, rank: int) -> None:
        """Start a rank's engine and agent anew; it learns from its peers which step they are at."""
        engine = self.engines[rank]
        begun = engine.begun - 1 if engine.runs else engine.begun
        self.engines[rank] = FakeEngine(
            rank=rank,
            begun=max(begun, NO_STEP),
            next_step=max(0, begun + 1),
            dead=engine.dead,
            begun_in={one: min(step, begun) for one, step in engine.begun_in.items()},
        )
        self.restart_agent(rank)

    def tick(self, seconds: float = 0.6) -> None:
        self.now += seconds
        for rank in range(self.ranks):
            if not self.engines[rank].dead:
                self._rank(rank, ClockTick())
        for number in list(self.coordinators):
            self._coordinate(number, ClockTick())

    def show_log(self, rank: int) -> None:
        self.flying.append(Envelope("rank", rank, -1, LogRead(self.log.read())))

    def deliver(self, index: int, *, keep: bool = False) -> None:
        envelope = self.flying[index] if keep else self.flying.pop(index)
        number = envelope.number
        if envelope.to == "rank":
            if not self.engines[number].dead and envelope.life in {-1, self.lives[number]}:
                self._rank(number, envelope.content)
        elif envelope.to == "coordinator":
            self._coordinate(number, envelope.content)
        else:
            self._write(envelope)

    def begin_step(self, rank: int) -> bool:
        """Let a rank begin its next step if its guidance and the others let it."""
        engine = self.engines[rank]
        step = engine.startable()
        if step is None:
            return False
        record = engine.guide.record
        assert record is not None
        for other in record.members:
            if step <= record.first_step(other):
                continue
            before = self.log.communicators[record.epoch_at(step - 1)] if step else 0
            if self.engines[other].begun_in.get(before, NO_STEP) < step - 1:
                return False
        epoch = record.epoch_at(step)
        engine.begun_in[self.log.communicators[epoch]] = step
        digest = record.digest if epoch == record.epoch else record.previous_digest
        self.history.append(StepBegun(rank, step, epoch, digest))
        engine.begun = step
        engine.runs = True
        engine.next_step = step + 1
        self.agents[rank].begun = step
        return True

    # What follows from it.

    def _write(self, envelope: Envelope) -> None:
        match envelope.content:
            case TakeFence():
                number = self.log.next_fence()
                answer: Any = FenceTaken(number, self.log.read())
                self.flying.append(Envelope("coordinator", envelope.number, 0, answer))
            case LogDecision() as wanted:
                answer = self.log.write(wanted)
                self.flying.append(Envelope("coordinator", envelope.number, 0, answer))
            case RaiseFence():
                answer = FenceRaised(self.log.next_fence())
                self.flying.append(Envelope("rank", envelope.number, envelope.life, answer))

    def _rank(self, rank: int, event: Any) -> None:
        for action in self.agents[rank].step(event, self.now):
            match action:
                case GuideEngine():
                    self.engines[rank].guide = action
                case LoadWeights(digest=digest):
                    self.loads.append((rank, digest))
                    done = WeightsLoaded(digest)
                    self.flying.append(Envelope("rank", rank, self.lives[rank], done))
                case RaiseFence():
                    self.flying.append(Envelope("log", rank, self.lives[rank], action))
                case Reply(answer=answer):
                    for number in self.coordinators:
                        self.flying.append(Envelope("coordinator", number, 0, answer))
                case DropWeights():
                    pass

    def _coordinate(self, number: int, event: Any) -> None:
        coordinator = self.coordinators.get(number)
        if coordinator is None:
            return
        for action in coordinator.step(event, self.now):
            match action:
                case Send(ranks=ranks, message=message):
                    self.flying += [Envelope("rank", rank, -1, message) for rank in ranks]
                case TakeFence() | LogDecision():
                    self.flying.append(Envelope("log", number, 0, action))
                case ChangeEnded():
                    self.ended.append(action)

    # Ways to run it.

    def settle(self, rounds: int = 40) -> None:
        """Deliver everything and let time and steps pass, with no faults."""
        for _ in range(rounds):
            while self.flying:
                self.deliver(0)
            for rank in range(self.ranks):
                self.show_log(rank)
                self.begin_step(rank)
            self.tick()

    def start(self) -> int:
        """Bring the group up with a first map; return the coordinator."""
        number = self.start_coordinator()
        self.settle(6)
        self.propose(number)
        self.settle(6)
        return number

    def wander(self, chance: random.Random, actions: int) -> None:
        """Do what chance says: deliver in any order, lose, repeat, restart, partition."""
        for _ in range(actions):
            dice = chance.random()
            rank = chance.randrange(self.ranks)
            if dice < 0.50 and self.flying:
                self.deliver(chance.randrange(len(self.flying)))
            elif dice < 0.72:
                self.begin_step(rank)
            elif dice < 0.76 and self.flying:
                self.deliver(chance.randrange(len(self.flying)), keep=True)
            elif dice < 0.80 and self.flying:
                self.flying.pop(chance.randrange(len(self.flying)))
            elif dice < 0.86:
                self.show_log(rank)
            elif dice < 0.91:
                self.tick(chance.choice((0.3, 0.6, 2.1)))
            elif dice < 0.925:
                self.start_coordinator(others_die=chance.random() < 0.5)
            elif dice < 0.94:
                self.restart_agent(rank)
            elif dice < 0.955:
                self.restart_rank(rank)
            elif self.coordinators:
                number = chance.choice(list(self.coordinators))
                # Some changes take out a rank that is well, and a later one brings it back.
                out = (rank,) if chance.random() < 0.3 else ()
                self.propose(number, absent=out, leaves=bool(out))
