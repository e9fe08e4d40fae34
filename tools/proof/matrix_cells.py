"""Cells of the fault matrix: one or two faults, each at a numbered event of the clean run."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from random import Random

from bergamotchute_model.event_record import EventRecord
from tools.proof.run import Result, Runner, run_scenario
from tools.proof.scenario import Fault, Scenario

RESTART_S = 4.0
LONG_S = 6.0
SHORT_S = 1.5
FAULTS: dict[str, Fault] = {
    "crash": Fault("crash", ""),
    "crash-unsynced": Fault("crash", "", loses_unsynced=True),
    "stall": Fault("stall", "", for_s=LONG_S),
    "delay": Fault("delay", "", for_s=LONG_S, by_s=0.8),
    "drop": Fault("drop", "", for_s=SHORT_S),
    "duplicate": Fault("duplicate", "", for_s=LONG_S),
    "reorder": Fault("reorder", "", for_s=LONG_S),
    "partition": Fault("partition", "", for_s=LONG_S),
    "partition-inward": Fault("partition", "", for_s=LONG_S, direction="inward"),
    "partition-outward": Fault("partition", "", for_s=LONG_S, direction="outward"),
    "mute": Fault("mute", ""),
    "jump": Fault("jump", "", by_s=3600.0),
}


@dataclass(frozen=True, order=True)
class Injection:
    """One fault at one step.

    :param step: counts the clean run's events from 0, from when the files are in force.
    """

    step: int
    fault: str

    def __str__(self) -> str:
        return f"{self.step}:{self.fault}"


@dataclass(frozen=True)
class Cell:
    """One run of the matrix."""

    injections: tuple[Injection, ...]

    def __str__(self) -> str:
        return "+".join(str(injection) for injection in self.injections)

    @classmethod
    def parse(cls, text: str) -> Cell:
        """Read ``STEP:FAULT`` or ``STEP:FAULT+STEP:FAULT``.

        :raises ValueError: for another form or an unknown fault.
        """
        injections = []
        for part in text.split("+"):
            step, colon, fault = part.partition(":")
            if not colon or not step.isdecimal() or fault not in FAULTS:
                raise ValueError(f"expected STEP:FAULT, found {part!r}; {', '.join(FAULTS)}")
            injections.append(Injection(int(step), fault))
        return cls(tuple(injections))


class Injector:
    """Brings each fault of a cell when its step comes.

    :param seen: events since the files are in force.
    """

    def __init__(self, cell: Cell) -> None:
        self.due = list(cell.injections)
        self.seen = 0

    def on_event(self, runner: Runner, event: EventRecord) -> None:
        """Count an event and act on it."""
        if not runner.began:
            return
        step = self.seen
        self.seen += 1
        for injection in [one for one in self.due if one.step == step]:
            self.due.remove(injection)
            _bring(runner, FAULTS[injection.fault], event.process)


def _bring(runner: Runner, fault: Fault, process: str) -> None:
    """Bring a fault about at the process of an event; what crashes is started again later."""
    if process not in runner.world.processes:
        return
    runner.faults.bring_now(fault, process)
    if fault.kind == "crash":
        runner.world.tasks.start_soon(partial(runner.faults.restart_later, process, RESTART_S))


def run_cell(scenario: Scenario, seed: int, cell: Cell) -> Result:
    """Run one cell."""
    return run_scenario(scenario, seed, Injector(cell).on_event)


def clean_steps(scenario: Scenario, seed: int) -> list[EventRecord]:
    """Return the events of the clean run that are steps."""
    steps: list[EventRecord] = []

    def collect(runner: Runner, event: EventRecord) -> None:
        if runner.began:
            steps.append(event)

    run_scenario(scenario, seed, collect)
    return steps


def single_cells(steps: int) -> list[Cell]:
    """Return every step with every fault."""
    return [Cell((Injection(step, fault),)) for step in range(steps) for fault in FAULTS]


def pair_cells(steps: int, count: int, seed: int) -> list[Cell]:
    """Return pairs of faults drawn by the seed."""
    random = Random(seed)
    names = list(FAULTS)

    def draw() -> Injection:
        return Injection(random.randrange(steps), random.choice(names))

    return [Cell(tuple(sorted((draw(), draw())))) for _ in range(count)]
